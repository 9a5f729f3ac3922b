// Scenario `faults`: rows of faults under one load, each checked.
#include "bench/Failure.h"
#include "bench/Remote.h"
#include "bench/Stage.h"
#include "bench/Statistics.h"
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
constexpr unsigned FarBehindMs = 5000;
constexpr Duration PromotionTimeout = std::chrono::seconds(3);
constexpr Duration LongPause = milliseconds(1500);
constexpr Duration SettleTimeout = std::chrono::seconds(3);
constexpr Duration ControlTimeout = std::chrono::seconds(1);
/// Time in a row before its fault.
constexpr Duration CalmTime = milliseconds(200);
constexpr Duration LeastRow = milliseconds(1200);
/// Kept for the check and the end.
constexpr Duration Reserve = milliseconds(4000);

/// What happens in one row.
enum class FaultKind {
  PrimaryKilled,
  PrimaryIsolated,
  AsymmetricCut,
  PromotedDiesToo,
  EntryVmKilled,
  StoreDown,
  StoreAnswerLost,
  ReplicaFarBehind,
  ConnectionSilent,
  EntryVmPaused,
  TwoAtOnce,
};

/// What a row works with.
struct RowScene {
  Stage &Scene;
  Random &Draw;
  std::string Service;
  std::size_t Primary = 0; ///< When the row began.
  Term Before = 0;         ///< In which it led.
  TimePoint Until;         ///< When the fault is to be taken back.
};

/// One row of the table. A row's function takes its faults back itself, but for
/// the links and the store.
struct FaultRow {
  FaultKind Kind = FaultKind::PrimaryKilled;
  const char *Name = "";
  QCoro::Task<> (*Run)(RowScene &) = nullptr;
};

QCoro::Task<> waitUntil(TimePoint When) {
  if (When > steadyNow())
    co_await sleepFor(When - steadyNow());
}

std::size_t drawEntry(RowScene &Row, std::optional<std::size_t> Place) {
  auto &Entries = Row.Scene.deployment().entries();
  for (;;) {
    const std::size_t Index = Row.Draw.below(Entries.size());
    if (!Place || Entries[Index].Place == *Place)
      return Index;
  }
}

std::size_t placeOfPrimary(RowScene &Row) {
  return Row.Scene.deployment().servers()[Row.Primary].Place;
}

/// Sets the faults of the platform's store, as fields of its `PUT /fault`.
QCoro::Task<> setStore(RowScene &Row, QJsonObject Fields) {
  const std::string Body =
      QJsonDocument(Fields).toJson(QJsonDocument::Compact).toStdString();
  co_await sendHttp(HttpMethod::Put, Row.Scene.deployment().platform(),
                    "/fault", Body, steadyNow() + ControlTimeout);
}

QJsonObject outageFields() { return {{"outage", true}}; }

QJsonObject lostAnswerFields() {
  return {{"delay_ms", 100}, {"lose_answers", 0.7}, {"seed", 7}};
}

QCoro::Task<> killPrimary(RowScene &Row) {
  co_await Row.Scene.inject(Row.Primary, ServerFault::Killed);
  co_await Row.Scene.promoted(Row.Service, Row.Before,
                              steadyNow() + PromotionTimeout);
  co_await waitUntil(Row.Until);
  co_await Row.Scene.restore(Row.Primary, ServerFault::Killed);
}

QCoro::Task<> isolatePrimary(RowScene &Row) {
  Row.Scene.mark("data centre of the primary isolated");
  co_await Row.Scene.deployment().links().isolate(placeOfPrimary(Row));
  co_await waitUntil(Row.Until);
}

QCoro::Task<> cutOneDirection(RowScene &Row) {
  // What entry VMs beside the primary send to the other data centres is lost;
  // what the others send arrives, and so do the answers.
  Row.Scene.mark("asymmetric cut");
  Deployment &Over = Row.Scene.deployment();
  const std::size_t Place = placeOfPrimary(Row);
  for (std::size_t Other = 0; Other < Over.spec().Places.size(); ++Other) {
    if (Other == Place)
      continue;
    LinkScope Scope;
    Scope.From = addressPrefix(Place);
    Scope.To = linkPrefix(Over.spec(), Other);
    LinkRule Rule;
    Rule.Delay = latencyBetween(Over.spec(), Place, Other);
    Rule.DropForward = true;
    co_await Over.links().set(Scope, Rule);
  }
  co_await waitUntil(Row.Until);
}

