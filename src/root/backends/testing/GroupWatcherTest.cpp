#include "root/backends/GroupWatcher.h"

#include "platform/testing/MemoryPlatform.h"
#include "root/backends/testing/WatcherFakes.h"

#include <catch2/catch.hpp>

#include <QCoroTask>

using namespace amaranthspur;
using namespace amaranthspur::testing;

namespace {

/// Far longer than anything here takes. It only ends a test that would hang.
constexpr Duration Patience = std::chrono::seconds(20);

/// A group of fakes with one or more watchers of it.
struct Scene {
  explicit Scene(std::size_t Servers = 3, std::size_t Watchers = 1)
      : Group(Servers), Views(Watchers) {
    application();
    FakeBackendServer::MostCalls = 0;
    this->Service.Name = ServiceName("orders");
    for (std::size_t I = 0; I < Servers; ++I) {
      ServerConfig Config;
      Config.Id = ServerId("s" + std::to_string(I));
      Config.Host = "127.0.0.1";
      Config.Port = static_cast<std::uint16_t>(1000 + I);
      this->Service.Servers.push_back(Config);
    }
    for (std::size_t W = 0; W < Watchers; ++W) {
      this->Rngs.push_back(std::make_unique<Random>(W + 1));
      this->Watchers.push_back(std::make_unique<GroupWatcher>(
          WatcherParts{EntryVmId("vm" + std::to_string(W)), this->Time,
                       this->Store, this->Views[W],
                       [this](const ServerConfig &Config) {
                         return std::make_unique<FakeBackendServer>(this->Group,
                                                                    Config.Id);
                       }},
          WatcherPolicies{makeMajorityDurability(),
                          makeMajorityFailover(*this->Rngs.back())},
          this->Service, static_cast<unsigned>(W)));
      this->Watchers.back()->start();
    }
  }

  ~Scene() {
    for (const auto &W : this->Watchers)
      QCoro::waitFor(W->stop());
  }

  GroupWatcher &watcher() { return *this->Watchers.front(); }
  const GroupView *view() const {
    return this->Views.front().find(this->Service.Name);
  }

  /// Runs the event loop until \p Condition holds; returns whether it did.
  bool until(const std::function<bool()> &Condition) {
    const TimePoint End = steadyNow() + Patience;
    while (!Condition() && steadyNow() < End)
      QCoro::waitFor(
          []() -> QCoro::Task<> { co_await sleepFor(milliseconds(2)); }());
    return Condition();
  }

  bool primaryIs(const char *Server, Term T) {
    return this->until([this, Server, T] {
      return this->view() && this->view()->Primary == ServerId(Server) &&
             this->view()->TermNumber == T && this->view()->AcceptsWrites;
    });
  }

  SteadyClock Time;
  FakeGroup Group;
  MemoryPlatform Store;
  ServiceConfig Service;
  std::vector<ViewTable> Views;
  std::vector<std::unique_ptr<Random>> Rngs;
  std::vector<std::unique_ptr<GroupWatcher>> Watchers;
};

bool confirmedWithin(Scene &S, LogPosition Position, Duration Limit) {
  return QCoro::waitFor(
      S.watcher().waitConfirmed(Position, steadyNow() + Limit));
}

} // namespace

// Guards against an answer that is released before a majority holds the write,
// and against one that is never released.
TEST_CASE("waits for confirmation") {
  struct Row {
    const char *Name;
    std::function<LogPosition(Scene &)> Write;
    Duration Limit;
    bool Expected;
  };
  const Row Rows[] = {
      {"replicated", [](Scene &S) { return S.Group.write(0); }, Patience, true},
      {"held by the primary alone",
       [](Scene &S) {
         S.Group.Replicating = false;
         return S.Group.write(0);
       },
       milliseconds(300), false},
      {"one replica is down",
       [](Scene &S) {
         S.Group.Servers[2].Mode = FakeMode::Silent;
         return S.Group.write(0);
       },
       Patience, true},
      {"both replicas are down",
       [](Scene &S) {
         S.Group.Servers[1].Mode = FakeMode::Refusing;
         S.Group.Servers[2].Mode = FakeMode::Refusing;
         return S.Group.write(0);
       },
       milliseconds(300), false},
      {"position of an ended term",
       [](Scene &S) {
         S.Group.Servers[0].Mode = FakeMode::Refusing;
         S.primaryIs("s1", 2);
         return LogPosition{1, 99};
       },
       Patience, false},
      {"term ends while waiting",
       [](Scene &S) {
         S.Group.Replicating = false;
         const LogPosition Lost = S.Group.write(0);
         S.Group.Servers[0].Mode = FakeMode::Refusing;
         return Lost;
       },
       Patience, false},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    Scene S;
    REQUIRE(S.primaryIs("s0", 1));
    CHECK(confirmedWithin(S, R.Write(S), R.Limit) == R.Expected);
    CHECK(FakeBackendServer::MostCalls == 1);
  }
}

