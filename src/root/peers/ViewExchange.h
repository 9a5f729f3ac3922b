// Exchanges group views between entry VMs.
//
// A watcher sends its view to all entry VMs when the primary or the term has
// changed, which is rare. An entry VM that uses a service without watching it
// queries the nearest watcher twice a second. Unused services therefore cause
// no queries.
#ifndef AMARANTHSPUR_ROOT_PEERS_VIEWEXCHANGE_H
#define AMARANTHSPUR_ROOT_PEERS_VIEWEXCHANGE_H

#include "core/Async.h"
#include "root/ViewTable.h"
#include "root/backends/ServerRegistry.h"
#include "root/peers/PeerNetwork.h"
#include "root/telemetry/Metrics.h"

#include <map>

namespace amaranthspur {

/// Broadcasts the group views of the services that this entry VM watches, and
/// queries the views of the used services that other entry VMs watch.
class ViewExchange final : public Child {
public:
  /// All references must outlive the exchange.
  ViewExchange(EntryVmId Self, PeerNetwork &Network, ViewTable &Views,
               ServerRegistry &Registry, Metrics &Counters);

  std::string_view name() const override { return "views"; }
  QCoro::Task<Result<Success>> start() override;
  QCoro::Task<> stop(TimePoint Deadline) override;

  /// Records that a caller uses \p Service. The first use sends a query for its
  /// view, unless this entry VM watches the service itself.
  void recordUse(const ServiceName &Service);

private:
  /// The state of the queries for one service in use.
  struct Interest {
    TimePoint LastUse;
    std::size_t NextWatcher = 0; ///< Index of the watcher to query.
    TimePoint LastAnswer{};
  };

  /// Queries the views of all services in use, periodically until stop().
  QCoro::Task<> runQueries();
  void queryWatcher(const ServiceName &Service, Interest &Entry);
  void broadcast(const GroupView &View);
  void onQuery(const EntryVmId &From, const peer::GroupViewQuery &Query);
  void onUpdate(const peer::GroupViewUpdate &Update);

  EntryVmId Self;
  PeerNetwork &Network;
  ViewTable &Views;
  ServerRegistry &Registry;
  Metrics &Counters;
  std::map<ServiceName, Interest> Interests;
  std::map<ServiceName, std::pair<Term, std::optional<ServerId>>> LastBroadcast;
  TaskGroup Tasks;
  TaskCondition Stopped;
  bool Stopping = false;
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_ROOT_PEERS_VIEWEXCHANGE_H
