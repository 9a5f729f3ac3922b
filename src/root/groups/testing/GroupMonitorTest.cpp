#include "root/groups/GroupMonitor.h"

#include "core/BootClock.h"
#include "platform/testing/MemoryPlatform.h"
#include "root/groups/testing/GroupRegistrations.h"
#include "root/groups/testing/GroupSetup.h"
#include "testing/CapturedLog.h"
#include "testing/TaskRunner.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace amaranthspur;
using linegroup::FakeServer;
using linegroup::LineGroup;

namespace {

/// Records promotion requests and carries them out on the group.
class RecordedOrders final : public PromotionClient {
public:
  explicit RecordedOrders(LineGroup &Group) : Group(Group) {}

  QCoro::Task<PromotionOutcome> promote(PromotionRequest Order,
                                        TimePoint) override {
    if (this->Orders.empty())
      this->FirstAt = steadyNow();
    this->Orders.push_back(Order);
    this->BeforeEffect(Order);
    const PromotionOutcome Outcome = this->Answer;
    if (!this->HasNoEffect &&
        (Outcome == PromotionOutcome::Accepted || this->TakesEffect))
      this->takeEffect(Order.Target.str());
    co_return Outcome;
  }

  QCoro::Task<> takeEffect(std::string Target) {
    if (this->EffectDelay > Duration::zero())
      co_await sleepFor(this->EffectDelay);
    this->Group.promote(Target);
    this->AfterEffect(Target);
  }

  LineGroup &Group;
  PromotionOutcome Answer = PromotionOutcome::Accepted;
  bool TakesEffect = false; ///< The order is carried out whatever the answer.
  bool HasNoEffect = false; ///< The order is never carried out.
  Duration EffectDelay{};   ///< Time from an order to its effect.
  std::vector<PromotionRequest> Orders;
  TimePoint FirstAt{}; ///< Time of the first of them.
  /// Called with each order before it takes effect.
  std::function<void(const PromotionRequest &)> BeforeEffect =
      [](const PromotionRequest &) {};
  /// Called with the target when it leads.
  std::function<void(const std::string &)> AfterEffect =
      [](const std::string &) {};
};

/// One entry VM that monitors a group.
struct Fixture {
  Fixture() {
    testApplication();
    this->refresh();
    this->Servers->start();
    this->Monitor.start();
  }
  ~Fixture() {
    runTask(this->Monitor.stop());
    runTask(this->Servers->stop());
  }

  void refresh() { configureGroup(*this->Servers, this->Group); }

  /// Makes the store tell its era in each answer.
  void tellEra() {
    this->Store.Era = 1;
    this->Store.Answered = [this](StoreVersion Newest) {
      this->History.observe(Newest, bootNow());
    };
    this->Store.Answered(StoreVersion(this->Store.Counter, 1));
  }

  /// Waits until an order is given or \p Limit has passed.
  void pass(Duration Limit) {
    runTask([](Fixture &F, Duration Limit) -> QCoro::Task<> {
      const TimePoint End = steadyNow() + Limit;
      while (steadyNow() < End && F.Orders.Orders.empty())
        co_await sleepFor(milliseconds(20));
      // The steps that follow an order take some time.
      co_await sleepFor(milliseconds(200));
    }(*this, Limit));
  }

  LineGroup Group;
  StoreHistory History;
  MemoryPlatform Store;
  RecordedOrders Orders{this->Group};
  GroupRegistrations Registrations{this->Group};
  Metrics Counters;
  Random Rng{1};
  Locality Where{DataCentre("here"), {{DataCentre("here"), Region("r")}}};
  std::shared_ptr<class Group> Servers = std::make_shared<class Group>(
      ServiceName("ledger"), this->Group, this->Where);
  GroupMonitor Monitor{this->Servers,
                       {EntryVmId("vm"), this->Store, this->Registrations,
                        this->Orders, this->Counters, this->Rng,
                        this->History}};
};

} // namespace

// Guards against promotions that lose acknowledged commits, against unnecessary
// promotions, and against groups that stay without a primary.
TEST_CASE("a monitor replaces a primary only where it is safe") {
  struct Row {
    const char *Name;
    std::function<void(Fixture &)> InjectFault;
    std::string Target; ///< Empty if no order is expected.
    Term AdoptedByOther = 1;
  };
  const auto Down = [](Fixture &F, const char *Id) {
    F.Group[Id].Reachable = false;
    F.Servers->observeFailure(ServerId(Id), "test");
  };
  const Row Rows[] = {
      {"nothing is wrong", [](Fixture &) {}, ""},
      {"the primary is unreachable",
       [&Down](Fixture &F) {
         F.Group["c"].Log.Index = 9;
         Down(F, "a");
       },
       "c", 2},
      {"the primary and a replica are unreachable",
       [&Down](Fixture &F) {
         Down(F, "a");
         Down(F, "b");
       },
       ""},
      {"only this entry VM cannot reach the primary",
       [&Down](Fixture &F) { Down(F, "b"); }, ""},
      {"the primary is draining",
       [](Fixture &F) {
         F.Group["a"].Draining = true;
         F.refresh();
       },
       "b", 2},
      {"the store is down",
       [&Down](Fixture &F) {
         F.Store.Down = true;
         Down(F, "a");
       },
       ""},
      {"another entry VM holds the claim",
       [&Down](Fixture &F) {
         F.Store.Rows["takeover/ledger"] = {StoreVersion(7), "other 2", "x"};
         Down(F, "a");
       },
       ""},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    Fixture F;
    R.InjectFault(F);
    F.pass(std::chrono::seconds(2));
    REQUIRE(F.Orders.Orders.empty() == R.Target.empty());
    if (R.Target.empty()) {
      CHECK(F.Group["c"].Adopted == 1);
      continue;
    }
    CHECK(F.Orders.Orders.size() == 1);
    CHECK(F.Orders.Orders[0].Target.str() == R.Target);
    CHECK(F.Orders.Orders[0].FencingToken ==
          F.Store.Rows["takeover/ledger"].Version.number() - 1);
    const std::string Other = R.Target == "c" ? "b" : "c";
    CHECK(F.Group[Other].Adopted == R.AdoptedByOther);
    CHECK(F.Servers->beliefs().primary()->Id.str() == R.Target);
    CHECK(F.Store.Rows["takeover/ledger"].Value == "finished 2 vm@0");
  }
}

