#include "policy/testing/TakeoverExplorer.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cstdlib>

using namespace amaranthspur;
using namespace amaranthspur::testing;

namespace {

using Kind = ExplorerEventKind;

/// The procedure as it is.
class PresentLogic : public TakeoverLogic {
public:
  PresentLogic(std::vector<TakeoverServer> Servers,
               std::optional<ServerId> Preferred, TimePoint Begun)
      : Begun(Begun),
        // The entry VM remembers neither the term of a primary that does not
        // answer nor a longer log, as after a restart.
        Procedure(std::move(Servers), 0, LogPosition{}, std::move(Preferred),
                  Begun) {}
  std::unique_ptr<TakeoverLogic> clone() const override {
    return std::make_unique<PresentLogic>(*this);
  }
  TakeoverAction next(TimePoint Now) override {
    return this->Procedure.next(Now);
  }
  void recordAnswers(const ServerReports &Answers, TimePoint Now) override {
    // The entry VM itself knows of no acknowledged commit, which is the case
    // with the fewest reasons against a target.
    this->Procedure.recordAnswers(Answers, LogPosition{}, Now);
  }
  void recordServers(
      const std::optional<std::vector<TakeoverServer>> &Listed) override {
    this->Procedure.recordServers(Listed);
  }
  void recordClaim(ClaimCheck Result) override {
    this->Procedure.recordClaim(Result);
  }
  void recordOrder(PromotionOutcome Outcome) override {
    this->Procedure.recordOrder(Outcome);
  }
  void recordEffect(std::optional<Term> Leading) override {
    this->Procedure.recordEffect(Leading);
  }
  void recordResumed() override { this->Procedure.recordResumed(); }
  Term oldTerm() const override { return this->Procedure.oldTerm(); }

protected:
  TimePoint Begun;
  TakeoverProcedure Procedure;
};

/// Undoes adoptions whatever the time since the claim, as if a suspension had
/// not been noticed.
class UndoesLate final : public PresentLogic {
public:
  using PresentLogic::PresentLogic;
  std::unique_ptr<TakeoverLogic> clone() const override {
    return std::make_unique<UndoesLate>(*this);
  }
  TakeoverAction next(TimePoint Now) override {
    const bool Late = !TakeoverClaim::mayUndo(this->Begun, Now);
    const TakeoverAction Action = this->Procedure.next(Now);
    if (Action.Step != TakeoverStep::End || !Late || this->Undone ||
        Action.End != TakeoverEnd::Open || this->Adopters.empty())
      return this->keep(Action);
    this->Undone = true;
    TakeoverAction Resume;
    Resume.Step = TakeoverStep::Resume;
    Resume.Servers = this->Adopters;
    return Resume;
  }
  void recordResumed() override {}

private:
  TakeoverAction keep(TakeoverAction Action) {
    if (Action.Step == TakeoverStep::Adopt)
      this->Adopters = Action.Servers;
    return Action;
  }
  std::vector<ServerId> Adopters;
  bool Undone = false;
};

/// Compares no logs: all of them look equally long.
class IgnoresEnds final : public PresentLogic {
public:
  using PresentLogic::PresentLogic;
  std::unique_ptr<TakeoverLogic> clone() const override {
    return std::make_unique<IgnoresEnds>(*this);
  }
  void recordAnswers(const ServerReports &Answers, TimePoint Now) override {
    ServerReports Equal = Answers;
    for (auto &[Id, Report] : Equal)
      Report.Received = {};
    PresentLogic::recordAnswers(Equal, Now);
  }
};

/// Gives a takeover up instead of ordering the promotion.
class NeverOrders final : public PresentLogic {
public:
  using PresentLogic::PresentLogic;
  std::unique_ptr<TakeoverLogic> clone() const override {
    return std::make_unique<NeverOrders>(*this);
  }
  TakeoverAction next(TimePoint Now) override {
    TakeoverAction Action = this->Procedure.next(Now);
    return Action.Step == TakeoverStep::Order ? TakeoverAction{} : Action;
  }
};

/// Ends a takeover when its target leads, whatever terms the servers hold.
class LeavesStranded final : public PresentLogic {
public:
  using PresentLogic::PresentLogic;
  std::unique_ptr<TakeoverLogic> clone() const override {
    return std::make_unique<LeavesStranded>(*this);
  }
  void recordEffect(std::optional<Term> Leading) override {
    PresentLogic::recordEffect(Leading);
    if (Leading &&
        this->Procedure.next(this->Begun).Step == TakeoverStep::Resume)
      this->Procedure.recordResumed();
  }
};

/// The procedure before the old primary had to step down: the target is chosen
/// by the plan, the other servers adopt the next term, and the order follows.
class NoStepDown final : public TakeoverLogic {
public:
  NoStepDown(const std::vector<TakeoverServer> &Servers, TimePoint Begun)
      : Begun(Begun), NextTerm(nextTerm(Servers)) {
    LogPosition Longest;
    for (const TakeoverServer &S : Servers)
      if (!S.OldPrimary && S.Report)
        Longest = std::max(Longest, S.Report->Received);
    this->Target = chooseTarget(Servers, Longest, std::nullopt);
    for (const TakeoverServer &S : Servers)
      if (!S.OldPrimary && this->Target != S.Id)
        this->Adopters.push_back(S.Id);
    this->Current = this->Target && !this->Adopters.empty()
                        ? TakeoverStep::Adopt
                        : TakeoverStep::End;
  }
  std::unique_ptr<TakeoverLogic> clone() const override {
    return std::make_unique<NoStepDown>(*this);
  }
  TakeoverAction next(TimePoint Now) override {
    if (this->Current == TakeoverStep::Order &&
        !TakeoverClaim::mayPromote(this->Begun, Now))
      this->Current = TakeoverStep::Resume;
    TakeoverAction Action;
    Action.Step = this->Current;
    Action.TermNumber = this->NextTerm;
    Action.End = this->Ended;
    Action.Target = this->Target.value_or(ServerId());
    if (this->Current == TakeoverStep::Adopt ||
        this->Current == TakeoverStep::Resume)
      Action.Servers = this->Adopters;
    if (this->Current == TakeoverStep::Poll) {
      Action.Servers = this->Adopters;
      Action.Servers.push_back(*this->Target);
    }
    return Action;
  }
  void recordAnswers(const ServerReports &Answers, TimePoint) override {
    bool Adopted = true;
    for (const ServerId &Id : this->Adopters) {
      const auto Found = Answers.find(Id);
      Adopted = Adopted && Found != Answers.end() &&
                Found->second.AdoptedTerm >= this->NextTerm;
      if (Found != Answers.end())
        this->Longest = std::max(this->Longest, Found->second.Received);
    }
    if (!Adopted) {
      this->Current = TakeoverStep::Resume;
    } else if (this->Current == TakeoverStep::Adopt) {
      this->Current = TakeoverStep::Poll;
    } else {
      const auto Found = Answers.find(*this->Target);
      const bool Complete = Found != Answers.end() &&
                            Found->second.Role == ServerRole::Replica &&
                            Found->second.Received >= this->Longest;
      this->Current = Complete ? TakeoverStep::Order : TakeoverStep::Resume;
    }
  }
  void
  recordServers(const std::optional<std::vector<TakeoverServer>> &) override {}
  void recordClaim(ClaimCheck) override {}
  void recordOrder(PromotionOutcome Outcome) override {
    if (Outcome == PromotionOutcome::Refused)
      this->Current = TakeoverStep::Resume;
    else if (Outcome != PromotionOutcome::NotDone)
      this->Current = TakeoverStep::AwaitEffect;
  }
  void recordEffect(std::optional<Term> Leading) override {
    this->Ended = Leading ? TakeoverEnd::Promoted : TakeoverEnd::Open;
    this->Current = TakeoverStep::End;
  }
  void recordResumed() override { this->Current = TakeoverStep::End; }
  Term oldTerm() const override { return this->NextTerm - 1; }

private:
  TimePoint Begun;
  Term NextTerm;
  std::optional<ServerId> Target;
  std::vector<ServerId> Adopters;
  LogPosition Longest;
  TakeoverStep Current = TakeoverStep::Adopt;
  TakeoverEnd Ended = TakeoverEnd::GivenUp;
};

/// The proof as it is.
class PresentProof final : public ProofLogic {
public:
  explicit PresentProof(Term T) : Proof(T, TimePoint()) {}
  std::unique_ptr<ProofLogic> clone() const override {
    return std::make_unique<PresentProof>(*this);
  }
  void recordReport(const ServerId &Id, const ServerReport &Report) override {
    this->Proof.recordReport(Id, Report);
  }
  void recordSilence(const ServerId &Id) override {
    this->Proof.recordSilence(Id);
  }
  void recordClaim(const ClaimRow &Row) override {
    this->Proof.recordClaim(Row);
  }
  ProofState state(const std::vector<ServerId> &Others) const override {
    return this->Proof.state(Others);
  }

private:
  LeadershipProof Proof;
};

/// Takes the report of any one replica for a proof.
class OneReplicaProves final : public ProofLogic {
public:
  explicit OneReplicaProves(Term T) : TermNumber(T) {}
  std::unique_ptr<ProofLogic> clone() const override {
    return std::make_unique<OneReplicaProves>(*this);
  }
  void recordReport(const ServerId &, const ServerReport &Report) override {
    if (Report.Role == ServerRole::Replica &&
        std::max(Report.TermNumber, Report.AdoptedTerm) <= this->TermNumber)
      this->Found = ProofState::Proved;
  }
  void recordSilence(const ServerId &) override {}
  void recordClaim(const ClaimRow &) override {}
  ProofState state(const std::vector<ServerId> &) const override {
    return this->Found;
  }

private:
  Term TermNumber;
  ProofState Found = ProofState::Open;
};

/// Takes any finished claim for a proof, whatever its term.
class AnyFinishedClaimProves final : public ProofLogic {
public:
  explicit AnyFinishedClaimProves(Term) {}
  std::unique_ptr<ProofLogic> clone() const override {
    return std::make_unique<AnyFinishedClaimProves>(*this);
  }
  void recordReport(const ServerId &, const ServerReport &) override {}
  void recordSilence(const ServerId &) override {}
  void recordClaim(const ClaimRow &Row) override {
    if (Row.State == ClaimState::Finished)
      this->Found = ProofState::Proved;
  }
  ProofState state(const std::vector<ServerId> &) const override {
    return this->Found;
  }

private:
  ProofState Found = ProofState::Open;
};

template <typename Logic> std::unique_ptr<ProofLogic> makeProof(Term T) {
  return std::make_unique<Logic>(T);
}

template <typename Logic>
std::unique_ptr<TakeoverLogic> make(std::vector<TakeoverServer> Servers,
                                    std::optional<ServerId> Preferred,
                                    TimePoint Begun) {
  return std::make_unique<Logic>(std::move(Servers), std::move(Preferred),
                                 Begun);
}

std::unique_ptr<TakeoverLogic>
makeNoStepDown(const std::vector<TakeoverServer> &Servers,
               const std::optional<ServerId> & /*Preferred*/, TimePoint Begun) {
  return std::make_unique<NoStepDown>(Servers, Begun);
}

/// Takes no turns: a released claim may be taken at once by any entry VM.
class ReleasedIsFree final : public ClaimRule {
public:
  bool mayClaim(const TakeoverClaim &Seen, const ClaimRow &Row,
                ClaimPurpose Purpose, TimePoint Now) const override {
    return Row.State == ClaimState::Finished || Seen.mayClaim(Now, Purpose);
  }
};

/// Does not wait for the time in which an order may still be under way.
class OrdersArriveAtOnce final : public ClaimRule {
public:
  bool mayClaim(const TakeoverClaim &Seen, const ClaimRow &,
                ClaimPurpose Purpose, TimePoint Now) const override {
    return Seen.mayClaim(Now + TakeoverClaim::OrderSpan, Purpose);
  }
};

/// Returns all invariants but \p Checked.
std::set<Invariant> othersThan(Invariant Checked) {
  std::set<Invariant> Others;
  for (const auto &[What, Name] : EnumNames<Invariant>::Entries)
    if (What != Checked)
      Others.insert(What);
  return Others;
}

/// Factor for the number of seeds, for long manual runs.
unsigned rounds() {
  const char *Text = std::getenv("AMARANTHSPUR_MODEL_ROUNDS");
  return Text ? static_cast<unsigned>(std::max(std::atoi(Text), 1)) : 1;
}

} // namespace

