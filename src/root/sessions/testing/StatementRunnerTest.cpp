#include "root/sessions/testing/RunnerFixture.h"

#include <catch2/catch.hpp>

using namespace amaranthspur;
using linegroup::FakeServer;
using linegroup::LinkFault;
using runnertest::Fixture;
using runnertest::statement;

// Guards against a refusal that says "not run" for a write that may have run,
// and against a write that is sent twice.
TEST_CASE("a write reports a correct outcome") {
  struct Row {
    const char *Name;
    LinkFault Fault;
    bool Reachable;
    std::optional<AnswerCode> Code;
    std::size_t Ran;
  };
  const Row Rows[] = {
      {"no fault", LinkFault::None, true, std::nullopt, 1},
      {"the answer is lost", LinkFault::LoseAnswer, true,
       AnswerCode::OutcomeUnknown, 1},
      {"the write ran and failed", LinkFault::Fail, true, AnswerCode::Failed,
       1},
      {"the server has no free slot", LinkFault::Busy, true, AnswerCode::Busy,
       0},
      {"the server is unreachable", LinkFault::None, false, AnswerCode::Busy,
       0},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    Fixture F;
    F.Group["a"].Fault = R.Fault;
    F.Group["a"].Reachable = R.Reachable;
    const Answer A = F.run("WRITE item data");
    CHECK(A.Code == R.Code);
    CHECK(F.ran("a") + F.ran("b") + F.ran("c") == R.Ran);
  }
}

// Guards against an acknowledged commit that a takeover loses because the only
// replica that holds it is one that the takeover does not ask: it has not
// registered yet, or has registered after the others have adopted the next term
// (issue 37).
TEST_CASE("a commit is reported when a replica that takeovers ask holds it") {
  struct Row {
    const char *Name;
    bool Received; ///< Whether b and c receive the commit.
    Term Adopted;  ///< By b and c.
    bool Joins;    ///< Whether d has joined and holds the commit.
    bool Registered;
    bool ReceivedLate; ///< Whether b and c receive it 60 ms later.
    std::optional<AnswerCode> Code;
    bool Leaving = false; ///< Whether b and c are leaving.
  };
  const Row Rows[] = {
      {"all hold it", true, 1, false, false, false, std::nullopt},
      {"only a server that has not registered", false, 1, true, false, false,
       AnswerCode::OutcomeUnknown},
      {"the others receive it late", false, 1, true, false, true, std::nullopt},
      {"only a server that has registered during a takeover", false, 2, true,
       true, false, AnswerCode::OutcomeUnknown},
      {"a server that has registered, and no takeover", false, 1, true, true,
       false, std::nullopt},
      {"all replicas are leaving", true, 1, false, false, false, std::nullopt,
       true},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    Fixture F;
    REQUIRE(F.run("WRITE item data").succeeded());
    for (const char *Id : {"b", "c"}) {
      F.Group[Id].ReplicationStopped = !R.Received;
      F.Group[Id].Adopted = R.Adopted;
    }
    if (R.Adopted > 1)
      F.Store.Rows["takeover/ledger"] = {StoreVersion(1), "vm 2", "x"};
    if (R.Joins) {
      FakeServer &Joined = F.Group.servers()["d"];
      Joined.Id = ServerId("d");
      Joined.Log = Joined.Applied = F.Group["a"].Log;
    }
    F.Group["b"].Draining = F.Group["c"].Draining = R.Leaving;
    if (R.Registered || R.Leaving)
      F.Servers->configure(F.Servers->limits(), F.Group.registrations());
    const auto ReceiveLate = [](Fixture &F) -> QCoro::Task<> {
      co_await sleepFor(milliseconds(60));
      F.Group["b"].ReplicationStopped = F.Group["c"].ReplicationStopped = false;
      F.Group.replicateAll();
    };
    if (R.ReceivedLate)
      ReceiveLate(F);
    CHECK(F.run("WRITE item data").Code == R.Code);
  }
}

