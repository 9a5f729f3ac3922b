#include "root/relay/RelayPeers.h"

#include "platform/HttpPlatform.h"
#include "root/relay/QuotaCodec.h"
#include "root/relay/RelayCodec.h"
#include "root/relay/RelayListener.h"
#include "testing/Processes.h"
#include "testing/TaskRunner.h"
#include "testing/fake-platform/PlatformServer.h"

#include <catch2/catch.hpp>

#include <QHostAddress>

#include <functional>
#include <vector>

using namespace amaranthspur;

namespace {

const WorkspaceName Shop("shop");

/// Quotas that want and grant what a test sets.
class FakeQuotas final : public QuotaBoard {
public:
  std::optional<QuotaRequest> makeRequest() override { return std::nullopt; }
  void applyLeases(const std::vector<QuotaLease> &, TimePoint) override {}
  void abandonRequest() override {}
  void shareAmong(std::size_t) override {}
  void startAllocation(bool) override {}
  void prepareEnd() override {}
  void endAllocation() override {}
  bool needsAuthority() const override { return true; }
  void confirmAuthority(TimePoint) override {}
  void withdrawAuthority() override {}
  void formerAllocatorEnded() override {}
  std::vector<QuotaLease> lease(const QuotaRequest &) override { return {}; }
  std::optional<QuotaLoanRequest> makeLoanRequest(const DataCentre &) override {
    if (!this->Wants)
      return std::nullopt;
    ++this->Open;
    return QuotaLoanRequest{
        {EntryVmId("self"), 7}, ++this->Sequence, {{Shop, 3}}};
  }
  std::vector<QuotaLoan> lend(const QuotaLoanRequest &Asked) override {
    std::vector<QuotaLoan> Out;
    Out.reserve(Asked.Wishes.size());
    for (const QuotaLoanWish &W : Asked.Wishes)
      Out.push_back({W.Workspace, W.Tokens, milliseconds(900)});
    return Out;
  }
  void applyLoans(const DataCentre &, const std::vector<QuotaLoan> &Loans,
                  TimePoint) override {
    --this->Open;
    for (const QuotaLoan &L : Loans)
      this->Borrowed += L.Tokens;
  }
  void abandonLoanRequest(const DataCentre &) override {
    --this->Open;
    ++this->Abandoned;
  }

  bool Wants = false;
  int Open = 0; ///< Requests that were neither applied nor abandoned.
  std::uint64_t Sequence = 0;
  unsigned Abandoned = 0;
  double Borrowed = 0;
};

/// The relay of another data centre.
class FakePeer {
public:
  explicit FakePeer(const std::string &Name)
      : Row{{},
            EntryVmId(Name),
            "127.0.0.1:" + std::to_string(freePort("127.0.0.1")),
            "token-" + Name},
        Forwarders{{EntryVmId(Name + "-f"), "127.0.0.1:9", 50}} {
    const Result<Success> Opened = this->Listener.listen(
        this->Context, this->Row.Address,
        [this](const RelayListener::Peer &From, const relay::Request &Asked) {
          this->onRequest(From, Asked);
        });
    REQUIRE(succeeded(Opened));
  }

  RelayRow Row;
  std::vector<ForwarderVm> Forwarders;
  bool Silent = false;
  std::string Location = "there";
  std::optional<RelayRow> Next; ///< This relay has been replaced by it.
  FakeQuotas Quotas;
  std::vector<relay::Request> Requests;

private:
  void onRequest(const RelayListener::Peer &From, const relay::Request &Asked) {
    this->Requests.push_back(Asked);
    if (this->Silent)
      return;
    relay::Reply Answer;
    Answer.set_correlation(Asked.correlation());
    if (this->Next) {
      relay::Replacement *R = Answer.mutable_not_relay()->mutable_replacement();
      R->set_row_version(this->Next->Version.number());
      R->set_relay(this->Next->Vm.str());
      R->set_address(this->Next->Address);
      R->set_token(this->Next->Token);
    } else if (Asked.token() != this->Row.Token || !Asked.has_exchange()) {
      Answer.mutable_not_relay();
    } else {
      relay::ExchangeReply *Reply = Answer.mutable_exchange();
      Reply->set_data_centre(this->Location);
      *Reply->mutable_forwarders() = toMessages(this->Forwarders);
      const auto Wanted = loanRequestOf(Asked.exchange(), Asked.sender());
      if (Wanted)
        addLoans(*Reply, this->Quotas.lend(*Wanted));
    }
    this->Listener.reply(From, Answer);
  }

  zmq::context_t Context{1};
  RelayListener Listener;
};

void waitUntil(const std::function<bool()> &Condition) {
  const bool Met =
      runTask([](const std::function<bool()> &Condition) -> QCoro::Task<bool> {
        const TimePoint End = steadyNow() + std::chrono::seconds(15);
        while (!Condition() && steadyNow() < End)
          co_await sleepFor(milliseconds(10));
        co_return Condition();
      }(Condition));
  REQUIRE(Met);
}

QCoro::Task<> pause(Duration Length) { co_await sleepFor(Length); }

/// The exchange of the data centre `here` with `there`.
struct Fixture {
  Fixture() : Port(this->Server.listen(QHostAddress::LocalHost)) {
    this->Peers.setQuotas(this->Quotas);
    this->Peers.setOwnForwarders({{EntryVmId("own-f"), "127.0.0.1:8", 12}});
  }
  ~Fixture() {
    runTask(this->Peers.stop(steadyNow() + std::chrono::seconds(5)));
  }

