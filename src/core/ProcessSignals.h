// Handling of POSIX signals in the event loop.
#ifndef AMARANTHSPUR_CORE_PROCESSSIGNALS_H
#define AMARANTHSPUR_CORE_PROCESSSIGNALS_H

#include "core/Clock.h"

#include <functional>

namespace amaranthspur {

/// Calls \p OnSignal at the first SIGTERM or SIGINT and ignores later ones.
/// \p OnSignal gets the time at which the signal was delivered. A busy event
/// loop calls it later.
/// \pre A QCoreApplication exists, and this function was not called before.
void onTerminationSignal(std::function<void(TimePoint)> OnSignal);

/// Makes the process exit with status 0 as soon as \p Limit has passed since
/// the first SIGTERM or SIGINT, whatever its threads do. Bytes that were
/// written to a socket before are still sent. A line is written to standard
/// output if that does not block. Has no effect where the system refuses
/// interval timers.
/// \pre \p Limit is greater than 0.
void limitTermination(Duration Limit);

/// Calls \p OnSignal at each SIGHUP, the request to reload.
/// \pre A QCoreApplication exists, and this function was not called before.
void onReloadSignal(std::function<void()> OnSignal);

} // namespace amaranthspur

#endif // AMARANTHSPUR_CORE_PROCESSSIGNALS_H
