#include "root/directory/PlatformDirectory.h"

#include "platform/HttpPlatform.h"
#include "testing/CapturedLog.h"
#include "testing/TaskRunner.h"
#include "testing/fake-platform/PlatformServer.h"

#include <catch2/catch.hpp>

#include <QHostAddress>

using namespace amaranthspur;

namespace {

std::string plan(std::uint64_t Revision, const std::string &Databases) {
  std::string Routes;
  for (const char C : Databases)
    Routes += std::string(Routes.empty() ? "" : ",") + R"({"host":")" + C +
              R"(","route-type":"primary","service":"s"})";
  return R"({"version":)" + std::to_string(Revision) + R"(,"routes":[)" +
         Routes + R"(],"services":[{"name":"s"}]})";
}

std::string server(const std::string &State) {
  return R"({"service":"s","address":"127.0.0.1:7","zone":"a","version":"v",)"
         R"("slots":5,"state":")" +
         State + R"(","cold-ms":0,"db-role":"replica","sequence":1})";
}

/// A directory that uses the fake platform over HTTP.
struct Fixture {
  Fixture() {
    this->Port = this->Server.listen(QHostAddress::LocalHost);
    this->Store.setExternalRow("op", "config", plan(3, "ab"));
    this->Store.setExternalRow("servers", "i-1", server("ready"));
    this->Client = std::make_unique<HttpPlatform>(
        Address{"127.0.0.1", this->Port}, std::uint64_t(1));
    this->Directory = std::make_unique<PlatformDirectory>(*this->Client);
    runTask(this->Directory->start());
    this->waitUntil([this] { return this->revision() == 3; });
    this->waitUntil([this] { return this->Directory->servers().size() == 1; });
  }
  ~Fixture() {
    // These changes end the long polls, and the tasks that wait for them.
    this->Store.setFaults({}, std::nullopt);
    this->Store.setExternalRow("op", "end", "");
    this->Store.setExternalRow("servers", "end", "");
    this->Directory->StopLimit = std::chrono::seconds(20);
    runTask(this->Directory->stop(steadyNow() + this->Directory->StopLimit));
  }

  std::uint64_t revision() const { return this->Directory->plan()->Revision; }

  /// Waits until \p Condition holds. Fails the test if it does not hold within
  /// \p Limit.
  void waitUntil(const std::function<bool()> &Condition,
                 Duration Limit = std::chrono::seconds(9)) {
    const bool Met = runTask([](const std::function<bool()> &Condition,
                                Duration Limit) -> QCoro::Task<bool> {
      const TimePoint End = steadyNow() + Limit;
      while (!Condition() && steadyNow() < End)
        co_await sleepFor(milliseconds(10));
      co_return Condition();
    }(Condition, Limit));
    REQUIRE(Met);
  }

  QCoreApplication &App = testApplication();
  fakeplatform::PlatformStore Store{1};
  fakeplatform::PlatformServer Server{this->Store};
  quint16 Port = 0;
  std::unique_ptr<HttpPlatform> Client;
  std::unique_ptr<PlatformDirectory> Directory;
};

} // namespace

// Guards against a return to an earlier revision, and against a configuration
// that is only partly in force.
TEST_CASE("the revision of the configuration only increases") {
  Fixture F;
  F.Store.setExternalRow("op", "config", plan(7, "abc"));
  F.waitUntil([&F] { return F.revision() == 7; });
  CHECK(F.Directory->plan()->Databases.size() == 3);
  F.Store.setExternalRow("op", "config", plan(5, "a"));
  F.Store.setExternalRow("op", "config", "{\"version\":9}");
  F.Store.setExternalRow("op", "config", plan(8, "b"));
  F.waitUntil([&F] { return F.revision() == 8; });
  CHECK(F.Directory->plan()->Databases.count("b") == 1);
}

