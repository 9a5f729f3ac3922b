// Exponential backoff between the attempts of one call.
#ifndef AMARANTHSPUR_PLATFORM_BACKOFF_H
#define AMARANTHSPUR_PLATFORM_BACKOFF_H

#include "core/Clock.h"
#include "core/Random.h"

#include <algorithm>

namespace amaranthspur {

/// Exponential backoff with equal jitter: half of each delay is fixed and half
/// is random. The jitter keeps clients that failed at the same time from
/// retrying at the same time.
class Backoff {
public:
  /// \param First upper bound of the delay after the first attempt. The bound
  /// doubles with each further attempt.
  /// \param Max upper bound of every delay.
  /// \pre Zero < First <= Max.
  constexpr Backoff(Duration First, Duration Max) : First(First), Max(Max) {}

  /// Returns the delay to wait after attempt number \p Attempt has failed.
  /// Attempts are counted from 1.
  Duration delayAfter(unsigned Attempt, Random &Rng) const {
    Duration Delay = this->First;
    for (unsigned I = 1; I < Attempt && Delay < this->Max; ++I)
      Delay *= 2;
    Delay = std::min(Delay, this->Max);
    const auto Half = static_cast<std::uint64_t>(Delay.count() / 2);
    return Delay / 2 + Duration(Rng.below(Half + 1));
  }

private:
  Duration First;
  Duration Max;
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_PLATFORM_BACKOFF_H
