#include "root/LineDaemon.h"

#include "root/telemetry/Log.h"

#include <QJsonObject>

namespace amaranthspur {

std::uint64_t LineDaemon::startTime() {
  const auto SinceEpoch = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(SinceEpoch)
          .count());
}

RelayOptions LineDaemon::relayOptions(const Settings &Values) {
  RelayOptions Options;
  Options.Self = Values.VmId;
  Options.Location = Values.Location;
  if (!Values.RelayListener.Host.empty())
    Options.ListenAddress = Values.RelayListener.str();
  Options.CpuShare = Values.CpuShare;
  Options.MaxContactAge = std::chrono::duration_cast<Duration>(
      Values.ConfigurationBound * ContactAgePart);
  Options.DataCentres = std::max<std::size_t>(1, Values.Regions.size());
  Options.Regions = Values.Regions;
  return Options;
}

WorkspaceQuotaOptions LineDaemon::quotaOptions(const Settings &Values,
                                               std::uint64_t Incarnation) {
  WorkspaceQuotaOptions Options;
  Options.Self = {Values.VmId, Incarnation};
  Options.DataCentres = std::max<std::size_t>(1, Values.Regions.size());
  Options.Tolerance = Values.Quotas;
  return Options;
}

LineDaemon::LineDaemon(Settings Given)
    : Values(std::move(Given)), Incarnation(startTime()),
      RandomSource(this->Incarnation ^
                   std::hash<EntryVmId>{}(this->Values.VmId)),
      OwnLocality{this->Values.Location, this->Values.Regions},
      PlatformClient(
          this->Values.Platform, this->RandomSource.below(1ULL << 62U),
          HttpPlatform::DefaultThresholds, &this->Abandoned, &this->Returns),
      Promoter(this->Values.Promotions, &this->Abandoned),
      Connector(this->Values.VmId, &this->Abandoned),
      Feed(this->PlatformClient, this->Values.ConfigurationBound / PollDivisor),
      DataCentreRelay(relayOptions(this->Values), this->PlatformClient,
                      this->Feed, this->RandomSource, this->Counters,
                      this->Returns),
      Directory(this->Feed),
      Quotas(
          quotaOptions(this->Values, this->Incarnation),
          [this] { return this->Directory.plan(); }, this->DataCentreRelay,
          this->RandomSource, this->Counters),
      Registrations(this->PlatformClient),
      Groups(this->Directory, this->Connector, this->OwnLocality,
             {this->Values.VmId, this->PlatformClient, this->Registrations,
              this->Promoter, this->Counters, this->RandomSource,
              this->Returns.history()},
             &this->DataCentreRelay),
      Statements(this->Groups),
      Dependencies{this->Directory, this->Groups, this->Counters,
                   &this->DataCentreRelay.forwarding(), &this->Quotas},
      Routes(
          {[this] { return this->Directory.plan(); },
           [this](const ServiceName &S) { return this->Groups.find(S); },
           &this->DataCentreRelay.forwarding(),
           [this](const WorkspaceName &Of) { return this->quotaState(Of); }}),
      Sessions(this->Dependencies, this->StreamFactory, this->Values.Callers,
               this->Values.MaxCallers, this->Values.Stop),
      Admin({this->Values.Admin, this->Values.Readiness}, this->Counters),
      RootSupervisor([this](std::string_view Name, const Error &Reason) {
        this->Counters.add(Counter::ChildRestarts, Name);
        log(LogLevel::Warning, LogEvent::ChildFailed,
            {{"child", Name}, {"error", Reason.Message}});
      }) {
  this->Directory.Changed = [this] {
    this->Quotas.applyPlan();
    this->Groups.refresh();
  };
  this->Returns.Returned = [this] { this->DataCentreRelay.observeReturn(); };
  this->DataCentreRelay.setBoard(this->Groups);
  this->DataCentreRelay.setStatementRunner(this->Statements);
  this->DataCentreRelay.setQuotas(this->Quotas);
  this->DataCentreRelay.setWorkspaceCheck(
      [this] { return this->Directory.plan()->HasWorkspaces; });
  this->addStatus();
  for (Child *C : std::initializer_list<Child *>{
           &this->Admin, &this->Quotas, &this->DataCentreRelay,
           &this->Directory, &this->Groups, &this->Statements, &this->Sessions})
    this->RootSupervisor.add(*C);
}

bool LineDaemon::isReady() const {
  return !this->Draining && this->Sessions.isAccepting() &&
         this->Directory.plan()->Revision > 0 && this->Groups.anyReachable();
}

