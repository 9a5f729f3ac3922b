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

} // namespace

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
  runTask(Root.stop(steadyNow()));
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
    runTask(Root.stop(steadyNow()));
  }
}
