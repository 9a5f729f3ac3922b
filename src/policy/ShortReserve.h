// Computes how many slots of a server are reserved for short work.
#ifndef AMARANTHSPUR_POLICY_SHORTRESERVE_H
#define AMARANTHSPUR_POLICY_SHORTRESERVE_H

#include "core/Clock.h"

#include <optional>

namespace amaranthspur {

/// Tracks the load of short work on one server and derives how many slots to
/// reserve for it. Running long work is never preempted, so the slots have to
/// be reserved before the short work arrives.
class ShortReserve {
public:
  /// Records the arrival of short work.
  void arrived(TimePoint Now) { this->LastArrival = Now; }

  /// Records that short work held a slot for \p Length until \p Now.
  void finished(Duration Length, TimePoint Now);

  /// Returns how many of \p Slots long work may hold, at least 1.
  ///
  /// One fifth of the slots, rounded up, is reserved for short work. Two fifths
  /// are reserved if short work has arrived in the last second, and more if the
  /// load of short work requires it: long work holds at most 4 of 5 slots in
  /// the first case and at most 3 in the second. Takes linear time in \p Slots
  /// if short work has arrived in the last second, otherwise constant time.
  unsigned longLimit(unsigned Slots, TimePoint Now) const;

private:
  double loadAt(TimePoint Now) const;

  std::optional<TimePoint> LastArrival;
  double MeanLoad = 0; ///< Slots held by short work, as a decaying mean.
  TimePoint LoadUpdatedAt{};
};

namespace detail {
/// Returns the smallest number of slots, at most \p Slots, with which at most
/// 7 % of the short statements wait longer than 4/5 of their mean length.
/// Computed with the Erlang C formula for M/M/c queues.
/// \param Load offered load of short work, in slots.
unsigned slotsForLoad(double Load, unsigned Slots);
} // namespace detail

} // namespace amaranthspur

#endif // AMARANTHSPUR_POLICY_SHORTRESERVE_H
