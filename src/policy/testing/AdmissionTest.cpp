#include "policy/Admission.h"
#include "policy/FairAdmission.h"

#include <catch2/catch.hpp>

#include <functional>
#include <map>

using namespace amaranthspur;

namespace {

constexpr TimePoint Start{std::chrono::seconds(1000)};

ServiceConfig service() {
  ServiceConfig Service;
  Service.Classes.push_back(
      {ClassName("quick"), std::chrono::seconds(2), milliseconds(5)});
  Service.Classes.push_back(
      {ClassName("report"), std::chrono::seconds(60), milliseconds(500)});
  Service.Callers.push_back({CallerName("heavy"), 3, ClassName("quick")});
  return Service;
}

WorkItem work(WorkId Id, const std::string &Caller,
              const std::string &Class = "quick",
              Duration Deadline = std::chrono::seconds(2)) {
  WorkItem Item;
  Item.Id = Id;
  Item.Caller = CallerName(Caller);
  Item.Class = ClassName(Class);
  Item.Deadline = Start + Deadline;
  Item.Bytes = 100;
  return Item;
}

WorkItem inTransaction(WorkItem Item) {
  Item.InTransaction = true;
  return Item;
}

/// Runs all queued work one after another, for 5 ms each, and returns the
/// order.
std::vector<WorkId> runInOrder(Admission &Policy, TimePoint Now = Start) {
  std::vector<WorkId> Order;
  while (const auto Id = Policy.next(Now)) {
    Order.push_back(*Id);
    Now += milliseconds(5);
    Policy.finished(*Id, Now);
  }
  return Order;
}

AdmissionLimits limits(unsigned Slots) {
  AdmissionLimits Limits;
  Limits.Slots = Slots;
  return Limits;
}

} // namespace

// Guards against a caller that delays others by queueing much work, and against
// work with an early deadline that waits for work with a late one.
TEST_CASE("work is started in fair order") {
  struct Row {
    const char *Name;
    std::vector<WorkItem> Submitted;
    std::vector<WorkId> Fair;
    std::vector<WorkId> Fifo;
  };
  const Row Rows[] = {
      {"one caller, in order of arrival",
       {work(1, "a"), work(2, "a"), work(3, "a")},
       {1, 2, 3},
       {1, 2, 3}},
      {"two callers take turns",
       {work(1, "a"), work(2, "a"), work(3, "a"), work(4, "b"), work(5, "b")},
       {1, 4, 2, 5, 3},
       {1, 2, 3, 4, 5}},
      {"weight 3 against 1",
       {work(1, "a"), work(2, "a"), work(3, "heavy"), work(4, "heavy"),
        work(5, "heavy"), work(6, "heavy")},
       {1, 3, 4, 5, 2, 6},
       {1, 2, 3, 4, 5, 6}},
      {"earliest deadline first within a caller",
       {work(1, "a", "quick", milliseconds(900)),
        work(2, "a", "quick", milliseconds(300)),
        work(3, "a", "quick", milliseconds(600))},
       {2, 3, 1},
       {1, 2, 3}},
      {"open transactions first",
       {work(1, "a"), work(2, "b"), inTransaction(work(3, "c"))},
       {3, 1, 2},
       {1, 2, 3}},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    const auto Fair = makeFairAdmission(service(), limits(1));
    const auto Fifo = makeFifoAdmission(service(), limits(1));
    for (const WorkItem &Item : R.Submitted) {
      CHECK_FALSE(Fair->submit(Item, Start));
      CHECK_FALSE(Fifo->submit(Item, Start));
    }
    CHECK(runInOrder(*Fair) == R.Fair);
    CHECK(runInOrder(*Fifo) == R.Fifo);
  }
}