  /// Writes the row of `there`, and sets its version in \p P.
  void name(FakePeer &P) {
    const std::string Key = relayRowKey(DataCentre("there"));
    const fakeplatform::WriteOutcome Written =
        this->Store.writeRow(Key, this->Store.readRow(Key).Version,
                             encodeRelayRow(P.Row), P.Row.Vm.str());
    REQUIRE(Written.Applied);
    P.Row.Version = StoreVersion(Written.Present.Version);
  }
  bool knows(const FakePeer &P) const {
    return this->Peers.remoteForwarders() ==
           std::vector<RemoteForwarders>{
               {DataCentre("there"), P.Row.Token, P.Forwarders}};
  }
  bool counted(const std::string &Outcome) const {
    return this->Counters.serialise().find(
               "amaranthspur_relay_exchanges_total{result=\"" + Outcome) !=
           std::string::npos;
  }

  QCoreApplication &App = testApplication();
  fakeplatform::PlatformStore Store{1};
  fakeplatform::PlatformServer Server{this->Store};
  quint16 Port;
  HttpPlatform Platform{{"127.0.0.1", this->Port}, 1};
  Metrics Counters;
  FakeQuotas Quotas;
  zmq::context_t Context{1};
  RelayPeers Peers{EntryVmId("self"),
                   DataCentre("here"),
                   {DataCentre("there")},
                   this->Platform,
                   this->Counters};
};

} // namespace

// Guards against forwarders or tokens of another data centre that do not
// arrive, and against requests that the other relay must reject.
TEST_CASE("relays of two data centres exchange forwarders and tokens") {
  Fixture F;
  FakePeer P("p");
  F.name(P);
  F.Quotas.Wants = true;
  F.Peers.setActive(F.Context, true);
  waitUntil([&] { return F.knows(P) && F.Quotas.Borrowed >= 6; });
  CHECK(F.counted("answered"));
  CHECK_FALSE(F.counted("unanswered"));
  const relay::Request &Sent = P.Requests.back();
  CHECK(Sent.sender() == "self");
  CHECK(Sent.exchange().data_centre() == "here");
  REQUIRE(Sent.exchange().forwarders_size() == 1);
  CHECK(Sent.exchange().forwarders(0).vm() == "own-f");
  CHECK(Sent.exchange().loan().start() == 7);

  F.Quotas.Wants = false;
  F.Peers.setActive(F.Context, false);
  CHECK(F.Peers.remoteForwarders().empty());
  waitUntil([&] { return F.Quotas.Open == 0; });
  const std::size_t Before = P.Requests.size();
  runTask(pause(milliseconds(1300)));
  CHECK(P.Requests.size() == Before);
}

// Guards against a data centre that stays in use although its relay is lost,
// against wishes for tokens that are left open, and against a next relay that
// is not found.
TEST_CASE("a lost relay's forwarders are dropped and the next relay is found") {
  struct Row {
    const char *Name;
    std::function<void(FakePeer &, const FakePeer &)> Fault;
    const char *Result;
    bool IsDropped; ///< Before the next relay is found.
    Duration Limit; ///< Until the next relay is found.
  };
  const auto Silence = [](FakePeer &P, const FakePeer &) { P.Silent = true; };
  const Row Rows[] = {
      {"it does not answer", Silence, "unanswered", true,
       RelayContact::RowSpacing * 2},
      {"it rejects the token",
       [](FakePeer &P, const FakePeer &) { P.Row.Token = "another"; },
       "rejected", true, RelayContact::RowSpacing * 2},
      {"its address belongs to another data centre",
       [](FakePeer &P, const FakePeer &) { P.Location = "elsewhere"; },
       "rejected", true, RelayContact::RowSpacing * 2},
      {"it names the next relay",
       [](FakePeer &P, const FakePeer &Q) { P.Next = Q.Row; }, "rejected",
       false, std::chrono::seconds(2)},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    Fixture F;
    FakePeer First("p");
    FakePeer Second("q");
    F.name(First);
    F.Quotas.Wants = true;
    F.Peers.setActive(F.Context, true);
    waitUntil([&] { return F.knows(First) && F.Quotas.Borrowed > 0; });
    if (!R.IsDropped)
      F.name(Second);
    const TimePoint LostAt = steadyNow();
    R.Fault(First, Second);
    if (R.IsDropped) {
      waitUntil([&] { return F.Peers.remoteForwarders().empty(); });
      CHECK(steadyNow() - LostAt > std::chrono::seconds(1));
      CHECK(steadyNow() - LostAt < std::chrono::seconds(4));
      F.name(Second);
    }
    waitUntil([&] { return F.knows(Second); });
    CHECK(steadyNow() - LostAt < R.Limit);
    CHECK(F.counted(R.Result));
    CHECK(F.Quotas.Abandoned > 0);
    F.Quotas.Wants = false;
    waitUntil([&] { return F.Quotas.Open == 0; });
  }
}

// Guards against loans to a data centre that is none of the deployment, whose
// quotas are then divided differently.
TEST_CASE("only other data centres of the deployment are answered") {
  struct Row {
    const char *Name;
    const char *Location;
    bool HasLoan;
    bool Answered;
  };
  const Row Rows[] = {{"another data centre", "there", true, true},
                      {"no tokens are wanted", "there", false, true},
                      {"the own data centre", "here", true, false},
                      {"an unknown data centre", "elsewhere", true, false}};
  Fixture F;
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    relay::ExchangeRequest Asked;
    Asked.set_data_centre(R.Location);
    if (R.HasLoan)
      addLoanRequest(Asked, {{EntryVmId("p"), 1}, 1, {{Shop, 4}}});
    const auto Given = F.Peers.answer(Asked, "p");
    REQUIRE(Given.has_value() == R.Answered);
    if (!Given)
      continue;
    CHECK(Given->data_centre() == "here");
    CHECK(Given->forwarders_size() == 1);
    CHECK(loansOf(*Given).size() == (R.HasLoan ? 1U : 0U));
  }
}
