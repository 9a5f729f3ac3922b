#include "root/relay/Relay.h"

#include "core/BootClock.h"
#include "platform/HttpPlatform.h"
#include "root/quotas/WorkspaceQuotas.h"
#include "root/relay/RelayCodec.h"
#include "root/relay/StatementCodec.h"
#include "testing/Processes.h"
#include "testing/TaskRunner.h"
#include "testing/fake-platform/PlatformServer.h"

#include <catch2/catch.hpp>

#include <QHostAddress>

#include <map>
#include <memory>
#include <vector>

using namespace amaranthspur;

namespace {

/// Evidence that a test sets and reads.
class FakeBoard final : public EvidenceBoard {
public:
  std::vector<ServiceName> wantedServices() const override {
    return {ServiceName("s")};
  }
  std::vector<ServiceName> suspectServices() const override {
    return this->Suspects;
  }
  std::optional<GroupEvidence> shareEvidence(const ServiceName &) override {
    return this->Own;
  }
  void suspect(const ServiceName &Service) override {
    this->Reported.push_back(Service);
  }
  void applyEvidence(const GroupEvidence &Known) override {
    this->Applied = Known;
  }
  void setEntryVms(std::size_t Count) override { this->EntryVms = Count; }
  void setForwarders(std::size_t Count) override { this->Forwarders = Count; }
  QCoro::Task<bool> prove(ServiceName, Term T, TimePoint) override {
    co_return T == this->Own.TermNumber;
  }

  GroupEvidence Own;
  std::optional<GroupEvidence> Applied;
  std::vector<ServiceName> Suspects;
  std::vector<ServiceName> Reported;
  std::size_t EntryVms = 0;
  std::size_t Forwarders = 0;
};

/// Answers forwarded statements, unless it is told to be silent.
class FakeStatements final : public ForwardedStatementRunner {
public:
  QCoro::Task<std::optional<ForwardedAnswer>>
  run(ForwardedStatement Sent) override {
    ++this->Asked;
    if (this->Silent)
      co_await sleepFor(std::chrono::seconds(2));
    if (!this->KnowsService)
      co_return std::nullopt;
    ForwardedAnswer Given;
    Given.Given.Rows = {"row of " + Sent.Query.Text};
    Given.Given.Detail = "digest";
    Given.Given.Position = Sent.Floor;
    Given.LastServer = ServerId("i-1");
    Given.Attempts = 2;
    co_return std::optional<ForwardedAnswer>(Given);
  }

  unsigned Asked = 0;
  bool Silent = false;
  bool KnowsService = true;
};

QCoro::Task<> pause(Duration Length) { co_await sleepFor(Length); }

/// One entry VM: a feed and a relay that use the fake platform.
struct EntryVm {
  EntryVm(const std::string &Name, quint16 StorePort,
          const std::string &Location = "here")
      : Rng(std::hash<std::string>{}(Name)),
        Store({"127.0.0.1", StorePort}, this->Rng.below(1U << 30U),
              HttpPlatform::DefaultThresholds, nullptr, &this->Returns),
        Feed(this->Store, milliseconds(500)),
        Address("127.0.0.1:" + std::to_string(freePort("127.0.0.1"))),
        Node(options(Name, this->Address, Location), this->Store, this->Feed,
             this->Rng, this->Counters, this->Returns) {
    this->Returns.Returned = [this] { this->Node.observeReturn(); };
    this->Board.Own.Service = ServiceName("s");
    this->Board.Own.Primary = ServerId("of-" + Name);
    this->Board.Own.TermNumber = 4;
    this->Node.setBoard(this->Board);
    this->Node.setStatementRunner(this->Statements);
    this->Node.setQuotas(this->Quotas);
    this->Node.setWorkspaceCheck([this] { return this->Plan->HasWorkspaces; });
    runTask(this->Quotas.start());
    runTask(this->Node.start());
  }
  ~EntryVm() {
    runTask(this->Quotas.stop(steadyNow() + std::chrono::seconds(5)));
    runTask(this->Node.stop(steadyNow() + std::chrono::seconds(5)));
  }

