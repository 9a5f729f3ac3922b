#include "bench/Stage.h"

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

Stage::Stage(const RunSettings &Settings, DeploymentSpec Spec)
    : Settings(Settings), Begun(steadyNow()),
      Running(specFor(Settings, std::move(Spec))) {}

Stage::~Stage() = default;

Duration Stage::left() const {
  return std::max(this->Begun + this->Settings.Length - steadyNow(),
                  Duration::zero());
}

LoadClient &Stage::addLoad(LoadPlan Plan) {
  // Names of sessions and operations are unique in the whole run.
  Plan.Prefix = std::string("c") + std::to_string(this->Loads.size()) + "s";
  Plan.Seed = Plan.Seed * 31 + this->Loads.size();
  this->Loads.push_back(std::make_unique<LoadClient>(std::move(Plan)));
  return *this->Loads.back();
}

QCoro::Task<> Stage::inject(std::size_t Index, ServerFault Fault) {
  ServerNode &Node = this->Running.servers()[Index];
  this->mark(Node.Id.str() + " " + std::string(nameOf(Fault)));
  switch (Fault) {
  case ServerFault::Killed:
    Node.Process->kill();
    break;
  case ServerFault::Paused:
    Node.Process->pause();
    break;
  case ServerFault::Isolated: {
    const auto Rules =
        serverIsolationRules(this->Running.spec(), Node.Place, Node.Id.str());
    for (const auto &[Scope, Rule] : Rules)
      co_await this->Running.links().set(Scope, Rule);
    break;
  }
  }
}

QCoro::Task<> Stage::restore(std::size_t Index, ServerFault Fault) {
  ServerNode &Node = this->Running.servers()[Index];
  this->mark(Node.Id.str() + " restored");
  switch (Fault) {
  case ServerFault::Killed:
    co_await this->Running.restartServer(Index);
    break;
  case ServerFault::Paused:
    Node.Process->resume();
    break;
  case ServerFault::Isolated: {
    const auto Rules =
        serverIsolationRules(this->Running.spec(), Node.Place, Node.Id.str());
    for (const auto &[Scope, Rule] : Rules)
      co_await this->Running.links().restore(Scope);
    break;
  }
  }
}

QCoro::Task<Term> Stage::leadingTerm(std::string Service) {
  Term Highest = 0;
  for (const ServerNode &Node : this->Running.servers()) {
    if (Node.Service != Service || !Node.Process->running())
      continue;
    const auto Report =
        co_await askStatus(Node.Direct, Service, steadyNow() + StatusTimeout);
    if (succeeded(Report) && valueOf(Report).Role == ServerRole::Primary)
      Highest = std::max(Highest, valueOf(Report).LogEnd.TermNumber);
  }
  co_return Highest;
}

QCoro::Task<std::optional<Term>>
Stage::promoted(std::string Service, Term OldTerm, TimePoint Deadline) {
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

QCoro::Task<Result<std::vector<Violation>>> Stage::check() {
  co_await this->Running.links().heal();
  for (ServerNode &Node : this->Running.servers())
    Node.Process->resume();
  std::vector<FinalRow> Rows;
  for (const std::string &Service : this->Running.spec().Services) {
    // A group that does not settle is checked as it is: the primary of the
    // highest term holds what counts.
    co_await this->Running.settled(Service, steadyNow() + SettleTimeout);
    const auto Held = co_await this->Running.finalRows(Service);
    if (!succeeded(Held))
      co_return failed(errorOf(Held));
    Rows.insert(Rows.end(), valueOf(Held).begin(), valueOf(Held).end());
  }
  co_return bench::check(this->joined(), Rows);
}

History Stage::joined() const {
  History All;
  for (const auto &Load : this->Loads) {
    const auto &Operations = Load->history().Operations;
    All.Operations.insert(All.Operations.end(), Operations.begin(),
                          Operations.end());
  }
  return All;
}

void Stage::mark(std::string Text) {
  this->Marks.push_back({steadyNow(), std::move(Text)});
}

PlotRun Stage::plot(std::string Title) const {
  PlotRun Run;
  Run.Title = std::move(Title) + " (" +
              std::string(nameOf(this->Settings.Variant)) + ")";
  Run.Operations = this->joined().Operations;
  Run.Marks = this->Marks;
  Run.Start = this->Begun;
  if (!Run.Operations.empty())
    Run.Start =
        std::ranges::min(Run.Operations, {}, &Operation::Intended).Intended;
  return Run;
}

std::vector<CallerLoad> spreadCallers(const Deployment &Over,
                                      const CallerLoad &Load,
                                      unsigned Sessions) {
  constexpr double RoamShare = 0.1;
  std::vector<CallerLoad> Loads;
  for (std::size_t Place = 0; Place < Over.spec().Places.size(); ++Place) {
    CallerLoad Beside = Load;
    Beside.Sessions = Sessions;
    Beside.Entries = Over.entryPoints(Place);
    Beside.BindHost = Deployment::callerAddress(Place);
    if (!Beside.Entries.empty())
      Loads.push_back(Beside);
  }
  CallerLoad Roaming = Load;
  Roaming.Sessions = Sessions;
  Roaming.Entries = Over.entryPoints();
  Roaming.RoamShare = RoamShare;
  Loads.push_back(Roaming);
  return Loads;
}

QJsonObject violationsJson(const std::vector<Violation> &Violations) {
  std::set<Rule> Shown;
  for (const Violation &V : Violations)
    if (Shown.insert(V.Broken).second)
      std::cerr << "event=violation rule=" << nameOf(V.Broken)
                << " operation=" << V.Operation << " detail=\"" << V.Detail
                << "\"\n";
  QJsonObject Counts;
  for (const auto &[Broken, Count] : countByRule(Violations))
    Counts[QString::fromStdString(std::string(nameOf(Broken)))] =
        static_cast<int>(Count);
  return Counts;
}

QJsonObject endsJson(const History &Run) {
  QJsonObject Counts;
  for (const auto &[End, Name] : EnumNames<OperationEnd>::Entries)
    Counts[QString::fromStdString(std::string(Name))] = static_cast<int>(
        std::ranges::count(Run.Operations, End, &Operation::End));
  return Counts;
}

} // namespace amaranthspur::bench