// Guards against an explorer that would miss a fault, and against a takeover
// that loses acknowledged commits in any short order of events.
TEST_CASE("all short orders of events at a takeover") {
  // Another entry VM may claim after this time in ms.
  static constexpr std::size_t NextClaim = 4800;
  static_assert(milliseconds(NextClaim) ==
                TakeoverClaim::Lease + TakeoverClaim::OrderSpan);
  struct Row {
    const char *Name;
    TakeoverFactory Make;
    std::size_t Vms;
    bool PrimaryHidden;
    std::map<Kind, unsigned> Limits;
    std::size_t Depth;
    const char *Found; ///< Start of the violation; empty if there must be none.
    CallEnd GivenUp = CallEnd::Reset;
    std::set<Invariant> Unchecked = {};
    const ClaimRule *Claims = nullptr;
    std::vector<std::size_t> Waits = {NextClaim};
  };
  const ReleasedIsFree Free;
  const OrdersArriveAtOnce AtOnce;
  const std::map<Kind, unsigned> Delayed = {
      {Kind::Plan, 2}, {Kind::HoldUp, 1}, {Kind::Wait, 2}};
  const std::map<Kind, unsigned> Joins = {{Kind::Commit, 1}, {Kind::Join, 1}};
  const std::map<Kind, unsigned> Wakes = {{Kind::Commit, 1}, {Kind::Wait, 1}};
  const std::map<Kind, unsigned> Restarts = {{Kind::Commit, 1},
                                             {Kind::Restart, 1}};
  const std::map<Kind, unsigned> Releases = {
      {Kind::Commit, 1}, {Kind::Join, 1}, {Kind::Leave, 1}};
  const std::map<Kind, unsigned> Faults = {
      {Kind::Commit, 1}, {Kind::Crash, 1}, {Kind::Cut, 1}, {Kind::Deafen, 1}};
  const std::map<Kind, unsigned> Deaths = {{Kind::Die, 1}, {Kind::Wait, 1}};
  const std::map<Kind, unsigned> Losses = {
      {Kind::Commit, 1}, {Kind::Wait, 1}, {Kind::LoseAnswer, 1}};
  const TakeoverFactory Present = make<PresentLogic>;
  // The link of a holder is cut when it confirms the claim and when it orders.
  const std::map<Kind, unsigned> HeldUp = {
      {Kind::Plan, 2},     {Kind::Deliver, 1}, {Kind::Commit, 1},
      {Kind::LoseCall, 1}, {Kind::HoldUp, 1},  {Kind::Wait, 1}};
  const Row Rows[] = {
      {"an order that was given up arrives", Present, 2, true, HeldUp, 21,
       "FENCE", CallEnd::Closed, othersThan(Invariant::Fence)},
      {"an order that was given up arrives", Present, 2, true, HeldUp, 25,
       "LOST", CallEnd::Closed, othersThan(Invariant::Lost)},
      {"an order that was given up arrives", Present, 2, true, HeldUp, 25,
       "ONE", CallEnd::Closed, othersThan(Invariant::One)},
      {"an order that was given up is reset", Present, 2, true, HeldUp, 25, ""},
      {"a released claim may be taken at once",
       Present,
       2,
       false,
       {},
       24,
       "TURN",
       CallEnd::Reset,
       {},
       &Free},
      {"orders are taken to arrive at once",
       Present,
       2,
       true,
       Delayed,
       22,
       "TURN",
       CallEnd::Reset,
       {},
       &AtOnce,
       {700, 3300}},
      {"an order is delayed",
       Present,
       2,
       true,
       Delayed,
       22,
       "",
       CallEnd::Reset,
       {},
       nullptr,
       {700, 4100}},
      {"no step-down, a server joins", makeNoStepDown, 1, false, Joins, 14,
       "LOST"},
      {"no step-down",
       makeNoStepDown,
       1,
       false,
       {{Kind::Commit, 1}},
       14,
       "ONE"},
      {"adoptions undone late", make<UndoesLate>, 2, true, Wakes, 20, "LOST"},
      {"ends of logs not compared",
       make<IgnoresEnds>,
       1,
       false,
       {{Kind::Commit, 1}},
       14,
       "LOST"},
      {"a later term stays adopted", make<LeavesStranded>, 2, false, Deaths, 26,
       "STRANDED"},
      {"a holder ends after the adoptions", Present, 2, false, Deaths, 28, ""},
      {"a server joins", Present, 1, false, Joins, 20, ""},
      {"a holder wakes", Present, 2, true, Wakes, 22, ""},
      {"a server restarts", Present, 1, false, Restarts, 24, ""},
      {"a primary is replaced and leaves", Present, 1, false, Releases, 30, ""},
      {"a server crashes, another is deaf", Present, 1, false, Faults, 17, ""},
      {"two entry VMs, an answer is lost", Present, 2, false, Losses, 11, ""},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    ExplorerOptions Options;
    Options.Make = R.Make;
    Options.Vms = R.Vms;
    Options.PrimaryHidden = R.PrimaryHidden;
    Options.Limits = R.Limits;
    Options.Waits = R.Waits;
    if (R.Limits.count(Kind::HoldUp) != 0)
      Options.FaultySteps = {{Kind::LoseCall, TakeoverStep::Confirm},
                             {Kind::HoldUp, TakeoverStep::Order}};
    Options.GivenUp = R.GivenUp;
    Options.Claims = R.Claims;
    Options.Unchecked = R.Unchecked;
    const ExplorerResult Result = exploreAll(Options, R.Depth);
    CAPTURE(Result.text());
    CHECK(Result.Violation.substr(0, Result.Violation.find(':')) == R.Found);
    // A row in which no promotion takes effect would show nothing.
    CHECK((*R.Found != '\0' || Result.Takeovers > 0));
  }
}