  static RelayOptions options(const std::string &Name,
                              const std::string &Address,
                              const std::string &Location) {
    RelayOptions Options;
    Options.Self = EntryVmId(Name);
    Options.Location = DataCentre(Location);
    Options.Regions = {{DataCentre("here"), Region("east")},
                       {DataCentre("there"), Region("west")}};
    Options.ListenAddress = Address;
    Options.CpuShare = 1;
    Options.MaxContactAge = std::chrono::seconds(2);
    Options.DataCentres = 2;
    return Options;
  }

  /// Puts a quota for the workspace `w` in force, of which a session is here.
  void limit(const WorkspaceQuota &Limit) {
    const auto Next = std::make_shared<AccessPlan>();
    Next->HasWorkspaces = true;
    Next->Workspaces[WorkspaceName("w")].Quota = Limit;
    this->Plan = Next;
    this->Quotas.applyPlan();
    this->Quotas.addSession(WorkspaceName("w"));
  }
  QuotaAnswer admit() {
    return runTask(
        this->Quotas.admit(WorkspaceName("w"), std::chrono::seconds(1)));
  }
  double leasedBurst() const {
    const std::vector<QuotaUse> Uses = this->Quotas.uses();
    return Uses.empty() ? 0 : Uses[0].Tokens;
  }

  std::shared_ptr<const AccessPlan> Plan = std::make_shared<AccessPlan>();
  Random Rng;
  Metrics Counters;
  StoreReturns Returns{this->Counters};
  HttpPlatform Store;
  RelayedFeed Feed;
  FakeBoard Board;
  FakeStatements Statements;
  std::string Address;
  Relay Node;
  WorkspaceQuotas Quotas{{{EntryVmId("vm"), this->Rng.below(1U << 30U)}, 1, {}},
                         [this] { return this->Plan; },
                         this->Node,
                         this->Rng,
                         this->Counters};
};

struct Fixture {
  Fixture() {
    this->Port = this->Server.listen(QHostAddress::LocalHost);
    this->Store.setExternalRow("op", "config", std::string(5000, 'c'));
    this->Store.setExternalRow("servers", "i-1", "one");
    for (const char *Name : {"a", "b", "c"})
      this->add(Name, "here");
  }
  /// Adds an entry VM. Its feed follows both tables, as the directory does.
  void add(const std::string &Name, const std::string &Location) {
    this->Vms[Name] = std::make_unique<EntryVm>(Name, this->Port, Location);
    this->follow(this->Vms[Name]->Feed, WatchedTable::Operator);
    this->follow(this->Vms[Name]->Feed, WatchedTable::Servers);
  }
  ~Fixture() {
    this->Ending = true;
    runTask(this->Tasks.waitUntilEmpty(steadyNow() + std::chrono::seconds(5)));
  }

  QCoro::Task<> follow(RelayedFeed &Feed, WatchedTable Table) {
    const TaskGroup::Guard Guard(this->Tasks);
    StoreVersion Version;
    bool Known = false;
    while (!this->Ending) {
      Result<WatchedRows> R = Error{};
      if (Known)
        R = co_await Feed.awaitChanges(Table, Version, milliseconds(300));
      else
        R = co_await Feed.readTable(Table, steadyNow() + milliseconds(500));
      Known = succeeded(R) && !valueOf(R).HistoryLost;
      if (Known)
        Version = valueOf(R).Version;
      else
        co_await sleepFor(milliseconds(50));
    }
  }

  void waitUntil(const std::function<bool()> &Condition) {
    const bool Met = runTask(
        [](const std::function<bool()> &Condition) -> QCoro::Task<bool> {
          const TimePoint End = steadyNow() + std::chrono::seconds(15);
          while (!Condition() && steadyNow() < End)
            co_await sleepFor(milliseconds(10));
          co_return Condition();
        }(Condition));
    REQUIRE(Met);
  }

