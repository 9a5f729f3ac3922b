// Adapts the number of used slots of a backend server to the queueing time that
// the server reports.
#ifndef AMARANTHSPUR_POLICY_CONCURRENCYLIMIT_H
#define AMARANTHSPUR_POLICY_CONCURRENCYLIMIT_H

#include "core/Clock.h"

#include <optional>

namespace amaranthspur {

/// An adaptive concurrency limit. It decreases by a quarter, but at least by
/// one slot, while statements queue inside the server, and increases by one
/// slot at a time once they no longer do.
///
/// Between the two thresholds the limit stays as it is. An increase that soon
/// leads to queueing again doubles the delay before the next increase, so that
/// the limit converges instead of oscillating.
class ConcurrencyLimit {
public:
  explicit ConcurrencyLimit(unsigned Slots) : Slots(Slots), Current(Slots) {}

  /// Sets the configured number of slots, which is the upper bound of the
  /// limit.
  void setSlots(unsigned NewSlots);

  /// Records one observation of the server's queueing time.
  void observe(Duration QueueTime, TimePoint Now);

  /// Returns the number of slots to use, at least 1 and at most the configured
  /// number.
  unsigned limit() const { return this->Current; }

private:
  unsigned Slots;
  unsigned Current;
  Duration GrowDelay = InitialGrowDelay;
  std::optional<TimePoint> LastShrink;
  std::optional<TimePoint> LastGrowth;
  std::optional<TimePoint> UnderloadedSince;

  /// The four increases from one slot to five take one second, so that a server
  /// that has recovered is fully used within the 2 s in which the system has to
  /// settle after an overload.
  static constexpr Duration InitialGrowDelay = milliseconds(250);
  static constexpr Duration MaxGrowDelay = std::chrono::seconds(16);
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_POLICY_CONCURRENCYLIMIT_H