// Guards against a read that a superseded primary answers because it is proved
// to lead (review case 3), and against an explorer that would miss it.
TEST_CASE("all short orders of events at a proof of leadership") {
  struct Row {
    const char *Name;
    ProofFactory MakeProof;
    TakeoverFactory Make;
    bool PrimaryHidden;
    std::map<Kind, unsigned> Limits;
    std::size_t Depth;
    const char *Found; ///< Start of the violation; empty if there must be none.
  };
  const std::map<Kind, unsigned> Proof = {{Kind::Prove, 1}, {Kind::Commit, 1}};
  const std::map<Kind, unsigned> Joins = {
      {Kind::Prove, 1}, {Kind::Commit, 1}, {Kind::Join, 1}};
  const std::map<Kind, unsigned> Leaves = {
      {Kind::Prove, 1}, {Kind::Commit, 1}, {Kind::Leave, 1}};
  const ProofFactory Present = makeProof<PresentProof>;
  const TakeoverFactory PresentSteps = make<PresentLogic>;
  const Row Rows[] = {
      {"one replica proves", makeProof<OneReplicaProves>, PresentSteps, false,
       Proof, 16, "STALE"},
      {"any finished claim proves", makeProof<AnyFinishedClaimProves>,
       PresentSteps, false, Proof, 18, "STALE"},
      {"nothing else happens", Present, PresentSteps, false, Proof, 17, ""},
      {"the old primary is not reached", Present, PresentSteps, true, Proof, 18,
       ""},
      {"a server joins", Present, PresentSteps, false, Joins, 15, ""},
      {"a server leaves", Present, PresentSteps, false, Leaves, 16, ""},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    ExplorerOptions Options;
    Options.Make = R.Make;
    Options.MakeProof = R.MakeProof;
    Options.Vms = 1;
    // One has received the commit of the new primary, another one nothing.
    Options.Servers = 4;
    Options.PrimaryHidden = R.PrimaryHidden;
    Options.Limits = R.Limits;
    const ExplorerResult Result = exploreAll(Options, R.Depth);
    CAPTURE(Result.text(), Result.Events);
    CHECK(Result.Violation.substr(0, Result.Violation.find(':')) == R.Found);
    // A row in which no promotion takes effect would show nothing.
    CHECK((*R.Found != '\0' || Result.Takeovers > 0));
  }
}