  EntryVm *relay() {
    for (const auto &[Name, Vm] : this->Vms)
      if (Vm->Node.isRelay())
        return Vm.get();
    return nullptr;
  }
  std::ptrdiff_t relays() const {
    return std::count_if(
        this->Vms.begin(), this->Vms.end(),
        [](const auto &Entry) { return Entry.second->Node.isRelay(); });
  }
  bool allFollow() {
    EntryVm *Current = this->relay();
    return Current && std::all_of(this->Vms.begin(), this->Vms.end(),
                                  [Current](const auto &Entry) {
                                    return Entry.second.get() == Current ||
                                           Entry.second->Feed.source() ==
                                               FeedSource::Relay;
                                  });
  }
  bool allHave(const std::string &Key, const std::string &Value) {
    return std::all_of(
        this->Vms.begin(), this->Vms.end(), [&](const auto &Entry) {
          const WatchedRows Rows =
              Entry.second->Feed.cache(WatchedTable::Servers).all();
          return std::any_of(Rows.Rows.begin(), Rows.Rows.end(),
                             [&](const WatchedRow &Row) {
                               return Row.Key == Key && Row.Value == Value;
                             });
        });
  }

  QCoreApplication &App = testApplication();
  fakeplatform::PlatformStore Store{1};
  fakeplatform::PlatformServer Server{this->Store};
  quint16 Port = 0;
  std::map<std::string, std::unique_ptr<EntryVm>> Vms;
  TaskGroup Tasks;
  bool Ending = false;
};

} // namespace

// Guards against rows or evidence that do not reach the followers, and against
// a follower that goes on with the rows of a relay which is gone.
TEST_CASE("followers get rows and evidence from the relay") {
  Fixture F;
  F.waitUntil([&F] { return F.allFollow(); });
  F.waitUntil([&F] { return F.allHave("i-1", "one"); });
  EntryVm *First = F.relay();
  for (const auto &[Name, Vm] : F.Vms) {
    if (Vm.get() == First)
      continue;
    F.waitUntil([&Vm = Vm] { return Vm->Board.Applied.has_value(); });
    CHECK(Vm->Board.Applied->Primary == First->Board.Own.Primary);
    CHECK(Vm->Node.isAvailable());
    F.waitUntil([&Vm = Vm] { return Vm->Board.EntryVms == 6; });
    // The two followers of each data centre.
    F.waitUntil([&Vm = Vm] { return Vm->Board.Forwarders == 4; });
    const bool Proved = runTask(Vm->Node.prove(
        ServiceName("s"), 4, steadyNow() + std::chrono::seconds(1)));
    CHECK(Proved);
    const bool Wrong = runTask(Vm->Node.prove(
        ServiceName("s"), 5, steadyNow() + std::chrono::seconds(1)));
    CHECK_FALSE(Wrong);
    Vm->Board.Suspects = {ServiceName("s")};
  }
  F.waitUntil([First] { return !First->Board.Reported.empty(); });
  F.Store.setExternalRow("servers", "i-1", "two");
  F.waitUntil([&F] { return F.allHave("i-1", "two"); });

  // The relay announces that it stops; another one takes its place before.
  First->Node.leave();
  F.waitUntil([&F, First] { return F.relay() != First && F.allFollow(); });
  F.Store.setExternalRow("servers", "i-2", "three");
  F.waitUntil([&F] { return F.allHave("i-2", "three"); });
}

// Guards against entry VMs that keep the rows which a store has lost when it
// came back from a copy, or ignore those that it has got since (review case 7).
TEST_CASE("entry VMs follow a store that comes back from an older copy") {
  struct Row {
    const char *Name;
    unsigned Returns;
    unsigned LostChanges; ///< Before each return.
    bool StopRelay;       ///< After the last return.
  };
  const Row Rows[] = {
      {"one return", 1, 20, false},
      {"two returns", 2, 20, false},
      {"the number is passed again", 1, 1, false},
      {"the relay ends after the return", 1, 20, true},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    Fixture F;
    F.Store.setEraHeader("1");
    F.waitUntil([&F] { return F.allFollow() && F.allHave("i-1", "one"); });
    std::string Newest;
    for (unsigned Return = 1; Return <= R.Returns; ++Return) {
      F.Store.copy();
      for (unsigned I = 0; I < R.LostChanges; ++I)
        F.Store.setExternalRow("servers", "lost", std::to_string(I));
      F.waitUntil([&F, &R] {
        return F.allHave("lost", std::to_string(R.LostChanges - 1));
      });
      F.Store.returnFromCopy();
      Newest = "after " + std::to_string(Return);
      F.Store.setExternalRow("servers", "i-1", Newest);
      F.Store.setExternalRow("servers", "i-2", Newest);
    }
    if (R.StopRelay)
      runTask(F.relay()->Node.stop(steadyNow() + milliseconds(100)));
    F.waitUntil([&F, &Newest] {
      return F.allHave("i-1", Newest) && F.allHave("i-2", Newest);
    });
    for (const auto &[Name, Vm] : F.Vms)
      for (const WatchedRow &Row :
           Vm->Feed.cache(WatchedTable::Servers).all().Rows)
        CHECK(Row.Key != "lost");
  }
}

