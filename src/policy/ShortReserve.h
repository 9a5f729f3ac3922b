// How many slots are kept free of long work.
#ifndef AMARANTHSPUR_POLICY_SHORTRESERVE_H
#define AMARANTHSPUR_POLICY_SHORTRESERVE_H

#include "core/Clock.h"

#include <optional>

namespace amaranthspur {

/// Follows the load of short work on one server and derives the slots that it
/// needs for itself. Running long work is never stopped, so slots that short
/// work will need have to be kept before it arrives.
class ShortReserve {
public:
  /// Takes in that short work has arrived.
  void arrived(TimePoint Now) { this->LastArrival = Now; }

  /// Takes in that short work held a slot for \p Length until \p Now.
  void finished(Duration Length, TimePoint Now);

  /// Returns how many of \p Slots long work may hold, at least 1.
  ///
  /// One fifth of the slots is kept free of long work, two fifths if short work
  /// has arrived in the last second, and more if the load of short work needs
  /// more: of 5 slots long work holds at most 4 or 3. Constant time, but linear
  /// in Slots after a change of the load.
  unsigned longLimit(unsigned Slots, TimePoint Now) const;

private:
  double loadAt(TimePoint Now) const;

  std::optional<TimePoint> LastArrival;
  double Load = 0; ///< Slots that short work holds on average.
  TimePoint LoadAsOf{};
};

namespace detail {
/// Returns the smallest number of slots, at most \p Slots, in which short work
/// that offers \p Load slots hardly waits: the share of statements that wait
/// longer than 4/5 of their mean length is at most 7 % by the
/// formula for M/M/c queues (Erlang C).
unsigned slotsForLoad(double Load, unsigned Slots);
} // namespace detail

} // namespace amaranthspur

#endif // AMARANTHSPUR_POLICY_SHORTRESERVE_H