// Guards against a loss that needs more events than the exhaustive search
// reaches. AMARANTHSPUR_MODEL_ROUNDS multiplies the number of seeds.
TEST_CASE("random orders of events at a takeover") {
  struct Row {
    const char *Name;
    TakeoverFactory Make;
    std::size_t Vms;
    std::size_t Servers;
    std::map<Kind, unsigned> Limits;
    unsigned Seeds;
    const char *Found; ///< Start of the violation; empty if there must be none.
    std::set<Invariant> Unchecked = {};
  };
  const std::map<Kind, unsigned> All = {
      {Kind::Commit, 3},   {Kind::Join, 1},  {Kind::Leave, 1},
      {Kind::Restart, 2},  {Kind::Crash, 2}, {Kind::Deafen, 2},
      {Kind::Cut, 3},      {Kind::Wait, 4},  {Kind::LoseAnswer, 2},
      {Kind::LoseCall, 2}, {Kind::Die, 1},   {Kind::Undo, 1},
      {Kind::Prove, 4}};
  std::map<Kind, unsigned> HeldUp = All;
  HeldUp[Kind::HoldUp] = 3;
  std::map<Kind, unsigned> NoRestarts = HeldUp;
  NoRestarts.erase(Kind::Restart);
  NoRestarts.erase(Kind::Crash);
  const Row Rows[] = {
      {"no step-down", makeNoStepDown, 2, 3, All, 300, "ONE",
       othersThan(Invariant::One)},
      {"no step-down", makeNoStepDown, 2, 3, All, 300, "LOST",
       othersThan(Invariant::Lost)},
      {"ends of logs not compared", make<IgnoresEnds>, 2, 3, All, 300, "LOST",
       othersThan(Invariant::Lost)},
      {"two entry VMs, all faults", make<PresentLogic>, 2, 3, HeldUp, 4000, ""},
      {"three entry VMs, servers do not restart", make<PresentLogic>, 3, 4,
       NoRestarts, 4000, ""},
  };
  for (const Row &R : Rows) {
    ExplorerOptions Options;
    Options.Make = R.Make;
    Options.MakeProof = makeProof<PresentProof>;
    Options.Vms = R.Vms;
    Options.Servers = R.Servers;
    Options.Limits = R.Limits;
    Options.Unchecked = R.Unchecked;
    Options.Waits = {200, 700, 1500, 4000, 4800};
    std::map<std::string, std::uint64_t> Gaps;
    std::uint64_t Takeovers = 0;
    std::string Violation;
    for (unsigned Seed = 1; Seed <= R.Seeds * rounds(); ++Seed) {
      const ExplorerResult Result = exploreRandomly(Options, Seed, 100);
      Takeovers += Result.Takeovers;
      for (const auto &[Name, Count] : Result.Gaps)
        Gaps[Name] += Count;
      if (Result.Violation.empty())
        continue;
      Violation = Result.Violation.substr(0, Result.Violation.find(':'));
      UNSCOPED_INFO("seed " << Seed << ": " << Result.text());
      if (*R.Found != '\0')
        break;
    }
    std::string Excluded;
    for (const auto &[Name, Count] : Gaps)
      Excluded += " " + Name + "=" + std::to_string(Count);
    WARN(R.Name << ": " << Takeovers << " promotions, excluded:"
                << (Excluded.empty() ? " none" : Excluded));
    CHECK(Violation == R.Found);
    CHECK(Takeovers > 0);
  }
}

