// Tests of replication, terms and promotion with groups of fake-backend
// processes.
#include "testing/testing/TestProxy.h"

using namespace amaranthspur;

namespace {

constexpr std::size_t A = 0;
constexpr std::size_t B = 1;
constexpr std::size_t C = 2;

std::string follow(int Term, const TestBackend &Primary) {
  return "SELECT group_follow(" + std::to_string(Term) + ", '" + Primary.Id +
         "', '" + Primary.address() + "')";
}

std::string adopt(int Term) {
  return "SELECT group_adopt_term(" + std::to_string(Term) + ")";
}

std::string promote(int Term) {
  return "SELECT group_promote(" + std::to_string(Term) + ")";
}

std::string countOf(const TestBackend &Server, const std::string &Table) {
  return Server.connect().query("SELECT count(*) FROM " + Table).value();
}

/// Promotes \p Next to primary of \p Term and makes \p Others follow it.
void changePrimary(TestGroup &Group, int Term, std::size_t Next,
                   const std::vector<std::size_t> &Others) {
  REQUIRE(Group[Next].control(adopt(Term)).good());
  for (const std::size_t Other : Others)
    REQUIRE(Group[Other].control(adopt(Term)).good());
  REQUIRE(Group[Next].control(promote(Term)).good());
  for (const std::size_t Other : Others)
    REQUIRE(Group[Other].control(follow(Term, Group[Next])).good());
}

} // namespace

// Guards against replicas that miss, repeat or reorder committed transactions,
// or apply one that was rolled back.
TEST_CASE("replicas reach the primary's state") {
  struct Row {
    const char *Name;
    std::vector<std::string> Statements;
    std::string Check;
    std::string Value;
  };
  const Row Rows[] = {
      {"single statements",
       {"CREATE TABLE t (k INTEGER PRIMARY KEY, v)",
        "INSERT INTO t VALUES (1, 'a'), (2, 'b')", "DELETE FROM t WHERE k = 1"},
       "SELECT group_concat(k || v) FROM t",
       "2b"},
      {"a transaction",
       {"CREATE TABLE t (v)", "BEGIN", "INSERT INTO t VALUES (1)",
        "INSERT INTO t VALUES (2)", "COMMIT"},
       "SELECT sum(v) FROM t",
       "3"},
      {"a rollback",
       {"CREATE TABLE t (v)", "BEGIN", "INSERT INTO t VALUES (1)", "ROLLBACK",
        "INSERT INTO t VALUES (2)"},
       "SELECT sum(v) FROM t",
       "2"},
      {"text with quotes and semicolons",
       {"CREATE TABLE t (v)", "INSERT INTO t VALUES ('it''s; -- \"x\"')"},
       "SELECT v FROM t",
       "it's; -- \"x\""},
      {"a trigger",
       {"CREATE TABLE t (v)", "CREATE TABLE u (v)",
        "CREATE TRIGGER r AFTER INSERT ON t BEGIN INSERT INTO u VALUES "
        "(new.v); DELETE FROM u WHERE v = 1; END",
        "INSERT INTO t VALUES (1), (2)"},
       "SELECT group_concat(v) FROM u",
       "2"},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    TestGroup Group(3);
    PgClient Client = Group[A].connect();
    for (const std::string &Sql : R.Statements) {
      CAPTURE(Sql);
      REQUIRE(Client.query(Sql).good());
    }
    REQUIRE(Group.converged({A, B, C}));
    for (const std::size_t I : {A, B, C}) {
      CAPTURE(I);
      CHECK(Group[I].connect().query(R.Check).value() == R.Value);
    }
  }
}