// Guards against unbounded queues, and against accepting work that is certain
// to miss its deadline.
TEST_CASE("work that cannot be served is refused early") {
  struct Row {
    const char *Name;
    AdmissionLimits Limits;
    std::vector<WorkItem> Before;
    WorkItem Item;
    std::optional<RefusalReason> Expected;
  };
  std::vector<WorkItem> Many;
  for (WorkId Id = 1; Id <= 100; ++Id)
    Many.push_back(work(Id, "a", "quick", std::chrono::seconds(9)));
  std::vector<WorkItem> TooMany;
  for (WorkId Id = 1; Id <= 300; ++Id)
    TooMany.push_back(work(Id, "a", "quick", std::chrono::seconds(9)));
  const Row Rows[] = {
      {"empty queue", limits(1), {}, work(500, "a"), std::nullopt},
      {"deadline passed",
       limits(1),
       {},
       work(500, "a", "quick", Duration::zero()),
       RefusalReason::DeadlineExpired},
      {"another caller's queue does not add to the wait", limits(1), Many,
       work(500, "b", "quick", milliseconds(4)),
       std::nullopt}, // Admitted as a trial: this caller expects no wait.
      {"the deadline allows for the caller's own queue", limits(1), Many,
       work(500, "a", "quick", std::chrono::seconds(10)), std::nullopt},
      {"room behind the caller's own work",
       limits(1),
       {work(1, "a", "quick", milliseconds(100)),
        work(2, "a", "quick", milliseconds(100)),
        work(3, "a", "quick", milliseconds(100)),
        work(4, "a", "quick", milliseconds(100))},
       work(500, "a", "quick", milliseconds(101)),
       std::nullopt},
      {"no room behind the caller's own work",
       limits(1),
       {work(1, "a", "quick", milliseconds(20)),
        work(2, "a", "quick", milliseconds(20)),
        work(3, "a", "quick", milliseconds(20))},
       work(500, "a", "quick", milliseconds(21)),
       RefusalReason::DeadlineUnreachable},
      {"ahead of the caller's work with later deadlines", limits(1), Many,
       work(500, "a", "quick", milliseconds(20)), std::nullopt},
      {"an expected wait of more than a second", limits(1), TooMany,
       work(500, "a", "quick", std::chrono::seconds(60)),
       RefusalReason::Overloaded},
      {"limit of entries of all callers",
       {1, 2, 100, 1000000},
       {work(1, "a"), work(2, "b")},
       work(500, "c"),
       RefusalReason::Overloaded},
      {"limit of entries of one caller",
       {1, 100, 2, 1000000},
       {work(1, "a"), work(2, "a")},
       work(500, "a"),
       RefusalReason::Overloaded},
      {"another caller has room",
       {1, 100, 2, 1000000},
       {work(1, "a"), work(2, "a")},
       work(500, "b"),
       std::nullopt},
      {"limit of bytes",
       {1, 100, 100, 250},
       {work(1, "a"), work(2, "b")},
       work(500, "c"),
       RefusalReason::Overloaded},
      {"an identifier in use",
       limits(1),
       {work(500, "a")},
       work(500, "a"),
       RefusalReason::Overloaded},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    const auto Policy = makeFairAdmission(service(), R.Limits);
    for (const WorkItem &Item : R.Before)
      (void)Policy->submit(Item, Start);
    const auto Refused = Policy->submit(R.Item, Start);
    CHECK(Refused.has_value() == R.Expected.has_value());
    if (Refused && R.Expected) {
      CHECK(Refused->Reason == *R.Expected);
      CHECK(Refused->Kind == RefusalKind::NotRun);
    }
  }
}

// Guards against long work that occupies the slots reserved for short work, and
// against slots that are left idle without need.
TEST_CASE("long work leaves slots for short work") {
  struct Row {
    const char *Name;
    bool ShortArrived;
    Duration Later;
    unsigned ExpectedLong;
  };
  const Row Rows[] = {
      {"no short work", false, Duration::zero(), 4},
      {"recent short work", true, milliseconds(10), 3},
      {"short work more than a second ago", true, milliseconds(1500), 4},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    const auto Policy = makeFairAdmission(service(), limits(5));
    if (R.ShortArrived) {
      REQUIRE_FALSE(Policy->submit(work(100, "s"), Start));
      REQUIRE(Policy->next(Start) == 100);
      Policy->finished(100, Start + milliseconds(5));
    }
    const TimePoint Now = Start + R.Later;
    for (WorkId Id = 1; Id <= 8; ++Id)
      REQUIRE_FALSE(Policy->submit(
          work(Id, "l", "report", std::chrono::seconds(60)), Now));
    unsigned Started = 0;
    while (Policy->next(Now))
      ++Started;
    CHECK(Started == R.ExpectedLong);
    CHECK(Policy->stats().RunningLong == R.ExpectedLong);
    REQUIRE_FALSE(
        Policy->submit(work(200, "s", "quick", std::chrono::seconds(9)), Now));
    CHECK(Policy->next(Now) == 200);
  }
}

// Guards against long-running statements of a short class that occupy all slots
// without being counted as long.
TEST_CASE("a statement that overruns counts as long and keeps running") {
  const auto Policy = makeFairAdmission(service(), limits(5));
  for (WorkId Id = 1; Id <= 8; ++Id)
    REQUIRE_FALSE(
        Policy->submit(work(Id, "a", "quick", std::chrono::seconds(9)), Start));
  for (int I = 0; I < 3; ++I)
    REQUIRE(Policy->next(Start));
  const TimePoint Later = Start + milliseconds(51);
  // Queued work of the same shape counts as long now, and the three running
  // statements already hold all slots for long work.
  CHECK_FALSE(Policy->next(Later));
  CHECK(Policy->stats().RunningLong == 3);
  CHECK(Policy->stats().Running == 3);
  WorkItem Other = work(20, "b");
  Other.Shape = 2;
  REQUIRE_FALSE(Policy->submit(Other, Later));
  CHECK(Policy->next(Later) == 20);
  Policy->finished(1, Later + milliseconds(1));
  CHECK(Policy->next(Later + milliseconds(1)));
}

