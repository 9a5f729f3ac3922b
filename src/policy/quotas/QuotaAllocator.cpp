#include "policy/quotas/QuotaAllocator.h"

#include <algorithm>
#include <cmath>

namespace amaranthspur {
namespace {

bool isPlausible(double Number) {
  // Also false for a value that is not a number.
  return Number >= 0 && Number <= QuotaAllocator::MaxAmount;
}

bool isPlausible(const QuotaReport &R) {
  return isPlausible(R.Demand) && isPlausible(R.Held.RatePerSecond) &&
         isPlausible(R.Held.Burst) && isPlausible(R.Tokens) &&
         isPlausible(R.Returned);
}

/// Returns the factor that scales \p Sum to at most \p Limit.
double scaleTo(double Limit, double Sum) {
  return Sum > Limit ? Limit / Sum : 1;
}

} // namespace

double maxMinPart(double Total, const std::vector<double> &Demands,
                  std::size_t Index) {
  std::vector<double> Sorted = Demands;
  std::sort(Sorted.begin(), Sorted.end());
  double Left = std::max(0.0, Total);
  std::size_t Waiting = Sorted.size();
  for (const double Demand : Sorted) {
    const double Equal = Left / static_cast<double>(Waiting);
    if (Demand > Equal)
      return std::min(Demands[Index], Equal);
    if (Demand >= Demands[Index])
      return Demands[Index];
    Left -= Demand;
    --Waiting;
  }
  return Demands[Index];
}

void QuotaAllocator::start(bool FollowsAnother, TimePoint Now) {
  this->stop();
  this->Started = true;
  this->IsFirst = !FollowsAnother;
  this->ConfirmedAt = Now;
  this->GrantsFreelyAt = FollowsAnother ? Now + TakeoverTime : Now;
}

void QuotaAllocator::confirm(TimePoint AsOf) {
  this->ConfirmedAt = std::max(this->ConfirmedAt, AsOf);
}

void QuotaAllocator::stop() {
  this->Started = false;
  this->SpreadsAll = false;
  this->Accounts.clear();
  this->Holders.clear();
  this->Known.clear();
}

QuotaAmount QuotaAllocator::sumOf(const Account &A) {
  QuotaAmount Sum;
  for (const auto &[Id, C] : A.Holders) {
    Sum.RatePerSecond += C.Amount.RatePerSecond;
    Sum.Burst += C.Amount.Burst;
  }
  return Sum;
}

QuotaAmount QuotaAllocator::committed(const WorkspaceName &Workspace,
                                      TimePoint Now) const {
  const auto Found = this->Accounts.find(Workspace);
  if (Found == this->Accounts.end())
    return {};
  Account Current = Found->second;
  this->removeExpired(Current, Now);
  return sumOf(Current);
}

void QuotaAllocator::removeExpired(Account &A, TimePoint Now) {
  std::erase_if(A.Holders,
                [Now](const auto &Entry) { return Now >= Entry.second.End; });
}

void QuotaAllocator::resizePool(Account &A, const QuotaAmount &Share,
                                TimePoint Now) const {
  if (Now < this->GrantsFreelyAt) {
    A.Pool.resize({}, Now);
    return;
  }
  const QuotaAmount Sum = sumOf(A);
  A.Pool.resize({std::max(0.0, Share.RatePerSecond - Sum.RatePerSecond),
                 std::max(0.0, Share.Burst - Sum.Burst)},
                Now);
}

QuotaAmount QuotaAllocator::target(const Account &A, const QuotaHolderId &Self,
                                   const QuotaAmount &Share,
                                   TimePoint Now) const {
  std::vector<double> Rates;
  std::vector<double> Bursts;
  std::size_t Own = 0;
  double Demands = 0;
  for (const auto &[Id, C] : A.Holders) {
    const bool Counts = Id == Self || Now - C.DemandAt < DemandTime;
    const double Demand = Counts ? C.Demand : 0;
    if (Id == Self)
      Own = Rates.size();
    Demands += Demand;
    Rates.push_back(Demand);
    Bursts.push_back(Demand > ActiveDemand ? 1 + Demand * BurstSeconds : 0);
  }
  // A bucket that is full would waste what it is leased, so less than the
  // demand is leased unless there is demand for everything. The pool adds what
  // is missing with each reply.
  const double Wanted = Demands / Share.RatePerSecond;
  double Part = LeasedPart;
  if (Demands > 0 && this->SpreadsAll)
    Part = std::max(1.0, 1 / Wanted);
  else if (Demands > 0)
    Part = std::clamp(Wanted, LeasedPart, 1.0);
  QuotaAmount Out{Part * maxMinPart(Share.RatePerSecond, Rates, Own),
                  maxMinPart(Share.Burst, Bursts, Own)};
  double Used = 0;
  for (std::size_t I = 0; I < Bursts.size(); ++I)
    Used += maxMinPart(Share.Burst, Bursts, I);
  // A burst of less than one operation is of no use to anyone. It stays in the
  // pool, where whoever needs it first gets it.
  const double Unused = std::max(0.0, Share.Burst - Used);
  const double Spare = Unused * SparePart / static_cast<double>(Bursts.size());
  if (Demands > 0 && this->SpreadsAll)
    Out.Burst += Unused * Rates[Own] / Demands;
  else if (Spare >= 1)
    Out.Burst += Spare;
  return Out;
}

QuotaLease QuotaAllocator::leaseOne(const QuotaHolderId &Holder,
                                    const QuotaReport &Report,
                                    const QuotaAmount &Share, TimePoint Now) {
  Account &A = this->Accounts[Report.Workspace];
  this->removeExpired(A, Now);
  Commitment &Own = A.Holders[Holder];
  // The report replaces what was committed before.
  Own.Amount = Report.Held;
  Own.Demand = Report.Demand;
  Own.DemandAt = Now;
  Own.End = Now + CommitmentTime;
  const QuotaAmount Sum = sumOf(A);
  this->resizePool(A, Share, Now);
  A.Pool.add(Report.Returned, Now);
  // An account that was forgotten and returns starts empty.
  const bool IsUnused =
      this->IsFirst && this->Known.insert(Report.Workspace).second;
  if (IsUnused)
    A.Pool.add(A.Pool.capacity().Burst, Now);

  // What is held may be renewed, unless the limit has been lowered.
  const QuotaAmount Kept{Report.Held.RatePerSecond *
                             scaleTo(Share.RatePerSecond, Sum.RatePerSecond),
                         Report.Held.Burst * scaleTo(Share.Burst, Sum.Burst)};
  const QuotaAmount Free = A.Pool.capacity();
  const QuotaAmount Most{Kept.RatePerSecond + Free.RatePerSecond,
                         Kept.Burst + Free.Burst};
  // Until leases are granted freely, nobody else could get what is not renewed.
  QuotaAmount Granted = Now < this->GrantsFreelyAt
                            ? Kept
                            : smallerOf(target(A, Holder, Share, Now), Most);
  if (Granted.Burst < 1 && Report.Demand > ActiveDemand && Most.Burst >= 1)
    Granted.Burst = 1;
  if (Granted.Burst < 1)
    Granted = {};

  const double Room = std::max(0.0, Granted.Burst - Report.Tokens);
  // Tokens beyond the need of the next moments stay where any holder can get
  // them.
  const double Needed = 1 + Report.Demand * BurstSeconds - Report.Tokens;
  const double Wanted = Report.Demand > ActiveDemand
                            ? std::max(0.0, Needed)
                            : A.Pool.tokens(Now) * IdleTokenPart;
  QuotaLease Out{Report.Workspace, Granted,
                 A.Pool.take(std::min(Room, Wanted), Now), LeaseLength};
  Own.Amount = largerOf(Report.Held, Granted);
  this->resizePool(A, Share, Now);
  return Out;
}

std::vector<QuotaLease> QuotaAllocator::lease(const QuotaRequest &Asked,
                                              const AccessPlan &Plan,
                                              TimePoint Now) {
  std::vector<QuotaLease> Out;
  if (!this->Started || Now - this->ConfirmedAt > ConfirmationTime)
    return Out;
  this->removeOldHolders(Now);
  HolderState &H = this->Holders[Asked.Holder];
  if (Asked.Sequence <= H.Sequence)
    return Out;
  H.Sequence = Asked.Sequence;
  H.LastRequest = Now;
  std::set<WorkspaceName> Reported;
  for (const QuotaReport &R : Asked.Reports) {
    const auto Found = Plan.Workspaces.find(R.Workspace);
    const bool HasQuota =
        Found != Plan.Workspaces.end() && Found->second.Quota.has_value();
    const bool IsFirst = Reported.insert(R.Workspace).second;
    if (!HasQuota || !IsFirst || !isPlausible(R))
      continue;
    const QuotaAmount Share = dataCentreShare(
        *Found->second.Quota, this->Tolerance, this->DataCentres);
    Out.push_back(this->leaseOne(Asked.Holder, R, Share, Now));
  }
  // What is not listed is not held any more.
  for (const WorkspaceName &Former : H.Workspaces) {
    const auto Found = this->Accounts.find(Former);
    if (Reported.count(Former) > 0 || Found == this->Accounts.end())
      continue;
    Found->second.Holders.erase(Asked.Holder);
  }
  H.Workspaces = std::move(Reported);
  return Out;
}

void QuotaAllocator::removeOldHolders(TimePoint Now) {
  if (Now - this->CleanedAt < CleanInterval)
    return;
  this->CleanedAt = Now;
  std::erase_if(this->Holders, [Now](const auto &Entry) {
    return Now - Entry.second.LastRequest > 2 * CommitmentTime;
  });
  // An account without holders is forgotten with its pool, which starts empty
  // when the workspace is reported again.
  std::erase_if(this->Accounts, [Now](const auto &Entry) {
    const auto &Of = Entry.second.Holders;
    return std::all_of(Of.begin(), Of.end(), [Now](const auto &Held) {
      return Now >= Held.second.End;
    });
  });
}

} // namespace amaranthspur
