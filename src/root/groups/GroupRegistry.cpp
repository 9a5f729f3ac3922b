#include "root/groups/GroupRegistry.h"

#include "core/BootClock.h"
#include "policy/Registrations.h"

namespace amaranthspur {

GroupRegistry::GroupRegistry(const PlatformDirectory &Directory,
                             ServerConnector &Connector, const Locality &Where,
                             MonitorDependencies Dependencies,
                             EvidenceSource *Source)
    : Directory(Directory), Connector(Connector), Where(Where),
      Dependencies(std::move(Dependencies)),
      Claims(this->Dependencies.Store, this->Dependencies.History),
      Source(Source) {}

QCoro::Task<Result<Success>> GroupRegistry::start() {
  this->Running = true;
  this->refresh();
  const Result<Success> Started = Success();
  co_return Started;
}

QCoro::Task<> GroupRegistry::stop(TimePoint Deadline) {
  this->Running = false;
  for (auto &[Service, E] : this->Groups)
    this->stopGroup(E);
  this->Groups.clear();
  co_await this->StoppingGroups.waitUntilEmpty(Deadline);
}

void GroupRegistry::refresh() {
  if (!this->Running)
    return;
  const std::shared_ptr<const AccessPlan> Plan = this->Directory.plan();
  std::map<ServiceName, std::vector<RegisteredServer>> Servers;
  std::vector<RegisteredServer> Registered;
  for (const auto &[Id, Server] : this->Directory.servers())
    Registered.push_back(Server);
  for (RegisteredServer &Server : withoutReplaced(Registered))
    Servers[Server.Service].push_back(std::move(Server));
  for (auto It = this->Groups.begin(); It != this->Groups.end();) {
    if (Plan->Services.count(It->first) > 0) {
      ++It;
      continue;
    }
    this->stopGroup(It->second);
    It = this->Groups.erase(It);
  }
  for (const auto &[Service, Limits] : Plan->Services) {
    if (this->Groups.count(Service) == 0)
      this->addGroup(Service);
    this->Groups[Service].ServerGroup->configure(Limits, Servers[Service]);
  }
  this->applyHomes();
}

void GroupRegistry::addGroup(const ServiceName &Service) {
  Entry &E = this->Groups[Service];
  E.ServerGroup = std::make_shared<Group>(Service, this->Connector, this->Where,
                                          this->Source, &this->Claims,
                                          &this->Dependencies.Counters);
  E.ServerGroup->setEntryVms(this->EntryVms);
  E.Monitor = std::make_shared<GroupMonitor>(E.ServerGroup, this->Dependencies);
  E.ServerGroup->start();
  E.Monitor->start();
}

QCoro::Task<> GroupRegistry::stopGroup(Entry Stopped) {
  const TaskGroup::Guard Guard(this->StoppingGroups);
  co_await Stopped.Monitor->stop();
  co_await Stopped.ServerGroup->stop();
}

std::shared_ptr<Group> GroupRegistry::find(const ServiceName &Service) const {
  const auto Found = this->Groups.find(Service);
  return Found == this->Groups.end() ? nullptr : Found->second.ServerGroup;
}

bool GroupRegistry::anyReachable() const {
  for (const auto &[Service, E] : this->Groups)
    if (E.ServerGroup->anyServerReachable())
      return true;
  return false;
}

// --- EvidenceBoard -----------------------------------------------------------

std::vector<ServiceName> GroupRegistry::wantedServices() const {
  std::vector<ServiceName> Wanted;
  for (const auto &[Service, E] : this->Groups)
    if (E.ServerGroup->wantsEvidence())
      Wanted.push_back(Service);
  return Wanted;
}

std::vector<ServiceName> GroupRegistry::suspectServices() const {
  std::vector<ServiceName> Suspects;
  for (const auto &[Service, E] : this->Groups)
    if (E.Monitor->isSuspicious())
      Suspects.push_back(Service);
  return Suspects;
}

std::optional<GroupEvidence>
GroupRegistry::shareEvidence(const ServiceName &Service) {
  const std::shared_ptr<Group> Wanted = this->find(Service);
  if (!Wanted)
    return std::nullopt;
  Wanted->requestFloors();
  return Wanted->evidence();
}

void GroupRegistry::suspect(const ServiceName &Service) {
  const auto Found = this->Groups.find(Service);
  if (Found != this->Groups.end())
    Found->second.Monitor->suspect();
}

void GroupRegistry::applyEvidence(const GroupEvidence &Known) {
  if (const std::shared_ptr<Group> Of = this->find(Known.Service))
    Of->applyEvidence(Known);
}

void GroupRegistry::setEntryVms(std::size_t Count) {
  this->EntryVms = Count;
  for (const auto &[Service, E] : this->Groups)
    E.ServerGroup->setEntryVms(Count);
}

void GroupRegistry::setForwarders(std::size_t Count) {
  this->Forwarders = Count;
  this->applyHomes();
}

void GroupRegistry::applyHomes() {
  const std::size_t Homes =
      this->Directory.plan()->HasWorkspaces ? this->Forwarders : 0;
  for (const auto &[Service, E] : this->Groups)
    E.ServerGroup->setHomes(Homes);
}

QCoro::Task<bool> GroupRegistry::prove(ServiceName Service, Term T,
                                       TimePoint Deadline) {
  const std::shared_ptr<Group> Of = this->find(Service);
  if (!Of)
    co_return false;
  const TimePoint Now = bootNow();
  const bool Proved = co_await Of->awaitProof(T, Now, Deadline);
  co_return Proved;
}

} // namespace amaranthspur