// Guards against two relays that grant quotas at the same time: after a return
// of the store, the row names the relay before the present one again, or none.
TEST_CASE("one relay is left after a return of the store") {
  struct Row {
    const char *Name;
    bool CopyHasRow; ///< Of the relay before the present one.
  };
  const Row Rows[] = {{"the row of an earlier relay", true}, {"no row", false}};
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    Fixture F;
    F.Store.setEraHeader("1");
    if (!R.CopyHasRow)
      F.Store.copy();
    F.waitUntil([&F] { return F.allFollow(); });
    EntryVm *Earlier = F.relay();
    if (R.CopyHasRow) {
      F.Store.copy();
      Earlier->Node.leave();
      F.waitUntil([&] { return F.relay() != Earlier && F.allFollow(); });
    }
    for (const auto &[Name, Vm] : F.Vms)
      Vm->limit({100, 100});
    F.Store.returnFromCopy();
    F.Store.setExternalRow("servers", "i-1", "again");
    const auto IsSettled = [&F] {
      const EntryVm *Current = F.relay();
      return Current && Current->Node.row().Version.era() == 2 &&
             F.allFollow() && F.allHave("i-1", "again");
    };
    F.waitUntil(IsSettled);
    CHECK(F.relays() == 1);
    for (const auto &[Name, Vm] : F.Vms) {
      CAPTURE(Name);
      CHECK(Vm->Returns.history().era() == 2);
      CHECK(Vm->Node.row().Token == F.relay()->Node.row().Token);
    }
  }
}

// Guards against a follower that stays without changes when its relay is lost
// or does not reach the store.
TEST_CASE("entry VMs read the store themselves without a usable relay") {
  Fixture F;
  F.waitUntil([&F] { return F.allFollow(); });
  const EntryVm *First = F.relay();
  // The relay's process ends without notice.
  runTask(F.relay()->Node.stop(steadyNow() + milliseconds(100)));
  F.Store.setExternalRow("servers", "i-3", "four");
  F.waitUntil([&F] { return F.allHave("i-3", "four"); });
  F.waitUntil([&F, First] {
    return std::any_of(F.Vms.begin(), F.Vms.end(), [First](const auto &Entry) {
      return Entry.second.get() != First && Entry.second->Node.isRelay();
    });
  });
}

// Guards against an entry VM that starts in a data centre which is cut off from
// the store and serves nothing, although the relay there has the rows.
TEST_CASE("an entry VM that starts without the store uses the relay's rows") {
  Fixture F;
  F.waitUntil([&F] { return F.allFollow() && F.allHave("i-1", "one"); });
  fakeplatform::Faults Down;
  Down.Outage = true;
  const RelayRow Row = F.relay()->Node.row();
  // The new entry VM has read the relay's row before the outage.
  F.Vms["d"] = std::make_unique<EntryVm>("d", F.Port);
  F.waitUntil([&F, &Row] { return F.Vms["d"]->Node.row() == Row; });
  F.Store.setFaults(Down, std::nullopt);
  F.follow(F.Vms["d"]->Feed, WatchedTable::Operator);
  F.follow(F.Vms["d"]->Feed, WatchedTable::Servers);
  F.waitUntil([&F] { return F.allHave("i-1", "one"); });
  F.Store.setFaults({}, std::nullopt);
  F.Store.setExternalRow("servers", "i-5", "six");
  F.waitUntil([&F] { return F.allHave("i-5", "six"); });
}

