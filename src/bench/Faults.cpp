// Scenario `faults`: a sequence of faults under one load, with the violations
// counted for each.
#include "bench/Failure.h"
#include "bench/Remote.h"
#include "bench/Statistics.h"
#include "bench/TestEnvironment.h"
#include "core/Random.h"

#include <QJsonArray>
#include <QJsonDocument>

#include <algorithm>
#include <unordered_map>

namespace amaranthspur::bench {
namespace {

constexpr unsigned SessionsPerPlace = 8;
constexpr Duration ThinkTime = milliseconds(10);
constexpr Duration WriteDeadline = milliseconds(800);
constexpr unsigned ReplicationLagMs = 20;
constexpr unsigned LargeLagMs = 5000;
constexpr Duration PromotionTimeout = std::chrono::seconds(3);
constexpr Duration LongPause = milliseconds(1500);
constexpr Duration SettleTimeout = std::chrono::seconds(3);
constexpr Duration ControlTimeout = std::chrono::seconds(1);
/// Time from the start of a row to its fault.
constexpr Duration BaselineTime = milliseconds(200);
constexpr Duration MinRowTime = milliseconds(1200);
/// Time reserved for the check and the shutdown.
constexpr Duration ReservedTime = milliseconds(4000);

/// The fault that one row injects.
enum class FaultKind {
  PrimaryKilled,
  PrimaryIsolated,
  AsymmetricCut,
  PromotedServerCut,
  EntryVmKilled,
  StoreDown,
  StoreAnswerLost,
  ReplicaFarBehind,
  ConnectionSilent,
  EntryVmPaused,
  PrimaryAndEntryKilled,
};

/// The state that the function of a row works with.
struct FaultContext {
  TestEnvironment &Env;
  Random &Rng;
  std::string Service;
  std::size_t Primary = 0; ///< Index of the primary when the row began.
  Term Before = 0;         ///< Term of that primary.
  TimePoint Until;         ///< When the fault is to end.
};

/// One row of the table of faults. The function of a row ends its own faults,
/// except those of the links and the store, which runRow() ends.
struct FaultRow {
  FaultKind Kind = FaultKind::PrimaryKilled;
  const char *Name = "";
  QCoro::Task<> (*Run)(FaultContext &) = nullptr;
};

QCoro::Task<> waitUntil(TimePoint When) {
  if (When > steadyNow())
    co_await sleepFor(When - steadyNow());
}

std::size_t pickEntry(FaultContext &Context,
                      std::optional<std::size_t> DataCentreIndex) {
  auto &Entries = Context.Env.deployment().entries();
  for (;;) {
    const std::size_t Index = Context.Rng.below(Entries.size());
    if (!DataCentreIndex || Entries[Index].DataCentreIndex == *DataCentreIndex)
      return Index;
  }
}

std::size_t placeOfPrimary(FaultContext &Context) {
  return Context.Env.deployment().servers()[Context.Primary].DataCentreIndex;
}

/// Sets the faults of the platform's store. \p Fields is the body of its `PUT
/// /fault` request.
QCoro::Task<> setStoreFaults(FaultContext &Context, QJsonObject Fields) {
  const std::string Body =
      QJsonDocument(Fields).toJson(QJsonDocument::Compact).toStdString();
  co_await sendHttp(HttpMethod::Put, Context.Env.deployment().platform(),
                    "/fault", Body, steadyNow() + ControlTimeout);
}

QJsonObject outageFields() { return {{"outage", true}}; }

QJsonObject lostAnswerFields() {
  return {{"delay_ms", 100}, {"lose_answers", 0.7}, {"seed", 7}};
}

QCoro::Task<> killPrimary(FaultContext &Context) {
  co_await Context.Env.inject(Context.Primary, ServerFault::Killed);
  co_await Context.Env.waitForPromotion(Context.Service, Context.Before,
                                        steadyNow() + PromotionTimeout);
  co_await waitUntil(Context.Until);
  co_await Context.Env.restore(Context.Primary, ServerFault::Killed);
}

QCoro::Task<> isolatePrimary(FaultContext &Context) {
  Context.Env.mark("data centre of the primary isolated");
  co_await Context.Env.deployment().links().isolate(placeOfPrimary(Context));
  co_await waitUntil(Context.Until);
}

QCoro::Task<> cutOneDirection(FaultContext &Context) {
  // Data that entry VMs in the primary's data centre send to the other data
  // centres is lost. Data from the other data centres arrives, and so do the
  // answers to it.
  Context.Env.mark("asymmetric cut");
  Deployment &Target = Context.Env.deployment();
  const std::size_t DataCentreIndex = placeOfPrimary(Context);
  for (std::size_t Other = 0; Other < Target.spec().DataCentres.size();
       ++Other) {
    if (Other == DataCentreIndex)
      continue;
    LinkScope Scope;
    Scope.From = addressPrefix(DataCentreIndex);
    Scope.To = linkPrefix(Target.spec(), Other);
    LinkRule Rule;
    Rule.Delay = latencyBetween(Target.spec(), DataCentreIndex, Other);
    Rule.DropForward = true;
    co_await Target.links().set(Scope, Rule);
  }
  co_await waitUntil(Context.Until);
}

QCoro::Task<> cutPromotedServer(FaultContext &Context) {
  co_await Context.Env.inject(Context.Primary, ServerFault::Killed);
  const auto NewTerm = co_await Context.Env.waitForPromotion(
      Context.Service, Context.Before, steadyNow() + PromotionTimeout);
  Deployment &Target = Context.Env.deployment();
  const auto Second = co_await Target.primaryOf(Context.Service);
  if (NewTerm && Second) {
    // The server is cut off and not killed: a restarted process has lost its
    // log, and a group of three servers does not survive the loss of two logs.
    const ServerNode &Node = Target.servers()[*Second];
    Context.Env.mark(Node.Id.str() + " cut off");
    LinkRule Cut;
    Cut.Cut = true;
    for (std::size_t From = 0; From < Target.spec().DataCentres.size();
         ++From) {
      LinkScope Scope;
      Scope.From = addressPrefix(From);
      Scope.To =
          linkPrefix(Target.spec(), Node.DataCentreIndex) + Node.Id.str();
      co_await Target.links().set(Scope, Cut);
    }
    co_await waitUntil(std::max(Context.Until, steadyNow() + LongPause / 2));
    co_await Target.links().removeAllFaults();
  }
  co_await Context.Env.restore(Context.Primary, ServerFault::Killed);
}

QCoro::Task<> killEntry(FaultContext &Context) {
  const std::size_t Index = pickEntry(Context, placeOfPrimary(Context));
  EntryNode &Node = Context.Env.deployment().entries()[Index];
  Context.Env.mark(Node.Id.str() + " killed");
  Node.Process->kill();
  co_await waitUntil(Context.Until);
  co_await Context.Env.deployment().restartEntry(Index);
}

QCoro::Task<> stopStore(FaultContext &Context) {
  Context.Env.mark("store down");
  co_await setStoreFaults(Context, outageFields());
  co_await killPrimary(Context);
}

QCoro::Task<> loseStoreAnswers(FaultContext &Context) {
  Context.Env.mark("store slow, answers lost");
  co_await setStoreFaults(Context, lostAnswerFields());
  co_await killPrimary(Context);
}

QCoro::Task<> setReplicationLag(FaultContext &Context, std::size_t Index,
                                unsigned LagMs) {
  const ServerNode &Node = Context.Env.deployment().servers()[Index];
  co_await queryRow(Node.DirectAddress, Context.Service,
                    "SELECT group_set_lag(" + std::to_string(LagMs) + ")",
                    steadyNow() + ControlTimeout);
}

QCoro::Task<> delayReplica(FaultContext &Context) {
  const std::size_t Count = Context.Env.deployment().servers().size();
  const std::size_t Replica = (Context.Primary + 1) % Count;
  Context.Env.mark("replica far behind");
  co_await setReplicationLag(Context, Replica, LargeLagMs);
  co_await waitUntil(Context.Until);
  co_await setReplicationLag(Context, Replica, ReplicationLagMs);
}

QCoro::Task<> silenceConnections(FaultContext &Context) {
  const ServerNode &Node = Context.Env.deployment().servers()[Context.Primary];
  const DeploymentSpec &Spec = Context.Env.deployment().spec();
  Context.Env.mark("open connections to the primary silent");
  for (std::size_t From = 0; From < Spec.DataCentres.size(); ++From) {
    LinkScope Scope;
    Scope.From = addressPrefix(From);
    Scope.To = linkPrefix(Spec, Node.DataCentreIndex) + Node.Id.str();
    LinkRule Rule;
    Rule.Delay = latencyBetween(Spec, From, Node.DataCentreIndex);
    Rule.Silent = true;
    co_await Context.Env.deployment().links().set(Scope, Rule);
  }
  co_await waitUntil(Context.Until);
}

QCoro::Task<> pauseEntry(FaultContext &Context) {
  const std::size_t Index = pickEntry(Context, placeOfPrimary(Context));
  EntryNode &Node = Context.Env.deployment().entries()[Index];
  Context.Env.mark(Node.Id.str() + " paused");
  Node.Process->pause();
  co_await waitUntil(std::max(Context.Until, steadyNow() + LongPause));
  Node.Process->resume();
}

QCoro::Task<> killPrimaryAndEntry(FaultContext &Context) {
  const std::size_t Index = pickEntry(Context, std::nullopt);
  EntryNode &Node = Context.Env.deployment().entries()[Index];
  Context.Env.mark(Node.Id.str() + " killed");
  Node.Process->kill();
  co_await killPrimary(Context);
  co_await Context.Env.deployment().restartEntry(Index);
}

constexpr auto Rows = std::to_array<FaultRow>({
    {FaultKind::PrimaryKilled, "primary killed", killPrimary},
    {FaultKind::PrimaryIsolated, "primary isolated with some callers",
     isolatePrimary},
    {FaultKind::AsymmetricCut, "asymmetric cut", cutOneDirection},
    {FaultKind::PromotedServerCut, "promoted server dies too",
     cutPromotedServer},
    {FaultKind::EntryVmKilled, "entry VM killed", killEntry},
    {FaultKind::StoreDown, "store down, primary killed", stopStore},
    {FaultKind::StoreAnswerLost,
     "store slow and its answers lost, primary killed", loseStoreAnswers},
    {FaultKind::ReplicaFarBehind, "replica far behind", delayReplica},
    {FaultKind::ConnectionSilent, "connections silent", silenceConnections},
    {FaultKind::EntryVmPaused, "entry VM paused", pauseEntry},
    {FaultKind::PrimaryAndEntryKilled, "primary and entry VM killed at once",
     killPrimaryAndEntry},
});

/// The start and end time of a row.
struct RowTime {
  const FaultRow *Row = nullptr;
  TimePoint From;
  TimePoint Until;
};

LoadPlan makePlan(const RunSettings &Settings, const Deployment &Target,
                  Duration Length) {
  CallerLoad Load;
  // The default class of this caller is proof, whose reads tolerate a staleness
  // of 1 s.
  Load.Caller = CallerName("portal");
  Load.Service = ServiceName("orders");
  Load.ThinkTime = ThinkTime;
  Load.Mix = mixOf(5, 5, 2, 1, 0);
  Load.Deadline = WriteDeadline;
  Load.Settings["amaranthspur.deadline_ms"] =
      std::to_string(WriteDeadline / milliseconds(1));
  LoadPlan Plan;
  Plan.Callers = spreadCallers(Target, Load, SessionsPerPlace);
  Plan.Length = Length;
  Plan.Seed = Settings.Seed;
  return Plan;
}

/// Runs one row for at least \p Length and waits until the group has settled
/// again.
QCoro::Task<> runRow(TestEnvironment &Env, const FaultRow &Row, Random &Rng,
                     Duration Length) {
  const std::string Service = Env.deployment().spec().Services.front();
  const TimePoint From = steadyNow();
  co_await sleepFor(BaselineTime);
  const auto Primary = co_await Env.deployment().primaryOf(Service);
  if (!Primary)
    co_return;
  FaultContext Context{Env, Rng, Service, *Primary, 0, From + Length * 2 / 3};
  Context.Before = co_await Env.leadingTerm(Service);
  co_await Row.Run(Context);
  co_await Env.deployment().links().removeAllFaults();
  const QJsonObject NoFault;
  co_await setStoreFaults(Context, NoFault);
  Env.mark("healed");
  co_await Env.deployment().waitUntilSettled(Service,
                                             steadyNow() + SettleTimeout);
  co_await waitUntil(From + Length);
}

QJsonArray rowFigures(const History &Run, const std::vector<RowTime> &Times,
                      const std::vector<Violation> &Violations) {
  std::unordered_map<std::string, TimePoint> Intended;
  for (const Operation &Op : Run.Operations)
    Intended[Op.Id] = Op.Intended;
  QJsonArray List;
  for (const RowTime &Time : Times) {
    const auto Within = [&Time](TimePoint At) {
      return At >= Time.From && At < Time.Until;
    };
    std::vector<Violation> OfRow;
    std::ranges::copy_if(
        Violations, std::back_inserter(OfRow),
        [&](const Violation &V) { return Within(Intended[V.Operation]); });
    QJsonObject Entry;
    Entry["fault"] = Time.Row->Name;
    Entry["operations"] = static_cast<int>(
        countOf(Run, [&](const Operation &Op) { return Within(Op.Intended); }));
    Entry["violations"] = violationsJson(OfRow);
    List.append(Entry);
  }
  return List;
}

} // namespace

QCoro::Task<Result<RunReport>> runFaults(RunSettings Settings) {
  DeploymentSpec Spec = makeDeployment(DeploymentKind::Engravers);
  Spec.ReplicationLagMs = ReplicationLagMs;
  TestEnvironment Env(Settings, std::move(Spec));
  const Result<Success> Started = co_await Env.start();
  if (!succeeded(Started))
    co_return makeError(errorOf(Started));
  // The load runs until stop(), because a row may take longer than its share of
  // the time.
  LoadClient &Load =
      Env.addLoad(makePlan(Settings, Env.deployment(), 3 * Settings.Length));
  QCoro::Task<> Loading = Load.run();
  co_await sleepFor(Load.start() - steadyNow());
  Random Rng(Settings.Seed);
  std::vector<RowTime> Times;
  for (std::size_t I = 0; I < Rows.size(); ++I) {
    const Duration Share =
        (std::max(Env.timeLeft(), ReservedTime) - ReservedTime) /
        static_cast<std::int64_t>(Rows.size() - I);
    RowTime Time;
    Time.Row = &Rows[I];
    Time.From = steadyNow();
    co_await runRow(Env, Rows[I], Rng, std::max(Share, MinRowTime));
    Time.Until = steadyNow();
    Times.push_back(Time);
  }
  Load.stop();
  co_await Loading;
  const auto Violations = co_await Env.check();
  if (!succeeded(Violations))
    co_return makeError(errorOf(Violations));
  RunReport Report;
  Report.Figures["rows"] =
      rowFigures(Load.history(), Times, valueOf(Violations));
  Report.Runs.push_back(Env.plot("faults"));
  co_await Env.deployment().stop();
  co_return std::move(Report);
}

} // namespace amaranthspur::bench
