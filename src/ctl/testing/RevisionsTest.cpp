#include "ctl/Revisions.h"
#include "config/Generation.h"
#include "config/testing/Examples.h"
#include "core/Async.h"
#include "core/Random.h"
#include "ctl/testing/StorePlatform.h"
#include "testing/fake-platform/TestApplication.h"

#include <catch2/catch.hpp>

#include <map>

using namespace amaranthspur;
using namespace amaranthspur::ctl;

namespace {

/// Returns a request whose answers differ from the example only in one weight.
AcceptRequest request(const std::string &Operation, std::uint64_t From,
                      unsigned Weight) {
  config::Questionnaire Q = config::example("engravers");
  Q.mutable_services(0)->mutable_callers(0)->set_weight(Weight);
  return {Q, From, Operation, "ana", "2026-01-01T00:00:00Z"};
}

AcceptOutcome accept(StorePlatform &P, const AcceptRequest &Request) {
  testApplication();
  return QCoro::waitFor(acceptRevision(P.Client, Request,
                                       steadyNow() + std::chrono::seconds(10)));
}

/// Returns the operations of all accepted revisions, newest first. It removes
/// all injected faults and hooks.
std::vector<std::string> acceptedOperations(StorePlatform &P) {
  P.NextFault = [](bool) { return CallFault::None; };
  P.BeforeWrite = P.AfterWrite = [] {};
  const TimePoint Deadline = steadyNow() + std::chrono::seconds(10);
  const auto Head = QCoro::waitFor(readHead(P.Client, Deadline));
  REQUIRE(succeeded(Head));
  const auto Found = QCoro::waitFor(
      readHistory(P.Client, valueOf(Head).Head, 0, 10'000, Deadline));
  REQUIRE(succeeded(Found));
  std::vector<std::string> Operations;
  for (const config::Head &H : valueOf(Found)) {
    CHECK(H.Revision == valueOf(Found).size() - Operations.size());
    Operations.push_back(H.Operation);
  }
  return Operations;
}

/// One attempt to accept the operation "mine". Operation "first" has created
/// revision 1.
struct AcceptRow {
  const char *Name;
  std::uint64_t From; ///< The revision that the change is based on.
  CallFault WriteFault;
  bool OtherBefore; ///< Another change is accepted before the write.
  bool OtherAfter;  ///< Another change is accepted after the write.
  AcceptResult Expected;
  bool InHistory; ///< Whether the history must contain "mine".
};

const AcceptRow AcceptRows[] = {
    {"no fault", 1, CallFault::None, false, false, AcceptResult::Accepted,
     true},
    {"answer lost", 1, CallFault::AnswerLost, false, false,
     AcceptResult::Accepted, true},
    {"answer lost, another change afterwards", 1, CallFault::AnswerLost, false,
     true, AcceptResult::Accepted, true},
    {"write refused", 1, CallFault::Refused, false, false,
     AcceptResult::Unknown, false},
    {"write refused, another change first", 1, CallFault::Refused, true, false,
     AcceptResult::Conflict, false},
    {"lost race", 1, CallFault::None, true, false, AcceptResult::Conflict,
     false},
    {"lost race and lost answer", 1, CallFault::AnswerLost, true, false,
     AcceptResult::Conflict, false},
    {"from an old revision", 0, CallFault::None, false, false,
     AcceptResult::Conflict, false},
    {"from a revision that does not exist", 9, CallFault::None, false, false,
     AcceptResult::Conflict, false},
};

} // namespace

// Guards against a change that is accepted twice, and against a report that
// contradicts whether the change was accepted.
TEST_CASE("the reported outcome matches the history") {
  for (const AcceptRow &R : AcceptRows) {
    CAPTURE(R.Name);
    StorePlatform P;
    REQUIRE(nameOf(accept(P, request("first", 0, 1)).Result) == "accepted");
    const auto AcceptOther = [&P] {
      P.BeforeWrite = P.AfterWrite = [] {};
      const auto NextFault =
          std::exchange(P.NextFault, [](bool) { return CallFault::None; });
      const std::uint64_t From = P.Store.readRow(config::HeadKey).Version;
      CHECK(nameOf(accept(P, request("other", From, 3)).Result) == "accepted");
      P.NextFault = NextFault;
    };
    P.NextFault = [&R](bool WritesRow) {
      return WritesRow ? R.WriteFault : CallFault::None;
    };
    if (R.OtherBefore)
      P.BeforeWrite = AcceptOther;
    if (R.OtherAfter)
      P.AfterWrite = AcceptOther;
    const AcceptOutcome Outcome = accept(P, request("mine", R.From, 2));
    CAPTURE(Outcome.Detail);
    CHECK(nameOf(Outcome.Result) == nameOf(R.Expected));
    if (R.OtherBefore) {
      REQUIRE(Outcome.Winners.size() == 1);
      CHECK(Outcome.Winners[0].Operation == "other");
      CHECK(Outcome.Winners[0].Author == "ana");
    }
    const auto Operations = acceptedOperations(P);
    CHECK(std::count(Operations.begin(), Operations.end(), "mine") ==
          (R.InHistory ? 1 : 0));
    // Repeating the command gives the same outcome and adds no revision.
    if (R.Expected == AcceptResult::Accepted) {
      const AcceptOutcome Again = accept(P, request("mine", R.From, 2));
      CHECK(nameOf(Again.Result) == "accepted");
      CHECK(Again.Accepted.Revision == Outcome.Accepted.Revision);
      CHECK(acceptedOperations(P) == Operations);
    }
  }
}

// Guards against an outage before the write that is reported as an unknown
// outcome, and against an unknown outcome that is reported as a failure.
TEST_CASE("an outage makes the outcome unknown only from the write onwards") {
  struct Row {
    const char *Name;
    unsigned CallsBeforeOutage; ///< Calls that succeed before the outage.
    AcceptResult Expected;
  };
  const Row Rows[] = {
      {"head", 0, AcceptResult::NotAttempted},
      {"content", 1, AcceptResult::NotAttempted},
      {"record", 2, AcceptResult::NotAttempted},
      {"row", 3, AcceptResult::Unknown},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    StorePlatform P;
    unsigned Calls = 0;
    P.NextFault = [&](bool) {
      return Calls++ < R.CallsBeforeOutage ? CallFault::None
                                           : CallFault::AnswerLost;
    };
    CHECK(nameOf(accept(P, request("mine", 0, 2)).Result) ==
          nameOf(R.Expected));
  }
}

// Guards against an operation identifier that is reused for edited answers: the
// operator would believe that the edited answers were accepted.
TEST_CASE("an operation identifies one set of answers") {
  StorePlatform P;
  REQUIRE(nameOf(accept(P, request("mine", 0, 2)).Result) == "accepted");
  CHECK(nameOf(accept(P, request("mine", 0, 3)).Result) == "conflict");
  CHECK(nameOf(accept(P, request("new", 1, 2)).Result) == "unchanged");
  CHECK(acceptedOperations(P).size() == 1);
}

// Guards against combinations of faults and races after which a reported
// outcome contradicts the history.
TEST_CASE("reported outcomes match the history under random faults") {
  for (std::uint64_t Seed = 1; Seed <= 200; ++Seed) {
    CAPTURE(Seed);
    StorePlatform P;
    Random Rng(Seed);
    const auto RandomFault = [&Rng](bool) {
      const std::uint64_t D = Rng.below(10);
      return D == 0   ? CallFault::Refused
             : D <= 2 ? CallFault::AnswerLost
                      : CallFault::None;
    };
    std::map<std::string, AcceptResult> Results;
    for (unsigned I = 0; I < 12; ++I) {
      P.NextFault = RandomFault;
      // The change is based on the newest revision or on the one before it.
      std::uint64_t From = P.Store.readRow(config::HeadKey).Version;
      From -= From > 0 ? Rng.below(2) : 0;
      const std::string Operation = "op-" + std::to_string(I);
      const AcceptRequest Request = request(Operation, From, 100 + I);
      AcceptResult Result = accept(P, Request).Result;
      for (int Again = 0; Again < 3 && (Result == AcceptResult::Unknown ||
                                        Result == AcceptResult::NotAttempted);
           ++Again)
        Result = accept(P, Request).Result;
      Results[Operation] = Result;
    }
    const std::vector<std::string> Operations = acceptedOperations(P);
    for (const auto &[Operation, Result] : Results) {
      CAPTURE(Operation, nameOf(Result));
      const auto Count =
          std::count(Operations.begin(), Operations.end(), Operation);
      CHECK(Count <= 1);
      if (Result == AcceptResult::Accepted)
        CHECK(Count == 1);
      if (Result == AcceptResult::Conflict)
        CHECK(Count == 0);
    }
  }
}
