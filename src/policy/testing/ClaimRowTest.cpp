#include "policy/ClaimRow.h"
#include "policy/LeadershipProof.h"

#include <catch2/catch.hpp>

using namespace amaranthspur;

namespace {

ClaimRow row(ClaimState State, Term LastTerm = 0,
             std::optional<ServerId> Target = std::nullopt,
             std::uint64_t ClaimedAs = 0,
             std::optional<ClaimTurn> Turn = std::nullopt) {
  return {State, std::move(Target), LastTerm, ClaimedAs, std::move(Turn)};
}

ClaimTurn turn(const char *Holder, std::int64_t WaitFromMs) {
  return {EntryVmId(Holder), WaitFromMs};
}

ClaimRow undoing(ClaimRow Row) {
  Row.Undoing = true;
  return Row;
}

ClaimRow requiring(ClaimRow Row, RequiredLog Required) {
  Row.Required = Required;
  return Row;
}

} // namespace

// Guards against a value that is misread: as the proof of a term, as a finished
// takeover while one is under way, or without the target of its order.
TEST_CASE("a claim row is read by the form of its value") {
  using S = ClaimState;
  struct Row {
    std::uint64_t Version;
    const char *Value;
    ClaimRow Expected;
  };
  const Row Rows[] = {
      {0, "", row(S::Missing, FirstTerm)},
      {4, "vm-1 3", row(S::Held)},
      {4, "vm-1 3 i-7", row(S::Held, 0, ServerId("i-7"))},
      {4, "vm-1 3 i-7 5", row(S::Held, 0, ServerId("i-7"), 5)},
      {4, "vm-1 3 i-7 0", row(S::Unknown)},
      {4, "vm-1 3 i-7 5 more", row(S::Unknown)},
      {4, "vm-1 undo", undoing(row(S::Held))},
      {4, "finished", row(S::Finished)},
      {4, "finished 3", row(S::Finished, 3)},
      {4, "finished 18446744073709551615", row(S::Finished, ~Term(0))},
      {4, "vm-1@70 3", row(S::Held, 0, {}, 0, turn("vm-1", 70))},
      {4, "vm-1@0 3 i-7", row(S::Held, 0, ServerId("i-7"), 0, turn("vm-1", 0))},
      {4, "vm@1@70 undo", undoing(row(S::Held, 0, {}, 0, turn("vm@1", 70)))},
      {4, "finished 3 vm-1@70", row(S::Finished, 3, {}, 0, turn("vm-1", 70))},
      {4, "finished 0 vm-1@0", row(S::Finished, 0, {}, 0, turn("vm-1", 0))},
      {4, "finished 3 vm-1", row(S::Unknown)},
      {4, "finished 3 vm-1@", row(S::Unknown)},
      {4, "finished 3 vm-1@7x", row(S::Unknown)},
      {4, "finished 3 vm-1@-7", row(S::Unknown)},
      {4, "finished 3 @7", row(S::Unknown)},
      {4, "finished x vm-1@7", row(S::Unknown)},
      {4, "finished 3 vm-1@7 more", row(S::Unknown)},
      {4, "vm-1@70 4 end=3:2.9",
       requiring(row(S::Held, 0, {}, 0, turn("vm-1", 70)), {3, {2, 9}})},
      {4, "vm-1@70 4 i-7 end=3:3.9",
       requiring(row(S::Held, 0, ServerId("i-7"), 0, turn("vm-1", 70)),
                 {3, {3, 9}})},
      {4, "vm-1@70 undo end=3:3.9",
       requiring(undoing(row(S::Held, 0, {}, 0, turn("vm-1", 70))),
                 {3, {3, 9}})},
      {4, "finished end=3:3.9", requiring(row(S::Finished), {3, {3, 9}})},
      {4, "finished 3 end=3:3.9", requiring(row(S::Finished, 3), {3, {3, 9}})},
      {4, "finished 3 vm-1@70 end=3:3.0",
       requiring(row(S::Finished, 3, {}, 0, turn("vm-1", 70)), {3, {3, 0}})},
      {4, "finished 3 end=", row(S::Unknown)},
      {4, "finished 3 end=3", row(S::Unknown)},
      {4, "finished 3 end=3:3", row(S::Unknown)},
      {4, "finished 3 end=0:3.9", row(S::Unknown)},
      {4, "finished 3 end=x:3.9", row(S::Unknown)},
      {4, "finished 3 end=3:3.9x", row(S::Unknown)},
      {4, "finished 3 end=3.9:3", row(S::Unknown)},
      {4, "finished end=3:3.9 3", row(S::Unknown)},
      {4, "vm-1@70 4 i-7 more end=3:3.9",
       requiring(row(S::Unknown), {3, {3, 9}})},
      {4, "vm-1@70 end=3:3.9", requiring(row(S::Unknown), {3, {3, 9}})},
      {4, "end=3:3.9", requiring(row(S::Unknown), {3, {3, 9}})},
      {4, "", row(S::Unknown)},
      {4, "vm-1", row(S::Unknown)},
      {4, "vm-1 x", row(S::Unknown)},
      {4, "vm-1 3 i-7 more", row(S::Unknown)},
      {4, "finished 0", row(S::Unknown)},
      {4, "finished x", row(S::Unknown)},
      {4, "finished -1", row(S::Unknown)},
      {4, "finished 3x", row(S::Unknown)},
      {4, "finished 18446744073709551616", row(S::Unknown)},
      {4, "finished 3 4", row(S::Unknown)},
      {4, "Finished 3", row(S::Held)},
      {4, "finishedly", row(S::Unknown)},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Version, R.Value);
    CHECK(parseClaimRow(R.Version, R.Value) == R.Expected);
  }
}