QCoro::Task<> killPromoted(RowScene &Row) {
  co_await Row.Scene.inject(Row.Primary, ServerFault::Killed);
  const auto Later = co_await Row.Scene.promoted(
      Row.Service, Row.Before, steadyNow() + PromotionTimeout);
  Deployment &Over = Row.Scene.deployment();
  const auto Second = co_await Over.primaryOf(Row.Service);
  if (Later && Second) {
    // Cut off instead of killed: a process that starts again has lost its log,
    // and two of three lost logs are more than a group survives.
    const ServerNode &Node = Over.servers()[*Second];
    Row.Scene.mark(Node.Id.str() + " cut off");
    LinkRule Cut;
    Cut.Cut = true;
    for (std::size_t From = 0; From < Over.spec().Places.size(); ++From) {
      LinkScope Scope;
      Scope.From = addressPrefix(From);
      Scope.To = linkPrefix(Over.spec(), Node.Place) + Node.Id.str();
      co_await Over.links().set(Scope, Cut);
    }
    co_await waitUntil(std::max(Row.Until, steadyNow() + LongPause / 2));
    co_await Over.links().heal();
  }
  co_await Row.Scene.restore(Row.Primary, ServerFault::Killed);
}

QCoro::Task<> killEntry(RowScene &Row) {
  const std::size_t Index = drawEntry(Row, placeOfPrimary(Row));
  EntryNode &Node = Row.Scene.deployment().entries()[Index];
  Row.Scene.mark(Node.Id.str() + " killed");
  Node.Process->kill();
  co_await waitUntil(Row.Until);
  co_await Row.Scene.deployment().restartEntry(Index);
}

QCoro::Task<> stopStore(RowScene &Row) {
  Row.Scene.mark("store down");
  co_await setStore(Row, outageFields());
  co_await killPrimary(Row);
}

QCoro::Task<> loseStoreAnswers(RowScene &Row) {
  Row.Scene.mark("store slow, answers lost");
  co_await setStore(Row, lostAnswerFields());
  co_await killPrimary(Row);
}

QCoro::Task<> setLag(RowScene &Row, std::size_t Index, unsigned LagMs) {
  const ServerNode &Node = Row.Scene.deployment().servers()[Index];
  co_await askRow(Node.Direct, Row.Service,
                  "SELECT group_set_lag(" + std::to_string(LagMs) + ")",
                  steadyNow() + ControlTimeout);
}

QCoro::Task<> delayReplica(RowScene &Row) {
  const std::size_t Count = Row.Scene.deployment().servers().size();
  const std::size_t Replica = (Row.Primary + 1) % Count;
  Row.Scene.mark("replica far behind");
  co_await setLag(Row, Replica, FarBehindMs);
  co_await waitUntil(Row.Until);
  co_await setLag(Row, Replica, ReplicationLagMs);
}

QCoro::Task<> silenceConnections(RowScene &Row) {
  const ServerNode &Node = Row.Scene.deployment().servers()[Row.Primary];
  const DeploymentSpec &Spec = Row.Scene.deployment().spec();
  Row.Scene.mark("open connections to the primary silent");
  for (std::size_t From = 0; From < Spec.Places.size(); ++From) {
    LinkScope Scope;
    Scope.From = addressPrefix(From);
    Scope.To = linkPrefix(Spec, Node.Place) + Node.Id.str();
    LinkRule Rule;
    Rule.Delay = latencyBetween(Spec, From, Node.Place);
    Rule.Silent = true;
    co_await Row.Scene.deployment().links().set(Scope, Rule);
  }
  co_await waitUntil(Row.Until);
}

QCoro::Task<> pauseEntry(RowScene &Row) {
  const std::size_t Index = drawEntry(Row, placeOfPrimary(Row));
  EntryNode &Node = Row.Scene.deployment().entries()[Index];
  Row.Scene.mark(Node.Id.str() + " paused");
  Node.Process->pause();
  co_await waitUntil(std::max(Row.Until, steadyNow() + LongPause));
  Node.Process->resume();
}

QCoro::Task<> failTwo(RowScene &Row) {
  const std::size_t Index = drawEntry(Row, std::nullopt);
  EntryNode &Node = Row.Scene.deployment().entries()[Index];
  Row.Scene.mark(Node.Id.str() + " killed");
  Node.Process->kill();
  co_await killPrimary(Row);
  co_await Row.Scene.deployment().restartEntry(Index);
}

