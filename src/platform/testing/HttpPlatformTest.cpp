#include "platform/HttpPlatform.h"
#include "core/Async.h"
#include "testing/fake-platform/PlatformServer.h"
#include "testing/fake-platform/TestApplication.h"

#include <catch2/catch.hpp>

#include <QHostAddress>

using namespace amaranthspur;
using fakeplatform::Faults;

namespace {

TimePoint secondsFromNow(int S) {
  return steadyNow() + std::chrono::seconds(S);
}

/// An HttpPlatform and a fake platform server in one process, connected over
/// loopback.
struct Fixture {
  QCoreApplication &App = testApplication();
  fakeplatform::PlatformStore Store{1};
  fakeplatform::PlatformServer Server{this->Store};
  quint16 Port = this->Server.listen(QHostAddress::LocalHost);
  HttpPlatform Client{{"127.0.0.1", this->Port}, 1};
};

Faults withLossRate(double Share) {
  Faults F;
  F.LoseAnswers = Share;
  return F;
}

} // namespace

// Guards against errors in decoding the platform's responses.
TEST_CASE("rows, objects and the VM list pass through HTTP") {
  Fixture F;
  const auto Absent =
      QCoro::waitFor(F.Client.readRow("config/head", secondsFromNow(5)));
  REQUIRE(succeeded(Absent));
  CHECK_FALSE(valueOf(Absent).Version.exists());

  const auto Set = QCoro::waitFor(F.Client.compareAndSet(
      "config/head", {}, "{\"v\":\"ü\"}", "op 1/%", secondsFromNow(5)));
  REQUIRE(succeeded(Set));
  CHECK(valueOf(Set).Applied);

  const auto Lost = QCoro::waitFor(F.Client.compareAndSet(
      "config/head", {}, "other", "op-2", secondsFromNow(5)));
  REQUIRE(succeeded(Lost));
  CHECK_FALSE(valueOf(Lost).Applied);
  CHECK(valueOf(Lost).Current.Operation == "op 1/%");
  CHECK(valueOf(Lost).Current.Value == "{\"v\":\"ü\"}");

  const std::string Bytes("\0\xff\n binary", 10);
  REQUIRE(succeeded(QCoro::waitFor(
      F.Client.putObject("config/ab", Bytes, secondsFromNow(5)))));
  const auto Got =
      QCoro::waitFor(F.Client.getObject("config/ab", secondsFromNow(5)));
  REQUIRE(succeeded(Got));
  CHECK(valueOf(Got) == Bytes);
  const auto None =
      QCoro::waitFor(F.Client.getObject("config/none", secondsFromNow(5)));
  REQUIRE(succeeded(None));
  CHECK_FALSE(valueOf(None).has_value());

  F.Store.putVm({"vm-1", "127.0.1.1:7000", "127.0.1.1:7001", "paarl-a", true},
                steadyNow());
  const auto Vms = QCoro::waitFor(F.Client.listVms(secondsFromNow(5)));
  REQUIRE(succeeded(Vms));
  REQUIRE(valueOf(Vms).size() == 1);
  CHECK(valueOf(Vms)[0].Id.str() == "vm-1");
  CHECK(valueOf(Vms)[0].AdminAddress == "127.0.1.1:7001");
  CHECK(valueOf(Vms)[0].Location.str() == "paarl-a");
  CHECK(valueOf(Vms)[0].Leaving);
}

// Guards against an answer whose clock is dropped: a claim would then be waited
// for from its first sight.
TEST_CASE("answers about a row tell the store's clock") {
  Fixture F;
  const auto NowMs = [] {
    return steadyNow().time_since_epoch() / milliseconds(1);
  };
  const std::string Key = "takeover/ledger";
  const std::int64_t Before = NowMs();
  std::vector<std::optional<std::int64_t>> Told;
  for (int I = 0; I < 2; ++I) {
    const auto Read = QCoro::waitFor(F.Client.readRow(Key, secondsFromNow(5)));
    REQUIRE(succeeded(Read));
    CHECK(valueOf(Read).Version.number() == (I == 0 ? 0 : 1));
    Told.push_back(valueOf(Read).StoreMs);
    const auto Written = QCoro::waitFor(F.Client.compareAndSet(
        Key, {}, "value", "op-" + std::to_string(I), secondsFromNow(5)));
    REQUIRE(succeeded(Written));
    CHECK(valueOf(Written).Applied == (I == 0));
    Told.push_back(valueOf(Written).Current.StoreMs);
  }
  for (const std::optional<std::int64_t> &Ms : Told) {
    REQUIRE(Ms);
    CHECK(*Ms >= Before);
    CHECK(*Ms <= NowMs());
  }
}

