#include "root/groups/GroupMonitor.h"

#include "core/BootClock.h"
#include "platform/testing/MemoryPlatform.h"
#include "root/groups/testing/GroupRegistrations.h"
#include "testing/TaskRunner.h"

#include <catch2/catch.hpp>

using namespace amaranthspur;
using linegroup::LineGroup;

namespace {

/// A relay that answers at once with what the test sets.
class FakeSource final : public EvidenceSource {
public:
  bool isAvailable() const override { return this->Available; }
  bool isRelay() const override { return false; }
  QCoro::Task<bool> prove(ServiceName, Term, TimePoint) override {
    ++this->Proofs;
    co_return this->Proves;
  }
  void refreshSoon() override { ++this->Refreshes; }

  bool Available = true;
  bool Proves = true;
  unsigned Proofs = 0;
  unsigned Refreshes = 0;
};

/// Gives no orders.
class NoOrders final : public PromotionClient {
public:
  QCoro::Task<PromotionOutcome> promote(PromotionRequest, TimePoint) override {
    ++this->Orders;
    co_return PromotionOutcome::NotDone;
  }

  unsigned Orders = 0;
};

/// A group of a follower, with its monitor.
struct Fixture {
  Fixture() {
    testApplication();
    ServiceLimits Limits;
    Limits.MaxConnections = 33;
    Limits.SyncReplicas = 1;
    this->Servers->configure(Limits, this->Group.registrations());
    this->Servers->start();
    this->Monitor.start();
  }
  ~Fixture() {
    runTask(this->Monitor.stop());
    runTask(this->Servers->stop());
  }

  /// Returns evidence that the relay requested \p Age ago.
  GroupEvidence evidence(Duration Age) const {
    GroupEvidence Known;
    Known.Service = ServiceName("ledger");
    Known.Primary = ServerId("a");
    Known.TermNumber = 1;
    Known.Position = {1, 1};
    Known.ReportedAt = bootNow() - Age;
    Known.ProvedTerm = 1;
    Known.ProvedAt = Known.ReportedAt;
    return Known;
  }

  void pass(Duration Time) {
    runTask(
        [](Duration Time) -> QCoro::Task<> { co_await sleepFor(Time); }(Time));
  }

  unsigned statusRequests() {
    unsigned Count = 0;
    for (const auto &[Id, Server] : this->Group.servers())
      Count += Server.StatusRequests;
    return Count;
  }

  LineGroup Group;
  FakeSource Source;
  MemoryPlatform Store;
  NoOrders Orders;
  GroupRegistrations Registrations{this->Group};
  Metrics Counters;
  Random Rng{1};
  Locality Where{DataCentre("here"), {{DataCentre("here"), Region("r")}}};
  std::shared_ptr<class Group> Servers = std::make_shared<class Group>(
      ServiceName("ledger"), this->Group, this->Where, &this->Source);
  GroupMonitor Monitor{this->Servers,
                       {EntryVmId("vm"), this->Store, this->Registrations,
                        this->Orders, this->Counters, this->Rng}};
};

QCoro::Task<bool> prove(std::shared_ptr<class Group> Of) {
  const TimePoint Now = bootNow();
  const bool Proved =
      co_await Of->awaitProof(1, Now, steadyNow() + milliseconds(400));
  co_return Proved;
}

} // namespace

// Guards against status calls that grow with the number of entry VMs: on a
// deployment with 295 of them each asked every primary and a replica itself,
// three calls for each statement.
TEST_CASE("a follower reads with the relay's evidence") {
  Fixture F;
  F.Servers->applyEvidence(F.evidence(milliseconds(200)));
  CHECK(F.Servers->beliefs().primary() == BelievedPrimary{ServerId("a"), 1});
  // Reads go on for longer than the relay's evidence may be old.
  for (int I = 0; I < 8; ++I) {
    const std::optional<LogPosition> Floor =
        F.Servers->floorAsOf(bootNow() - std::chrono::seconds(1));
    CHECK(Floor == LogPosition{1, 1});
    CHECK(runTask(prove(F.Servers)));
    F.pass(milliseconds(200));
    F.Servers->applyEvidence(F.evidence(milliseconds(200)));
  }
  CHECK(F.Source.Proofs >= 8);
  CHECK(F.statusRequests() == 0);
}

