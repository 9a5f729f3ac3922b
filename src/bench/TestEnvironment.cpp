#include "bench/TestEnvironment.h"

#include "bench/Failure.h"
#include <algorithm>
#include <iostream>
#include <set>

namespace amaranthspur::bench {
namespace {

constexpr Duration SettleTimeout = std::chrono::seconds(4);
constexpr Duration StatusTimeout = milliseconds(150);
constexpr Duration PollDelay = milliseconds(20);

DeploymentSpec specFor(const RunSettings &Settings, DeploymentSpec Spec) {
  Spec.Variant = Settings.Variant;
  Spec.LogDirectory = Settings.LogDirectory;
  return Spec;
}

} // namespace

TestEnvironment::TestEnvironment(const RunSettings &Settings,
                                 DeploymentSpec Spec)
    : Settings(Settings), StartTime(steadyNow()),
      Target(specFor(Settings, std::move(Spec))) {}

TestEnvironment::~TestEnvironment() = default;

Duration TestEnvironment::timeLeft() const {
  return std::max(this->StartTime + this->Settings.Length - steadyNow(),
                  Duration::zero());
}

LoadClient &TestEnvironment::addLoad(LoadPlan Plan) {
  // The prefix keeps session and operation names unique within the run.
  Plan.Prefix = std::string("c") + std::to_string(this->Loads.size()) + "s";
  Plan.Seed = Plan.Seed * 31 + this->Loads.size();
  this->Loads.push_back(std::make_unique<LoadClient>(std::move(Plan)));
  return *this->Loads.back();
}

QCoro::Task<> TestEnvironment::inject(std::size_t Index, ServerFault Fault) {
  ServerNode &Node = this->Target.servers()[Index];
  this->mark(Node.Id.str() + " " + std::string(nameOf(Fault)));
  switch (Fault) {
  case ServerFault::Killed:
    Node.Process->kill();
    break;
  case ServerFault::Paused:
    Node.Process->pause();
    break;
  case ServerFault::Isolated: {
    const auto Rules = serverIsolationRules(
        this->Target.spec(), Node.DataCentreIndex, Node.Id.str());
    for (const auto &[Scope, Rule] : Rules)
      co_await this->Target.links().set(Scope, Rule);
    break;
  }
  }
}

QCoro::Task<> TestEnvironment::restore(std::size_t Index, ServerFault Fault) {
  ServerNode &Node = this->Target.servers()[Index];
  this->mark(Node.Id.str() + " restored");
  switch (Fault) {
  case ServerFault::Killed:
    co_await this->Target.restartServer(Index);
    break;
  case ServerFault::Paused:
    Node.Process->resume();
    break;
  case ServerFault::Isolated: {
    const auto Rules = serverIsolationRules(
        this->Target.spec(), Node.DataCentreIndex, Node.Id.str());
    for (const auto &[Scope, Rule] : Rules)
      co_await this->Target.links().removeFault(Scope);
    break;
  }
  }
}

QCoro::Task<Term> TestEnvironment::leadingTerm(std::string Service) {
  Term Highest = 0;
  for (const ServerNode &Node : this->Target.servers()) {
    if (Node.Service != Service || !Node.Process->running())
      continue;
    const auto Report = co_await queryStatus(Node.DirectAddress, Service,
                                             steadyNow() + StatusTimeout);
    if (succeeded(Report) && valueOf(Report).Role == ServerRole::Primary)
      Highest = std::max(Highest, valueOf(Report).LogEnd.TermNumber);
  }
  co_return Highest;
}

QCoro::Task<std::optional<Term>>
TestEnvironment::waitForPromotion(std::string Service, Term OldTerm,
                                  TimePoint Deadline) {
  std::optional<Term> Found;
  while (!Found && steadyNow() < Deadline) {
    const Term Now = co_await this->leadingTerm(Service);
    if (Now > OldTerm)
      Found = Now;
    else
      co_await sleepFor(PollDelay);
  }
  co_return Found;
}

QCoro::Task<Result<std::vector<Violation>>> TestEnvironment::check() {
  co_await this->Target.links().removeAllFaults();
  for (ServerNode &Node : this->Target.servers())
    Node.Process->resume();
  std::vector<FinalRow> Rows;
  for (const std::string &Service : this->Target.spec().Services) {
    // A group that does not settle in time is checked in its current state: the
    // rows of the primary with the highest term are authoritative.
    co_await this->Target.waitUntilSettled(Service,
                                           steadyNow() + SettleTimeout);
    const auto FinalRows = co_await this->Target.finalRows(Service);
    if (!succeeded(FinalRows))
      co_return makeError(errorOf(FinalRows));
    Rows.insert(Rows.end(), valueOf(FinalRows).begin(),
                valueOf(FinalRows).end());
  }
  co_return bench::check(this->mergedHistory(), Rows);
}

History TestEnvironment::mergedHistory() const {
  History All;
  for (const auto &Load : this->Loads) {
    const auto &Operations = Load->history().Operations;
    All.Operations.insert(All.Operations.end(), Operations.begin(),
                          Operations.end());
  }
  return All;
}

void TestEnvironment::mark(std::string Text) {
  this->Marks.push_back({steadyNow(), std::move(Text)});
}

PlotRun TestEnvironment::plot(std::string Title) const {
  PlotRun Run;
  Run.Title = std::move(Title) + " (" +
              std::string(nameOf(this->Settings.Variant)) + ")";
  Run.Operations = this->mergedHistory().Operations;
  Run.Marks = this->Marks;
  Run.Start = this->StartTime;
  if (!Run.Operations.empty())
    Run.Start =
        std::ranges::min(Run.Operations, {}, &Operation::Intended).Intended;
  return Run;
}

std::vector<CallerLoad> spreadCallers(const Deployment &Target,
                                      const CallerLoad &Load,
                                      unsigned Sessions) {
  constexpr double RoamShare = 0.1;
  std::vector<CallerLoad> Loads;
  for (std::size_t DataCentreIndex = 0;
       DataCentreIndex < Target.spec().DataCentres.size(); ++DataCentreIndex) {
    CallerLoad Local = Load;
    Local.Sessions = Sessions;
    Local.Entries = Target.entryPoints(DataCentreIndex);
    Local.BindHost = Deployment::callerAddress(DataCentreIndex);
    if (!Local.Entries.empty())
      Loads.push_back(Local);
  }
  CallerLoad Roaming = Load;
  Roaming.Sessions = Sessions;
  Roaming.Entries = Target.entryPoints();
  Roaming.RoamShare = RoamShare;
  Loads.push_back(Roaming);
  return Loads;
}

QJsonObject violationsJson(const std::vector<Violation> &Violations) {
  std::set<Rule> Shown;
  for (const Violation &V : Violations)
    if (Shown.insert(V.ViolatedRule).second)
      std::cerr << "event=violation rule=" << nameOf(V.ViolatedRule)
                << " operation=" << V.Operation << " detail=\"" << V.Detail
                << "\"\n";
  QJsonObject Counts;
  for (const auto &[BrokenRule, Count] : countByRule(Violations))
    Counts[QString::fromStdString(std::string(nameOf(BrokenRule)))] =
        static_cast<int>(Count);
  return Counts;
}

QJsonObject endsJson(const History &Run) {
  QJsonObject Counts;
  for (const auto &[End, Name] : EnumNames<OperationOutcome>::Entries)
    Counts[QString::fromStdString(std::string(Name))] = static_cast<int>(
        std::ranges::count(Run.Operations, End, &Operation::Outcome));
  return Counts;
}

} // namespace amaranthspur::bench