void LineDaemon::addStatus() {
  this->Admin.setReady([this] { return this->isReady(); });
  this->Admin.addQuery("route",
                       [this](const AdminServer::QueryParameters &Asked) {
                         return this->Routes.answer(Asked);
                       });
  this->Admin.addStatus("vm", [this] {
    return QJsonValue(QJsonObject{
        {"id", QString::fromStdString(this->Values.VmId.str())},
        {"data_centre", QString::fromStdString(this->Values.Location.str())},
        {"draining", this->Draining},
        {"sessions", static_cast<qint64>(this->Sessions.sessions())}});
  });
  this->Admin.addStatus("configuration", [this] {
    return QJsonValue(QJsonObject{
        {"revision", static_cast<qint64>(this->Directory.plan()->Revision)}});
  });
  this->Admin.addStatus("store", [this] {
    const StoreVersion Newest = this->Returns.history().newest();
    return QJsonValue(
        QJsonObject{{"era", static_cast<qint64>(Newest.era())},
                    {"version", static_cast<qint64>(Newest.number())}});
  });
  this->Admin.addStatus("relay", [this] {
    return QJsonValue(QJsonObject{
        {"role",
         QString::fromUtf8(nameOf(this->DataCentreRelay.role()).data())},
        {"vm", QString::fromStdString(this->DataCentreRelay.row().Vm.str())},
        {"source", QString::fromUtf8(nameOf(this->Feed.source()).data())},
        {"followers", static_cast<qint64>(this->DataCentreRelay.followers())}});
  });
  this->Admin.addStatus("quotas",
                        [this] { return QJsonValue(this->quotaStatus()); });
  this->Admin.addStatus("services", [this] {
    QJsonArray Out;
    for (const auto &[Service, Limits] : this->Directory.plan()->Services) {
      const std::shared_ptr<Group> G = this->Groups.find(Service);
      if (!G)
        continue;
      QJsonObject Entry{{"service", QString::fromStdString(Service.str())}};
      if (const auto Leader = G->beliefs().primary()) {
        Entry["primary"] = QString::fromStdString(Leader->Id.str());
        Entry["term"] = static_cast<qint64>(Leader->TermNumber);
      }
      Entry["servers"] = static_cast<qint64>(G->beliefs().servers().size());
      Out.append(Entry);
    }
    return QJsonValue(Out);
  });
}

std::optional<QuotaState>
LineDaemon::quotaState(const WorkspaceName &Of) const {
  const std::optional<QuotaDecision> Next = this->Quotas.peek(Of);
  if (!Next)
    return std::nullopt;
  QuotaState Out;
  Out.Use.Limit = *this->Directory.plan()->Workspaces.at(Of).Quota;
  for (const QuotaUse &Use : this->Quotas.uses())
    if (Use.Workspace == Of)
      Out.Use = Use;
  Out.Next = Next->Verdict;
  return Out;
}

QJsonArray LineDaemon::quotaStatus() const {
  QJsonArray Out;
  for (const QuotaUse &Use : this->Quotas.uses())
    Out.append(
        QJsonObject{{"workspace", QString::fromStdString(Use.Workspace.str())},
                    {"rate_per_s", Use.Limit.RatePerSecond},
                    {"burst", Use.Limit.Burst},
                    {"leased", Use.Tokens},
                    {"spent", static_cast<qint64>(Use.Spent)},
                    {"refused", static_cast<qint64>(Use.Refused)}});
  return Out;
}

QCoro::Task<> LineDaemon::monitorReadiness() {
  while (!this->Draining) {
    this->Counters.set(Gauge::ConfigurationRevision,
                       static_cast<double>(this->Directory.plan()->Revision));
    const bool Ready = this->isReady();
    if (Ready != this->WasReady)
      log(LogLevel::Info, LogEvent::ReadinessChanged,
          {{"ready", Ready ? "yes" : "no"},
           {"plan", this->Directory.plan()->Revision}});
    this->WasReady = Ready;
    co_await sleepFor(ReadinessInterval);
  }
}

QCoro::Task<Result<Success>> LineDaemon::start() {
  Result<Success> Started = co_await this->RootSupervisor.start();
  if (succeeded(Started))
    this->monitorReadiness();
  co_return Started;
}

QCoro::Task<> LineDaemon::stop(TimePoint Since) {
  if (std::exchange(this->Draining, true))
    co_return;
  log(LogLevel::Info, LogEvent::DrainStarted);
  this->DataCentreRelay.leave();
  const TimePoint Deadline = Since + this->Values.Stop.End;
  co_await this->RootSupervisor.stop(Deadline, Deadline + StopMargin);
  log(LogLevel::Info, LogEvent::DrainFinished);
}

void LineDaemon::reload() {
  log(LogLevel::Info, LogEvent::Reload,
      {{"changed", "nothing"}, {"plan", this->Directory.plan()->Revision}});
}

} // namespace amaranthspur
