#include "bench/soak/Site.h"

#include "bench/soak/Callers.h"
#include "bench/soak/Judge.h"
#include "bench/soak/SocketOwner.h"

#include <QJsonArray>
#include <QJsonDocument>

#include <unistd.h>

namespace amaranthspur::bench::soak {
namespace {

/// Limit for all entry VMs to become ready.
constexpr Duration StartTimeout = std::chrono::seconds(20);
constexpr Duration ReadyPollInterval = milliseconds(50);
constexpr unsigned FirstTimeoutMs = 1000;
/// Versions of the configuration increase in uneven steps.
constexpr unsigned VersionStep = 3;

QJsonObject route(const std::string &Name, const std::string &Database,
                  const std::string &Service, RouteType Type,
                  unsigned TimeoutMs, bool Anonymous) {
  QJsonObject O{
      {"name", QString::fromStdString(Name)},
      {"host", QString::fromStdString(Database)},
      {"prefix", "/"},
      {"route-type", QString::fromStdString(std::string(nameOf(Type)))},
      {"timeout-ms", static_cast<int>(TimeoutMs)},
      {"latency-goal-ms", 400},
      {"priority", 1},
      {"service", QString::fromStdString(Service)},
      {"anonymous", Anonymous},
      {"max-attempts", 2}};
  if (Type != RouteType::Primary)
    O["max-staleness-ms"] = MaxStalenessMs;
  return O;
}

QJsonObject serviceEntry(const std::string &Name) {
  return {{"name", QString::fromStdString(Name)},
          {"health-path", "/health"},
          {"max-conns", 50},
          {"protocol", "h1"},
          {"tls", false},
          {"sync-replicas", 1}};
}

/// Returns the address of one entry VM. The process ID keeps concurrent runs
/// apart, since the deploy file has a fixed port.
std::string loopbackHost(unsigned Index) {
  const auto Process = static_cast<unsigned>(::getpid());
  return "127." + std::to_string(16 + Process / 250 % 200) + "." +
         std::to_string(1 + Process % 250) + "." + std::to_string(10 + Index);
}

} // namespace

Site::Site(Record &Events, TaskGroup &Tasks)
    : Events(Events), Tasks(Tasks),
      Platform(Events, Tasks,
               [this](const std::string &Service, const std::string &Target,
                      const std::string &Holder, std::uint64_t Fence,
                      Duration Late) {
                 return this->promote(Service, Target, Holder, Fence, Late);
               }) {}

Result<Success> Site::start(unsigned GroupCount, unsigned VmCount,
                            const DeployCommand &Command,
                            const std::string &LogDirectory) {
  Result<Success> Listening = this->Platform.listen();
  if (!succeeded(Listening))
    return Listening;
  for (unsigned G = 0; G < GroupCount; ++G) {
    this->Groups.push_back(std::make_unique<ServerGroup>(
        G, this->Platform, this->Events, this->Tasks,
        [this](const std::string &Name) -> Path * {
          EntryVm *Vm = this->findVm(Name);
          return Vm == nullptr ? nullptr : &Vm->ToServers;
        },
        [this](std::uint16_t LocalPort, std::uint16_t RemotePort) {
          return this->ownerOf(LocalPort, RemotePort);
        }));
    for (unsigned I = 0; I < DataCentres.size(); ++I)
      if (this->Groups.back()->add((G + I) % DataCentres.size(),
                                   I == 0 ? ServerRole::Primary
                                          : ServerRole::Replica) == nullptr)
        return Error{"a server cannot listen"};
  }
  this->configure(FirstTimeoutMs, true);
  for (unsigned I = 0; I < VmCount; ++I) {
    const unsigned DataCentre = I % DataCentres.size();
    this->Vms.push_back(std::make_unique<EntryVm>(
        std::string(DataCentres[DataCentre]) + "-" +
            std::to_string(I / DataCentres.size() + 1),
        DataCentre, loopbackHost(I), this->Platform.address(), Command,
        this->Events, this->Tasks, LogDirectory));
    this->Vms.back()->start();
    this->Vms.back()->probe();
  }
  return Success();
}

QCoro::Task<bool> Site::waitReady() {
  const TimePoint Deadline = steadyNow() + StartTimeout;
  bool Ready = false;
  while (!Ready && steadyNow() < Deadline) {
    co_await sleepFor(ReadyPollInterval);
    Ready = std::ranges::all_of(this->Vms,
                                [](const auto &Vm) { return Vm->ready(); });
  }
  co_return Ready;
}

QCoro::Task<> Site::stop() {
  for (const auto &Vm : this->Vms)
    co_await Vm->stop();
  for (const auto &Group : this->Groups)
    Group->stop();
  this->Platform.stop();
}

void Site::configure(unsigned TimeoutMs, bool WithProbedRoute) {
  QJsonArray Routes;
  QJsonArray Services;
  for (const auto &Group : this->Groups) {
    for (const auto &[Type, Name] : EnumNames<RouteType>::Entries)
      Routes.append(route("r-" + std::to_string(Routes.size() + 1),
                          databaseOf(Group->number(), Type), Group->service(),
                          Type, TimeoutMs, isAnonymous(Group->number(), Type)));
    Services.append(serviceEntry(Group->service()));
  }
  if (WithProbedRoute)
    Routes.append(route("r-extra", ProbedDatabase,
                        this->Groups.front()->service(), RouteType::Primary,
                        TimeoutMs, true));
  const QJsonObject Limits{{"max-header-bytes", 16384},
                           {"max-body-bytes", 262144},
                           {"header-timeout-ms", 3000},
                           {"idle-timeout-ms", 15000},
                           {"tx-idle-ms", 3000}};
  const QJsonObject Document{{"version", static_cast<int>(this->Version)},
                             {"routes", Routes},
                             {"services", Services},
                             {"tenants", this->WorkspaceList.document()},
                             {"limits", Limits}};
  this->Version += VersionStep;
  this->Configuration = QJsonDocument(Document).toJson(QJsonDocument::Compact);
  this->Platform.put("op", "config", this->Configuration);
  this->Events.Seen.RouteChanges.push_back(
      {WithProbedRoute, this->Events.now()});
  this->Events.Seen.WorkspaceVersions.push_back(
      {this->Events.now(), this->WorkspaceList.entries()});
}

void Site::configureAgain() {
  this->Platform.put("op", "config", this->Configuration);
}

std::string Site::ownerOf(std::uint16_t LocalPort, std::uint16_t RemotePort) {
  const std::string Link = socketLink(LocalPort, RemotePort);
  if (!Link.empty())
    for (const auto &Vm : this->Vms)
      if (Vm->running() && hasOpen(Vm->processId(), Link))
        return Vm->name();
  return {};
}

EntryVm *Site::findVm(const std::string &Name) {
  for (const auto &Vm : this->Vms)
    if (Vm->name() == Name)
      return Vm.get();
  return nullptr;
}

int Site::promote(const std::string &Service, const std::string &Target,
                  const std::string &Holder, std::uint64_t Fence,
                  Duration Late) {
  const auto Group =
      std::ranges::find_if(this->Groups, [&Service](const auto &Each) {
        return Each->service() == Service;
      });
  if (Group == this->Groups.end())
    return 404;
  this->Events.note("platform: promotion of " + Target + " ordered by " +
                    Holder + ", fence " + std::to_string(Fence));
  Order Arrived;
  Arrived.Group = (*Group)->number();
  Arrived.Target = Target;
  Arrived.Holder = Holder;
  Arrived.Fence = Fence;
  Arrived.At = this->Events.now();
  this->Events.Seen.Orders.push_back(std::move(Arrived));
  return (*Group)->promote(Target, Late);
}

} // namespace amaranthspur::bench::soak
