// Where the owner of a primary waits until a position is durable.
#ifndef AMARANTHSPUR_ROOT_BACKENDS_CONFIRMATIONS_H
#define AMARANTHSPUR_ROOT_BACKENDS_CONFIRMATIONS_H

#include "core/Clock.h"
#include "core/Types.h"

#include <QCoroTask>

#include <optional>

namespace amaranthspur {

/// Confirmation of positions of one group; implemented by its watcher.
class Confirmations {
public:
  virtual ~Confirmations() = default;

  /// Waits until a majority is known to hold \p Position in its term.
  /// \returns false if \p Deadline passes or the term has ended first.
  virtual QCoro::Task<bool> waitConfirmed(LogPosition Position,
                                          TimePoint Deadline) = 0;

  /// Returns whether a write sent now can be expected to be confirmed: a
  /// majority has answered lately and the term is current.
  virtual bool acceptsWrites(TimePoint Now) const = 0;

  /// Returns the primary's log end after a majority has answered in one term to
  /// questions that were sent after this call: everything acknowledged before
  /// the call is at or below it. Nothing if \p Deadline passes first.
  virtual QCoro::Task<std::optional<LogPosition>>
  currentFloor(TimePoint Deadline) = 0;

  /// Asks all servers for their status at once; the views are updated when they
  /// answer.
  virtual void refresh() = 0;
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_ROOT_BACKENDS_CONFIRMATIONS_H
