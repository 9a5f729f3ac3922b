// How many slots of a backend server are used, given its own queueing time.
#ifndef AMARANTHSPUR_POLICY_CONCURRENCYLIMIT_H
#define AMARANTHSPUR_POLICY_CONCURRENCYLIMIT_H

#include "core/Clock.h"

#include <optional>

namespace amaranthspur {

/// Shrinks by a quarter (at least one slot) while statements queue inside the
/// server, and grows by one slot at a time once they do not.
///
/// Between the two thresholds the limit holds, and a growth that soon leads to
/// queueing again doubles the time until the next one, so that the limit
/// settles instead of swinging.
class ConcurrencyLimit {
public:
  explicit ConcurrencyLimit(unsigned Slots) : Slots(Slots), Current(Slots) {}

  /// Takes in the number of slots that the configuration gives.
  void setSlots(unsigned NewSlots);

  /// Takes in one observation of the server's queueing time.
  void observe(Duration QueueTime, TimePoint Now);

  /// Returns the slots to use, at least 1 and at most the configured number.
  unsigned limit() const { return this->Current; }

private:
  unsigned Slots;
  unsigned Current;
  Duration GrowDelay = FirstGrowDelay;
  std::optional<TimePoint> LastShrink;
  std::optional<TimePoint> LastGrowth;
  std::optional<TimePoint> CalmSince;

  /// Four growths, from one slot to five, take one second: a server that has
  /// recovered is fully used within the 2 s in which the system has to settle.
  static constexpr Duration FirstGrowDelay = milliseconds(250);
  static constexpr Duration MaxGrowDelay = std::chrono::seconds(16);
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_POLICY_CONCURRENCYLIMIT_H