// Guards against changes that are missed when the store has lost its history of
// changes or was unavailable.
TEST_CASE("changes are received after a fault of the store") {
  struct Row {
    const char *Name;
    std::function<void(Fixture &)> InjectFault;
  };
  const Row Rows[] = {
      {"the history is lost",
       [](Fixture &F) {
         F.Store.setExternalRow("op", "config", plan(4, "abc"));
         F.Store.discardHistory();
       }},
      {"an outage",
       [](Fixture &F) {
         fakeplatform::Faults Down;
         Down.Outage = true;
         F.Store.setFaults(Down, std::nullopt);
         F.Store.setExternalRow("op", "config", plan(4, "abc"));
         runTask(
             []() -> QCoro::Task<> { co_await sleepFor(milliseconds(700)); }());
         F.Store.setFaults({}, std::nullopt);
       }},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    Fixture F;
    R.InjectFault(F);
    F.waitUntil([&F] { return F.revision() == 4; });
    CHECK(F.Directory->servers().size() == 1);
  }
}

// Guards against new statements for a server that is leaving, or for one that
// has restarted since, because the store came back with an older row of it.
TEST_CASE("a server's row in a copy does not replace a newer one") {
  struct Row {
    const char *Name;
    std::string Copied; ///< Fields of the row in the copy.
    std::string Known;  ///< Fields of the row that was lost.
    bool Replaces;      ///< The copied row, which is not draining.
  };
  const Row Rows[] = {
      {"the known row has a higher number", R"("born":5,"sequence":3)",
       R"("born":5,"sequence":4)", false},
      {"the known row is of a later start", R"("born":5,"sequence":9)",
       R"("born":6,"sequence":1)", false},
      {"the numbers are the same", R"("born":5,"sequence":4)",
       R"("born":5,"sequence":4)", true},
      {"the copied row is of a later start", R"("born":7,"sequence":1)",
       R"("born":5,"sequence":4)", true},
      {"the start is not known", R"("sequence":3)", R"("sequence":4)", true},
  };
  const auto With = [](const char *State, const std::string &Fields) {
    std::string Text = server(State);
    const std::string Sequence = R"("sequence":1)";
    return Text.replace(Text.find(Sequence), Sequence.size(), Fields);
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    Fixture F;
    F.Store.setEraHeader("1");
    F.Store.setExternalRow("servers", "i-2", With("ready", R.Copied));
    F.waitUntil([&F] { return F.Directory->servers().size() == 2; });
    F.Store.copy();
    F.Store.setExternalRow("servers", "i-2", With("draining", R.Known));
    F.waitUntil(
        [&F] { return F.Directory->servers().at(ServerId("i-2")).Draining; });
    F.Store.returnFromCopy();
    F.Store.setExternalRow("servers", "i-3", server("ready"));
    F.waitUntil([&F] { return F.Directory->servers().size() == 3; });
    CHECK(F.Directory->servers().at(ServerId("i-2")).Draining != R.Replaces);
    // What the server writes itself counts.
    F.Store.setExternalRow("servers", "i-2",
                           With("ready", R"("born":8,"sequence":1)"));
    F.waitUntil(
        [&F] { return !F.Directory->servers().at(ServerId("i-2")).Draining; });
  }
}

