// Scenario `short-behind-long`: proofs beside heraldry checks on one server.
#include "bench/Failure.h"
#include "bench/Stage.h"
#include "bench/Statistics.h"

#include <algorithm>

namespace amaranthspur::bench {
namespace {

constexpr Duration ShortLength = milliseconds(5);
constexpr Duration LongLength = milliseconds(200);
constexpr double ShortPerSecond = 150;
constexpr unsigned ShortSessions = 60;
constexpr unsigned LongSessions = 12;
/// Long work may hold this many slots while short work arrives (design,
/// section 8.5): what is left to it.
constexpr double SlotsLeftToLong = 3;
/// Lengths are learned in this time; it counts for no figure.
constexpr Duration LearnTime = milliseconds(1500);
constexpr Duration Reserve = milliseconds(1500);

LoadPlan makePlan(const RunSettings &Settings, const Deployment &Over,
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
  Short.Entries = Over.entryPoints();
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
  const TimePoint From = Load.start() + LearnTime;
  return quantile(latenciesMs(Load.history(),
                              [From](const Operation &Op) {
                                return Op.Caller.str() == "portal" &&
                                       Op.Intended >= From;
                              }),
                  0.99);
}

} // namespace

QCoro::Task<Result<RunReport>> runShortBehindLong(RunSettings Settings) {
  Stage Scene(Settings, makeDeployment(DeploymentKind::Engravers));
  const Result<Success> Started = co_await Scene.start();
  if (!succeeded(Started))
    co_return failed(errorOf(Started));
  Deployment &Over = Scene.deployment();
  const Duration Slice = (Scene.left() - Reserve) / 2 - milliseconds(800);
  LoadClient &Without = Scene.addLoad(makePlan(Settings, Over, false, Slice));
  co_await Without.run();
  LoadClient &With = Scene.addLoad(makePlan(Settings, Over, true, Slice));
  co_await With.run();

  const TimePoint From = With.start() + LearnTime;
  const TimePoint Until = With.start() + Slice;
  const auto LongDone = [&](const Operation &Op) {
    return Op.Caller.str() == "heraldry" && Op.Answered >= From &&
           Op.Answered < Until && Op.End == OperationEnd::Acknowledged;
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
      LongMs / (SlotsLeftToLong * toMilliseconds(Until - From));
  Report.Runs.push_back(Scene.plot("short-behind-long"));
  co_await Over.stop();
  co_return std::move(Report);
}

} // namespace amaranthspur::bench
