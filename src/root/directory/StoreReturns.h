// Records, logs and counts the returns of the platform's store from older
// copies of itself.
#ifndef AMARANTHSPUR_ROOT_DIRECTORY_STORERETURNS_H
#define AMARANTHSPUR_ROOT_DIRECTORY_STORERETURNS_H

#include "platform/StoreEra.h"
#include "policy/StoreHistory.h"
#include "root/telemetry/Metrics.h"

#include <functional>
#include <string>

namespace amaranthspur {

/// Keeps the history of the store from what answers tell about its era.
///
/// Writes a line (LogEvent::StoreReturned) for each return, and one
/// (LogEvent::EraRejected) for each era with a fault unless it is that of
/// the last line.
class StoreReturns final : public StoreEraObserver {
public:
  /// \param Counters must outlive this object.
  explicit StoreReturns(Metrics &Counters) : Counters(Counters) {}

  void observeVersion(StoreVersion Newest) override;
  void observeFault(EraFault Fault, std::string_view Header) override;

  const StoreHistory &history() const { return this->History; }

  /// Called when a return has been recorded.
  std::function<void()> Returned = [] {};

private:
  Metrics &Counters;
  StoreHistory History;
  std::string LastFault; ///< As it was logged last.
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_ROOT_DIRECTORY_STORERETURNS_H