// Guards against writes with an unknown outcome that could have been refused or
// served later: a primary that is being replaced acknowledges nothing that can
// be reported as a success (issue 37).
TEST_CASE("a write is not sent to a primary under an open takeover") {
  struct Row {
    const char *Name;
    Term AdoptedByB;
    Term AdoptedByC;
    bool ComesBack; ///< Whether the primary has another id since.
    bool Resumed;   ///< Whether the replicas are resumed 60 ms later.
    std::optional<AnswerCode> Code;
    std::size_t Ran;
  };
  const Row Rows[] = {
      {"no replica has adopted a later term", 1, 1, false, false, std::nullopt,
       1},
      {"one has", 2, 1, false, false, std::nullopt, 1},
      {"both have", 2, 2, false, false, AnswerCode::Busy, 0},
      {"both have, and the primary comes back under another id", 2, 2, true,
       false, AnswerCode::Busy, 0},
      {"both have, and are resumed", 2, 2, false, true, std::nullopt, 1},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    Fixture F;
    REQUIRE(F.run("WRITE item data").succeeded());
    F.Group["b"].Adopted = R.AdoptedByB;
    F.Group["c"].Adopted = R.AdoptedByC;
    F.Store.Rows["takeover/ledger"] = {StoreVersion(1), "vm 2", "x"};
    for (const char *Id : {"b", "c"}) {
      ServerReport Report;
      Report.TermNumber = 1;
      Report.AdoptedTerm = F.Group[Id].Adopted;
      Report.Received = F.Group[Id].Log;
      F.Servers->observeReport(ServerId(Id), Report, bootNow());
    }
    if (R.ComesBack) {
      FakeServer &Back = F.Group.servers()["d"];
      Back = F.Group["a"];
      Back.Id = ServerId("d");
      F.Group.servers().erase("a");
      F.Servers->configure(F.Servers->limits(), F.Group.registrations());
    }
    const auto ResumeLater = [](Fixture &F) -> QCoro::Task<> {
      co_await sleepFor(milliseconds(60));
      F.Group["b"].Adopted = F.Group["c"].Adopted = 1;
    };
    if (R.Resumed)
      ResumeLater(F);
    const std::string Primary = R.ComesBack ? "d" : "a";
    const std::size_t Before = F.ran(Primary);
    CHECK(F.run("WRITE item data").Code == R.Code);
    CHECK(F.ran(Primary) == Before + R.Ran);
  }
}

// Guards against a write that a superseded primary acknowledges. Without
// synchronous replicas the primary acknowledges a commit before a replica holds
// it, so the acknowledgement does not prove that it still leads.
TEST_CASE("without synchronous replicas a write needs a proof") {
  struct Row {
    const char *Name;
    unsigned SyncReplicas;
    Term AdoptedByB;
    Term AdoptedByC;
    const char *Claim; ///< The value of the claim row.
    bool WroteBefore;  ///< Whether a write has succeeded before the takeover.
    std::optional<AnswerCode> Code;
    std::size_t Ran;
  };
  const Row Rows[] = {
      {"both replicas follow", 0, 1, 1, "vm 2", false, std::nullopt, 1},
      {"one replica adopted a later term", 0, 2, 1, "vm 2", false,
       AnswerCode::OutcomeUnknown, 1},
      {"one replica adopted a later term in a takeover that was given up", 0, 2,
       1, "finished 1", false, std::nullopt, 1},
      {"both adopted a later term", 0, 2, 2, "vm 2", false,
       AnswerCode::OutcomeUnknown, 1},
      {"with synchronous replicas", 1, 2, 1, "vm 2", true, std::nullopt, 1},
      {"with synchronous replicas, by an entry VM that has just started", 1, 2,
       1, "vm 2", false, AnswerCode::Busy, 0},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    Fixture F;
    ServiceLimits Limits = F.Servers->limits();
    Limits.SyncReplicas = R.SyncReplicas;
    F.Servers->configure(Limits, F.Group.registrations());
    F.Group.SyncReplicas = R.SyncReplicas;
    if (R.WroteBefore)
      REQUIRE(F.run("WRITE item data").succeeded());
    F.Group["b"].Adopted = R.AdoptedByB;
    F.Group["c"].Adopted = R.AdoptedByC;
    F.Store.Rows["takeover/ledger"] = {StoreVersion(1), R.Claim, "x"};
    const std::size_t Before = F.ran("a");
    CHECK(F.run("WRITE item data").Code == R.Code);
    CHECK(F.ran("a") == Before + R.Ran);
  }
}

