#include "policy/TakeoverProcedure.h"

#include "core/Random.h"

#include <catch2/catch.hpp>

#include <set>

using namespace amaranthspur;

namespace {

TakeoverServer server(const char *Id, std::optional<std::uint64_t> Index,
                      bool Old = false, bool Draining = false,
                      Distance Away = Distance::SameRegion) {
  TakeoverServer S;
  S.Id = ServerId(Id);
  S.OldPrimary = Old;
  S.Draining = Draining;
  S.DistanceFromHere = Away;
  if (Index) {
    S.Report = ServerReport();
    S.Report->Role = Old ? ServerRole::Primary : ServerRole::Replica;
    S.Report->TermNumber = 3;
    S.Report->AdoptedTerm = 3;
    S.Report->Received = {3, *Index};
  }
  return S;
}

} // namespace

// Guards against a takeover that starts although it cannot show that a target
// holds every acknowledged commit.
TEST_CASE("a takeover starts only if enough servers answer") {
  constexpr auto None = std::nullopt;
  struct Row {
    const char *Name;
    std::vector<TakeoverServer> Servers;
    bool Possible;
  };
  const Row Rows[] = {
      {"the primary is silent, all others answer",
       {server("p", None, true), server("a", 7), server("b", 9)},
       true},
      {"the primary and a replica are silent",
       {server("p", None, true), server("a", None), server("b", 9)},
       false},
      {"the primary is silent, and there is only one replica",
       {server("p", None, true), server("b", 9)},
       false},
      {"the primary answers, a replica is silent",
       {server("p", 9, true), server("a", None), server("b", 9)},
       true},
      {"the primary answers, and there is only one replica",
       {server("p", 9, true), server("b", 9)},
       true},
      {"only the primary answers",
       {server("p", 9, true), server("a", None), server("b", None)},
       false},
      {"no primary is known, all servers answer",
       {server("a", 7), server("b", 9), server("c", 8)},
       true},
      {"no primary is known, one server is silent",
       {server("a", 7), server("b", 9), server("c", None)},
       false},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    CHECK(reasonAgainstTakeover(R.Servers).has_value() != R.Possible);
    CHECK(nextTerm(R.Servers) == 4);
  }
}

// Guards against promoting a server whose log may lack acknowledged commits.
TEST_CASE("a target's log reaches the required end") {
  struct Row {
    const char *Name;
    std::vector<TakeoverServer> Servers;
    LogPosition End;
    std::string Preferred;
    std::string Target; ///< Empty if no server may be promoted.
  };
  const Row Rows[] = {
      {"only one log is long enough",
       {server("p", 9, true), server("a", 7), server("b", 9)},
       {3, 9},
       "",
       "b"},
      {"no log is long enough",
       {server("p", 9, true), server("a", 7), server("b", 8)},
       {3, 9},
       "",
       ""},
      {"the nearer server wins",
       {server("a", 9, false, false, Distance::OtherRegion), server("b", 9)},
       {3, 9},
       "",
       "b"},
      {"a draining server only if no other is long enough",
       {server("a", 9, false, true), server("b", 7)},
       {3, 9},
       "",
       "a"},
      {"a server that stays before a draining one",
       {server("a", 9, false, true),
        server("b", 9, false, false, Distance::OtherRegion)},
       {3, 9},
       "",
       "b"},
      {"the target of an unfinished takeover first",
       {server("a", 9, false, true, Distance::OtherRegion), server("b", 9)},
       {3, 9},
       "a",
       "a"},
      {"the target of an unfinished takeover is too short",
       {server("a", 8), server("b", 9)},
       {3, 9},
       "a",
       "b"},
      {"a longer log of an earlier term", {server("b", 99)}, {4, 1}, "", ""},
      {"the old primary itself", {server("p", 9, true)}, {3, 9}, "", ""},
      {"a silent server", {server("a", std::nullopt)}, {3, 1}, "", ""},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    std::optional<ServerId> Preferred;
    if (!R.Preferred.empty())
      Preferred = ServerId(R.Preferred);
    const std::optional<ServerId> Found =
        chooseTarget(R.Servers, R.End, Preferred);
    CHECK((Found ? Found->str() : "") == R.Target);
  }
}

