#include "policy/quotas/QuotaAllocator.h"

#include <algorithm>
#include <utility>

namespace amaranthspur {
namespace {

/// Longest time to fill a bucket that is waited for.
constexpr double MaxFillSeconds = 3600;

bool isPlausible(const QuotaReport &R) {
  return isQuotaNumber(R.Demand) && isQuotaNumber(R.Held.RatePerSecond) &&
         isQuotaNumber(R.Held.Burst) && isQuotaNumber(R.Tokens) &&
         isQuotaNumber(R.Returned);
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
  this->ConfirmedAt = Now;
  this->FollowsAnother = FollowsAnother;
  this->GrantsFreelyAt = FollowsAnother ? Now + TakeoverTime : Now;
  this->FormerLoansEndAt = this->GrantsFreelyAt;
}

void QuotaAllocator::observeFormerEnded(TimePoint Now) {
  this->GrantsFreelyAt =
      std::min(this->GrantsFreelyAt, Now + LeaseLength + 2 * ExpiryMargin);
  this->FormerLoansEndAt =
      std::min(this->FormerLoansEndAt, Now + LoanCommitmentTime);
}

void QuotaAllocator::confirm(TimePoint AsOf) {
  this->ConfirmedAt = std::max(this->ConfirmedAt, AsOf);
}

void QuotaAllocator::stop() {
  this->Started = false;
  this->SpreadsAll = false;
  this->Accounts.clear();
  this->Holders.clear();
  this->Lacking.clear();
  this->LoanNumbers.endAll();
  this->LoanOrder.clear();
}

double QuotaAllocator::sumOf(const Account &A) {
  double Sum = 0;
  for (const auto &[Id, C] : A.Holders)
    Sum += C.Tokens;
  return Sum;
}

double QuotaAllocator::committed(const WorkspaceName &Workspace,
                                 TimePoint Now) const {
  const auto Found = this->Accounts.find(Workspace);
  if (Found == this->Accounts.end())
    return 0;
  Account Current = Found->second;
  this->removeExpired(Current, Now);
  return sumOf(Current);
}

double QuotaAllocator::allowance(const Account &A, const QuotaAmount &Share,
                                 TimePoint Now) {
  return std::max(0.0,
                  Share.Burst + A.Borrowed.leasable(Now) - A.Lent.counted(Now));
}

double QuotaAllocator::pooled(const WorkspaceName &Workspace,
                              TimePoint Now) const {
  const auto Found = this->Accounts.find(Workspace);
  if (Found == this->Accounts.end())
    return 0;
  Account Current = Found->second;
  this->removeExpired(Current, Now);
  this->resizePool(Current, Current.Share, Now);
  return Current.Pool.tokens(Now);
}

void QuotaAllocator::removeExpired(Account &A, TimePoint Now) {
  std::erase_if(A.Holders,
                [Now](const auto &Entry) { return Now >= Entry.second.End; });
  A.Lent.removeEnded(Now);
  A.Borrowed.removeEnded(Now);
}

void QuotaAllocator::resizePool(Account &A, const QuotaAmount &Share,
                                TimePoint Now) const {
  if (Now < this->GrantsFreelyAt) {
    A.Pool.resize({}, Now);
    return;
  }
  double Most = allowance(A, Share, Now);
  const bool MayBeLent = this->DataCentres > 1 && Now < this->FormerLoansEndAt;
  if (MayBeLent)
    Most -= LoanPart * Share.Burst;
  A.Pool.resize({Share.RatePerSecond, std::max(0.0, Most - sumOf(A))}, Now);
}

QuotaAmount QuotaAllocator::usableShare(const Account &A, TimePoint Now) const {
  const double Whole =
      A.Share.RatePerSecond * static_cast<double>(this->DataCentres);
  const double Rate = A.Share.RatePerSecond + LoanRateLead * loanRate(A, Now);
  return {std::min(Whole, Rate), allowance(A, A.Share, Now)};
}

double QuotaAllocator::missingTokens(const Account &A,
                                     const QuotaHolderId &Self,
                                     const QuotaReport &Report,
                                     const QuotaAmount &Share,
                                     TimePoint SinceLast, TimePoint Now) const {
  std::vector<double> Demands;
  std::size_t Own = 0;
  std::size_t Active = 0;
  double All = 0;
  for (const auto &[Id, C] : A.Holders) {
    const bool Counts = Id == Self || Now - C.DemandAt < DemandTime;
    if (Id == Self)
      Own = Demands.size();
    Demands.push_back(Counts ? C.Demand : 0);
    Active += Demands.back() > ActiveDemand ? 1 : 0;
    All += Demands.back();
  }
  const double Fair = maxMinPart(Share.RatePerSecond, Demands, Own);
  const double Seconds = this->SpreadsAll ? HandoverSeconds : BurstSeconds;
  // What all holders keep together leaves a part of the burst in the pool.
  const double AllKept = std::min(All, Share.RatePerSecond) * Seconds;
  const double MostKept = Share.Burst * (1 - SparePart);
  double Kept = Fair * Seconds * (AllKept > MostKept ? MostKept / AllKept : 1);
  if (Kept < 1) {
    const bool IsPlenty =
        Report.Demand > ActiveDemand &&
        Share.Burst * SparePart >= (1 + Kept) * static_cast<double>(Active);
    Kept = IsPlenty ? 1 + Kept : 0;
  }
  const double Served =
      std::min<double>(Report.Waiting, 1 + Fair * WaitingSeconds);
  const double Missing = Served + Kept - Report.Tokens;
  if (Missing <= 0 || All <= Share.RatePerSecond || Active <= 1)
    return Missing;
  // Not all demand can be met. Without a limit, the holder that asks first
  // after the pool has filled would get everything.
  const std::chrono::duration<double> Passed = Now - SinceLast;
  const double Part = Fair * std::min(Passed.count(), BurstSeconds);
  return std::min(Missing, std::max<double>(Part, Report.Waiting > 0 ? 1 : 0));
}

QuotaAllocator::Account &
QuotaAllocator::accountOf(const WorkspaceName &Workspace,
                          const QuotaAmount &Share, TimePoint Now) {
  const auto [Found, IsNew] = this->Accounts.try_emplace(Workspace);
  if (!IsNew || Share.RatePerSecond <= 0)
    return Found->second;
  const Duration FillTime =
      std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
          std::min(Share.Burst / Share.RatePerSecond, MaxFillSeconds)));
  // Nothing has been used since the former allocator's last lease ended.
  const bool IsFull =
      !this->FollowsAnother || Now - this->GrantsFreelyAt >= FillTime;
  if (IsFull) {
    Found->second.Pool.resize(Share, Now);
    Found->second.Pool.add(Share.Burst, Now);
  }
  return Found->second;
}