// Guards against a write that fails because the primary has changed.
TEST_CASE("a write is retried at the new primary after a refusal") {
  Fixture F;
  REQUIRE(F.run("WRITE item one").succeeded());
  F.Group["a"].Role = ServerRole::Replica;
  F.Group.promote("b");
  F.Servers->configure(F.Servers->limits(), F.Group.registrations());
  CHECK(F.run("WRITE item two").succeeded());
  CHECK(F.ran("b") == 1);
}

// Guards against a read from a superseded primary. Without the proof, an entry
// VM in the same network partition as the old primary would return its outdated
// data.
TEST_CASE("a read at the primary needs a proof that it still leads") {
  struct Row {
    const char *Name;
    Term AdoptedByB;
    Term AdoptedByC;
    bool ReachableB;
    bool ReachableC;
    const char *Claim; ///< The value of the claim row.
    bool Served;
  };
  const Row Rows[] = {
      {"both replicas follow", 1, 1, true, true, "vm 2", true},
      {"one replica adopted a later term", 2, 1, true, true, "vm 2", false},
      {"one replica adopted a later term in a takeover that was given up", 2, 1,
       true, true, "finished 1", true},
      {"both adopted a later term", 2, 2, true, true, "vm 2", false},
      {"no replica is reachable", 1, 1, false, false, "vm 2", false},
      {"no replica is reachable, and the last term is not known", 1, 1, false,
       false, "finished", false},
      {"no replica is reachable, and no takeover is under way", 1, 1, false,
       false, "finished 1", true},
      {"the reachable replica adopted a later term", 2, 1, true, false, "vm 2",
       false},
      {"the reachable replica follows", 1, 1, false, true, "vm 2", false},
      {"the reachable replica follows, and no takeover is under way", 1, 1,
       false, true, "finished 1", true},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    Fixture F;
    F.Group["b"].Adopted = R.AdoptedByB;
    F.Group["c"].Adopted = R.AdoptedByC;
    F.Group["b"].Reachable = R.ReachableB;
    F.Group["c"].Reachable = R.ReachableC;
    F.Store.Rows["takeover/ledger"] = {StoreVersion(1), R.Claim, "x"};
    const Answer A = F.run("READ item");
    CHECK(A.succeeded() == R.Served);
  }
}

// Guards against stale reads at replicas and against reads that fail although
// the primary could serve them.
TEST_CASE("a bounded read runs on a server whose log reaches its floor") {
  for (const ReadConsistency Consistency :
       {ReadConsistency::BoundedStaleness, ReadConsistency::ReadYourWrites}) {
    CAPTURE(nameOf(Consistency));
    Fixture F;
    // Without a sample of the log there is no floor, so the read runs at the
    // primary with a proof.
    CHECK(F.run("READ item", Consistency).succeeded());
    CHECK(F.ran("a") == 1);
    REQUIRE(F.run("WRITE item data").succeeded());
    // The answer to the write is a sample, so a replica serves the next read.
    CHECK(F.run("READ item", Consistency).succeeded());
    CHECK(F.ran("b") + F.ran("c") == 1);
    // Replicas that do not apply the log refuse, and the primary serves.
    F.Group["b"].Lags = F.Group["c"].Lags = true;
    REQUIRE(F.run("WRITE item data").succeeded());
    const std::size_t Before = F.ran("a");
    StatementContext E = F.context(Consistency);
    E.Route.MaxStaleness = milliseconds(1);
    E.SessionFloor = F.Group["a"].Log;
    const Answer A = runTask(runRead(statement("READ item"), E));
    CHECK(A.succeeded());
    CHECK(F.ran("a") == Before + 1);
  }
}

// Guards against a read that is abandoned while another server could run it,
// and against an answer "not run" for a read that may have run.
TEST_CASE("a failed read is retried on another server") {
  struct Row {
    const char *Name;
    LinkFault Fault;
    std::optional<AnswerCode> Code;
  };
  const Row Rows[] = {
      {"answers are lost", LinkFault::LoseAnswer, std::nullopt},
      {"statements fail", LinkFault::Fail, std::nullopt},
      {"servers have no free slot", LinkFault::Busy, std::nullopt},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    Fixture F;
    REQUIRE(F.run("WRITE item data").succeeded());
    F.Group["b"].Fault = R.Fault;
    F.Group["a"].Fault = R.Fault;
    const Answer A = F.run("READ item", ReadConsistency::BoundedStaleness);
    CHECK(A.Code == R.Code);
    CHECK(F.ran("c") >= 1);
  }
  Fixture F;
  REQUIRE(F.run("WRITE item data").succeeded());
  for (const char *Id : {"a", "b", "c"})
    F.Group[Id].Fault = LinkFault::LoseAnswer;
  const Answer A = F.run("READ item", ReadConsistency::BoundedStaleness);
  REQUIRE(A.Code);
  CHECK_FALSE(isNotRun(*A.Code));
}