// Guards against two entry VMs that take over one group at the same time.
TEST_CASE("a claim is respected until its lease expires") {
  struct Observation {
    std::uint64_t Version;
    bool Finished;
    int AtMs;
    std::uint64_t ClaimedAs = 0;
  };
  struct Row {
    const char *Name;
    std::vector<Observation> History;
    int AtMs;
    bool MayClaim;
  };
  const Row Rows[] = {
      {"no claim row", {}, 0, true},
      {"claimed by another", {{5, false, 0}}, 3999, false},
      {"the lease has expired", {{5, false, 0}}, 4000, true},
      {"read again without a change",
       {{5, false, 0}, {5, false, 3000}},
       4000,
       true},
      {"claimed again", {{5, false, 0}, {6, false, 3000}}, 4000, false},
      {"confirmed by its holder",
       {{5, false, 0}, {6, false, 300, 5}},
       4000,
       true},
      {"confirmed, and not seen before", {{6, false, 300, 5}}, 4000, false},
      {"confirmed after another claim",
       {{4, false, 0}, {6, false, 300, 5}},
       4000,
       false},
      {"finished", {{5, false, 0}, {6, true, 100}}, 101, true},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    TakeoverClaim Claim;
    const TimePoint Start{std::chrono::seconds(100)};
    for (const Observation &S : R.History) {
      ClaimRow Seen;
      Seen.State = S.Finished ? ClaimState::Finished : ClaimState::Held;
      Seen.ClaimedAs = S.ClaimedAs;
      Claim.observe(StoreVersion(S.Version), Seen,
                    Start + milliseconds(S.AtMs));
    }
    CHECK(Claim.mayClaim(Start + milliseconds(R.AtMs)) == R.MayClaim);
  }
  // The holder stops promoting well before others may claim.
  CHECK(TakeoverClaim::PromotionWindow * 2 < TakeoverClaim::Lease);
  CHECK(TakeoverClaim::ReturnWindow * 2 <= TakeoverClaim::Lease);
  CHECK(TakeoverClaim::UndoWindow < TakeoverClaim::Lease);
}

// Guards against orders of two entry VMs that follow each other within the
// lease, although nothing is wrong (issue 34): a released claim could be
// claimed by any entry VM at once, and the lease was counted from the claim
// instead of the last moment at which its order can be sent.
TEST_CASE("another entry VM claims a lease after the last order") {
  struct Observation {
    std::uint64_t Version;
    const char *Value;
    int AtMs;
  };
  struct Row {
    const char *Name;
    std::vector<Observation> History;
    int AtMs;
    bool MayClaim;
    bool MayUndo;
  };
  const char *Other = "finished 3 other@0";
  const Row Rows[] = {
      {"released after its order", {{5, Other, 0}}, 3999, false, true},
      {"a lease later", {{5, Other, 0}}, 4000, true, true},
      {"released after an order of this entry VM",
       {{5, "finished 3 vm@0", 0}},
       0,
       true,
       true},
      {"released without an order", {{5, "finished 3", 0}}, 0, true, true},
      {"released, and claimed by a third",
       {{5, Other, 0}, {6, "third@0 4", 3000}},
       7799,
       false,
       false},
      {"claimed", {{5, "other@0 4", 0}}, 4799, false, false},
      {"a lease after the end of its order",
       {{5, "other@0 4", 0}},
       4800,
       true,
       true},
      {"confirmed later",
       {{5, "other@0 4", 0}, {6, "other@0 4 i-7", 1500}},
       6299,
       false,
       false},
      {"a lease after the order that was confirmed later",
       {{5, "other@0 4", 0}, {6, "other@0 4 i-7", 1500}},
       6300,
       true,
       true},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    TakeoverClaim Claim(EntryVmId("vm"));
    const TimePoint Start{std::chrono::seconds(100)};
    for (const Observation &S : R.History)
      Claim.observe(StoreVersion(S.Version), parseClaimRow(S.Version, S.Value),
                    Start + milliseconds(S.AtMs));
    const TimePoint Now = Start + milliseconds(R.AtMs);
    CHECK(Claim.mayClaim(Now) == R.MayClaim);
    CHECK(Claim.mayClaim(Now, ClaimPurpose::Undo) == R.MayUndo);
  }
}

