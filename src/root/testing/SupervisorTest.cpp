#include "root/Supervisor.h"
#include "testing/TaskRunner.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace amaranthspur;

namespace {

/// A child that records its starts and stops and fails a given number of
/// starts.
class RecordingChild final : public Child {
public:
  RecordingChild(std::string Name, std::vector<std::string> &Record,
                 int FailingStarts)
      : Name(std::move(Name)), Record(Record), FailingStarts(FailingStarts) {}

  std::string_view name() const override { return this->Name; }
  QCoro::Task<Result<Success>> start() override {
    this->Record.push_back("start " + this->Name);
    if (this->FailingStarts-- > 0)
      co_return Error{"no"};
    co_return Success();
  }
  void failNextStarts(int Count) { this->FailingStarts = Count; }
  QCoro::Task<> stop(TimePoint) override {
    this->Record.push_back("stop " + this->Name);
    co_return;
  }

private:
  std::string Name;
  std::vector<std::string> &Record;
  int FailingStarts;
};

/// A child whose stop does not end before end() is called.
class HangingChild final : public Child {
public:
  explicit HangingChild(std::string Name) : Name(std::move(Name)) {}
  std::string_view name() const override { return this->Name; }
  QCoro::Task<Result<Success>> start() override {
    const Result<Success> Started = Success();
    co_return Started;
  }
  QCoro::Task<> stop(TimePoint) override {
    co_await this->Ended.wait();
    this->HasEnded = true;
  }
  void end() {
    this->Ended.wake();
    while (!this->HasEnded)
      QCoreApplication::processEvents(QEventLoop::WaitForMoreEvents);
  }

private:
  std::string Name;
  WaitPoint Ended;
  bool HasEnded = false;
};

} // namespace

// Guards against a process that outlives its grace time because one component
// does not stop, and against components that are then not stopped at all.
TEST_CASE("a stop ends in time whatever the children wait for") {
  struct Row {
    const char *Name;
    bool FirstHangs;
    bool LastHangs;
  };
  const Row Rows[] = {{"the child that stops first", false, true},
                      {"the child that stops last", true, false},
                      {"all children but one", true, true}};
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    testApplication();
    std::vector<std::string> Record;
    HangingChild First("first");
    RecordingChild Middle("middle", Record, 0);
    HangingChild Last("last");
    Supervisor Root([](std::string_view, const Error &) {});
    if (R.FirstHangs)
      Root.add(First);
    Root.add(Middle);
    if (R.LastHangs)
      Root.add(Last);
    REQUIRE(succeeded(runTask(Root.start())));
    const TimePoint Begun = steadyNow();
    constexpr Duration Limit = milliseconds(100);
    // The watch fails the test instead of waiting for ever.
    TaskGroup Stopping;
    const auto Stop = [](Supervisor &Root, TimePoint Deadline,
                         TaskGroup &Stopping) -> QCoro::Task<> {
      const TaskGroup::Guard Guard(Stopping);
      co_await Root.stop(Deadline, Deadline + milliseconds(100));
    };
    Stop(Root, Begun + Limit, Stopping);
    const bool Stopped =
        runTask(Stopping.waitUntilEmpty(Begun + std::chrono::seconds(5)));
    CHECK(Stopped);
    if (Stopped)
      CHECK(steadyNow() - Begun < std::chrono::seconds(2));
    CHECK(std::count(Record.begin(), Record.end(), "stop middle") == 1);
    if (R.FirstHangs)
      First.end();
    if (R.LastHangs)
      Last.end();
    // A stop that has failed the test is ended before its children go.
    runTask(Stopping.waitUntilEmpty(steadyNow() + std::chrono::seconds(5)));
  }
}

// Guards against a child that starts before the children that it needs, or
// stops after them.
TEST_CASE("children start in order and stop in the reverse order") {
  std::vector<std::string> Record;
  RecordingChild A("a", Record, 0);
  RecordingChild B("b", Record, 0);
  Supervisor Root([](std::string_view, const Error &) {});
  Root.add(A);
  Root.add(B);
  CHECK(succeeded(runTask(Root.start())));
  runTask(Root.stop(steadyNow(), steadyNow()));
  CHECK(Record ==
        std::vector<std::string>{"start a", "start b", "stop b", "stop a"});
}

// Guards against a daemon that runs although one of its components has never
// started.
TEST_CASE("a child that fails its first start is an error") {
  std::vector<std::string> Record;
  RecordingChild A("a", Record, 1);
  Supervisor Root([](std::string_view, const Error &) {});
  Root.add(A);
  const Result<Success> Started = runTask(Root.start());
  REQUIRE_FALSE(succeeded(Started));
  CHECK(errorOf(Started) == "a: no");
}

// Guards against a failed child that is not restarted, whose restart is tried
// only once, or whose failure stops its siblings.
TEST_CASE("only the failed child is restarted, until it starts") {
  struct Row {
    int FailingRestarts;
    unsigned Restarts;
  };
  for (const Row &R : {Row{0, 1}, Row{2, 3}}) {
    CAPTURE(R.FailingRestarts);
    std::vector<std::string> Record;
    RecordingChild A("a", Record, 0);
    RecordingChild B("b", Record, 0);
    unsigned Restarts = 0;
    Supervisor Root(
        [&Restarts](std::string_view, const Error &) { ++Restarts; });
    Root.add(A);
    Root.add(B);
    CHECK(succeeded(runTask(Root.start())));
    B.failNextStarts(R.FailingRestarts);
    B.OnFailure(Error{"lost"});
    // The record has the two first starts, one stop and then the restarts.
    while (Record.size() < 3 + R.Restarts)
      QCoreApplication::processEvents(QEventLoop::WaitForMoreEvents);
    CHECK(Restarts == R.Restarts);
    CHECK(std::count(Record.begin(), Record.end(), "start a") == 1);
    CHECK(std::count(Record.begin(), Record.end(), "stop a") == 0);
    runTask(Root.stop(steadyNow(), steadyNow()));
  }
}