// Guards against a read that is abandoned early, with an answer as if it had
// run, because servers refused it several times. A lagging replica refuses
// within a millisecond.
TEST_CASE("refusals as not run do not count against the attempts of a read") {
  Fixture F;
  REQUIRE(F.run("WRITE item data").succeeded());
  for (const char *Id : {"a", "b", "c"})
    F.Group[Id].Fault = LinkFault::Busy;
  StatementContext E = F.context(ReadConsistency::BoundedStaleness);
  const Answer A = runTask(runRead(statement("READ item"), E));
  CHECK(A.Code == AnswerCode::Busy);
  CHECK(E.Attempts > 6);
  CHECK(steadyNow() >= E.Deadline - milliseconds(50));
}

// Guards against a statement that is kept until its deadline because it was
// sent once to a replica that could not run it. A caller that is refused early
// still has time to try another entry VM.
TEST_CASE("a statement refused by a lagging replica is not dispatched") {
  struct Row {
    const char *Name;
    LinkFault Fault; ///< Fault of the link to the primary.
    bool Reachable;  ///< Whether the primary is reachable.
    bool Dispatched;
  };
  const Row Rows[] = {
      {"the primary has no free slot", LinkFault::Busy, true, true},
      {"the primary is unreachable", LinkFault::None, false, false},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    Fixture F;
    REQUIRE(F.run("WRITE item data").succeeded());
    F.Group["b"].Lags = F.Group["c"].Lags = true;
    REQUIRE(F.run("WRITE item data").succeeded());
    F.Group["a"].Fault = R.Fault;
    F.Group["a"].Reachable = R.Reachable;
    StatementContext E = F.context(ReadConsistency::ReadYourWrites);
    E.SessionFloor = F.Group["a"].Log;
    const Answer A = runTask(runRead(statement("READ item"), E));
    CHECK(A.Code == AnswerCode::Busy);
    CHECK(E.Attempts > 0);
    CHECK(E.Dispatched == R.Dispatched);
    const TimePoint Latest = R.Dispatched ? E.Deadline : E.DispatchBy;
    CHECK(steadyNow() >= Latest - milliseconds(50));
    CHECK(steadyNow() < Latest + milliseconds(50));
  }
}

// Guards against reads that are refused one after the other by replicas that
// are known to lag, and against replicas that are not used again after they
// have caught up.
TEST_CASE("replicas that lag are left out until they have caught up") {
  struct Row {
    const char *Name;
    bool LagsB;
    bool LagsC;
    std::size_t LeastAtPrimary; ///< Of the reads while they lag.
  };
  const Row Rows[] = {
      {"both lag", true, true, 20},
      {"one of two lags", true, false, 0},
      {"none lags", false, false, 0},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    Fixture F;
    REQUIRE(F.run("WRITE item data").succeeded());
    F.Group["b"].Lags = R.LagsB;
    F.Group["c"].Lags = R.LagsC;
    REQUIRE(F.run("WRITE item data").succeeded());
    const auto Read = [&F](unsigned &Attempts) {
      StatementContext E = F.context(ReadConsistency::ReadYourWrites);
      const ReadConstraint Constraint{F.Group["a"].Log, false};
      const Answer A =
          runTask(runReadHere(statement("READ item"), E, Constraint));
      CHECK(A.succeeded());
      Attempts += E.Attempts;
    };
    const std::size_t BeforeA = F.ran("a");
    unsigned Attempts = 0;
    constexpr unsigned Reads = 20;
    for (unsigned I = 0; I < Reads; ++I)
      Read(Attempts);
    CHECK(F.ran("a") - BeforeA >= R.LeastAtPrimary);
    // Each lagging replica refuses one read, and perhaps a probe or two.
    CHECK(Attempts <= Reads + 6);
    F.Group["b"].Lags = F.Group["c"].Lags = false;
    F.Group.replicate("a");
    const std::size_t BeforeReplicas = F.ran("b") + F.ran("c");
    const TimePoint Until = steadyNow() + milliseconds(1500);
    while (F.ran("b") + F.ran("c") == BeforeReplicas && steadyNow() < Until)
      Read(Attempts);
    CHECK(F.ran("b") + F.ran("c") > BeforeReplicas);
  }
}

