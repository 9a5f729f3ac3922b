// Scenario `handover`: the entry VMs that talk to a primary are killed.
//
// Any VM of the primary's data centre may own it, so each is killed in turn;
// the longest gap is the owner's.
#include "bench/Failure.h"
#include "bench/Stage.h"
#include "bench/Statistics.h"

namespace amaranthspur::bench {
namespace {

constexpr unsigned SessionsPerPlace = 8;
constexpr Duration ThinkTime = milliseconds(20);
constexpr Duration WriteDeadline = milliseconds(800);
constexpr Duration CalmTime = milliseconds(1000);
constexpr Duration DownTime = milliseconds(2500);
constexpr Duration BackTime = milliseconds(1500);
constexpr Duration CounterTimeout = std::chrono::seconds(1);
/// Kept for the check and the end.
constexpr Duration Reserve = milliseconds(3000);

LoadPlan makePlan(const RunSettings &Settings, const Deployment &Over,
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
  Plan.Callers = spreadCallers(Over, Load, SessionsPerPlace);
  Plan.Length = Length;
  Plan.Seed = Settings.Seed;
  return Plan;
}

QCoro::Task<int> refusedConnections(Deployment &Over) {
  int Sum = 0;
  for (const ServerNode &Node : Over.servers()) {
    auto Row = co_await askRow(Node.Direct, Node.Service,
                               "SELECT * FROM group_counters()",
                               steadyNow() + CounterTimeout);
    if (succeeded(Row))
      Sum += std::atoi(valueOf(Row)["refused_connections"].c_str());
  }
  co_return Sum;
}

} // namespace

QCoro::Task<Result<RunReport>> runHandover(RunSettings Settings) {
  Stage Scene(Settings, makeDeployment(DeploymentKind::Engravers));
  const Result<Success> Started = co_await Scene.start();
  if (!succeeded(Started))
    co_return failed(errorOf(Started));
  Deployment &Over = Scene.deployment();
  LoadClient &Load =
      Scene.addLoad(makePlan(Settings, Over, Scene.left() - Reserve));
  QCoro::Task<> Loading = Load.run();
  co_await sleepFor(Load.start() - steadyNow() + CalmTime);
  const TimePoint CalmUntil = steadyNow();

  const auto Primary = co_await Over.primaryOf(Over.spec().Services.front());
  const std::size_t Place = Primary ? Over.servers()[*Primary].Place : 0;
  std::vector<std::pair<TimePoint, TimePoint>> Kills;
  for (std::size_t I = 0; I < Over.entries().size(); ++I) {
    EntryNode &Node = Over.entries()[I];
    if (Node.Place != Place || Scene.left() < Reserve + DownTime)
      continue;
    Scene.mark(Node.Id.str() + " killed");
    const TimePoint At = steadyNow();
    Node.Process->kill();
    co_await sleepFor(DownTime);
    Kills.emplace_back(At, steadyNow());
    Scene.mark(Node.Id.str() + " restarted");
    co_await Over.restartEntry(I);
    co_await sleepFor(BackTime);
  }
  Load.stop();
  co_await Loading;

  const auto Times = writeTimes(Load.history(), ServiceName("orders"));
  const Duration Usual = usualInterval(Times, Load.start(), CalmUntil);
  Duration Longest{};
  for (const auto &[From, Until] : Kills)
    Longest = std::max(Longest, longestGap(Times, From, Until, Usual));
  RunReport Report;
  Report.Figures["gap_max_ms"] = toMilliseconds(Longest);
  Report.Figures["connection_limit_exceeded"] =
      co_await refusedConnections(Over);
  const auto Broken = co_await Scene.check();
  if (!succeeded(Broken))
    co_return failed(errorOf(Broken));
  violationsJson(valueOf(Broken));
  Report.Runs.push_back(Scene.plot("handover"));
  co_await Over.stop();
  co_return std::move(Report);
}

} // namespace amaranthspur::bench
