#include "policy/testing/TakeoverModel.h"

#include <algorithm>

namespace amaranthspur::testing::detail {
TakeoverModel::TakeoverModel(const ExplorerOptions &Options)
    : Options(&Options) {
  this->Servers.resize(Options.Servers);
  this->Vms.resize(Options.Vms);
  for (Server &S : this->Servers)
    S.Log = {{1, 0, 0}};
  this->Servers[0].Primary = true;
  this->Led[0] = FirstTerm;
  for (std::size_t V = 0; V < Options.Vms; ++V) {
    this->Vms[V].Believed = 0;
    this->Vms[V].Claim = TakeoverClaim(vmId(V));
    if (Options.PrimaryHidden)
      this->Cuts.insert({V, 0});
  }
  this->Rule = Options.MakeAcknowledgement();
  for (std::size_t S = 0; S < this->Servers.size(); ++S)
    this->hear(S);
  this->observeProof(FirstTerm, this->Events);
}

ServerReport TakeoverModel::report(const Server &S) const {
  ServerReport R;
  R.Role = S.Primary ? ServerRole::Primary : ServerRole::Replica;
  R.TermNumber = S.TermNumber;
  R.Received = {S.Log.empty() ? 0 : Term{S.Log.back().TermNumber},
                S.Log.size()};
  R.AdoptedTerm = S.Held;
  return R;
}

void TakeoverModel::observeRow(Vm &V) const {
  // The store's clock differs from that of the entry VMs.
  constexpr std::int64_t StoreAheadMs = 7000;
  V.Claim.observeClock(inMs(this->Now.time_since_epoch()) + StoreAheadMs,
                       this->Now, this->Now);
  const bool Own =
      this->RowWriter &&
      V.Claim.turnUntil(this->Now).Holder == vmId(*this->RowWriter) &&
      V.Process == this->RowProcess;
  V.Claim.observe(StoreVersion(this->RowVersion), this->Row, this->Now, Own);
}

void TakeoverModel::observeRow() {
  for (Vm &V : this->Vms)
    this->observeRow(V);
}

bool TakeoverModel::write(const Call &C) {
  if (C.Expected != this->RowVersion)
    return false;
  ++this->RowVersion;
  this->Row = C.Written;
  this->RowWriter = C.Vm;
  this->RowProcess = C.Process;
  this->observeRow();
  return true;
}

std::optional<std::size_t> TakeoverModel::registeredPrimary() const {
  // A registered server registers its change of role at once, so the entry VMs
  // know the primary of the latest term even if they cannot reach it.
  const Server &Latest = this->Servers[this->Leader];
  if (Latest.Gone || !Latest.Primary)
    return std::nullopt;
  if (this->isListed(this->Leader))
    return this->Leader;
  if (Latest.Predecessor && this->isListed(*Latest.Predecessor))
    return Latest.Predecessor;
  return std::nullopt;
}

void TakeoverModel::plan(std::size_t V) {
  Vm &M = this->Vms[V];
  M.Plan.clear();
  M.Inputs = 0;
  M.Given = Order{};
  M.Given.Vm = V;
  // The entry VM may know an earlier state of the registrations. That is a plan
  // that was made earlier, so this one need not lag.
  M.Believed = this->registeredPrimary();
  for (std::size_t S = 0; S < this->Servers.size(); ++S) {
    if (!this->isListed(S))
      continue;
    TakeoverServer T;
    T.Id = idOf(S);
    T.OldPrimary = M.Believed == S;
    T.Draining = this->Servers[S].Draining;
    // The entry VMs prefer different targets.
    T.DistanceFromHere = S % this->Vms.size() == V ? Distance::SameDataCentre
                                                   : Distance::OtherRegion;
    if (this->reaches(V, S))
      T.Report = this->report(this->Servers[S]);
    M.Given.OldReached =
        M.Given.OldReached || (T.OldPrimary && T.Report.has_value());
    M.Plan.push_back(T);
    mix(M.Inputs, S * 8 + 4UL * T.OldPrimary + 2UL * T.Draining +
                      (T.OldPrimary && T.Report));
  }
  M.Given.Old = M.Believed;
  if (reasonAgainstTakeover(M.Plan))
    return;
  mix(M.Inputs, nextTerm(M.Plan));
  M.Now = Doing::Claiming;
  M.Undoing = false;
  M.Begun = this->Now;
  M.Expected = M.Claim.version().number();
}

void TakeoverModel::undo(std::size_t V) {
  Vm &M = this->Vms[V];
  M.Stranded.clear();
  M.Inputs = 0;
  for (const std::size_t S : this->stranded(V)) {
    M.Stranded.push_back(idOf(S));
    mix(M.Inputs, S);
  }
  M.Now = Doing::Claiming;
  M.Undoing = true;
  M.Begun = this->Now;
  M.Expected = M.Claim.version().number();
}

void TakeoverModel::claim(std::size_t V, Kind How) {
  Vm &M = this->Vms[V];
  const ClaimRow Before = this->Row;
  const Call C = this->makeCall(V, 0);
  M.Now = Doing::Nothing;
  const bool Applied =
      How != Kind::LoseCall && How != Kind::GiveUp && this->write(C);
  if (How == Kind::Step && !Applied &&
      this->mayClaim(V, M.Undoing ? ClaimPurpose::Undo : ClaimPurpose::Order)) {
    // The entry VM tries again with the version that it has read now.
    M.Now = Doing::Claiming;
    M.Begun = this->Now;
    M.Expected = this->RowVersion;
  }
  if (!Applied || How == Kind::LoseAnswer)
    return;
  M.Fence = this->RowVersion;
  M.OrderBy = M.Begun + TakeoverClaim::OrderSpan;
  M.Outcome = ClaimOutcome{Before, false, false, 0, {}};
  M.Now = Doing::Acting;
  if (M.Undoing) {
    M.Action = TakeoverAction{};
    if (TakeoverClaim::mayUndo(M.Begun, this->Now)) {
      M.Action.Step = TakeoverStep::Resume;
      for (const ServerId &Id : M.Stranded)
        M.Pending.push_back(indexOf(Id));
    }
    return;
  }
  mix(M.Inputs, Before.Target ? indexOf(*Before.Target) : 99);
  M.Logic = this->Options->Make(M.Plan, Before.Target, M.Begun);
  this->decide(V);
}

void TakeoverModel::decide(std::size_t V) {
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

void TakeoverModel::call(std::size_t V, std::size_t S, Kind How) {
  Vm &M = this->Vms[V];
  std::erase(M.Pending, S);
  if (How == Kind::LoseCall || How == Kind::GiveUp || !this->reaches(V, S))
    return;
  this->change(this->makeCall(V, S));
  const Server &X = this->Servers[S];
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

void TakeoverModel::order(std::size_t V, Kind How) {
  Vm &M = this->Vms[V];
  // Time has passed since a call that is given up was sent.
  const bool Renews =
      How == Kind::GiveUp ? !M.WaitsForOrder : this->mustRenew(M);
  if (Renews) {
    const ClaimCheck Check = this->confirm(V, How);
    if (Check != ClaimCheck::Held) {
      mix(M.Inputs, 77 + static_cast<std::size_t>(Check));
      auto Logic = M.Logic->clone();
      Logic->recordClaim(Check);
      M.Logic = std::move(Logic);
      return;
    }
  }
  M.Claim.recordOrder(M.OrderBy + EffectTimeout, false);
  PromotionOutcome Outcome = PromotionOutcome::NotDone;
  M.Outcome.Ordered = true;
  if (How == Kind::GiveUp) {
    Outcome = PromotionOutcome::Unknown;
  } else if (How != Kind::LoseCall) {
    Outcome = this->takeOrder(this->makeCall(V, 0));
    if (How == Kind::LoseAnswer)
      Outcome = PromotionOutcome::Unknown;
  }
  M.OrderEnd = this->Now;
  M.Claim.recordOrder(M.OrderEnd + EffectTimeout,
                      Outcome != PromotionOutcome::Unknown);
  mix(M.Inputs, static_cast<std::size_t>(Outcome));
  auto Logic = M.Logic->clone();
  Logic->recordOrder(Outcome);
  M.Logic = std::move(Logic);
}

void TakeoverModel::step(std::size_t V, std::size_t S, Kind How, bool Coarse) {
  Vm &M = this->Vms[V];
  if (M.Now == Doing::Claiming) {
    this->claim(V, How);
    return;
  }
  const TakeoverStep Step = M.Action.Step;
  if (this->Now >= M.Action.SendBy && How != Kind::GiveUp)
    How = Kind::LoseCall;
  if (Step == TakeoverStep::End) {
    if (!M.Undoing && M.Action.End == TakeoverEnd::Promoted)
      this->checkStranded(V);
    if (How != Kind::LoseCall && How != Kind::GiveUp &&
        (M.Undoing || M.Action.End != TakeoverEnd::Open)) {
      const Call C = this->makeCall(V, S);
      this->write(C);
    }
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
      if (this->isListed(I)) {
        mix(M.Inputs, I);
        Listed.emplace_back().Id = idOf(I);
        Listed.back().Draining = this->Servers[I].Draining;
      }
    if (How == Kind::Step)
      Logic->recordServers(Listed);
    else
      Logic->recordServers(std::nullopt);
    mix(M.Inputs, How == Kind::Step);
    break;
  }
  case TakeoverStep::Confirm: {
    const ClaimCheck Check = this->confirm(V, How);
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

void TakeoverModel::checkStranded(std::size_t V) {
  // A server whose call was lost, or that could not be reached, is resumed
  // later, under another claim.
  const bool Undone = this->Used.count(Kind::LoseCall) == 0 &&
                      this->Used.count(Kind::HoldUp) == 0 &&
                      this->Used.count(Kind::Cut) == 0 &&
                      this->Used.count(Kind::Crash) == 0 &&
                      TakeoverClaim::mayUndo(this->Vms[V].Begun, this->Now);
  for (std::size_t S = 0; Undone && S < this->Servers.size(); ++S)
    if (!this->Servers[S].Gone && !this->Servers[S].Primary &&
        this->Servers[S].Held > this->LeaderTerm)
      this->violate(Invariant::Stranded,
                    "server " + idOf(S).str() + " holds term " +
                        std::to_string(this->Servers[S].Held));
}

void TakeoverModel::restart(std::size_t S) {
  Server &X = this->Servers[S];
  X.Held = 0;
  X.Primary = S == this->Leader;
  X.Deaf = false;
  ++X.Start;
  X.RestartedAt = this->Events;
  if (X.Primary)
    this->OldRestarted = this->Events;
}

void TakeoverModel::comeBack(std::size_t S) {
  Server New = this->Servers[S];
  New.Running = true;
  New.Registered = this->registersAtOnce();
  New.Predecessor = S;
  New.Draining = false;
  this->Servers.push_back(New);
  const std::size_t Index = this->Servers.size() - 1;
  Server &Old = this->Servers[S];
  Old.Gone = true;
  Old.Expiring = Old.Registered && !New.Registered;
  Old.Log.clear();
  if (this->Leader == S) {
    this->Leader = Index;
    this->Led[Index] = this->LeaderTerm;
  }
  this->restart(Index);
}

void TakeoverModel::takeEffect(Order &O) {
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
  this->LateEffect =
      this->LateEffect || this->Now - O.ArrivedAt > EffectTimeout;
  O.Late = O.Late || this->LateEffect;
  O.TookEffectAt = this->Events;
  this->Effects[this->LeaderTerm] = O;
  // The platform counts the terms that were led; a pause under a later term
  // stays.
  for (Server &S : this->Servers)
    if (S.Held <= this->LeaderTerm)
      S.Held = 0;
  const std::uint32_t Held = commitsIn(X.Log);
  const std::uint32_t Lost = this->Passed & ~this->Removed & ~Held;
  for (std::size_t C = 0; C < this->Commits; ++C)
    if ((this->Acknowledged & ~this->Removed & ~Held & (1U << C)) != 0)
      this->Written[C].RemovedBy = this->LeaderTerm;
  this->Removed |= ((1U << this->Commits) - 1) & ~Held & this->Acknowledged;
  if (Lost != 0)
    this->violate(Invariant::Lost,
                  "the promoted server " + idOf(O.Target).str() +
                      " lacks reported commits " + std::to_string(Lost),
                  Lost, O);
  if (!this->Violation.empty() && !this->Gap && (Held & this->Stray) != 0)
    this->Gap = TakeoverGap::StrayCommit;
}

void TakeoverModel::prove(std::size_t V, std::size_t S) {
  Proving &P = this->Vms[V].Proof;
  P = Proving{};
  P.Leader = S;
  P.Since = this->Events;
  P.TermNumber = this->Led[S];
  P.Missing = this->Counted & ~this->Removed & ~commitsIn(this->Servers[S].Log);
  P.Logic = this->Options->MakeProof(P.TermNumber);
}

void TakeoverModel::ask(std::size_t V, std::size_t S) {
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
    if (I != P.Leader && this->View[I].Listed)
      Others.push_back(idOf(I));
  if (Logic->state(Others) == ProofState::Proved && P.Missing != 0)
    this->violate(Invariant::Stale,
                  "server " + idOf(P.Leader).str() +
                      " is proved to lead and lacks acknowledged commits " +
                      std::to_string(P.Missing));
  P.Logic = std::move(Logic);
  if (P.Logic->state(Others) == ProofState::Proved)
    this->observeProof(P.TermNumber, P.Since);
  if (P.Logic->state(Others) == ProofState::Proved ||
      P.Logic->state(Others) == ProofState::Superseded)
    P = Proving{};
}

} // namespace amaranthspur::testing::detail
