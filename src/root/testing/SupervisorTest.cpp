#include "root/Supervisor.h"
#include "testing/TaskRunner.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace amaranthspur;

namespace {

/// A child that notes what is done with it and fails as many starts as told.
class RecordedChild final : public Child {
public:
  RecordedChild(std::string Name, std::vector<std::string> &Record,
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

} // namespace

// Guards against children that start before what they need, or stop after it.
TEST_CASE("children start in order and stop in reverse") {
  std::vector<std::string> Record;
  RecordedChild A("a", Record, 0);
  RecordedChild B("b", Record, 0);
  Supervisor Root([](std::string_view, const Error &) {});
  Root.add(A);
  Root.add(B);
  CHECK(succeeded(runTask(Root.start())));
  runTask(Root.stop(steadyNow()));
  CHECK(Record ==
        std::vector<std::string>{"start a", "start b", "stop b", "stop a"});
}

// Guards against a daemon that runs with a part missing from the start.
TEST_CASE("a child that cannot start at first is an error") {
  std::vector<std::string> Record;
  RecordedChild A("a", Record, 1);
  Supervisor Root([](std::string_view, const Error &) {});
  Root.add(A);
  const Result<Success> Started = runTask(Root.start());
  REQUIRE_FALSE(succeeded(Started));
  CHECK(errorOf(Started) == "a: no");
}

// Guards against a failed child that stays down, is restarted only once, or
// takes its siblings with it.
TEST_CASE("a failed child alone is restarted until it starts") {
  struct Row {
    int FailingRestarts;
    unsigned Restarts;
  };
  for (const Row &R : {Row{0, 1}, Row{2, 3}}) {
    CAPTURE(R.FailingRestarts);
    std::vector<std::string> Record;
    RecordedChild A("a", Record, 0);
    RecordedChild B("b", Record, 0);
    unsigned Restarts = 0;
    Supervisor Root(
        [&Restarts](std::string_view, const Error &) { ++Restarts; });
    Root.add(A);
    Root.add(B);
    CHECK(succeeded(runTask(Root.start())));
    B.failNextStarts(R.FailingRestarts);
    B.Failed(Error{"lost"});
    // Two starts, one stop, and then the restarts.
    while (Record.size() < 3 + R.Restarts)
      QCoreApplication::processEvents(QEventLoop::WaitForMoreEvents);
    CHECK(Restarts == R.Restarts);
    CHECK(std::count(Record.begin(), Record.end(), "start a") == 1);
    CHECK(std::count(Record.begin(), Record.end(), "stop a") == 0);
    runTask(Root.stop(steadyNow()));
  }
}