// Guards against a finished claim with the term of the old primary: it would
// prove that a superseded primary leads.
TEST_CASE("a claim is finished with the term of a target that was not known "
          "before") {
  Fixture F;
  FakeServer &Joined = F.Group.servers()["d"];
  Joined.Id = ServerId("d");
  Joined.Log = Joined.Applied = {1, 9};
  F.Group["a"].Reachable = false;
  F.Servers->observeFailure(ServerId("a"), "test");
  F.pass(std::chrono::seconds(3));
  REQUIRE(F.Orders.Orders.size() == 1);
  REQUIRE(F.Orders.Orders[0].Target == ServerId("d"));
  REQUIRE_FALSE(F.Servers->beliefs().find(ServerId("d")));
  CHECK(F.Store.Rows["takeover/ledger"].Value == "finished 2 vm@0");
}

// Guards against a replica that stays paused after an abandoned takeover, and
// against one that is resumed while the order may still take effect: it could
// then acknowledge commits that the new primary lacks.
TEST_CASE("an adoption is undone only when no order can take effect") {
  struct Row {
    const char *Name;
    bool Silent; ///< The old primary; otherwise it is leaving.
    PromotionOutcome Answer;
    bool TakesEffect;
    bool Resumed;
    const char *Claim; ///< The value of the claim row.
  };
  const Row Rows[] = {
      {"refused", false, PromotionOutcome::Refused, false, true,
       "finished 0 vm@0 end=1:1.1"},
      {"refused, and the old primary is silent", true,
       PromotionOutcome::Refused, false, true, "finished 0 vm@0 end=1:1.1"},
      {"no answer, and no effect yet", false, PromotionOutcome::Unknown, false,
       false, "vm@0 2 b end=1:1.1"},
      {"no answer, but carried out", false, PromotionOutcome::Unknown, true,
       false, "finished 2 vm@0"},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    Fixture F;
    F.Orders.Answer = R.Answer;
    F.Orders.TakesEffect = R.TakesEffect;
    if (R.Silent) {
      F.Group["a"].Reachable = false;
      F.Servers->observeFailure(ServerId("a"), "test");
    } else {
      F.Group["a"].Draining = true;
      F.refresh();
    }
    F.pass(std::chrono::seconds(2));
    REQUIRE_FALSE(F.Orders.Orders.empty());
    CHECK((F.Group["b"].Adopted == 1) == R.Resumed);
    CHECK((F.Group["c"].Adopted == 1) == R.Resumed);
    CHECK(F.Store.Rows["takeover/ledger"].Value == R.Claim);
  }
}

// Guards against a promotion after an adopter has lost its adopted term by a
// restart, while the old primary may still acknowledge commits: the adopter
// could receive them again.
TEST_CASE("an adopter that lost its term stops the takeover of a primary that "
          "does not answer") {
  Fixture F;
  F.Group["c"].LosesAdoptedTerm = true;
  F.Group["a"].Reachable = false;
  F.Servers->observeFailure(ServerId("a"), "test");
  F.pass(std::chrono::seconds(3));
  CHECK(F.Orders.Orders.empty());
}

// Guards against acknowledged commits that the promoted server lacks: between
// the order and its effect the old primary acknowledged them with a server that
// the takeover had not stopped (issue 28).
TEST_CASE("no commit is acknowledged without the target before a promotion "
          "takes effect") {
  struct Row {
    const char *Name;
    std::function<void(LineGroup &)> Event;
  };
  const Row Rows[] = {
      {"nothing else happens", [](LineGroup &) {}},
      {"a replica joins",
       [](LineGroup &G) {
         FakeServer &Joined = G.servers()["d"];
         Joined.Id = ServerId("d");
         Joined.Log = Joined.Applied = G["a"].Log;
       }},
      {"an adopter restarts",
       [](LineGroup &G) { G["c"].Adopted = G["c"].TermNumber; }},
      {"an entry VM whose claim has expired resumes all replicas",
       [](LineGroup &G) {
         for (auto &[Id, S] : G.servers())
           S.Adopted = S.TermNumber;
       }},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    Fixture F;
    unsigned Lost = 0;
    F.Orders.BeforeEffect = [&F, &R, &Lost](const PromotionRequest &Order) {
      R.Event(F.Group);
      // The target receives nothing, as a server behind a slow link.
      FakeServer &Target = F.Group[Order.Target.str()];
      Target.ReplicationStopped = true;
      if (F.Group.commit("a") && Target.Log < F.Group["a"].Log)
        ++Lost;
      Target.ReplicationStopped = false;
    };
    F.Group["a"].Draining = true;
    F.refresh();
    F.pass(std::chrono::seconds(2));
    REQUIRE(F.Orders.Orders.size() == 1);
    CHECK(Lost == 0);
    REQUIRE(F.Servers->beliefs().primary());
    CHECK(F.Servers->beliefs().primary()->Id.str() ==
          F.Orders.Orders[0].Target.str());
  }
}

// Guards against commits that the old primary acknowledges after a promotion
// has taken effect: the promotion ends the pauses, so a replica that has not
// heard of it yet receives from the old primary again (review case 2).
TEST_CASE("the old primary acknowledges no commit after a promotion has taken "
          "effect") {
  struct Row {
    const char *Name;
    std::function<void(Fixture &)> InjectFault;
  };
  const Row Rows[] = {
      {"it is leaving",
       [](Fixture &F) {
         F.Group["a"].Draining = true;
         F.refresh();
       }},
      {"it is isolated",
       [](Fixture &F) {
         F.Group["b"].ReplicationStopped = true;
         F.Group["c"].ReplicationStopped = true;
         F.Group.commit("a");
         F.Servers->pendingWrites().insert(steadyNow() -
                                           GroupMonitor::SlowWriteThreshold);
       }},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    Fixture F;
    unsigned Effects = 0;
    bool Acknowledged = false;
    F.Orders.AfterEffect = [&](const std::string &Target) {
      ++Effects;
      if (Target == "a")
        return;
      // A replica that has heard nothing of the promotion, whose pause it has
      // ended.
      FakeServer &Late = F.Group[Target == "b" ? "c" : "b"];
      Late.TermNumber = Late.Adopted = 1;
      Late.ReplicationStopped = false;
      Acknowledged = Acknowledged || F.Group.commit("a");
    };
    R.InjectFault(F);
    F.pass(std::chrono::seconds(3));
    REQUIRE(Effects > 0);
    CHECK_FALSE(Acknowledged);
    F.Servers->pendingWrites().clear();
  }
}