QuotaLease QuotaAllocator::leaseOne(const QuotaHolderId &Holder,
                                    const QuotaReport &Report,
                                    const QuotaAmount &Share, TimePoint Now) {
  Account &A = this->accountOf(Report.Workspace, Share, Now);
  this->removeExpired(A, Now);
  Commitment &Own = A.Holders[Holder];
  A.Share = Share;
  // The report replaces what was committed before.
  Own.Tokens = Report.Tokens;
  Own.Demand = Report.Demand;
  const TimePoint SinceLast = std::exchange(Own.DemandAt, Now);
  Own.End = Now + CommitmentTime;
  this->resizePool(A, Share, Now);
  A.Pool.add(Report.Returned, Now);
  const double Missing = this->missingTokens(
      A, Holder, Report, this->usableShare(A, Now), SinceLast, Now);
  const double Granted = A.Pool.take(std::max(0.0, Missing), Now);
  const double Others = sumOf(A) - Own.Tokens;
  Own.Tokens += Granted;
  Own.Waiting = std::max(0.0, Report.Waiting - Own.Tokens);
  this->resizePool(A, Share, Now);
  if (this->lackOf(A, Now) > MinLoan)
    this->Lacking.insert(Report.Workspace);
  else
    this->Lacking.erase(Report.Workspace);
  // A holder gives up what it does not need and reports it as returned. A token
  // that an idle entry VM kept would be missing elsewhere: the burst of a small
  // quota is only a few tokens.
  const double Surplus = std::max(0.0, -Missing);
  // Tokens of loans that have expired are not renewed.
  const double Renewable = std::max(0.0, allowance(A, Share, Now) - Others);
  const double Kept = std::min(Own.Tokens - Surplus, Renewable);
  return {Report.Workspace, {0, Kept}, Granted, LeaseLength};
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
    const WorkspaceQuota *Quota = Plan.quotaOf(R.Workspace);
    const bool IsFirst = Reported.insert(R.Workspace).second;
    if (!Quota || !IsFirst || !isPlausible(R))
      continue;
    const QuotaAmount Share =
        dataCentreShare(*Quota, this->Tolerance, this->DataCentres);
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
  this->LoanOrder.removeOlder(2 * CommitmentTime, Now);
  // An account without holders is forgotten when its pool is full, as that of a
  // new account is.
  for (auto It = this->Accounts.begin(); It != this->Accounts.end();) {
    Account &A = It->second;
    removeExpired(A, Now);
    this->resizePool(A, A.Share, Now);
    const bool IsUnused = A.Holders.empty() && A.Lent.isEmpty() &&
                          A.Borrowed.isEmpty() &&
                          Now >= this->FormerLoansEndAt &&
                          A.Pool.tokens(Now) >= A.Pool.capacity().Burst;
    It = IsUnused ? this->Accounts.erase(It) : std::next(It);
  }
}

} // namespace amaranthspur
