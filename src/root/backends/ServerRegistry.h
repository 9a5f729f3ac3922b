// The child that owns backend servers and watches groups.
//
// Which servers this entry VM owns follows from the configuration in force and
// the members: every change of either makes the registry start and stop owners
// and watchers. A group is watched by the owners of its servers.
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

/// What a registry uses; all references outlive it.
struct RegistryParts {
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

/// Owns ServerOwners and GroupWatchers and leads to those of other entry VMs.
class ServerRegistry final : public Child, public ExecutorLookup {
public:
  explicit ServerRegistry(RegistryParts Parts);
  ~ServerRegistry() override;

  std::string_view name() const override { return "backends"; }
  QCoro::Task<Result<Success>> start() override;
  QCoro::Task<> stop(TimePoint Deadline) override;

  std::shared_ptr<StatementExecutor>
  executorFor(const EntryVmId &Owner, const ServerId &Server) override;
  std::optional<EntryVmId> ownerOf(const ServerConfig &Server) override;
  QCoro::Task<std::optional<LogPosition>>
  currentFloor(ServiceName Service, TimePoint Deadline) override;

  /// Returns the owner of \p Server if it is this entry VM, or null.
  std::shared_ptr<ServerOwner> findOwned(const ServerId &Server) const;

  /// Returns whether \p Service is watched here.
  bool watches(const ServiceName &Service) const {
    return this->Watchers.contains(Service);
  }

  /// Returns the owners of \p Service's servers, the nearest first.
  std::vector<EntryVmId> watchersOf(const ServiceName &Service);

  const std::map<ServerId, std::shared_ptr<ServerOwner>> &owned() const {
    return this->Owners;
  }

private:
  struct FloorRequest {
    WaitPoint Answered;
    EntryVmId Asked;
    std::optional<LogPosition> Floor;
  };

  void reconcile();
  void reconcileService(const ServiceConfig &Service,
                        std::set<ServerId> &StillOwned,
                        std::set<ServiceName> &StillWatched);
  void startWatcher(const ServiceConfig &Service, unsigned Rank);
  void startOwner(const ServiceConfig &Service, const ServerConfig &Server);
  unsigned rankAmongWatchers(const ServiceConfig &Service);
  QCoro::Task<> retireOwner(std::shared_ptr<ServerOwner> Owner,
                            std::shared_ptr<GroupWatcher> Watcher,
                            Duration Grace);
  bool isRetiringOwnerOf(const ServiceName &Service) const;
  QCoro::Task<> retireWatcher(ServiceName Service,
                              std::shared_ptr<GroupWatcher> Watcher);
  std::unique_ptr<BackendServer> connect(const ServerConfig &Server) const;
  void onFloorQuery(const EntryVmId &From, const peer::FloorQuery &Query);
  QCoro::Task<> answerFloor(EntryVmId From, std::uint64_t Correlation,
                            ServiceName Service);
  void onFloorReply(const EntryVmId &From, const peer::FloorReply &Reply);
  void closeStreamsOfDead();

  RegistryParts Parts;
  std::unique_ptr<Ownership> Choice;
  std::map<ServiceName, std::shared_ptr<GroupWatcher>> Watchers;
  std::map<ServerId, std::shared_ptr<ServerOwner>> Owners;
  std::set<std::shared_ptr<ServerOwner>> Retiring;
  Signal OwnerRetired;
  std::map<std::uint64_t, FloorRequest *> FloorRequests;
  std::uint64_t NextCorrelation;
  TaskGroup Tasks;
  bool Running = false;
  bool Listening = false;
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_ROOT_BACKENDS_SERVERREGISTRY_H
