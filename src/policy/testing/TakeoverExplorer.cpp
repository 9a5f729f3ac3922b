#include "policy/testing/TakeoverExplorer.h"

#include "core/Random.h"

#include <algorithm>
#include <array>
#include <set>
#include <unordered_set>

namespace amaranthspur {

template <> struct EnumNames<testing::ExplorerEventKind> {
  using Kind = testing::ExplorerEventKind;
  static constexpr auto Entries =
      std::to_array<std::pair<Kind, std::string_view>>(
          {{Kind::Plan, "plan"},
           {Kind::Undo, "undo"},
           {Kind::Step, "step"},
           {Kind::LoseAnswer, "lose-answer"},
           {Kind::LoseCall, "lose-call"},
           {Kind::Die, "die"},
           {Kind::Cut, "cut"},
           {Kind::Commit, "commit"},
           {Kind::Deliver, "deliver"},
           {Kind::Join, "join"},
           {Kind::Leave, "leave"},
           {Kind::Restart, "restart"},
           {Kind::Crash, "crash"},
           {Kind::Deafen, "deafen"},
           {Kind::Effect, "effect"},
           {Kind::Prove, "prove"},
           {Kind::Ask, "ask"},
           {Kind::Wait, "wait"}});
};

template <> struct EnumNames<testing::TakeoverGap> {
  using Gap = testing::TakeoverGap;
  static constexpr auto Entries =
      std::to_array<std::pair<Gap, std::string_view>>(
          {{Gap::LateOrder, "late-order"},
           {Gap::UnreachablePrimary, "unreachable-primary"},
           {Gap::RestartedPrimary, "restarted-primary"},
           {Gap::SoleHolder, "sole-holder"},
           {Gap::StrayCommit, "stray-commit"}});
};

namespace testing {
namespace {

using Kind = ExplorerEventKind;

constexpr std::size_t MaxServers = 8;
constexpr std::size_t MaxCommits = 30;
/// Operand of Kind::Ask for the claim row.
constexpr std::size_t ClaimRowOperand = MaxServers;

/// Returns the row with which a claim is released. It names no turn, so that
/// any entry VM may claim at once: more orders of events are searched than the
/// turns allow, and a violation does not depend on them.
ClaimRow releasedRow(const ClaimOutcome &Outcome) {
  ClaimRow Row = parseClaimRow(1, finishedClaimValue(Outcome));
  Row.Turn.reset();
  return Row;
}

/// Returns whether events of \p K are not limited.
bool isFree(Kind K) {
  return K == Kind::Plan || K == Kind::Step || K == Kind::Deliver ||
         K == Kind::Effect || K == Kind::Ask;
}

struct Entry {
  std::uint8_t TermNumber = 0;
  std::uint8_t Commit = 0; ///< Number of the commit, below 32.
  bool operator==(const Entry &) const = default;
};

/// Returns a bit for each commit in \p Log.
std::uint32_t commitsIn(const std::vector<Entry> &Log) {
  std::uint32_t Commits = 0;
  for (const Entry &E : Log)
    Commits |= 1U << E.Commit;
  return Commits;
}

struct Server {
  bool Primary = false;
  bool Running = true;
  bool Gone = false;
  bool Deaf = false;
  Term TermNumber = 1;
  Term Held = 0; ///< Not zero while it is paused.
  std::vector<Entry> Log;
};

struct Order {
  std::size_t Target = 0;
  std::size_t Vm = 0;
  std::uint64_t Claim = 0; ///< Number of the claim.
  TimePoint Begun{};
  std::optional<std::size_t> Old;
  bool Pending = true;
  bool OldReached = false;         ///< The old primary answered the holder.
  std::uint64_t SteppedDownAt = 0; ///< Event of the old primary's answer.
  std::uint64_t LastRead = 0;      ///< Event of the last read of registrations.
  /// Event of the last answer of each server to the holder.
  std::array<std::uint64_t, MaxServers> Answered{};
};

/// The replica that a commit was acknowledged with, and when.
struct Witness {
  std::size_t Replica = 0;
  std::uint64_t At = 0;
};

/// A proof that an entry VM is making.
struct Proving {
  std::size_t Leader = 0;
  Term TermNumber = 0;
  std::uint32_t Missing = 0; ///< Commits that its log lacked at the beginning.
  std::set<std::size_t> Asked;
  std::shared_ptr<const ProofLogic> Logic; ///< Null if there is no proof.
  std::size_t Inputs = 0;                  ///< Hash of all it has been told.
};

/// What an entry VM is doing.
enum class Doing { Nothing, Claiming, Acting };

struct Vm {
  Doing Now = Doing::Nothing;
  bool Undoing = false;
  TakeoverClaim Claim;
  std::vector<TakeoverServer> Plan;
  std::vector<ServerId> Stranded;
  std::optional<std::size_t> Believed; ///< The primary, as last seen.
  TimePoint Begun{};
  std::uint64_t Expected = 0; ///< Version that the claim is based on.
  std::uint64_t Fence = 0;
  std::shared_ptr<const TakeoverLogic> Logic;
  TakeoverAction Action;
  std::vector<std::size_t> Pending; ///< Servers that the step has yet to call.
  ServerReports Answers;
  TimePoint Ordered{};
  Order Given;          ///< The facts of the present takeover.
  ClaimOutcome Outcome; ///< What is known when the claim is released.
  Proving Proof;
  std::size_t Inputs = 0; ///< Hash of all that Logic has been told.
};

ServerId idOf(std::size_t Index) {
  return ServerId(std::string(1, 'a' + Index));
}
std::size_t indexOf(const ServerId &Id) { return Id.str()[0] - 'a'; }

void mix(std::size_t &Hash, std::size_t Value) {
  Hash = (Hash ^ (Value + 0x9e3779b97f4a7c15ULL)) * 0xff51afd7ed558ccdULL;
  Hash ^= Hash >> 32U;
}

/// The state of the group and of the entry VMs.
class Model {
public:
  explicit Model(const ExplorerOptions &Options) : Options(&Options) {
    this->Servers.resize(Options.Servers);
    this->Vms.resize(Options.Vms);
    for (Server &S : this->Servers)
      S.Log = {{1, 0}};
    this->Servers[0].Primary = true;
    this->Led[0] = FirstTerm;
    for (std::size_t V = 0; V < Options.Vms; ++V) {
      this->Vms[V].Believed = 0;
      if (Options.PrimaryHidden)
        this->Cuts.insert({V, 0});
    }
  }

