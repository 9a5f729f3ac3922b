#include "root/sessions/Session.h"

#include "platform/LineCodec.h"
#include "platform/testing/MemoryPlatform.h"
#include "root/groups/testing/GroupRegistrations.h"
#include "testing/TaskRunner.h"

#include <catch2/catch.hpp>

#include <deque>

using namespace amaranthspur;
using linegroup::FakeServer;
using linegroup::LineGroup;
using linegroup::LinkFault;

namespace {

/// A caller that sends scripted lines and records the answers.
class ScriptedCaller final : public CallerStream {
public:
  /// One step: a line to send, and an action of the test before it. An empty
  /// line stands for a receive that times out.
  struct Step {
    std::string Line;
    std::function<void()> Before = [] {};
    Duration Pause{}; ///< Between the action and the line.
  };

  ScriptedCaller(std::deque<Step> Steps, std::vector<std::string> &Answers,
                 std::vector<std::string> &Details)
      : Steps(std::move(Steps)), Answers(Answers), Details(Details) {}

  QCoro::Task<CallerMessage> receive(TimePoint) override {
    if (this->Steps.empty())
      co_return CallerMessage(CallerDisconnected{});
    const Step Next = this->Steps.front();
    this->Steps.pop_front();
    Next.Before();
    if (Next.Pause > Duration::zero())
      co_await sleepFor(Next.Pause);
    if (Next.Line.empty())
      co_return CallerMessage(NoMessage{});
    Result<lines::CallerLine> Decoded = lines::decodeCallerLine(Next.Line);
    if (!succeeded(Decoded))
      co_return CallerMessage(
          MalformedMessage{AnswerCode::Malformed, errorOf(Decoded)});
    lines::CallerLine Message = valueOf(std::move(Decoded));
    if (auto *Connect = std::get_if<lines::ConnectLine>(&Message))
      co_return CallerMessage(SessionRequest{Connect->Database, Connect->Key});
    if (auto *S = std::get_if<Statement>(&Message))
      co_return CallerMessage(*S);
    co_return CallerMessage(CallerDisconnected{});
  }
  void greet() override { this->Answers.emplace_back("ready"); }
  void reject(AnswerCode Code, std::string) override {
    this->Answers.emplace_back("rejected " + std::string(nameOf(Code)));
  }
  void send(const Answer &A) override {
    const std::string State(nameOf(A.State));
    this->Answers.emplace_back((A.Code ? std::string(nameOf(*A.Code)) : "ok") +
                               " " + State);
    this->Details.push_back(A.Detail);
  }
  QCoro::Task<bool> flushed(TimePoint) override { co_return true; }
  void interrupt() override {}
  QCoro::Task<> finish(TimePoint) override { co_return; }
  void abort() override {}
  bool isOpen() const override { return true; }

private:
  std::deque<Step> Steps;
  std::vector<std::string> &Answers;
  std::vector<std::string> &Details;
};

/// A table feed with a configuration that a test can replace, and one fixed
/// group.
class FixedTables final : public TableFeed {
public:
  explicit FixedTables(const LineGroup &Group) : Group(Group) {}

  QCoro::Task<Result<WatchedRows>> readTable(WatchedTable Table,
                                             TimePoint) override {
    WatchedRows Rows;
    Rows.Version = StoreVersion(this->Version);
    if (Table == WatchedTable::Operator)
      Rows.Rows.push_back(
          {"config", this->Plan, StoreVersion(this->Version), false});
    else
      for (const RegisteredServer &R : this->Group.registrations())
        Rows.Rows.push_back({R.Id.str(), document(R), StoreVersion(1), false});
    co_return Rows;
  }
  QCoro::Task<Result<WatchedRows>>
  awaitChanges(WatchedTable Table, StoreVersion Known, Duration) override {
    co_await sleepFor(milliseconds(20));
    WatchedRows Rows;
    Rows.Version = StoreVersion(this->Version);
    if (Table == WatchedTable::Operator && Known < StoreVersion(this->Version))
      Rows.Rows.push_back(
          {"config", this->Plan, StoreVersion(this->Version), false});
    co_return Rows;
  }