// Guards against a connection that is dropped, and a server that counts as
// failing, because the connection was acquired shortly before the dispatch
// deadline. Applying the session's settings takes a round trip, 16 ms between
// regions, and may end after that deadline.
TEST_CASE("a connection acquired in time is prepared and used") {
  struct Row {
    const char *Name;
    const char *Text;
  };
  const Row Rows[] = {{"a write", "WRITE item data"}, {"a read", "READ item"}};
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    Fixture F;
    StatementContext E = F.context(ReadConsistency::Primary);
    E.Values = {{"zone", "a"}};
    E.DispatchBy = E.Arrived + milliseconds(30);
    F.Group["a"].SetDelay = milliseconds(60);
    const Statement S = statement(R.Text);
    Answer A;
    if (S.Kind == StatementVerb::Write)
      A = runTask(runWrite(S, E));
    else
      A = runTask(runRead(S, E));
    CHECK(A.succeeded());
    CHECK(F.Group["a"].OpenedConnections == 1);
    CHECK_FALSE(F.Servers->beliefs().find(ServerId("a"))->FailingSince);
  }
}

// Guards against a read that is refused as not run although a forwarder may
// have run it, and against one that is not run here because waiting for the
// forwarder took longer than the time to dispatch it.
TEST_CASE("a read without an answer of its forwarder is run here") {
  class SilentForwarding final : public StatementForwarding {
  public:
    HomePlace homeOf(const HomeQuery &) override { return HomePlace::OtherVm; }
    QCoro::Task<ForwardResult> forward(HomeQuery, ForwardedStatement) override {
      co_await sleepFor(milliseconds(150));
      ForwardResult Lost;
      Lost.Fate = ForwardFate::Unknown;
      co_return Lost;
    }
  };
  struct Row {
    const char *Name;
    LinkFault Fault; ///< Of all servers.
    std::optional<AnswerCode> Code;
  };
  const Row Rows[] = {
      {"the servers answer", LinkFault::None, std::nullopt},
      {"no server accepts it", LinkFault::Busy, AnswerCode::Timeout},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    Fixture F;
    F.Servers->setEntryVms(100);
    GroupEvidence Known;
    Known.ProvedTerm = 1;
    Known.ProvedAt = Known.ReportedAt = bootNow();
    Known.Position = {1, 1};
    F.Servers->applyEvidence(Known);
    for (auto &[Id, Server] : F.Group.servers())
      Server.Fault = R.Fault;
    SilentForwarding Forwarding;
    StatementContext E = F.context(ReadConsistency::BoundedStaleness);
    E.Forwarding = &Forwarding;
    const Answer A = runTask(runRead(statement("READ item"), E));
    CHECK(A.Code == R.Code);
  }
}