constexpr auto Rows = std::to_array<FaultRow>({
    {FaultKind::PrimaryKilled, "primary killed", killPrimary},
    {FaultKind::PrimaryIsolated, "primary isolated with some callers",
     isolatePrimary},
    {FaultKind::AsymmetricCut, "asymmetric cut", cutOneDirection},
    {FaultKind::PromotedDiesToo, "promoted server dies too", killPromoted},
    {FaultKind::EntryVmKilled, "entry VM killed", killEntry},
    {FaultKind::StoreDown, "store down, primary killed", stopStore},
    {FaultKind::StoreAnswerLost,
     "store slow and its answers lost, primary killed", loseStoreAnswers},
    {FaultKind::ReplicaFarBehind, "replica far behind", delayReplica},
    {FaultKind::ConnectionSilent, "connections silent", silenceConnections},
    {FaultKind::EntryVmPaused, "entry VM paused", pauseEntry},
    {FaultKind::TwoAtOnce, "primary and entry VM killed at once", failTwo},
});

/// When a row began and ended.
struct RowTime {
  const FaultRow *Row = nullptr;
  TimePoint From;
  TimePoint Until;
};

LoadPlan makePlan(const RunSettings &Settings, const Deployment &Over,
                  Duration Length) {
  CallerLoad Load;
  Load.Caller = CallerName("portal"); // Class proof: its reads tolerate 1 s.
  Load.Service = ServiceName("orders");
  Load.ThinkTime = ThinkTime;
  Load.Mix = mixOf(5, 5, 2, 1, 0);
  Load.Deadline = WriteDeadline;
  Load.Settings["amaranthspur.deadline_ms"] =
      std::to_string(WriteDeadline / milliseconds(1));
  LoadPlan Plan;
  Plan.Callers = spreadCallers(Over, Load, SessionsPerPlace);
  Plan.Length = Length;
  Plan.Seed = Settings.Seed;
  return Plan;
}

/// Runs one row and waits until the group has settled again.
QCoro::Task<> runRow(Stage &Scene, const FaultRow &Row, Random &Draw,
                     Duration Length) {
  const std::string Service = Scene.deployment().spec().Services.front();
  const TimePoint From = steadyNow();
  co_await sleepFor(CalmTime);
  const auto Primary = co_await Scene.deployment().primaryOf(Service);
  if (!Primary)
    co_return;
  RowScene Work{Scene, Draw, Service, *Primary, 0, From + Length * 2 / 3};
  Work.Before = co_await Scene.leadingTerm(Service);
  co_await Row.Run(Work);
  co_await Scene.deployment().links().heal();
  const QJsonObject NoFault;
  co_await setStore(Work, NoFault);
  Scene.mark("healed");
  co_await Scene.deployment().settled(Service, steadyNow() + SettleTimeout);
  co_await waitUntil(From + Length);
}

QJsonArray rowFigures(const History &Run, const std::vector<RowTime> &Times,
                      const std::vector<Violation> &Broken) {
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
        Broken, std::back_inserter(OfRow),
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
  Stage Scene(Settings, std::move(Spec));
  const Result<Success> Started = co_await Scene.start();
  if (!succeeded(Started))
    co_return failed(errorOf(Started));
  // The load lasts until stop(): a row may take longer than its share.
  LoadClient &Load = Scene.addLoad(
      makePlan(Settings, Scene.deployment(), 3 * Settings.Length));
  QCoro::Task<> Loading = Load.run();
  co_await sleepFor(Load.start() - steadyNow());
  Random Draw(Settings.Seed);
  std::vector<RowTime> Times;
  for (std::size_t I = 0; I < Rows.size(); ++I) {
    const Duration Share = (std::max(Scene.left(), Reserve) - Reserve) /
                           static_cast<std::int64_t>(Rows.size() - I);
    RowTime Time;
    Time.Row = &Rows[I];
    Time.From = steadyNow();
    co_await runRow(Scene, Rows[I], Draw, std::max(Share, LeastRow));
    Time.Until = steadyNow();
    Times.push_back(Time);
  }
  Load.stop();
  co_await Loading;
  const auto Broken = co_await Scene.check();
  if (!succeeded(Broken))
    co_return failed(errorOf(Broken));
  RunReport Report;
  Report.Figures["rows"] = rowFigures(Load.history(), Times, valueOf(Broken));
  Report.Runs.push_back(Scene.plot("faults"));
  co_await Scene.deployment().stop();
  co_return std::move(Report);
}

} // namespace amaranthspur::bench