  /// Replaces the list of workspaces.
  /// \param Revision higher than the one before.
  void setWorkspaces(unsigned Revision, const std::string &List) {
    ++this->Version;
    this->Plan = std::string(Routes) + R"("tenants":)" + List +
                 R"(,"version":)" + std::to_string(Revision) + "}";
  }

private:
  static std::string document(const RegisteredServer &R) {
    return R"({"service":"ledger","address":")" + R.At.str() +
           R"(","zone":"here","version":"v1","slots":5,"state":"ready",)"
           R"("cold-ms":0,"sequence":1,"db-role":")" +
           std::string(nameOf(*R.Role)) + "\"}";
  }

  static constexpr const char *Routes =
      R"({"routes":[{"name":"r","host":"orders",)"
      R"("route-type":"read_your_writes","timeout-ms":400,)"
      R"("latency-goal-ms":400,"service":"ledger","max-staleness-ms":500},)"
      R"({"name":"p","host":"public","route-type":"primary",)"
      R"("timeout-ms":400,"latency-goal-ms":400,"service":"ledger",)"
      R"("anonymous":true}],)"
      R"("services":[{"name":"ledger","max-conns":33,"sync-replicas":1}],)"
      R"("limits":{"tx-idle-ms":100},)";
  const LineGroup &Group;
  std::string Plan = std::string(Routes) + R"("version":3})";
  std::uint64_t Version = 1;
};

class NoPromotions final : public PromotionClient {
public:
  QCoro::Task<PromotionOutcome> promote(PromotionRequest, TimePoint) override {
    co_return PromotionOutcome::Refused;
  }
};

/// Admits a fixed number of operations.
class FixedQuota final : public OperationQuota {
public:
  explicit FixedQuota(unsigned Left) : Left(Left) {}

  QCoro::Task<QuotaAnswer> admit(WorkspaceName Workspace, Duration) override {
    this->AskedFor.push_back(Workspace.str());
    if (this->Left == 0)
      co_return QuotaAnswer{false, milliseconds(730)};
    --this->Left;
    co_return QuotaAnswer{};
  }
  void addSession(const WorkspaceName &) override { ++this->Sessions; }
  void removeSession(const WorkspaceName &) override { --this->Sessions; }

  unsigned Left;
  int Sessions = 0;
  std::vector<std::string> AskedFor;
};

/// The objects that one session depends on.
struct Fixture {
  Fixture() {
    testApplication();
    this->Store.Down = true; // Prevents takeovers.
    this->Directory.Changed = [this] { this->Groups.refresh(); };
    runTask(this->Directory.start());
    runTask(this->Groups.start());
  }
  ~Fixture() {
    this->Directory.StopLimit = std::chrono::seconds(20);
    runTask(this->Directory.stop(steadyNow() + this->Directory.StopLimit));
    runTask(this->Groups.stop(steadyNow() + std::chrono::seconds(5)));
  }

  std::vector<std::string> serve(std::deque<ScriptedCaller::Step> Steps) {
    std::vector<std::string> Answers;
    Session Served(this->Dependencies,
                   std::make_unique<ScriptedCaller>(std::move(Steps), Answers,
                                                    this->Details),
                   1);
    this->Serving = &Served;
    runTask(Served.run());
    this->Serving = nullptr;
    return Answers;
  }

  /// Makes the session follow a stop whose time for transactions is over.
  void stopLate() {
    const StopLimits Limits =
        stopLimitsFor(std::chrono::seconds(6), std::chrono::seconds(2));
    this->Serving->followStop(StopSchedule(
        Limits, steadyNow() - Limits.Transactions, TimePoint::max()));
    this->Serving->finish();
  }

  Session *Serving = nullptr;       ///< Set during serve().
  std::vector<std::string> Details; ///< Of all answers.

  LineGroup Group;
  FixedTables Tables{this->Group};
  StoreHistory History;
  MemoryPlatform Store;
  NoPromotions Orders;
  GroupRegistrations Registrations{this->Group};
  Metrics Counters;
  Random Rng{1};
  Locality Where{DataCentre("here"), {{DataCentre("here"), Region("r")}}};
  PlatformDirectory Directory{this->Tables};
  GroupRegistry Groups{this->Directory,
                       this->Group,
                       this->Where,
                       {EntryVmId("vm"), this->Store, this->Registrations,
                        this->Orders, this->Counters, this->Rng,
                        this->History}};
  SessionDependencies Dependencies{this->Directory, this->Groups,
                                   this->Counters};
};

QCoro::Task<> pause(Duration Length) { co_await sleepFor(Length); }

using Steps = std::deque<ScriptedCaller::Step>;
using Texts = std::vector<std::string>;

} // namespace