// Guards against a replica that executes a write, or that rejects it with an
// SQLSTATE that does not tell a proxy that the statement was not executed.
TEST_CASE("a replica refuses writes and serves reads") {
  TestGroup Group(2);
  REQUIRE(Group[A].connect().query("CREATE TABLE t (v)").good());
  REQUIRE(Group.converged({A, B}));
  PgClient Client = Group[B].connect();
  struct Row {
    std::string Sql;
    std::string SqlState;
    char State;
  };
  const Row Rows[] = {
      {"INSERT INTO t VALUES (1)", "25006", 'I'},
      {"CREATE TABLE u (v)", "25006", 'I'},
      {"WITH x(v) AS (VALUES (1)) INSERT INTO t SELECT v FROM x", "25006", 'I'},
      {"SELECT count(*) FROM t", "", 'I'},
      {"BEGIN", "", 'T'},
      {"SELECT count(*) FROM t", "", 'T'},
      {"DELETE FROM t", "25006", 'E'},
      {"ROLLBACK", "", 'I'},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Sql);
    CHECK(Client.query(R.Sql).SqlState == R.SqlState);
    CHECK(Client.transaction() == R.State);
  }
}

// Guards against decreasing terms, two primaries in one term, and the promotion
// of a server that has not adopted the term.
TEST_CASE("terms never decrease") {
  TestGroup Group(2);
  struct Row {
    std::size_t Server;
    std::string Sql;
    std::string SqlState;
  };
  const Row Rows[] = {
      {B, promote(1), "55000"},          // follows the primary of term 1
      {B, adopt(1), "55000"},            // already adopted
      {B, adopt(3), ""},                 //
      {B, adopt(3), "55000"},            //
      {B, adopt(2), "55000"},            // lower
      {B, promote(2), "55000"},          //
      {B, follow(2, Group[A]), "55000"}, // lower
      {B, promote(3), ""},               //
      {B, promote(3), "55000"},          // already the primary
      {B, follow(3, Group[A]), "55000"}, // leads in this term
      {A, follow(1, Group[B]), "55000"}, // leads in this term
      {A, follow(3, Group[A]), "55000"}, // cannot follow itself
      {A, follow(3, Group[B]), ""},      // adopts by following
      {A, follow(3, Group[B]), ""},      // already follows it
      {A, promote(3), "55000"},          // follows the primary of this term
      {A, adopt(3), "55000"},            //
      {A, adopt(4), ""},                 //
      {A, promote(4), ""},               //
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Server, R.Sql);
    CHECK(Group[R.Server].control(R.Sql).SqlState == R.SqlState);
  }
  CHECK(Group[A].control("SELECT * FROM group_status()").value("role") ==
        "primary");
}

// Guards against a superseded primary that still commits, and against a
// transaction that commits in a later term than the one it began in.
TEST_CASE("a fenced primary commits nothing") {
  struct Row {
    const char *Name;
    bool Promote; ///< The server becomes primary again, in a later term.
    std::string Sql;
    std::string SqlState;
    char State;
  };
  const Row Rows[] = {
      {"commit", false, "COMMIT", "57P04", 'I'},
      {"write", false, "INSERT INTO t VALUES (2)", "57P04", 'E'},
      {"read in the transaction", false, "SELECT * FROM t", "57P04", 'E'},
      {"rollback", false, "ROLLBACK", "", 'I'},
      {"commit after a new promotion", true, "COMMIT", "57P04", 'I'},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    TestGroup Group(1);
    PgClient Client = Group[A].connect();
    PgClient Other = Group[A].connect();
    REQUIRE(Client.query("CREATE TABLE t (v)").good());
    REQUIRE(Client.query("BEGIN").good());
    REQUIRE(Client.query("INSERT INTO t VALUES (1)").good());
    REQUIRE(Group[A].control(adopt(2)).good());
    if (R.Promote) {
      REQUIRE(Group[A].control(promote(2)).good());
      // The transaction whose lock was revoked must not block the next writer.
      REQUIRE(Other.query("INSERT INTO t VALUES (7)").good());
    } else {
      CHECK(Other.query("INSERT INTO t VALUES (7)").SqlState == "25006");
    }
    CHECK(Client.query(R.Sql).SqlState == R.SqlState);
    CHECK(Client.transaction() == R.State);
    CHECK(Other.query("SELECT count(*) FROM t").value() ==
          (R.Promote ? "1" : "0"));
  }
}

