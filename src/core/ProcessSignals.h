// Signals to the process, handled in the event loop.
#ifndef AMARANTHSPUR_CORE_PROCESSSIGNALS_H
#define AMARANTHSPUR_CORE_PROCESSSIGNALS_H

#include <functional>

namespace amaranthspur {

/// Calls \p OnSignal once when the process is asked to end (SIGTERM, SIGINT).
/// \pre A QCoreApplication exists; called once.
void onTerminationSignal(std::function<void()> OnSignal);

/// Calls \p OnSignal whenever the process is asked to reload (SIGHUP).
/// \pre A QCoreApplication exists; called once.
void onReloadSignal(std::function<void()> OnSignal);

} // namespace amaranthspur

#endif // AMARANTHSPUR_CORE_PROCESSSIGNALS_H
