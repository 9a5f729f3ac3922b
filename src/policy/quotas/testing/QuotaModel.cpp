#include "policy/quotas/testing/QuotaModel.h"

#include <algorithm>

namespace amaranthspur::testing {
namespace {

constexpr int Never = 1 << 30;

unsigned inMs(Duration D) { return static_cast<unsigned>(D.count() / 1000); }

} // namespace

AccessPlan modelPlan(const WorkspaceQuota &Quota) {
  AccessPlan Plan;
  Plan.HasWorkspaces = true;
  Plan.Workspaces[ModelWorkspace].Quota = Quota;
  return Plan;
}

QuotaModel::QuotaModel(std::uint64_t Seed, ModelSetting Given)
    : Rng(Seed), Setting(std::move(Given)),
      Quota(*this->Setting.Plan.Workspaces.at(ModelWorkspace).Quota) {
  for (std::size_t D = 0; D < this->Setting.DataCentres; ++D) {
    this->RelaysOf.emplace_back();
    this->addRelay(D, 0, false);
    this->Vms.emplace_back();
    for (std::size_t I = 0; I < this->Setting.VmsEach; ++I) {
      ModelVm Vm;
      Vm.Name = EntryVmId(std::to_string(D) + "-" + std::to_string(I));
      this->restart(Vm);
      this->Vms[D].push_back(std::move(Vm));
    }
  }
}

ModelResult QuotaModel::run(int LengthMs, double Allowed, const Demand &Set) {
  for (int Now = 0; Now < LengthMs; Now += TickMs) {
    Set(this->Vms, Now);
    for (std::size_t D = 0; D < this->Setting.DataCentres; ++D)
      this->step(D, Now);
    this->checkHeld(Now);
    while (!this->Window.empty() && this->Window.front() <= Now - 5000)
      this->Window.pop_front();
    this->Out.WorstExcess =
        std::max(this->Out.WorstExcess,
                 static_cast<double>(this->Window.size()) - Allowed);
  }
  return this->Out;
}

// --- Entry VMs and relays ----------------------------------------------------

bool QuotaModel::happens(unsigned Per100s) {
  return Per100s > 0 && this->Rng.below(100000 / TickMs) < Per100s;
}

bool QuotaModel::isLost() {
  return this->Rng.below(1000) < this->Setting.Faults.LossPerMille;
}

int QuotaModel::delay() {
  if (this->Rng.below(1000) < this->Setting.Faults.DelayPerMille)
    return static_cast<int>(this->Rng.below(4000));
  return 1 + static_cast<int>(this->Rng.below(9));
}

SkewedClock QuotaModel::randomClock() {
  return {0.99 + 0.02 * this->Rng.unit(),
          static_cast<std::int64_t>(1000000000 + this->Rng.below(1000000000))};
}

void QuotaModel::addRelay(std::size_t D, int Now, bool Follows) {
  Relays &Of = this->RelaysOf[D];
  auto New = std::make_unique<ModelRelay>(
      this->Setting.DataCentres, this->Setting.Tolerance,
      QuotaHolderId{EntryVmId("relay-" + std::to_string(D)), Of.size() + 1},
      this->randomClock());
  New->Allocator.start(Follows, New->Clock.at(Now));
  Of.push_back(std::move(New));
}

void QuotaModel::replaceRelay(std::size_t D, int Now, bool IsKnownEnd) {
  // The former relay may go on for as long as it has authority. Its loans need
  // a more recent confirmation.
  const unsigned GoesOnMs =
      IsKnownEnd ? 0 : this->Rng.below(inMs(QuotaAllocator::AuthorityTime));
  for (const auto &R : this->RelaysOf[D]) {
    R->EndMs = std::min(R->EndMs, Now + static_cast<int>(GoesOnMs));
    R->LendEndMs =
        std::min({R->EndMs, R->LendEndMs,
                  Now + static_cast<int>(inMs(QuotaAllocator::AuthorityTime -
                                              QuotaAllocator::LoanLength))});
  }
  this->addRelay(D, Now, true);
  ModelRelay &New = *this->RelaysOf[D].back();
  // An earlier relay than the former one may go on as well.
  const bool AllEnded =
      std::all_of(this->RelaysOf[D].begin(), this->RelaysOf[D].end() - 1,
                  [Now](const auto &R) { return R->EndMs <= Now; });
  if (IsKnownEnd && AllEnded)
    New.Allocator.observeFormerEnded(New.Clock.at(Now));
}

void QuotaModel::restart(ModelVm &Vm) {
  ++Vm.Start;
  Vm.Holder = std::make_unique<QuotaLeaseHolder>(
      QuotaHolderId{Vm.Name, Vm.Start}, this->Setting.Tolerance);
  Vm.Holder->setEntryVms(this->Setting.DataCentres * this->Setting.VmsEach);
  Vm.Clock = this->randomClock();
  Vm.Pending.reset();
  Vm.Waiting.clear();
  Vm.Holder->addSession(ModelWorkspace, Vm.Clock.at(0));
}

void QuotaModel::step(std::size_t D, int Now) {
  const ModelFaults &Faults = this->Setting.Faults;
  if (this->happens(Faults.TakeoversPer100s))
    this->replaceRelay(D, Now, false);
  if (this->happens(Faults.RelayRestartsPer100s))
    this->replaceRelay(D, Now, true);
  Relays &Of = this->RelaysOf[D];
  if (this->Setting.HasLoans)
    for (const auto &R : Of)
      if (Now < R->EndMs)
        this->exchangeLoans(D, *R, Now);
  for (ModelVm &Vm : this->Vms[D]) {
    if (this->happens(Faults.RestartsPer100s))
      this->restart(Vm);
    if (Vm.Follows + 1 < Of.size() && this->Rng.below(50) == 0)
      Vm.Follows = Of.size() - 1;
    this->exchange(D, Vm, Now);
    this->attempt(Vm, Now);
  }
}

double QuotaModel::heldIn(std::size_t D, int Now) {
  double Sum = 0;
  for (ModelVm &Vm : this->Vms[D]) {
    Vm.Holder->endExpired(Vm.Clock.at(Now));
    for (const QuotaUse &Use : Vm.Holder->uses(Vm.Clock.at(Now)))
      Sum += Use.Tokens;
  }
  for (const auto &R : this->RelaysOf[D])
    if (Now < R->EndMs)
      Sum += R->Allocator.pooled(ModelWorkspace, R->Clock.at(Now));
  return Sum;
}

void QuotaModel::checkHeld(int Now) {
  const std::size_t Parts =
      this->Setting.HasLoans ? 1 : this->Setting.DataCentres;
  const QuotaAmount Share =
      dataCentreShare(this->Quota, this->Setting.Tolerance, Parts);
  if (Share.Burst <= 0)
    return;
  double All = 0;
  double Most = 0;
  for (std::size_t D = 0; D < this->Setting.DataCentres; ++D) {
    const double Held = this->heldIn(D, Now);
    All += Held;
    Most = std::max(Most, Held);
  }
  const double Held = this->Setting.HasLoans ? All : Most;
  this->Out.WorstHeld = std::max(this->Out.WorstHeld, Held / Share.Burst);
}

// --- Leases ------------------------------------------------------------------

void QuotaModel::makeFalse(QuotaRequest &Asked) {
  const bool IsFalse =
      this->Rng.below(1000) < this->Setting.Faults.FalseReportsPerMille;
  if (!IsFalse)
    return;
  for (QuotaReport &R : Asked.Reports) {
    R.Demand = this->Quota.RatePerSecond * 2 * this->Rng.unit();
    R.Waiting += 3;
  }
}

void QuotaModel::exchange(std::size_t D, ModelVm &Vm, int Now) {
  if (!Vm.Pending && Now >= Vm.NextAskMs) {
    ModelLease E;
    E.Asked = Vm.Holder->makeRequest(Vm.Clock.at(Now));
    // Demand everywhere would leave nothing to lend.
    if (D == 0)
      this->makeFalse(E.Asked);
    E.To = Vm.Follows;
    E.SentMs = Now;
    E.RequestMs = Now + this->delay();
    Vm.Pending = std::move(E);
    Vm.NextAskMs = Now + 400;
    Vm.LastAskMs = Now;
  }
  if (!Vm.Pending)
    return;
  ModelLease &E = *Vm.Pending;
  ModelRelay &R = *this->RelaysOf[D][E.To];
  if (!E.Handled && Now >= E.RequestMs) {
    E.Handled = true;
    const bool Lost = this->isLost();
    E.ReplyMs = Never;
    if (!Lost && Now < R.EndMs) {
      R.Allocator.confirm(R.Clock.at(Now));
      E.Granted =
          R.Allocator.lease(E.Asked, this->Setting.Plan, R.Clock.at(Now));
      const bool ReplyLost = this->isLost();
      if (!ReplyLost)
        E.ReplyMs = Now + this->delay();
    }
  }
  if (E.Handled && Now >= E.ReplyMs) {
    Vm.Holder->applyLeases(E.Granted, Vm.Clock.at(E.SentMs), Vm.Clock.at(Now));
    Vm.Pending.reset();
    return;
  }
  // With delays, a request is kept for longer, so that late replies count.
  const bool IsGivenUp =
      Now - E.SentMs >= 500 &&
      (this->Setting.Faults.DelayPerMille == 0 || this->Rng.below(100) < 3);
  if (!IsGivenUp)
    return;
  Vm.Holder->abandonRequest(Vm.Clock.at(Now));
  Vm.Pending.reset();
}

// --- Loans -------------------------------------------------------------------

bool QuotaModel::isCut(std::size_t A, std::size_t B, int Now) const {
  const auto Found = this->CutUntilMs.find(std::minmax(A, B));
  return Found != this->CutUntilMs.end() && Now < Found->second;
}

void QuotaModel::exchangeLoans(std::size_t D, ModelRelay &Borrower, int Now) {
  for (std::size_t Lender = 0; Lender < this->Setting.DataCentres; ++Lender) {
    if (Lender == D)
      continue;
    if (this->happens(this->Setting.Faults.PartitionsPer100s))
      this->CutUntilMs[std::minmax(D, Lender)] = Now + 3000;
    this->exchangeLoan(D, Borrower, Lender, Now);
  }
}

void QuotaModel::exchangeLoan(std::size_t D, ModelRelay &Borrower,
                              std::size_t Lender, int Now) {
  const DataCentre Name(std::to_string(Lender));
  int &NextMs = Borrower.NextLoanMs[Lender];
  if (Now >= NextMs && Borrower.Loans.count(Lender) == 0) {
    // The interval at which the relays exchange while tokens are wanted.
    NextMs = Now + 150;
    std::optional<QuotaLoanRequest> Asked = Borrower.Allocator.makeLoanRequest(
        Name, Borrower.Id, Borrower.Clock.at(Now));
    if (!Asked)
      return;
    ModelLoan E;
    E.Asked = std::move(*Asked);
    E.To = this->RelaysOf[Lender].size() - 1;
    E.SentMs = Now;
    E.RequestMs = Now + this->delay();
    Borrower.Loans.emplace(Lender, std::move(E));
  }
  const auto Found = Borrower.Loans.find(Lender);
  if (Found == Borrower.Loans.end())
    return;
  ModelLoan &E = Found->second;
  ModelRelay &R = *this->RelaysOf[Lender][E.To];
  if (!E.Handled && Now >= E.RequestMs) {
    E.Handled = true;
    const bool Lost = this->isLost() || this->isCut(D, Lender, Now);
    E.ReplyMs = Never;
    if (!Lost && Now < R.LendEndMs) {
      R.Allocator.confirm(R.Clock.at(Now));
      E.Granted =
          R.Allocator.lend(E.Asked, this->Setting.Plan, R.Clock.at(Now));
      const bool ReplyLost = this->isLost() || this->isCut(D, Lender, Now);
      if (!ReplyLost)
        E.ReplyMs = Now + this->delay();
    }
  }
  if (E.Handled && Now >= E.ReplyMs) {
    for (const QuotaLoan &L : Borrower.Allocator.applyLoans(
             Name, E.Granted, Borrower.Clock.at(E.SentMs),
             Borrower.Clock.at(Now)))
      this->Out.Borrowed += L.Tokens;
    Borrower.Loans.erase(Found);
    return;
  }
  const bool IsGivenUp =
      Now - E.SentMs >= 500 &&
      (this->Setting.Faults.DelayPerMille == 0 || this->Rng.below(100) < 3);
  if (!IsGivenUp)
    return;
  Borrower.Allocator.abandonLoanRequest(Name);
  Borrower.Loans.erase(Found);
}

// --- Operations --------------------------------------------------------------

bool QuotaModel::isCounted(int Now) const {
  return Now >= this->CountFromMs && Now < this->CountUntilMs;
}

void QuotaModel::attempt(ModelVm &Vm, int Now) {
  double Expected = Vm.Rate * TickMs / 1000;
  while (Expected > 0) {
    const bool Happens = this->Rng.unit() < Expected;
    Expected -= 1;
    if (!Happens)
      continue;
    this->Out.Attempts += this->isCounted(Now) ? 1 : 0;
    this->decide(Vm, Now, true, Now + WaitMs);
  }
  // Those that wait are decided again until the end of the wait.
  std::deque<int> Waiting = std::move(Vm.Waiting);
  Vm.Waiting.clear();
  for (const int End : Waiting)
    this->decide(Vm, Now, false, End);
}

void QuotaModel::decide(ModelVm &Vm, int Now, bool IsFirst, int EndMs) {
  const QuotaDecision D =
      Vm.Holder->admit(ModelWorkspace, this->Quota, IsFirst, Vm.Clock.at(Now));
  if (D.Verdict == QuotaVerdict::Admitted) {
    this->Window.push_back(Now);
  } else if (D.Verdict == QuotaVerdict::LeaseWanted && Now < EndMs) {
    Vm.Waiting.push_back(EndMs);
    Vm.NextAskMs = std::min(Vm.NextAskMs, std::max(Now, Vm.LastAskMs + 40));
  } else {
    this->Out.Refused += this->isCounted(Now) ? 1 : 0;
  }
}

} // namespace amaranthspur::testing