  std::vector<ExplorerEvent> enabled(bool Coarse) const;
  bool isEnabled(const ExplorerEvent &E) const;
  void apply(const ExplorerEvent &E, bool Coarse);
  std::size_t hash() const;
  std::string describe(const ExplorerEvent &E) const;

  std::string Violation;
  std::optional<TakeoverGap> Gap;
  std::uint64_t Takeovers = 0;

private:
  ServerReport report(const Server &S) const;
  bool reaches(std::size_t V, std::size_t S) const {
    return this->Servers[S].Running && !this->Servers[S].Gone &&
           this->Cuts.count({V, S}) == 0;
  }
  bool mayDeliver(std::size_t From, std::size_t To) const;
  bool mayTakeEffect(const Order &O) const;
  /// Returns whether nothing is lost with the log of \p S.
  bool mayLeave(std::size_t S) const;
  std::vector<std::size_t> stranded(std::size_t V) const;

  void observeRow();
  void plan(std::size_t V);
  void undo(std::size_t V);
  void step(std::size_t V, std::size_t S, Kind How, bool Coarse);
  void claim(std::size_t V, Kind How);
  void call(std::size_t V, std::size_t S, Kind How);
  void order(std::size_t V, Kind How);
  /// Writes the claim row if it has the version \p Expected.
  bool compareAndSet(std::uint64_t Expected, const ClaimRow &Written);
  void prove(std::size_t V, std::size_t S);
  void ask(std::size_t V, std::size_t S);
  /// Lets the logic of \p V decide its next step.
  void decide(std::size_t V);
  /// Looks for servers that the takeover of \p V has kept from the new primary.
  void checkStranded(std::size_t V);
  void restart(std::size_t S);
  /// Acknowledges all commits of \p Primary, whose log \p Replica has now.
  void acknowledge(std::size_t Primary, std::size_t Replica);
  void takeEffect(Order &O);
  /// Returns whether the holder heard from none of the replicas that \p Lost
  /// were acknowledged with after that had happened.
  bool isUnseen(std::uint32_t Lost, const Order &O) const;
  /// Returns whether no server but the old primary has any of \p Lost.
  bool isHeldByNone(std::uint32_t Lost, const Order &O) const;
  /// Records a violation, and its gap if it is one.
  void violate(std::string Text, std::uint32_t Lost, const Order &O);

