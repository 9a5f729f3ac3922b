// Scenario `failover`: primaries of three services fail in turn.
#include "bench/Failure.h"
#include "bench/Stage.h"
#include "bench/Statistics.h"

#include <QJsonArray>

#include <algorithm>

namespace amaranthspur::bench {
namespace {

constexpr unsigned Services = 3;
constexpr unsigned SessionsPerPlace = 6;
constexpr Duration ThinkTime = milliseconds(25);
/// Shorter than the detection of a failure, so that writers that wait for a
/// dead primary are back when the new one serves.
constexpr Duration WriteDeadline = milliseconds(800);
constexpr Duration CalmTime = milliseconds(1000);
/// Pauses and latency spikes must be shorter than the detection time, 600 ms
/// and 300 ms (design, section 8.1).
constexpr Duration ShortPause = milliseconds(500);
constexpr Duration SpikeDelay = milliseconds(150);
constexpr Duration PromotionTimeout = std::chrono::seconds(7);
constexpr Duration AfterPromotion = milliseconds(500);
constexpr Duration SettleTimeout = std::chrono::seconds(3);
/// Kept for the last restore and the check.
constexpr Duration Reserve = milliseconds(4500);

/// One fault and how long writes were away.
struct FaultRecord {
  std::string Service;
  ServerFault Kind = ServerFault::Killed;
  TimePoint At;
  TimePoint Until;
  bool Promoted = false;
};

/// What the drivers share.
struct Progress {
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

LoadPlan makePlan(const RunSettings &Settings, const Deployment &Over,
                  Duration Length) {
  LoadPlan Plan;
  Plan.Seed = Settings.Seed;
  Plan.Length = Length;
  for (const std::string &Service : Over.spec().Services) {
    CallerLoad Load;
    Load.Caller = CallerName("bench");
    Load.Service = ServiceName(Service);
    Load.ThinkTime = ThinkTime;
    Load.Mix = mixOf(3, 12, 1, 1, 0);
    Load.Deadline = WriteDeadline;
    Load.Settings["amaranthspur.deadline_ms"] =
        std::to_string(WriteDeadline / milliseconds(1));
    for (CallerLoad &Each : spreadCallers(Over, Load, SessionsPerPlace))
      Plan.Callers.push_back(std::move(Each));
  }
  return Plan;
}

/// Pauses and slows the primary of \p Service for less than the detection time
/// and counts promotions.
QCoro::Task<> disturb(Stage &Scene, std::string Service, Progress &Seen) {
  const auto Primary = co_await Scene.deployment().primaryOf(Service);
  if (!Primary)
    co_return;
  const Term Before = co_await Scene.leadingTerm(Service);
  ServerNode &Node = Scene.deployment().servers()[*Primary];
  co_await Scene.inject(*Primary, ServerFault::Paused);
  co_await sleepFor(ShortPause);
  co_await Scene.restore(*Primary, ServerFault::Paused);
  co_await sleepFor(ShortPause);
  LinkScope Scope;
  Scope.To = linkPrefix(Scene.deployment().spec(), Node.Place) + Node.Id.str();
  LinkRule Spike;
  Spike.Delay = SpikeDelay;
  Scene.mark(Node.Id.str() + " latency spike");
  co_await Scene.deployment().links().set(Scope, Spike);
  co_await sleepFor(ShortPause);
  co_await Scene.deployment().links().restore(Scope);
  co_await sleepFor(ShortPause);
  const Term After = co_await Scene.leadingTerm(Service);
  Seen.FalsePromotions +=
      After > Before ? static_cast<unsigned>(After - Before) : 0;
}

/// Returns whether a write of \p Service was acknowledged after \p Since.
bool wroteAfter(const History &Run, const std::string &Service,
                TimePoint Since) {
  // The history is in the order of the answers of all sessions.
  for (auto Op = Run.Operations.rbegin();
       Op != Run.Operations.rend() && Op->Answered > Since; ++Op)
    if (Op->Service.str() == Service && writesRows(Op->Kind) &&
        Op->End == OperationEnd::Acknowledged)
      return true;
  return false;
}

/// Fails the primary of \p Service again and again. The next fault comes only
/// after writes have resumed, so that each gap belongs to one fault.
QCoro::Task<> failPrimaries(Stage &Scene, const LoadClient &Load,
                            std::string Service, std::size_t FirstKind,
                            Progress &Seen) {
  Deployment &Over = Scene.deployment();
  for (std::size_t Round = FirstKind; Scene.left() > Reserve; ++Round) {
    const auto Primary = co_await Over.primaryOf(Service);
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
    const Term Before = co_await Scene.leadingTerm(Service);
    Fault.At = steadyNow();
    co_await Scene.inject(*Primary, Fault.Kind);
    const TimePoint Limit = std::min(Fault.At + PromotionTimeout,
                                     steadyNow() + Scene.left() - Reserve / 2);
    const auto Later = co_await Scene.promoted(Service, Before, Limit);
    Fault.Promoted = Later.has_value();
    const TimePoint Then = steadyNow();
    while (Fault.Promoted && steadyNow() < Limit &&
           !wroteAfter(Load.history(), Service, Then))
      co_await sleepFor(ThinkTime);
    if (Fault.Promoted)
      co_await sleepFor(AfterPromotion);
    Fault.Until = steadyNow();
    co_await Scene.restore(*Primary, Fault.Kind);
    co_await Over.settled(Service, std::min(steadyNow() + SettleTimeout,
                                            steadyNow() + Scene.left()));
    Seen.Promotions += Fault.Promoted ? 1 : 0;
    Seen.Faults.push_back(Fault);
  }
}

QJsonObject figuresOf(const History &Run, const Progress &Seen,
                      TimePoint CalmFrom, TimePoint CalmUntil) {
  std::vector<double> GapsMs;
  QJsonArray List;
  for (const FaultRecord &Fault : Seen.Faults) {
    const auto Times = writeTimes(Run, ServiceName(Fault.Service));
    const Duration Usual = usualInterval(Times, CalmFrom, CalmUntil);
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
  Figures["promotions"] = static_cast<int>(Seen.Promotions);
  Figures["false_promotions"] = static_cast<int>(Seen.FalsePromotions);
  return Figures;
}

} // namespace

QCoro::Task<Result<RunReport>> runFailover(RunSettings Settings) {
  Stage Scene(Settings, threeServices());
  const Result<Success> Started = co_await Scene.start();
  if (!succeeded(Started))
    co_return failed(errorOf(Started));
  Deployment &Over = Scene.deployment();
  LoadClient &Load =
      Scene.addLoad(makePlan(Settings, Over, Scene.left() - Reserve / 2));
  QCoro::Task<> Loading = Load.run();
  co_await sleepFor(Load.start() - steadyNow() + CalmTime);
  const TimePoint CalmUntil = steadyNow();

  Progress Seen;
  std::vector<QCoro::Task<>> Drivers;
  for (const std::string &Service : Over.spec().Services)
    Drivers.push_back(disturb(Scene, Service, Seen));
  for (QCoro::Task<> &Driver : Drivers)
    co_await Driver;
  Drivers.clear();
  for (std::size_t I = 0; I < Over.spec().Services.size(); ++I)
    Drivers.push_back(
        failPrimaries(Scene, Load, Over.spec().Services[I], I, Seen));
  for (QCoro::Task<> &Driver : Drivers)
    co_await Driver;
  Load.stop();
  co_await Loading;

  const auto Broken = co_await Scene.check();
  if (!succeeded(Broken))
    co_return failed(errorOf(Broken));
  RunReport Report;
  Report.Figures = figuresOf(Load.history(), Seen, Load.start(), CalmUntil);
  Report.Figures["violations"] = violationsJson(valueOf(Broken));
  Report.Runs.push_back(Scene.plot("failover"));
  co_await Over.stop();
  co_return std::move(Report);
}

} // namespace amaranthspur::bench