// Guards against a wait that starts anew in each entry VM that has not read the
// row before: a service stayed without a primary for up to twice the lease. And
// against a wait that ends early because an answer was slow or the entry VM was
// suspended.
TEST_CASE("the wait for a claim is measured by the store's clock") {
  struct Row {
    const char *Name;
    const char *Value;
    std::optional<std::int64_t> StoreMs; ///< In the answer with the row.
    int AfterMs;                         ///< Since the answer.
    bool MayClaim;
  };
  const Row Rows[] = {
      {"held, read late", "other@5000 4 i-7", 9000, 0, true},
      {"held, read a little earlier", "other@5000 4 i-7", 8999, 0, false},
      {"time has passed since the answer", "other@5000 4 i-7", 7000, 2000,
       true},
      {"a little less time", "other@5000 4 i-7", 7000, 1999, false},
      {"released, read late", "finished 3 other@5000", 9000, 0, true},
      {"released, read earlier", "finished 3 other@5000", 8999, 0, false},
      {"the answer has no clock", "finished 3 other@5000", std::nullopt, 3999,
       false},
      {"the answer has no clock, and the lease has passed since first sight",
       "finished 3 other@5000", std::nullopt, 4000, true},
      {"the holder did not know the clock", "finished 3 other@0", 90000, 3999,
       false},
      {"the store's clock has started again", "finished 3 other@99000", 5, 4000,
       true},
      {"a row of an earlier version", "other 4 i-7 3", 90000, 3999, false},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    TakeoverClaim Claim(EntryVmId("vm"));
    const TimePoint Sent{std::chrono::seconds(100)};
    const TimePoint Received = Sent + milliseconds(900);
    if (R.StoreMs)
      Claim.observeClock(*R.StoreMs, Sent, Received);
    Claim.observe(StoreVersion(5), parseClaimRow(5, R.Value), Received);
    CHECK(Claim.mayClaim(Received + milliseconds(R.AfterMs)) == R.MayClaim);
  }
}

// Guards against two holders within the lease: the claim that was written just
// before the store went away is gone, or an earlier one stands there again.
TEST_CASE("nobody claims while a claim that a return has lost may be held") {
  struct Row {
    const char *Name;
    const char *Value; ///< Of the row in the copy; empty if there is none.
    bool Own;          ///< This process has written it.
    int AtMs;          ///< Since the return was first seen.
    bool MayClaim;
  };
  const Row Rows[] = {
      {"no row", "", false, 4799, false},
      {"no row, later", "", false, 4800, true},
      {"finished", "finished 3", false, 4799, false},
      {"finished, later", "finished 3", false, 4800, true},
      {"finished by this entry VM", "finished 3 vm@0", true, 4799, false},
      {"its own claim stands again", "vm@0 4 i-7", true, 4799, false},
      {"its own claim, later", "vm@0 4 i-7", true, 4800, true},
      {"another's claim stands again", "other@0 4 i-7", false, 4799, false},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    TakeoverClaim Claim(EntryVmId("vm"));
    const TimePoint Start{std::chrono::seconds(100)};
    Claim.observe(StoreVersion(9, 1), parseClaimRow(9, "finished 4"), Start);
    REQUIRE(Claim.mayClaim(Start));
    const TimePoint Returned = Start + std::chrono::seconds(30);
    Claim.observeReturn(Returned);
    const std::string Value = R.Value;
    const std::uint64_t Number = Value.empty() ? 0 : 5;
    Claim.observe(StoreVersion(Number, 2), parseClaimRow(Number, Value),
                  Returned, R.Own);
    // An answer of the former era arrives late.
    Claim.observe(StoreVersion(10, 1), parseClaimRow(10, "third@0 5"),
                  Returned + milliseconds(5));
    CHECK(Claim.version() == StoreVersion(Number, 2));
    const TimePoint Now = Returned + milliseconds(R.AtMs);
    CHECK(Claim.mayClaim(Now) == R.MayClaim);
    CHECK((Claim.mayMissClaim(Now) || R.AtMs >= 4800));
  }
}

// Guards against a clock of the former era that ends a wait too early.
TEST_CASE("the store's clock is not known after a return") {
  const TimePoint Start{std::chrono::seconds(100)};
  TakeoverClaim Claim(EntryVmId("vm"));
  Claim.observeClock(90000, Start, Start);
  REQUIRE(Claim.knowsClock(Start));
  Claim.observeReturn(Start);
  CHECK_FALSE(Claim.knowsClock(Start));
  CHECK(Claim.turnUntil(Start).WaitFromMs == 0);
  // Only the first sight of a return makes the clock unknown.
  Claim.observeClock(82000, Start, Start);
  Claim.observeReturn(Start);
  CHECK(Claim.knowsClock(Start));
}

