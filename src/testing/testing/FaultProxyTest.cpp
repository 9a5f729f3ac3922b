// Tests of a fault-proxy process in front of a fake-backend process.
#include "testing/testing/TestProxy.h"

using namespace amaranthspur;

namespace {

/// How long a test waits for an answer that must not arrive.
constexpr Duration NoAnswerTimeout = milliseconds(200);

} // namespace

// Guards against a fault that affects the wrong connections or that does not
// end. Each row sets a fault while a connection is open, then checks that
// connection and a new one during the fault and afterwards.
TEST_CASE("faults of a link") {
  struct Row {
    const char *Name;
    std::string Fields;
    bool OldWorks;
    bool NewWorks;
    bool OldWorksAfterwards; ///< After a statement was sent during the fault.
    std::string SqlStateOfOld;
  };
  const Row Rows[] = {
      {"none", "", true, true, true, ""},
      {"delay", "\"delay_us\":1500,\"jitter_us\":500", true, true, true, ""},
      {"bandwidth", "\"bandwidth_kbit\":30000", true, true, true, ""},
      {"cut", "\"cut\":true", false, false, false, "08006"},
      {"silent", "\"silent\":true", false, true, false, "08006"},
      {"drop forward", "\"drop_forward\":true", false, false, false, "08006"},
      {"drop backward", "\"drop_backward\":true", false, false, false, "08006"},
      {"other client", "\"from\":\"127.9.\",\"cut\":true", true, true, true,
       ""},
      {"other link", "\"to\":\"other\",\"cut\":true", true, true, true, ""},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    const TestBackend Backend = startBackend("a", {"--role", "primary"});
    const TestProxy Proxy(Backend.address());
    auto Old = Proxy.connect();
    REQUIRE(succeeded(Old));
    REQUIRE(valueOf(Old).query("SELECT 1").value() == "1");

    Proxy.set(R.Fields);
    const Duration OldLimit = R.OldWorks ? TestTimeout : NoAnswerTimeout;
    const PgAnswer During = valueOf(Old).query("SELECT 2", OldLimit);
    CHECK(During.good() == R.OldWorks);
    CHECK(During.SqlState == R.SqlStateOfOld);
    const auto New = Proxy.connect(R.NewWorks ? TestTimeout : NoAnswerTimeout);
    CHECK(succeeded(New) == R.NewWorks);

    Proxy.set("");
    CHECK(succeeded(Proxy.connect()));
    if (R.OldWorksAfterwards)
      CHECK(valueOf(Old).query("SELECT 3").value() == "3");
    else
      CHECK_FALSE(valueOf(Old).query("SELECT 3", NoAnswerTimeout).good());
  }
}

// Guards against a fault that breaks a connection on which nothing was sent
// during the fault.
TEST_CASE("an idle connection survives dropped traffic") {
  const TestBackend Backend = startBackend("a", {"--role", "primary"});
  const TestProxy Proxy(Backend.address());
  auto Client = Proxy.connect();
  REQUIRE(succeeded(Client));
  Proxy.set("\"drop_forward\":true,\"drop_backward\":true");
  Proxy.set("");
  CHECK(valueOf(Client).query("SELECT 1").value() == "1");
}

// Guards against a delay below the configured one, which would make the
// latencies that the bench measures too low. There is no upper bound because it
// would depend on the machine.
TEST_CASE("a delay is not shorter than configured") {
  const TestBackend Backend = startBackend("a", {"--role", "primary"});
  const TestProxy Proxy(Backend.address());
  Proxy.set("\"delay_us\":20000");
  const TimePoint Start = SteadyClock().now();
  auto Client = Proxy.connect();
  REQUIRE(succeeded(Client));
  // The TCP handshake and the start-up exchange take one round trip each.
  CHECK(SteadyClock().now() - Start >= milliseconds(80));
  const TimePoint Sent = SteadyClock().now();
  CHECK(valueOf(Client).query("SELECT 1").value() == "1");
  CHECK(SteadyClock().now() - Sent >= milliseconds(40));
}

// Guards against lost or reordered bytes on a delayed link.
TEST_CASE("a large answer crosses a delayed link completely") {
  const TestBackend Backend = startBackend("a", {"--role", "primary"});
  const TestProxy Proxy(Backend.address());
  Proxy.set("\"delay_us\":8000,\"jitter_us\":4000");
  auto Client = Proxy.connect();
  REQUIRE(succeeded(Client));
  const PgAnswer Answer = valueOf(Client).query(
      "WITH RECURSIVE n(i) AS (VALUES (1) UNION ALL SELECT i + 1 FROM n WHERE "
      "i < 10000) SELECT i, printf('%1000d', i) FROM n");
  REQUIRE(Answer.good());
  REQUIRE(Answer.Rows.size() == 10000);
  bool InOrder = true;
  for (std::size_t I = 0; I < Answer.Rows.size(); ++I)
    InOrder = InOrder && Answer.Rows[I][0] == std::to_string(I + 1);
  CHECK(InOrder);
}

// Guards against accepting a mistyped command without effect, which would make
// a test assume that a fault is active.
TEST_CASE("the control port rejects invalid commands") {
  const TestBackend Backend = startBackend("a", {"--role", "primary"});
  const TestProxy Proxy(Backend.address());
  const std::string Lines[] = {
      "",
      "cut",
      "{}",
      "{\"command\":\"sett\"}",
      "{\"command\":\"set\",\"delay_ms\":8}",
      "{\"command\":\"set\",\"delay_us\":-8}",
      "{\"command\":\"set\",\"cut\":1}",
      "{\"command\":\"stats\",\"cut\":true}",
  };
  for (const std::string &Line : Lines) {
    CAPTURE(Line);
    CHECK(Proxy.command(Line).find("\"ok\":false") != std::string::npos);
  }
}

// Guards against traffic that is not counted or is counted for the wrong link.
TEST_CASE("bytes are counted by network and link") {
  const TestBackend Backend = startBackend("a", {"--role", "primary"});
  const TestProxy Proxy(Backend.address());
  auto Client = Proxy.connect();
  REQUIRE(succeeded(Client));
  REQUIRE(valueOf(Client).query("SELECT 1").good());
  const std::string Stats = Proxy.command("{\"command\":\"stats\"}");
  CAPTURE(Stats);
  CHECK(Stats.find("\"from\":\"127.0.0\"") != std::string::npos);
  CHECK(Stats.find("\"link\":\"link\"") != std::string::npos);
  CHECK(Stats.find("\"connections\":1") != std::string::npos);
  CHECK(Stats.find("\"forward\":0") == std::string::npos);
  CHECK(Stats.find("\"swallowed_forward\":0") != std::string::npos);
}
