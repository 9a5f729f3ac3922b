// Bounds the number of log lines per second.
#ifndef AMARANTHSPUR_ROOT_TELEMETRY_LINEBUDGET_H
#define AMARANTHSPUR_ROOT_TELEMETRY_LINEBUDGET_H

#include "core/Clock.h"

#include <cstdint>
#include <utility>

namespace amaranthspur {

/// Admits lines while the present second's budget lasts. Lines about statements
/// that were answered have a budget of their own, so that they cannot crowd out
/// the others.
class LineBudget {
public:
  /// An entry VM of the sites answers 60 statements a second at most of the
  /// time and 200 at a crest.
  static constexpr unsigned RoutineLinesPerSecond = 200;
  static constexpr unsigned OtherLinesPerSecond = 300;

  /// Returns whether a line may be written at \p Now; counts it if not.
  bool admit(bool Routine, TimePoint Now) {
    if (Now - this->SecondStart >= std::chrono::seconds(1)) {
      this->SecondStart = Now;
      this->Used[0] = this->Used[1] = 0;
      this->Report = std::exchange(this->Dropped, 0);
    }
    unsigned &Count = this->Used[Routine ? 0 : 1];
    const unsigned Most = Routine ? RoutineLinesPerSecond : OtherLinesPerSecond;
    if (Count < Most) {
      ++Count;
      return true;
    }
    ++this->Dropped;
    return false;
  }

  /// Returns how many lines were refused in the seconds that are over and were
  /// not returned before.
  std::uint64_t takeDropped() { return std::exchange(this->Report, 0); }

private:
  TimePoint SecondStart{};
  unsigned Used[2] = {0, 0}; ///< Routine, other.
  std::uint64_t Dropped = 0;
  std::uint64_t Report = 0;
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_ROOT_TELEMETRY_LINEBUDGET_H
