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

AcceptRequest request(const std::string &Operation, std::uint64_t From,
                      unsigned Weight) {
  config::Questionnaire Q = config::example("engravers");
  Q.mutable_services(0)->mutable_callers(0)->set_weight(Weight);
  return {Q, From, Operation, "ana", "2026-01-01T00:00:00Z"};
}

AcceptOutcome accept(StorePlatform &P, const AcceptRequest &Request) {
  testApplication();
  return QCoro::waitFor(acceptRevision(P.Service, Request,
                                       steadyNow() + std::chrono::seconds(10)));
}

/// Returns the operations of all accepted revisions, newest first, read without
/// faults.
std::vector<std::string> acceptedOperations(StorePlatform &P) {
  P.Fault = [](bool) { return CallFault::None; };
  P.BeforeWrite = P.AfterWrite = [] {};
  const TimePoint Deadline = steadyNow() + std::chrono::seconds(10);
  const auto Head = QCoro::waitFor(readHead(P.Service, Deadline));
  REQUIRE(succeeded(Head));
  const auto Found = QCoro::waitFor(
      readHistory(P.Service, valueOf(Head).Head, 0, 10'000, Deadline));
  REQUIRE(succeeded(Found));
  std::vector<std::string> Operations;
  for (const config::Head &H : valueOf(Found)) {
    CHECK(H.Revision == valueOf(Found).size() - Operations.size());
    Operations.push_back(H.Operation);
  }
  return Operations;
}

/// One attempt to accept operation "mine" from revision 1, which "first" made.
struct AcceptRow {
  const char *Name;
  std::uint64_t From;
  CallFault WriteFault;
  bool OtherBefore; ///< Another change is accepted before the write.
  bool OtherAfter;  ///< Another change is accepted on top of the write.
  AcceptResult Expected;
  bool InHistory;
};

const AcceptRow AcceptRows[] = {
    {"no fault", 1, CallFault::None, false, false, AcceptResult::Accepted,
     true},
    {"answer lost", 1, CallFault::AnswerLost, false, false,
     AcceptResult::Accepted, true},
    {"answer lost and another on top", 1, CallFault::AnswerLost, false, true,
     AcceptResult::Accepted, true},
    {"write refused", 1, CallFault::Refused, false, false,
     AcceptResult::Unknown, false},
    {"write refused, another came first", 1, CallFault::Refused, true, false,
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

// Guards against a change that is accepted twice, reported as failed when it
// was accepted, or as accepted when it was not.
TEST_CASE("the outcome of an acceptance is told as it is") {
  for (const AcceptRow &R : AcceptRows) {
    CAPTURE(R.Name);
    StorePlatform P;
    REQUIRE(nameOf(accept(P, request("first", 0, 1)).Result) == "accepted");
    const auto AcceptOther = [&P] {
      P.BeforeWrite = P.AfterWrite = [] {};
      const auto Fault =
          std::exchange(P.Fault, [](bool) { return CallFault::None; });
      const std::uint64_t From = P.Store.readRow(config::HeadKey).Version;
      CHECK(nameOf(accept(P, request("other", From, 3)).Result) == "accepted");
      P.Fault = Fault;
    };
    P.Fault = [&R](bool WritesRow) {
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
    // The same command again gives the same answer and changes nothing more.
    if (R.Expected == AcceptResult::Accepted) {
      const AcceptOutcome Again = accept(P, request("mine", R.From, 2));
      CHECK(nameOf(Again.Result) == "accepted");
      CHECK(Again.Accepted.Revision == Outcome.Accepted.Revision);
      CHECK(acceptedOperations(P) == Operations);
    }
  }
}

// Guards against a first error that is taken for an unknown outcome, and an
// unknown one that is taken for a failure.
TEST_CASE(
    "an unreachable platform leaves the outcome open only after a write") {
  struct Row {
    const char *Name;
    unsigned CallsBeforeOutage; ///< Reads and writes that still work.
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
    P.Fault = [&](bool) {
      return Calls++ < R.CallsBeforeOutage ? CallFault::None
                                           : CallFault::AnswerLost;
    };
    CHECK(nameOf(accept(P, request("mine", 0, 2)).Result) ==
          nameOf(R.Expected));
  }
}

// Guards against an identifier that is given again with an edited file: the
// operator would believe that the edit was accepted.
TEST_CASE("an operation stands for one set of answers") {
  StorePlatform P;
  REQUIRE(nameOf(accept(P, request("mine", 0, 2)).Result) == "accepted");
  CHECK(nameOf(accept(P, request("mine", 0, 3)).Result) == "conflict");
  CHECK(nameOf(accept(P, request("new", 1, 2)).Result) == "unchanged");
  CHECK(acceptedOperations(P).size() == 1);
}

// Guards against any mixture of faults and races that makes a report untrue.
TEST_CASE("reports stay true under random faults") {
  for (std::uint64_t Seed = 1; Seed <= 200; ++Seed) {
    CAPTURE(Seed);
    StorePlatform P;
    Random Draw(Seed);
    const auto RandomFault = [&Draw](bool) {
      const std::uint64_t D = Draw.below(10);
      return D == 0   ? CallFault::Refused
             : D <= 2 ? CallFault::AnswerLost
                      : CallFault::None;
    };
    std::map<std::string, AcceptResult> Results;
    for (unsigned I = 0; I < 12; ++I) {
      P.Fault = RandomFault;
      // An operator starts from what is now, or from one revision earlier.
      std::uint64_t From = P.Store.readRow(config::HeadKey).Version;
      From -= From > 0 ? Draw.below(2) : 0;
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
