// The allocator as a lender and as a borrower.
#include "policy/quotas/QuotaAllocator.h"

#include <algorithm>
#include <cmath>

namespace amaranthspur {

double QuotaAllocator::loanRate(const Account &A, TimePoint Now) {
  const std::chrono::duration<double> Passed = Now - A.LoanRateAt;
  return A.LoanRate * std::exp(-Passed.count());
}

QuotaAllocator::Need QuotaAllocator::needOf(const Account &A, TimePoint Now) {
  Need Out;
  for (const auto &[Id, C] : A.Holders) {
    if (Now - C.DemandAt >= DemandTime)
      continue;
    Out.Demand += C.Demand;
    Out.Waiting += C.Waiting;
  }
  return Out;
}

double QuotaAllocator::lackOf(const Account &A, TimePoint Now) const {
  const Need Wanted = needOf(A, Now);
  const double Whole =
      A.Share.RatePerSecond * static_cast<double>(this->DataCentres);
  const double Demand = std::min(Wanted.Demand, Whole);
  // The operations of a second differ by about the root of their number.
  const double Spread =
      Demand > A.Share.RatePerSecond ? 2 * std::sqrt(Demand) : 0;
  const double Tokens =
      Demand * BurstSeconds + Spread +
      std::max(0.0, Demand - A.Share.RatePerSecond) * LoanGapSeconds +
      std::min(Wanted.Waiting, 1 + Whole * WaitingSeconds);
  return Tokens - sumOf(A) - A.Pool.tokens(Now);
}

double QuotaAllocator::returnLoans(Account &A, const DataCentre &Lender,
                                   TimePoint Now) {
  const double All = A.Borrowed.counted(Now);
  const double Own = A.Borrowed.countedWith(Lender, Now);
  const double Used = sumOf(A) + A.Pool.tokens(Now) + A.Lent.counted(Now) +
                      A.Share.RatePerSecond * LoanRoomSeconds;
  const double Unused = All - std::max(0.0, Used - A.Share.Burst);
  if (Unused <= 0 || Own <= 0)
    return Own;
  const double Left = std::max(0.0, Own - Unused * Own / All);
  A.Borrowed.lower(Lender, Left, Now);
  return Left;
}

std::optional<QuotaLoanRequest>
QuotaAllocator::makeLoanRequest(const DataCentre &Lender,
                                const QuotaHolderId &Self, TimePoint Now) {
  const bool MayBorrow = this->Started && this->DataCentres > 1 &&
                         Now >= this->GrantsFreelyAt &&
                         !this->LoanNumbers.isUnderWay(Lender);
  if (!MayBorrow)
    return std::nullopt;
  QuotaLoanRequest Out{Self, 0, {}};
  for (auto It = this->Lacking.begin(); It != this->Lacking.end();) {
    const auto Found = this->Accounts.find(*It);
    if (Found == this->Accounts.end()) {
      It = this->Lacking.erase(It);
      continue;
    }
    Account &A = Found->second;
    removeExpired(A, Now);
    this->resizePool(A, A.Share, Now);
    const double Lack = this->lackOf(A, Now);
    if (Lack <= MinLoan) {
      It = this->Lacking.erase(It);
      continue;
    }
    const double Held = returnLoans(A, Lender, Now);
    this->resizePool(A, A.Share, Now);
    Out.Wishes.push_back(
        {*It, Lack / static_cast<double>(this->DataCentres - 1), Held});
    ++It;
  }
  if (Out.Wishes.empty())
    return std::nullopt;
  Out.Sequence = this->LoanNumbers.begin(Lender);
  return Out;
}

std::vector<QuotaLoan> QuotaAllocator::lend(const QuotaLoanRequest &Asked,
                                            const AccessPlan &Plan,
                                            TimePoint Now) {
  std::vector<QuotaLoan> Out;
  const bool MayLend = this->Started && this->DataCentres > 1 &&
                       !this->SpreadsAll && Now >= this->FormerLoansEndAt &&
                       Now - this->ConfirmedAt <= LendingTime;
  if (!MayLend)
    return Out;
  this->removeOldHolders(Now);
  const bool IsNew = this->LoanOrder.accept(Asked, Now);
  if (!IsNew)
    return Out;
  std::set<WorkspaceName> Wished;
  for (const QuotaLoanWish &Wish : Asked.Wishes) {
    const WorkspaceQuota *Quota = Plan.quotaOf(Wish.Workspace);
    const bool IsFirst = Wished.insert(Wish.Workspace).second;
    const bool IsValid =
        isQuotaNumber(Wish.Tokens) && (!Wish.Held || isQuotaNumber(*Wish.Held));
    if (!Quota || !IsFirst || !IsValid)
      continue;
    const QuotaAmount Share =
        dataCentreShare(*Quota, this->Tolerance, this->DataCentres);
    Account &A = this->accountOf(Wish.Workspace, Share, Now);
    A.Share = Share;
    removeExpired(A, Now);
    if (Wish.Held)
      A.Lent.lower(Asked.Borrower, *Wish.Held, Now);
    this->resizePool(A, Share, Now);
    const double Spare =
        A.Pool.tokens(Now) - needOf(A, Now).Demand * BurstSeconds;
    const double Room = LoanPart * Share.Burst - A.Lent.counted(Now);
    const double Most = std::min({Wish.Tokens, Spare, Room});
    if (Most <= 0 || A.Borrowed.leasable(Now) > 0)
      continue;
    const double Tokens = A.Pool.take(Most, Now);
    A.Lent.add(Asked.Borrower, Tokens, Now, Now + LoanCommitmentTime);
    this->resizePool(A, Share, Now);
    Out.push_back({Wish.Workspace, Tokens, LoanLength});
  }
  return Out;
}

std::vector<QuotaLoan>
QuotaAllocator::applyLoans(const DataCentre &Lender,
                           const std::vector<QuotaLoan> &Loans,
                           TimePoint SentAt, TimePoint Now) {
  std::vector<QuotaLoan> Out;
  const bool IsExpected = this->LoanNumbers.end(Lender);
  if (!IsExpected || !this->Started || Now < this->GrantsFreelyAt)
    return Out;
  for (const QuotaLoan &Loan : Loans) {
    const auto Found = this->Accounts.find(Loan.Workspace);
    const TimePoint End = SentAt + std::min(Loan.Length, Duration(LoanLength));
    if (Found == this->Accounts.end() || !isQuotaNumber(Loan.Tokens) ||
        Now >= End)
      continue;
    Account &A = Found->second;
    removeExpired(A, Now);
    A.Borrowed.add(Lender, Loan.Tokens, End,
                   End + LeaseLength + 2 * ExpiryMargin);
    A.LoanRate = loanRate(A, Now) + Loan.Tokens;
    A.LoanRateAt = Now;
    this->resizePool(A, A.Share, Now);
    A.Pool.add(Loan.Tokens, Now);
    Out.push_back(Loan);
  }
  return Out;
}

void QuotaAllocator::abandonLoanRequest(const DataCentre &Lender) {
  this->LoanNumbers.end(Lender);
}

} // namespace amaranthspur