  const ExplorerOptions *Options;
  TimePoint Now{std::chrono::seconds(100)};
  std::uint64_t Events = 0;
  std::vector<Server> Servers;
  std::vector<Vm> Vms;
  std::set<std::pair<std::size_t, std::size_t>> Cuts;
  std::map<Kind, unsigned> Used;
  std::size_t Leader = 0; ///< The platform's present primary.
  Term LeaderTerm = 1;
  std::vector<Order> Orders;
  std::map<Term, Order> Effects; ///< The promotions by term.
  std::uint8_t Commits = 1;
  std::array<Witness, MaxCommits> Witnesses{};
  std::uint32_t Acknowledged = 1; ///< A bit for each commit.
  std::uint32_t Removed = 0;      ///< Those that a promotion has removed.
  std::uint32_t Stray = 0;        ///< Those of superseded primaries.
  std::uint64_t LastRelease = 0;  ///< Last event that let a server receive.
  std::uint64_t OldRestarted = 0; ///< Last restart of Leader.
  std::map<std::uint64_t, std::size_t> OrderedBy; ///< Entry VM by version.
  std::uint64_t Claims = 0;
  std::uint64_t RowVersion = 0;
  ClaimRow Row = parseClaimRow(0, {});
  std::array<Term, MaxServers> Led{}; ///< Last term that each server has led.
};

ServerReport Model::report(const Server &S) const {
  ServerReport R;
  R.Role = S.Primary ? ServerRole::Primary : ServerRole::Replica;
  R.TermNumber = S.TermNumber;
  R.Received = {S.Log.empty() ? 0 : Term{S.Log.back().TermNumber},
                S.Log.size()};
  R.AdoptedTerm = S.Held;
  return R;
}

bool Model::mayDeliver(std::size_t From, std::size_t To) const {
  const Server &X = this->Servers[From];
  const Server &Y = this->Servers[To];
  return From != To && X.Primary && X.Running && !X.Gone && Y.Running &&
         !Y.Gone && !Y.Deaf && Y.Held == 0 &&
         (Y.Primary ? Y.TermNumber < X.TermNumber
                    : Y.TermNumber <= X.TermNumber) &&
         (Y.Log != X.Log || Y.TermNumber != X.TermNumber);
}

bool Model::mayTakeEffect(const Order &O) const {
  if (!O.Pending)
    return false;
  // TakeoverGap::LateOrder. The lease has passed and the takeover has been
  // claimed again; the platform does not check fences, so nothing can prevent
  // the effect.
  const bool Superseded =
      this->Claims != O.Claim && this->Now - O.Begun >= TakeoverClaim::Lease;
  return !Superseded;
}

bool Model::mayLeave(std::size_t S) const {
  // The log of a draining server is transferred to its successor before the
  // server ends, so another replica has it.
  const std::vector<Entry> &Log = this->Servers[S].Log;
  for (std::size_t I = 0; I < this->Servers.size(); ++I) {
    const Server &Other = this->Servers[I];
    if (I != S && I != this->Leader && !Other.Primary && !Other.Gone &&
        Other.Running && Other.Log.size() >= Log.size() &&
        std::equal(Log.begin(), Log.end(), Other.Log.begin()))
      return !this->Servers[S].Primary;
  }
  return false;
}

std::vector<std::size_t> Model::stranded(std::size_t V) const {
  std::vector<std::size_t> Found;
  const Vm &M = this->Vms[V];
  if (!M.Believed || !this->reaches(V, *M.Believed) ||
      !this->Servers[*M.Believed].Primary)
    return Found;
  for (std::size_t S = 0; S < this->Servers.size(); ++S)
    if (S != *M.Believed && this->reaches(V, S) &&
        this->Servers[S].Held > this->Servers[*M.Believed].TermNumber)
      Found.push_back(S);
  return Found;
}

std::vector<ExplorerEvent> Model::enabled(bool Coarse) const {
  std::vector<ExplorerEvent> Found;
  const auto Add = [this, &Found](Kind K, std::size_t A, std::size_t B = 0) {
    const auto Limit = this->Options->Limits.find(K);
    const auto Count = this->Used.find(K);
    const unsigned Done = Count == this->Used.end() ? 0 : Count->second;
    if (isFree(K) ||
        (Limit != this->Options->Limits.end() && Done < Limit->second))
      Found.push_back({K, A, B});
  };
  for (std::size_t V = 0; V < this->Vms.size(); ++V) {
    const Vm &M = this->Vms[V];
    if (M.Now == Doing::Nothing) {
      if (M.Claim.mayClaim(this->Now))
        Add(Kind::Plan, V);
      if (M.Claim.mayClaim(this->Now) && !this->stranded(V).empty())
        Add(Kind::Undo, V);
    } else {
      const std::size_t Calls = M.Pending.size();
      for (std::size_t I = 0; I < std::max<std::size_t>(Calls, 1); ++I) {
        const std::size_t S = Calls == 0 ? 0 : M.Pending[I];
        const bool Waits = M.Now == Doing::Acting &&
                           M.Action.Step == TakeoverStep::AwaitEffect &&
                           !(this->reaches(V, indexOf(M.Action.Target)) &&
                             this->Servers[indexOf(M.Action.Target)].Primary) &&
                           this->Now - M.Ordered < milliseconds(2500);
        if (!Waits)
          Add(Kind::Step, V, S);
        Add(Kind::LoseAnswer, V, S);
        Add(Kind::LoseCall, V, S);
        if (Coarse)
          break;
      }
    }
    for (std::size_t S = 0; S < this->Servers.size(); ++S)
      if (this->Led[S] != 0 && !this->Servers[S].Gone && !M.Proof.Logic)
        Add(Kind::Prove, V, S);
    if (M.Proof.Logic) {
      for (std::size_t S = 0; S < this->Servers.size(); ++S)
        if (S != M.Proof.Leader && !this->Servers[S].Gone &&
            M.Proof.Asked.count(S) == 0)
          Add(Kind::Ask, V, S);
      if (M.Proof.Asked.count(ClaimRowOperand) == 0)
        Add(Kind::Ask, V, ClaimRowOperand);
    }
    Add(Kind::Die, V);
    for (std::size_t S = 0; S < this->Servers.size(); ++S)
      if (!this->Servers[S].Gone)
        Add(Kind::Cut, V, S);
  }
  for (std::size_t S = 0; S < this->Servers.size(); ++S) {
    const Server &X = this->Servers[S];
    if (X.Gone)
      continue;
    if (X.Running && X.Primary && this->Commits < MaxCommits)
      Add(Kind::Commit, S);
    for (std::size_t T = 0; T < this->Servers.size(); ++T)
      if (this->mayDeliver(S, T))
        Add(Kind::Deliver, S, T);
    if (X.Running && X.Primary && this->Servers.size() < MaxServers)
      Add(Kind::Join, S);
    if (X.Running && this->mayLeave(S))
      Add(Kind::Leave, S);
    if (X.Running)
      Add(Kind::Restart, S);
    Add(Kind::Crash, S);
    if (X.Running && !X.Primary)
      Add(Kind::Deafen, S);
  }
  for (std::size_t I = 0; I < this->Orders.size(); ++I)
    if (this->mayTakeEffect(this->Orders[I]))
      Add(Kind::Effect, I);
  for (const std::size_t Ms : this->Options->Waits)
    Add(Kind::Wait, Ms);
  return Found;
}

bool Model::isEnabled(const ExplorerEvent &E) const {
  for (const ExplorerEvent &Other : this->enabled(false))
    if (Other.Kind == E.Kind && Other.A == E.A && Other.B == E.B)
      return true;
  return false;
}

void Model::observeRow() {
  for (Vm &V : this->Vms)
    V.Claim.observe(this->RowVersion, this->Row, this->Now);
}

bool Model::compareAndSet(std::uint64_t Expected, const ClaimRow &Written) {
  if (Expected != this->RowVersion)
    return false;
  ++this->RowVersion;
  this->Row = Written;
  this->observeRow();
  return true;
}

void Model::plan(std::size_t V) {
  Vm &M = this->Vms[V];
  M.Plan.clear();
  M.Given = Order{};
  M.Given.Vm = V;
  // A server registers its change of role at once, so the entry VM knows the
  // primary of the latest term even if it cannot reach it.
  M.Believed = this->Leader;
  const Server &Latest = this->Servers[this->Leader];
  if (Latest.Gone || !Latest.Primary)
    M.Believed.reset();
  for (std::size_t S = 0; S < this->Servers.size(); ++S) {
    if (this->Servers[S].Gone)
      continue;
    TakeoverServer T;
    T.Id = idOf(S);
    T.OldPrimary = M.Believed == S;
    // The entry VMs prefer different targets.
    T.DistanceFromHere = S % this->Vms.size() == V ? Distance::SameDataCentre
                                                   : Distance::OtherRegion;
    if (this->reaches(V, S))
      T.Report = this->report(this->Servers[S]);
    M.Given.OldReached =
        M.Given.OldReached || (T.OldPrimary && T.Report.has_value());
    M.Plan.push_back(T);
  }
  M.Given.Old = M.Believed;
  if (reasonAgainstTakeover(M.Plan))
    return;
  M.Now = Doing::Claiming;
  M.Undoing = false;
  M.Begun = this->Now;
  M.Expected = M.Claim.version();
  M.Given.Begun = this->Now;
}

void Model::undo(std::size_t V) {
  Vm &M = this->Vms[V];
  M.Stranded.clear();
  for (const std::size_t S : this->stranded(V))
    M.Stranded.push_back(idOf(S));
  M.Now = Doing::Claiming;
  M.Undoing = true;
  M.Begun = this->Now;
  M.Expected = M.Claim.version();
}

void Model::claim(std::size_t V, Kind How) {
  Vm &M = this->Vms[V];
  const ClaimRow Before = this->Row;
  M.Now = Doing::Nothing;
  const bool Applied =
      How != Kind::LoseCall &&
      this->compareAndSet(M.Expected, ClaimRow{ClaimState::Held, {}, 0, 0});
  if (How == Kind::Step && !Applied && M.Claim.mayClaim(this->Now)) {
    // The entry VM tries again with the version that it has read now.
    M.Now = Doing::Claiming;
    M.Begun = M.Given.Begun = this->Now;
    M.Expected = this->RowVersion;
  }
  if (!Applied || How == Kind::LoseAnswer)
    return;
  M.Fence = this->RowVersion;
  M.Outcome = ClaimOutcome{Before, false, false, 0, {EntryVmId("vm"), 0}};
  M.Given.Claim = ++this->Claims;
  M.Now = Doing::Acting;
  M.Inputs = 0;
  if (M.Undoing) {
    M.Action = TakeoverAction{};
    if (TakeoverClaim::mayUndo(M.Begun, this->Now)) {
      M.Action.Step = TakeoverStep::Resume;
      for (const ServerId &Id : M.Stranded)
        M.Pending.push_back(indexOf(Id));
    }
    return;
  }
  for (const TakeoverServer &S : M.Plan)
    mix(M.Inputs, S.Report.has_value());
  mix(M.Inputs, Before.Target ? indexOf(*Before.Target) : 99);
  M.Logic = this->Options->Make(M.Plan, Before.Target, M.Begun);
  this->decide(V);
}

void Model::decide(std::size_t V) {
  Vm &M = this->Vms[V];
  auto Logic = M.Logic->clone();
  M.Action = Logic->next(this->Now);
  M.Logic = std::move(Logic);
  M.Pending.clear();
  M.Answers.clear();
  for (const ServerId &Id : M.Action.Servers)
    M.Pending.push_back(indexOf(Id));
  if (M.Action.Step == TakeoverStep::AwaitEffect)
    M.Ordered = this->Now;
}

void Model::call(std::size_t V, std::size_t S, Kind How) {
  Vm &M = this->Vms[V];
  std::erase(M.Pending, S);
  if (How == Kind::LoseCall || !this->reaches(V, S))
    return;
  Server &X = this->Servers[S];
  const Term T = M.Action.TermNumber;
  if (M.Action.Step == TakeoverStep::StepDown) {
    if (X.Primary && X.TermNumber < T)
      X.Primary = false;
  } else if (M.Action.Step == TakeoverStep::Adopt) {
    if (!X.Primary && T > X.TermNumber)
      X.Held = std::max(X.Held, T);
  } else if (M.Action.Step == TakeoverStep::Resume) {
    // A RESUME that was decided in time counts as part of the gap of an
    // unreachable primary; one that was decided later does not.
    if (X.Held != 0 && TakeoverClaim::mayUndo(M.Begun, this->Now))
      this->LastRelease = this->Events;
    X.Held = 0;
  }
  if (How == Kind::LoseAnswer)
    return;
  M.Answers.insert_or_assign(idOf(S), this->report(X));
  M.Outcome.Highest = std::max(M.Outcome.Highest, X.TermNumber);
  M.Given.Answered[S] = this->Events;
  if (M.Given.Old == S) {
    M.Given.OldReached = true;
    if (M.Action.Step == TakeoverStep::StepDown && !X.Primary)
      M.Given.SteppedDownAt = this->Events;
  }
}

void Model::order(std::size_t V, Kind How) {
  Vm &M = this->Vms[V];
  const std::size_t Target = indexOf(M.Action.Target);
  PromotionOutcome Outcome = PromotionOutcome::NotDone;
  M.Outcome.Ordered = true;
  if (How != Kind::LoseCall) {
    const Server &X = this->Servers[Target];
    Outcome = X.Running && !X.Gone ? PromotionOutcome::Accepted
                                   : PromotionOutcome::Refused;
    const auto [Known, Added] = this->OrderedBy.emplace(M.Fence, V);
    if (!Added && Known->second != V)
      this->Violation = "CLAIM: two entry VMs order under one version";
    Order O = M.Given;
    O.Target = Target;
    if (Outcome == PromotionOutcome::Accepted)
      this->Orders.push_back(O);
    if (How == Kind::LoseAnswer)
      Outcome = PromotionOutcome::Unknown;
  }
  mix(M.Inputs, static_cast<std::size_t>(Outcome));
  auto Logic = M.Logic->clone();
  Logic->recordOrder(Outcome);
  M.Logic = std::move(Logic);
}

void Model::step(std::size_t V, std::size_t S, Kind How, bool Coarse) {
  Vm &M = this->Vms[V];
  if (M.Now == Doing::Claiming) {
    this->claim(V, How);
    return;
  }
  const TakeoverStep Step = M.Action.Step;
  if (this->Now >= M.Action.SendBy)
    How = Kind::LoseCall;
  if (Step == TakeoverStep::End) {
    if (!M.Undoing && M.Action.End == TakeoverEnd::Promoted)
      this->checkStranded(V);
    if (How != Kind::LoseCall &&
        (M.Undoing || M.Action.End != TakeoverEnd::Open))
      this->compareAndSet(M.Fence, releasedRow(M.Outcome));
    M.Now = Doing::Nothing;
    M.Logic.reset();
    return;
  }
  if (!M.Pending.empty()) {
    this->call(V, S, How);
    while (Coarse && Step == TakeoverStep::Poll && !M.Pending.empty())
      this->call(V, M.Pending.front(), Kind::Step);
    if (!M.Pending.empty())
      return;
  }
  if (M.Undoing) {
    M.Action.Step = TakeoverStep::End;
    return;
  }
  mix(M.Inputs, static_cast<std::size_t>(Step) +
                    this->Now.time_since_epoch().count() % 1000000007);
  auto Logic = M.Logic->clone();
  switch (Step) {
  case TakeoverStep::Poll:
  case TakeoverStep::StepDown:
  case TakeoverStep::Adopt:
    for (const auto &[Id, R] : M.Answers) {
      mix(M.Inputs, indexOf(Id) * 2 + (R.Role == ServerRole::Primary));
      mix(M.Inputs, R.TermNumber * 64 + R.AdoptedTerm);
      mix(M.Inputs, R.Received.TermNumber * 64 + R.Received.Index);
    }
    Logic->recordAnswers(M.Answers, this->Now);
    break;
  case TakeoverStep::ReadServers: {
    M.Given.LastRead = this->Events;
    std::vector<TakeoverServer> Listed;
    for (std::size_t I = 0; I < this->Servers.size(); ++I)
      if (!this->Servers[I].Gone) {
        mix(M.Inputs, I);
        Listed.emplace_back().Id = idOf(I);
      }
    if (How == Kind::Step)
      Logic->recordServers(Listed);
    else
      Logic->recordServers(std::nullopt);
    mix(M.Inputs, How == Kind::Step);
    break;
  }
  case TakeoverStep::Confirm: {
    const bool Applied =
        How != Kind::LoseCall &&
        this->compareAndSet(M.Fence,
                            ClaimRow{ClaimState::Held, M.Action.Target, 0, 0});
    ClaimCheck Check = ClaimCheck::Unknown;
    if (How == Kind::Step)
      Check = Applied ? ClaimCheck::Held : ClaimCheck::Lost;
    if (Check == ClaimCheck::Held)
      M.Fence = this->RowVersion;
    Logic->recordClaim(Check);
    mix(M.Inputs, static_cast<std::size_t>(Check));
    break;
  }
  case TakeoverStep::Order:
    this->order(V, How);
    Logic = M.Logic->clone();
    break;
  case TakeoverStep::AwaitEffect: {
    const std::size_t Target = indexOf(M.Action.Target);
    const Server &X = this->Servers[Target];
    std::optional<Term> Leading;
    if (How == Kind::Step && this->reaches(V, Target) && X.Primary &&
        X.TermNumber > Logic->oldTerm())
      Leading = X.TermNumber;
    Logic->recordEffect(Leading);
    M.Outcome.Promoted = Leading.has_value();
    M.Outcome.Highest = std::max(M.Outcome.Highest, Leading.value_or(0));
    mix(M.Inputs, Leading.value_or(0));
    break;
  }
  case TakeoverStep::Resume:
    Logic->recordResumed();
    break;
  case TakeoverStep::End:
    break;
  }
  M.Logic = std::move(Logic);
  this->decide(V);
}

bool Model::isUnseen(std::uint32_t Lost, const Order &O) const {
  for (std::size_t C = 0; C < MaxCommits; ++C)
    if ((Lost & (1U << C)) != 0 &&
        O.Answered[this->Witnesses[C].Replica] >= this->Witnesses[C].At)
      return false;
  return true;
}

bool Model::isHeldByNone(std::uint32_t Lost, const Order &O) const {
  for (std::size_t S = 0; S < this->Servers.size(); ++S)
    for (const Entry &E : this->Servers[S].Log)
      if (O.Old != S && (Lost & (1U << E.Commit)) != 0)
        return false;
  return true;
}

void Model::violate(std::string Text, std::uint32_t Lost, const Order &O) {
  this->Violation = std::move(Text);
  if (!O.OldReached && this->isHeldByNone(Lost, O))
    this->Gap = TakeoverGap::SoleHolder;
  if (!this->isUnseen(Lost, O))
    return;
  if (!O.OldReached && this->LastRelease > O.LastRead)
    this->Gap = TakeoverGap::UnreachablePrimary;
  if (O.SteppedDownAt != 0 && this->OldRestarted > O.SteppedDownAt)
    this->Gap = TakeoverGap::RestartedPrimary;
}

void Model::acknowledge(std::size_t Primary, std::size_t Replica) {
  const Server &X = this->Servers[Primary];
  for (const Entry &E : X.Log) {
    const std::uint32_t Bit = 1U << E.Commit;
    if ((this->Acknowledged & Bit) != 0)
      continue;
    this->Acknowledged |= Bit;
    this->Witnesses[E.Commit] = {Replica, this->Events};
    if (X.TermNumber >= this->LeaderTerm)
      continue;
    this->Removed |= Bit;
    this->Stray |= Bit;
    // The rule excuses a primary that the holder could not reach.
    const Order &O = this->Effects.at(X.TermNumber + 1);
    if (O.OldReached)
      this->violate("ONE: a superseded primary acknowledges commit " +
                        std::to_string(E.Commit),
                    Bit, O);
  }
}

void Model::checkStranded(std::size_t V) {
  // A server whose call was lost, or that could not be reached, is resumed
  // later, under another claim.
  const bool Undone = this->Used.count(Kind::LoseCall) == 0 &&
                      this->Used.count(Kind::Cut) == 0 &&
                      this->Used.count(Kind::Crash) == 0 &&
                      TakeoverClaim::mayUndo(this->Vms[V].Begun, this->Now);
  for (std::size_t S = 0; Undone && S < this->Servers.size(); ++S)
    if (!this->Servers[S].Gone && !this->Servers[S].Primary &&
        this->Servers[S].Held > this->LeaderTerm)
      this->Violation = "STRANDED: server " + idOf(S).str() + " holds term " +
                        std::to_string(this->Servers[S].Held);
}

void Model::restart(std::size_t S) {
  Server &X = this->Servers[S];
  X.Held = 0;
  X.Primary = S == this->Leader;
  X.Deaf = false;
  this->LastRelease = this->Events;
  if (X.Primary)
    this->OldRestarted = this->Events;
}

void Model::takeEffect(Order &O) {
  O.Pending = false;
  Server &X = this->Servers[O.Target];
  if (!X.Running || X.Gone || (O.Target == this->Leader && X.Primary))
    return;
  ++this->LeaderTerm;
  this->Leader = O.Target;
  X.Primary = true;
  X.TermNumber = this->LeaderTerm;
  this->Led[O.Target] = this->LeaderTerm;
  ++this->Takeovers;
  this->Effects[this->LeaderTerm] = O;
  // The platform counts the terms that were led; a pause under a later term
  // stays.
  for (Server &S : this->Servers)
    if (S.Held <= this->LeaderTerm)
      S.Held = 0;
  const std::uint32_t Held = commitsIn(X.Log);
  const std::uint32_t Lost = this->Acknowledged & ~this->Removed & ~Held;
  this->Removed |= ((1U << this->Commits) - 1) & ~Held & this->Acknowledged;
  if (Lost != 0 && (Held & this->Stray) != 0)
    this->Gap = TakeoverGap::StrayCommit;
  if (Lost != 0)
    this->violate("LOST: the promoted server " + idOf(O.Target).str() +
                      " lacks acknowledged commits " + std::to_string(Lost),
                  Lost, O);
}

void Model::prove(std::size_t V, std::size_t S) {
  Proving &P = this->Vms[V].Proof;
  P = Proving{};
  P.Leader = S;
  P.TermNumber = this->Led[S];
  P.Missing =
      this->Acknowledged & ~this->Removed & ~commitsIn(this->Servers[S].Log);
  P.Logic = this->Options->MakeProof(P.TermNumber);
}

void Model::ask(std::size_t V, std::size_t S) {
  Proving &P = this->Vms[V].Proof;
  P.Asked.insert(S);
  mix(P.Inputs, S);
  std::unique_ptr<ProofLogic> Logic = P.Logic->clone();
  if (S == ClaimRowOperand) {
    Logic->recordClaim(this->Row);
    mix(P.Inputs,
        static_cast<std::size_t>(this->Row.State) * 64 + this->Row.LastTerm);
  } else if (this->reaches(V, S)) {
    const ServerReport R = this->report(this->Servers[S]);
    Logic->recordReport(idOf(S), R);
    mix(P.Inputs, R.TermNumber * 64 + R.AdoptedTerm * 2 +
                      (R.Role == ServerRole::Primary));
  } else {
    Logic->recordSilence(idOf(S));
  }
  std::vector<ServerId> Others;
  for (std::size_t I = 0; I < this->Servers.size(); ++I)
    if (I != P.Leader && !this->Servers[I].Gone)
      Others.push_back(idOf(I));
  if (Logic->state(Others) == ProofState::Proved && P.Missing != 0)
    this->Violation = "STALE: server " + idOf(P.Leader).str() +
                      " is proved to lead and lacks acknowledged commits " +
                      std::to_string(P.Missing);
  P.Logic = std::move(Logic);
  if (P.Logic->state(Others) == ProofState::Proved ||
      P.Logic->state(Others) == ProofState::Superseded)
    P = Proving{};
}

void Model::apply(const ExplorerEvent &E, bool Coarse) {
  ++this->Events;
  if (!isFree(E.Kind))
    ++this->Used[E.Kind];
  switch (E.Kind) {
  case Kind::Plan:
    this->plan(E.A);
    break;
  case Kind::Undo:
    this->undo(E.A);
    break;
  case Kind::Step:
  case Kind::LoseAnswer:
  case Kind::LoseCall:
    this->step(E.A, E.B, E.Kind, Coarse);
    break;
  case Kind::Die: {
    Vm Fresh;
    Fresh.Believed = this->Vms[E.A].Believed;
    Fresh.Claim.observe(this->RowVersion, this->Row, this->Now);
    this->Vms[E.A] = Fresh;
    break;
  }
  case Kind::Cut:
    if (this->Cuts.erase({E.A, E.B}) == 0)
      this->Cuts.insert({E.A, E.B});
    break;
  case Kind::Commit: {
    Server &X = this->Servers[E.A];
    X.Log.push_back({static_cast<std::uint8_t>(X.TermNumber), this->Commits++});
    break;
  }
  case Kind::Deliver: {
    Server &Y = this->Servers[E.B];
    Y.Log = this->Servers[E.A].Log;
    Y.TermNumber = this->Servers[E.A].TermNumber;
    Y.Primary = false;
    this->acknowledge(E.A, E.B);
    break;
  }
  case Kind::Join: {
    Server New = this->Servers[E.A];
    New.Primary = false;
    this->Servers.push_back(New);
    this->LastRelease = this->Events;
    this->acknowledge(E.A, this->Servers.size() - 1);
    break;
  }
  case Kind::Leave:
    this->Servers[E.A].Gone = true;
    this->Servers[E.A].Log.clear();
    break;
  case Kind::Restart:
    this->restart(E.A);
    break;
  case Kind::Crash:
    this->Servers[E.A].Running = !this->Servers[E.A].Running;
    if (this->Servers[E.A].Running)
      this->restart(E.A);
    break;
  case Kind::Deafen:
    this->Servers[E.A].Deaf = !this->Servers[E.A].Deaf;
    break;
  case Kind::Effect:
    this->takeEffect(this->Orders[E.A]);
    break;
  case Kind::Prove:
    this->prove(E.A, E.B);
    break;
  case Kind::Ask:
    this->ask(E.A, E.B);
    break;
  case Kind::Wait:
    this->Now += milliseconds(E.A);
    break;
  }
}

std::size_t Model::hash() const {
  std::size_t H = 0;
  for (const Server &S : this->Servers) {
    mix(H, S.Primary + 2 * S.Running + 4 * S.Gone + 8 * S.Deaf +
               16 * S.TermNumber + 1024 * S.Held);
    for (const Entry &E : S.Log)
      mix(H, E.TermNumber * 64 + E.Commit);
    mix(H, 12345);
  }
  for (const Vm &V : this->Vms) {
    mix(H, static_cast<std::size_t>(V.Now) + 4UL * V.Undoing + 8 * V.Fence +
               128 * V.Expected + 8192 * V.Believed.value_or(9));
    mix(H, V.Claim.mayClaim(this->Now) + 2 * V.Given.OldReached +
               4 * (V.Given.SteppedDownAt != 0) +
               8 * (this->LastRelease > V.Given.LastRead) +
               16 * (this->OldRestarted > V.Given.SteppedDownAt));
    mix(H, V.Proof.Inputs + 4UL * (V.Proof.Logic != nullptr) +
               8UL * (V.Proof.Missing != 0) + 16 * V.Proof.TermNumber);
    if (V.Now == Doing::Nothing)
      continue;
    mix(H, V.Inputs);
    mix(H, (V.Begun - this->Now).count());
    mix(H, (V.Ordered - this->Now).count());
    for (const std::size_t S : V.Pending)
      mix(H, S);
    for (const auto &[Id, R] : V.Answers) {
      mix(H, indexOf(Id) * 2 + (R.Role == ServerRole::Primary));
      mix(H, R.TermNumber * 64 + R.AdoptedTerm);
      mix(H, R.Received.TermNumber * 64 + R.Received.Index);
    }
  }
  for (const auto &Cut : this->Cuts)
    mix(H, Cut.first * 16 + Cut.second);
  for (const auto &[K, Count] : this->Used)
    mix(H, static_cast<std::size_t>(K) * 64 + Count);
  for (const Order &O : this->Orders)
    mix(H, O.Target * 64 + O.Vm * 8 + O.Pending * 4UL + O.OldReached * 2UL +
               (this->LastRelease > O.LastRead) +
               512UL * (this->OldRestarted > O.SteppedDownAt));
  for (std::size_t C = 1; C < this->Commits; ++C) {
    for (const Order &O : this->Orders)
      mix(H, this->isUnseen(1U << C, O));
    for (const Vm &V : this->Vms)
      mix(H, this->isUnseen(1U << C, V.Given));
  }
  mix(H, this->Acknowledged);
  mix(H, this->Removed);
  mix(H, this->Stray);
  mix(H, this->RowVersion * 64 + this->Claims * 2 +
             (this->Row.State == ClaimState::Held));
  mix(H, this->Row.LastTerm * 128 +
             (this->Row.Target ? indexOf(*this->Row.Target) : 99));
  mix(H, this->Now.time_since_epoch().count());
  return H;
}

std::string Model::describe(const ExplorerEvent &E) const {
  std::string Text(nameOf(E.Kind));
  const bool IsStep = E.Kind == Kind::Step || E.Kind == Kind::LoseAnswer ||
                      E.Kind == Kind::LoseCall;
  if (IsStep) {
    const Vm &V = this->Vms[E.A];
    Text += " vm" + std::to_string(E.A) + " ";
    if (V.Now == Doing::Claiming)
      return Text + "claim";
    Text += nameOf(V.Action.Step);
    if (!V.Pending.empty())
      Text += " " + idOf(E.B).str();
    if (!V.Action.Target.empty())
      Text += " target=" + V.Action.Target.str();
    if (V.Action.Step == TakeoverStep::End)
      Text += " " + std::string(nameOf(V.Action.End)) + " " + V.Action.Why;
    return Text;
  }
  const bool IsVm = E.Kind == Kind::Plan || E.Kind == Kind::Undo ||
                    E.Kind == Kind::Die || E.Kind == Kind::Cut ||
                    E.Kind == Kind::Prove || E.Kind == Kind::Ask;
  if (E.Kind == Kind::Effect)
    return Text + " of the order for " + idOf(this->Orders[E.A].Target).str() +
           " by vm" + std::to_string(this->Orders[E.A].Vm);
  if (E.Kind == Kind::Wait)
    return Text + " " + std::to_string(E.A) + " ms";
  if (E.Kind == Kind::Ask && E.B == ClaimRowOperand)
    return Text + " vm" + std::to_string(E.A) + " the claim row";
  Text += IsVm ? " vm" + std::to_string(E.A) : " " + idOf(E.A).str();
  if (E.Kind == Kind::Prove || E.Kind == Kind::Ask || E.Kind == Kind::Cut ||
      E.Kind == Kind::Deliver)
    Text += " " + idOf(E.B).str();
  return Text;
}

/// Carries out those of \p Events that are enabled.
ExplorerResult replay(const ExplorerOptions &Options,
                      const std::vector<ExplorerEvent> &Events, bool Coarse) {
  ExplorerResult R;
  Model M(Options);
  for (const ExplorerEvent &E : Events) {
    if (!M.isEnabled(E))
      continue;
    R.History.push_back(M.describe(E));
    M.apply(E, Coarse);
    if (M.Violation.empty())
      continue;
    if (!M.Gap)
      R.Violation = M.Violation;
    break;
  }
  return R;
}

} // namespace

std::string ExplorerResult::text() const {
  std::string Text = this->Violation;
  for (const std::string &Line : this->History)
    Text += "\n  " + Line;
  return Text;
}

ExplorerResult exploreAll(const ExplorerOptions &Options, std::size_t Depth) {
  struct Node {
    std::size_t Parent;
    ExplorerEvent Event;
  };
  ExplorerResult R;
  std::vector<Node> Nodes = {{0, {}}};
  std::vector<std::pair<std::size_t, Model>> Frontier = {{0, Model(Options)}};
  std::unordered_set<std::size_t> Seen;
  for (std::size_t Level = 0; Level < Depth; ++Level) {
    std::vector<std::pair<std::size_t, Model>> Next;
    for (const auto &[Index, M] : Frontier)
      for (const ExplorerEvent &E : M.enabled(true)) {
        Model Copy = M;
        Copy.apply(E, true);
        ++R.Events;
        if (!Copy.Violation.empty() && Copy.Gap) {
          ++R.Gaps[std::string(nameOf(*Copy.Gap))];
          continue;
        }
        if (Copy.Violation.empty() && !Seen.insert(Copy.hash()).second)
          continue;
        R.Takeovers += Copy.Takeovers != M.Takeovers;
        Nodes.push_back({Index, E});
        if (!Copy.Violation.empty()) {
          std::vector<ExplorerEvent> Path;
          for (std::size_t I = Nodes.size() - 1; I != 0; I = Nodes[I].Parent)
            Path.push_back(Nodes[I].Event);
          std::reverse(Path.begin(), Path.end());
          const ExplorerResult Found = replay(Options, Path, true);
          R.Violation = Copy.Violation;
          R.History = Found.History;
          return R;
        }
        Next.emplace_back(Nodes.size() - 1, std::move(Copy));
      }
    Frontier = std::move(Next);
  }
  return R;
}

ExplorerResult exploreRandomly(const ExplorerOptions &Options,
                               std::uint64_t Seed, std::size_t Length) {
  Random Rng(Seed);
  ExplorerResult R;
  Model M(Options);
  std::vector<ExplorerEvent> Path;
  for (std::size_t I = 0; I < Length && M.Violation.empty(); ++I) {
    const std::vector<ExplorerEvent> Events = M.enabled(false);
    // Most events are steps, so that takeovers come to their end.
    const bool Step = Rng.below(3) != 0;
    std::vector<ExplorerEvent> Some;
    for (const ExplorerEvent &E : Events)
      if (Step == (E.Kind == Kind::Step || E.Kind == Kind::Plan ||
                   E.Kind == Kind::Effect))
        Some.push_back(E);
    if (Some.empty())
      continue;
    Path.push_back(Some[Rng.below(Some.size())]);
    M.apply(Path.back(), false);
    ++R.Events;
  }
  R.Takeovers = M.Takeovers;
  if (M.Gap)
    ++R.Gaps[std::string(nameOf(*M.Gap))];
  if (M.Violation.empty() || M.Gap)
    return R;
  // Leaves out each event without which a violation remains.
  for (std::size_t I = Path.size(); I-- != 0;) {
    std::vector<ExplorerEvent> Shorter = Path;
    Shorter.erase(Shorter.begin() + static_cast<std::ptrdiff_t>(I));
    if (!replay(Options, Shorter, false).Violation.empty())
      Path = Shorter;
  }
  const ExplorerResult Found = replay(Options, Path, false);
  R.Violation = Found.Violation;
  R.History = Found.History;
  return R;
}

} // namespace testing
} // namespace amaranthspur
