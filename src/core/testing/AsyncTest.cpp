#include "core/Async.h"
#include "testing/TaskRunner.h"

#include <catch2/catch.hpp>

using namespace amaranthspur;

namespace {

QCoro::Task<> wakeLater(WaitPoint &Point) {
  co_await sleepFor(milliseconds(1));
  Point.wake();
}

QCoro::Task<bool> waitAt(WaitPoint &Point, TimePoint Deadline) {
  co_return co_await Point.wait(Deadline);
}

QCoro::Task<bool> waitForSignal(TaskCondition &S, int &Woken) {
  const bool Notified = co_await S.wait();
  ++Woken;
  co_return Notified;
}

QCoro::Task<> hold(TaskGroup &Group, WaitPoint &Release) {
  const TaskGroup::Guard Guard(Group);
  co_await Release.wait();
}

} // namespace

// Guards against a lost wake-up: a task that keeps waiting because it was woken
// before its wait began.
TEST_CASE("a wait ends with a wake-up or at its deadline") {
  struct Row {
    const char *Name;
    bool WakeBefore;
    bool WakeLater;
    Duration Limit;
    bool Expected;
  };
  const Row Rows[] = {
      {"woken before the wait", true, false, std::chrono::seconds(60), true},
      {"woken during the wait", false, true, std::chrono::seconds(60), true},
      {"deadline", false, false, milliseconds(2), false},
      {"deadline in the past", false, false, milliseconds(-5), false},
  };
  testApplication();
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    WaitPoint Point;
    if (R.WakeBefore)
      Point.wake();
    if (R.WakeLater)
      wakeLater(Point);
    CHECK(runTask(waitAt(Point, steadyNow() + R.Limit)) == R.Expected);
  }
}

// Guards against a wake-up that ends two waits.
TEST_CASE("one wait consumes the pending wake-up") {
  testApplication();
  WaitPoint Point;
  Point.wake();
  Point.wake();
  CHECK(runTask(waitAt(Point, NoDeadline)));
  CHECK_FALSE(runTask(waitAt(Point, steadyNow() + milliseconds(1))));
}

// Guards against a notification that wakes only one of several waiting tasks.
TEST_CASE("notifyAll wakes every waiting task") {
  testApplication();
  TaskCondition S;
  int Woken = 0;
  const QCoro::Task<bool> First = waitForSignal(S, Woken);
  const QCoro::Task<bool> Second = waitForSignal(S, Woken);
  S.notifyAll();
  CHECK(Woken == 0); // Tasks are never resumed inside notifyAll().
  for (int Round = 0; Round < 1000 && Woken < 2; ++Round)
    QCoreApplication::processEvents(QEventLoop::WaitForMoreEvents);
  CHECK(Woken == 2);
}

// Guards against an object that is destroyed while a task still uses it.
TEST_CASE("a task group is empty only after its last task has ended") {
  testApplication();
  TaskGroup Group;
  WaitPoint First;
  WaitPoint Second;
  hold(Group, First);
  hold(Group, Second);
  CHECK(Group.size() == 2);
  First.wake();
  CHECK_FALSE(runTask(Group.waitUntilEmpty(steadyNow() + milliseconds(1))));
  CHECK(Group.size() == 1);
  Second.wake();
  CHECK(runTask(Group.waitUntilEmpty()));
  CHECK(Group.size() == 0);
}

// Guards against a queue that grows beyond its capacity or loses entries that
// it accepted.
TEST_CASE(
    "a queue rejects entries beyond its capacity and returns the others") {
  AsyncQueue<int> Queue(2);
  CHECK(Queue.push(1));
  CHECK(Queue.push(2));
  CHECK_FALSE(Queue.push(3));
  Queue.close();
  CHECK_FALSE(Queue.push(4));
  CHECK(Queue.tryPop() == 1);
  CHECK(Queue.tryPop() == 2);
  CHECK_FALSE(Queue.tryPop());
}
