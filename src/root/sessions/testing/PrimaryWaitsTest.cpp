#include "root/sessions/testing/RunnerFixture.h"
#include "testing/CapturedLog.h"

#include <catch2/catch.hpp>

using namespace amaranthspur;
using runnertest::Fixture;
using runnertest::statement;

namespace {

/// A statement, what it took and how it ended.
struct Served {
  Answer Given;
  Duration Took{};
};

/// Runs \p Text with limits that leave time for a takeover.
Served runLong(Fixture &F, const std::string &Text,
               ReadConsistency Consistency = ReadConsistency::Primary) {
  StatementContext E = F.context(Consistency);
  E.Deadline = E.Arrived + std::chrono::seconds(6);
  const Statement S = statement(Text);
  const bool Writes = S.Kind == StatementVerb::Write;
  Served Out;
  Out.Given = runTask(Writes ? runWrite(S, E) : runRead(S, E));
  Out.Took = steadyNow() - E.Arrived;
  return Out;
}

void stepDown(Fixture &F) {
  F.Group["a"].Role = ServerRole::Replica;
  F.Servers->markNotPrimary(ServerId("a"));
}

QCoro::Task<> pause(Duration Time) { co_await sleepFor(Time); }

QCoro::Task<> promoteAfter(Fixture &F, Duration Delay) {
  co_await sleepFor(Delay);
  F.Group.promote("b");
  F.Servers->configure(F.Servers->limits(), F.Group.registrations());
  reportPrimary(*F.Servers, "b", 2, F.Group["b"].Log);
}

constexpr Duration Period = PrimaryWait::Period;
/// Scheduling delay that is tolerated.
constexpr Duration Late = milliseconds(400);

} // namespace

// Guards against callers that wait until their deadlines in a long outage and
// have no time left for another attempt, also by reads that fall back to the
// primary because no floor is known, and against callers of one entry VM that
// cannot reach the primary while others can.
TEST_CASE("a long outage refuses immediately until a primary is usable") {
  struct Row {
    const char *Name;
    const char *Text;
    ReadConsistency Consistency;
    bool CutOff; ///< The entry VM alone has lost the primary.
  };
  const ReadConsistency Primary = ReadConsistency::Primary;
  const Row Rows[] = {
      {"a write", "WRITE item data", Primary, false},
      {"a read without a floor", "READ item", ReadConsistency::BoundedStaleness,
       false},
      {"a write of an entry VM that is cut off", "WRITE item data", Primary,
       true},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    std::vector<std::string> Refusing;
    std::vector<std::string> Resumed;
    Served First;
    Served Second;
    Served After;
    Fixture F;
    {
      const CapturedLog Log;
      if (R.CutOff)
        F.Group["a"].Reachable = false;
      else
        stepDown(F);
      First = runLong(F, R.Text, R.Consistency);
      Second = runLong(F, R.Text, R.Consistency);
      if (R.CutOff) {
        F.Group["a"].Reachable = true;
        runTask(pause(GroupBeliefs::AvoidAfterFailure +
                      2 * PrimaryOutages::CheckInterval));
      } else {
        runTask(promoteAfter(F, Duration::zero()));
      }
      After = runLong(F, R.Text, R.Consistency);
      Refusing = Log.lines(LogEvent::PrimaryWaitsRefused);
      Resumed = Log.lines(LogEvent::PrimaryWaitsResumed);
    }
    CHECK(First.Given.Code == AnswerCode::Busy);
    CHECK(First.Took >= Period);
    CHECK(First.Took < Period + Late);
    CHECK(Second.Given.Code == AnswerCode::Busy);
    CHECK(Second.Took < milliseconds(50));
    CHECK(Second.Given.Detail.rfind("not run; ", 0) == 0);
    CHECK(F.Group["c"].ExecutedStatements.empty());
    CHECK(After.Given.succeeded());
    CHECK(F.ran("a") + F.ran("b") == 1);
    CHECK(Refusing.size() == 1);
    CHECK(Resumed.size() == 1);
    const std::string Values = F.Counters.serialise();
    CHECK(Values.find("primary_outages_total{service=\"ledger\"} 1") !=
          std::string::npos);
    CHECK(Values.find("primary_outage_refusals_total{service=\"ledger\"} 2") !=
          std::string::npos);
  }
}

// Guards against a takeover that is not waited for: every other entry VM would
// refuse as well.
TEST_CASE("a takeover is waited for") {
  struct Row {
    const char *Name;
    Duration After;   ///< The new primary leads then.
    Duration Ordered; ///< Its promotion is ordered then.
  };
  const Row Rows[] = {
      {"in time", milliseconds(1800), milliseconds(900)},
      {"late, after an order", Period + milliseconds(400), milliseconds(2500)},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    Fixture F;
    stepDown(F);
    const auto Order = [](Fixture &F, Duration Delay) -> QCoro::Task<> {
      co_await sleepFor(Delay);
      F.Servers->outages().observeTakeover();
    };
    Order(F, R.Ordered);
    promoteAfter(F, R.After);
    const Served Out = runLong(F, "WRITE item data");
    CHECK(Out.Given.succeeded());
    CHECK(Out.Took >= R.After);
    CHECK(Out.Took < R.After + Late);
  }
}

// Guards against the refusal of a statement that a takeover in time would
// serve.
TEST_CASE("a limit that is shorter than a takeover is used whole") {
  Fixture F;
  stepDown(F);
  StatementContext E = F.context(ReadConsistency::Primary);
  const Answer A = runTask(runWrite(statement("WRITE item data"), E));
  CHECK(A.Code == AnswerCode::Busy);
  CHECK(steadyNow() >= E.Deadline);
}
