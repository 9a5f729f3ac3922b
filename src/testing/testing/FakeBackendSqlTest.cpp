// Tests of SQL execution in the fake-backend. They connect to a fake-backend
// process with libpq.
#include "testing/testing/TestGroup.h"

#include <future>

using namespace amaranthspur;

namespace {

/// One statement of a script.
struct Step {
  std::size_t Client;
  std::string Sql;
  std::string SqlState; ///< Expected SQLSTATE; empty on success.
  std::string Value;    ///< Expected first value; empty to skip the check.
  char State = 'I';     ///< Expected transaction state after the step.
};

struct Script {
  const char *Name;
  const char *GuardsAgainst; ///< The failure that the script detects.
  std::vector<Step> Steps;
};

const Script Scripts[] = {
    {"insert and read back",
     "a write that is acknowledged before it is visible",
     {{0, "CREATE TABLE t (k INTEGER PRIMARY KEY, v TEXT NOT NULL)", "", ""},
      {0, "INSERT INTO t VALUES (1, 'one'), (2, 'two')", "", ""},
      {1, "SELECT count(*) FROM t", "", "2"},
      {1, "SELECT v FROM t WHERE k = 2", "", "two"}}},
    {"errors have the correct SQLSTATE",
     "an error that a proxy or a caller classifies incorrectly",
     {{0, "CREATE TABLE t (k INTEGER PRIMARY KEY, v TEXT NOT NULL)", "", ""},
      {0, "CREATE TABLE u (k INTEGER CHECK (k > 0), t REFERENCES t (k))", "",
       ""},
      {0, "INSERT INTO t VALUES (1, 'one')", "", ""},
      {0, "INSERT INTO t VALUES (1, 'again')", "23505", ""},
      {0, "INSERT INTO t VALUES (2, NULL)", "23502", ""},
      {0, "INSERT INTO u VALUES (0, NULL)", "23514", ""},
      {0, "INSERT INTO u VALUES (1, 7)", "23503", ""},
      {0, "SELEC 1", "42601", ""},
      {0, "SELECT * FROM nowhere", "42P01", ""},
      {0, "SELECT missing FROM t", "42703", ""},
      {0, "SELECT no_function(1)", "42883", ""},
      {0, "CREATE TABLE t (k)", "42P07", ""},
      {0, "PRAGMA journal_mode", "0A000", ""},
      {0, "ATTACH ':memory:' AS x", "0A000", ""},
      {0, "SAVEPOINT s", "0A000", ""},
      {0, "SELECT count(*) FROM t", "", "1"}}},
    {"writes must be deterministic",
     "replicas that diverge when they apply the log",
     {{0, "CREATE TABLE t (v)", "", ""},
      {0, "INSERT INTO t VALUES (random())", "0A000", ""},
      {0, "INSERT INTO t VALUES (CURRENT_TIMESTAMP)", "0A000", ""},
      {0, "INSERT INTO t SELECT datetime('now')", "0A000", ""},
      {0, "SELECT count(random()) FROM t", "", "0"}}},
    {"an open write transaction is invisible to others",
     "dirty reads between sessions",
     {{0, "CREATE TABLE t (v)", "", ""},
      {0, "BEGIN", "", "", 'T'},
      {0, "INSERT INTO t VALUES (1)", "", "", 'T'},
      {0, "SELECT count(*) FROM t", "", "1", 'T'},
      {1, "SELECT count(*) FROM t", "", "0"},
      {0, "COMMIT", "", ""},
      {1, "SELECT count(*) FROM t", "", "1"}}},
    {"a rollback discards all changes",
     "statements of a rolled back transaction that take effect",
     {{0, "CREATE TABLE t (v)", "", ""},
      {0, "BEGIN", "", "", 'T'},
      {0, "CREATE TABLE u (v)", "", "", 'T'},
      {0, "INSERT INTO t VALUES (1)", "", "", 'T'},
      {0, "ROLLBACK", "", ""},
      {0, "SELECT count(*) FROM t", "", "0"},
      {0, "SELECT count(*) FROM u", "42P01", ""},
      {1, "INSERT INTO t VALUES (2)", "", ""},
      {1, "SELECT sum(v) FROM t", "", "2"}}},
    {"a second writer waits and times out",
     "two interleaved write transactions",
     {{0, "CREATE TABLE t (v)", "", ""},
      {0, "BEGIN", "", "", 'T'},
      {0, "INSERT INTO t VALUES (1)", "", "", 'T'},
      {1, "INSERT INTO t VALUES (2)", "55P03", ""},
      {1, "SELECT count(*) FROM t", "", "0"},
      {0, "COMMIT", "", ""},
      {1, "INSERT INTO t VALUES (2)", "", ""},
      {1, "SELECT sum(v) FROM t", "", "3"}}},
    {"an error fails the transaction",
     "a partly committed transaction",
     {{0, "CREATE TABLE t (k PRIMARY KEY)", "", ""},
      {0, "BEGIN", "", "", 'T'},
      {0, "INSERT INTO t VALUES (1)", "", "", 'T'},
      {0, "INSERT INTO t VALUES (1)", "23505", "", 'E'},
      {0, "SELECT 1", "25P02", "", 'E'},
      {1, "INSERT INTO t VALUES (1)", "", ""},
      {0, "COMMIT", "", ""},
      {0, "SELECT count(*) FROM t", "", "1"}}},
    {"statements of one message are one transaction",
     "half of a multi-statement message taking effect",
     {{0, "CREATE TABLE t (k PRIMARY KEY)", "", ""},
      {0, "INSERT INTO t VALUES (1); INSERT INTO t VALUES (1)", "23505", ""},
      {0, "SELECT count(*) FROM t", "", "0"},
      {0, "INSERT INTO t VALUES (';'); SELECT count(*) FROM t;", "", "1"},
      {0, "BEGIN; INSERT INTO t VALUES (2)", "", "", 'T'},
      {1, "SELECT count(*) FROM t", "", "1"},
      {0, "COMMIT; -- done", "", ""},
      {1, "SELECT count(*) FROM t", "", "2"}}},
    {"a deferred constraint fails at the commit",
     "a commit that is acknowledged but did not happen",
     {{0, "CREATE TABLE t (k INTEGER PRIMARY KEY)", "", ""},
      {0, "CREATE TABLE u (t REFERENCES t (k) DEFERRABLE INITIALLY DEFERRED)",
       "", ""},
      {0, "BEGIN", "", "", 'T'},
      {0, "INSERT INTO u VALUES (1)", "", "", 'T'},
      {0, "COMMIT", "23503", ""},
      {0, "INSERT INTO u VALUES (1)", "23503", ""},
      {0, "SELECT count(*) FROM u", "", "0"}}},
    {"a common table expression can write",
     "a write that is classified as a read by its first keyword",
     {{0, "CREATE TABLE t (v)", "", ""},
      {0, "WITH x(v) AS (VALUES (1), (2)) INSERT INTO t SELECT v FROM x", "",
       ""},
      {1, "WITH x AS (SELECT * FROM t) SELECT count(*) FROM x", "", "2"}}},
    {"session settings and comments",
     "statements of a connection pool that fail on the fake-backend",
     {{0, "SET amaranthspur.class = 'check'", "", ""},
      {0, "DISCARD ALL", "", ""},
      {0, "/* amaranthspur.class=check */ SELECT 1", "", "1"},
      {0, "-- nothing", "", ""},
      {0, "SELECT sim_work(1)", "", "1"}}},
    {"writes with RETURNING",
     "lost result rows of a write",
     {{0, "CREATE TABLE t (k INTEGER PRIMARY KEY, v)", "", ""},
      {0, "INSERT INTO t (v) VALUES (5) RETURNING k", "", "1"},
      {0, "UPDATE t SET v = v + 1 RETURNING v", "", "6"}}},
};

} // namespace