// Guards against a read that is lost or answered wrongly on its way to a
// forwarder, and against one that waits for a forwarder which cannot help.
TEST_CASE("reads are forwarded while a forwarder answers") {
  Fixture F;
  F.waitUntil([&F] { return F.allFollow(); });
  EntryVm *Caller = F.relay();
  const ServiceName Service("s");
  ForwardedStatement Read;
  Read.Service = Service;
  HomeQuery Query;
  Query.Service = Service;
  Read.Query.Id = "q1";
  Read.Query.Text = "READ item";
  Read.Floor = LogPosition{3, 9};
  Read.Values = {{"unit", "kg"}};
  Read.Remaining = std::chrono::seconds(3);
  F.waitUntil([Caller, &Query] {
    return Caller->Node.forwarding().homeOf(Query) == HomePlace::OtherVm;
  });
  const auto Forward = [Caller, &Query, &Read] {
    const TimePoint Start = steadyNow();
    auto Given = runTask(Caller->Node.forwarding().forward(Query, Read));
    CHECK(steadyNow() - Start < std::chrono::seconds(1));
    return Given;
  };
  const ForwardResult Out = Forward();
  REQUIRE(Out.Fate == ForwardFate::Answered);
  const ForwardedAnswer &Given = Out.Given;
  CHECK(Given.Given.Rows == std::vector<std::string>{"row of READ item"});
  CHECK(Given.Given.Position == Read.Floor);
  CHECK(Given.Attempts == 2);
  CHECK(Given.Forwarder != Caller->Node.row().Vm);

  struct Row {
    const char *Name;
    std::function<void(EntryVm &)> Fault;
  };
  const Row Rows[] = {
      {"it is suspended", [](EntryVm &Vm) { Vm.Statements.Silent = true; }},
      {"it does not know the service",
       [](EntryVm &Vm) { Vm.Statements.KnowsService = false; }},
      {"it is about to stop", [](EntryVm &Vm) { Vm.Node.leave(); }},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    F.waitUntil([Caller, &Query] {
      return Caller->Node.forwarding().homeOf(Query) == HomePlace::OtherVm;
    });
    for (const auto &[Name, Vm] : F.Vms)
      if (Vm.get() != Caller)
        R.Fault(*Vm);
    CHECK(Forward().Fate != ForwardFate::Answered);
    CHECK(Forward().Fate != ForwardFate::Answered);
    // Both forwarders are avoided now; the reads run here.
    CHECK(Caller->Node.forwarding().homeOf(Query) != HomePlace::OtherVm);
    for (const auto &[Name, Vm] : F.Vms) {
      Vm->Statements.Silent = false;
      Vm->Statements.KnowsService = true;
    }
  }
}