// Guards against a holder that was suspended and, when it wakes, goes on with a
// takeover that another entry VM has taken over: it resumed replicas that the
// next holder had paused, with which the old primary then acknowledged commits
// (review case 2).
TEST_CASE("a holder that wakes after its claim has expired changes no server") {
  constexpr Duration Suspension = TakeoverClaim::UndoWindow + milliseconds(100);
  struct Row {
    const char *Name;
    PromotionOutcome Answer; ///< To the orders of the first holder.
    Term AdoptedByC; ///< When the holder wakes; 1 if it has been released.
    /// Returns whether the holder is suspended now: while a connection to a
    /// server is opened, or while the store answers.
    std::function<bool(Fixture &, const FakeServer *)> Suspends;
  };
  const auto RowHas = [](Fixture &F, const char *Value) {
    return F.Store.Rows["takeover/ledger"].Value == Value;
  };
  const Row Rows[] = {
      {"while the store grants the claim", PromotionOutcome::Accepted, 3,
       [&](Fixture &F, const FakeServer *To) {
         return !To && RowHas(F, "vm@0 2");
       }},
      {"while the store confirms the claim", PromotionOutcome::Accepted, 3,
       [&](Fixture &F, const FakeServer *To) {
         return !To && RowHas(F, "vm@0 2 b end=1:1.1");
       }},
      {"before the old primary steps down", PromotionOutcome::Accepted, 3,
       [&](Fixture &F, const FakeServer *To) {
         return To && To->Id == ServerId("a") &&
                RowHas(F, "vm@0 2 b end=1:1.1");
       }},
      {"before a replica adopts the term", PromotionOutcome::Accepted, 1,
       [&](Fixture &F, const FakeServer *To) {
         return To && To->Id == ServerId("c") &&
                F.Group["a"].Role == ServerRole::Replica;
       }},
      {"before a replica is resumed", PromotionOutcome::Refused, 3,
       [&](Fixture &F, const FakeServer *To) {
         return To && To->Id == ServerId("c") && F.Orders.Orders.size() == 2;
       }},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    Fixture F;
    F.Orders.Answer = R.Answer;
    bool Suspended = false;
    std::map<std::string, std::pair<ServerRole, Term>> Expected;
    const auto SuspendOnce = [&](const FakeServer *To) {
      if (Suspended || !R.Suspends(F, To))
        return Duration::zero();
      Suspended = true;
      // Meanwhile the next holder claims and pauses the replicas.
      F.Store.Rows["takeover/ledger"] = {StoreVersion(99), "other 3 b 98", "x"};
      F.Group["b"].Adopted = 3;
      F.Group["c"].Adopted = R.AdoptedByC;
      for (const auto &[Id, S] : F.Group.servers())
        Expected[Id] = {S.Role, S.Adopted};
      return Suspension;
    };
    F.Group.OpenDelay = [&](const FakeServer &To) { return SuspendOnce(&To); };
    F.Store.AnswerDelay = [&](const TableRow &) {
      return SuspendOnce(nullptr);
    };
    F.Group["a"].Draining = true;
    F.refresh();
    runTask([](Duration Time) -> QCoro::Task<> {
      co_await sleepFor(Time);
    }(Suspension + std::chrono::seconds(1)));
    REQUIRE(Suspended);
    const std::size_t OrdersBefore =
        R.Answer == PromotionOutcome::Refused ? 2 : 0;
    CHECK(F.Orders.Orders.size() == OrdersBefore);
    for (const auto &[Id, State] : Expected) {
      CAPTURE(Id);
      CHECK(F.Group[Id].Role == State.first);
      CHECK(F.Group[Id].Adopted == State.second);
    }
    CHECK(F.Store.Rows["takeover/ledger"].Version == StoreVersion(99));
  }
}

// Guards against a service without writes after a promotion: a takeover that
// ended before its order has left the replicas with a later term than the next
// target leads, so they receive nothing from it.
TEST_CASE(
    "replicas receive from the new primary after an unfinished takeover") {
  struct Row {
    const char *Name;
    std::function<void(Fixture &)> InjectFault;
    bool OldAnswers;
  };
  const Row Rows[] = {
      {"the old primary is leaving",
       [](Fixture &F) {
         F.Group["a"].Draining = true;
         F.refresh();
       },
       true},
      {"the old primary is silent",
       [](Fixture &F) {
         F.Group["a"].Reachable = false;
         F.Servers->observeFailure(ServerId("a"), "test");
       },
       false},
      {"no server leads",
       [](Fixture &F) {
         F.Group["a"].Role = ServerRole::Replica;
         F.refresh();
       },
       true},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    Fixture F;
    for (const char *Id : {"b", "c"})
      F.Group[Id].Adopted = 4;
    R.InjectFault(F);
    F.pass(std::chrono::seconds(3));
    REQUIRE(F.Orders.Orders.size() == 1);
    const std::string Target = F.Orders.Orders[0].Target.str();
    CHECK(F.Group[Target].TermNumber == 2);
    CHECK(F.Group.commit(Target));
  }
}

