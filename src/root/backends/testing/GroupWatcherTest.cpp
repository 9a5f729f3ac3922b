#include "root/backends/GroupWatcher.h"

#include "platform/testing/MemoryPlatform.h"
#include "root/backends/testing/WatcherFakes.h"

#include <catch2/catch.hpp>

#include <QCoroTask>

using namespace amaranthspur;
using namespace amaranthspur::testing;

namespace {

/// Limit that ends a test that hangs; every operation here takes far less.
constexpr Duration HangLimit = std::chrono::seconds(20);

/// A fake group with one or more watchers.
struct GroupFixture {
  explicit GroupFixture(std::size_t Servers = 3, std::size_t Watchers = 1)
      : Group(Servers), Views(Watchers) {
    application();
    FakeBackendServer::MaxConcurrentCalls = 0;
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
          WatcherDependencies{EntryVmId("vm" + std::to_string(W)), this->Time,
                              this->Store, this->Views[W],
                              [this](const ServerConfig &Config) {
                                return std::make_unique<FakeBackendServer>(
                                    this->Group, Config.Id);
                              }},
          WatcherPolicies{makeMajorityDurability(),
                          makeMajorityFailover(*this->Rngs.back())},
          this->Service, static_cast<unsigned>(W)));
      this->Watchers.back()->start();
    }
  }

  ~GroupFixture() {
    for (const auto &W : this->Watchers)
      QCoro::waitFor(W->stop());
  }

  GroupWatcher &watcher() { return *this->Watchers.front(); }
  const GroupView *view() const {
    return this->Views.front().find(this->Service.Name);
  }

  /// Runs the event loop until \p Condition holds; returns whether it did.
  bool runUntil(const std::function<bool()> &Condition) {
    const TimePoint End = steadyNow() + HangLimit;
    while (!Condition() && steadyNow() < End)
      QCoro::waitFor(
          []() -> QCoro::Task<> { co_await sleepFor(milliseconds(2)); }());
    return Condition();
  }

  bool runUntilPrimaryIs(const char *Server, Term T) {
    return this->runUntil([this, Server, T] {
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

bool confirmedWithin(GroupFixture &S, LogPosition Position, Duration Limit) {
  return QCoro::waitFor(
      S.watcher().waitConfirmed(Position, steadyNow() + Limit));
}

} // namespace

// Guards against an answer to a write that is released before a majority of the
// servers holds the write, and against one that is never released.
TEST_CASE("waitConfirmed() returns whether a majority holds the position") {
  struct Row {
    const char *Name;
    std::function<LogPosition(GroupFixture &)> Write;
    Duration Limit;
    bool Expected;
  };
  const Row Rows[] = {
      {"replicated", [](GroupFixture &S) { return S.Group.write(0); },
       HangLimit, true},
      {"on the primary only",
       [](GroupFixture &S) {
         S.Group.ReplicationEnabled = false;
         return S.Group.write(0);
       },
       milliseconds(300), false},
      {"one replica is down",
       [](GroupFixture &S) {
         S.Group.Servers[2].Mode = FakeMode::Silent;
         return S.Group.write(0);
       },
       HangLimit, true},
      {"both replicas are down",
       [](GroupFixture &S) {
         S.Group.Servers[1].Mode = FakeMode::Refusing;
         S.Group.Servers[2].Mode = FakeMode::Refusing;
         return S.Group.write(0);
       },
       milliseconds(300), false},
      {"position of an ended term",
       [](GroupFixture &S) {
         S.Group.Servers[0].Mode = FakeMode::Refusing;
         S.runUntilPrimaryIs("s1", 2);
         return LogPosition{1, 99};
       },
       HangLimit, false},
      {"term ends while waiting",
       [](GroupFixture &S) {
         S.Group.ReplicationEnabled = false;
         const LogPosition Lost = S.Group.write(0);
         S.Group.Servers[0].Mode = FakeMode::Refusing;
         return Lost;
       },
       HangLimit, false},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    GroupFixture S;
    REQUIRE(S.runUntilPrimaryIs("s0", 1));
    CHECK(confirmedWithin(S, R.Write(S), R.Limit) == R.Expected);
    CHECK(FakeBackendServer::MaxConcurrentCalls == 1);
  }
}

// Guards against a number of polls that grows with the writes in flight.
TEST_CASE("one poll confirms all waiting writes") {
  for (const unsigned Writes : {1U, 10U, 2000U}) {
    CAPTURE(Writes);
    GroupFixture S;
    REQUIRE(S.runUntilPrimaryIs("s0", 1));
    S.Group.ReplicationEnabled = false;
    unsigned Confirmed = 0;
    const auto Wait = [&S, &Confirmed](LogPosition Position) -> QCoro::Task<> {
      const bool Durable =
          co_await S.watcher().waitConfirmed(Position, steadyNow() + HangLimit);
      Confirmed += Durable ? 1 : 0;
    };
    for (unsigned I = 0; I < Writes; ++I)
      Wait(S.Group.write(0));
    const unsigned Before = S.Group.Servers[1].Statuses;
    REQUIRE(S.runUntil(
        [&S, Before] { return S.Group.Servers[1].Statuses > Before + 3; }));
    CHECK(Confirmed == 0);
    S.Group.replicate();
    const unsigned AtReplication =
        S.Group.Servers[1].Statuses + S.Group.Servers[2].Statuses;
    unsigned Needed = 0;
    REQUIRE(S.runUntil([&] {
      if (Confirmed == 0)
        Needed = S.Group.Servers[1].Statuses + S.Group.Servers[2].Statuses -
                 AtReplication;
      return Confirmed == Writes;
    }));
    // Each of the two replicas may have one poll in flight at the time of
    // replication and answers one more. The limit is twice that number, because
    // this test looks at the counters only every 2 ms.
    CHECK(Needed <= 8);
    CHECK(FakeBackendServer::MaxConcurrentCalls == 1);
  }
}

// Guards against a missing promotion, a needless promotion, and a promotion
// after which the other servers do not follow the new primary.
TEST_CASE("promotes a replica when the primary is unreachable") {
  struct Row {
    const char *Name;
    FakeMode Mode;
    bool StoreDown;
    bool Promotes;
  };
  const Row Rows[] = {
      {"connections refused", FakeMode::Refusing, false, true},
      {"no answers", FakeMode::Silent, false, true},
      {"connections refused, table store down", FakeMode::Refusing, true, true},
      {"open connection silent, a new one works",
       FakeMode::OpenConnectionSilent, false, false},
      {"open connection silent, connection limit reached",
       FakeMode::SilentAtConnectionLimit, false, false},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    GroupFixture S;
    REQUIRE(S.runUntilPrimaryIs("s0", 1));
    const LogPosition Before = S.Group.write(0);
    REQUIRE(confirmedWithin(S, Before, HangLimit));
    S.Store.Down = R.StoreDown;
    S.Group.Servers[0].Mode = R.Mode;
    if (!R.Promotes) {
      REQUIRE(S.runUntil([&S] { return S.Group.Servers[0].Probes > 0; }));
      const unsigned Before = S.Group.Servers[0].Statuses;
      CHECK(S.runUntil(
          [&S, Before] { return S.Group.Servers[0].Statuses > Before + 3; }));
      REQUIRE(S.runUntilPrimaryIs("s0", 1));
      CHECK(S.watcher().counts().Claims == 0);
      continue;
    }
    REQUIRE(S.runUntilPrimaryIs("s1", 2));
    CHECK(S.Group.Servers[1].State.Log.size() == Before.Index + 1);
    CHECK(confirmedWithin(S, S.Group.write(1), HangLimit));
    CHECK(S.Store.Rows.contains("claim/orders") != R.StoreDown);
    // The previous primary answers again and follows the new one.
    S.Group.Servers[0].Mode = FakeMode::Answering;
    CHECK(S.runUntil([&S] {
      return S.Group.Servers[0].State.Primary == ServerId("s1") &&
             S.Group.Servers[0].State.Role == ServerRole::Replica;
    }));
    CHECK(S.watcher().counts().Promotions == 1);
    CHECK(FakeBackendServer::MaxConcurrentCalls == 1);
  }
}

// Guards against watchers whose concurrent promotions keep preventing each
// other, and against promotions of more than one server.
TEST_CASE("several watchers promote exactly one primary") {
  for (const bool StoreDown : {false, true}) {
    CAPTURE(StoreDown);
    GroupFixture S(3, 3);
    REQUIRE(S.runUntilPrimaryIs("s0", 1));
    S.Store.Down = StoreDown;
    S.Group.Servers[0].Mode = FakeMode::Refusing;
    REQUIRE(S.runUntil(
        [&S] { return S.view()->TermNumber > 1 && S.view()->AcceptsWrites; }));
    unsigned Primaries = 0;
    for (const FakeGroup::Server &Server : S.Group.Servers)
      if (Server.State.Role == ServerRole::Primary &&
          Server.State.AdoptedTerm > 1)
        ++Primaries;
    CHECK(Primaries == 1);
  }
}

// Guards against writes that are accepted although no majority can confirm
// them.
TEST_CASE("refuses writes without a majority") {
  GroupFixture S;
  REQUIRE(S.runUntilPrimaryIs("s0", 1));
  CHECK(S.watcher().acceptsWrites(S.Time.now()));
  S.Group.Servers[1].Mode = FakeMode::Silent;
  S.Group.Servers[2].Mode = FakeMode::Silent;
  CHECK(S.runUntil([&S] { return !S.view()->AcceptsWrites; }));
  CHECK_FALSE(S.watcher().acceptsWrites(S.Time.now()));
  CHECK(S.watcher().counts().Promotions == 0);
  S.Group.Servers[1].Mode = FakeMode::Answering;
  CHECK(S.runUntil([&S] { return S.view()->AcceptsWrites; }));
}

// Guards against a watcher that loses its servers when the configuration
// changes, or that keeps watching removed ones.
TEST_CASE("applies a changed service configuration") {
  GroupFixture S(4);
  REQUIRE(S.runUntilPrimaryIs("s0", 1));
  ServiceConfig Smaller = S.Service;
  Smaller.Servers.pop_back();
  S.watcher().configure(Smaller, 1);
  CHECK(S.runUntil([&S] { return S.view()->Servers.size() == 3; }));
  ServiceConfig Marked = Smaller;
  Marked.Servers[2].Leaving = true;
  S.watcher().configure(Marked, 0);
  CHECK(S.runUntil([&S] {
    const ServerView *Server = S.view()->find(ServerId("s2"));
    return Server && Server->Leaving;
  }));
  S.watcher().configure(S.Service, 0);
  CHECK(S.runUntil([&S] {
    const ServerView *Server = S.view()->find(ServerId("s3"));
    return Server && Server->Reachable;
  }));
  CHECK(confirmedWithin(S, S.Group.write(0), HangLimit));
  CHECK(S.watcher().counts().Promotions == 0);
}

// Guards against writers that wait indefinitely for a stopped watcher, and
// against tasks that outlive it.
TEST_CASE("stop() wakes the waiting writers") {
  for (const FakeMode Mode :
       {FakeMode::Answering, FakeMode::Refusing, FakeMode::Silent}) {
    GroupFixture S;
    REQUIRE(S.runUntilPrimaryIs("s0", 1));
    S.Group.ReplicationEnabled = false;
    std::optional<bool> Confirmed;
    const auto Wait = [&S, &Confirmed](LogPosition Position) -> QCoro::Task<> {
      Confirmed =
          co_await S.watcher().waitConfirmed(Position, steadyNow() + HangLimit);
    };
    Wait(S.Group.write(0));
    for (FakeGroup::Server &Server : S.Group.Servers)
      Server.Mode = Mode;
    QCoro::waitFor(S.watcher().stop());
    CHECK(S.runUntil([&Confirmed] { return Confirmed.has_value(); }));
    CHECK(Confirmed == false);
    CHECK_FALSE(confirmedWithin(S, {1, 1000}, HangLimit));
    CHECK_FALSE(S.watcher().acceptsWrites(S.Time.now()));
  }
}
