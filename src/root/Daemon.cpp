#include "root/Daemon.h"

#include "root/telemetry/Log.h"

#include <QJsonArray>
#include <QJsonObject>

namespace amaranthspur {
namespace {

constexpr Duration GaugeUpdateInterval = std::chrono::seconds(1);

QString text(const std::string &Value) { return QString::fromStdString(Value); }

QString text(std::string_view Value) {
  return QString::fromUtf8(Value.data(), static_cast<qsizetype>(Value.size()));
}

std::unique_ptr<Routing> makeRouting(PolicyVariant Variant) {
  if (Variant == PolicyVariant::Naive)
    return makePrimaryOnlyRouting();
  if (Variant == PolicyVariant::TokenIgnored)
    return makeTokenIgnoringRouting();
  return makeNearestReplicaRouting();
}

std::unique_ptr<Retry> makeRetry(PolicyVariant Variant) {
  return Variant == PolicyVariant::BlindRetry ? makeBlindRetry()
                                              : makeBudgetedRetry();
}

PeerNetworkOptions peerOptions(const Settings &Values,
                               std::uint64_t Incarnation) {
  PeerNetworkOptions Options;
  Options.Self = Values.VmId;
  Options.Location = Values.Location;
  Options.ListenAddress = Values.Peers.str();
  Options.PeerAddress = Values.AdvertisedPeers.str();
  Options.BindHost = Values.BindHost;
  Options.DeploymentKey = Values.DeploymentKey;
  Options.Incarnation = Incarnation;
  return Options;
}

QJsonObject positionJson(LogPosition Position) {
  return {{"term", static_cast<qint64>(Position.TermNumber)},
          {"index", static_cast<qint64>(Position.Index)}};
}

} // namespace

std::uint64_t Daemon::startTime() {
  const auto SinceEpoch = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(SinceEpoch)
          .count());
}

Daemon::Daemon(Settings Given)
    : Values(std::move(Given)), Incarnation(startTime()),
      RandomSource(this->Incarnation),
      PlatformClient(this->Values.Platform, this->Incarnation,
                     HttpPlatform::DefaultThresholds, &this->Abandoned),
      Peers([this] {
        PeerNetworkOptions Options =
            peerOptions(this->Values, this->Incarnation);
        Options.OwnRevision = [this] {
          return this->Config.current()->Revision;
        };
        return Options;
      }()),
      Config(this->Values.VmId, this->Values.Location, this->PlatformClient,
             this->Peers),
      ForwardingClient(this->Peers, this->Counters, this->Incarnation),
      Registry({this->Values.VmId, this->Incarnation, this->Values.BindHost,
                this->Values.Variant, this->Config, this->Peers, this->Views,
                this->PlatformClient, this->ForwardingClient,
                this->MonotonicClock, this->RandomSource}),
      ForwardedStatements(this->Peers,
                          [this](const ServerId &Server) {
                            return this->Registry.findOwner(Server);
                          }),
      Exchange(this->Values.VmId, this->Peers, this->Views, this->Registry,
               this->Counters),
      Router(this->Config, this->Views, this->Registry,
             makeRouting(this->Values.Variant), makeRetry(this->Values.Variant),
             this->Values.Location),
      Sessions{this->Values.VmId,
               this->Values.DeploymentKey,
               this->Values.Variant,
               this->Config,
               this->Views,
               this->Router,
               this->Registry,
               this->Counters,
               [this](const ServiceName &Service) {
                 this->Exchange.recordUse(Service);
               },
               {}},
      Callers(this->Sessions, this->Values.Callers, this->Values.MaxCallers,
              this->Incarnation, this->Values.Stop.Notice),
      Admin({this->Values.Admin}, this->Counters),
      RootSupervisor([this](std::string_view Name, const Error &Reason) {
        this->Counters.add(Counter::ChildRestarts, Name);
        log(LogLevel::Warning, LogEvent::ChildFailed,
            {{"child", Name}, {"error", Reason.Message}});
      }) {
  this->connectComponents();
  this->addStatus();
  for (Child *C : std::initializer_list<Child *>{
           &this->Admin, &this->Peers, &this->Config, &this->Registry,
           &this->Exchange, &this->Callers})
    this->RootSupervisor.add(*C);
}

void Daemon::connectComponents() {
  std::vector<ListedMember> Seeds;
  Seeds.reserve(this->Values.SeedPeers.size());
  for (const Member &Seed : this->Values.SeedPeers)
    Seeds.push_back({Seed.Id, Seed.PeerAddress, Seed.Location, false});
  this->Peers.addSeeds(Seeds);
  this->Peers.onPeerRevision(
      [this](const EntryVmId &Peer, std::uint64_t Revision) {
        this->Config.onPeerRevision(Peer, Revision);
      });
  this->Config.listenToVmList([this](const std::vector<PlatformVm> &List) {
    std::vector<ListedMember> Listed;
    Listed.reserve(List.size());
    for (const PlatformVm &Vm : List)
      Listed.push_back({Vm.Id, Vm.PeerAddress, Vm.Location, Vm.Leaving});
    this->Peers.setListed(Listed);
  });
  this->Config.listen([this] {
    this->Counters.add(Counter::ConfigurationsAccepted);
    const std::vector<EntryVmId> &Drained =
        this->Config.current()->DrainedEntryVms;
    if (std::find(Drained.begin(), Drained.end(), this->Values.VmId) !=
        Drained.end())
      this->Peers.leave();
  });
}

bool Daemon::isReady() const {
  return !this->Draining && this->Callers.accepting() &&
         this->Config.current()->Revision > 0;
}

