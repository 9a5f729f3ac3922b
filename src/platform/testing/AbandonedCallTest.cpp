#include "core/Async.h"
#include "platform/HttpPlatform.h"
#include "platform/LineCodec.h"
#include "platform/LineServerLink.h"
#include "platform/PromotionClient.h"
#include "testing/HeldListener.h"
#include "testing/TaskRunner.h"

#include <catch2/catch.hpp>

#include <functional>

using namespace amaranthspur;

namespace {

constexpr Duration CallTime = milliseconds(150);

class RecordedCalls final : public AbandonedCallObserver {
public:
  void recordAbandoned(const AbandonedCall &Call) override {
    this->Calls.push_back(Call);
  }
  std::vector<AbandonedCall> Calls;
};

/// Waits until a connection has been opened and \p Listener has taken it.
QCoro::Task<> acceptOne(HeldListener &Listener) {
  while (!Listener.acceptNext())
    co_await sleepFor(milliseconds(5));
}

/// Serves a connection as a backend server until the greeting.
QCoro::Task<> greet(HeldListener &Listener) {
  co_await acceptOne(Listener);
  while (!Listener.holdsBytes())
    co_await sleepFor(milliseconds(5));
  Listener.read();
  Listener.write(lines::encodeGreeting());
}

/// Sends a statement over a new connection. It is given up after CallTime, or
/// before that by ServerLink::abort().
void runStatement(HeldListener &Listener, AbandonedCallObserver &Observer,
                  bool IsAborted) {
  LineServerConnector Connector(EntryVmId("vm"), &Observer);
  RegisteredServer Server;
  Server.Id = ServerId("b");
  Server.Service = ServiceName("ledger");
  Server.At = Listener.address();
  greet(Listener);
  OpenedLink Opened =
      runTask(Connector.open(Server, steadyNow() + std::chrono::seconds(5)));
  REQUIRE(std::holds_alternative<std::unique_ptr<ServerLink>>(Opened));
  const auto &Link = std::get<std::unique_ptr<ServerLink>>(Opened);
  Statement Commit;
  Commit.Id = "w1";
  Commit.Kind = StatementVerb::Commit;
  Commit.Text = "COMMIT";
  if (IsAborted)
    [](ServerLink &Link) -> QCoro::Task<> {
      co_await sleepFor(CallTime);
      Link.abort();
    }(*Link);
  const TimePoint Deadline =
      steadyNow() + (IsAborted ? std::chrono::seconds(5) : CallTime);
  CHECK_FALSE(succeeded(
      runTask(Link->run(Commit, std::nullopt, std::string(), Deadline))));
}

void orderPromotion(HeldListener &Listener, AbandonedCallObserver &Observer) {
  HttpPromotionClient Client(Listener.address(), &Observer);
  PromotionRequest Order;
  Order.Service = ServiceName("ledger");
  Order.Target = ServerId("b");
  Order.Holder = EntryVmId("vm");
  Order.FencingToken = 7;
  acceptOne(Listener);
  CHECK(runTask(Client.promote(Order, steadyNow() + CallTime)) ==
        PromotionOutcome::Unknown);
}

void writeClaim(HeldListener &Listener, AbandonedCallObserver &Observer) {
  HttpPlatform Store(Listener.address(), 1, HttpPlatform::DefaultThresholds,
                     &Observer);
  acceptOne(Listener);
  CHECK_FALSE(succeeded(runTask(Store.compareAndSet(
      "takeover/ledger", 7, "claimed", "op", steadyNow() + CallTime))));
}

} // namespace

// Guards against a call that is executed after its sender has given it up, when
// the path on which its bytes were held up works again, and against one that
// leaves no trace.
TEST_CASE("a call that is given up is reset and reported") {
  testApplication();
  struct Row {
    const char *Name;
    std::function<void(HeldListener &, AbandonedCallObserver &)> GiveUp;
    CallKind Kind;
    std::string Target;
    std::uint64_t Fence;
  };
  const Row Rows[] = {
      {"an order to promote", orderPromotion, CallKind::Promotion, "b", 7},
      {"a claim", writeClaim, CallKind::RowWrite, "takeover/ledger", 7},
      {"a statement without an answer in time",
       [](HeldListener &Listener, AbandonedCallObserver &Observer) {
         runStatement(Listener, Observer, false);
       },
       CallKind::Statement, "b", 0},
      {"a statement whose connection is ended",
       [](HeldListener &Listener, AbandonedCallObserver &Observer) {
         runStatement(Listener, Observer, true);
       },
       CallKind::Statement, "b", 0},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    HeldListener Listener;
    RecordedCalls Observer;
    R.GiveUp(Listener, Observer);
    REQUIRE_FALSE(Observer.Calls.empty());
    const AbandonedCall &Call = Observer.Calls.front();
    CHECK(Call.Subject.Kind == R.Kind);
    CHECK(Call.Subject.Target == R.Target);
    CHECK(Call.Subject.Fence == R.Fence);
    CHECK(Call.Written > 0);
    CHECK(Call.SinceWritten > Duration::zero());
    CHECK(Call.SinceWritten < std::chrono::seconds(1));
    if (R.Kind != CallKind::Statement)
      continue;
    CHECK(Call.End == ConnectionEnd::Reset);
    CHECK_FALSE(Listener.read().empty());
    CHECK(Listener.status() == ECONNRESET);
  }
}