// Guards against a healthy primary that is made to step down again and again
// because its replicas hold a later term and receive nothing from it.
TEST_CASE(
    "replicas that hold a later term are resumed, and their primary stays") {
  Fixture F;
  for (const char *Id : {"b", "c"})
    F.Group[Id].Adopted = 4;
  REQUIRE_FALSE(F.Group.commit("a"));
  const auto Waiting = F.Servers->pendingWrites().insert(
      steadyNow() - GroupMonitor::SlowWriteThreshold);
  F.Servers->monitorWake().wake();
  F.pass(std::chrono::seconds(3));
  CHECK(F.Orders.Orders.empty());
  CHECK(F.Group["a"].Role == ServerRole::Primary);
  CHECK(F.Group.commit("a"));
  CHECK(F.Store.Rows["takeover/ledger"].Value == "finished 1");
  F.Servers->pendingWrites().erase(Waiting);
}

// Guards against an order that is taken for dead, and replicas that are resumed
// before it takes effect, because the registration of its target has expired.
TEST_CASE(
    "an order is awaited unless another server has the target's address") {
  struct Row {
    const char *Name;
    bool Replaced;
    bool Awaited;
  };
  const Row Rows[] = {{"the registration is gone", false, true},
                      {"another server has the address", true, false}};
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    Fixture F;
    F.Orders.EffectDelay = milliseconds(600);
    bool StillHeld = false;
    F.Orders.AfterEffect = [&F, &StillHeld](const std::string &) {
      StillHeld = F.Group["c"].Adopted > 1 || F.Group["c"].TermNumber > 1;
    };
    const auto ChangeList = [](Fixture &F, bool Replaced,
                               ServerId Target) -> QCoro::Task<> {
      co_await sleepFor(milliseconds(100));
      std::vector<RegisteredServer> Listed = F.Group.registrations();
      for (RegisteredServer &S : Listed)
        if (S.Id == Target && Replaced) {
          S.Id = ServerId("d");
          S.StartedAtMs += 1;
        }
      std::erase_if(Listed, [&Target](const RegisteredServer &S) {
        return S.Id == Target;
      });
      F.Servers->configure(F.Servers->limits(), Listed);
    };
    F.Orders.BeforeEffect = [&](const PromotionRequest &Order) {
      ChangeList(F, R.Replaced, Order.Target);
    };
    F.Group["a"].Reachable = false;
    F.Servers->observeFailure(ServerId("a"), "test");
    F.pass(std::chrono::seconds(2));
    REQUIRE_FALSE(F.Orders.Orders.empty());
    runTask([](Fixture &F) -> QCoro::Task<> {
      F.Orders.BeforeEffect = [](const PromotionRequest &) {};
      co_await sleepFor(milliseconds(900));
    }(F));
    const std::string &Row = F.Store.Rows["takeover/ledger"].Value;
    CAPTURE(Row);
    CHECK((Row.rfind("finished 2 ", 0) == 0) == R.Awaited);
    if (R.Awaited)
      CHECK(StillHeld);
  }
}

// Guards against an old primary that was silent, comes back between the order
// and its effect, and acknowledges commits with a replica that joins.
TEST_CASE("an old primary that comes back before a promotion takes effect is "
          "stopped") {
  Fixture F;
  F.Orders.EffectDelay = milliseconds(600);
  F.Group["a"].Reachable = false;
  F.Servers->observeFailure(ServerId("a"), "test");
  F.Orders.BeforeEffect = [&F](const PromotionRequest &) {
    F.Group["a"].Reachable = true;
    FakeServer &Joined = F.Group.servers()["d"];
    Joined.Id = ServerId("d");
    Joined.Log = Joined.Applied = F.Group["a"].Log;
    F.refresh();
  };
  F.pass(std::chrono::seconds(3));
  REQUIRE(F.Orders.Orders.size() == 1);
  // pass() returns 200 ms after the order, before its effect.
  CHECK_FALSE(F.Group.commit("a"));
  CHECK(F.Group["a"].Role == ServerRole::Replica);
  CHECK(F.Group["d"].Adopted == 2);
  runTask([]() -> QCoro::Task<> { co_await sleepFor(milliseconds(600)); }());
  CHECK(F.Servers->beliefs().primary()->Id == F.Orders.Orders[0].Target);
}

// Guards against a primary that restarts under another id after the order and
// acknowledges commits with a replica that joins, while the holder waits for
// the answer of the id that is gone.
TEST_CASE("a silent server does not delay the step-down of one that comes "
          "back") {
  Fixture F;
  F.Orders.EffectDelay = milliseconds(600);
  F.Group["a"].Reachable = false;
  F.Servers->observeFailure(ServerId("a"), "test");
  F.Orders.BeforeEffect = [&F](const PromotionRequest &) {
    // Connections to the former id are neither accepted nor refused.
    F.Group["a"].Reachable = true;
    F.Group.OpenDelay = [](const FakeServer &To) {
      return To.Id == ServerId("a") ? GroupMonitor::CallTimeout
                                    : Duration::zero();
    };
    [](Fixture &F) -> QCoro::Task<> {
      co_await sleepFor(milliseconds(50));
      FakeServer Restarted = F.Group["a"];
      Restarted.Id = ServerId("e");
      Restarted.Role = ServerRole::Primary;
      F.Group.servers()["e"] = Restarted;
    }(F);
  };
  F.pass(std::chrono::seconds(3));
  REQUIRE(F.Orders.Orders.size() == 1);
  // pass() returns 200 ms after the order.
  CHECK(F.Group["e"].Role == ServerRole::Replica);
  runTask([]() -> QCoro::Task<> { co_await sleepFor(milliseconds(800)); }());
}

