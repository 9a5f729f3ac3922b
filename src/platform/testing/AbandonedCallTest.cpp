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
constexpr Duration AnswerTime = std::chrono::seconds(5);

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

/// Answers the first message that arrives, without reading it.
QCoro::Task<> answer(HeldListener &Listener, std::string Answer) {
  while (!Listener.holdsBytes())
    co_await sleepFor(milliseconds(5));
  Listener.write(Answer);
}

/// A call over a connection to a server; returns whether it was answered.
using LinkCall = std::function<QCoro::Task<bool>(ServerLink &, TimePoint)>;

QCoro::Task<bool> sendCommit(ServerLink &Link, TimePoint Deadline) {
  Statement Commit;
  Commit.Id = "w1";
  Commit.Kind = StatementVerb::Commit;
  Commit.Text = "COMMIT";
  const Result<Answer> R =
      co_await Link.run(Commit, std::nullopt, std::string(), Deadline);
  co_return succeeded(R);
}

QCoro::Task<bool> orderStepDown(ServerLink &Link, TimePoint Deadline) {
  const Result<StatusAnswer> R = co_await Link.stepDown(2, Deadline);
  co_return succeeded(R);
}

QCoro::Task<bool> orderPause(ServerLink &Link, TimePoint Deadline) {
  const Result<StatusAnswer> R = co_await Link.pause(2, Deadline);
  co_return succeeded(R);
}

QCoro::Task<bool> orderResume(ServerLink &Link, TimePoint Deadline) {
  const Result<StatusAnswer> R = co_await Link.resume(Deadline);
  co_return succeeded(R);
}

std::unique_ptr<ServerLink> openLink(HeldListener &Listener,
                                     AbandonedCallObserver &Observer) {
  LineServerConnector Connector(EntryVmId("vm"), &Observer);
  RegisteredServer Server;
  Server.Id = ServerId("b");
  Server.Service = ServiceName("ledger");
  Server.At = Listener.address();
  greet(Listener);
  OpenedLink Opened = runTask(Connector.open(
      Server, WorkspaceName(), steadyNow() + std::chrono::seconds(5)));
  REQUIRE(std::holds_alternative<std::unique_ptr<ServerLink>>(Opened));
  return std::move(std::get<std::unique_ptr<ServerLink>>(Opened));
}

/// Returns a call that is sent over a new connection and given up after
/// CallTime.
auto onLink(const LinkCall &Call) {
  return [Call](HeldListener &Listener, AbandonedCallObserver &Observer) {
    const auto Link = openLink(Listener, Observer);
    CHECK_FALSE(runTask(Call(*Link, steadyNow() + CallTime)));
  };
}

/// Ends the connection while an answer is outstanding.
void endConnection(HeldListener &Listener, AbandonedCallObserver &Observer) {
  const auto Link = openLink(Listener, Observer);
  [](ServerLink &Link) -> QCoro::Task<> {
    co_await sleepFor(CallTime);
    Link.abort();
  }(*Link);
  CHECK_FALSE(
      runTask(sendCommit(*Link, steadyNow() + std::chrono::seconds(5))));
}

PromotionRequest order() {
  PromotionRequest Order;
  Order.Service = ServiceName("ledger");
  Order.Target = ServerId("b");
  Order.Holder = EntryVmId("vm");
  Order.FencingToken = 7;
  return Order;
}

void orderPromotion(HeldListener &Listener, AbandonedCallObserver &Observer) {
  HttpPromotionClient Client(Listener.address(), &Observer);
  acceptOne(Listener);
  CHECK(runTask(Client.promote(order(), steadyNow() + CallTime)) ==
        PromotionOutcome::Unknown);
}

void writeClaim(HeldListener &Listener, AbandonedCallObserver &Observer) {
  HttpPlatform Store(Listener.address(), 1, HttpPlatform::DefaultThresholds,
                     &Observer);
  acceptOne(Listener);
  CHECK_FALSE(succeeded(
      runTask(Store.compareAndSet("takeover/ledger", StoreVersion(7), "claimed",
                                  "op", steadyNow() + CallTime))));
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
      {"a commit", onLink(sendCommit), CallKind::Statement, "b", 0},
      {"a commit whose connection is ended", endConnection, CallKind::Statement,
       "b", 0},
      {"a step-down", onLink(orderStepDown), CallKind::StepDown, "b", 0},
      {"a pause", onLink(orderPause), CallKind::Pause, "b", 0},
      {"a resume", onLink(orderResume), CallKind::Resume, "b", 0},
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
    CHECK(Call.End == ConnectionEnd::Reset);
    CHECK_FALSE(Listener.read().empty());
    CHECK(Listener.status() == ECONNRESET);
    CHECK(Call.SinceWritten > Duration::zero());
    CHECK(Call.SinceWritten < std::chrono::seconds(1));
  }
}

// Guards against an answered call that is lost or reported as given up because
// its connection is reset when it is dropped afterwards.
TEST_CASE("an answered call is complete when its idle connection is reset") {
  testApplication();
  struct Row {
    const char *Name;
    std::function<void(HeldListener &, AbandonedCallObserver &)> Call;
    std::string Received; ///< End of the bytes that the receiver got.
  };
  const Row Rows[] = {
      {"an order to promote",
       [](HeldListener &Listener, AbandonedCallObserver &Observer) {
         HttpPromotionClient Client(Listener.address(), &Observer);
         acceptOne(Listener);
         answer(Listener, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
         CHECK(runTask(Client.promote(order(), steadyNow() + AnswerTime)) ==
               PromotionOutcome::Accepted);
       },
       "{\"id\":\"b\",\"service\":\"ledger\"}"},
      {"a commit",
       [](HeldListener &Listener, AbandonedCallObserver &Observer) {
         const auto Link = openLink(Listener, Observer);
         answer(Listener, lines::encodeAnswer(Answer()));
         CHECK(runTask(sendCommit(*Link, steadyNow() + AnswerTime)));
         CHECK(Link->isUsable());
       },
       "COMMIT\r\n"},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    HeldListener Listener;
    RecordedCalls Observer;
    R.Call(Listener, Observer);
    CHECK(Observer.Calls.empty());
    const std::string Received = Listener.read();
    CAPTURE(Received);
    CHECK(Received.ends_with(R.Received));
    CHECK(Listener.status() == ECONNRESET);
  }
}
