#include "bench/soak/Soak.h"

#include "bench/soak/Callers.h"
#include "bench/soak/Faults.h"
#include "bench/soak/Judge.h"
#include "testing/Processes.h"

#include <iostream>

namespace amaranthspur::bench::soak {
namespace {

/// Load without faults at the start and at the end of a run.
constexpr Duration CalmStart = std::chrono::seconds(2);
constexpr Duration CalmEnd = std::chrono::seconds(4);
/// Limit for all tasks to end after a run.
constexpr Duration StopTimeout = std::chrono::seconds(15);
/// Limit for the callers to end their operations.
constexpr Duration CallerTimeout = std::chrono::seconds(6);
/// One in this many runs ends with a loss of power.
constexpr std::uint64_t PowerLossShare = 3;
constexpr std::size_t PrintedViolations = 20;

/// The phases that there were when the first rows failed. A further kind of
/// phase would change what their seeds draw.
constexpr FaultProfile FirstPhases[] = {
    FaultProfile::Planned, FaultProfile::Takeovers, FaultProfile::All};

/// The same seed draws the same faults at about the same times, but processes
/// run in real time, so that a row may need several runs to fail again.
constexpr RegressionRow Regressions[] = {
    {1, 25, FirstPhases,
     "a late order with a lower fence arrives after a cut that began when it "
     "was written"},
    {2, 25, FirstPhases,
     "a draining replica is promoted and leads beyond the bound, since the "
     "next holder is cut as well"},
    {6, 25, FirstPhases,
     "two holders order within the lease around quick releases"},
};

Result<DeployCommand> readCommand(const SoakSettings &Settings) {
  const Result<std::string> Line = readRunLine(
      Settings.DeployFile.empty() ? SOAK_DEPLOY_FILE : Settings.DeployFile);
  if (!succeeded(Line))
    return Error{errorOf(Line)};
  DeployCommand Command;
  const std::size_t Blank = valueOf(Line).find(' ');
  Command.Arguments = valueOf(Line).substr(Blank);
  Command.Program = Settings.Daemon;
  if (!Command.Program.empty())
    return Command;
  Result<std::string> Found = findProgram("amaranthspurd");
  if (!succeeded(Found))
    return Error{errorOf(Found)};
  Command.Program = valueOf(Found);
  return Command;
}

/// Runs load and faults on \p S.
QCoro::Task<> play(Site &S, Random &Generator, const SoakSettings &Settings) {
  // The callers' choices do not change the faults of a seed.
  Random CallerGenerator(Settings.Seed + 1);
  TaskGroup CallerTasks;
  CallerContext Context{S.Events,        CallerTasks,     S.vms(),
                        CallerGenerator, S.WorkspaceList, S.Surging};
  std::vector<std::unique_ptr<Caller>> Callers;
  for (const auto &Group : S.groups())
    for (auto &Made : makeCallers(Context, Group->number(),
                                  static_cast<unsigned>(S.groups().size())))
      Callers.push_back(std::move(Made));
  for (const auto &Each : Callers)
    Each->run();
  probeRoutes(Context);
  S.Events.watchStalls(CallerTasks, Context.Stopping);
  co_await sleepFor(CalmStart);
  FaultPlan Plan(S, Generator);
  std::vector<FaultProfile> Phases = Settings.Phases;
  if (Phases.empty())
    for (const auto &[Profile, Name] : EnumNames<FaultProfile>::Entries)
      Phases.push_back(Profile);
  co_await Plan.run(S.Events.now() + 1000.0 * Settings.Seconds, Phases);
  const bool PowerLoss = Generator.below(PowerLossShare) == 0;
  if (PowerLoss)
    co_await Plan.losePower();
  co_await sleepFor(CalmEnd);
  Context.Stopping = true;
  co_await CallerTasks.waitUntilEmpty(steadyNow() + CallerTimeout);
  for (const auto &Group : S.groups()) {
    DatabaseServer *Primary = Group->primary();
    S.Events.Seen.FinalLogs.push_back(Primary == nullptr ? LogView()
                                                         : Primary->log());
  }
  Plan.stop();
  co_await S.stop();
  const bool Ended = co_await S.Tasks.waitUntilEmpty(steadyNow() + StopTimeout);
  if (!Ended)
    std::cerr << "event=soak-tasks-left count=" << S.Tasks.size() << "\n";
}

int report(Record &Events, const SoakSettings &Settings) {
  const History &Seen = Events.Seen;
  const std::vector<Violation> Found = judge(Seen);
  std::map<Rule, unsigned> Counts;
  for (const Violation &V : Found) {
    const std::string Line = std::string(nameOf(V.Broken)) + ": " + V.Text;
    Events.note("RULE BROKEN " + Line);
    if (++Counts[V.Broken] <= PrintedViolations)
      std::cout << Line << "\n";
  }
  const auto Answered =
      std::ranges::count(Seen.Statements, Outcome::Success, &Statement::End);
  std::cout << "event=soak-done seed=" << Settings.Seed
            << " statements=" << Seen.Statements.size()
            << " answered=" << Answered << " orders=" << Seen.Orders.size()
            << " promotions=" << Seen.Effects.size()
            << " disruptions=" << Seen.Disruptions.size();
  for (unsigned G = 0; G < Seen.FinalLogs.size(); ++G)
    std::cout << " longest_write_gap_ms_" << G << "="
              << static_cast<int>(longestWriteGap(Seen, G));
  for (const auto &[Broken, Name] : EnumNames<Rule>::Entries)
    std::cout << " " << Name << "=" << Counts[Broken];
  std::cout << std::endl;
  return Found.empty() ? NoViolation : ViolationFound;
}

} // namespace

std::span<const RegressionRow> regressionRows() { return Regressions; }

QCoro::Task<int> runRegressions(SoakSettings Settings) {
  int Worst = NoViolation;
  for (const RegressionRow &Row : regressionRows()) {
    std::cout << "event=soak-regression seed=" << Row.Seed << " cause=\""
              << Row.Cause << "\"" << std::endl;
    Settings.Seed = Row.Seed;
    Settings.Seconds = Row.Seconds;
    Settings.Phases.assign(Row.Phases.begin(), Row.Phases.end());
    const int Code = co_await runSoak(Settings);
    Worst = std::max(Worst, Code);
  }
  co_return Worst;
}

QCoro::Task<int> runSoak(SoakSettings Settings) {
  const Result<DeployCommand> Command = readCommand(Settings);
  if (!succeeded(Command)) {
    std::cerr << errorOf(Command) << "\n";
    co_return CannotRun;
  }
  Record Events(Settings.LogDirectory);
  TaskGroup Tasks;
  Site S(Events, Tasks);
  Random Generator(Settings.Seed);
  const auto Groups = static_cast<unsigned>(1 + Generator.below(3));
  const auto Vms = static_cast<unsigned>(6 + Generator.below(2));
  const Result<Success> Started =
      S.start(Groups, Vms, valueOf(Command), Settings.LogDirectory);
  if (!succeeded(Started)) {
    std::cerr << errorOf(Started) << "\n";
    co_return CannotRun;
  }
  const bool Ready = co_await S.waitReady();
  if (!Ready) {
    std::cerr << "an entry VM does not become ready\n";
    co_await S.stop();
    co_await Tasks.waitUntilEmpty(steadyNow() + StopTimeout);
    co_return CannotRun;
  }
  co_await play(S, Generator, Settings);
  if (Events.Seen.Effects.empty() && Events.Seen.Commits.empty()) {
    std::cerr << "no write was committed\n";
    co_return CannotRun;
  }
  co_return report(Events, Settings);
}

} // namespace amaranthspur::bench::soak