// Guards against two entry VMs that both replace a primary, also while a claim
// passes from one to the other: the platform would get two orders.
TEST_CASE("several entry VMs give one order") {
  struct Row {
    const char *Name;
    PromotionOutcome Answer;
    bool TakesEffect;
  };
  const Row Rows[] = {
      {"the order is accepted", PromotionOutcome::Accepted, true},
      {"the answer is lost", PromotionOutcome::Unknown, true},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    Fixture F;
    F.Orders.Answer = R.Answer;
    F.Orders.TakesEffect = R.TakesEffect;
    std::vector<std::shared_ptr<class Group>> Groups;
    std::vector<std::unique_ptr<GroupMonitor>> Monitors;
    for (int I = 0; I < 4; ++I) {
      Groups.push_back(std::make_shared<class Group>(ServiceName("ledger"),
                                                     F.Group, F.Where));
      Groups.back()->configure(F.Servers->limits(), F.Group.registrations());
      Groups.back()->start();
      Monitors.push_back(std::make_unique<GroupMonitor>(
          Groups.back(),
          MonitorDependencies{EntryVmId("vm" + std::to_string(I)), F.Store,
                              F.Registrations, F.Orders, F.Counters, F.Rng,
                              F.History}));
      Monitors.back()->start();
    }
    F.Group["a"].Reachable = false;
    F.Servers->observeFailure(ServerId("a"), "test");
    for (const auto &Of : Groups)
      Of->observeFailure(ServerId("a"), "test");
    F.pass(std::chrono::seconds(3));
    runTask([]() -> QCoro::Task<> { co_await sleepFor(milliseconds(1500)); }());
    CHECK(F.Orders.Orders.size() == 1);
    for (std::size_t I = 0; I < Monitors.size(); ++I) {
      runTask(Monitors[I]->stop());
      runTask(Groups[I]->stop());
    }
  }
}

// Guards against orders of two entry VMs within the lease (issue 34): planned
// releases of primaries follow each other, and after the first takeover any
// entry VM could claim the next one.
TEST_CASE("two planned takeovers within the lease are ordered by one entry "
          "VM") {
  struct Row {
    const char *Name;
    bool FirstGone; ///< The entry VM that gave the first order has stopped.
    PromotionOutcome Answer; ///< To the first order; it is carried out.
  };
  const Row Rows[] = {
      {"both run", false, PromotionOutcome::Accepted},
      {"the first answer is lost", false, PromotionOutcome::Unknown},
      {"the first has stopped", true, PromotionOutcome::Accepted},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    Fixture F;
    F.Orders.Answer = R.Answer;
    F.Orders.TakesEffect = true;
    std::vector<TimePoint> At;
    F.Orders.BeforeEffect = [&At](const PromotionRequest &) {
      At.push_back(steadyNow());
    };
    F.Group["a"].Draining = true;
    F.refresh();
    F.pass(std::chrono::seconds(2));
    REQUIRE(F.Orders.Orders.size() == 1);
    F.Orders.Answer = PromotionOutcome::Accepted;
    if (R.FirstGone)
      runTask(F.Monitor.stop());
    // The second entry VM learns of the release first.
    const std::string Leader = F.Orders.Orders[0].Target.str();
    F.Group["a"].Draining = false;
    F.Group[Leader].Draining = true;
    auto Servers =
        std::make_shared<class Group>(ServiceName("ledger"), F.Group, F.Where);
    Servers->configure(F.Servers->limits(), F.Group.registrations());
    Servers->start();
    GroupMonitor Second(Servers, {EntryVmId("vm2"), F.Store, F.Registrations,
                                  F.Orders, F.Counters, F.Rng, F.History});
    Second.start();
    runTask([](Fixture &F) -> QCoro::Task<> {
      co_await sleepFor(milliseconds(700));
      F.refresh();
      const TimePoint End = steadyNow() + std::chrono::seconds(8);
      while (steadyNow() < End && F.Orders.Orders.size() < 2)
        co_await sleepFor(milliseconds(20));
    }(F));
    REQUIRE(F.Orders.Orders.size() == 2);
    if (F.Orders.Orders[0].Holder != F.Orders.Orders[1].Holder)
      CHECK(At[1] - At[0] >= TakeoverClaim::Lease);
    CHECK((F.Orders.Orders[1].Holder == EntryVmId("vm")) != R.FirstGone);
    runTask(Second.stop());
    runTask(Servers->stop());
  }
}

// Guards against a service without a primary for the lease after an entry VM
// has read, for the first time, a claim that expired long ago.
TEST_CASE("a claim that expired before it was read is not waited for") {
  struct Row {
    const char *Name;
    const char *Value;
    std::optional<std::int64_t> StoreMs;
    bool Ordered;
  };
  const Row Rows[] = {
      {"it has expired", "other@50000 2 b", 54000, true},
      {"it has not", "other@50000 2 b", 50500, false},
      {"released after an order long ago", "finished 1 other@50000", 54000,
       true},
      {"the store tells no time", "other@50000 2 b", std::nullopt, false},
      {"there was no claim before", "", 54000, true},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    Fixture F;
    const TimePoint Start = steadyNow();
    const auto StoreMs = [&R, Start]() -> std::optional<std::int64_t> {
      if (!R.StoreMs)
        return std::nullopt;
      return *R.StoreMs + (steadyNow() - Start) / milliseconds(1);
    };
    F.Store.StoreMs = StoreMs;
    if (*R.Value != '\0')
      F.Store.Rows["takeover/ledger"] = {StoreVersion(7), R.Value, "x"};
    std::int64_t OrderedAtMs = 0;
    F.Orders.BeforeEffect = [&](const PromotionRequest &) {
      OrderedAtMs = StoreMs().value_or(0);
    };
    F.Group["a"].Draining = true;
    F.refresh();
    F.pass(std::chrono::seconds(2));
    REQUIRE(F.Orders.Orders.empty() != R.Ordered);
    if (!R.Ordered)
      continue;
    // The others' wait counts from the order, not from the release.
    const ClaimRow Released =
        parseClaimRow(1, F.Store.Rows["takeover/ledger"].Value);
    REQUIRE(Released.State == ClaimState::Finished);
    REQUIRE(Released.Turn);
    CHECK(Released.Turn->Holder == EntryVmId("vm"));
    CHECK(Released.Turn->WaitFromMs >= OrderedAtMs);
    CHECK(Released.Turn->WaitFromMs <= OrderedAtMs + 50);
  }
}

