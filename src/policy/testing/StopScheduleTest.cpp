#include "policy/StopSchedule.h"

#include <catch2/catch.hpp>

using namespace amaranthspur;

namespace {

/// Returns the schedule of a stop with \p GraceMs between its start and the
/// kill.
StopSchedule scheduleFor(int GraceMs, int NoticeMs, TimePoint Start) {
  return {stopLimitsFor(milliseconds(GraceMs), milliseconds(NoticeMs)), Start,
          TimePoint::max()};
}

} // namespace

// Guards against a transaction that goes on after one of its statements was
// refused, against a COMMIT that is promised as not kept and sent, and against
// a statement that is passed on when the stop leaves it no time.
TEST_CASE("a stop decides by the state, the statement and the time") {
  using enum StatementVerb;
  using enum TransactionState;
  struct Row {
    TransactionState State;
    StatementVerb Kind;
    StopAction Late; ///< After the transactions' time.
  };
  const Row Rows[] = {
      {Idle, Begin, StopAction::Refuse},
      {Idle, Read, StopAction::Refuse},
      {Idle, Write, StopAction::Refuse},
      {Idle, Execute, StopAction::Refuse},
      {Idle, Set, StopAction::Serve},
      {Idle, Prepare, StopAction::Serve},
      {Idle, Deallocate, StopAction::Serve},
      {Idle, Commit, StopAction::Serve},
      {Idle, Rollback, StopAction::Serve},
      {InTransaction, Begin, StopAction::AbortTransaction},
      {InTransaction, Read, StopAction::AbortTransaction},
      {InTransaction, Write, StopAction::AbortTransaction},
      {InTransaction, Execute, StopAction::AbortTransaction},
      {InTransaction, Set, StopAction::AbortTransaction},
      {InTransaction, Prepare, StopAction::AbortTransaction},
      {InTransaction, Deallocate, StopAction::AbortTransaction},
      {InTransaction, Commit, StopAction::AbortTransaction},
      {InTransaction, Rollback, StopAction::Serve},
      {Failed, Read, StopAction::Serve},
      {Failed, Commit, StopAction::Serve},
      {Failed, Rollback, StopAction::Serve},
  };
  const TimePoint Start(std::chrono::seconds(1000));
  const StopSchedule Stop = scheduleFor(6000, 2200, Start);
  for (const Row &R : Rows) {
    CAPTURE(nameOf(R.State), nameOf(R.Kind));
    for (int Ms : {0, 2199, 2200, 2999})
      CHECK(Stop.decide(R.Kind, R.State, Start + milliseconds(Ms)) ==
            StopAction::Serve);
    for (int Ms : {3000, 5199, 5200, 60000})
      CHECK(Stop.decide(R.Kind, R.State, Start + milliseconds(Ms)) == R.Late);
  }
}

// Guards against a stop whose end is after the kill, against one that gives
// transactions less than half of the grace time, and against a statement that
// may run until its answer can no longer be sent.
TEST_CASE("the parts of a stop follow from the grace time") {
  struct Row {
    const char *Name;
    int GraceMs;
    int NoticeMs;
    int LeftMs; ///< From the start to the supervisor's deadline.
    int NoticeEndMs;
    int TransactionsEndMs;
    int StatementsEndMs;
  };
  const Row Rows[] = {
      {"as deployed", 6000, 2200, 100000, 2200, 3000, 5100},
      {"a long grace time", 30000, 2200, 100000, 2200, 15000, 29100},
      {"a short grace time", 3000, 1000, 100000, 1000, 1500, 2400},
      {"the notice is longer than half of it", 4000, 2200, 100000, 2200, 2200,
       3233},
      {"the notice is longer than all of it", 1200, 2200, 100000, 1000, 650,
       900},
      {"the supervisor's deadline is sooner", 6000, 2200, 1000, 1000, 650, 900},
  };
  const TimePoint Start(std::chrono::seconds(1000));
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    const StopSchedule Stop(
        stopLimitsFor(milliseconds(R.GraceMs), milliseconds(R.NoticeMs)), Start,
        Start + milliseconds(R.LeftMs));
    CHECK((Stop.noticeEnd() - Start) / milliseconds(1) == R.NoticeEndMs);
    CHECK((Stop.transactionsEnd() - Start) / milliseconds(1) ==
          R.TransactionsEndMs);
    CHECK((Stop.statementsEnd() - Start) / milliseconds(1) ==
          R.StatementsEndMs);
  }
}

// Guards against a process that still waits for its sessions when it is killed.
TEST_CASE("the process exits between the end of the sessions and the kill") {
  for (const int GraceMs : {1, 100, 3000, 6000, 60000}) {
    CAPTURE(GraceMs);
    const StopLimits Limits =
        stopLimitsFor(milliseconds(GraceMs), milliseconds(2200));
    CHECK(Limits.End < Limits.Exit);
    CHECK(Limits.Exit < milliseconds(GraceMs));
  }
}