// Guards against a write that is applied twice, or that is reported as failed
// although it was applied, when its response is lost.
TEST_CASE("a write whose responses are lost is applied once") {
  for (const std::uint64_t Seed : {1, 2, 3, 4, 5, 6}) {
    CAPTURE(Seed);
    Fixture F;
    F.Store.setFaults(withLossRate(0.5), Seed);
    const auto Set = QCoro::waitFor(
        F.Client.compareAndSet("k", {}, "value", "op", secondsFromNow(20)));
    CHECK(F.Store.readRow("k").Version == 1);
    // At this loss rate the breaker may open before a response arrives; the
    // outcome is then unknown.
    if (succeeded(Set)) {
      CHECK(valueOf(Set).Applied);
      CHECK(valueOf(Set).Current.Version == StoreVersion(1));
    }
  }
}

// Guards against calls that never return, and against calls that keep sending
// requests to a service that is down.
TEST_CASE("an outage gives errors and opens the breaker") {
  Fixture F;
  Faults Outage;
  Outage.Outage = true;
  F.Store.setFaults(Outage, std::nullopt);
  const auto Row = QCoro::waitFor(F.Client.readRow("k", secondsFromNow(20)));
  REQUIRE_FALSE(succeeded(Row));
  CHECK(nameOf(F.Client.breakerState()) == nameOf(BreakerState::Open));
  const std::uint64_t Attempts = F.Client.counters().Attempts;
  const auto Refused =
      QCoro::waitFor(F.Client.readRow("k", secondsFromNow(20)));
  REQUIRE_FALSE(succeeded(Refused));
  CHECK(F.Client.counters().Attempts == Attempts);
  CHECK(F.Client.counters().Refused == 2);

  F.Store.setFaults({}, std::nullopt);
  for (int I = 0; I < 100; ++I) {
    if (succeeded(QCoro::waitFor(F.Client.readRow("k", secondsFromNow(5)))))
      break;
    QCoro::waitFor(
        []() -> QCoro::Task<> { co_await sleepFor(milliseconds(100)); }());
  }
  CHECK(nameOf(F.Client.breakerState()) == nameOf(BreakerState::Closed));
}

// Guards against counting responses of the rate limiter (429) as failures of
// the service.
TEST_CASE("a throttled request is retried and leaves the breaker closed") {
  Fixture F;
  Faults Limited;
  Limited.ReadsPerSecond = 1;
  F.Store.setFaults(Limited, std::nullopt);
  for (int I = 0; I < 3; ++I)
    CHECK(succeeded(QCoro::waitFor(F.Client.readRow("k", secondsFromNow(20)))));
  CHECK(F.Client.counters().Throttled > 0);
  CHECK(nameOf(F.Client.breakerState()) == nameOf(BreakerState::Closed));
}

// Guards against a crash of the client or the fake server when a response is
// sent after the client has given up.
TEST_CASE("a response after the deadline is dropped") {
  Fixture F;
  Faults Slow;
  Slow.Delay = milliseconds(300);
  F.Store.setFaults(Slow, std::nullopt);
  const auto Row =
      QCoro::waitFor(F.Client.readRow("k", steadyNow() + milliseconds(50)));
  REQUIRE_FALSE(succeeded(Row));
  CHECK(errorOf(Row).find("in time") != std::string::npos);
  F.Store.setFaults({}, std::nullopt);
  QCoro::waitFor(
      []() -> QCoro::Task<> { co_await sleepFor(milliseconds(400)); }());
  CHECK(succeeded(QCoro::waitFor(F.Client.readRow("k", secondsFromNow(5)))));
}