// Guards against one odd row of another writer that ends the process, hides the
// other rows or stops the following of the table.
TEST_CASE("a malformed row names no server and affects no other row") {
  const std::string Good = server("ready");
  const auto With = [&Good](const std::string &From, const std::string &To) {
    std::string Changed = Good;
    const std::size_t At = Changed.find(From);
    REQUIRE(At != std::string::npos);
    return Changed.replace(At, From.size(), To);
  };
  struct Row {
    const char *Name;
    std::string Key;
    std::string Value;
  };
  const Row Rows[] = {
      {"very deeply nested", "odd", std::string(40000, '[')},
      {"a deeply nested field", "odd",
       With("{", "{\"new\":" + std::string(20000, '{') + ",")},
      {"a port out of range", "odd", With(":7", ":70007")},
      {"a number too large", "odd", With("\"slots\":5", "\"slots\":1e999")},
      {"a start time too large", "odd", With("{", "{\"born\":1e200,")},
      {"bytes that are no text", "odd", "\xff\xfe\x01"},
      {"a key of 200 bytes", std::string(200, 'k'), "null"},
      {"a known server becomes unreadable", "i-2", "\x01"},
  };
  Fixture F;
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    F.Store.setExternalRow("servers", "i-2", server("ready"));
    F.waitUntil([&F] { return F.Directory->servers().size() == 2; });
    F.Store.setExternalRow("servers", R.Key, R.Value);
    F.Store.setExternalRow("servers", "i-3", server("ready"));
    F.waitUntil(
        [&F] { return F.Directory->servers().count(ServerId("i-3")) == 1; });
    CHECK(F.Directory->servers().count(ServerId(R.Key)) == 0);
    CHECK(F.Directory->servers().count(ServerId("i-1")) == 1);
    // A whole read has the row among the others.
    F.Store.discardHistory();
    F.Store.setExternalRow("servers", "i-3", server("draining"));
    F.waitUntil(
        [&F] { return F.Directory->servers().at(ServerId("i-3")).Draining; });
    CHECK(F.Directory->servers().count(ServerId(R.Key)) == 0);
    F.Store.removeExternalRow("servers", "i-3");
    F.waitUntil(
        [&F] { return F.Directory->servers().count(ServerId("i-3")) == 0; });
  }
}

// Guards against new work for servers that are no longer registered, and
// against removing servers that lost their registration in a store outage.
TEST_CASE("servers are added, kept for a while and removed") {
  Fixture F;
  F.Store.setExternalRow("servers", "i-2", server("ready"));
  F.Store.setExternalRow("servers", "i-3", "not a document");
  F.waitUntil([&F] { return F.Directory->servers().size() == 2; });
  // An expired registration is kept for RemovalDelay, in which it may return.
  F.Store.removeExternalRow("servers", "i-1");
  F.Store.setExternalRow("servers", "i-2", server("draining"));
  F.waitUntil(
      [&F] { return F.Directory->servers().at(ServerId("i-2")).Draining; });
  CHECK(F.Directory->servers().count(ServerId("i-1")) == 1);
  // A server that was draining is removed at once.
  F.Store.removeExternalRow("servers", "i-2");
  F.waitUntil(
      [&F] { return F.Directory->servers().count(ServerId("i-2")) == 0; },
      std::chrono::seconds(2));
  CHECK(F.Directory->servers().count(ServerId("i-1")) == 1);
  F.waitUntil([&F] { return F.Directory->servers().empty(); });
}

// Guards against a time that is logged for another change than a start, and
// against one that looks plausible although the start is not known.
TEST_CASE("the time from a server's start until it is known is logged") {
  struct Row {
    const char *Name;
    std::int64_t Start;
    std::optional<std::int64_t> KnownStart; ///< Nothing: not known before.
    const char *Text;
  };
  const Row Rows[] = {
      {"a new server", 1'000, std::nullopt, "450"},
      {"a restart", 1'000, 600, "450"},
      {"another change", 1'000, 1'000, "-"},
      {"its clock is ahead", 1'500, std::nullopt, "-50"},
      {"the start is not told", 0, std::nullopt, "-"},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    RegisteredServer Now;
    Now.StartedAtMs = R.Start;
    RegisteredServer Before;
    Before.StartedAtMs = R.KnownStart.value_or(0);
    CHECK(knownAfterStart(Now, R.KnownStart ? &Before : nullptr,
                          milliseconds(1'450)) == R.Text);
  }
  std::vector<std::string> Lines;
  {
    const CapturedLog Log;
    Fixture F;
    std::string Value = server("ready");
    Value.back() = ',';
    F.Store.setExternalRow("servers", "i-2", Value + R"("born":1000})");
    F.waitUntil([&F] { return F.Directory->servers().size() == 2; });
    Lines = Log.lines(LogEvent::ServersChanged);
  }
  REQUIRE(Lines.size() >= 2);
  CHECK(Lines[0].find(" known_ms_after_start=- ") != std::string::npos);
  // The present time, in milliseconds since 1970, has 13 digits.
  CHECK(Lines[1].find(" known_ms_after_start=1") != std::string::npos);
}
