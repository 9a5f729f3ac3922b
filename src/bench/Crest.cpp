// Scenario `crest`: the demand of all callers rises tenfold within 1 s and
// stays there for 10 s.
#include "bench/Failure.h"
#include "bench/Statistics.h"
#include "bench/TestEnvironment.h"

#include <algorithm>

namespace amaranthspur::bench {
namespace {

constexpr Duration WorkLength = milliseconds(10);
/// Demand before the peak, as a share of the capacity of the primary's slots.
constexpr double BaseShare = 0.3;
constexpr double PeakFactor = 10;
constexpr unsigned RampSteps = 10;
constexpr Duration RampTime = std::chrono::seconds(1);
constexpr Duration PeakTime = std::chrono::seconds(10);
constexpr Duration Deadline = milliseconds(500);
constexpr unsigned SessionsPerCaller = 250;
constexpr Duration ConnectTime = milliseconds(1500);
/// Time reserved for the check and the shutdown.
constexpr Duration ReservedTime = milliseconds(2500);
constexpr Duration BucketLength = milliseconds(100);
/// A bucket counts as settled if at most this share of its operations was late,
/// refused or slow.
constexpr double MaxUnsettledShare = 0.05;
/// Lower bound of the latency above which an operation counts as slow.
constexpr double MinSlowMs = 50;

/// The callers have equal weights but different shares of the demand, so that a
/// first-come, first-served order would not serve them equally.
struct CallerDemand {
  const char *Name;
  double Share;
};
constexpr CallerDemand Demands[] = {
    {"handset", 0.5}, {"stall", 0.3}, {"accounting", 0.2}};

double capacityPerSecond(const DeploymentSpec &Spec) {
  return Spec.Slots * 1000.0 / toMilliseconds(WorkLength);
}

LoadPlan makePlan(const RunSettings &Settings, const Deployment &Target,
                  Duration Before, Duration After) {
  LoadPlan Plan;
  Plan.Seed = Settings.Seed;
  Plan.ConnectTime = ConnectTime;
  Plan.Length = Before + RampTime + PeakTime + After;
  for (unsigned Step = 1; Step <= RampSteps; ++Step)
    Plan.Phases.push_back({Before + RampTime * (Step - 1) / RampSteps,
                           1 + (PeakFactor - 1) * Step / RampSteps});
  Plan.Phases.push_back({Before + RampTime + PeakTime, 1});
  for (const CallerDemand &Demand : Demands) {
    CallerLoad Load;
    Load.Caller = CallerName(Demand.Name);
    Load.Service = ServiceName("ledger");
    Load.Sessions = SessionsPerCaller;
    Load.RatePerSecond =
        Demand.Share * BaseShare * capacityPerSecond(Target.spec());
    // The check of the few writes shows whether "not run" is accurate.
    Load.Mix = mixOf(0, 1, 0, 0, 19);
    Load.WorkLength = WorkLength;
    Load.Deadline = Deadline;
    Load.Settings["amaranthspur.class"] = "assignment";
    Load.Settings["amaranthspur.access"] = "write";
    Load.Settings["amaranthspur.deadline_ms"] =
        std::to_string(Deadline / milliseconds(1));
    Load.Entries = Target.entryPoints();
    Plan.Callers.push_back(std::move(Load));
  }
  return Plan;
}

bool inTime(const Operation &Op) {
  return Op.Outcome == OperationOutcome::Acknowledged &&
         Op.Answered <= Op.Intended + Deadline;
}

/// Returns the time from \p PeakEnd to the end of the last bucket that is not
/// settled.
double settleMs(const History &Run, TimePoint PeakEnd, double SlowMs) {
  std::map<std::int64_t, std::pair<double, double>> Buckets;
  for (const Operation &Op : Run.Operations) {
    if (Op.Intended < PeakEnd)
      continue;
    auto &[Bad, All] = Buckets[(Op.Intended - PeakEnd) / BucketLength];
    ++All;
    if (!inTime(Op) || toMilliseconds(Op.Answered - Op.Intended) > SlowMs)
      ++Bad;
  }
  double Settled = 0;
  for (const auto &[Index, Counts] : Buckets)
    if (Counts.first > MaxUnsettledShare * Counts.second)
      Settled = toMilliseconds(BucketLength) * static_cast<double>(Index + 1);
  return Settled;
}

QJsonObject figuresOf(const History &Run, const DeploymentSpec &Spec,
                      TimePoint Start, Duration Before) {
  const TimePoint From = Start + Before + RampTime;
  const TimePoint Until = From + PeakTime;
  const auto BeforePeak = [&](const Operation &Op) {
    return Op.Intended < Start + Before && Op.Kind == OperationKind::Work;
  };
  const auto AtPeak = [&](const Operation &Op) {
    return Op.Intended >= From && Op.Intended < Until;
  };
  const auto Good = [&](const Operation &Op) {
    return Op.Answered >= From && Op.Answered < Until && inTime(Op) &&
           Op.Kind == OperationKind::Work;
  };
  // A refusal before the deadline does not count as a miss, because the caller
  // knows the outcome in time.
  const auto Missed = [&](const Operation &Op) {
    const bool Refused = Op.Outcome == OperationOutcome::NotRun &&
                         Op.Answered <= Op.Intended + Deadline;
    return AtPeak(Op) && !inTime(Op) && !Refused;
  };
  std::vector<CallerName> Callers;
  for (const CallerDemand &Demand : Demands)
    Callers.emplace_back(Demand.Name);
  const double Seconds = toMilliseconds(PeakTime) / 1000;
  const double SlowMs =
      std::max(2 * quantile(latenciesMs(Run, BeforePeak), 0.99), MinSlowMs);
  QJsonObject Figures;
  Figures["goodput_share"] = static_cast<double>(countOf(Run, Good)) /
                             (capacityPerSecond(Spec) * Seconds);
  Figures["short_p99_ms"] = quantile(latenciesMs(Run, AtPeak), 0.99);
  Figures["deadline_missed_share"] =
      static_cast<double>(countOf(Run, Missed)) /
      std::max<double>(1, static_cast<double>(countOf(Run, AtPeak)));
  Figures["settle_ms"] = settleMs(Run, Until, SlowMs);
  Figures["fairness_ratio"] = fairnessRatio(Run, Callers, Good);
  return Figures;
}

} // namespace

QCoro::Task<Result<RunReport>> runCrest(RunSettings Settings) {
  TestEnvironment Env(Settings, makeDeployment(DeploymentKind::Association));
  const Result<Success> Started = co_await Env.start();
  if (!succeeded(Started))
    co_return makeError(errorOf(Started));
  Deployment &Target = Env.deployment();
  const Duration OffPeakTime = std::max<Duration>(
      Env.timeLeft() - ReservedTime - ConnectTime - RampTime - PeakTime,
      std::chrono::seconds(2));
  const Duration Before = OffPeakTime / 2;
  LoadClient &Load =
      Env.addLoad(makePlan(Settings, Target, Before, OffPeakTime - Before));
  co_await Load.run();
  const auto Violations = co_await Env.check();
  if (!succeeded(Violations))
    co_return makeError(errorOf(Violations));
  RunReport Report;
  Report.Figures =
      figuresOf(Load.history(), Target.spec(), Load.start(), Before);
  violationsJson(valueOf(Violations));
  Report.Figures["false_not_run"] =
      static_cast<int>(countByRule(valueOf(Violations)).at(Rule::NotRunAbsent));
  Report.Runs.push_back(Env.plot("crest"));
  co_await Target.stop();
  co_return std::move(Report);
}

} // namespace amaranthspur::bench
