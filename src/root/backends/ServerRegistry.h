// The supervisor's child that owns backend servers and watches database groups.
//
// The configuration in force and the list of members determine which servers
// this entry VM owns. When either changes, the registry starts and stops owners
// and watchers accordingly. Each entry VM that owns a server of a group also
// watches the group.
#ifndef AMARANTHSPUR_ROOT_BACKENDS_SERVERREGISTRY_H
#define AMARANTHSPUR_ROOT_BACKENDS_SERVERREGISTRY_H

#include "core/Random.h"
#include "platform/Platform.h"
#include "root/Supervisor.h"
#include "root/backends/GroupWatcher.h"
#include "root/backends/ServerOwner.h"
#include "root/callers/StatementRouter.h"
#include "root/peers/Forwarding.h"

#include <map>
#include <memory>
#include <set>

namespace amaranthspur {

/// The objects and settings that a ServerRegistry uses. The referenced objects
/// must outlive it.
struct RegistryDependencies {
  EntryVmId Self;
  std::uint64_t Incarnation = 0;
  std::string BindHost;
  PolicyVariant Variant = PolicyVariant::Amaranthspur;
  Directory &Config;
  PeerNetwork &Network;
  ViewTable &Views;
  Platform &Store;
  Forwarder &Remote;
  const Clock &Time;
  Random &Rng;
};

/// Contains the ServerOwners and GroupWatchers of this entry VM, and gives
/// access to those of other entry VMs.
class ServerRegistry final : public Child, public ExecutorLookup {
public:
  explicit ServerRegistry(RegistryDependencies Deps);
  ~ServerRegistry() override;

  std::string_view name() const override { return "backends"; }
  QCoro::Task<Result<Success>> start() override;
  QCoro::Task<> stop(TimePoint Deadline) override;

  std::shared_ptr<StatementExecutor>
  executorFor(const EntryVmId &Owner, const ServerId &Server) override;
  std::optional<EntryVmId> ownerOf(const ServerConfig &Server) override;
  QCoro::Task<std::optional<LogPosition>>
  currentFloor(ServiceName Service, TimePoint Deadline) override;

  /// Returns the owner of \p Server if this entry VM owns it, else null.
  std::shared_ptr<ServerOwner> findOwner(const ServerId &Server) const;

  /// Returns whether this entry VM watches the group of \p Service.
  bool watches(const ServiceName &Service) const {
    return this->Watchers.contains(Service);
  }

  /// Returns the owners of the servers of \p Service. Owners of servers in this
  /// data centre come first.
  std::vector<EntryVmId> ownersNearestFirst(const ServiceName &Service);

  /// Returns the ServerOwners of this entry VM by the server that they own.
  const std::map<ServerId, std::shared_ptr<ServerOwner>> &owners() const {
    return this->Owners;
  }

private:
  /// A request for a read floor that was sent to another entry VM. The floor is
  /// a log position at or above every write acknowledged before the request.
  struct FloorRequest {
    WaitPoint Answered;
    EntryVmId Responder;
    std::optional<LogPosition> Floor;
  };

  /// Starts, reconfigures and stops owners and watchers to match the
  /// configuration and the members.
  void reconcile();
  void reconcileService(const ServiceConfig &Service,
                        std::set<ServerId> &StillOwned,
                        std::set<ServiceName> &StillWatched);
  void startWatcher(const ServiceConfig &Service, unsigned Rank);
  void startOwner(const ServiceConfig &Service, const ServerConfig &Server);
  /// Returns this entry VM's rank for promotions; the watcher of rank 0 acts
  /// first.
  unsigned rankAmongWatchers(const ServiceConfig &Service);
  /// Stops \p Owner and keeps \p Watcher, which it uses, until it has stopped.
  QCoro::Task<> retireOwner(std::shared_ptr<ServerOwner> Owner,
                            std::shared_ptr<GroupWatcher> Watcher,
                            Duration Grace);
  bool isRetiringOwnerOf(const ServiceName &Service) const;
  /// Stops \p Watcher after the owners that use it have stopped.
  QCoro::Task<> retireWatcher(ServiceName Service,
                              std::shared_ptr<GroupWatcher> Watcher);
  std::unique_ptr<BackendServer> connect(const ServerConfig &Server) const;
  void onFloorQuery(const EntryVmId &From, const peer::FloorQuery &Query);
  QCoro::Task<> answerFloor(EntryVmId From, std::uint64_t Correlation,
                            ServiceName Service);
  void onFloorReply(const EntryVmId &From, const peer::FloorReply &Reply);
  void handleDeadMembers();

  RegistryDependencies Deps;
  std::unique_ptr<Ownership> OwnershipPolicy;
  std::map<ServiceName, std::shared_ptr<GroupWatcher>> Watchers;
  std::map<ServerId, std::shared_ptr<ServerOwner>> Owners;
  std::set<std::shared_ptr<ServerOwner>> RetiringOwners;
  TaskCondition OwnerRetired;
  std::map<std::uint64_t, FloorRequest *> FloorRequests;
  std::uint64_t NextCorrelation;
  TaskGroup Tasks;
  bool Running = false;
  bool ListenersRegistered = false;
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_ROOT_BACKENDS_SERVERREGISTRY_H