// Guards against reads that fail or wait when the relay is of no help.
TEST_CASE("a follower asks the servers itself if the relay cannot help") {
  struct Row {
    const char *Name;
    bool Available;
    bool Proves;
  };
  const Row Rows[] = {{"the relay is gone", false, false},
                      {"the relay cannot prove it", true, false}};
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    Fixture F;
    F.Servers->applyEvidence(F.evidence(milliseconds(100)));
    F.Source.Available = R.Available;
    F.Source.Proves = R.Proves;
    CHECK(runTask(prove(F.Servers)));
    F.Servers->requestFloors();
    F.pass(Group::MaxEvidenceAge + milliseconds(400));
    CHECK(F.Servers->floorAsOf(bootNow() - std::chrono::seconds(1)));
    CHECK(F.statusRequests() > 0);
  }
}

// Guards against a belief that is replaced by older evidence: the follower
// would send writes to a server that has refused them.
TEST_CASE("evidence does not replace what is known better") {
  struct Row {
    const char *Name;
    std::function<void(class Group &)> Before;
    ServerId Primary;
    Term TermNumber;
    std::optional<BelievedPrimary> Expected;
  };
  const auto Leads = [](class Group &Of, const char *Id, Term T) {
    ServerReport Report;
    Report.Role = ServerRole::Primary;
    Report.TermNumber = Report.AdoptedTerm = T;
    Of.observeReport(ServerId(Id), Report);
  };
  const BelievedPrimary A{ServerId("a"), 1};
  const BelievedPrimary B{ServerId("b"), 2};
  const Row Rows[] = {
      {"the term of the registered primary", [](class Group &) {},
       ServerId("a"), 1, A},
      {"a later primary", [&Leads](class Group &Of) { Leads(Of, "a", 1); },
       ServerId("b"), 2, B},
      {"an earlier primary",
       [&Leads](class Group &Of) {
         Leads(Of, "a", 1);
         Leads(Of, "b", 2);
       },
       ServerId("a"), 1, B},
      {"a server that has refused a write in this term",
       [&Leads](class Group &Of) {
         Leads(Of, "a", 1);
         Of.markNotPrimary(ServerId("a"));
       },
       ServerId("a"), 1, std::nullopt},
      {"the same server in a later term",
       [&Leads](class Group &Of) {
         Leads(Of, "a", 1);
         Of.markNotPrimary(ServerId("a"));
       },
       ServerId("a"), 3, BelievedPrimary{ServerId("a"), 3}},
      {"a server that is not registered", [](class Group &) {}, ServerId("x"),
       5, BelievedPrimary{ServerId("a"), 0}},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    Fixture F;
    R.Before(*F.Servers);
    GroupEvidence Known = F.evidence(milliseconds(100));
    Known.Primary = R.Primary;
    Known.TermNumber = R.TermNumber;
    F.Servers->applyEvidence(Known);
    CHECK(F.Servers->beliefs().primary() == R.Expected);
  }
}

// Guards against all entry VMs asking the remaining servers of a group at once
// when its primary is lost. Each status call over a new connection takes 12 ms
// of a slot; 295 entry VMs kept the slots of two servers full.
TEST_CASE("a follower leaves a lost primary to the relays at first") {
  Fixture F;
  F.Servers->applyEvidence(F.evidence(milliseconds(100)));
  F.Group["a"].Reachable = false;
  F.Servers->observeFailure(ServerId("a"), "test");
  F.pass(milliseconds(1500));
  CHECK(F.Monitor.isSuspicious());
  CHECK(F.statusRequests() == 0);
  CHECK(F.Source.Refreshes > 0);
  // If no relay has acted by then, the follower does.
  F.pass(GroupMonitor::FollowerDelay + GroupMonitor::FollowerSpread -
         milliseconds(500));
  CHECK(F.statusRequests() > 0);
  CHECK(F.Orders.Orders > 0);
}