// Guards against an entry VM that waits for the lease of its own claim, and
// against one that gives another order while the one before may take effect.
TEST_CASE("an entry VM claims again under its own claim when no order can take "
          "effect") {
  struct Row {
    const char *Name;
    bool Own;
    int EffectByMs; ///< Of its last order; 0 if it has given none.
    bool Answered;  ///< The order.
    int AtMs;
    bool MayClaim;
    const char *Value = "vm@0 4 i-7";
  };
  const Row Rows[] = {
      {"its claim, without an order", true, 0, false, 0, true},
      {"its claim to undo adoptions, within another's turn", true, 0, false,
       4799, false, "vm@0 undo"},
      {"its claim to undo adoptions, after another's turn", true, 0, false,
       4800, true, "vm@0 undo"},
      {"its order may take effect", true, 3000, true, 2999, false},
      {"its order cannot take effect any more", true, 3000, true, 3000, true},
      {"its order had no answer, and the others have their turn", true, 3000,
       false, 6999, false},
      {"the others have not taken their turn", true, 3000, false, 7000, true},
      {"the claim of another process", false, 0, false, 4799, false},
      {"the claim of another process, after an order of its own", false, 3000,
       true, 3000, false},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    TakeoverClaim Claim(EntryVmId("vm"));
    const TimePoint Start{std::chrono::seconds(100)};
    if (R.EffectByMs != 0)
      Claim.recordOrder(Start + milliseconds(R.EffectByMs), R.Answered);
    Claim.observe(StoreVersion(5), parseClaimRow(5, R.Value), Start, R.Own);
    CHECK(Claim.mayClaim(Start + milliseconds(R.AtMs)) == R.MayClaim);
  }
}

// Guards against a turn that ends, by the store's clock, before the order of
// its holder.
TEST_CASE("a turn ends at or after its last moment by the store's clock") {
  const TimePoint Sent{std::chrono::seconds(100)};
  for (const int AnsweredMs : {0, 1, 900}) {
    CAPTURE(AnsweredMs);
    TakeoverClaim Claim(EntryVmId("vm"));
    CHECK(Claim.turnUntil(Sent).WaitFromMs == 0);
    // The answer was made when the request arrived, just before the clock
    // advanced to 5001.
    Claim.observeClock(5000, Sent, Sent + milliseconds(AnsweredMs));
    const ClaimTurn Turn = Claim.turnUntil(Sent + milliseconds(2000));
    CHECK(Turn.Holder == EntryVmId("vm"));
    CHECK(Turn.WaitFromMs >= 7001);
    CHECK(Turn.WaitFromMs <= 7003);
  }
}

namespace {

/// A group of three servers that acknowledges a commit once one replica holds
/// it. Whether a message is delivered or lost is random, depending on the seed.
class ModelGroup {
public:
  explicit ModelGroup(std::uint64_t Seed) : Rng(Seed) {}

  /// Makes up to three commits, unless the old primary cannot.
  void runTraffic() {
    for (std::uint64_t I = this->Rng.below(4); I > 0; --I)
      this->tryCommit();
  }

  /// Carries out a call to \p Id.
  std::optional<ServerReport> answer(const ServerId &Id, TakeoverStep Step) {
    const std::size_t Which = std::stoul(Id.str());
    if (Which == 0 && this->PrimaryDown)
      return std::nullopt;
    if (Which == 0 && Step == TakeoverStep::StepDown)
      this->SteppedDown = true;
    if (Which != 0 && Step == TakeoverStep::Adopt)
      this->Adopted.insert(Which);
    ServerReport Report;
    Report.Role = Which == 0 && !this->SteppedDown ? ServerRole::Primary
                                                   : ServerRole::Replica;
    Report.TermNumber = 3;
    Report.AdoptedTerm = this->Adopted.count(Which) > 0 ? 4 : 0;
    Report.Received = {3, this->Logs[Which]};
    return Report;
  }

  Random Rng;
  std::uint64_t Logs[3] = {0, 0, 0};
  std::uint64_t Acknowledged = 0;
  std::set<std::size_t> Adopted;
  bool PrimaryDown = false;
  bool SteppedDown = false;

private:
  /// Appends a commit and tries to replicate it in random order.
  void tryCommit() {
    if (this->PrimaryDown || this->SteppedDown)
      return;
    ++this->Logs[0];
    const std::size_t First = 1 + this->Rng.below(2);
    this->tryReplicate(First);
    this->tryReplicate(3 - First);
  }

