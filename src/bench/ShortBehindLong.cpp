// Scenario `short-behind-long`: short statements (proofs) and long ones
// (heraldry checks) on one server.
#include "bench/Failure.h"
#include "bench/Statistics.h"
#include "bench/TestEnvironment.h"

#include <algorithm>

namespace amaranthspur::bench {
namespace {

constexpr Duration ShortLength = milliseconds(5);
constexpr Duration LongLength = milliseconds(200);
constexpr double ShortPerSecond = 150;
constexpr unsigned ShortSessions = 60;
constexpr unsigned LongSessions = 12;
/// Number of slots that long statements may hold while short ones arrive
/// (design, section 8.5).
constexpr double LongSlotLimit = 3;
/// Time for the daemon to learn the statement lengths, which is excluded from
/// the measurement.
constexpr Duration WarmupTime = milliseconds(1500);
/// Time reserved for the shutdown.
constexpr Duration ReservedTime = milliseconds(1500);

LoadPlan makePlan(const RunSettings &Settings, const Deployment &Target,
                  bool WithLong, Duration Length) {
  CallerLoad Short;
  Short.Caller = CallerName("portal");
  Short.Service = ServiceName("orders");
  Short.Sessions = ShortSessions;
  Short.RatePerSecond = ShortPerSecond;
  Short.Mix = mixOf(0, 0, 0, 0, 1);
  Short.WorkLength = ShortLength;
  Short.Settings["amaranthspur.class"] = "proof";
  // Both kinds go to the primary, so that they share its slots.
  Short.Settings["amaranthspur.access"] = "write";
  Short.Entries = Target.entryPoints();
  CallerLoad Long = Short;
  Long.Caller = CallerName("heraldry");
  Long.Sessions = LongSessions;
  Long.RatePerSecond = 0;
  Long.WorkLength = LongLength;
  Long.Deadline = std::chrono::seconds(60);
  Long.Settings["amaranthspur.class"] = "check";
  LoadPlan Plan;
  Plan.Callers = {Short};
  if (WithLong)
    Plan.Callers.push_back(Long);
  Plan.Length = Length;
  Plan.ConnectTime = milliseconds(800);
  Plan.Seed = Settings.Seed;
  return Plan;
}

double shortP99Ms(const LoadClient &Load) {
  const TimePoint From = Load.start() + WarmupTime;
  return quantile(latenciesMs(Load.history(),
                              [From](const Operation &Op) {
                                return Op.Caller.str() == "portal" &&
                                       Op.Intended >= From;
                              }),
                  0.99);
}

} // namespace

QCoro::Task<Result<RunReport>> runShortBehindLong(RunSettings Settings) {
  TestEnvironment Env(Settings, makeDeployment(DeploymentKind::Engravers));
  const Result<Success> Started = co_await Env.start();
  if (!succeeded(Started))
    co_return makeError(errorOf(Started));
  Deployment &Target = Env.deployment();
  const Duration Slice =
      (Env.timeLeft() - ReservedTime) / 2 - milliseconds(800);
  LoadClient &Without = Env.addLoad(makePlan(Settings, Target, false, Slice));
  co_await Without.run();
  LoadClient &With = Env.addLoad(makePlan(Settings, Target, true, Slice));
  co_await With.run();

  const TimePoint From = With.start() + WarmupTime;
  const TimePoint Until = With.start() + Slice;
  const auto LongDone = [&](const Operation &Op) {
    return Op.Caller.str() == "heraldry" && Op.Answered >= From &&
           Op.Answered < Until && Op.Outcome == OperationOutcome::Acknowledged;
  };
  const double LongMs = static_cast<double>(countOf(With.history(), LongDone)) *
                        toMilliseconds(LongLength);
  const double WithMs = shortP99Ms(With);
  const double WithoutMs = shortP99Ms(Without);
  RunReport Report;
  QJsonObject &Figures = Report.Figures;
  Figures["short_p99_with_long_ms"] = WithMs;
  Figures["short_p99_without_long_ms"] = WithoutMs;
  Figures["p99_ratio"] = WithoutMs > 0 ? WithMs / WithoutMs : 0;
  Figures["long_slot_use_share"] =
      LongMs / (LongSlotLimit * toMilliseconds(Until - From));
  Report.Runs.push_back(Env.plot("short-behind-long"));
  co_await Target.stop();
  co_return std::move(Report);
}

} // namespace amaranthspur::bench
