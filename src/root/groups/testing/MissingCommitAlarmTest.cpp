#include "core/BootClock.h"
#include "root/groups/testing/GroupSetup.h"
#include "testing/CapturedLog.h"
#include "testing/TaskRunner.h"

#include <catch2/catch.hpp>

using namespace amaranthspur;
using linegroup::LineGroup;

namespace {

/// A group of which `a` leads term 1. The commit 1.9, which `c` holds, has been
/// reported to a caller.
struct Fixture {
  Fixture() {
    testApplication();
    configureGroup(*this->Servers, this->Group);
    this->report("a", 1, {1, 8});
    Answer A;
    A.Position = LogPosition{1, 9};
    this->Servers->observeCommit(ServerId("a"), A, bootNow(), ServerId("c"));
  }
  ~Fixture() { runTask(this->Servers->stop()); }

  void report(const char *Id, Term T, LogPosition End) {
    reportPrimary(*this->Servers, Id, T, End);
  }
  /// Records an answer of \p Id, which is believed to lead.
  void answer(const char *Id, LogPosition Position) {
    Answer A;
    A.Position = Position;
    this->Servers->observeAnswer(ServerId(Id), A, bootNow());
  }
  void evidence(const char *Id, Term T, LogPosition Position) {
    GroupEvidence Known;
    Known.Service = ServiceName("ledger");
    Known.Primary = ServerId(Id);
    Known.TermNumber = T;
    Known.Position = Position;
    this->Servers->applyEvidence(Known);
  }

  LineGroup Group;
  Metrics Counters;
  Locality Where{DataCentre("here"), {{DataCentre("here"), Region("r")}}};
  std::shared_ptr<class Group> Servers = std::make_shared<class Group>(
      ServiceName("ledger"), this->Group, this->Where, nullptr, nullptr,
      &this->Counters);
};

} // namespace

// Guards against a lost commit that neither the metrics nor the log tell, and
// against an alarm by an answer that its server has sent before it led.
TEST_CASE("a primary without a reported commit raises an alarm") {
  struct Row {
    const char *Name;
    std::function<void(Fixture &)> Events;
    const char *Known; ///< As in the log; empty if there is no alarm.
  };
  const Row Rows[] = {
      {"a complete log",
       [](Fixture &F) {
         F.report("b", 2, {1, 9});
       },
       ""},
      {"two status reports",
       [](Fixture &F) {
         F.report("b", 2, {1, 8});
         F.report("b", 2, {1, 7});
       },
       "server=b term=2 position=1.8 known_from=report"},
      {"an answer of the led term",
       [](Fixture &F) {
         F.evidence("b", 2, {});
         F.answer("b", {2, 9});
       },
       "server=b term=2 position=2.9 known_from=answer"},
      {"an answer that was sent as a replica",
       [](Fixture &F) {
         F.evidence("b", 2, {});
         F.answer("b", {1, 8});
       },
       ""},
      {"evidence of the relay",
       [](Fixture &F) {
         F.evidence("b", 2, {2, 9});
       },
       "server=b term=2 position=2.9 known_from=relay"},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    Fixture F;
    std::vector<std::string> Lines;
    {
      const CapturedLog Log;
      R.Events(F);
      Lines = Log.lines(LogEvent::AcknowledgedCommitMissing);
    }
    const std::string Known = R.Known;
    const std::string Count =
        "amaranthspur_acknowledged_commits_missing_total{service=\"ledger\"} 1";
    const std::string Metrics = F.Counters.serialise();
    CHECK((Metrics.find(Count) != std::string::npos) == !Known.empty());
    REQUIRE(Lines.size() == (Known.empty() ? 0 : 1));
    if (Known.empty())
      continue;
    CAPTURE(Lines[0]);
    const std::string Start =
        "event=acknowledged-commit-missing service=ledger ";
    CHECK(Lines[0].starts_with(Start + Known +
                               " acknowledged=1.9 acknowledged_ms_ago="));
    CHECK(Lines[0].ends_with(" holder=c"));
  }
}
