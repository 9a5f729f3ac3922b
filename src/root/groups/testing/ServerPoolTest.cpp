#include "root/groups/ServerPool.h"

#include "testing/TaskRunner.h"
#include "testing/line-group/LineGroup.h"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace amaranthspur;
using linegroup::FakeServer;
using linegroup::LineGroup;

namespace {

constexpr Duration WaitLimit = milliseconds(2000);

/// Acquires a connection, appends \p Name to \p Order and releases the
/// connection.
QCoro::Task<> use(ServerPool &Pool, unsigned Urgency, std::string For,
                  std::string Name, std::vector<std::string> &Order,
                  TaskGroup &Users) {
  const TaskGroup::Guard Guard(Users);
  LinkRequest Wanted;
  Wanted.For = WorkspaceName(For);
  Wanted.Urgency = Urgency;
  AcquiredLink Taken =
      co_await Pool.acquire(std::move(Wanted), steadyNow() + WaitLimit);
  auto *Link = std::get_if<std::unique_ptr<PooledLink>>(&Taken);
  if (!Link)
    co_return;
  Order.push_back(Name);
  co_await sleepFor(milliseconds(5));
  Pool.release(std::move(*Link));
}

QCoro::Task<> awaitAll(TaskGroup &Users) { co_await Users.waitUntilEmpty(); }

} // namespace

// Guards against an urgent statement that waits behind less urgent ones for the
// only connection, against a task that overtakes an earlier one of equal
// urgency and the same workspace, and against a workspace that makes the others
// wait for all of its tasks.
TEST_CASE("a connection goes to the most urgent task, then to the oldest") {
  struct User {
    const char *Name;
    unsigned Urgency;
    const char *For = "";
  };
  struct Row {
    const char *Name;
    std::vector<User> Users; ///< By arrival; the first gets the connection.
    std::vector<std::string> Order;
  };
  const Row Rows[] = {
      {"equal urgency", {{"a", 1}, {"b", 1}, {"c", 1}}, {"a", "b", "c"}},
      {"an urgent task comes last",
       {{"a", 2}, {"b", 2}, {"c", 2}, {"d", 1}},
       {"a", "d", "b", "c"}},
      {"urgent tasks come in between",
       {{"a", 2}, {"b", 1}, {"c", 2}, {"d", 1}, {"e", 0}},
       {"a", "e", "b", "d", "c"}},
      {"workspaces in turn",
       {{"a", 1, "x"}, {"b", 1, "x"}, {"c", 1, "x"}, {"d", 1, "y"}},
       {"a", "b", "d", "c"}},
      {"urgency before turns",
       {{"a", 1, "x"}, {"b", 1, "x"}, {"c", 2, "y"}, {"d", 1, "x"}},
       {"a", "b", "d", "c"}},
  };
  testApplication();
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    LineGroup Group;
    const auto Owned =
        std::make_shared<ServerPool>(Group, Group.registrations().front());
    ServerPool &Pool = *Owned;
    Pool.share().setMaximum(1);
    // A refusal reduces the share to one connection.
    Pool.share().observeRefusal(1, steadyNow());
    std::vector<std::string> Order;
    TaskGroup Users;
    for (const User &U : R.Users)
      use(Pool, U.Urgency, U.For, U.Name, Order, Users);
    runTask(awaitAll(Users));
    CHECK(Order == R.Order);
    CHECK(Pool.open() == 1);
  }
}

// Guards against a pool that keeps connections beyond its share, which other
// entry VMs need.
TEST_CASE("a connection beyond the share is closed when it is released") {
  testApplication();
  LineGroup Group;
  const auto Owned =
      std::make_shared<ServerPool>(Group, Group.registrations().front());
  ServerPool &Pool = *Owned;
  Pool.share().setMaximum(33);
  std::vector<std::unique_ptr<PooledLink>> Links;
  for (int I = 0; I < 3; ++I) {
    AcquiredLink Taken =
        runTask(Pool.acquire(LinkRequest(), steadyNow() + WaitLimit));
    auto *Link = std::get_if<std::unique_ptr<PooledLink>>(&Taken);
    REQUIRE(Link);
    Links.push_back(std::move(*Link));
  }
  Pool.share().observeRefusal(3, steadyNow());
  REQUIRE(Pool.share().limit(steadyNow()) == 2);
  for (std::unique_ptr<PooledLink> &Link : Links)
    Pool.release(std::move(Link));
  CHECK(Pool.open() == 2);
  Pool.closeIdle(steadyNow() + ConnectionShare::IdleTimeout * 2);
  CHECK(Pool.open() == 0);
}

