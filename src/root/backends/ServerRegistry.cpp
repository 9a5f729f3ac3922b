#include "root/backends/ServerRegistry.h"

#include "root/backends/PgBackendServer.h"
#include "root/telemetry/Log.h"

#include <algorithm>

namespace amaranthspur {
namespace {

/// How long open transactions may continue after their server was assigned to
/// another owner. Writes wait for the new owner during this time, and a whole
/// handover is allowed 2,000 ms.
constexpr Duration HandoverTimeout = milliseconds(1500);
/// Timeout of a request for a read floor.
constexpr Duration FloorTimeout = milliseconds(1000);

bool usesNaiveFailover(PolicyVariant Variant) {
  return Variant == PolicyVariant::Naive;
}

bool usesImmediateDurability(PolicyVariant Variant) {
  return Variant == PolicyVariant::Naive ||
         Variant == PolicyVariant::NoQuorumWait;
}

std::unique_ptr<Ownership> makeOwnership(PolicyVariant Variant) {
  if (Variant == PolicyVariant::Naive)
    return std::make_unique<StaticShareOwnership>();
  return std::make_unique<RendezvousOwnership>();
}

} // namespace

ServerRegistry::ServerRegistry(RegistryDependencies Deps)
    : Deps(std::move(Deps)), OwnershipPolicy(makeOwnership(this->Deps.Variant)),
      NextCorrelation(this->Deps.Incarnation) {
  PeerNetwork &Network = this->Deps.Network;
  Network.setHandler(peer::Envelope::kFloorQuery,
                     [this](const EntryVmId &From, peer::Envelope &Message) {
                       this->onFloorQuery(From, Message.floor_query());
                     });
  Network.setHandler(peer::Envelope::kFloorReply,
                     [this](const EntryVmId &From, peer::Envelope &Message) {
                       this->onFloorReply(From, Message.floor_reply());
                     });
}

ServerRegistry::~ServerRegistry() = default;

QCoro::Task<Result<Success>> ServerRegistry::start() {
  this->Running = true;
  if (!std::exchange(this->ListenersRegistered, true)) {
    this->Deps.Config.listen([this] { this->reconcile(); });
    this->Deps.Network.addListener([this] {
      this->handleDeadMembers();
      this->reconcile();
    });
    this->Deps.Views.addListener([this](const GroupView &View) {
      this->Deps.Remote.failSuperseded(View);
      for (const auto &[Id, Owner] : this->Owners)
        if (Owner->service() == View.Service)
          Owner->onViewChanged();
    });
  }
  this->reconcile();
  co_return Success();
}

QCoro::Task<> ServerRegistry::stop(TimePoint Deadline) {
  this->Running = false;
  const Duration Grace = std::max(Deadline - steadyNow(), Duration::zero());
  for (const auto &[Id, Owner] : this->Owners)
    this->retireOwner(Owner, nullptr, Grace);
  this->Owners.clear();
  co_await this->Tasks.waitUntilEmpty(Deadline);
  for (const std::shared_ptr<ServerOwner> &Owner : this->RetiringOwners)
    Owner->abandonRunning();
  co_await this->Tasks.waitUntilEmpty(Deadline + HandoverTimeout);
  for (const auto &[Service, Watcher] : this->Watchers)
    this->retireWatcher(Service, Watcher);
  this->Watchers.clear();
  co_await this->Tasks.waitUntilEmpty(steadyNow() + HandoverTimeout);
}

std::unique_ptr<BackendServer>
ServerRegistry::connect(const ServerConfig &Server) const {
  return std::make_unique<PgBackendServer>(
      PgServerSettings{Server.Id,
                       {Server.Host, Server.Port},
                       this->Deps.Self,
                       this->Deps.BindHost});
}

void ServerRegistry::reconcile() {
  if (!this->Running)
    return;
  const std::shared_ptr<const Configuration> Config =
      this->Deps.Config.current();
  std::set<ServerId> StillOwned;
  std::set<ServiceName> StillWatched;
  for (const ServiceConfig &Service : Config->Services)
    this->reconcileService(Service, StillOwned, StillWatched);
  for (auto It = this->Owners.begin(); It != this->Owners.end();) {
    if (StillOwned.contains(It->first)) {
      ++It;
      continue;
    }
    log(LogLevel::Info, LogEvent::OwnershipLost, {{"server", It->first.str()}});
    // The watcher is kept until the owner has stopped, because it confirms the
    // owner's last writes.
    std::shared_ptr<GroupWatcher> Watcher;
    const auto Found = this->Watchers.find(It->second->service());
    if (Found != this->Watchers.end())
      Watcher = Found->second;
    this->retireOwner(It->second, std::move(Watcher), HandoverTimeout);
    It = this->Owners.erase(It);
  }
  for (auto It = this->Watchers.begin(); It != this->Watchers.end();) {
    if (StillWatched.contains(It->first)) {
      ++It;
      continue;
    }
    this->retireWatcher(It->first, It->second);
    It = this->Watchers.erase(It);
  }
}

void ServerRegistry::reconcileService(const ServiceConfig &Service,
                                      std::set<ServerId> &StillOwned,
                                      std::set<ServiceName> &StillWatched) {
  const std::vector<Member> &Members = this->Deps.Network.members();
  for (const ServerConfig &Server : Service.Servers) {
    if (this->ownerOf(Server) != this->Deps.Self)
      continue;
    StillOwned.insert(Server.Id);
    if (StillWatched.insert(Service.Name).second) {
      const unsigned Rank = this->rankAmongWatchers(Service);
      if (const auto Found = this->Watchers.find(Service.Name);
          Found != this->Watchers.end())
        Found->second->configure(Service, Rank);
      else
        this->startWatcher(Service, Rank);
    }
    const unsigned Connections =
        this->OwnershipPolicy->workConnections(Server, Members);
    if (const auto Owned = this->findOwner(Server.Id))
      Owned->configure(Service, Server, Connections);
    else
      this->startOwner(Service, Server);
  }
}

unsigned ServerRegistry::rankAmongWatchers(const ServiceConfig &Service) {
  std::set<EntryVmId> Owners;
  for (const ServerConfig &Server : Service.Servers)
    if (const std::optional<EntryVmId> Owner = this->ownerOf(Server))
      Owners.insert(*Owner);
  // Rendezvous weights give the same order of watchers on every entry VM, and a
  // different order for each service.
  const std::uint64_t Own =
      rendezvousWeight(Service.Name.str(), this->Deps.Self);
  unsigned Rank = 0;
  for (const EntryVmId &Owner : Owners)
    if (rendezvousWeight(Service.Name.str(), Owner) > Own)
      ++Rank;
  return Rank;
}

void ServerRegistry::startWatcher(const ServiceConfig &Service, unsigned Rank) {
  WatcherPolicies Policies;
  Policies.Durable = usesImmediateDurability(this->Deps.Variant)
                         ? makeImmediateDurability()
                         : makeMajorityDurability();
  Policies.Promotion = usesNaiveFailover(this->Deps.Variant)
                           ? makeNaiveFailover(this->Deps.Rng)
                           : makeMajorityFailover(this->Deps.Rng);
  WatcherDependencies WatcherDeps{
      this->Deps.Self,
      this->Deps.Time,
      this->Deps.Store,
      this->Deps.Views,
      [this](const ServerConfig &Server) { return this->connect(Server); },
      [](const std::string &Line) { logLine(LogLevel::Info, Line); }};
  auto Watcher = std::make_shared<GroupWatcher>(
      std::move(WatcherDeps), std::move(Policies), Service, Rank);
  Watcher->start();
  this->Watchers.emplace(Service.Name, std::move(Watcher));
}

void ServerRegistry::startOwner(const ServiceConfig &Service,
                                const ServerConfig &Server) {
  ServerOwnerSetup Setup;
  Setup.Self = this->Deps.Self;
  Setup.Incarnation = this->Deps.Incarnation;
  Setup.Service = Service.Name;
  Setup.Server = Server;
  Setup.WorkConnections = this->OwnershipPolicy->workConnections(
      Server, this->Deps.Network.members());
  Setup.BindHost = this->Deps.BindHost;
  Setup.Variant = this->Deps.Variant;
  Setup.NeedsLease = this->Deps.Variant != PolicyVariant::Naive;
  AdmissionLimits Limits;
  Limits.Slots = Server.Slots;
  std::unique_ptr<Admission> Queue = this->Deps.Variant == PolicyVariant::Naive
                                         ? makeFifoAdmission(Service, Limits)
                                         : makeFairAdmission(Service, Limits);
  auto Owner = std::make_shared<ServerOwner>(
      std::move(Setup), std::move(Queue), this->connect(Server),
      *this->Watchers.at(Service.Name), this->Deps.Views);
  Owner->start();
  log(LogLevel::Info, LogEvent::OwnershipAcquired,
      {{"server", Server.Id.str()}, {"service", Service.Name.str()}});
  this->Owners.emplace(Server.Id, std::move(Owner));
}

QCoro::Task<> ServerRegistry::retireOwner(std::shared_ptr<ServerOwner> Owner,
                                          std::shared_ptr<GroupWatcher> Watcher,
                                          Duration Grace) {
  const TaskGroup::Guard Guard(this->Tasks);
  this->RetiringOwners.insert(Owner);
  co_await Owner->stop(steadyNow() + Grace);
  this->RetiringOwners.erase(Owner);
  this->OwnerRetired.notifyAll();
  Watcher.reset(); // The owner used the watcher until it had stopped.
}

bool ServerRegistry::isRetiringOwnerOf(const ServiceName &Service) const {
  return std::any_of(this->RetiringOwners.begin(), this->RetiringOwners.end(),
                     [&Service](const std::shared_ptr<ServerOwner> &Owner) {
                       return Owner->service() == Service;
                     });
}

QCoro::Task<>
ServerRegistry::retireWatcher(ServiceName Service,
                              std::shared_ptr<GroupWatcher> Watcher) {
  const TaskGroup::Guard Guard(this->Tasks);
  // An owner that is stopping still waits for its last confirmations.
  co_await sleepFor(this->Running ? HandoverTimeout : Duration::zero());
  while (this->isRetiringOwnerOf(Service))
    co_await this->OwnerRetired.wait();
  co_await Watcher->stop();
}

std::optional<EntryVmId> ServerRegistry::ownerOf(const ServerConfig &Server) {
  return this->OwnershipPolicy->ownerOf(Server, *this->Deps.Config.current(),
                                        this->Deps.Self,
                                        this->Deps.Network.members());
}

std::shared_ptr<ServerOwner>
ServerRegistry::findOwner(const ServerId &Server) const {
  const auto Found = this->Owners.find(Server);
  return Found == this->Owners.end() ? nullptr : Found->second;
}

std::shared_ptr<StatementExecutor>
ServerRegistry::executorFor(const EntryVmId &Owner, const ServerId &Server) {
  if (Owner == this->Deps.Self)
    return this->findOwner(Server);
  return this->Deps.Remote.executorAt(Owner);
}

std::vector<EntryVmId>
ServerRegistry::ownersNearestFirst(const ServiceName &Service) {
  const std::shared_ptr<const Configuration> Config =
      this->Deps.Config.current();
  const ServiceConfig *Found = Config->findService(Service);
  if (!Found)
    return {};
  DataCentre Here;
  for (const Member &M : this->Deps.Network.members())
    if (M.Id == this->Deps.Self)
      Here = M.Location;
  std::vector<EntryVmId> Near;
  std::vector<EntryVmId> Far;
  for (const ServerConfig &Server : Found->Servers)
    if (const std::optional<EntryVmId> Owner = this->ownerOf(Server))
      (Server.Location == Here ? Near : Far).push_back(*Owner);
  Near.insert(Near.end(), Far.begin(), Far.end());
  return Near;
}

QCoro::Task<std::optional<LogPosition>>
ServerRegistry::currentFloor(ServiceName Service, TimePoint Deadline) {
  const TimePoint Until = std::min(Deadline, steadyNow() + FloorTimeout);
  if (const auto Found = this->Watchers.find(Service);
      Found != this->Watchers.end()) {
    const std::shared_ptr<GroupWatcher> Watcher = Found->second;
    co_return co_await Watcher->currentFloor(Until);
  }
  const std::vector<EntryVmId> Candidates = this->ownersNearestFirst(Service);
  for (const EntryVmId &Candidate : Candidates) {
    FloorRequest Request;
    Request.Responder = Candidate;
    const std::uint64_t Correlation = this->NextCorrelation++;
    peer::Envelope Message;
    Message.mutable_floor_query()->set_correlation(Correlation);
    Message.mutable_floor_query()->set_service(Service.str());
    if (!this->Deps.Network.send(Candidate, std::move(Message)))
      continue;
    this->FloorRequests.emplace(Correlation, &Request);
    co_await Request.Answered.wait(Until);
    this->FloorRequests.erase(Correlation);
    if (Request.Floor)
      co_return Request.Floor;
  }
  co_return std::nullopt;
}

void ServerRegistry::onFloorQuery(const EntryVmId &From,
                                  const peer::FloorQuery &Query) {
  this->answerFloor(From, Query.correlation(), ServiceName(Query.service()));
}

QCoro::Task<> ServerRegistry::answerFloor(EntryVmId From,
                                          std::uint64_t Correlation,
                                          ServiceName Service) {
  const TaskGroup::Guard Guard(this->Tasks);
  std::optional<LogPosition> Floor;
  if (const auto Found = this->Watchers.find(Service);
      Found != this->Watchers.end()) {
    const std::shared_ptr<GroupWatcher> Watcher = Found->second;
    Floor = co_await Watcher->currentFloor(steadyNow() + FloorTimeout);
  }
  peer::Envelope Message;
  peer::FloorReply &Reply = *Message.mutable_floor_reply();
  Reply.set_correlation(Correlation);
  Reply.set_known(Floor.has_value());
  if (Floor) {
    Reply.mutable_floor()->set_term(Floor->TermNumber);
    Reply.mutable_floor()->set_index(Floor->Index);
  }
  this->Deps.Network.send(From, std::move(Message));
}

void ServerRegistry::onFloorReply(const EntryVmId &From,
                                  const peer::FloorReply &Reply) {
  const auto Found = this->FloorRequests.find(Reply.correlation());
  if (Found == this->FloorRequests.end() || Found->second->Responder != From)
    return;
  if (Reply.known())
    Found->second->Floor =
        LogPosition{Reply.floor().term(), Reply.floor().index()};
  Found->second->Answered.wake();
}

void ServerRegistry::handleDeadMembers() {
  for (const Member &M : this->Deps.Network.members()) {
    if (M.State != MemberState::Dead)
      continue;
    this->Deps.Remote.failRequestsTo(M.Id);
    for (const auto &[Id, Owner] : this->Owners)
      Owner->closeStreamsOf(M.Id);
  }
}

} // namespace amaranthspur