TEST_CASE("scripts of statements") {
  for (const Script &S : Scripts) {
    CAPTURE(S.Name, S.GuardsAgainst);
    const TestBackend Backend =
        startBackend("a", {"--role", "primary", "--lock-timeout-ms", "100"});
    PgClient Clients[] = {Backend.connect(), Backend.connect()};
    for (const Step &Next : S.Steps) {
      CAPTURE(Next.Client, Next.Sql);
      const PgAnswer Answer = Clients[Next.Client].query(Next.Sql);
      CAPTURE(Answer.Message);
      CHECK(Answer.SqlState == Next.SqlState);
      if (!Next.Value.empty())
        CHECK(Answer.value() == Next.Value);
      CHECK(Clients[Next.Client].transaction() == Next.State);
    }
  }
}

// Guards against parameters that are lost or bound to the wrong placeholder,
// and against an extended-protocol error that discards the next statement.
TEST_CASE("the extended protocol") {
  const TestBackend Backend = startBackend("a", {"--role", "primary"});
  PgClient Client = Backend.connect();
  REQUIRE(Client.query("CREATE TABLE t (k INTEGER PRIMARY KEY, v)").good());
  struct Row {
    std::string Sql;
    std::vector<std::optional<std::string>> Values;
    std::string SqlState;
    std::string Value;
  };
  const Row Rows[] = {
      {"INSERT INTO t VALUES ($1, $2)", {"7", "it's; -- text"}, "", ""},
      {"INSERT INTO t VALUES ($2, $1)", {"swapped", "8"}, "", ""},
      {"INSERT INTO t VALUES ($1, $2)", {"9", std::nullopt}, "", ""},
      {"INSERT INTO t VALUES ($1, $2)", {"7", "again"}, "23505", ""},
      {"SELECT v FROM t WHERE k = $1", {"7"}, "", "it's; -- text"},
      {"SELECT v FROM t WHERE k = $1", {"8"}, "", "swapped"},
      {"SELECT count(*) FROM t WHERE v IS NULL", {}, "", "1"},
      {"SELECT v FROM t WHERE k = $1", {"1", "2"}, "08P01", ""},
      {"SELEC $1", {"1"}, "42601", ""},
      {"SELECT 1; SELECT 2", {}, "42601", ""},
      {"SELECT role FROM nowhere", {}, "42P01", ""},
      {"SELECT * FROM group_status()", {}, "", "primary"},
      {"BEGIN", {}, "", ""},
      {"INSERT INTO t VALUES (10, 'x')", {}, "", ""},
      {"COMMIT", {}, "", ""},
      {"SELECT count(*) FROM t", {}, "", "4"},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Sql);
    const PgAnswer Answer = Client.query(R.Sql, R.Values, TestTimeout);
    CAPTURE(Answer.Message);
    CHECK(Answer.SqlState == R.SqlState);
    CHECK(Answer.value() == R.Value);
  }
  REQUIRE(Client.prepare("find", "SELECT v FROM t WHERE k = $1").good());
  CHECK(Client.execute("find", {"7"}).value() == "it's; -- text");
  CHECK(Client.execute("find", {"8"}).value() == "swapped");
  CHECK(Client.execute("other", {"8"}).SqlState == "26000");
}

