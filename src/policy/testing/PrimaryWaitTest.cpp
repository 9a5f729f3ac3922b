#include "policy/PrimaryWait.h"

#include <catch2/catch.hpp>

using namespace amaranthspur;

namespace {

constexpr TimePoint Start{std::chrono::seconds(1000)};
const BelievedPrimary Old{ServerId("a"), 1};
const BelievedPrimary New{ServerId("b"), 2};

enum class Seen { Need, Belief, Takeover, Usable, Unused };

struct Event {
  int AtMs;
  Seen What;
  std::optional<BelievedPrimary> Leader;
};

} // namespace

// Guards against statements that wait until their deadlines in a long outage,
// against a takeover in progress that is not waited for, and against periods
// that are started again and again.
TEST_CASE("statements are refused after a period without a primary") {
  struct Row {
    const char *Name;
    std::vector<Event> Events;
    int RefusedFromMs; ///< -1: not refused, as far as is known.
  };
  const auto None = std::nullopt;
  const Row Rows[] = {
      {"no outage", {{0, Seen::Usable, Old}}, -1},
      {"the primary fails", {{0, Seen::Need, Old}}, 3000},
      {"statements that come later do not prolong the wait",
       {{0, Seen::Need, Old}, {2900, Seen::Need, Old}},
       3000},
      {"the primary is lost after it failed",
       {{0, Seen::Usable, Old},
        {100, Seen::Need, Old},
        {500, Seen::Need, None}},
       3100},
      {"the old primary is believed again",
       {{0, Seen::Need, Old},
        {500, Seen::Need, None},
        {900, Seen::Belief, Old}},
       3000},
      {"its term is no longer known",
       {{0, Seen::Need, Old}, {900, Seen::Belief, BelievedPrimary{Old.Id, 0}}},
       3000},
      {"another primary",
       {{0, Seen::Need, Old}, {1500, Seen::Belief, New}},
       4500},
      {"a promotion was ordered",
       {{0, Seen::Need, Old}, {1000, Seen::Takeover, None}},
       4000},
      {"a promotion was ordered while statements are refused",
       {{0, Seen::Need, Old}, {4900, Seen::Takeover, None}},
       7900},
      {"a new period starts once",
       {{0, Seen::Need, Old},
        {1000, Seen::Takeover, None},
        {2000, Seen::Belief, New},
        {3500, Seen::Takeover, None}},
       4000},
      {"a sign outside an outage does not count",
       {{0, Seen::Takeover, None}, {100, Seen::Need, Old}},
       3100},
      {"the outage has ended",
       {{0, Seen::Need, Old}, {4000, Seen::Usable, New}},
       -1},
      {"each outage has its own period and sign",
       {{0, Seen::Need, Old},
        {1000, Seen::Takeover, None},
        {2000, Seen::Usable, New},
        {9000, Seen::Need, New},
        {9500, Seen::Takeover, None}},
       12500},
      {"statements go on meeting the outage",
       {{0, Seen::Need, Old},
        {4000, Seen::Need, Old},
        {8000, Seen::Unused, None}},
       3000},
      {"no statement has met the outage for long",
       {{0, Seen::Need, Old}, {5000, Seen::Unused, None}},
       -1},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    PrimaryWait Wait;
    for (const Event &E : R.Events) {
      const TimePoint Now = Start + milliseconds(E.AtMs);
      switch (E.What) {
      case Seen::Need:
        Wait.observeNeed(E.Leader, Now);
        break;
      case Seen::Belief:
        Wait.observeBelief(E.Leader, Now);
        break;
      case Seen::Takeover:
        Wait.observeTakeover(Now);
        break;
      case Seen::Usable:
        Wait.observeUsable(*E.Leader);
        break;
      case Seen::Unused:
        Wait.forgetUnused(Now);
        break;
      }
    }
    const TimePoint From = Start + milliseconds(std::max(R.RefusedFromMs, 0));
    CHECK(Wait.isOutage() == (R.RefusedFromMs >= 0));
    CHECK_FALSE(Wait.isRefusing(From - milliseconds(1)));
    CHECK(Wait.isRefusing(From) == (R.RefusedFromMs >= 0));
  }
}

// Guards against statements that wait for an outage that no takeover ends, and
// against the refusal of those that a takeover in time would serve.
TEST_CASE("a wait ends with the period or with the time for the answer") {
  struct Row {
    const char *Name;
    bool IsOutage;
    int DeadlineMs;
    int UntilMs;
  };
  const Row Rows[] = {
      {"a long limit ends with the period", true, 5000, 3000},
      {"a short limit is used whole", true, 1000, 1000},
      {"no outage", false, 5000, 5000},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    PrimaryWait Wait;
    if (R.IsOutage)
      Wait.observeNeed(Old, Start);
    CHECK(Wait.waitUntil(Start + milliseconds(R.DeadlineMs)) ==
          Start + milliseconds(R.UntilMs));
  }
}

// Guards against callers that were refused together and return together.
TEST_CASE("the retry-after time spreads the callers") {
  Random Rng(7);
  unsigned Early = 0;
  constexpr unsigned Callers = 1000;
  for (unsigned I = 0; I < Callers; ++I) {
    const Duration After = PrimaryWait::retryAfter(Rng);
    CHECK(After >= PrimaryWait::MinRetry);
    CHECK(After < PrimaryWait::MinRetry + PrimaryWait::RetrySpread);
    Early += After < PrimaryWait::MinRetry + PrimaryWait::RetrySpread / 4;
  }
  CHECK(Early > Callers / 5);
  CHECK(Early < Callers * 3 / 10);
}