// Guards against a statement that runs on the connection of another workspace,
// and against a pool that cannot serve a workspace because idle connections of
// others use up its share.
TEST_CASE("a connection serves one workspace") {
  struct Row {
    const char *Name;
    std::size_t Share;
    std::vector<std::string> Users; ///< Workspaces, one after the other.
    std::vector<std::string> Opened;
    std::size_t Open; ///< At the end.
  };
  const Row Rows[] = {
      {"one workspace", 2, {"x", "x", "x"}, {"x"}, 1},
      {"two workspaces", 2, {"x", "y", "x", "y"}, {"x", "y"}, 2},
      {"the least recently used one is closed",
       2,
       {"x", "y", "x", "z", "x", "y"},
       {"x", "y", "z", "y"},
       2},
      {"without a workspace", 2, {"", "x", ""}, {"", "x"}, 2},
      {"any connection serves the proxy itself",
       2,
       {"x", "any", "any"},
       {"x"},
       1},
  };
  testApplication();
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    LineGroup Group;
    const RegisteredServer Server = Group.registrations().front();
    const auto Owned = std::make_shared<ServerPool>(Group, Server);
    ServerPool &Pool = *Owned;
    Pool.share().setMaximum(R.Share);
    // A refusal keeps the share from growing.
    Pool.share().observeRefusal(3, steadyNow());
    REQUIRE(Pool.share().limit(steadyNow()) == R.Share);
    for (const std::string &User : R.Users) {
      LinkRequest Wanted;
      if (User != "any")
        Wanted.For = WorkspaceName(User);
      AcquiredLink Taken =
          runTask(Pool.acquire(Wanted, steadyNow() + WaitLimit));
      auto *Link = std::get_if<std::unique_ptr<PooledLink>>(&Taken);
      REQUIRE(Link);
      if (Wanted.For)
        CHECK((*Link)->For == *Wanted.For);
      Pool.release(std::move(*Link));
    }
    CHECK(Group[Server.Id.str()].OpenedFor == R.Opened);
    CHECK(Pool.open() == R.Open);
  }
}

// Guards against a healthy but distant server that is taken for an unreachable
// one because the statement's own deadline ends before the connection is open,
// against the loss of the slot time of a connection that was opened late, and
// against a statement that waits until it is too late to answer.
TEST_CASE("a task's short deadline does not end the opening of a connection") {
  struct Row {
    const char *Name;
    Duration OpenDelay;
    bool First; ///< Whether the first task gets the connection.
    bool Kept;  ///< Whether the next task finds it open.
    /// Time after which the first task must go on.
    Duration Latest = std::chrono::seconds(5);
  };
  const Row Rows[] = {
      {"opened at once", Duration::zero(), true, true},
      {"opened after the deadline", milliseconds(50), true, true},
      {"opened after the wait", milliseconds(200), false, true},
      {"the answer is due before that", milliseconds(50), false, true,
       milliseconds(25)},
  };
  testApplication();
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    LineGroup Group;
    Group.OpenDelay = [&R](const FakeServer &) { return R.OpenDelay; };
    const auto Pool =
        std::make_shared<ServerPool>(Group, Group.registrations().front());
    Pool->share().setMaximum(33);
    LinkRequest Wanted;
    Wanted.LatestEnd = steadyNow() + R.Latest;
    AcquiredLink Taken =
        runTask(Pool->acquire(Wanted, steadyNow() + milliseconds(20)));
    auto *Link = std::get_if<std::unique_ptr<PooledLink>>(&Taken);
    CHECK((Link != nullptr) == R.First);
    const auto *Failure = std::get_if<OpenFailure>(&Taken);
    CHECK((Failure && Failure->GivenUp) == (R.Latest < R.OpenDelay));
    if (Link)
      Pool->release(std::move(*Link));
    runTask(Pool->finishOpening());
    CHECK(Pool->open() == (R.Kept ? 1 : 0));
    AcquiredLink Next =
        runTask(Pool->acquire(LinkRequest(), steadyNow() + WaitLimit));
    CHECK(std::holds_alternative<std::unique_ptr<PooledLink>>(Next));
    CHECK(Group["a"].OpenedConnections == 1);
  }
}

