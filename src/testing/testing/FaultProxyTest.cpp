// The fault-proxy in front of a fake-backend, as real processes.
#include "testing/testing/TestProxy.h"

using namespace amaranthspur;

namespace {

/// How long a test waits for an answer that must not come.
constexpr Duration ShortLimit = milliseconds(200);

} // namespace

// Guards against a fault that hits other connections than it should, or does
// not end: each row sets a fault while a connection is open and looks at that
// connection and at a new one, during the fault and after it.
TEST_CASE("faults of a link") {
  struct Row {
    const char *Name;
    std::string Fields;
    bool OldWorks;
    bool NewWorks;
    bool OldWorksAfterwards; ///< After a statement during the fault.
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
    const Duration OldLimit = R.OldWorks ? GenerousLimit : ShortLimit;
    const PgAnswer During = valueOf(Old).query("SELECT 2", OldLimit);
    CHECK(During.good() == R.OldWorks);
    CHECK(During.SqlState == R.SqlStateOfOld);
    const auto New = Proxy.connect(R.NewWorks ? GenerousLimit : ShortLimit);
    CHECK(succeeded(New) == R.NewWorks);

    Proxy.set("");
    CHECK(succeeded(Proxy.connect()));
    if (R.OldWorksAfterwards)
      CHECK(valueOf(Old).query("SELECT 3").value() == "3");
    else
      CHECK_FALSE(valueOf(Old).query("SELECT 3", ShortLimit).good());
  }
}

// Guards against a connection that is damaged by a fault during which nothing
// was sent.
TEST_CASE("an idle connection survives a drop") {
  const TestBackend Backend = startBackend("a", {"--role", "primary"});
  const TestProxy Proxy(Backend.address());
  auto Client = Proxy.connect();
  REQUIRE(succeeded(Client));
  Proxy.set("\"drop_forward\":true,\"drop_backward\":true");
  Proxy.set("");
  CHECK(valueOf(Client).query("SELECT 1").value() == "1");
}

// Guards against a delay that is shorter than asked for, which would make the
// bench's latencies too good. The upper side varies with the machine.
TEST_CASE("a delay is not shorter than asked for") {
  const TestBackend Backend = startBackend("a", {"--role", "primary"});
  const TestProxy Proxy(Backend.address());
  Proxy.set("\"delay_us\":20000");
  const TimePoint Start = SteadyClock().now();
  auto Client = Proxy.connect();
  REQUIRE(succeeded(Client));
  // Handshake, start-up message and its answer.
  CHECK(SteadyClock().now() - Start >= milliseconds(80));
  const TimePoint Sent = SteadyClock().now();
  CHECK(valueOf(Client).query("SELECT 1").value() == "1");
  CHECK(SteadyClock().now() - Sent >= milliseconds(40));
}

// Guards against bytes that are lost or reordered on a delayed link.
TEST_CASE("a large answer crosses a delayed link whole") {
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

// Guards against a mistyped command that is taken for a fault in force.
TEST_CASE("the control port refuses what it does not know") {
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

// Guards against traffic that is counted for another link or not at all.
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
