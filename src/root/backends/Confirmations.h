// Where the owner of a primary waits until a position is durable.
#ifndef AMARANTHSPUR_ROOT_BACKENDS_CONFIRMATIONS_H
#define AMARANTHSPUR_ROOT_BACKENDS_CONFIRMATIONS_H

#include "core/Clock.h"
#include "core/Types.h"

#include <QCoroTask>

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
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_ROOT_BACKENDS_CONFIRMATIONS_H
