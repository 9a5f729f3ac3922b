// Scenario `failover`: primaries of three services fail in turn.
#include "bench/Failure.h"
#include "bench/Statistics.h"
#include "bench/TestEnvironment.h"

#include <QJsonArray>

#include <algorithm>

namespace amaranthspur::bench {
namespace {

constexpr unsigned Services = 3;
constexpr unsigned SessionsPerPlace = 6;
constexpr Duration ThinkTime = milliseconds(25);
/// The deadline is shorter than the failure detection, so that writers that
/// wait for a failed primary are ready again when the new one serves.
constexpr Duration WriteDeadline = milliseconds(800);
constexpr Duration BaselineTime = milliseconds(1000);
/// Pauses and latency spikes must stay below the detection times of 600 ms and
/// 300 ms (design, section 8.1).
constexpr Duration ShortPause = milliseconds(500);
constexpr Duration SpikeDelay = milliseconds(150);
constexpr Duration PromotionTimeout = std::chrono::seconds(7);
constexpr Duration DelayAfterPromotion = milliseconds(500);
constexpr Duration SettleTimeout = std::chrono::seconds(3);
/// Time reserved for the last restore and the check.
constexpr Duration ReservedTime = milliseconds(4500);

/// One fault and the period in which its effect on writes is measured.
struct FaultRecord {
  std::string Service;
  ServerFault Kind = ServerFault::Killed;
  TimePoint At;
  TimePoint Until;
  bool Promoted = false;
};

/// Results shared by the tasks that inject faults.
struct FailoverLog {
  std::vector<FaultRecord> Faults;
  unsigned Promotions = 0;
  unsigned FalsePromotions = 0;
};

DeploymentSpec threeServices() {
  DeploymentSpec Spec = makeDeployment(DeploymentKind::Engravers);
  Spec.Services.clear();
  for (unsigned I = 1; I <= Services; ++I)
    Spec.Services.push_back("orders-" + std::to_string(I));
  return Spec;
}

LoadPlan makePlan(const RunSettings &Settings, const Deployment &Target,
                  Duration Length) {
  LoadPlan Plan;
  Plan.Seed = Settings.Seed;
  Plan.Length = Length;
  for (const std::string &Service : Target.spec().Services) {
    CallerLoad Load;
    Load.Caller = CallerName("bench");
    Load.Service = ServiceName(Service);
    Load.ThinkTime = ThinkTime;
    Load.Mix = mixOf(3, 12, 1, 1, 0);
    Load.Deadline = WriteDeadline;
    Load.Settings["amaranthspur.deadline_ms"] =
        std::to_string(WriteDeadline / milliseconds(1));
    for (CallerLoad &Each : spreadCallers(Target, Load, SessionsPerPlace))
      Plan.Callers.push_back(std::move(Each));
  }
  return Plan;
}

/// Pauses and delays the primary of \p Service for less than the detection time
/// and counts the promotions, which are all unnecessary.
QCoro::Task<> disturbPrimary(TestEnvironment &Env, std::string Service,
                             FailoverLog &Log) {
  const auto Primary = co_await Env.deployment().primaryOf(Service);
  if (!Primary)
    co_return;
  const Term Before = co_await Env.leadingTerm(Service);
  ServerNode &Node = Env.deployment().servers()[*Primary];
  co_await Env.inject(*Primary, ServerFault::Paused);
  co_await sleepFor(ShortPause);
  co_await Env.restore(*Primary, ServerFault::Paused);
  co_await sleepFor(ShortPause);
  LinkScope Scope;
  Scope.To =
      linkPrefix(Env.deployment().spec(), Node.DataCentreIndex) + Node.Id.str();
  LinkRule Spike;
  Spike.Delay = SpikeDelay;
  Env.mark(Node.Id.str() + " latency spike");
  co_await Env.deployment().links().set(Scope, Spike);
  co_await sleepFor(ShortPause);
  co_await Env.deployment().links().removeFault(Scope);
  co_await sleepFor(ShortPause);
  const Term After = co_await Env.leadingTerm(Service);
  Log.FalsePromotions +=
      After > Before ? static_cast<unsigned>(After - Before) : 0;
}

/// Returns whether a write of \p Service was acknowledged after \p Since.
bool wroteAfter(const History &Run, const std::string &Service,
                TimePoint Since) {
  // The history is in the order in which the operations of all sessions ended.
  for (auto Op = Run.Operations.rbegin();
       Op != Run.Operations.rend() && Op->Answered > Since; ++Op)
    if (Op->Service.str() == Service && writesRows(Op->Kind) &&
        Op->Outcome == OperationOutcome::Acknowledged)
      return true;
  return false;
}

/// Repeatedly injects a fault into the primary of \p Service. The next fault
/// follows only after writes have resumed, so that each gap belongs to one
/// fault.
QCoro::Task<> failPrimaries(TestEnvironment &Env, const LoadClient &Load,
                            std::string Service, std::size_t FirstKind,
                            FailoverLog &Log) {
  Deployment &Target = Env.deployment();
  for (std::size_t Round = FirstKind; Env.timeLeft() > ReservedTime; ++Round) {
    const auto Primary = co_await Target.primaryOf(Service);
    if (!Primary) {
      co_await sleepFor(ThinkTime);
      continue;
    }
    FaultRecord Fault;
    Fault.Service = Service;
    Fault.Kind =
        EnumNames<ServerFault>::Entries[Round %
                                        EnumNames<ServerFault>::Entries.size()]
            .first;
    const Term Before = co_await Env.leadingTerm(Service);
    Fault.At = steadyNow();
    co_await Env.inject(*Primary, Fault.Kind);
    const TimePoint Limit =
        std::min(Fault.At + PromotionTimeout,
                 steadyNow() + Env.timeLeft() - ReservedTime / 2);
    const auto NewTerm = co_await Env.waitForPromotion(Service, Before, Limit);
    Fault.Promoted = NewTerm.has_value();
    const TimePoint PromotedAt = steadyNow();
    while (Fault.Promoted && steadyNow() < Limit &&
           !wroteAfter(Load.history(), Service, PromotedAt))
      co_await sleepFor(ThinkTime);
    if (Fault.Promoted)
      co_await sleepFor(DelayAfterPromotion);
    Fault.Until = steadyNow();
    co_await Env.restore(*Primary, Fault.Kind);
    co_await Target.waitUntilSettled(
        Service,
        std::min(steadyNow() + SettleTimeout, steadyNow() + Env.timeLeft()));
    Log.Promotions += Fault.Promoted ? 1 : 0;
    Log.Faults.push_back(Fault);
  }
}

QJsonObject figuresOf(const History &Run, const FailoverLog &Log,
                      TimePoint BaselineFrom, TimePoint BaselineUntil) {
  std::vector<double> GapsMs;
  QJsonArray List;
  for (const FaultRecord &Fault : Log.Faults) {
    const auto Times = writeTimes(Run, ServiceName(Fault.Service));
    const Duration Usual = medianInterval(Times, BaselineFrom, BaselineUntil);
    const double Gap =
        toMilliseconds(longestGap(Times, Fault.At, Fault.Until, Usual));
    GapsMs.push_back(Gap);
    QJsonObject Entry;
    Entry["kind"] = QString::fromStdString(std::string(nameOf(Fault.Kind)));
    Entry["gap_ms"] = Gap;
    List.append(Entry);
  }
  QJsonObject Figures;
  Figures["gap_max_ms"] = quantile(GapsMs, 1);
  Figures["gap_p50_ms"] = quantile(GapsMs, 0.5);
  Figures["gaps"] = List;
  Figures["promotions"] = static_cast<int>(Log.Promotions);
  Figures["false_promotions"] = static_cast<int>(Log.FalsePromotions);
  return Figures;
}

} // namespace

QCoro::Task<Result<RunReport>> runFailover(RunSettings Settings) {
  TestEnvironment Env(Settings, threeServices());
  const Result<Success> Started = co_await Env.start();
  if (!succeeded(Started))
    co_return makeError(errorOf(Started));
  Deployment &Target = Env.deployment();
  LoadClient &Load = Env.addLoad(
      makePlan(Settings, Target, Env.timeLeft() - ReservedTime / 2));
  QCoro::Task<> Loading = Load.run();
  co_await sleepFor(Load.start() - steadyNow() + BaselineTime);
  const TimePoint BaselineUntil = steadyNow();

  FailoverLog Log;
  std::vector<QCoro::Task<>> Drivers;
  for (const std::string &Service : Target.spec().Services)
    Drivers.push_back(disturbPrimary(Env, Service, Log));
  for (QCoro::Task<> &Driver : Drivers)
    co_await Driver;
  Drivers.clear();
  for (std::size_t I = 0; I < Target.spec().Services.size(); ++I)
    Drivers.push_back(
        failPrimaries(Env, Load, Target.spec().Services[I], I, Log));
  for (QCoro::Task<> &Driver : Drivers)
    co_await Driver;
  Load.stop();
  co_await Loading;

  const auto Violations = co_await Env.check();
  if (!succeeded(Violations))
    co_return makeError(errorOf(Violations));
  RunReport Report;
  Report.Figures = figuresOf(Load.history(), Log, Load.start(), BaselineUntil);
  Report.Figures["violations"] = violationsJson(valueOf(Violations));
  Report.Runs.push_back(Env.plot("failover"));
  co_await Target.stop();
  co_return std::move(Report);
}

} // namespace amaranthspur::bench
