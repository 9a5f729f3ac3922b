// Scenario `handover`: the entry VMs that may own the connections to a primary
// are killed.
//
// Any entry VM of the primary's data centre may own the primary, so each is
// killed in turn. The longest gap is the one of the owner.
#include "bench/Failure.h"
#include "bench/Statistics.h"
#include "bench/TestEnvironment.h"

namespace amaranthspur::bench {
namespace {

constexpr unsigned SessionsPerPlace = 8;
constexpr Duration ThinkTime = milliseconds(20);
constexpr Duration WriteDeadline = milliseconds(800);
constexpr Duration BaselineTime = milliseconds(1000);
/// Time that each killed entry VM stays down.
constexpr Duration DownTime = milliseconds(2500);
/// Time between the restart of one entry VM and the kill of the next.
constexpr Duration RecoveryTime = milliseconds(1500);
constexpr Duration CounterTimeout = std::chrono::seconds(1);
/// Time reserved for the check and the shutdown.
constexpr Duration ReservedTime = milliseconds(3000);

LoadPlan makePlan(const RunSettings &Settings, const Deployment &Target,
                  Duration Length) {
  CallerLoad Load;
  Load.Caller = CallerName("bench");
  Load.Service = ServiceName("orders");
  Load.ThinkTime = ThinkTime;
  Load.Mix = mixOf(2, 8, 1, 0, 0);
  Load.Deadline = WriteDeadline;
  Load.Settings["amaranthspur.deadline_ms"] =
      std::to_string(WriteDeadline / milliseconds(1));
  LoadPlan Plan;
  Plan.Callers = spreadCallers(Target, Load, SessionsPerPlace);
  Plan.Length = Length;
  Plan.Seed = Settings.Seed;
  return Plan;
}

QCoro::Task<int> refusedConnections(Deployment &Target) {
  int Sum = 0;
  for (const ServerNode &Node : Target.servers()) {
    auto Row = co_await queryRow(Node.DirectAddress, Node.Service,
                                 "SELECT * FROM group_counters()",
                                 steadyNow() + CounterTimeout);
    if (succeeded(Row))
      Sum += std::atoi(valueOf(Row)["refused_connections"].c_str());
  }
  co_return Sum;
}

} // namespace

QCoro::Task<Result<RunReport>> runHandover(RunSettings Settings) {
  TestEnvironment Env(Settings, makeDeployment(DeploymentKind::Engravers));
  const Result<Success> Started = co_await Env.start();
  if (!succeeded(Started))
    co_return makeError(errorOf(Started));
  Deployment &Target = Env.deployment();
  LoadClient &Load =
      Env.addLoad(makePlan(Settings, Target, Env.timeLeft() - ReservedTime));
  QCoro::Task<> Loading = Load.run();
  co_await sleepFor(Load.start() - steadyNow() + BaselineTime);
  const TimePoint BaselineUntil = steadyNow();

  const auto Primary =
      co_await Target.primaryOf(Target.spec().Services.front());
  const std::size_t DataCentreIndex =
      Primary ? Target.servers()[*Primary].DataCentreIndex : 0;
  std::vector<std::pair<TimePoint, TimePoint>> Kills;
  for (std::size_t I = 0; I < Target.entries().size(); ++I) {
    EntryNode &Node = Target.entries()[I];
    if (Node.DataCentreIndex != DataCentreIndex ||
        Env.timeLeft() < ReservedTime + DownTime)
      continue;
    Env.mark(Node.Id.str() + " killed");
    const TimePoint At = steadyNow();
    Node.Process->kill();
    co_await sleepFor(DownTime);
    Kills.emplace_back(At, steadyNow());
    Env.mark(Node.Id.str() + " restarted");
    co_await Target.restartEntry(I);
    co_await sleepFor(RecoveryTime);
  }
  Load.stop();
  co_await Loading;

  const auto Times = writeTimes(Load.history(), ServiceName("orders"));
  const Duration Usual = medianInterval(Times, Load.start(), BaselineUntil);
  Duration Longest{};
  for (const auto &[From, Until] : Kills)
    Longest = std::max(Longest, longestGap(Times, From, Until, Usual));
  RunReport Report;
  Report.Figures["gap_max_ms"] = toMilliseconds(Longest);
  Report.Figures["connection_limit_exceeded"] =
      co_await refusedConnections(Target);
  const auto Violations = co_await Env.check();
  if (!succeeded(Violations))
    co_return makeError(errorOf(Violations));
  violationsJson(valueOf(Violations));
  Report.Runs.push_back(Env.plot("handover"));
  co_await Target.stop();
  co_return std::move(Report);
}

} // namespace amaranthspur::bench
