// Tests of the judge of the soak with made-up histories.
#include "bench/soak/Judge.h"

#include <catch2/catch.hpp>

#include <functional>
#include <optional>

using namespace amaranthspur;
using namespace amaranthspur::bench::soak;

namespace {

/// Longer than a request may take to be read.
constexpr double LateMs = 300;
/// Times of the basic history in ms. The other times of the rows count from the
/// promotion, long after the start, so that nothing is disrupted by default.
constexpr double WriteAt = 10000;
constexpr double PromotionAt = 20000;

LogView makeLog(std::vector<unsigned> Commits) {
  LogView Log;
  Log.Count = Commits.size();
  Log.Entries =
      std::make_shared<const std::vector<unsigned>>(std::move(Commits));
  return Log;
}

Statement makeStatement(const std::string &Id, StatementKind Kind, double At) {
  Statement S;
  S.Id = Id;
  S.Vm = "vm-1";
  S.Session = 1;
  S.Kind = Kind;
  S.SentAt = At;
  S.OperationAt = At;
  S.EndedAt = At + 30;
  S.End = Outcome::Success;
  return S;
}

StatementRun makeRun(const std::string &Id, const std::string &Server,
                     double At) {
  StatementRun R;
  R.Id = Id;
  R.Server = Server;
  R.Name = "vm-1";
  R.Connection = 1;
  R.At = At;
  return R;
}

Commit makeCommit(const std::string &Id, unsigned Number, double At) {
  Commit C;
  C.Id = Id;
  C.Server = "i-1";
  C.Term = 1;
  C.Number = Number;
  C.At = At;
  return C;
}

Order makeOrder(const std::string &Holder, std::uint64_t Fence, double At) {
  Order O;
  O.Target = "i-2";
  O.Holder = Holder;
  O.Fence = Fence;
  O.At = At;
  return O;
}

/// A history that breaks no rule: one write, one read that sees it, and one
/// promotion of a server that holds it.
History makeHistory() {
  History H;
  H.Statements = {makeStatement("w1", StatementKind::Write, WriteAt),
                  makeStatement("r1", StatementKind::Read, WriteAt + 5000)};
  H.Runs = {makeRun("w1", "i-1", WriteAt + 10),
            makeRun("r1", "i-1", WriteAt + 5010)};
  H.Runs[1].View = makeLog({0});
  H.Commits = {makeCommit("w1", 1, WriteAt + 20)};
  H.Effects.resize(1);
  H.Effects[0].Server = "i-2";
  H.Effects[0].Term = 2;
  H.Effects[0].At = PromotionAt;
  H.Effects[0].Log = makeLog({0});
  H.Orders = {makeOrder("vm-1", 5, PromotionAt - 600)};
  H.FinalLogs = {makeLog({0})};
  return H;
}

/// Adds a write that was acknowledged but that the promoted server lacks.
void loseCommit(History &H) {
  H.Statements.push_back(
      makeStatement("w2", StatementKind::Write, PromotionAt - 1000));
  H.Commits.push_back(makeCommit("w2", 2, PromotionAt - 980));
}

/// Adds a statement that a server ran and that ends without an answer.
void closeStatement(History &H) {
  H.Statements.push_back(makeStatement("w3", StatementKind::Write, 40000));
  H.Statements.back().End = Outcome::Closed;
  H.Runs.push_back(makeRun("w3", "i-2", 40010));
}

/// Adds a transaction of two writes on one connection.
void addTransaction(History &H) {
  for (const char *Id : {"t1", "t2"}) {
    H.Statements.push_back(makeStatement(Id, StatementKind::Write, 30000));
    H.Statements.back().Transaction = 7;
    H.Runs.push_back(makeRun(Id, "i-2", 30010));
    H.Runs.back().InTransaction = true;
  }
}

/// Adds a read that runs at a draining server after the bound.
void runAtDraining(History &H) {
  H.DrainReports = {{"i-1", 50000}};
  H.Statements.push_back(makeStatement("r2", StatementKind::Read, 57500));
  H.Runs.push_back(makeRun("r2", "i-1", 57510));
}

/// Adds a connection that is accepted after its route was removed.
void useRemovedRoute(History &H) {
  H.RouteChanges = {{true, 0}, {false, 50000}};
  H.RouteProbes = {{"vm-1", 53500, true}};
}

/// Adds a read that lacks a write acknowledged \p AgeMs before it.
void readOldLog(History &H, RouteType Route, double AgeMs, unsigned Session) {
  H.Statements.push_back(
      makeStatement("r3", StatementKind::Read, WriteAt + 30 + AgeMs));
  H.Statements.back().Route = Route;
  H.Statements.back().Session = Session;
  H.Runs.push_back(makeRun("r3", "i-3", WriteAt + 40 + AgeMs));
  H.Runs.back().View = makeLog({});
}

/// Limit of ws-1 in a window of 5 s: (20 x 5 + 30) x 1.1 + 20.
constexpr unsigned QuotaLimit = 163;

/// Adds two workspaces with one key each, of which the first has a quota.
void addWorkspaces(History &H) {
  H.WorkspaceVersions = {
      {0, {{"ws-1", {"key-1"}, 20, 30}, {"ws-2", {"key-2"}, 20, 30}}}};
}

/// Adds a read with \p Key that runs on a connection of \p Name.
void runWithKey(History &H, const std::string &Key, const std::string &Name,
                double At) {
  H.Statements.push_back(makeStatement("k1", StatementKind::Read, At));
  H.Statements.back().Key = Key;
  H.Runs.push_back(makeRun("k1", "i-2", At + 10));
  H.Runs.back().Name = Name;
}

/// Withdraws key-1 at 50 s and runs a read with it \p LaterMs later.
void useWithdrawnKey(History &H, double LaterMs) {
  addWorkspaces(H);
  H.WorkspaceVersions.push_back(
      {50000, {{"ws-1", {"key-3"}, 20, 30}, {"ws-2", {"key-2"}, 20, 30}}});
  runWithKey(H, "key-1", "ws-1", 50000 + LaterMs);
}

/// Adds \p Count operations of ws-1, one each ms from \p At.
void runOperations(History &H, unsigned Count, double At) {
  for (unsigned I = 0; I < Count; ++I) {
    const std::string Id = "o" + std::to_string(I);
    H.Statements.push_back(makeStatement(Id, StatementKind::Read, At + I));
    H.Statements.back().Key = "key-1";
    H.Runs.push_back(makeRun(Id, "i-2", At + I + 10));
    H.Runs.back().Name = "ws-1";
  }
}

/// Raises the quota of ws-1 until 50 s, and runs more than the limit after
/// that \p LaterMs later.
void runAfterLowering(History &H, double LaterMs) {
  addWorkspaces(H);
  H.WorkspaceVersions.push_back(H.WorkspaceVersions[0]);
  H.WorkspaceVersions[0].Workspaces[0].RatePerS = 100;
  H.WorkspaceVersions[1].At = 50000;
  runOperations(H, QuotaLimit + 1, 50000 + LaterMs);
}

/// One history and the rule that it breaks.
struct Row {
  const char *Name;
  std::function<void(History &)> Change;
  std::optional<Rule> Broken;
};

const std::vector<Row> Rows = {
    {"nothing", [](History &) {}, std::nullopt},
    {"an acknowledged commit is not in the promoted log", loseCommit,
     Rule::Lost},
    {"a lost commit is not in the log of the next promotion either",
     [](History &H) {
       loseCommit(H);
       H.Effects.push_back(H.Effects[0]);
       H.Effects[1].Term = 3;
       H.Effects[1].At += 5000;
     },
     Rule::Lost},
    {"a commit that was acknowledged before a crash of its primary, which "
     "returns under another ID, is not in the log of a late promotion",
     [](History &H) {
       loseCommit(H);
       H.Disruptions = {{FaultKind::Store, "store", 17000, 23000},
                        {FaultKind::PrimaryCrash, "i-1", 19500, 20500},
                        {FaultKind::Isolation, "i-1", 17000, 21000},
                        {FaultKind::Cut, "vm-1", 17000, 21000}};
       H.Orders[0].At = PromotionAt - 6600;
     },
     Rule::Lost},
    {"a commit without an answer is not in the promoted log",
     [](History &H) {
       loseCommit(H);
       H.Statements.back().End = Outcome::Failure;
     },
     std::nullopt},
    {"no answer at a stop",
     [](History &H) {
       closeStatement(H);
       H.Disruptions = {{FaultKind::Terminate, "vm-1", 39900, 41000}};
     },
     Rule::Lost},
    {"no answer at a reload",
     [](History &H) {
       closeStatement(H);
       H.Disruptions = {{FaultKind::HangUp, "vm-1", 39900, 39900}};
     },
     Rule::Lost},
    {"no answer at a stop, not run but read long before",
     [](History &H) {
       closeStatement(H);
       H.Runs.pop_back();
       H.Statements.back().EndedAt += LateMs;
       H.Disruptions = {{FaultKind::Terminate, "vm-1", 39900, 41000}};
     },
     Rule::Lost},
    {"no answer at a stop, not run and seen late, since the soak stalled",
     [](History &H) {
       closeStatement(H);
       H.Runs.pop_back();
       H.Statements.back().EndedAt += LateMs;
       H.Stalls = {{39950, 40000 + LateMs}};
       H.Disruptions = {{FaultKind::Terminate, "vm-1", 39900, 41000}};
     },
     std::nullopt},
    {"no answer at a stop, not run and read long before a short stall",
     [](History &H) {
       closeStatement(H);
       H.Runs.pop_back();
       H.Statements.back().EndedAt += LateMs;
       H.Stalls = {{40000, 40090}, {39000, 39900}};
       H.Disruptions = {{FaultKind::Terminate, "vm-1", 39900, 41000}};
     },
     Rule::Lost},
    {"no answer at a stop, not run and just sent",
     [](History &H) {
       closeStatement(H);
       H.Runs.pop_back();
       H.Disruptions = {{FaultKind::Terminate, "vm-1", 39900, 41000}};
     },
     std::nullopt},
    {"no answer at a stop shortly after a freeze",
     [](History &H) {
       closeStatement(H);
       H.Disruptions = {{FaultKind::Freeze, "vm-1", 37000, 38000},
                        {FaultKind::Terminate, "vm-1", 39900, 41000}};
     },
     std::nullopt},
    {"no answer at a stop of another machine",
     [](History &H) {
       closeStatement(H);
       H.Disruptions = {{FaultKind::Terminate, "vm-2", 39900, 41000}};
     },
     std::nullopt},
    {"a process is killed at the end of its grace time",
     [](History &H) {
       H.LateStops = {{"vm-1", 40000}};
     },
     Rule::Lost},
    {"a frozen process is killed at the end of its grace time",
     [](History &H) {
       H.LateStops = {{"vm-1", 40000}};
       H.Disruptions = {{FaultKind::Freeze, "vm-1", 41000, 47000}};
     },
     std::nullopt},
    {"a lower fence",
     [](History &H) {
       H.Orders.push_back(makeOrder("vm-2", 4, PromotionAt + 9000));
     },
     Rule::One},
    {"a lower fence after a cut",
     [](History &H) {
       H.Disruptions = {{FaultKind::Cut, "vm-2", 20000, 28000}};
       H.Orders.push_back(makeOrder("vm-2", 4, PromotionAt + 8100));
     },
     Rule::One},
    {"the same fence",
     [](History &H) {
       H.Orders.push_back(makeOrder("vm-2", 5, PromotionAt + 9000));
     },
     Rule::One},
    {"two holders within the lease",
     [](History &H) {
       H.Orders.push_back(makeOrder("vm-2", 6, PromotionAt + 3000));
     },
     Rule::One},
    {"two holders within the lease, the first was killed",
     [](History &H) {
       H.Disruptions = {{FaultKind::Kill, "vm-1", 17000, 18000}};
       H.Orders.push_back(makeOrder("vm-2", 6, PromotionAt + 3000));
     },
     std::nullopt},
    {"two holders after the lease",
     [](History &H) {
       H.Orders.push_back(makeOrder("vm-2", 6, PromotionAt + 3500));
     },
     std::nullopt},
    {"two holders of different groups",
     [](History &H) {
       H.Orders.push_back(makeOrder("vm-2", 4, PromotionAt));
       H.Orders.back().Group = 1;
     },
     std::nullopt},
    {"an acknowledged commit at the old primary",
     [](History &H) {
       loseCommit(H);
       H.Commits.back().At = PromotionAt + 100;
     },
     Rule::One},
    {"an acknowledged commit at the old primary through a cut link",
     [](History &H) {
       loseCommit(H);
       H.Commits.back().At = PromotionAt + 100;
       H.Disruptions = {{FaultKind::Cut, "vm-1", 19500, 21000}};
     },
     std::nullopt},
    {"a primary read lacks a commit",
     [](History &H) { readOldLog(H, RouteType::Primary, 10, 2); }, Rule::Stale},
    {"a primary read lacks a commit and its answer is passed on",
     [](History &H) {
       readOldLog(H, RouteType::Primary, 10, 2);
       H.Statements.back().Server = H.Runs.back().Server;
     },
     Rule::Stale},
    {"a primary read lacks a commit, and the answer of a later run is passed "
     "on",
     [](History &H) {
       readOldLog(H, RouteType::Primary, 10, 2);
       H.Statements.back().Server = "i-2";
       H.Runs.push_back(makeRun("r3", "i-2", WriteAt + 60));
       H.Runs.back().View = makeLog({0});
     },
     std::nullopt},
    {"a primary read lacks a commit also at its later run",
     [](History &H) {
       readOldLog(H, RouteType::Primary, 10, 2);
       H.Statements.back().Server = "i-2";
       H.Runs.push_back(makeRun("r3", "i-2", WriteAt + 60));
       H.Runs.back().View = makeLog({});
     },
     Rule::Stale},
    {"a bounded read lacks a recent commit",
     [](History &H) { readOldLog(H, RouteType::BoundedStale, 1000, 1); },
     std::nullopt},
    {"a bounded read lacks an old commit",
     [](History &H) { readOldLog(H, RouteType::BoundedStale, 1600, 2); },
     Rule::Stale},
    {"a session does not read its own write",
     [](History &H) { readOldLog(H, RouteType::ReadYourWrites, 10, 1); },
     Rule::Stale},
    {"a session does not read another's recent write",
     [](History &H) { readOldLog(H, RouteType::ReadYourWrites, 10, 2); },
     std::nullopt},
    {"a write is committed twice",
     [](History &H) {
       H.Commits.push_back(makeCommit("w1", 2, WriteAt + 25));
       H.FinalLogs = {makeLog({0, 1})};
       H.Effects[0].Log = makeLog({0, 1});
       H.Runs[1].View = makeLog({0, 1});
     },
     Rule::Twice},
    {"a refused write is kept",
     [](History &H) { H.Statements[0].End = Outcome::Promise; }, Rule::Refused},
    {"another session's value",
     [](History &H) { H.Runs[0].SessionValue = "other"; }, Rule::Pinned},
    {"another session's prepared statement",
     [](History &H) {
       H.Statements[1].Shape = "a";
       H.Runs[1].Shape = "b";
     },
     Rule::Pinned},
    {"a transaction on one connection", addTransaction, std::nullopt},
    {"a transaction on two connections",
     [](History &H) {
       addTransaction(H);
       H.Runs.back().Connection = 2;
     },
     Rule::Pinned},
    {"a statement of another transaction in between",
     [](History &H) {
       addTransaction(H);
       H.Statements.push_back(makeStatement("t3", StatementKind::Write, 30000));
       H.Statements.back().Transaction = 8;
       H.Runs.insert(H.Runs.end() - 1, makeRun("t3", "i-2", 30010));
       (H.Runs.end() - 2)->InTransaction = true;
     },
     Rule::Pinned},
    {"a statement outside its transaction",
     [](History &H) {
       addTransaction(H);
       H.Runs.back().InTransaction = false;
     },
     Rule::Pinned},
    {"a statement inside another transaction",
     [](History &H) { H.Runs[0].InTransaction = true; }, Rule::Pinned},
    {"a read at a draining server", runAtDraining, Rule::Drain},
    {"a read at a draining server, the store was disrupted",
     [](History &H) {
       runAtDraining(H);
       H.Disruptions = {{FaultKind::Store, "store", 51000, 52000}};
     },
     std::nullopt},
    {"a later statement of a transaction at a draining server",
     [](History &H) {
       runAtDraining(H);
       H.Statements.back().First = false;
     },
     std::nullopt},
    {"a removed route is used", useRemovedRoute, Rule::Config},
    {"a removed route is used within the bound",
     [](History &H) {
       useRemovedRoute(H);
       H.RouteProbes[0].SentAt = 52900;
     },
     std::nullopt},
    {"a removed route is used by a machine that was cut",
     [](History &H) {
       useRemovedRoute(H);
       H.Disruptions = {{FaultKind::Cut, "vm-1", 50000, 53000}};
     },
     std::nullopt},
    {"a key on a connection of its workspace",
     [](History &H) {
       addWorkspaces(H);
       runWithKey(H, "key-1", "ws-1", 40000);
     },
     std::nullopt},
    {"a key on a connection of another workspace",
     [](History &H) {
       addWorkspaces(H);
       runWithKey(H, "key-1", "ws-2", 40000);
     },
     Rule::Unasked},
    {"a key on a connection of the proxy's own",
     [](History &H) {
       addWorkspaces(H);
       runWithKey(H, "key-1", "vm-1", 40000);
     },
     Rule::Unasked},
    {"an anonymous statement on a connection of a workspace",
     [](History &H) {
       addWorkspaces(H);
       runWithKey(H, "", "ws-1", 40000);
     },
     Rule::Unasked},
    {"an anonymous statement on a connection of the proxy's own",
     [](History &H) {
       addWorkspaces(H);
       runWithKey(H, "", "vm-1", 40000);
     },
     std::nullopt},
    {"a key that moved to another workspace before the statement was sent",
     [](History &H) {
       addWorkspaces(H);
       H.WorkspaceVersions.push_back({30000, {{"ws-2", {"key-1"}, 20, 30}}});
       runWithKey(H, "key-1", "ws-1", 40000);
     },
     Rule::Unasked},
    {"a server receives a key",
     [](History &H) {
       H.KeySightings = {{"i-1", "CONNECT ledger0 key-1 i-1", 40000}};
     },
     Rule::Unasked},
    {"a key that no configuration ever held",
     [](History &H) {
       addWorkspaces(H);
       runWithKey(H, "key-9", "ws-1", 40000);
     },
     Rule::Route},
    {"a key that only a later configuration holds",
     [](History &H) {
       addWorkspaces(H);
       H.WorkspaceVersions.push_back({50000, {{"ws-1", {"key-9"}, 20, 30}}});
       runWithKey(H, "key-9", "ws-1", 40000);
     },
     Rule::Route},
    {"a key that a configuration holds when the statement runs",
     [](History &H) {
       addWorkspaces(H);
       H.WorkspaceVersions.push_back({40005, {{"ws-1", {"key-9"}, 20, 30}}});
       runWithKey(H, "key-9", "ws-1", 40000);
     },
     std::nullopt},
    {"a withdrawn key within the bound",
     [](History &H) { useWithdrawnKey(H, 4990); }, std::nullopt},
    {"a withdrawn key after the bound",
     [](History &H) { useWithdrawnKey(H, 5010); }, Rule::Config},
    {"a withdrawn key at a machine that is cut off",
     [](History &H) {
       useWithdrawnKey(H, 5010);
       H.Disruptions = {{FaultKind::Cut, "vm-1", 49000, 54000}};
     },
     std::nullopt},
    {"a withdrawn key at a machine that was cut off long before",
     [](History &H) {
       useWithdrawnKey(H, 9010);
       H.Disruptions = {{FaultKind::Cut, "vm-1", 49000, 54000}};
     },
     Rule::Config},
    {"a withdrawn key while the store is disrupted",
     [](History &H) {
       useWithdrawnKey(H, 5010);
       H.Disruptions = {{FaultKind::Store, "store", 51000, 52000}};
     },
     std::nullopt},
    {"a withdrawn key long after the store was disrupted",
     [](History &H) {
       useWithdrawnKey(H, 9010);
       H.Disruptions = {{FaultKind::Store, "store", 51000, 52000}};
     },
     Rule::Config},
    {"a withdrawn key at a process that has just been started",
     [](History &H) {
       useWithdrawnKey(H, 5010);
       H.Disruptions = {{FaultKind::Kill, "vm-1", 53000, 54000},
                        {FaultKind::Start, "vm-1", 54000, 55000}};
     },
     Rule::Config},
    {"as many operations as a quota allows",
     [](History &H) {
       addWorkspaces(H);
       runOperations(H, QuotaLimit, 40000);
     },
     std::nullopt},
    {"more operations than a quota allows",
     [](History &H) {
       addWorkspaces(H);
       runOperations(H, QuotaLimit + 1, 40000);
     },
     Rule::Quota},
    {"more operations than a quota allows, of which one did not run",
     [](History &H) {
       addWorkspaces(H);
       runOperations(H, QuotaLimit + 1, 40000);
       H.Runs.pop_back();
     },
     std::nullopt},
    {"more statements than a quota allows, of which one is of a transaction "
     "that has begun",
     [](History &H) {
       addWorkspaces(H);
       runOperations(H, QuotaLimit + 1, 40000);
       H.Statements.back().First = false;
     },
     std::nullopt},
    {"an operation that ran twice counts once",
     [](History &H) {
       addWorkspaces(H);
       runOperations(H, QuotaLimit, 40000);
       H.Runs.push_back(H.Runs.back());
     },
     std::nullopt},
    {"a lowered quota that does not bind yet",
     [](History &H) { runAfterLowering(H, 9000); }, std::nullopt},
    {"a lowered quota that binds",
     [](History &H) { runAfterLowering(H, 10100); }, Rule::Quota},
    {"a lowered quota while a machine is cut off",
     [](History &H) {
       runAfterLowering(H, 10100);
       H.Disruptions = {{FaultKind::Cut, "vm-2", 54000, 56000}};
     },
     std::nullopt},
    {"a lowered quota while a server is down",
     [](History &H) {
       runAfterLowering(H, 10100);
       H.Disruptions = {{FaultKind::ServerCrash, "i-1", 54000, 56000}};
     },
     Rule::Quota},
    {"a lowered quota long after a machine was cut off",
     [](History &H) {
       runAfterLowering(H, 16100);
       H.Disruptions = {{FaultKind::Cut, "vm-2", 54000, 56000}};
     },
     Rule::Quota},
};

} // namespace

// Guards against a judge that misses a broken rule, or that charges what the
// users' pages allow.
TEST_CASE("judge of a soak") {
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    History H = makeHistory();
    R.Change(H);
    const std::vector<Violation> Found = judge(H);
    CHECK(Found.size() == (R.Broken ? 1 : 0));
    for (const Violation &V : Found)
      CHECK(nameOf(V.Broken) == nameOf(*R.Broken));
  }
}

// Guards against a figure that counts refused writes or reads.
TEST_CASE("longest time without an acknowledged write") {
  History H;
  for (const double At : {1000.0, 1400.0, 4000.0, 4100.0})
    H.Statements.push_back(makeStatement("w", StatementKind::Write, At));
  CHECK(longestWriteGap(H, 0) == 2600);
  H.Statements[1].End = Outcome::Promise;
  CHECK(longestWriteGap(H, 0) == 3000);
  H.Statements[2].Kind = StatementKind::Read;
  CHECK(longestWriteGap(H, 0) == 3100);
  CHECK(longestWriteGap(H, 1) == 0);
}