// Guards against a claim whose holder or target another entry VM cannot read.
TEST_CASE("the value of a claim is read as it was written") {
  const ClaimTurn Self = turn("vm-1", 70);
  CHECK(takeoverClaimValue(Self, 3) == "vm-1@70 3");
  CHECK(confirmedClaimValue(Self, 3, ServerId("i-7")) == "vm-1@70 3 i-7");
  CHECK(undoClaimValue(Self) == "vm-1@70 undo");
  const RequiredLog Required{3, {2, 9}};
  CHECK(takeoverClaimValue(Self, 4, Required) == "vm-1@70 4 end=3:2.9");
  CHECK(confirmedClaimValue(Self, 4, ServerId("i-7"), Required) ==
        "vm-1@70 4 i-7 end=3:2.9");
  CHECK(undoClaimValue(Self, Required) == "vm-1@70 undo end=3:2.9");
}

// Guards against a promoted server that lacks commits which only the holder
// before knew of, and against a group without a primary because of a log that a
// later primary has left behind.
TEST_CASE("a required log is passed on until a later primary leads") {
  const RequiredLog Required{3, {3, 9}};
  struct Row {
    const char *Name;
    Term Led;
    bool Applies;
  };
  const Row Rows[] = {
      {"no term is known", 0, true},
      {"an earlier term", 2, true},
      {"the primary that is to be succeeded", 3, true},
      {"a later primary", 4, false},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    CHECK(stillRequired(Required, R.Led).has_value() == R.Applies);
    CHECK_FALSE(stillRequired(std::nullopt, R.Led));
  }
  const ClaimRow Before = row(ClaimState::Finished, 3);
  struct Release {
    const char *Name;
    bool Ordered;
    bool Promoted;
    const char *Expected;
  };
  const Release Releases[] = {
      {"given up", false, false, "finished 3 end=3:3.9"},
      {"given up after an order", true, false, "finished 0 vm-1@90 end=3:3.9"},
      {"promoted", true, true, "finished 3 vm-1@90"},
  };
  for (const Release &R : Releases) {
    CAPTURE(R.Name);
    CHECK(finishedClaimValue({Before, R.Ordered, R.Promoted, 3,
                              turn("vm-1", 90), Required}) == R.Expected);
  }
}

// Guards against a change of turn that the next entry VM does not know of, and
// against a wait that starts anew with a claim under which no order was given.
TEST_CASE("a finished claim names the entry VM that gave the last order") {
  const ClaimRow None = row(ClaimState::Missing, FirstTerm);
  const ClaimRow Other = row(ClaimState::Finished, 3, {}, 0, turn("vm-2", 70));
  const ClaimRow Expired =
      row(ClaimState::Held, 0, ServerId("i-7"), 0, turn("vm-2", 70));
  struct Row {
    const char *Name;
    ClaimRow Before;
    bool Ordered;
    bool Promoted;
    const char *Expected;
  };
  const Row Rows[] = {
      {"promoted", Other, true, true, "finished 4 vm-1@90"},
      {"the order was refused", Other, true, false, "finished 0 vm-1@90"},
      {"promoted after an expired claim", Expired, true, true,
       "finished 0 vm-1@90"},
      {"no order", Other, false, false, "finished 0 vm-2@70"},
      {"no order after an expired claim", Expired, false, false,
       "finished 0 vm-2@70"},
      {"no order before either", None, false, false, "finished"},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    CHECK(finishedClaimValue({R.Before, R.Ordered, R.Promoted, 4,
                              turn("vm-1", 90)}) == R.Expected);
  }
}