// Guards against a write that runs twice, one that is reported as not run
// although it may have run, and one that runs after its sender has given it up,
// because it waited in the socket of a home that was suspended or cut off.
TEST_CASE("a forwarded write runs once, in time, or is known not to run") {
  struct Row {
    const char *Name;
    std::function<void(EntryVm &)> Fault;
    bool IsFirst; ///< Whether the connection has carried no request before.
    ForwardFate Fate;
    unsigned Ran;
  };
  const auto None = [](EntryVm &) {};
  const Row Rows[] = {
      {"no fault", None, false, ForwardFate::Answered, 1},
      {"the first request of a connection", None, true, ForwardFate::NotRun, 0},
      {"the home does not know the service",
       [](EntryVm &Vm) { Vm.Statements.KnowsService = false; }, false,
       ForwardFate::NotRun, 0},
      {"the home is frozen while it runs",
       [](EntryVm &Vm) { Vm.Statements.Silent = true; }, false,
       ForwardFate::Unknown, 1},
      {"the home stops", [](EntryVm &Vm) { Vm.Node.leave(); }, false,
       ForwardFate::NotRun, 0},
  };
  Fixture F;
  F.waitUntil([&F] { return F.allFollow(); });
  EntryVm *Caller = F.relay();
  const auto Home =
      std::find_if(F.Vms.begin(), F.Vms.end(), [Caller](const auto &Entry) {
        return Entry.second.get() != Caller;
      });
  EntryVm &Vm = *Home->second;
  const std::string Token = Caller->Node.row().Token;
  ForwardedStatement Write;
  Write.Service = ServiceName("s");
  Write.Workspace = WorkspaceName("w");
  Write.Query.Id = "q1";
  Write.Query.Kind = StatementVerb::Write;
  Write.Query.Text = "WRITE item data";
  Write.Remaining = milliseconds(700);
  HomeQuery Query;
  Query.Service = Write.Service;
  Query.Of = Write.Workspace;
  Query.Role = HomeRole::Primary;
  F.waitUntil([&] { return Vm.Node.row().Token == Token; });
  // Requests of one connection, each of which appears to have been under way
  // for some time longer than the first.
  struct Delayed {
    const char *Name;
    StatementVerb Kind;
    Duration Age;
    bool Runs;
  };
  const Delayed Requests[] = {
      {"the first one", StatementVerb::Write, Duration(0), false},
      {"a write in time", StatementVerb::Write, Duration(0), true},
      {"a write that waited in the socket", StatementVerb::Write,
       milliseconds(600), false},
      {"a read that waited in the socket", StatementVerb::Read,
       milliseconds(600), true},
      {"another write in time", StatementVerb::Write, Duration(0), true},
  };
  zmq::context_t RawContext(1);
  RelayLink Raw(RawContext, Vm.Address);
  for (const Delayed &D : Requests) {
    CAPTURE(D.Name);
    ForwardedStatement Sent = Write;
    Sent.Query.Kind = D.Kind;
    Sent.AtPrimary = D.Kind == StatementVerb::Read;
    Sent.SentAt = bootNow().time_since_epoch() - D.Age;
    relay::Request Message;
    Message.set_token(Token);
    Message.set_sender("sender");
    *Message.mutable_read() = toMessage(Sent);
    const unsigned Before = Vm.Statements.Asked;
    const auto Reply = runTask(
        Raw.request(std::move(Message), steadyNow() + milliseconds(700)));
    REQUIRE(Reply);
    REQUIRE(Reply->has_read());
    CHECK(Reply->read().not_run() != D.Runs);
    CHECK(Vm.Statements.Asked - Before == (D.Runs ? 1U : 0U));
  }
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    zmq::context_t Context(1);
    StatementForwarder Sender(EntryVmId("sender"));
    Sender.setForwarders(Context, {{EntryVmId(Home->first), Vm.Address, 50}},
                         Token);
    F.waitUntil([&] { return Sender.homeOf(Query) == HomePlace::OtherVm; });
    if (!R.IsFirst)
      REQUIRE(runTask(Sender.forward(Query, Write)).Fate ==
              ForwardFate::NotRun);
    const unsigned Before = Vm.Statements.Asked;
    R.Fault(Vm);
    const ForwardResult Out = runTask(Sender.forward(Query, Write));
    CHECK(Out.Fate == R.Fate);
    const bool WasAsked = Vm.Statements.KnowsService;
    CHECK(Vm.Statements.Asked - Before == (WasAsked ? R.Ran : 1));
    Vm.Statements.Silent = false;
    Vm.Statements.KnowsService = true;
    Sender.close();
  }
}

// Guards against a request without the token of the relay's row that is
// answered, and against a malformed one that disturbs other entry VMs.
TEST_CASE("a relay answers only entry VMs that know its token") {
  Fixture F;
  F.waitUntil([&F] { return F.allFollow(); });
  const RelayRow Row = F.relay()->Node.row();
  struct Case {
    const char *Name;
    std::string Token;
    bool Answered;
  };
  const Case Cases[] = {{"its token", Row.Token, true},
                        {"another token", "guess", false},
                        {"a longer token", Row.Token + "0", false}};
  zmq::context_t Context(1);
  RelayLink Link(Context, Row.Address);
  for (const Case &C : Cases) {
    CAPTURE(C.Name);
    relay::Request Message;
    Message.set_token(C.Token);
    Message.set_sender("vm-x");
    Message.mutable_sync();
    const std::optional<relay::Reply> Reply =
        runTask(Link.request(Message, steadyNow() + std::chrono::seconds(2)));
    REQUIRE(Reply);
    CHECK(Reply->has_sync() == C.Answered);
    CHECK(Reply->not_relay().replacement().token().empty());
  }

  zmq::socket_t Hostile(Context, zmq::socket_type::dealer);
  Hostile.set(zmq::sockopt::linger, 0);
  Hostile.connect("tcp://" + Row.Address);
  for (const std::string &Bytes :
       {std::string(), std::string("\xff\xff\xff"), std::string(200000, '\0'),
        std::string(100000, '[')})
    Hostile.send(zmq::buffer(Bytes), zmq::send_flags::none);
  F.Store.setExternalRow("servers", "i-4", "five");
  F.waitUntil([&F] { return F.allHave("i-4", "five"); });
  CHECK(F.allFollow());
}

