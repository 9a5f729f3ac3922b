// Interface through which the owner of a primary waits until a log position is
// durable.
#ifndef AMARANTHSPUR_ROOT_BACKENDS_CONFIRMATIONS_H
#define AMARANTHSPUR_ROOT_BACKENDS_CONFIRMATIONS_H

#include "core/Clock.h"
#include "core/Types.h"

#include <QCoroTask>

#include <optional>

namespace amaranthspur {

/// Confirmation of the log positions of one group. GroupWatcher implements it.
class Confirmations {
public:
  virtual ~Confirmations() = default;

  /// Waits until a majority of the servers is known to hold \p Position in its
  /// term.
  /// \returns false if \p Deadline passes or the term ends before that.
  virtual QCoro::Task<bool> waitConfirmed(LogPosition Position,
                                          TimePoint Deadline) = 0;

  /// Returns whether a write sent now can be expected to be confirmed: a
  /// majority of the servers has answered recently and the term is current.
  virtual bool acceptsWrites(TimePoint Now) const = 0;

  /// Returns a lower bound for the position of reads that must see every write
  /// acknowledged before this call: the end of the primary's log, as reported
  /// after a majority has answered, in one term, status requests that were sent
  /// after this call. Returns nothing if \p Deadline passes first.
  virtual QCoro::Task<std::optional<LogPosition>>
  currentFloor(TimePoint Deadline) = 0;

  /// Requests the status of all servers without waiting for the next poll. The
  /// views are updated when the servers answer.
  virtual void refresh() = 0;
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_ROOT_BACKENDS_CONFIRMATIONS_H
