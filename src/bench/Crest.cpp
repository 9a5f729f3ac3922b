// Scenario `crest`: demand times 10 within 1 s, for 10 s, by all callers.
#include "bench/Failure.h"
#include "bench/Stage.h"
#include "bench/Statistics.h"

#include <algorithm>

namespace amaranthspur::bench {
namespace {

constexpr Duration WorkLength = milliseconds(10);
/// Demand before the crest, as a share of what the primary's slots can do.
constexpr double BaseShare = 0.3;
constexpr double CrestFactor = 10;
constexpr unsigned RampSteps = 10;
constexpr Duration RampTime = std::chrono::seconds(1);
constexpr Duration CrestTime = std::chrono::seconds(10);
constexpr Duration Deadline = milliseconds(500);
constexpr unsigned SessionsPerCaller = 250;
constexpr Duration ConnectTime = milliseconds(1500);
/// Kept for the check and the end.
constexpr Duration Reserve = milliseconds(2500);
constexpr Duration BucketLength = milliseconds(100);
/// A bucket is settled if at most this share of its operations was refused or
/// slow.
constexpr double SettledShare = 0.05;
constexpr double LeastSlowMs = 50;

/// Callers of equal weight; their shares of the demand differ, so that a
/// first-come order would not serve them equally.
struct CallerDemand {
  const char *Name;
  double Share;
};
constexpr CallerDemand Demands[] = {
    {"handset", 0.5}, {"stall", 0.3}, {"accounting", 0.2}};

double capacityPerSecond(const DeploymentSpec &Spec) {
  return Spec.Slots * 1000.0 / toMilliseconds(WorkLength);
}

LoadPlan makePlan(const RunSettings &Settings, const Deployment &Over,
                  Duration Before, Duration After) {
  LoadPlan Plan;
  Plan.Seed = Settings.Seed;
  Plan.ConnectTime = ConnectTime;
  Plan.Length = Before + RampTime + CrestTime + After;
  for (unsigned Step = 1; Step <= RampSteps; ++Step)
    Plan.Phases.push_back({Before + RampTime * (Step - 1) / RampSteps,
                           1 + (CrestFactor - 1) * Step / RampSteps});
  Plan.Phases.push_back({Before + RampTime + CrestTime, 1});
  for (const CallerDemand &Demand : Demands) {
    CallerLoad Load;
    Load.Caller = CallerName(Demand.Name);
    Load.Service = ServiceName("ledger");
    Load.Sessions = SessionsPerCaller;
    Load.RatePerSecond =
        Demand.Share * BaseShare * capacityPerSecond(Over.spec());
    // The few writes show whether "not run" is accurate.
    Load.Mix = mixOf(0, 1, 0, 0, 19);
    Load.WorkLength = WorkLength;
    Load.Deadline = Deadline;
    Load.Settings["amaranthspur.class"] = "assignment";
    Load.Settings["amaranthspur.access"] = "write";
    Load.Settings["amaranthspur.deadline_ms"] =
        std::to_string(Deadline / milliseconds(1));
    Load.Entries = Over.entryPoints();
    Plan.Callers.push_back(std::move(Load));
  }
  return Plan;
}

bool inTime(const Operation &Op) {
  return Op.End == OperationEnd::Acknowledged &&
         Op.Answered <= Op.Intended + Deadline;
}

/// Returns how long after \p CrestEnd the last unsettled bucket ends.
double settleMs(const History &Run, TimePoint CrestEnd, double SlowMs) {
  std::map<std::int64_t, std::pair<double, double>> Buckets;
  for (const Operation &Op : Run.Operations) {
    if (Op.Intended < CrestEnd)
      continue;
    auto &[Bad, All] = Buckets[(Op.Intended - CrestEnd) / BucketLength];
    ++All;
    if (!inTime(Op) || toMilliseconds(Op.Answered - Op.Intended) > SlowMs)
      ++Bad;
  }
  double Settled = 0;
  for (const auto &[Index, Counts] : Buckets)
    if (Counts.first > SettledShare * Counts.second)
      Settled = toMilliseconds(BucketLength) * static_cast<double>(Index + 1);
  return Settled;
}

QJsonObject figuresOf(const History &Run, const DeploymentSpec &Spec,
                      TimePoint Start, Duration Before) {
  const TimePoint From = Start + Before + RampTime;
  const TimePoint Until = From + CrestTime;
  const auto Calm = [&](const Operation &Op) {
    return Op.Intended < Start + Before && Op.Kind == OperationKind::Work;
  };
  const auto InCrest = [&](const Operation &Op) {
    return Op.Intended >= From && Op.Intended < Until;
  };
  const auto Good = [&](const Operation &Op) {
    return Op.Answered >= From && Op.Answered < Until && inTime(Op) &&
           Op.Kind == OperationKind::Work;
  };
  // A refusal in time keeps the deadline: the caller knows where it stands.
  const auto Missed = [&](const Operation &Op) {
    const bool Refused =
        Op.End == OperationEnd::NotRun && Op.Answered <= Op.Intended + Deadline;
    return InCrest(Op) && !inTime(Op) && !Refused;
  };
  std::vector<CallerName> Callers;
  for (const CallerDemand &Demand : Demands)
    Callers.emplace_back(Demand.Name);
  const double Seconds = toMilliseconds(CrestTime) / 1000;
  const double SlowMs =
      std::max(2 * quantile(latenciesMs(Run, Calm), 0.99), LeastSlowMs);
  QJsonObject Figures;
  Figures["goodput_share"] = static_cast<double>(countOf(Run, Good)) /
                             (capacityPerSecond(Spec) * Seconds);
  Figures["short_p99_ms"] = quantile(latenciesMs(Run, InCrest), 0.99);
  Figures["deadline_missed_share"] =
      static_cast<double>(countOf(Run, Missed)) /
      std::max<double>(1, static_cast<double>(countOf(Run, InCrest)));
  Figures["settle_ms"] = settleMs(Run, Until, SlowMs);
  Figures["fairness_ratio"] = fairnessRatio(Run, Callers, Good);
  return Figures;
}

} // namespace

QCoro::Task<Result<RunReport>> runCrest(RunSettings Settings) {
  Stage Scene(Settings, makeDeployment(DeploymentKind::Association));
  const Result<Success> Started = co_await Scene.start();
  if (!succeeded(Started))
    co_return failed(errorOf(Started));
  Deployment &Over = Scene.deployment();
  const Duration Rest = std::max<Duration>(
      Scene.left() - Reserve - ConnectTime - RampTime - CrestTime,
      std::chrono::seconds(2));
  const Duration Before = Rest / 2;
  LoadClient &Load =
      Scene.addLoad(makePlan(Settings, Over, Before, Rest - Before));
  co_await Load.run();
  const auto Broken = co_await Scene.check();
  if (!succeeded(Broken))
    co_return failed(errorOf(Broken));
  RunReport Report;
  Report.Figures = figuresOf(Load.history(), Over.spec(), Load.start(), Before);
  violationsJson(valueOf(Broken));
  Report.Figures["false_not_run"] =
      static_cast<int>(countByRule(valueOf(Broken)).at(Rule::NotRunAbsent));
  Report.Runs.push_back(Scene.plot("crest"));
  co_await Over.stop();
  co_return std::move(Report);
}

} // namespace amaranthspur::bench