// Guards against queue entries or slots that are leaked.
TEST_CASE("withdrawn, expired and finished work is removed completely") {
  using Make = std::unique_ptr<Admission> (*)(const ServiceConfig &,
                                              const AdmissionLimits &);
  struct Row {
    const char *Name;
    Make MakePolicy;
  };
  const Row Rows[] = {{"fair", makeFairAdmission}, {"fifo", makeFifoAdmission}};
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    const auto Policy = R.MakePolicy(service(), limits(1));
    REQUIRE_FALSE(Policy->submit(work(1, "a"), Start));
    REQUIRE_FALSE(
        Policy->submit(work(2, "a", "quick", milliseconds(40)), Start));
    REQUIRE_FALSE(Policy->submit(work(3, "b"), Start));
    REQUIRE_FALSE(Policy->submit(inTransaction(work(4, "b")), Start));
    REQUIRE(Policy->stats().Queued == 4);
    Policy->withdraw(3);
    Policy->withdraw(99);
    Policy->withdraw(4);
    CHECK(Policy->stats().Queued == 2);
    const auto Expired = Policy->expire(Start + milliseconds(50));
    REQUIRE(Expired.size() == 1);
    CHECK(Expired[0].Id == 2);
    CHECK(Policy->expire(Start + milliseconds(50)).empty());
    CHECK(Policy->next(Start + milliseconds(50)) == 1);
    Policy->withdraw(1); // Ignored, because the work is running.
    CHECK(Policy->stats().Running == 1);
    Policy->finished(99, Start + milliseconds(51));
    Policy->finished(1, Start + milliseconds(55));
    CHECK(Policy->stats().Running == 0);
    CHECK(Policy->stats().Queued == 0);
    CHECK_FALSE(Policy->next(Start + milliseconds(60)));
  }
}

// Guards against refusing a shape for ever because it was slow once.
TEST_CASE("a shape that seems too slow gets one trial per second") {
  const auto Policy = makeFairAdmission(service(), limits(1));
  REQUIRE_FALSE(Policy->submit(work(1, "a"), Start));
  REQUIRE(Policy->next(Start) == 1);
  Policy->finished(1, Start + std::chrono::seconds(10));
  const auto Submit = [&Policy](WorkId Id, TimePoint Now) {
    WorkItem Item = work(Id, "a");
    Item.Deadline = Now + std::chrono::seconds(2);
    return Policy->submit(Item, Now);
  };
  const TimePoint Now = Start + std::chrono::seconds(10);
  CHECK_FALSE(Submit(2, Now));
  REQUIRE(Policy->next(Now) == 2);
  Policy->finished(2, Now + milliseconds(5));
  CHECK(Submit(3, Now + milliseconds(10)));
  CHECK_FALSE(Submit(4, Now + milliseconds(1100)));
}

// Guards against a change of configuration that loses work or has no effect.
TEST_CASE("queued work is kept when the configuration changes") {
  const auto Policy = makeFairAdmission(service(), limits(1));
  for (WorkId Id = 1; Id <= 4; ++Id)
    REQUIRE_FALSE(Policy->submit(work(Id, Id <= 2 ? "a" : "b"), Start));
  ServiceConfig Changed = service();
  Changed.Callers.push_back({CallerName("b"), 10, ClassName("quick")});
  Policy->configure(Changed, limits(2));
  CHECK(Policy->stats().Queued == 4);
  CHECK(Policy->stats().Concurrency == 2);
  CHECK(Policy->next(Start) == 1);
  CHECK(Policy->next(Start) == 3);
  CHECK_FALSE(Policy->next(Start));
  Policy->finished(3, Start + milliseconds(5));
  CHECK(Policy->next(Start + milliseconds(5)) == 4);
}

// Guards against memory use that grows with the number of caller names.
TEST_CASE("idle callers are removed") {
  const auto Policy = makeFairAdmission(service(), limits(5));
  TimePoint Now = Start;
  for (WorkId Id = 1; Id <= 3 * FairAdmission::MaxCallers; ++Id) {
    WorkItem Item = work(Id, "caller-" + std::to_string(Id));
    Item.Deadline = Now + std::chrono::seconds(1);
    REQUIRE_FALSE(Policy->submit(Item, Now));
    REQUIRE(Policy->next(Now) == Id);
    Now += milliseconds(1);
    Policy->finished(Id, Now);
  }
}