// Guards against violations of the protocol: an answer with the wrong
// transaction state, the execution of an unknown prepared statement, and a
// session on a database that the configuration does not name.
TEST_CASE("a session answers each statement by its transaction state") {
  struct Row {
    const char *Name;
    std::vector<const char *> Lines;
    Texts Answers;
  };
  const Row Rows[] = {
      {"unknown database", {"CONNECT other x"}, {"rejected unknown-database"}},
      {"statement before the session request",
       {"QUERY 1 READ a"},
       {"rejected malformed"}},
      {"single statements",
       {"CONNECT orders x", "QUERY 1 WRITE a b", "QUERY 2 READ a", "BYE"},
       {"ready", "ok idle", "ok idle"}},
      {"a transaction",
       {"CONNECT orders x", "QUERY 1 BEGIN", "QUERY 2 READ a",
        "QUERY 3 WRITE a b", "QUERY 4 COMMIT", "QUERY 5 READ a"},
       {"ready", "ok in-transaction", "ok in-transaction", "ok in-transaction",
        "ok idle", "ok idle"}},
      {"a transaction without statements",
       {"CONNECT orders x", "QUERY 1 BEGIN", "QUERY 2 COMMIT"},
       {"ready", "ok in-transaction", "ok idle"}},
      {"rolled back",
       {"CONNECT orders x", "QUERY 1 BEGIN", "QUERY 2 WRITE a b",
        "QUERY 3 ROLLBACK", "QUERY 4 ROLLBACK"},
       {"ready", "ok in-transaction", "ok in-transaction", "ok idle",
        "ok idle"}},
      {"prepared names",
       {"CONNECT orders x", "QUERY 1 EXECUTE s a", "QUERY 2 PREPARE s READ q",
        "QUERY 3 EXECUTE s a", "QUERY 4 DEALLOC s", "QUERY 5 EXECUTE s a",
        "QUERY 6 DEALLOC s"},
       {"ready", "unknown-statement idle", "ok idle", "ok idle", "ok idle",
        "unknown-statement idle", "unknown-statement idle"}},
      {"commit without a transaction",
       {"CONNECT orders x", "QUERY 1 COMMIT"},
       {"ready", "malformed idle"}},
      {"begin twice",
       {"CONNECT orders x", "QUERY 1 BEGIN", "QUERY 2 BEGIN"},
       {"ready", "ok in-transaction", "malformed in-transaction"}},
      {"a malformed message ends the session",
       {"CONNECT orders x", "GET / HTTP/1.1", "QUERY 1 READ a"},
       {"ready", "malformed idle"}},
      {"write in a read-only transaction",
       {"CONNECT orders x", "QUERY 0 WRITE a b", "QUERY 1 BEGIN READ",
        "QUERY 2 READ a", "QUERY 3 WRITE a b", "QUERY 4 READ a",
        "QUERY 5 ROLLBACK"},
       {"ready", "ok idle", "ok in-transaction", "ok in-transaction",
        "read-only failed", "malformed failed", "ok idle"}},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    Fixture F;
    Steps Script;
    for (const char *Line : R.Lines)
      Script.push_back({Line});
    CHECK(F.serve(Script) == R.Answers);
  }
}

// Guards against a caller's error after which the entry VM no longer treats the
// server as the primary, which would affect every session of the group.
TEST_CASE("a write in a read-only transaction does not change the primary") {
  Fixture F;
  F.serve({{"CONNECT orders x"},
           {"QUERY 1 BEGIN READ"},
           {"QUERY 2 WRITE a b"},
           {"QUERY 3 ROLLBACK"}});
  const auto Leader = F.Groups.find(ServiceName("ledger"))->beliefs().primary();
  REQUIRE(Leader);
  CHECK(Leader->Id.str() == "a");
}

// Guards against "aborted" for a transaction that may have committed, and
// against "outcome-unknown" for one that cannot have committed a write.
TEST_CASE("a transaction that loses its server reports a correct outcome") {
  Fixture F;
  const auto Lose = [&F] { F.Group["a"].Fault = LinkFault::LoseAnswer; };
  const auto Heal = [&F] { F.Group["a"].Fault = LinkFault::None; };
  CHECK(F.serve({{"CONNECT orders x"},
                 {"QUERY 1 BEGIN"},
                 {"QUERY 2 WRITE a b"},
                 {"QUERY 3 WRITE a c", Lose},
                 {"QUERY 4 COMMIT", Heal}}) ==
        Texts{"ready", "ok in-transaction", "ok in-transaction",
              "aborted failed", "aborted idle"});
  CHECK(F.serve({{"CONNECT orders x"},
                 {"QUERY 1 BEGIN"},
                 {"QUERY 2 WRITE a b"},
                 {"QUERY 3 COMMIT", Lose}}) ==
        Texts{"ready", "ok in-transaction", "ok in-transaction",
              "outcome-unknown idle"});
  Heal();
  CHECK(
      F.serve({{"CONNECT orders x"},
               {"QUERY 1 BEGIN"},
               {"QUERY 2 READ a"},
               {"QUERY 3 COMMIT", Lose}}) ==
      Texts{"ready", "ok in-transaction", "ok in-transaction", "aborted idle"});
}