// Guards against an entry VM without a lease although its relay has some to
// give, against one that uses its lease for longer, and against a relay that
// leases beside the former one, or never.
TEST_CASE("leases reach followers, expire and are given by the next relay") {
  Fixture F;
  for (const auto &[Name, Vm] : F.Vms)
    Vm->limit({100, 50});
  F.waitUntil([&F] { return F.allFollow(); });
  EntryVm *First = F.relay();
  for (const auto &[Name, Vm] : F.Vms) {
    CAPTURE(Name);
    bool Admitted = false;
    for (int I = 0; I < 20 && !Admitted; ++I) {
      Admitted = Vm->admit().Admitted;
      runTask(pause(milliseconds(Admitted ? 0 : 100)));
    }
    CHECK(Admitted);
    F.waitUntil([&Vm = Vm] { return Vm->leasedBurst() >= 1; });
  }

  // The relay's process ends without notice.
  runTask(First->Node.stop(steadyNow() + milliseconds(100)));
  const TimePoint LostAt = steadyNow();
  F.waitUntil([&F, First] {
    return std::any_of(F.Vms.begin(), F.Vms.end(), [First](const auto &Entry) {
      return Entry.second.get() != First && Entry.second->Node.isRelay();
    });
  });
  F.waitUntil([LostAt] {
    return steadyNow() - LostAt >
           QuotaAllocator::LeaseLength + milliseconds(300);
  });
  for (const auto &[Name, Vm] : F.Vms) {
    CAPTURE(Name);
    CHECK(Vm->leasedBurst() == 0);
  }
  // The former relay does not say that it has ended.
  F.waitUntil(
      [LostAt] { return steadyNow() - LostAt > QuotaAllocator::TakeoverTime; });
  for (const auto &[Name, Vm] : F.Vms) {
    if (Vm.get() == First)
      continue;
    CAPTURE(Name);
    bool Admitted = false;
    for (int I = 0; I < 30 && !Admitted; ++I) {
      Admitted = Vm->admit().Admitted;
      runTask(pause(milliseconds(Admitted ? 0 : 100)));
    }
    CHECK(Admitted);
  }

  for (const auto &[Name, Vm] : F.Vms)
    runTask(Vm->Node.stop(steadyNow() + milliseconds(100)));
  CHECK_FALSE(First->admit().Admitted);
  CHECK(First->admit().RetryAfter >= QuotaLeaseHolder::MinRetry);
}

// Guards against fields that a deployment without quotas did not send before.
TEST_CASE("nothing about quotas is sent without one") {
  Fixture F;
  F.waitUntil([&F] { return F.allFollow(); });
  for (const auto &[Name, Vm] : F.Vms) {
    Vm->Quotas.addSession(WorkspaceName("w"));
    CHECK_FALSE(Vm->Quotas.makeRequest());
    CHECK_FALSE(Vm->Quotas.needsAuthority());
    CHECK(Vm->admit().Admitted);
  }
}

// Guards against lists that get lost, and an exchange without workspaces.
TEST_CASE("followers know the forwarders of all data centres") {
  const bool HasWorkspaces = GENERATE(true, false);
  Fixture F;
  F.add("x", "there");
  F.add("y", "there");
  for (const auto &[Name, Vm] : F.Vms)
    if (HasWorkspaces)
      Vm->limit({100, 50});
  runTask(pause(std::chrono::seconds(2)));
  for (const auto &[Name, Vm] : F.Vms) {
    // Two here and one there; the number of an unknown data centre is guessed.
    const std::size_t Count = HasWorkspaces ? 3 : (Name < "x" ? 4 : 2);
    F.waitUntil([&Vm = Vm, Count] { return Vm->Board.Forwarders == Count; });
  }
}