// Guards against committing and acknowledging a write that was still running
// when the primary was fenced.
TEST_CASE("a write that runs while the primary is fenced is not committed") {
  TestGroup Group(1);
  PgClient Client = Group[A].connect();
  REQUIRE(Client.query("CREATE TABLE t (v)").good());
  REQUIRE(Client.send("INSERT INTO t VALUES (sim_work(300))"));
  REQUIRE(eventually([&Group] {
    return Group[A].control("SELECT * FROM group_status()").value("running") ==
           "1";
  }));
  REQUIRE(Group[A].control(adopt(2)).good());
  const PgAnswer Answer = Client.receive();
  CHECK(Answer.SqlState == "57P04");
  CHECK(Client.query("SELECT count(*) FROM t").value() == "0");
}

// Guards against losing replicated transactions, and against an old primary
// that keeps transactions that were never replicated.
TEST_CASE("a diverged log is truncated and replayed") {
  TestGroup Group(3);
  PgClient Old = Group[A].connect();
  REQUIRE(Old.query("CREATE TABLE t (v)").good());
  REQUIRE(Old.query("INSERT INTO t VALUES (1)").good());
  REQUIRE(Group.converged({A, B, C}));
  // Server B is promoted without notice to A, which continues to commit writes.
  changePrimary(Group, 2, B, {C});
  REQUIRE(Old.query("INSERT INTO t VALUES (100)").good());
  REQUIRE(Old.query("CREATE TABLE lost (v)").good());
  REQUIRE(Group[B].connect().query("INSERT INTO t VALUES (2)").good());
  REQUIRE(Group.converged({B, C}));
  CHECK(Old.query("SELECT sum(v) FROM t").value() == "101");

  REQUIRE(Group[A].control(follow(2, Group[B])).good());
  REQUIRE(Group.converged({A, B, C}));
  for (const std::size_t I : {A, B, C}) {
    CAPTURE(I);
    PgClient Client = Group[I].connect();
    CHECK(Client.query("SELECT sum(v) FROM t").value() == "3");
    CHECK(Client.query("SELECT * FROM lost").SqlState == "42P01");
  }

  // Server A can become the primary again.
  changePrimary(Group, 3, A, {B, C});
  REQUIRE(Group[A].connect().query("INSERT INTO t VALUES (4)").good());
  REQUIRE(Group.converged({A, B, C}));
  CHECK(Group[C].connect().query("SELECT sum(v) FROM t").value() == "7");
}

// Guards against a replica that accepts entries from a primary that it no
// longer follows.
TEST_CASE("a replica accepts no entries of a term below its adopted term") {
  TestGroup Group(2);
  PgClient Client = Group[A].connect();
  REQUIRE(Client.query("CREATE TABLE t (v)").good());
  REQUIRE(Group.converged({A, B}));
  REQUIRE(Group[B].control(adopt(2)).good());
  const std::string Before = Group[B].position();
  REQUIRE(Client.query("INSERT INTO t VALUES (1)").good());
  std::this_thread::sleep_for(milliseconds(100));
  CHECK(Group[B].position() == Before);
  CHECK(Group[A].position() != Before);
  CHECK(countOf(Group[B], "t") == "0");
}

// Guards against ignoring the configured lag, and against entries that are
// visible or included in the log position before their delay has passed.
TEST_CASE("the replication lag delays both visibility and log position") {
  TestGroup Group(2);
  PgClient Client = Group[A].connect();
  REQUIRE(Client.query("CREATE TABLE t (v)").good());
  REQUIRE(Group.converged({A, B}));
  REQUIRE(Group[B].control("SELECT group_set_lag(3600000)").good());
  const std::string Before = Group[B].position();
  REQUIRE(Client.query("INSERT INTO t VALUES (1)").good());
  std::this_thread::sleep_for(milliseconds(100));
  CHECK(Group[B].position() == Before);
  CHECK(countOf(Group[B], "t") == "0");
  // A new replication stream requests the delayed entries again.
  REQUIRE(Group[B].control("SELECT group_set_lag(0)").good());
  REQUIRE(Group[A].control(adopt(2)).good());
  REQUIRE(Group[A].control(promote(2)).good());
  REQUIRE(Group[B].control(follow(2, Group[A])).good());
  REQUIRE(Group.converged({A, B}));
  CHECK(countOf(Group[B], "t") == "1");
}

