#include "core/BootClock.h"
#include "root/groups/testing/GroupSetup.h"
#include "testing/TaskRunner.h"

#include <catch2/catch.hpp>

using namespace amaranthspur;
using linegroup::LineGroup;

namespace {

/// A claim row that the test sets.
class FakeClaims final : public ClaimReader {
public:
  QCoro::Task<Result<ClaimRow>> read(ServiceName, TimePoint) override {
    ++this->Reads;
    if (!this->Row)
      co_return Error{"no answer"};
    co_return *this->Row;
  }

  std::optional<ClaimRow> Row; ///< Nothing: the store does not answer.
  unsigned Reads = 0;
};

/// A group whose primary is believed to be `a`, of term 1.
struct Fixture {
  Fixture() {
    testApplication();
    configureGroup(*this->Servers, this->Group);
    this->Servers->start();
    reportPrimary(*this->Servers, "a", 1);
  }
  ~Fixture() { runTask(this->Servers->stop()); }

  bool prove() {
    return runTask([](Fixture &F) -> QCoro::Task<bool> {
      const bool Proved = co_await F.Servers->awaitProof(
          1, bootNow(), steadyNow() + milliseconds(400));
      co_return Proved;
    }(*this));
  }

  LineGroup Group;
  FakeClaims Claims;
  Locality Where{DataCentre("here"), {{DataCentre("here"), Region("r")}}};
  std::shared_ptr<class Group> Servers = std::make_shared<class Group>(
      ServiceName("ledger"), this->Group, this->Where, nullptr, &this->Claims);
};

} // namespace

// Guards against a read that a superseded primary answers (review case 3): a
// replica that has received nothing since the promotion reports the old term.
TEST_CASE("a deaf replica does not prove that a superseded primary leads") {
  struct Row {
    const char *Name;
    bool NewPrimaryAnswers;
    bool OldStepsDown;
    std::optional<ClaimRow> Claim;
  };
  const ClaimRow Held = parseClaimRow(1, "vm 2 b");
  const ClaimRow Finished = parseClaimRow(2, "finished 2");
  const Row Rows[] = {
      {"the new primary answers", true, true, std::nullopt},
      {"the new primary is silent", false, true, Finished},
      {"the old primary has not stepped down", true, false, Held},
      {"neither, and the claim is held", false, false, Held},
      {"neither, and the claim is finished", false, false, Finished},
      {"neither, and the store is down", false, false, std::nullopt},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    Fixture F;
    F.Group["c"].ReplicationStopped = true;
    F.Group["a"].ReplicationStopped = !R.OldStepsDown;
    F.Group["a"].Role =
        R.OldStepsDown ? ServerRole::Replica : ServerRole::Primary;
    F.Group.promote("b");
    F.Group["b"].Reachable = R.NewPrimaryAnswers;
    F.Claims.Row = R.Claim;
    CHECK_FALSE(F.prove());
  }
}

// Guards against reads at the primary that fail while a replica is down, and
// against a proof by a claim row that does not show it.
TEST_CASE("the claim row proves what the servers do not") {
  struct Row {
    const char *Name;
    std::vector<const char *> Silent;
    std::optional<ClaimRow> Claim;
    bool Proved;
    bool Read; ///< Whether the row is read.
  };
  const Row Rows[] = {
      {"all answer, and the store is down", {}, std::nullopt, true, false},
      {"all answer, and a claim is held",
       {},
       parseClaimRow(1, "vm 2"),
       true,
       false},
      {"one is silent, and there is no row",
       {"b"},
       parseClaimRow(0, ""),
       true,
       true},
      {"one is silent, and the last term is this one",
       {"b"},
       parseClaimRow(3, "finished 1"),
       true,
       true},
      {"all are silent, and the last term is this one",
       {"b", "c"},
       parseClaimRow(3, "finished 1"),
       true,
       true},
      {"one is silent, and the last term is a later one",
       {"b"},
       parseClaimRow(3, "finished 2"),
       false,
       true},
      {"one is silent, and the last term is not known",
       {"b"},
       parseClaimRow(3, "finished"),
       false,
       true},
      {"one is silent, and a claim is held",
       {"b"},
       parseClaimRow(3, "vm 2"),
       false,
       true},
      {"one is silent, and the store is down",
       {"b"},
       std::nullopt,
       false,
       true},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    Fixture F;
    for (const char *Id : R.Silent)
      F.Group[Id].Reachable = false;
    F.Claims.Row = R.Claim;
    CHECK(F.prove() == R.Proved);
    CHECK((F.Claims.Reads > 0) == R.Read);
  }
}

// Guards against reads of the store without a bound while a replica is down:
// all entry VMs share a rate of calls.
TEST_CASE("the claim row is read at a bounded rate") {
  struct Row {
    const char *Name;
    ClaimRow Claim;
    Duration Interval;
  };
  const Row Rows[] = {
      {"it proves that the primary leads", parseClaimRow(3, "finished 1"),
       Group::ClaimReadInterval},
      {"it does not", parseClaimRow(3, "finished"), Group::ClaimRetryInterval},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    Fixture F;
    F.Group["b"].Reachable = false;
    F.Claims.Row = R.Claim;
    const TimePoint Begun = steadyNow();
    while (steadyNow() - Begun < milliseconds(500))
      F.prove();
    const auto Limit =
        static_cast<unsigned>((steadyNow() - Begun) / R.Interval);
    CHECK(F.Claims.Reads <= Limit + 1);
  }
}

// Guards against a server that is asked no more after a failure: reads would
// depend on the store from then on.
TEST_CASE("a server that answers again is part of the proof") {
  Fixture F;
  F.Claims.Row = parseClaimRow(3, "finished 1");
  F.Group["b"].Reachable = false;
  REQUIRE(F.prove());
  REQUIRE(F.Servers->beliefs().find(ServerId("b"))->FailingSince);
  F.Group["b"].Reachable = true;
  runTask([]() -> QCoro::Task<> {
    co_await sleepFor(GroupBeliefs::AvoidAfterFailure + milliseconds(50));
  }());
  CHECK(F.prove());
  CHECK(F.prove());
  CHECK_FALSE(F.Servers->beliefs().find(ServerId("b"))->FailingSince);
}