// Guards against a write that runs twice because its home gave no answer,
// against an answer "not run" for a write that may have run, against a commit
// that is acknowledged without a known holder or that this entry VM does not
// know as acknowledged, and against statements of other sessions that are
// forwarded.
TEST_CASE("statements of a workspace run at its home") {
  class FakeForwarding final : public StatementForwarding {
  public:
    HomePlace homeOf(const HomeQuery &) override {
      return this->IsHome ? HomePlace::ThisVm : HomePlace::OtherVm;
    }
    QCoro::Task<ForwardResult> forward(HomeQuery Query,
                                       ForwardedStatement Given) override {
      this->Asked.push_back(Query);
      this->Sent.push_back(Given);
      co_return this->Out;
    }

    ForwardResult Out;
    bool IsHome = false;
    std::vector<HomeQuery> Asked;
    std::vector<ForwardedStatement> Sent;
  };
  struct Row {
    const char *Name;
    const char *Text;
    const char *Workspace;
    bool IsHome;
    ForwardFate Fate;
    std::optional<AnswerCode> Given; ///< By the home.
    const char *Holder;
    std::optional<AnswerCode> Code; ///< That the caller gets.
    std::size_t Forwarded;
    std::size_t RanHere;
  };
  const ForwardFate Answered = ForwardFate::Answered;
  const ForwardFate NotRun = ForwardFate::NotRun;
  const ForwardFate Unknown = ForwardFate::Unknown;
  const char *Write = "WRITE item data";
  const char *Read = "READ item";
  const Row Rows[] = {
      {"a write", Write, "w", false, Answered, {}, "b", {}, 1, 0},
      {"a write without a holder",
       Write,
       "w",
       false,
       Answered,
       {},
       "",
       AnswerCode::OutcomeUnknown,
       1,
       0},
      {"a refused write", Write, "w", false, Answered, AnswerCode::Busy, "",
       AnswerCode::Busy, 1, 0},
      {"a write of unknown outcome", Write, "w", false, Answered,
       AnswerCode::OutcomeUnknown, "", AnswerCode::OutcomeUnknown, 1, 0},
      {"a write that has not run", Write, "w", false, NotRun, {}, "", {}, 1, 1},
      {"a write without a reply",
       Write,
       "w",
       false,
       Unknown,
       {},
       "",
       AnswerCode::OutcomeUnknown,
       1,
       0},
      {"a write at its home", Write, "w", true, Answered, {}, "b", {}, 0, 1},
      {"a write without a workspace",
       Write,
       "",
       false,
       Answered,
       {},
       "b",
       {},
       0,
       1},
      {"a read", Read, "w", false, Answered, {}, "", {}, 1, 0},
      {"a read that has not run", Read, "w", false, NotRun, {}, "", {}, 1, 1},
      {"a read without a reply", Read, "w", false, Unknown, {}, "", {}, 1, 1},
      {"a read without a workspace",
       Read,
       "",
       false,
       Answered,
       {},
       "",
       {},
       0,
       1},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    Fixture F;
    FakeForwarding Forwarding;
    Forwarding.IsHome = R.IsHome;
    Forwarding.Out.Fate = R.Fate;
    ForwardedAnswer &Given = Forwarding.Out.Given;
    Given.Given.Code = R.Given;
    Given.Given.Position = LogPosition{1, 50};
    Given.LastServer = ServerId("a");
    Given.Holder = ServerId(R.Holder);
    Given.Forwarder = EntryVmId("home");
    StatementContext E = F.context(ReadConsistency::Primary);
    E.Workspace = WorkspaceName(R.Workspace);
    E.Values = {{"zone", "a"}};
    E.Forwarding = &Forwarding;
    const Statement S = statement(R.Text);
    const bool Writes = S.Kind == StatementVerb::Write;
    const LogPosition Before = F.Servers->acknowledged();
    const Answer A = runTask(Writes ? runWrite(S, E) : runRead(S, E));
    CHECK(A.Code == R.Code);
    CHECK(Forwarding.Sent.size() == R.Forwarded);
    CHECK(F.ran("a") == R.RanHere);
    if (R.Forwarded == 0)
      continue;
    const ForwardedStatement &Sent = Forwarding.Sent.front();
    CHECK(Sent.Query.Id == S.Id);
    CHECK(Sent.Query.Text == S.Text);
    CHECK(Sent.Workspace == E.Workspace);
    CHECK(Sent.Values == E.Values);
    CHECK(Sent.isWrite() == Writes);
    CHECK(Sent.AtPrimary == !Writes);
    const HomeQuery &Query = Forwarding.Asked.front();
    CHECK(Query.Service == E.Route.Service);
    CHECK(Query.Of == E.Workspace);
    CHECK(Query.Role == HomeRole::Primary);
    CHECK(Query.Primary ==
          F.Servers->beliefs().find(ServerId("a"))->Registration.Location);
    CHECK(E.Forwarder.empty() == (R.Fate != Answered));
    const bool Acknowledged = Writes && A.succeeded() && R.RanHere == 0;
    if (R.RanHere == 0)
      CHECK(F.Servers->acknowledged() ==
            (Acknowledged ? LogPosition{1, 50} : Before));
  }
}