  /// Replicates a random part of the missing entries to \p Replica, unless the
  /// message is lost or the replica has adopted the next term.
  void tryReplicate(std::size_t Replica) {
    if (this->Adopted.count(Replica) > 0 || this->Rng.below(3) == 0)
      return;
    this->Logs[Replica] =
        std::max(this->Logs[Replica],
                 this->Logs[0] - this->Rng.below(this->Logs[0] + 1) / 4);
    this->Acknowledged = std::max(this->Acknowledged, this->Logs[Replica]);
  }
};

} // namespace

// Guards against a takeover that loses an acknowledged commit, whether or not
// the old primary is still running.
TEST_CASE("the promoted server holds every acknowledged commit") {
  unsigned Promotions = 0;
  for (std::uint64_t Seed = 1; Seed <= 2000; ++Seed) {
    CAPTURE(Seed);
    ModelGroup Group(Seed);
    for (std::uint64_t I = Group.Rng.below(20); I > 0; --I)
      Group.runTraffic();
    Group.PrimaryDown = Group.Rng.below(2) == 0;
    std::vector<TakeoverServer> Servers;
    for (const char *Id : {"0", "1", "2"}) {
      TakeoverServer S = server(Id, std::nullopt, Id[0] == '0');
      S.Report = Group.answer(S.Id, TakeoverStep::Poll);
      Servers.push_back(S);
    }
    const TimePoint Now{std::chrono::seconds(100)};
    TakeoverProcedure Procedure(Servers, 3, {}, std::nullopt, Now);
    while (true) {
      const TakeoverAction Action = Procedure.next(Now);
      Group.runTraffic();
      if (Action.Step == TakeoverStep::End)
        break;
      if (Action.Step == TakeoverStep::ReadServers) {
        Procedure.recordServers(Servers);
      } else if (Action.Step == TakeoverStep::Confirm) {
        Procedure.recordClaim(ClaimCheck::Held);
      } else if (Action.Step == TakeoverStep::Order) {
        ++Promotions;
        CHECK(Group.Logs[std::stoul(Action.Target.str())] >=
              Group.Acknowledged);
        break;
      } else {
        ServerReports Answers;
        for (const ServerId &Id : Action.Servers)
          if (const auto Report = Group.answer(Id, Action.Step))
            Answers.emplace(Id, *Report);
        Procedure.recordAnswers(Answers, {}, Now);
      }
    }
  }
  // Enough runs of the model have to reach a promotion.
  CHECK(Promotions > 500);
}

// Guards against a replica that stays without its primary, and against one that
// is resumed while it follows the primary or takes part in a takeover.
TEST_CASE(
    "servers that hold a term without following its primary are stranded") {
  struct Row {
    const char *Name;
    ServerRole OtherRole; ///< Of server `a`, which reports term 5.
    ServerRole Role;
    Term TermNumber;
    Term Adopted;
    bool Stranded;
  };
  using enum ServerRole;
  const Row Rows[] = {
      {"follows", Primary, Replica, 5, 0, false},
      {"follows, and reports its own term as held", Primary, Replica, 5, 5,
       false},
      {"has heard nothing yet", Primary, Replica, 4, 0, false},
      {"holds a later term", Primary, Replica, 5, 7, true},
      {"holds the term that is led", Primary, Replica, 4, 5, true},
      {"holds an earlier term", Primary, Replica, 3, 4, false},
      {"leads itself", Primary, Primary, 4, 7, false},
      {"no server leads", Replica, Replica, 5, 7, false},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    ServerReports Reports;
    Reports[ServerId("a")].Role = R.OtherRole;
    Reports[ServerId("a")].TermNumber = 5;
    Reports[ServerId("b")].Role = R.Role;
    Reports[ServerId("b")].TermNumber = R.TermNumber;
    Reports[ServerId("b")].AdoptedTerm = R.Adopted;
    CHECK(strandedServers(Reports, ServerId("c")).empty());
    CHECK(strandedServers(Reports, ServerId("a")) ==
          (R.Stranded ? std::vector<ServerId>{ServerId("b")}
                      : std::vector<ServerId>{}));
  }
}