// Guards against a service without a primary for the lease because an entry VM
// waits for its own claim, and against one that takes the claim again and again
// although its orders do not reach the platform.
TEST_CASE("an entry VM does not wait for the lease of its own claim") {
  struct Row {
    const char *Name;
    bool ClaimAnswerLost;
    PromotionOutcome Answer;
    unsigned Orders; ///< By the same entry VM, within the lease.
  };
  const Row Rows[] = {
      {"the answer to its claim is lost", true, PromotionOutcome::Accepted, 1},
      {"its order is accepted and has no effect", false,
       PromotionOutcome::Accepted, 2},
      {"its order has no answer", false, PromotionOutcome::Unknown, 1},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    Fixture F;
    F.Orders.Answer = R.Answer;
    F.Orders.HasNoEffect = !R.ClaimAnswerLost;
    bool Lost = false;
    F.Store.LosesAnswer = [&](const TableRow &) {
      return R.ClaimAnswerLost && !std::exchange(Lost, true);
    };
    F.Group["a"].Draining = true;
    F.refresh();
    runTask([](Fixture &F, unsigned Orders) -> QCoro::Task<> {
      const TimePoint End = steadyNow() + TakeoverClaim::Lease;
      while (steadyNow() < End && F.Orders.Orders.size() < Orders)
        co_await sleepFor(milliseconds(20));
    }(F, 3));
    CHECK(F.Orders.Orders.size() == R.Orders);
  }
}

// Guards against a group that stays without a primary because the store answers
// nothing after the claim: the old primary steps down and no order is given.
TEST_CASE("a takeover goes on when the store falls silent after the claim") {
  struct Row {
    const char *Name;
    int ClaimMs; ///< Time until the claim is answered.
    bool PrimaryIsSilent;
  };
  const Row Rows[] = {
      {"a leaving primary", 4, false},
      {"a leaving primary, and a slow claim", 150, false},
      {"a silent primary", 4, true},
      {"a silent primary, and a slow claim", 450, true},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    Fixture F;
    F.Store.AnswerDelay = [&F, &R](const TableRow &) {
      F.Store.Silent = true;
      return milliseconds(R.ClaimMs);
    };
    F.Group["a"].Draining = !R.PrimaryIsSilent;
    F.Group["a"].Reachable = !R.PrimaryIsSilent;
    F.refresh();
    if (R.PrimaryIsSilent)
      F.Servers->observeFailure(ServerId("a"), "test");
    F.pass(std::chrono::seconds(5));
    CHECK(F.Orders.Orders.size() == 1);
  }
}

// Guards against an entry VM whose orders alone are refused and that keeps all
// others from the takeover.
TEST_CASE("a takeover whose orders were not done names no turn") {
  Fixture F;
  F.Orders.Answer = PromotionOutcome::NotDone;
  F.Group["a"].Draining = true;
  F.refresh();
  runTask([](Fixture &F) -> QCoro::Task<> {
    const TimePoint End = steadyNow() + std::chrono::seconds(6);
    while (steadyNow() < End &&
           !F.Store.Rows["takeover/ledger"].Value.starts_with("finished"))
      co_await sleepFor(milliseconds(5));
  }(F));
  CHECK(F.Orders.Orders.size() > 1);
  CHECK(F.Store.Rows["takeover/ledger"].Value == "finished 1 end=1:1.1");
}

// Guards against acknowledged commits that the promoted server lacks: the first
// holder of the claim has seen them at a server that has left since, and gives
// up; the next holder has not seen them (issue 37).
TEST_CASE("the next holder requires the log that the holder before has seen") {
  struct Row {
    const char *Name;
    bool Leaving; ///< Every entry VM knows that since before its last entries.
    bool Returns; ///< The server comes back with its log.
    Term Led;     ///< By a server that was promoted in the meantime; 0: none.
    std::string Target; ///< Of the second entry VM; empty if none is expected.
  };
  const Row Rows[] = {
      {"the log is gone", false, false, 0, ""},
      {"the log comes back", false, true, 0, "c"},
      {"a later primary has led", false, false, 2, "b"},
      {"no caller relied on it", true, false, 0, "b"},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    Fixture F;
    if (R.Leaving) {
      F.Group["c"].Draining = true;
      F.refresh();
      runTask([]() -> QCoro::Task<> {
        co_await sleepFor(LeavingLogs::NoticeTime + milliseconds(50));
      }());
      ServerReport Report;
      Report.Role = ServerRole::Primary;
      Report.TermNumber = 1;
      Report.Received = F.Group["a"].Log;
      F.Servers->observeReport(ServerId("a"), Report, bootNow());
    }
    F.Group["c"].Log.Index = 9;
    const FakeServer Longer = F.Group["c"];
    // `c` leaves when it has adopted the term.
    bool Left = false;
    F.Group.OpenDelay = [&](const FakeServer &To) {
      if (To.Id == ServerId("b") && F.Group["b"].Adopted > 1 &&
          !std::exchange(Left, true))
        F.Group["c"].Reachable = false;
      return Duration::zero();
    };
    F.Group["a"].Reachable = false;
    F.Servers->observeFailure(ServerId("a"), "test");
    runTask([](Fixture &F) -> QCoro::Task<> {
      const TimePoint End = steadyNow() + std::chrono::seconds(3);
      while (steadyNow() < End &&
             !F.Store.Rows["takeover/ledger"].Value.starts_with("finished"))
        co_await sleepFor(milliseconds(5));
    }(F));
    const std::string Required = R.Leaving ? " end=1:1.1" : " end=1:1.9";
    REQUIRE(F.Store.Rows["takeover/ledger"].Value == "finished 1" + Required);
    runTask(F.Monitor.stop());
    REQUIRE(F.Orders.Orders.empty());
    // A server without the longer log takes the place of `c`.
    FakeServer Joined = F.Group["b"];
    Joined.Id = ServerId("d");
    F.Group.servers()["d"] = Joined;
    if (R.Returns)
      F.Group["c"] = Longer;
    else
      F.Group.servers().erase("c");
    if (R.Led != 0)
      for (const char *Id : {"b", "d"})
        F.Group[Id].TermNumber = F.Group[Id].Adopted = R.Led;
    auto Servers =
        std::make_shared<class Group>(ServiceName("ledger"), F.Group, F.Where);
    Servers->configure(F.Servers->limits(), F.Group.registrations());
    Servers->start();
    GroupMonitor Second(Servers, {EntryVmId("vm2"), F.Store, F.Registrations,
                                  F.Orders, F.Counters, F.Rng, F.History});
    Second.start();
    Servers->observeFailure(ServerId("a"), "test");
    F.pass(std::chrono::seconds(3));
    REQUIRE(F.Orders.Orders.empty() == R.Target.empty());
    if (R.Target.empty())
      CHECK(F.Store.Rows["takeover/ledger"].Value.ends_with(Required));
    else
      CHECK(F.Orders.Orders[0].Target == ServerId(R.Target));
    runTask(Second.stop());
    runTask(Servers->stop());
  }
}