// Guards against a service that stays without a primary after a holder has
// ended or was cut off during its takeover.
TEST_CASE("a primary acknowledges again after a step-down") {
  struct Row {
    const char *Name;
    TakeoverFactory Make;
    std::size_t Vms;
    std::map<Kind, unsigned> Limits;
    bool Stopped;      ///< The holder of the step-down does nothing more.
    const char *Found; ///< Start of the violation; empty if there must be none.
  };
  const TakeoverFactory Present = make<PresentLogic>;
  const std::map<Kind, unsigned> Faults = {
      {Kind::Commit, 3}, {Kind::Join, 1},       {Kind::Wait, 3},
      {Kind::Die, 1},    {Kind::LoseAnswer, 2}, {Kind::LoseCall, 2},
      {Kind::HoldUp, 2}};
  const Row Rows[] = {
      {"no promotion is ordered", make<NeverOrders>, 3, Faults, false, "LIVE"},
      {"the holder goes on", Present, 3, Faults, false, ""},
      {"the holder stops", Present, 3, Faults, true, ""},
      {"one of five stops", Present, 5, Faults, true, ""},
  };
  // One takeover: the promotion window, the call and its effect.
  const Duration Takeover =
      TakeoverClaim::PromotionWindow + milliseconds(700) + milliseconds(1000);
  for (const Row &R : Rows) {
    ExplorerOptions Options;
    Options.Make = R.Make;
    Options.Vms = R.Vms;
    Options.Limits = R.Limits;
    Options.Waits = {200, 700};
    Duration Longest = Duration::zero();
    unsigned Outages = 0;
    std::string Violation;
    for (unsigned Seed = 1; Seed <= 1000 * rounds(); ++Seed) {
      const ExplorerResult Result = exploreFairly(
          Options, Seed, 60, TakeoverClaim::Lease + Takeover, R.Stopped);
      Longest = std::max(Longest, Result.Outage);
      Outages += Result.Outage != Duration::zero();
      if (Result.Violation.empty())
        continue;
      Violation = Result.Violation.substr(0, Result.Violation.find(':'));
      UNSCOPED_INFO("seed " << Seed << ": " << Result.text());
      break;
    }
    WARN(R.Name << ": " << Outages << " step-downs, longest time without a "
                << "primary " << toMilliseconds(Longest) << " ms");
    CHECK(Violation == R.Found);
    CHECK(Outages > 0);
  }
}
