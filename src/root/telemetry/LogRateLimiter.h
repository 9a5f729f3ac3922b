// Limits the number of log lines per second.
#ifndef AMARANTHSPUR_ROOT_TELEMETRY_LOGRATELIMITER_H
#define AMARANTHSPUR_ROOT_TELEMETRY_LOGRATELIMITER_H

#include "core/Clock.h"

#include <cstdint>
#include <utility>

namespace amaranthspur {

/// Admits a fixed number of lines in each second. Lines that report an answered
/// statement have a separate limit, so that they cannot displace other lines.
class LogRateLimiter {
public:
  /// Limits by kind of line. At the deployment sites, an entry VM usually
  /// answers at most 60 statements per second, and 200 at peak load.
  static constexpr unsigned StatementLinesPerSecond = 200;
  static constexpr unsigned OtherLinesPerSecond = 300;

  /// Returns whether a line may be written at \p Now, and counts it as dropped
  /// if it may not.
  /// \param StatementLine whether the line reports an answered statement.
  bool admit(bool StatementLine, TimePoint Now) {
    if (Now - this->SecondStart >= std::chrono::seconds(1)) {
      this->SecondStart = Now;
      this->Used[0] = this->Used[1] = 0;
      this->Unreported = std::exchange(this->Dropped, 0);
    }
    unsigned &Count = this->Used[StatementLine ? 0 : 1];
    const unsigned Limit =
        StatementLine ? StatementLinesPerSecond : OtherLinesPerSecond;
    if (Count < Limit) {
      ++Count;
      return true;
    }
    ++this->Dropped;
    return false;
  }

  /// Returns the number of lines dropped in the last counting period of one
  /// second that has ended, and resets the number to 0.
  std::uint64_t takeDropped() { return std::exchange(this->Unreported, 0); }

private:
  TimePoint SecondStart{};
  unsigned Used[2] = {0, 0};    ///< Lines about statements, other lines.
  std::uint64_t Dropped = 0;    ///< In the current second.
  std::uint64_t Unreported = 0; ///< Not yet returned by takeDropped().
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_ROOT_TELEMETRY_LOGRATELIMITER_H