// Guards against a holder with an outdated belief, whose release would make the
// next one take a required log for that of an earlier primary.
TEST_CASE("a holder that gives up keeps the term of a required log") {
  Fixture F;
  F.Store.Rows["takeover/ledger"] = {StoreVersion(7), "finished end=4:1.9",
                                     "x"};
  F.Group["a"].Reachable = false;
  F.Servers->observeFailure(ServerId("a"), "test");
  runTask([](Fixture &F) -> QCoro::Task<> {
    const TableRow &Row = F.Store.Rows["takeover/ledger"];
    const TimePoint End = steadyNow() + std::chrono::seconds(3);
    while (steadyNow() < End && (Row.Version == StoreVersion(7) ||
                                 !Row.Value.starts_with("finished")))
      co_await sleepFor(milliseconds(5));
  }(F));
  CHECK(F.Store.Rows["takeover/ledger"].Version != StoreVersion(7));
  CHECK(F.Store.Rows["takeover/ledger"].Value == "finished end=4:1.9");
  CHECK(F.Orders.Orders.empty());
}

// Guards against acknowledged commits that the promoted server lacks: they were
// held by a server that has left, and the primary has not reported the end of
// its log since.
TEST_CASE("the end at the step-down is required after a loss that no report "
          "covers") {
  struct Row {
    const char *Name;
    std::function<void(Fixture &)> InjectFault;
    std::string Target; ///< Of the only order; empty if none is expected.
  };
  const auto Leave = [](Fixture &F, const char *Id) {
    F.Group.servers().erase(Id);
    F.refresh();
  };
  const auto Commit = [](Fixture &F) {
    for (int I = 0; I < 4; ++I)
      F.Group.commit("a");
  };
  const Row Rows[] = {
      {"a server leaves during the poll before the takeover",
       [&](Fixture &F) {
         Commit(F);
         // The servers are asked in this order; the first three have answered.
         F.Group.OpenDelay = [&F, &Leave](const FakeServer &To) {
           if (To.Id == ServerId("d") && F.Group["a"].Draining &&
               F.Group.servers().count("c") > 0)
             Leave(F, "c");
           return Duration::zero();
         };
       },
       "a"},
      {"a server joins after that poll and leaves before the step-down",
       [&](Fixture &F) {
         Leave(F, "c");
         ServerReport Report;
         Report.Role = ServerRole::Primary;
         Report.TermNumber = 1;
         Report.Received = F.Group["a"].Log;
         F.Servers->observeReport(ServerId("a"), Report, bootNow());
         F.Store.AnswerDelay = [&F, &Leave, &Commit](const TableRow &Row) {
           if (Row.Value.starts_with("vm@0 2 ") && F.Orders.Orders.empty()) {
             FakeServer &Joined = F.Group.servers()["e"];
             Joined.Id = ServerId("e");
             F.refresh();
             Commit(F);
             Leave(F, "e");
           }
           return Duration::zero();
         };
       },
       "a"},
      {"the primary reports between the loss and the takeover",
       [&](Fixture &F) {
         Commit(F);
         Leave(F, "c");
       },
       ""},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    Fixture F;
    FakeServer &Behind = F.Group.servers()["d"];
    Behind = F.Group["b"];
    Behind.Id = ServerId("d");
    Behind.ReplicationStopped = F.Group["b"].ReplicationStopped = true;
    F.refresh();
    R.InjectFault(F);
    F.Group["a"].Draining = true;
    F.refresh();
    F.pass(std::chrono::seconds(2));
    REQUIRE(F.Orders.Orders.empty() == R.Target.empty());
    if (!R.Target.empty())
      CHECK(F.Orders.Orders[0].Target == ServerId(R.Target));
  }
}

// Guards against fence tokens that do not increase from one claim to the next.
TEST_CASE("each claim has a higher fence") {
  Fixture F;
  F.Orders.Answer = PromotionOutcome::Refused;
  F.Group["a"].Draining = true;
  F.refresh();
  runTask([](Fixture &F) -> QCoro::Task<> {
    const TimePoint End = steadyNow() + std::chrono::seconds(5);
    while (steadyNow() < End && F.Orders.Orders.size() < 3)
      co_await sleepFor(milliseconds(20));
  }(F));
  REQUIRE(F.Orders.Orders.size() >= 3);
  for (std::size_t I = 1; I < F.Orders.Orders.size(); ++I)
    CHECK(F.Orders.Orders[I - 1].FencingToken <
          F.Orders.Orders[I].FencingToken);
}

