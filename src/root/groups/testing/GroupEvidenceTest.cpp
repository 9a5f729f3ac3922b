#include "root/groups/GroupMonitor.h"

#include "core/BootClock.h"
#include "platform/testing/MemoryPlatform.h"
#include "root/groups/testing/GroupRegistrations.h"
#include "root/groups/testing/GroupSetup.h"
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
    configureGroup(*this->Servers, this->Group);
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
  StoreHistory History;
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
                        this->Orders, this->Counters, this->Rng,
                        this->History}};
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
  const BelievedPrimary A{ServerId("a"), 1};
  const BelievedPrimary B{ServerId("b"), 2};
  const Row Rows[] = {
      {"the term of the registered primary", [](class Group &) {},
       ServerId("a"), 1, A},
      {"a later primary", [](class Group &Of) { reportPrimary(Of, "a", 1); },
       ServerId("b"), 2, B},
      {"an earlier primary",
       [](class Group &Of) {
         reportPrimary(Of, "a", 1);
         reportPrimary(Of, "b", 2);
       },
       ServerId("a"), 1, B},
      {"a server that has refused a write in this term",
       [](class Group &Of) {
         reportPrimary(Of, "a", 1);
         Of.markNotPrimary(ServerId("a"));
       },
       ServerId("a"), 1, std::nullopt},
      {"the same server in a later term",
       [](class Group &Of) {
         reportPrimary(Of, "a", 1);
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

// Guards against entry VMs that each have to be refused by a replica that lags
// although the relay knows it.
TEST_CASE("the positions of replicas are passed on") {
  struct Row {
    const char *Name;
    Duration Age; ///< Of the position that the relay knows.
    Duration Lag; ///< Of b at that time.
    bool Passed;  ///< Whether an entry VM passes the position on.
    bool Left;    ///< Whether b is left out.
  };
  const Row Rows[] = {
      {"14 s behind", milliseconds(20), std::chrono::seconds(14), true, true},
      {"14 s behind, old", milliseconds(2500), std::chrono::seconds(14), false,
       false},
      {"100 ms behind", milliseconds(20), milliseconds(100), true, false},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    Fixture F;
    // The primary's log: one entry per 100 ms.
    const TimePoint Now = bootNow();
    GroupEvidence Known;
    for (int I = 0; I <= 200; ++I) {
      Known = F.evidence(milliseconds(100) * (200 - I));
      Known.Position = {1, static_cast<std::uint64_t>(I) + 1};
      F.Servers->applyEvidence(Known);
    }
    const auto Behind =
        static_cast<std::uint64_t>((R.Lag + R.Age) / milliseconds(100));
    Known.Replicas = {
        {ServerId("b"), {1, 201 - Behind}, Now - R.Age, Duration::zero()}};
    F.Servers->applyEvidence(Known);
    const std::vector<ReplicaEvidence> Shared = F.Servers->evidence().Replicas;
    CHECK(Shared.size() == (R.Passed ? 1 : 0));
    std::set<ServerId> Offered;
    const LogPosition Floor{1, 201 - 15}; // Of 1.5 s ago.
    while (const std::optional<ServerId> Next =
               F.Servers->chooseReader(WorkspaceName(), Floor, Offered))
      Offered.insert(*Next);
    CHECK(Offered.count(ServerId("a")) == 1);
    CHECK(Offered.count(ServerId("c")) == 1);
    CHECK(Offered.count(ServerId("b")) == (R.Left ? 0 : 1));
  }
}

// Guards against a promoted server that lacks commits which only a lost server
// had received: a report from before the loss says nothing of them, and without
// a report the end of the primary's log is not known.
TEST_CASE("the end of the primary's log is known after a loss by any answer to "
          "a later call") {
  struct Row {
    const char *Name;
    std::function<void(Group &, LineGroup &, TimePoint Before)> Events;
    bool Covered;
    LogPosition End;
  };
  const auto Report = [](Group &G, ServerRole Role, TimePoint SentAt) {
    ServerReport R;
    R.Role = Role;
    R.TermNumber = 1;
    R.Received = {1, 8};
    G.observeReport(ServerId("a"), R, SentAt);
  };
  const auto Reply = [](Group &G, const char *Id, TimePoint SentAt) {
    Answer A;
    A.Position = LogPosition{1, 9};
    G.observeAnswer(ServerId(Id), A, SentAt);
  };
  const auto Lose = [](Group &G, LineGroup &Of) {
    std::vector<RegisteredServer> Left = Of.registrations();
    Left.pop_back();
    G.configure(G.limits(), Left);
  };
  const auto Replace = [](Group &G, LineGroup &Of) {
    std::vector<RegisteredServer> Now = Of.registrations();
    Now.back().Id = ServerId("d");
    Now.back().StartedAtMs = 2;
    G.configure(G.limits(), Now);
  };
  const Row Rows[] = {
      {"nothing is lost", [](Group &, LineGroup &, TimePoint) {}, true, {1, 5}},
      {"a server has left",
       [&](Group &G, LineGroup &Of, TimePoint) { Lose(G, Of); },
       false,
       {1, 5}},
      {"a server at its address has replaced it",
       [&](Group &G, LineGroup &Of, TimePoint) { Replace(G, Of); },
       false,
       {1, 5}},
      {"the primary reports afterwards",
       [&](Group &G, LineGroup &Of, TimePoint) {
         Lose(G, Of);
         Report(G, ServerRole::Primary, bootNow());
       },
       true,
       {1, 8}},
      {"its report was asked for before",
       [&](Group &G, LineGroup &Of, TimePoint Before) {
         Lose(G, Of);
         Report(G, ServerRole::Primary, Before);
       },
       false,
       {1, 5}},
      {"it reports that it does not lead",
       [&](Group &G, LineGroup &Of, TimePoint) {
         Lose(G, Of);
         Report(G, ServerRole::Replica, bootNow());
       },
       false,
       {1, 5}},
      {"it answers a statement",
       [&](Group &G, LineGroup &Of, TimePoint) {
         Lose(G, Of);
         Reply(G, "a", bootNow());
       },
       true,
       {1, 9}},
      {"it answers a statement after a replacement",
       [&](Group &G, LineGroup &Of, TimePoint) {
         Replace(G, Of);
         Reply(G, "a", bootNow());
       },
       true,
       {1, 9}},
      {"the statement was sent before",
       [&](Group &G, LineGroup &Of, TimePoint Before) {
         Lose(G, Of);
         Reply(G, "a", Before);
       },
       false,
       {1, 5}},
      {"a replica answers a statement",
       [&](Group &G, LineGroup &Of, TimePoint) {
         Lose(G, Of);
         Reply(G, "b", bootNow());
       },
       false,
       {1, 5}},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    LineGroup Servers;
    Locality Where{DataCentre("here"), {{DataCentre("here"), Region("r")}}};
    Group G(ServiceName("ledger"), Servers, Where);
    G.configure(ServiceLimits{}, Servers.registrations());
    CHECK_FALSE(G.isLossCovered(1));
    ServerReport First;
    First.Role = ServerRole::Primary;
    First.TermNumber = 1;
    First.Received = {1, 5};
    G.observeReport(ServerId("a"), First, bootNow());
    R.Events(G, Servers, bootNow() - milliseconds(1));
    CHECK(G.isLossCovered(1) == R.Covered);
    // It says nothing of the log of a primary of a later term.
    CHECK_FALSE(G.isLossCovered(2));
    CHECK(positionText(G.endAfterLoss(1)) == positionText(R.End));
  }
}