// Guards against running work that is given up or run again because the server
// was only silent: its registration expires while the store is slow, or another
// connection to it fails.
TEST_CASE("a running statement survives the silence of its server") {
  struct Row {
    const char *Name;
    std::function<void(Fixture &)> Silence;
  };
  const Row Rows[] = {
      {"the registration is gone",
       [](Fixture &F) {
         std::vector<RegisteredServer> Rest = F.Group.registrations();
         std::erase_if(Rest, [](const RegisteredServer &S) {
           return S.Id == ServerId("a");
         });
         F.Servers->configure(F.Servers->limits(), Rest);
       }},
      {"a connection fails",
       [](Fixture &F) {
         F.Servers->observeFailure(ServerId("a"), "no answer");
       }},
      {"another primary is named",
       [](Fixture &F) {
         GroupEvidence Known;
         Known.Primary = ServerId("b");
         Known.TermNumber = 2;
         F.Servers->applyEvidence(Known);
       }},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    Fixture F;
    REQUIRE(F.run("WRITE item data").succeeded());
    F.Group["a"].RunDelay = milliseconds(120);
    const std::size_t Before = F.ran("a");
    const Answer A =
        runTask([](Fixture &F, const Row &R) -> QCoro::Task<Answer> {
          StatementContext E = F.context(ReadConsistency::Primary);
          Answer Given;
          TaskGroup Running;
          const auto Run = [](StatementContext &E, Answer &Into,
                              TaskGroup &Tasks) -> QCoro::Task<> {
            const TaskGroup::Guard Guard(Tasks);
            Into = co_await runWrite(statement("WRITE item data"), E);
          };
          Run(E, Given, Running);
          co_await sleepFor(milliseconds(40));
          R.Silence(F);
          co_await Running.waitUntilEmpty();
          co_return Given;
        }(F, R));
    CHECK(A.succeeded());
    CHECK(F.ran("a") == Before + 1);
    CHECK(F.ran("b") + F.ran("c") == 0);
  }
}

// Guards against statements that are sent for a caller that has disconnected.
TEST_CASE("nothing is sent for a disconnected caller") {
  Fixture F;
  F.Present = false;
  CHECK_FALSE(F.run("WRITE item data").succeeded());
  CHECK_FALSE(F.run("READ item").succeeded());
  CHECK(F.ran("a") + F.ran("b") + F.ran("c") == 0);
}

// Guards against a transaction that begins on a server where its reads would be
// stale or its writes refused.
TEST_CASE("a transaction begins on a server that meets its constraint") {
  struct Row {
    const char *Name;
    const char *Begin;
    ReadConsistency Consistency;
    bool AtPrimary;
    bool NeedsProof;
  };
  const Row Rows[] = {
      {"read-write", "BEGIN", ReadConsistency::BoundedStaleness, true, false},
      {"read-write on a primary route", "BEGIN", ReadConsistency::Primary, true,
       true},
      {"read-only", "BEGIN READ", ReadConsistency::BoundedStaleness, false,
       false},
      {"read-only on a primary route", "BEGIN READ", ReadConsistency::Primary,
       true, true},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    Fixture F;
    REQUIRE(F.run("WRITE item data").succeeded());
    StatementContext E = F.context(R.Consistency);
    const ReadConstraint Constraint = readConstraintFor(E);
    auto Begun = runTask(beginTransaction(statement(R.Begin), Constraint, E));
    auto *Open = std::get_if<OpenTransaction>(&Begun);
    REQUIRE(Open);
    CHECK((Open->Link.server().str() == "a") == R.AtPrimary);
    CHECK(Open->NeedsProof == R.NeedsProof);
  }
}

// Guards against a statement that runs under another session's settings.
TEST_CASE("a connection has the settings of the session that uses it") {
  Fixture F;
  const SessionSettingValues First{{"zone", "a"}};
  const SessionSettingValues Second{{"unit", "kg"}};
  for (const SessionSettingValues &Values :
       {First, Second, First, SessionSettingValues()}) {
    StatementContext E = F.context(ReadConsistency::Primary);
    E.Values = Values;
    REQUIRE(runTask(runWrite(statement("WRITE item data"), E)).succeeded());
  }
  const std::vector<std::string> Expected = {
      "zone=a WRITE item data", "unit=kg WRITE item data",
      "zone=a WRITE item data", "WRITE item data"};
  CHECK(F.Group["a"].ExecutedStatements == Expected);
}