// Guards against an era that is taken from a faulty header, which would make
// rows look older or newer than they are, and against a process that ends
// because of one.
TEST_CASE("the era of an answer comes from its header") {
  class Observer final : public StoreEraObserver {
  public:
    void observeVersion(StoreVersion Newest) override { this->Newest = Newest; }
    void observeFault(EraFault Fault, std::string_view Text) override {
      this->Fault = Fault;
      this->Header = Text;
    }
    std::optional<StoreVersion> Newest;
    std::optional<EraFault> Fault;
    std::string Header;
  };
  struct Row {
    const char *Name;
    std::optional<std::string> Before; ///< Header of the first answer.
    std::optional<std::string> Header; ///< Of the second answer.
    std::uint64_t Era;                 ///< Of its row.
    std::optional<EraFault> Fault;
  };
  const Row Rows[] = {
      {"none ever", std::nullopt, std::nullopt, 0, std::nullopt},
      {"the first one", std::nullopt, "3", 3, std::nullopt},
      {"zero", "0", "0", 0, std::nullopt},
      {"a later one", "3", "4", 4, std::nullopt},
      {"missing on one answer", "3", std::nullopt, 3, EraFault::Missing},
      {"empty", "3", "", 3, EraFault::Malformed},
      {"not a number", "3", "four", 3, EraFault::Malformed},
      {"a sign", "3", "-4", 3, EraFault::Malformed},
      {"a fraction", "3", "4.5", 3, EraFault::Malformed},
      {"two numbers", "3", "4, 5", 3, EraFault::Malformed},
      {"above the bound", "3", "9000001", 3, EraFault::TooLarge},
      {"more than 64 bits", "3", std::string(400, '9'), 3, EraFault::TooLarge},
      {"lower than before", "3", "2", 2, EraFault::Lower},
  };
  Fixture F;
  F.Store.writeRow("k", 0, "value", "op");
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    Observer Seen;
    HttpPlatform Client({"127.0.0.1", F.Port}, 1,
                        HttpPlatform::DefaultThresholds, nullptr, &Seen);
    F.Store.setEraHeader(R.Before);
    REQUIRE(succeeded(QCoro::waitFor(Client.readRow("k", secondsFromNow(5)))));
    CHECK_FALSE(Seen.Fault);
    F.Store.setEraHeader(R.Header);
    const auto Read = QCoro::waitFor(Client.readRow("k", secondsFromNow(5)));
    REQUIRE(succeeded(Read));
    CHECK(valueOf(Read).Version == StoreVersion(1, R.Era));
    CHECK(Seen.Fault == R.Fault);
    CHECK(Seen.Newest.has_value() == (R.Before || R.Header));
  }
}

// Guards against a write that replaces a row of another writer: after a return
// from a copy, the store gives the number of a known version out again.
TEST_CASE("a conditional write on a version of an earlier era is not sent") {
  struct Row {
    const char *Name;
    bool IsKnown; ///< The client has had an answer of the later era.
    bool Applied;
  };
  const Row Rows[] = {{"the return is known", true, false},
                      {"the return is not known", false, true}};
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    Fixture F;
    F.Store.setEraHeader("1");
    F.Store.copy();
    const auto Own = QCoro::waitFor(
        F.Client.compareAndSet("k", {}, "own", "op-1", secondsFromNow(5)));
    REQUIRE(succeeded(Own));
    F.Store.returnFromCopy();
    F.Store.writeRow("k", 0, "other", "op-2");
    if (R.IsKnown)
      REQUIRE(
          succeeded(QCoro::waitFor(F.Client.readRow("x", secondsFromNow(5)))));
    const auto Again = QCoro::waitFor(F.Client.compareAndSet(
        "k", valueOf(Own).Current.Version, "mine", "op-3", secondsFromNow(5)));
    REQUIRE(succeeded(Again));
    CHECK(valueOf(Again).Applied == R.Applied);
    CHECK(valueOf(Again).Current.Version.era() == 2);
    CHECK(valueOf(Again).Current.Value == (R.Applied ? "mine" : "other"));
  }
}