void Daemon::addStatus() {
  this->Admin.setReady([this] { return this->isReady(); });
  this->Admin.addStatus("vm", [this] {
    return QJsonValue(
        QJsonObject{{"id", text(this->Values.VmId.str())},
                    {"data_centre", text(this->Values.Location.str())},
                    {"incarnation", text(std::to_string(this->Incarnation))},
                    {"draining", this->Draining},
                    {"sessions", static_cast<qint64>(this->Callers.sessions())},
                    {"pending_forwards",
                     static_cast<qint64>(this->ForwardingClient.pending())}});
  });
  this->Admin.addStatus("configuration", [this] {
    return QJsonValue(QJsonObject{
        {"revision", static_cast<qint64>(this->Config.current()->Revision)}});
  });
  this->Admin.addStatus("members", [this] { return this->membersStatus(); });
  this->Admin.addStatus("backends", [this] { return this->backendsStatus(); });
  this->Admin.addStatus("services", [this] { return this->servicesStatus(); });
}

QJsonValue Daemon::membersStatus() const {
  QJsonArray Out;
  for (const Member &M : this->Peers.members())
    Out.append(QJsonObject{{"id", text(M.Id.str())},
                           {"data_centre", text(M.Location.str())},
                           {"state", text(nameOf(M.State))},
                           {"peer_address", text(M.PeerAddress)}});
  return Out;
}

QJsonValue Daemon::backendsStatus() const {
  QJsonArray Out;
  for (const auto &[Id, Owner] : this->Registry.owners()) {
    const AdmissionStats Stats = Owner->queueStats();
    Out.append(QJsonObject{
        {"server", text(Id.str())},
        {"service", text(Owner->service().str())},
        {"lease_held", Owner->holdsLease()},
        {"leaving", Owner->server().Leaving},
        {"connections", static_cast<qint64>(Owner->openConnections())},
        {"open_transactions", static_cast<qint64>(Owner->openTransactions())},
        {"queued", static_cast<qint64>(Stats.Queued)},
        {"running", static_cast<qint64>(Stats.Running)},
        {"running_long", static_cast<qint64>(Stats.RunningLong)},
        {"concurrency", static_cast<qint64>(Stats.Concurrency)}});
  }
  return Out;
}

QJsonValue Daemon::servicesStatus() const {
  const TimePoint Now = steadyNow();
  QJsonArray Out;
  for (const ServiceConfig &Service : this->Config.current()->Services) {
    const GroupView *View = this->Views.find(Service.Name);
    QJsonObject Entry{{"service", text(Service.Name.str())},
                      {"watched", this->Registry.watches(Service.Name)},
                      {"view_known", View != nullptr}};
    if (View) {
      Entry["term"] = static_cast<qint64>(View->TermNumber);
      if (View->Primary)
        Entry["primary"] = text(View->Primary->str());
      Entry["accepts_writes"] = View->AcceptsWrites;
      Entry["confirmed"] = positionJson(View->Confirmed);
      Entry["view_age_ms"] = toMilliseconds(Now - View->Taken);
      QJsonArray Servers;
      for (const ServerView &Server : View->Servers) {
        QJsonObject Row{{"id", text(Server.Id.str())},
                        {"reachable", Server.Reachable},
                        {"leaving", Server.Leaving},
                        {"held", positionJson(Server.Held)}};
        if (Server.Age)
          Row["age_ms"] = toMilliseconds(*Server.Age + (Now - View->Taken));
        Servers.append(Row);
      }
      Entry["servers"] = Servers;
    }
    Out.append(Entry);
  }
  return Out;
}

QCoro::Task<> Daemon::updateGauges() {
  while (!this->Draining) {
    this->Counters.set(Gauge::ConfigurationRevision,
                       static_cast<double>(this->Config.current()->Revision));
    this->Counters.set(Gauge::OwnedServers,
                       static_cast<double>(this->Registry.owners().size()));
    double Live = 0;
    for (const Member &M : this->Peers.members())
      Live += acceptsWork(M) ? 1 : 0;
    this->Counters.set(Gauge::LiveMembers, Live);
    for (const auto &[Id, Owner] : this->Registry.owners()) {
      const AdmissionStats Stats = Owner->queueStats();
      this->Counters.set(Gauge::QueuedStatements,
                         static_cast<double>(Stats.Queued), Id.str());
      this->Counters.set(Gauge::ConcurrencyLimit, Stats.Concurrency, Id.str());
      this->Counters.set(Gauge::OpenBackendConnections,
                         static_cast<double>(Owner->openConnections()),
                         Id.str());
    }
    co_await sleepFor(GaugeUpdateInterval);
  }
}

QCoro::Task<Result<Success>> Daemon::start() {
  Result<Success> Started = co_await this->RootSupervisor.start();
  if (succeeded(Started))
    this->updateGauges();
  co_return Started;
}

QCoro::Task<> Daemon::stop(TimePoint Since) {
  if (std::exchange(this->Draining, true))
    co_return;
  log(LogLevel::Info, LogEvent::DrainStarted);
  this->Peers.leave();
  const TimePoint Deadline = Since + this->Values.Stop.End;
  co_await this->RootSupervisor.stop(Deadline, Deadline + StopMargin);
  log(LogLevel::Info, LogEvent::DrainFinished);
}

void Daemon::reload() {
  log(LogLevel::Info, LogEvent::Reload,
      {{"changed", "nothing"}, {"revision", this->Config.current()->Revision}});
}

} // namespace amaranthspur