// Guards against an order with a lower fence than an earlier one after the
// store has come back from a copy (review case 6), and against an order within
// the lease of a claim that was lost.
TEST_CASE("the fence rises over a return of the store") {
  struct Row {
    const char *Name;
    unsigned Returns;
    bool CopiedAfterOrder; ///< The copy has the finished claim.
    bool IsKnown;          ///< By other answers, before the next claim.
    bool NumberIsReused;   ///< By another entry VM's claim, which has expired.
  };
  const Row Rows[] = {
      {"the claim row is gone", 1, false, true, false},
      {"the claim row is the copy's", 1, true, true, false},
      {"two returns", 2, false, true, false},
      {"the claim's answer is the first one since", 1, false, false, false},
      {"the number of the row is given out again", 1, false, false, true},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    Fixture F;
    F.tellEra();
    F.Store.copy();
    F.Store.Counter += 100;
    F.Group["a"].Draining = true;
    F.refresh();
    F.pass(std::chrono::seconds(3));
    REQUIRE(F.Orders.Orders.size() == 1);
    const std::uint64_t First = F.Orders.Orders[0].FencingToken;
    const StoreVersion Finished = F.Store.Rows["takeover/ledger"].Version;
    if (R.CopiedAfterOrder)
      F.Store.copy();
    for (unsigned I = 0; I < R.Returns; ++I)
      F.Store.returnFromCopy();
    if (R.NumberIsReused)
      F.Store.Rows["takeover/ledger"] = {Finished, "other@0 9", "x"};
    const TimePoint Returned = steadyNow();
    if (R.IsKnown)
      F.Store.Answered(StoreVersion(F.Store.Counter, F.Store.Era));
    F.Orders.Orders.clear();
    F.Group["b"].Draining = true;
    F.refresh();
    F.pass(std::chrono::seconds(12));
    REQUIRE(F.Orders.Orders.size() == 1);
    CHECK(F.Orders.Orders[0].Target == ServerId("c"));
    CHECK(F.Orders.Orders[0].FencingToken > First);
    const Duration Least = TakeoverClaim::Lease + TakeoverClaim::OrderSpan;
    CHECK(F.Orders.FirstAt - Returned >= Least);
  }
}

// Guards against an order or a write under a claim that the store has lost, and
// against a claim of another entry VM that is overwritten.
TEST_CASE("a claim ends when the store comes back from a copy") {
  struct Row {
    const char *Name;
    const char *Value; ///< Of the claim row when the store comes back.
    bool IsKnown;      ///< By other answers.
  };
  const Row Rows[] = {
      {"after the claim, not known", "vm@0 2", false},
      {"after the claim", "vm@0 2", true},
      {"after the confirmation", "vm@0 2 b end=1:1.1", true},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    Fixture F;
    F.tellEra();
    F.Store.copy();
    bool Returned = false;
    F.Store.AnswerDelay = [&](const TableRow &Written) {
      if (Returned || Written.Value != R.Value)
        return Duration::zero();
      Returned = true;
      F.Store.returnFromCopy();
      // Another entry VM claims in the present era.
      F.Store.Rows["takeover/ledger"] = {Written.Version, "other@0 9", "x"};
      F.Store.Counter = Written.Version.number();
      if (R.IsKnown)
        F.Store.Answered(StoreVersion(F.Store.Counter, F.Store.Era));
      return Duration::zero();
    };
    F.Group["a"].Draining = true;
    F.refresh();
    F.pass(std::chrono::seconds(4));
    REQUIRE(Returned);
    CHECK(F.Orders.Orders.empty());
    CHECK(F.Group["a"].Role == ServerRole::Primary);
    if (R.IsKnown)
      CHECK(F.Store.Rows["takeover/ledger"].Value == "other@0 9");
  }
}

// Guards against a claim that replaces another entry VM's, which has got the
// number that the row had before the store came back.
TEST_CASE("a claim after a return begins with a read of the row") {
  Fixture F;
  F.tellEra();
  F.Store.copy();
  F.Group["a"].Draining = true;
  F.refresh();
  F.pass(std::chrono::seconds(3));
  REQUIRE(F.Orders.Orders.size() == 1);
  const StoreVersion Finished = F.Store.Rows["takeover/ledger"].Version;
  F.Store.returnFromCopy();
  F.Store.Rows["takeover/ledger"] = {Finished, "other@0 9", "x"};
  F.Store.Counter = Finished.number();
  // A relay tells of the return; the store does not answer the read.
  F.Store.Answered(StoreVersion(F.Store.Counter, F.Store.Era));
  F.Store.ReadsFail = true;
  F.Orders.Orders.clear();
  F.Group["b"].Draining = true;
  F.refresh();
  F.pass(std::chrono::seconds(6));
  CHECK(F.Orders.Orders.empty());
  CHECK(F.Store.Rows["takeover/ledger"].Value == "other@0 9");
}

// Guards against a takeover whose log lines do not tell which servers it knew,
// what it required of its target and why.
TEST_CASE("the log tells what a takeover knew and required") {
  std::vector<std::string> Steps;
  std::vector<std::string> Orders;
  std::vector<std::string> Alarms;
  {
    const CapturedLog Log;
    Fixture F;
    FakeServer &Joined = F.Group.servers()["d"];
    Joined.Id = ServerId("d");
    Joined.Log = Joined.Applied = {1, 9};
    // The old primary acknowledges a commit with a server that is not
    // registered.
    F.Orders.BeforeEffect = [&F](const PromotionRequest &) {
      Answer A;
      A.Position = LogPosition{1, 12};
      F.Servers->observeCommit(ServerId("a"), A, bootNow(), {});
    };
    F.Group["a"].Reachable = false;
    F.Servers->observeFailure(ServerId("a"), "test");
    F.pass(std::chrono::seconds(3));
    Steps = Log.lines(LogEvent::TakeoverStepDone);
    Orders = Log.lines(LogEvent::PromotionOrdered);
    Alarms = Log.lines(LogEvent::AcknowledgedCommitMissing);
  }
  struct Row {
    const char *Name;
    const std::vector<std::string> &Lines;
    const char *Expected;
  };
  const Row Rows[] = {
      {"the first read finds another server", Steps,
       " step=read-servers target=- term=2 "},
      {"it is marked", Steps, " outcome=\"a@2 b@3 c@4 d@5:new\""},
      {"it is not new to the second read", Steps,
       " outcome=\"a@2 b@3 c@4 d@5\""},
      {"the confirmation has the ends", Steps,
       " required=1.9 required_by=reported:d target_end=1.9 outcome=held"},
      {"the order has the ends", Orders,
       " required=1.9 required_by=reported:d target_end=1.9 "
       "outcome=accepted"},
      {"the order lacks a commit", Alarms,
       " server=d term=2 position=1.9 known_from=order acknowledged=1.12 "},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name, R.Lines);
    CHECK(std::any_of(R.Lines.begin(), R.Lines.end(),
                      [&R](const std::string &Line) {
                        return Line.find(R.Expected) != std::string::npos;
                      }));
  }
  CHECK(Orders.size() == 1);
  CHECK(Alarms.size() == 1);
}
