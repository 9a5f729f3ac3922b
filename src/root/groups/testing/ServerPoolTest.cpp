#include "root/groups/ServerPool.h"

#include "testing/TaskRunner.h"
#include "testing/line-group/LineGroup.h"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace amaranthspur;
using linegroup::LineGroup;

namespace {

constexpr Duration WaitLimit = milliseconds(2000);

/// Takes a connection, notes \p Name and gives the connection back.
QCoro::Task<> use(ServerPool &Pool, unsigned Urgency, std::string Name,
                  std::vector<std::string> &Order, TaskGroup &Users) {
  const TaskGroup::Guard Guard(Users);
  TakenLink Taken = co_await Pool.take({}, Urgency, steadyNow() + WaitLimit);
  auto *Link = std::get_if<std::unique_ptr<PooledLink>>(&Taken);
  if (!Link)
    co_return;
  Order.push_back(Name);
  co_await sleepFor(milliseconds(5));
  Pool.giveBack(std::move(*Link));
}

QCoro::Task<> awaitAll(TaskGroup &Users) { co_await Users.empty(); }

} // namespace

// Guards against short urgent work that waits behind a crowd of other work for
// the only connection, and against tasks that overtake their equals.
TEST_CASE("a connection goes to the most urgent work, then to the oldest") {
  struct User {
    const char *Name;
    unsigned Urgency;
  };
  struct Row {
    const char *Name;
    std::vector<User> Users; ///< As they come; the first gets it at once.
    std::vector<std::string> Order;
  };
  const Row Rows[] = {
      {"equals", {{"a", 1}, {"b", 1}, {"c", 1}}, {"a", "b", "c"}},
      {"urgent work comes last",
       {{"a", 2}, {"b", 2}, {"c", 2}, {"d", 1}},
       {"a", "d", "b", "c"}},
      {"urgent work comes between",
       {{"a", 2}, {"b", 1}, {"c", 2}, {"d", 1}, {"e", 0}},
       {"a", "e", "b", "d", "c"}},
  };
  testApplication();
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    LineGroup Group;
    ServerPool Pool(Group, Group.registrations().front());
    Pool.share().setMaximum(1);
    // A refusal leaves a share of one connection.
    Pool.share().refused(1, steadyNow());
    std::vector<std::string> Order;
    TaskGroup Users;
    for (const User &U : R.Users)
      use(Pool, U.Urgency, U.Name, Order, Users);
    runTask(awaitAll(Users));
    CHECK(Order == R.Order);
    CHECK(Pool.open() == 1);
  }
}

// Guards against connections beyond the share that are kept from other entry
// VMs.
TEST_CASE("a connection beyond the share is closed when it is given back") {
  testApplication();
  LineGroup Group;
  ServerPool Pool(Group, Group.registrations().front());
  Pool.share().setMaximum(33);
  std::vector<std::unique_ptr<PooledLink>> Links;
  for (int I = 0; I < 3; ++I) {
    TakenLink Taken = runTask(Pool.take({}, 0, steadyNow() + WaitLimit));
    auto *Link = std::get_if<std::unique_ptr<PooledLink>>(&Taken);
    REQUIRE(Link);
    Links.push_back(std::move(*Link));
  }
  Pool.share().refused(3, steadyNow());
  REQUIRE(Pool.share().limit() == 2);
  for (std::unique_ptr<PooledLink> &Link : Links)
    Pool.giveBack(std::move(Link));
  CHECK(Pool.open() == 2);
  Pool.closeIdle(steadyNow() + ConnectionShare::IdleLimit * 2);
  CHECK(Pool.open() == 0);
}
