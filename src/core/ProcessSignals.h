// Handling of POSIX signals in the event loop.
#ifndef AMARANTHSPUR_CORE_PROCESSSIGNALS_H
#define AMARANTHSPUR_CORE_PROCESSSIGNALS_H

#include <functional>

namespace amaranthspur {

/// Calls \p OnSignal at the first SIGTERM or SIGINT and ignores later ones.
/// \pre A QCoreApplication exists, and this function was not called before.
void onTerminationSignal(std::function<void()> OnSignal);

/// Calls \p OnSignal at each SIGHUP, the request to reload.
/// \pre A QCoreApplication exists, and this function was not called before.
void onReloadSignal(std::function<void()> OnSignal);

} // namespace amaranthspur

#endif // AMARANTHSPUR_CORE_PROCESSSIGNALS_H
