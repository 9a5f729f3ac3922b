// Tests of the execution slots, connection limits, timeouts and ownership lease
// of the fake-backend. They connect to fake-backend processes with libpq.
#include "testing/testing/TestGroup.h"

using namespace amaranthspur;

namespace {

std::string counter(const TestBackend &Backend, const std::string &Name) {
  return Backend.control("SELECT * FROM group_counters()").value(Name);
}

std::string status(const TestBackend &Backend, const std::string &Name) {
  return Backend.control("SELECT * FROM group_status()").value(Name);
}

} // namespace

// Guards against a limit that is not enforced, refusals that are counted
// incorrectly, and a limit still in force after the connections have closed.
TEST_CASE("connection limits") {
  struct Row {
    const char *Role;
    std::size_t Limit;
    const char *Counter;
  };
  const Row Rows[] = {
      {"work", 3, "refused_connections"},
      {"control", 8, "refused_control_connections"},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Role);
    const TestBackend Backend =
        startBackend("a", {"--role", "primary", "--connection-limit", "3"});
    {
      std::vector<PgClient> Open;
      for (std::size_t I = 0; I < R.Limit; ++I)
        Open.push_back(Backend.connect(R.Role));
      for (int Attempt = 0; Attempt < 2; ++Attempt) {
        const auto Refused = Backend.tryConnect(R.Role);
        REQUIRE_FALSE(succeeded(Refused));
        CHECK(errorOf(Refused).find("connection limit") != std::string::npos);
      }
      CHECK(Open.front().query("SELECT 1").value() == "1");
      CHECK(Open.front()
                .query("SELECT * FROM group_counters()")
                .value(R.Counter) == "2");
    }
    CHECK(eventually([&] { return succeeded(Backend.tryConnect(R.Role)); }));
  }
}

// Guards against more running statements than slots, against control
// connections that wait for slots, and against a queue that is not first-in,
// first-out.
TEST_CASE("slots are granted in order of arrival") {
  const TestBackend Backend =
      startBackend("a", {"--role", "primary", "--slots", "1"});
  PgClient Holder = Backend.connect();
  REQUIRE(Holder.send("SELECT sim_work(3600000)"));
  REQUIRE(eventually([&] { return status(Backend, "running") == "1"; }));
  PgClient First = Backend.connect();
  PgClient Second = Backend.connect();
  REQUIRE(First.send("SELECT sim_work(3600000)"));
  REQUIRE(eventually([&] { return status(Backend, "queue_ms") != "0"; }));
  REQUIRE(Second.send("SELECT 2"));
  CHECK(status(Backend, "running") == "1");
  CHECK(status(Backend, "connections") == "3");
  CHECK(Holder.cancel());
  CHECK(Holder.receive().SqlState == "57014");
  // The second statement can run only after the first has held the slot.
  REQUIRE(eventually([&] { return counter(Backend, "statements") == "3"; }));
  CHECK(First.cancel());
  CHECK(First.receive().SqlState == "57014");
  CHECK(Second.receive().value() == "2");
}

// Guards against an abandoned transaction that holds the write lock.
TEST_CASE("an abandoned transaction is rolled back") {
  struct Row {
    const char *Name;
    bool Close;
  };
  const Row Rows[] = {{"connection closed", true}, {"idle too long", false}};
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    const TestBackend Backend = startBackend(
        "a", {"--role", "primary", "--idle-in-transaction-timeout-ms",
              R.Close ? "3600000" : "200", "--lock-timeout-ms", "20000"});
    PgClient Other = Backend.connect();
    REQUIRE(Other.query("CREATE TABLE t (v)").good());
    {
      PgClient Client = Backend.connect();
      REQUIRE(Client.query("BEGIN").good());
      REQUIRE(Client.query("INSERT INTO t VALUES (1)").good());
      if (!R.Close) {
        REQUIRE(Other.query("INSERT INTO t VALUES (2)").good());
        CHECK_FALSE(Client.query("SELECT 1").good());
        CHECK_FALSE(Client.open());
      }
    }
    if (R.Close)
      REQUIRE(Other.query("INSERT INTO t VALUES (2)").good());
    CHECK(Other.query("SELECT sum(v) FROM t").value() == "2");
  }
}

// Guards against two owners at once, and against connections of a previous
// owner that still count towards the connection limit of the next one.
TEST_CASE("the ownership lease") {
  struct Row {
    std::string Arguments;
    std::string SqlState;
    std::string Holder;
    bool WorkSurvives;
  };
  const Row Rows[] = {
      {"'vm-1', 100, 3600000", "", "vm-1", true},
      {"'vm-1', 100, 3600000", "", "vm-1", true},
      {"'vm-2', 200, 3600000", "55006", "", true},
      {"'vm-1', 99, 3600000", "55006", "", true},
      {"'vm-1', 101, 0", "", "vm-1", false},
      {"'vm-2', 200, 3600000", "", "vm-2", false},
      {"'vm-1', 101, 3600000", "55006", "", true},
      {"'vm-1', x, 1", "22023", "", true},
      {"'vm-1'", "42883", "", true},
  };
  const TestBackend Backend = startBackend("a", {"--role", "primary"});
  for (const Row &R : Rows) {
    CAPTURE(R.Arguments);
    PgClient Work = Backend.connect();
    const PgAnswer Answer = Backend.control(
        "SELECT * FROM group_acquire_owner(" + R.Arguments + ")");
    CHECK(Answer.SqlState == R.SqlState);
    CHECK(Answer.value("holder") == R.Holder);
    CHECK(Work.query("SELECT 1").good() == R.WorkSurvives);
  }
}

// Guards against connections that open faster than the configured delay, which
// would make a connection pool appear faster than it is. There is no upper
// bound because it would depend on the machine.
TEST_CASE("opening a connection takes at least the configured delay") {
  struct Row {
    const char *Role;
  };
  const Row Rows[] = {{"work"}, {"control"}};
  const TestBackend Backend =
      startBackend("a", {"--role", "primary", "--connect-delay-ms", "50"});
  for (const Row &R : Rows) {
    CAPTURE(R.Role);
    const TimePoint Start = SteadyClock().now();
    Backend.connect(R.Role);
    CHECK(SteadyClock().now() - Start >= milliseconds(50));
  }
}