// Guards against a truncated large answer, and against a client that does not
// read its answer and thereby blocks other clients.
TEST_CASE("a large answer arrives completely") {
  const TestBackend Backend = startBackend("a", {"--role", "primary"});
  PgClient Slow = Backend.connect();
  PgClient Quick = Backend.connect();
  constexpr std::size_t Rows = 10000;
  constexpr std::size_t Width = 1000;
  REQUIRE(Slow.send("WITH RECURSIVE n(i) AS (VALUES (1) UNION ALL SELECT i + 1 "
                    "FROM n WHERE i < 10000) SELECT i, printf('%1000d', i) "
                    "FROM n"));
  CHECK(Quick.query("SELECT 1").value() == "1");
  const PgAnswer Answer = Slow.receive();
  REQUIRE(Answer.good());
  REQUIRE(Answer.Rows.size() == Rows);
  std::size_t Bytes = 0;
  for (const auto &Row : Answer.Rows)
    Bytes += Row[1]->size();
  CHECK(Bytes == Rows * Width);
  CHECK(Answer.Rows.back()[0] == "10000");
}

// Guards against a cancelled statement that keeps its slot, and against a
// cancel request that affects the next statement.
TEST_CASE("a cancel request ends the running statement") {
  const TestBackend Backend =
      startBackend("a", {"--role", "primary", "--slots", "1"});
  PgClient Client = Backend.connect();
  PgClient Other = Backend.connect();
  struct Row {
    const char *Name;
    std::string Begin;
    std::string Sql;
    char State;
  };
  REQUIRE(Client.query("CREATE TABLE t (v)").good());
  const Row Rows[] = {
      {"read", "", "SELECT sim_work(3600000)", 'I'},
      {"write", "", "INSERT INTO t VALUES (sim_work(3600000))", 'I'},
      {"in a transaction", "BEGIN", "SELECT sim_work(3600000)", 'E'},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    if (!R.Begin.empty())
      REQUIRE(Client.query(R.Begin).good());
    REQUIRE(Client.send(R.Sql));
    REQUIRE(eventually([&Backend] {
      return Backend.control("SELECT * FROM group_status()").value("running") ==
             "1";
    }));
    CHECK(Client.cancel());
    CHECK(Client.receive().SqlState == "57014");
    CHECK(Client.transaction() == R.State);
    if (!R.Begin.empty())
      CHECK(Client.query("ROLLBACK").good());
    CHECK(Client.query("SELECT count(*) FROM t").value() == "0");
    CHECK(Other.query("SELECT 1").value() == "1");
  }
}