// Guards against an idle transaction that holds a connection for too long.
TEST_CASE("a transaction that is idle for too long is rolled back") {
  Fixture F;
  CHECK(F.serve({{"CONNECT orders x"},
                 {"QUERY 1 BEGIN"},
                 {"QUERY 2 WRITE a b"},
                 {""}, // The receive times out after the idle limit.
                 {"QUERY 3 WRITE a c"},
                 {"QUERY 4 COMMIT"},
                 {"QUERY 5 WRITE a d"}}) ==
        Texts{"ready", "ok in-transaction", "ok in-transaction",
              "malformed failed", "aborted idle", "ok idle"});
}

// Guards against a stop after which a transaction whose caller was told that
// nothing is kept goes on or commits, and against a caller without an answer.
TEST_CASE("a stop refuses statements without running them") {
  struct Row {
    const char *Name;
    std::vector<const char *> Before;
    std::vector<const char *> Late; ///< After the transactions' time.
    Texts Answers;                  ///< To the late statements.
  };
  const std::vector<const char *> Open = {"QUERY 1 BEGIN", "QUERY 2 WRITE a b"};
  const std::vector<const char *> NotBegun = {"QUERY 1 BEGIN"};
  const Row Rows[] = {
      {"a statement",
       Open,
       {"QUERY 3 WRITE a late", "QUERY 4 WRITE a late", "QUERY 5 COMMIT"},
       {"aborted failed", "malformed failed", "aborted idle"}},
      {"a statement, then ROLLBACK",
       Open,
       {"QUERY 3 WRITE a late", "QUERY 4 ROLLBACK"},
       {"aborted failed", "ok idle"}},
      {"COMMIT", Open, {"QUERY 3 COMMIT"}, {"aborted idle"}},
      {"ROLLBACK", Open, {"QUERY 3 ROLLBACK"}, {"ok idle"}},
      {"SET", Open, {"QUERY 3 SET zone b"}, {"aborted failed"}},
      {"PREPARE", Open, {"QUERY 3 PREPARE s READ q"}, {"aborted failed"}},
      {"BEGIN in a transaction", Open, {"QUERY 3 BEGIN"}, {"aborted failed"}},
      {"a wait for a statement ends, then COMMIT",
       Open,
       {"", "QUERY 3 COMMIT"},
       {"aborted idle"}},
      {"a wait for a statement ends, then a statement",
       Open,
       {"", "QUERY 3 WRITE a late", "QUERY 4 COMMIT"},
       {"aborted failed", "aborted idle"}},
      {"a statement before the transaction has begun at a server",
       NotBegun,
       {"QUERY 3 WRITE a late", "QUERY 4 COMMIT"},
       {"aborted failed", "aborted idle"}},
      {"COMMIT before the transaction has begun at a server",
       NotBegun,
       {"QUERY 3 COMMIT"},
       {"aborted idle"}},
      {"a failed transaction",
       {"QUERY 1 BEGIN READ", "QUERY 2 WRITE a b"},
       {"QUERY 3 READ a", "QUERY 4 ROLLBACK"},
       {"malformed failed", "ok idle"}},
      {"single statements that had arrived",
       {},
       {"QUERY 3 WRITE a late", "QUERY 4 READ a", "QUERY 5 SET zone b",
        "QUERY 6 BEGIN"},
       {"busy idle", "busy idle", "ok idle", "busy idle"}},
      {"no statement has arrived", {}, {"", "", "QUERY 3 SET zone b"}, {}},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    Fixture F;
    FakeServer &Primary = F.Group["a"];
    const LogPosition Log = Primary.Log;
    Steps Script = {{"CONNECT orders x"}};
    for (const char *Line : R.Before)
      Script.push_back({Line});
    for (const char *Line : R.Late)
      Script.push_back({Line});
    Script[1 + R.Before.size()].Before = [&F] { F.stopLate(); };
    Texts Answers = F.serve(Script);
    Answers.erase(Answers.begin(),
                  Answers.begin() + 1 +
                      static_cast<std::ptrdiff_t>(R.Before.size()));
    CHECK(Answers == R.Answers);
    CHECK(Primary.Log == Log);
    for (const std::string &Executed : Primary.ExecutedStatements)
      CHECK(Executed.find("late") == std::string::npos);
  }
}