// Guards against polls that grow with the writes in flight.
TEST_CASE("one poll confirms every write that waits") {
  for (const unsigned Writes : {1U, 10U, 2000U}) {
    CAPTURE(Writes);
    Scene S;
    REQUIRE(S.primaryIs("s0", 1));
    S.Group.Replicating = false;
    unsigned Confirmed = 0;
    const auto Wait = [&S, &Confirmed](LogPosition Position) -> QCoro::Task<> {
      const bool Durable =
          co_await S.watcher().waitConfirmed(Position, steadyNow() + Patience);
      Confirmed += Durable ? 1 : 0;
    };
    for (unsigned I = 0; I < Writes; ++I)
      Wait(S.Group.write(0));
    const unsigned Before = S.Group.Servers[1].Statuses;
    REQUIRE(S.until(
        [&S, Before] { return S.Group.Servers[1].Statuses > Before + 3; }));
    CHECK(Confirmed == 0);
    S.Group.replicate();
    const unsigned AtReplication =
        S.Group.Servers[1].Statuses + S.Group.Servers[2].Statuses;
    unsigned Needed = 0;
    REQUIRE(S.until([&] {
      if (Confirmed == 0)
        Needed = S.Group.Servers[1].Statuses + S.Group.Servers[2].Statuses -
                 AtReplication;
      return Confirmed == Writes;
    }));
    // Each replica may have had one poll in flight and answers one more, twice
    // over for the interval at which this test looks.
    CHECK(Needed <= 8);
    CHECK(FakeBackendServer::MostCalls == 1);
  }
}

// Guards against a promotion that does not come, comes without need, or does
// not bring the other servers along.
TEST_CASE("promotes when the primary is gone") {
  struct Row {
    const char *Name;
    FakeMode Mode;
    bool StoreDown;
    bool Promotes;
  };
  const Row Rows[] = {
      {"connections refused", FakeMode::Refusing, false, true},
      {"silent", FakeMode::Silent, false, true},
      {"refused, store down", FakeMode::Refusing, true, true},
      {"open connection silent, a fresh one works", FakeMode::SilentConnection,
       false, false},
      {"open connection silent, no room beside it", FakeMode::SilentFull, false,
       false},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    Scene S;
    REQUIRE(S.primaryIs("s0", 1));
    const LogPosition Before = S.Group.write(0);
    REQUIRE(confirmedWithin(S, Before, Patience));
    S.Store.Down = R.StoreDown;
    S.Group.Servers[0].Mode = R.Mode;
    if (!R.Promotes) {
      REQUIRE(S.until([&S] { return S.Group.Servers[0].Probes > 0; }));
      const unsigned Before = S.Group.Servers[0].Statuses;
      CHECK(S.until(
          [&S, Before] { return S.Group.Servers[0].Statuses > Before + 3; }));
      REQUIRE(S.primaryIs("s0", 1));
      CHECK(S.watcher().counts().Claims == 0);
      continue;
    }
    REQUIRE(S.primaryIs("s1", 2));
    CHECK(S.Group.Servers[1].State.Log.size() == Before.Index + 1);
    CHECK(confirmedWithin(S, S.Group.write(1), Patience));
    CHECK(S.Store.Rows.contains("claim/orders") != R.StoreDown);
    // The old primary comes back and follows.
    S.Group.Servers[0].Mode = FakeMode::Answering;
    CHECK(S.until([&S] {
      return S.Group.Servers[0].State.Primary == ServerId("s1") &&
             S.Group.Servers[0].State.Role == ServerRole::Replica;
    }));
    CHECK(S.watcher().counts().Promotions == 1);
    CHECK(FakeBackendServer::MostCalls == 1);
  }
}

