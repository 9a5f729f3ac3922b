// Ends a stand-in's event loop on SIGTERM and SIGINT.
#ifndef AMARANTHSPUR_TESTING_TERMINATIONSIGNAL_H
#define AMARANTHSPUR_TESTING_TERMINATIONSIGNAL_H

#include <functional>

namespace amaranthspur {

/// Calls \p OnSignal from the event loop when the process is asked to end.
/// \pre A QCoreApplication exists; called once.
void onTerminationSignal(std::function<void()> OnSignal);

} // namespace amaranthspur

#endif // AMARANTHSPUR_TESTING_TERMINATIONSIGNAL_H
