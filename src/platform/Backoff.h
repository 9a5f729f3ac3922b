// Delays between the attempts of one call.
#ifndef AMARANTHSPUR_PLATFORM_BACKOFF_H
#define AMARANTHSPUR_PLATFORM_BACKOFF_H

#include "core/Clock.h"
#include "core/Random.h"

#include <algorithm>

namespace amaranthspur {

/// Exponential backoff with equal jitter: half of the delay is fixed, half is
/// random, so that clients that failed together do not retry together.
class Backoff {
public:
  /// \param First greatest delay after the first attempt; it doubles.
  /// \param Max greatest delay of all. \pre Zero < First <= Max.
  constexpr Backoff(Duration First, Duration Max) : First(First), Max(Max) {}

  /// Returns the delay after the failed attempt \p Attempt, counted from 1.
  Duration delayAfter(unsigned Attempt, Random &Draw) const {
    Duration Delay = this->First;
    for (unsigned I = 1; I < Attempt && Delay < this->Max; ++I)
      Delay *= 2;
    Delay = std::min(Delay, this->Max);
    const auto Half = static_cast<std::uint64_t>(Delay.count() / 2);
    return Delay / 2 + Duration(Draw.below(Half + 1));
  }

private:
  Duration First;
  Duration Max;
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_PLATFORM_BACKOFF_H