// Guards against watchers that hinder each other for good.
TEST_CASE("several watchers leave one primary") {
  for (const bool StoreDown : {false, true}) {
    CAPTURE(StoreDown);
    Scene S(3, 3);
    REQUIRE(S.primaryIs("s0", 1));
    S.Store.Down = StoreDown;
    S.Group.Servers[0].Mode = FakeMode::Refusing;
    REQUIRE(S.until(
        [&S] { return S.view()->TermNumber > 1 && S.view()->AcceptsWrites; }));
    unsigned Primaries = 0;
    for (const FakeGroup::Server &Server : S.Group.Servers)
      if (Server.State.Role == ServerRole::Primary &&
          Server.State.AdoptedTerm > 1)
        ++Primaries;
    CHECK(Primaries == 1);
  }
}

// Guards against writes that are accepted although nothing can confirm them.
TEST_CASE("refuses writes without a majority") {
  Scene S;
  REQUIRE(S.primaryIs("s0", 1));
  CHECK(S.watcher().acceptsWrites(S.Time.now()));
  S.Group.Servers[1].Mode = FakeMode::Silent;
  S.Group.Servers[2].Mode = FakeMode::Silent;
  CHECK(S.until([&S] { return !S.view()->AcceptsWrites; }));
  CHECK_FALSE(S.watcher().acceptsWrites(S.Time.now()));
  CHECK(S.watcher().counts().Promotions == 0);
  S.Group.Servers[1].Mode = FakeMode::Answering;
  CHECK(S.until([&S] { return S.view()->AcceptsWrites; }));
}

// Guards against a watcher that loses its servers when the configuration
// changes, or goes on with removed ones.
TEST_CASE("takes in a changed service") {
  Scene S(4);
  REQUIRE(S.primaryIs("s0", 1));
  ServiceConfig Smaller = S.Service;
  Smaller.Servers.pop_back();
  S.watcher().configure(Smaller, 1);
  CHECK(S.until([&S] { return S.view()->Servers.size() == 3; }));
  ServiceConfig Marked = Smaller;
  Marked.Servers[2].Leaving = true;
  S.watcher().configure(Marked, 0);
  CHECK(S.until([&S] {
    const ServerView *Server = S.view()->find(ServerId("s2"));
    return Server && Server->Leaving;
  }));
  S.watcher().configure(S.Service, 0);
  CHECK(S.until([&S] {
    const ServerView *Server = S.view()->find(ServerId("s3"));
    return Server && Server->Reachable;
  }));
  CHECK(confirmedWithin(S, S.Group.write(0), Patience));
  CHECK(S.watcher().counts().Promotions == 0);
}

// Guards against writers that wait for ever on a watcher that has ended, and
// against tasks that outlive it.
TEST_CASE("stop releases the writers") {
  for (const FakeMode Mode :
       {FakeMode::Answering, FakeMode::Refusing, FakeMode::Silent}) {
    Scene S;
    REQUIRE(S.primaryIs("s0", 1));
    S.Group.Replicating = false;
    std::optional<bool> Confirmed;
    const auto Wait = [&S, &Confirmed](LogPosition Position) -> QCoro::Task<> {
      Confirmed =
          co_await S.watcher().waitConfirmed(Position, steadyNow() + Patience);
    };
    Wait(S.Group.write(0));
    for (FakeGroup::Server &Server : S.Group.Servers)
      Server.Mode = Mode;
    QCoro::waitFor(S.watcher().stop());
    CHECK(S.until([&Confirmed] { return Confirmed.has_value(); }));
    CHECK(Confirmed == false);
    CHECK_FALSE(confirmedWithin(S, {1, 1000}, Patience));
    CHECK_FALSE(S.watcher().acceptsWrites(S.Time.now()));
  }
}
