#include "root/directory/PlatformDirectory.h"

#include "platform/HttpPlatform.h"
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

/// The directory over HTTP before the stand-in for the platform.
struct Fixture {
  Fixture() {
    this->Port = this->Server.listen(QHostAddress::LocalHost);
    this->Store.setForeign("op", "config", plan(3, "ab"));
    this->Store.setForeign("servers", "i-1", server("ready"));
    this->Client = std::make_unique<HttpPlatform>(
        Address{"127.0.0.1", this->Port}, std::uint64_t(1));
    this->Directory = std::make_unique<PlatformDirectory>(*this->Client);
    runTask(this->Directory->start());
    this->until([this] { return this->revision() == 3; });
    this->until([this] { return this->Directory->servers().size() == 1; });
  }
  ~Fixture() {
    // Changes end the polls, and with them the followers.
    this->Store.setFaults({}, std::nullopt);
    this->Store.setForeign("op", "end", "");
    this->Store.setForeign("servers", "end", "");
    this->Directory->StopLimit = std::chrono::seconds(20);
    runTask(this->Directory->stop(steadyNow() + this->Directory->StopLimit));
  }

  std::uint64_t revision() const { return this->Directory->plan()->Revision; }

  /// Waits until \p Condition holds; fails after a while.
  void until(const std::function<bool()> &Condition,
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

// Guards against a configuration that goes back or comes into force in part.
TEST_CASE("a configuration only moves forward") {
  Fixture F;
  F.Store.setForeign("op", "config", plan(7, "abc"));
  F.until([&F] { return F.revision() == 7; });
  CHECK(F.Directory->plan()->Databases.size() == 3);
  F.Store.setForeign("op", "config", plan(5, "a"));
  F.Store.setForeign("op", "config", "{\"version\":9}");
  F.Store.setForeign("op", "config", plan(8, "b"));
  F.until([&F] { return F.revision() == 8; });
  CHECK(F.Directory->plan()->Databases.count("b") == 1);
}

// Guards against changes that are missed when the store forgets its history,
// refuses, or answers to nobody.
TEST_CASE("changes are found after the store was away") {
  struct Row {
    const char *Name;
    std::function<void(Fixture &)> Trouble;
  };
  const Row Rows[] = {
      {"the history is lost",
       [](Fixture &F) {
         F.Store.setForeign("op", "config", plan(4, "abc"));
         F.Store.forgetHistory();
       }},
      {"an outage",
       [](Fixture &F) {
         fakeplatform::Faults Down;
         Down.Outage = true;
         F.Store.setFaults(Down, std::nullopt);
         F.Store.setForeign("op", "config", plan(4, "abc"));
         runTask(
             []() -> QCoro::Task<> { co_await sleepFor(milliseconds(700)); }());
         F.Store.setFaults({}, std::nullopt);
       }},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    Fixture F;
    R.Trouble(F);
    F.until([&F] { return F.revision() == 4; });
    CHECK(F.Directory->servers().size() == 1);
  }
}

// Guards against work for servers that are not there, and against dropping
// those whose registration lapsed while the store was away.
TEST_CASE("registrations come, lapse and go") {
  Fixture F;
  F.Store.setForeign("servers", "i-2", server("ready"));
  F.Store.setForeign("servers", "i-3", "not a document");
  F.until([&F] { return F.Directory->servers().size() == 2; });
  // Lapsed: kept for the grace, in which it may come back.
  F.Store.removeForeign("servers", "i-1");
  F.Store.setForeign("servers", "i-2", server("draining"));
  F.until([&F] { return F.Directory->servers().at(ServerId("i-2")).Draining; });
  CHECK(F.Directory->servers().count(ServerId("i-1")) == 1);
  // One that left is gone at once.
  F.Store.removeForeign("servers", "i-2");
  F.until([&F] { return F.Directory->servers().count(ServerId("i-2")) == 0; },
          std::chrono::seconds(2));
  CHECK(F.Directory->servers().count(ServerId("i-1")) == 1);
  F.until([&F] { return F.Directory->servers().empty(); });
}