// Guards against a new caller that a stopping entry VM leaves without an
// answer, or accepts and disconnects.
TEST_CASE("a stop refuses a session request that has arrived") {
  Fixture F;
  CHECK(F.serve({{"CONNECT orders x", [&F] { F.stopLate(); }}}) ==
        Texts{"rejected busy"});
  CHECK(F.serve({{"", [&F] { F.stopLate(); }}, {"CONNECT orders x"}}) ==
        Texts{"rejected busy"});
}

// Guards against settings that reach the server late or not at all.
TEST_CASE("a setting applies to the statements that follow it") {
  Fixture F;
  CHECK(F.serve({{"CONNECT orders x"},
                 {"QUERY 1 SET zone a"},
                 {"QUERY 2 BEGIN"},
                 {"QUERY 3 WRITE a b"},
                 {"QUERY 4 SET zone b"},
                 {"QUERY 5 WRITE a c"},
                 {"QUERY 6 COMMIT"}})
            .size() == 7);
  CHECK(F.Group["a"].ExecutedStatements ==
        Texts{"zone=a BEGIN", "zone=a WRITE a b", "zone=b WRITE a c",
              "zone=b COMMIT"});
}

// Guards against a statement that runs for a caller without a valid key or for
// another workspace, and against a withdrawn key that stays in use in a session
// or a transaction that was open before.
TEST_CASE("the key of a session decides for which workspace it runs") {
  const std::string Both = R"([{"name":"x","api-keys":["kx"]},)"
                           R"({"name":"y","api-keys":["ky"]}])";
  const std::string OnlyY = R"([{"name":"x","api-keys":[]},)"
                            R"({"name":"y","api-keys":["ky"]}])";
  const std::string Moved = R"([{"name":"y","api-keys":["kx","ky"]}])";
  struct Row {
    const char *Name;
    std::vector<const char *> Lines;
    std::size_t ChangeBefore; ///< Index of the line before which Next applies.
    std::string Next;
    Texts Answers;
    Texts RunFor; ///< Workspaces of the statements that ran.
  };
  const Row Rows[] = {
      {"unknown key",
       {"CONNECT orders k"},
       9,
       "",
       {"rejected not-authorised"},
       {}},
      {"no key", {"CONNECT orders"}, 9, "", {"rejected not-authorised"}, {}},
      {"the name of a workspace is not a key",
       {"CONNECT orders x"},
       9,
       "",
       {"rejected not-authorised"},
       {}},
      {"anonymous route",
       {"CONNECT public", "QUERY 1 READ a"},
       9,
       "",
       {"ready", "ok idle"},
       {""}},
      {"valid key",
       {"CONNECT orders ky", "QUERY 1 WRITE a b", "QUERY 2 READ a"},
       9,
       "",
       {"ready", "ok idle", "ok idle"},
       {"y"}},
      {"withdrawn between statements",
       {"CONNECT orders kx", "QUERY 1 WRITE a b", "QUERY 2 WRITE a b",
        "QUERY 3 READ a"},
       2,
       OnlyY,
       {"ready", "ok idle", "not-authorised idle"},
       {"x"}},
      {"withdrawn before a transaction",
       {"CONNECT orders kx", "QUERY 1 BEGIN"},
       1,
       OnlyY,
       {"ready", "not-authorised idle"},
       {}},
      {"withdrawn in a transaction",
       {"CONNECT orders kx", "QUERY 1 BEGIN", "QUERY 2 WRITE a b",
        "QUERY 3 WRITE a b", "QUERY 4 ROLLBACK", "QUERY 5 BEGIN"},
       3,
       OnlyY,
       {"ready", "ok in-transaction", "ok in-transaction", "aborted failed",
        "ok idle", "not-authorised idle"},
       {"x", "x"}},
      {"withdrawn before COMMIT",
       {"CONNECT orders kx", "QUERY 1 BEGIN", "QUERY 2 WRITE a b",
        "QUERY 3 COMMIT"},
       3,
       OnlyY,
       {"ready", "ok in-transaction", "ok in-transaction", "aborted idle"},
       {"x", "x"}},
      {"moved to another workspace",
       {"CONNECT orders kx", "QUERY 1 WRITE a b", "QUERY 2 WRITE a b"},
       2,
       Moved,
       {"ready", "ok idle", "ok idle"},
       {"x", "y"}},
      {"moved in a transaction",
       {"CONNECT orders kx", "QUERY 1 BEGIN", "QUERY 2 WRITE a b",
        "QUERY 3 COMMIT"},
       3,
       Moved,
       {"ready", "ok in-transaction", "ok in-transaction", "aborted idle"},
       {"x", "x"}},
      {"an older version does not return",
       {"CONNECT orders kx", "QUERY 1 WRITE a b"},
       1,
       "older",
       {"ready", "ok idle"},
       {"x"}},
      {"a malformed version changes nothing",
       {"CONNECT orders kx", "QUERY 1 WRITE a b"},
       1,
       R"([{"name":"x","api-keys":"ky"}])",
       {"ready", "ok idle"},
       {"x"}},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    Fixture F;
    F.Tables.setWorkspaces(7, Both);
    runTask(pause(milliseconds(250)));
    Steps Script;
    for (const char *Line : R.Lines)
      Script.push_back({Line});
    if (R.ChangeBefore < Script.size()) {
      Script[R.ChangeBefore].Before = [&F, &R, &OnlyY] {
        const bool IsOlder = R.Next == "older";
        F.Tables.setWorkspaces(IsOlder ? 6 : 8, IsOlder ? OnlyY : R.Next);
      };
      Script[R.ChangeBefore].Pause = milliseconds(250);
    }
    CHECK(F.serve(Script) == R.Answers);
    Texts RunFor = F.Group["a"].ExecutedFor;
    CHECK(RunFor == R.RunFor);
  }
}