// Guards against reporting a log position that the last statement did not
// observe, and against not reporting the commit of the session itself.
TEST_CASE("each change of the log position is reported") {
  TestGroup Group(2);
  PgClient Client = Group[A].connect();
  struct Row {
    std::string Sql;
    std::string Position;
  };
  const Row Rows[] = {
      {"SELECT 1", "1/1"},
      {"CREATE TABLE t (v)", "1/2"},
      {"INSERT INTO t VALUES (1)", "1/3"},
      {"BEGIN", "1/3"},
      {"INSERT INTO t VALUES (2)", "1/3"},
      {"COMMIT", "1/4"},
      {"INSERT INTO nowhere VALUES (1)", "1/4"},
      {"BEGIN; INSERT INTO t VALUES (3); ROLLBACK", "1/4"},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Sql);
    Client.query(R.Sql);
    CHECK(Client.parameter("group.position") == R.Position);
  }
  REQUIRE(Group.converged({A, B}));
  CHECK(Group[B].connect().parameter("group.position") == "1/4");
}

// Guards against replication that does not recover after the primary or the
// replica was paused and their connection was possibly lost.
TEST_CASE("replication resumes after a pause") {
  for (const std::size_t Paused : {A, B}) {
    CAPTURE(Paused);
    TestGroup Group(2);
    REQUIRE(Group[A].connect().query("CREATE TABLE t (v)").good());
    REQUIRE(Group.converged({A, B}));
    Group[Paused].Process->pause();
    std::this_thread::sleep_for(milliseconds(1500));
    Group[Paused].Process->resume();
    REQUIRE(Group[A].connect().query("INSERT INTO t VALUES (1)").good());
    REQUIRE(Group.converged({A, B}));
    CHECK(countOf(Group[B], "t") == "1");
  }
}

// Guards against replication that waits forever on a stalled connection, and
// against entries lost or repeated because of a link fault.
TEST_CASE("replication recovers from link faults") {
  struct Row {
    const char *Name;
    std::string Fields;
    bool DuringFault; ///< Whether entries arrive during the fault.
  };
  const Row Rows[] = {
      {"delay", "\"delay_us\":5000,\"jitter_us\":5000", true},
      {"silent", "\"silent\":true", true},
      {"cut", "\"cut\":true", false},
      // A replica sends nothing after the start-up message.
      {"drop forward", "\"drop_forward\":true", true},
      {"drop backward", "\"drop_backward\":true", false},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    TestGroup Group(1);
    const TestProxy Proxy(Group[A].address());
    Group.Servers.push_back(startBackend(
        "b", {"--primary", "a=127.0.0.1:" + std::to_string(Proxy.LinkPort)}));
    PgClient Client = Group[A].connect();
    REQUIRE(Client.query("CREATE TABLE t (v INTEGER PRIMARY KEY)").good());
    REQUIRE(Group.converged({A, B}));
    Proxy.set(R.Fields);
    for (int I = 1; I <= 20; ++I)
      REQUIRE(Client.query("INSERT INTO t VALUES (" + std::to_string(I) + ")")
                  .good());
    if (R.DuringFault) {
      REQUIRE(Group.converged({A, B}));
    } else {
      std::this_thread::sleep_for(milliseconds(100));
      CHECK(countOf(Group[B], "t") == "0");
    }
    Proxy.set("");
    REQUIRE(Group.converged({A, B}));
    CHECK(countOf(Group[B], "t") == "20");
  }
}

// Guards against a replica that never catches up because it was started before
// its primary or without one.
TEST_CASE("replicas start in any order") {
  const std::uint16_t Port = freePort();
  const std::string Address = "127.0.0.1:" + std::to_string(Port);
  const TestBackend Early = startBackend("b", {"--primary", "a=" + Address});
  const TestBackend Alone = startBackend("c", {});
  const CheckedProcess Primary = startProgram(
      "fake-backend", {"--id", "a", "--listen", Address, "--role", "primary"});
  REQUIRE(
      Alone.control("SELECT group_follow(1, 'a', '" + Address + "')").good());
  for (const TestBackend *Replica : {&Early, &Alone}) {
    CAPTURE(Replica->Id);
    CHECK(eventually([Replica] { return Replica->position() == "1/1"; }));
  }
}
