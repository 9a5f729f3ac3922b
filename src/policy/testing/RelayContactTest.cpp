#include "policy/RelayContact.h"

#include <catch2/catch.hpp>

#include <functional>
#include <string>
#include <vector>

using namespace amaranthspur;

namespace {

TimePoint at(std::int64_t Ms) { return TimePoint(milliseconds(Ms)); }

RelayRow rowOf(std::uint64_t Version, const std::string &Vm) {
  return {StoreVersion(Version), EntryVmId(Vm), Vm + ":1", "token-" + Vm};
}

/// Another data centre in a simulation with steps of 10 ms.
struct Model {
  std::function<std::optional<RelayRow>(std::int64_t)> Store;
  std::function<ExchangeResult(std::int64_t)> Peer;
  std::function<bool(std::int64_t)> TokensWanted = [](auto) { return false; };
  bool MayBorrow = false;

  void run(std::int64_t UntilMs) {
    for (std::int64_t Ms = 0; Ms < UntilMs; Ms += 10) {
      const TimePoint Now = at(Ms);
      ContactStep Step = this->Contact.step(Now, this->MayBorrow);
      if (Step == ContactStep::Wait)
        CHECK(this->Contact.nextStepAt(this->MayBorrow) > Now);
      if (Step == ContactStep::ReadRow) {
        this->Reads.push_back(Ms);
        this->Contact.observeRowRead(Now);
        const std::optional<RelayRow> Seen = this->Store(Ms);
        if (Seen)
          this->Contact.observeRow(*Seen, Now);
        Step = this->Contact.step(Now, this->MayBorrow);
      }
      const bool Wanted = this->MayBorrow && this->TokensWanted(Ms);
      if (Step == ContactStep::Borrow && !Wanted)
        this->Contact.observeNothingWanted(Now);
      else if (Step == ContactStep::Exchange || Step == ContactStep::Borrow)
        this->exchange(Ms);
    }
  }

  void exchange(std::int64_t Ms) {
    this->Requests.push_back(Ms);
    this->Contact.observeRequest(at(Ms));
    if (this->Peer(Ms) == ExchangeResult::Answered)
      this->Contact.observeAnswer({{EntryVmId("f"), "f:1", 50}}, at(Ms));
    else
      this->Contact.observeFailure();
  }

  RelayContact Contact{};
  std::vector<std::int64_t> Reads{};
  std::vector<std::int64_t> Requests{};
};

} // namespace

// Guards against billed reads of rows that are not needed, against a new relay
// that is not found, and against requests that are sent too often or never.
TEST_CASE("rows are read and requests are sent only when they are due") {
  struct Row {
    const char *Name;
    Model Given;
    std::int64_t UntilMs;
    std::vector<std::int64_t> Reads;
    std::vector<std::int64_t> Requests;
    bool Reached;
  };
  const auto Known = [](auto) { return std::optional(rowOf(1, "p")); };
  const auto Answers = [](auto) { return ExchangeResult::Answered; };
  const auto Always = [](auto) { return true; };
  Row Rows[] = {
      {"the relay answers",
       {Known, Answers},
       3500,
       {0},
       {0, 1000, 2000, 3000},
       true},
      {"there is no row",
       {[](auto) { return std::optional(RelayRow()); }, Answers},
       11000,
       {0, 5000, 10000},
       {},
       false},
      {"the store does not answer",
       {[](auto) { return std::optional<RelayRow>(); }, Answers},
       11000,
       {0, 5000, 10000},
       {},
       false},
      {"the relay never answers",
       {Known, [](auto) { return ExchangeResult::Unanswered; }},
       6500,
       {0, 5000},
       {0, 1000, 2000, 3000, 4000, 5000, 6000},
       false},
      {"the relay is lost and replaced",
       {[](auto Ms) {
          return std::optional(Ms < 9000 ? rowOf(1, "p") : rowOf(2, "q"));
        },
        [](auto Ms) {
          return Ms < 5500 || Ms >= 12000 ? ExchangeResult::Answered
                                          : ExchangeResult::Rejected;
        }},
       13500,
       {0, 7000, 12000},
       {0, 1000, 2000, 3000, 4000, 5000, 6000, 7000, 8000, 9000, 10000, 11000,
        12000, 13000},
       true},
      {"tokens are wanted",
       {Known, Answers, Always, true},
       500,
       {0},
       {0, 150, 300, 450},
       true},
      {"tokens are wanted for a short time",
       {Known, Answers, [](auto Ms) { return Ms >= 400 && Ms < 500; }, true},
       1700,
       {0},
       {0, 450, 1450},
       true},
      {"tokens are wanted of a relay that does not answer",
       {Known, [](auto) { return ExchangeResult::Unanswered; }, Always, true},
       2500,
       {0},
       {0, 1000, 2000},
       false},
      {"there are no quotas",
       {Known, Answers, Always, false},
       1500,
       {0},
       {0, 1000},
       true},
  };
  for (Row &R : Rows) {
    CAPTURE(R.Name);
    R.Given.run(R.UntilMs);
    CHECK(R.Given.Reads == R.Reads);
    CHECK(R.Given.Requests == R.Requests);
    CHECK(R.Given.Contact.isReached(at(R.UntilMs)) == R.Reached);
  }
}

// Guards against forwarders that are used with the token of another relay, or
// long after the contact with their data centre was lost.
TEST_CASE("forwarders are known while their relay answers") {
  const std::vector<ForwarderVm> Old = {{EntryVmId("f"), "f:1", 50}};
  const std::vector<ForwarderVm> New = {{EntryVmId("g"), "g:1", 50}};
  struct Row {
    const char *Name;
    std::uint64_t RowVersion; ///< Seen at 50 ms; the known one is 3.
    const char *Sender;       ///< Of a request with other forwarders.
    std::int64_t Ms;
    const std::vector<ForwarderVm> *Known;
  };
  const Row Rows[] = {
      {"answered 3 s ago", 3, "", 3000, &Old},
      {"answered more than 3 s ago", 3, "", 3001, nullptr},
      {"the relay was replaced", 4, "", 100, nullptr},
      {"an older row was seen", 2, "", 100, &Old},
      {"the relay has sent a request", 3, "p", 100, &New},
      {"the relay has only sent a request for 3 s", 3, "p", 3001, nullptr},
      {"another entry VM has sent a request", 3, "q", 100, &Old},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    RelayContact C;
    REQUIRE(C.observeRow(rowOf(3, "p"), at(0)));
    C.observeAnswer(Old, at(0));
    CHECK(C.observeRow(rowOf(R.RowVersion, "p"), at(50)) == (R.RowVersion > 3));
    C.observeForwarders(EntryVmId(R.Sender), New, at(60));
    const std::vector<ForwarderVm> *Known = C.forwarders(at(R.Ms));
    REQUIRE((Known != nullptr) == (R.Known != nullptr));
    if (Known)
      CHECK(*Known == *R.Known);
  }
}

// Guards against a tight loop with relays that name each other as the next one.
TEST_CASE("a replaced relay is asked after the shortest spacing") {
  RelayContact C;
  C.observeRowRead(at(0));
  C.observeRow(rowOf(1, "p"), at(0));
  C.observeRequest(at(0));
  C.observeFailure();
  C.observeRow(rowOf(2, "q"), at(10));
  CHECK(C.step(at(20), false) == ContactStep::Wait);
  CHECK(C.nextStepAt(false) == at(150));
  CHECK(C.step(at(150), false) == ContactStep::Exchange);
}