// Guards against a refused operation that runs or uses a connection, against a
// transaction that counts more than once, and against a limit on callers that
// have no workspace.
TEST_CASE("an operation above the quota of its workspace is not run") {
  struct Row {
    const char *Name;
    unsigned Admitted;
    std::vector<const char *> Lines;
    Texts Answers;
    std::size_t Operations; ///< Counted.
    bool UsesServer;
  };
  const Row Rows[] = {
      {"a read",
       0,
       {"CONNECT orders kx", "QUERY 1 READ a"},
       {"ready", "busy idle"},
       1,
       false},
      {"a write",
       0,
       {"CONNECT orders kx", "QUERY 1 WRITE a b"},
       {"ready", "busy idle"},
       1,
       false},
      {"a transaction",
       0,
       {"CONNECT orders kx", "QUERY 1 BEGIN"},
       {"ready", "busy idle"},
       1,
       false},
      {"a transaction counts once",
       1,
       {"CONNECT orders kx", "QUERY 1 BEGIN", "QUERY 2 WRITE a b",
        "QUERY 3 READ a", "QUERY 4 COMMIT", "QUERY 5 READ a"},
       {"ready", "ok in-transaction", "ok in-transaction", "ok in-transaction",
        "ok idle", "busy idle"},
       2,
       true},
      {"preparing is no operation",
       0,
       {"CONNECT orders kx", "QUERY 1 PREPARE s READ q", "QUERY 2 EXECUTE s a",
        "QUERY 3 DEALLOC s"},
       {"ready", "ok idle", "busy idle", "ok idle"},
       1,
       false},
      {"a route without workspaces",
       0,
       {"CONNECT public none", "QUERY 1 READ a"},
       {"ready", "ok idle"},
       0,
       true},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    Fixture F;
    F.Tables.setWorkspaces(7, R"([{"name":"x","api-keys":["kx"]}])");
    runTask(pause(milliseconds(250)));
    FixedQuota Quota(R.Admitted);
    F.Dependencies.Quota = &Quota;
    Steps Script;
    for (const char *Line : R.Lines)
      Script.push_back({Line});
    CHECK(F.serve(Script) == R.Answers);
    CHECK(Quota.AskedFor == Texts(R.Operations, "x"));
    CHECK(Quota.Sessions == 0);
    CHECK(F.Group["a"].ExecutedFor.empty() == !R.UsesServer);
    if (R.Answers.back() == "busy idle")
      CHECK(F.Details.back() == "not run; the workspace has reached its limit; "
                                "retry-after-ms=730");
  }
}
