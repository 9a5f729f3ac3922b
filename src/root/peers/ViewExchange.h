// Group views between entry VMs.
//
// A watcher sends its view to all entry VMs when the primary or the term has
// changed, which is rare. An entry VM that uses a service it does not watch
// asks the nearest watcher twice a second, so nothing is spent on services that
// are not in use.
#ifndef AMARANTHSPUR_ROOT_PEERS_VIEWEXCHANGE_H
#define AMARANTHSPUR_ROOT_PEERS_VIEWEXCHANGE_H

#include "core/Async.h"
#include "root/ViewTable.h"
#include "root/backends/ServerRegistry.h"
#include "root/peers/PeerNetwork.h"
#include "root/telemetry/Metrics.h"

#include <map>

namespace amaranthspur {

/// Spreads the views made here and fetches those of watched groups elsewhere.
class ViewExchange final : public Child {
public:
  /// All references outlive the exchange.
  ViewExchange(EntryVmId Self, PeerNetwork &Network, ViewTable &Views,
               ServerRegistry &Registry, Metrics &Counters);

  std::string_view name() const override { return "views"; }
  QCoro::Task<Result<Success>> start() override;
  QCoro::Task<> stop(TimePoint Deadline) override;

  /// Notes that a caller uses \p Service; asks for its view if none is held.
  void use(const ServiceName &Service);

private:
  /// What this entry VM knows of one service in use.
  struct Interest {
    TimePoint LastUse;
    std::size_t NextWatcher = 0; ///< Who is asked if the last one is silent.
    TimePoint Answered{};
  };

  QCoro::Task<> askAround();
  void ask(const ServiceName &Service, Interest &Entry);
  void spread(const GroupView &View);
  void onQuery(const EntryVmId &From, const peer::GroupViewQuery &Query);
  void onUpdate(const peer::GroupViewUpdate &Update);

  EntryVmId Self;
  PeerNetwork &Network;
  ViewTable &Views;
  ServerRegistry &Registry;
  Metrics &Counters;
  std::map<ServiceName, Interest> Interests;
  std::map<ServiceName, std::pair<Term, std::optional<ServerId>>> LastSpread;
  TaskGroup Tasks;
  Signal Stopped;
  bool Stopping = false;
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_ROOT_PEERS_VIEWEXCHANGE_H