// Guards against a home that closes the connections of workspaces which it
// could keep, so that the next statement of each opens one, against one that
// keeps them for so long that the server closes them, and against connections
// that stay open beyond a reduced share.
TEST_CASE("a home keeps idle connections for workspaces") {
  struct Row {
    const char *Name;
    bool IsHome;
    Duration After;   ///< Between the last use and the check.
    bool Refused;     ///< Whether the server has refused a connection.
    std::size_t Open; ///< Of 4 connections, each of another workspace.
  };
  const Row Rows[] = {
      {"soon", true, milliseconds(500), false, 4},
      {"later", true, std::chrono::seconds(45), false, 4},
      {"before the server closes them", true, std::chrono::seconds(55), false,
       0},
      {"the share is reduced", true, milliseconds(500), true, 3},
      {"another entry VM", false, milliseconds(900), false, 2},
      {"another entry VM later", false, milliseconds(1100), false, 0},
  };
  testApplication();
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    LineGroup Group;
    const auto Owned =
        std::make_shared<ServerPool>(Group, Group.registrations().front());
    ServerPool &Pool = *Owned;
    Pool.share().setMaximum(70);
    Pool.share().setSharers(67);
    Pool.share().setHomes({12});
    if (R.IsHome)
      Pool.share().observeHomeUse(steadyNow());
    for (const char *Of : {"w1", "w2", "w3", "w4"}) {
      LinkRequest Wanted;
      Wanted.For = WorkspaceName(Of);
      AcquiredLink Taken =
          runTask(Pool.acquire(Wanted, steadyNow() + WaitLimit));
      auto *Link = std::get_if<std::unique_ptr<PooledLink>>(&Taken);
      REQUIRE(Link);
      Pool.release(std::move(*Link));
    }
    if (R.Refused)
      Pool.share().observeRefusal(4, steadyNow());
    Pool.closeIdle(steadyNow() + R.After);
    CHECK(Pool.open() == R.Open);
  }
}

// Guards against status calls that close the connection of a workspace or open
// one of their own although an idle one would do: a group makes one every
// 550 ms.
TEST_CASE("a status call uses an idle connection of any workspace") {
  testApplication();
  for (const std::size_t Idle : {1, 2, 4}) {
    CAPTURE(Idle);
    LineGroup Group;
    const RegisteredServer Server = Group.registrations().front();
    const auto Owned = std::make_shared<ServerPool>(Group, Server);
    ServerPool &Pool = *Owned;
    Pool.share().setMaximum(70);
    Pool.share().setHomes({12});
    Pool.share().observeHomeUse(steadyNow());
    std::vector<std::string> Opened;
    for (std::size_t I = 0; I < Idle; ++I) {
      LinkRequest Wanted;
      Wanted.For = WorkspaceName("w" + std::to_string(I));
      Opened.push_back(Wanted.For->str());
      AcquiredLink Taken =
          runTask(Pool.acquire(Wanted, steadyNow() + WaitLimit));
      Pool.release(std::move(std::get<std::unique_ptr<PooledLink>>(Taken)));
    }
    for (int Call = 0; Call < 5; ++Call) {
      AcquiredLink Taken =
          runTask(Pool.acquire(LinkRequest(), steadyNow() + WaitLimit));
      auto *Link = std::get_if<std::unique_ptr<PooledLink>>(&Taken);
      REQUIRE(Link);
      CHECK_FALSE((*Link)->For.empty());
      Pool.release(std::move(*Link));
    }
    CHECK(Group[Server.Id.str()].OpenedFor == Opened);
    CHECK(Pool.open() == Idle);
  }
}

// Guards against a status call that occupies the connection which a workspace
// needs next, so that its statement opens another one, and against one that
// keeps a connection without a workspace, or an unused one, in a home's share.
TEST_CASE(
    "a status call leaves recently used connections to their workspaces") {
  struct Row {
    const char *Name;
    bool IsHome;
    std::vector<std::string> Idle; ///< Workspaces, in the order of their use.
    std::string Used;              ///< By the status call.
    std::string Evicted;           ///< By the next workspace, at a home.
  };
  const Row Rows[] = {
      {"the oldest one", true, {"x", "y", "z", "u"}, "x", "x"},
      {"not the one without a workspace", true, {"", "x", "y", "z"}, "x", ""},
      {"only one without a workspace", true, {""}, "", ""},
      {"another entry VM", false, {"x", "", "y"}, "", ""},
      {"another entry VM, workspaces only", false, {"x", "y"}, "x", ""},
  };
  testApplication();
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    LineGroup Group;
    const auto Owned =
        std::make_shared<ServerPool>(Group, Group.registrations().front());
    ServerPool &Pool = *Owned;
    Pool.share().setMaximum(70);
    Pool.share().setHomes({12});
    if (R.IsHome)
      Pool.share().observeHomeUse(steadyNow());
    const auto Acquire = [&Pool](std::optional<std::string> Of) {
      LinkRequest Wanted;
      if (Of)
        Wanted.For = WorkspaceName(*Of);
      AcquiredLink Taken =
          runTask(Pool.acquire(Wanted, steadyNow() + WaitLimit));
      auto *Link = std::get_if<std::unique_ptr<PooledLink>>(&Taken);
      REQUIRE(Link);
      return std::move(*Link);
    };
    for (const std::string &Of : R.Idle)
      Pool.release(Acquire(Of));
    std::unique_ptr<PooledLink> Used = Acquire(std::nullopt);
    CHECK(Used->For == WorkspaceName(R.Used));
    Pool.release(std::move(Used));
    if (R.Idle.size() < 4)
      continue;
    Pool.release(Acquire("new"));
    for (const std::string &Of : R.Idle)
      CHECK(Pool.hasIdle(WorkspaceName(Of)) == (Of != R.Evicted));
  }
}