// Guards against a term in a finished row although a promotion to a later term
// has taken effect or may still do so: reads at a superseded primary would be
// answered.
TEST_CASE("a claim is finished with a term only if the last term is known") {
  const ClaimRow None = row(ClaimState::Missing, FirstTerm);
  const ClaimRow Known = row(ClaimState::Finished, 3);
  const ClaimRow Bare = row(ClaimState::Finished);
  const ClaimRow Expired = row(ClaimState::Held, 0, ServerId("i-7"));
  const ClaimRow Odd = row(ClaimState::Unknown);
  struct Row {
    const char *Name;
    ClaimRow Before;
    bool Ordered;
    bool Promoted;
    Term Highest;
    const char *Expected;
  };
  const Row Rows[] = {
      {"promoted first", None, true, true, 2, "finished 2 vm-1@0"},
      {"promoted", Known, true, true, 4, "finished 4 vm-1@0"},
      {"promoted after an unknown end", Bare, true, true, 4,
       "finished 4 vm-1@0"},
      {"promoted after an expired claim", Expired, true, true, 4,
       "finished 0 vm-1@0"},
      {"promoted after an unknown value", Odd, true, true, 4,
       "finished 0 vm-1@0"},
      {"given up first", None, false, false, 1, "finished 1"},
      {"given up", Known, false, false, 3, "finished 3"},
      {"given up without any report", Known, false, false, 0, "finished 3"},
      {"given up, and a later term leads", Known, false, false, 4, "finished"},
      {"given up after an order", Known, true, false, 3, "finished 0 vm-1@0"},
      {"given up after an unknown end", Bare, false, false, 3, "finished"},
      {"given up after an expired claim", Expired, false, false, 3, "finished"},
      {"given up after an unknown value", Odd, false, false, 3, "finished"},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    CHECK(finishedClaimValue({R.Before, R.Ordered, R.Promoted, R.Highest,
                              turn("vm-1", 0)}) == R.Expected);
  }
}

// Guards against a fencing token that is lower than an earlier one because the
// store gives the numbers of versions out again (review case 6).
TEST_CASE("fencing tokens rise with the versions of the claim row") {
  struct Row {
    StoreVersion Version;
    std::uint64_t Token;
  };
  // In the order of the claims.
  const Row Rows[] = {
      {StoreVersion(71), 71},
      {StoreVersion(101), 101},
      {StoreVersion(1, 1), 1'000'000'000'001},
      {StoreVersion(999'999'999'999, 1), 1'999'999'999'999},
      {StoreVersion(40, 2), 2'000'000'000'040},
      {StoreVersion(3, 4), 4'000'000'000'003},
      {StoreVersion(999'999'999'999, 9'000'000), 9'000'000'999'999'999'999U},
  };
  std::uint64_t Last = 0;
  for (const Row &R : Rows) {
    CAPTURE(R.Version.str());
    CHECK(fencingToken(R.Version) == R.Token);
    CHECK(fencingToken(R.Version) > Last);
    Last = fencingToken(R.Version);
  }
}

// Guards against a proof by a row of the copy, which a takeover that was lost
// may have followed: a superseded primary would go on with reads.
TEST_CASE("a row without its statement proves no term") {
  for (const char *Value : {"", "finished 3", "finished 3 other@0", "vm@0 4"}) {
    CAPTURE(Value);
    const std::uint64_t Version = *Value == 0 ? 0 : 5;
    const ClaimRow Row = parseClaimRow(Version, Value);
    const ClaimRow Without = withoutStatement(Row);
    CHECK(Without.LastTerm == 0);
    CHECK(Without.State != ClaimState::Missing);
    CHECK(Without.Turn == Row.Turn);
    LeadershipProof Proof(FirstTerm, TimePoint());
    Proof.recordClaim(Without);
    CHECK(Proof.state({ServerId("b"), ServerId("c")}) != ProofState::Proved);
  }
}
