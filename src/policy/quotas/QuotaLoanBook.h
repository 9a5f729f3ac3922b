// The loans of one workspace between data centres, as one side counts them.
#ifndef AMARANTHSPUR_POLICY_QUOTAS_QUOTALOANBOOK_H
#define AMARANTHSPUR_POLICY_QUOTAS_QUOTALOANBOOK_H

#include "policy/quotas/QuotaAmount.h"

#include <algorithm>
#include <deque>

namespace amaranthspur {

/// Loans in the order in which they were recorded, and so of their ends.
/// \tparam Partner identifies the other side of a loan.
template <typename Partner> class QuotaLoanBook {
public:
  /// Records a loan.
  /// \param LeasableUntil until when leases of its tokens may be granted or
  /// renewed.
  /// \param CountedUntil until when operations may run from its tokens.
  void add(const Partner &With, double Tokens, TimePoint LeasableUntil,
           TimePoint CountedUntil) {
    this->Loans.push_back({With, Tokens, LeasableUntil, CountedUntil});
  }

  /// Returns the tokens of which leases may be granted.
  double leasable(TimePoint Now) const {
    double Sum = 0;
    for (const Loan &L : this->Loans)
      Sum += Now < L.LeasableUntil ? L.Tokens : 0;
    return Sum;
  }

  /// Returns the tokens from which operations may still run.
  double counted(TimePoint Now) const {
    double Sum = 0;
    for (const Loan &L : this->Loans)
      Sum += Now < L.CountedUntil ? L.Tokens : 0;
    return Sum;
  }

  /// Returns the same for the loans with one partner.
  double countedWith(const Partner &With, TimePoint Now) const {
    double Sum = 0;
    for (const Loan &L : this->Loans)
      Sum += L.With == With && Now < L.CountedUntil ? L.Tokens : 0;
    return Sum;
  }

  /// Lowers what is counted of the loans with \p With to \p Most, the oldest
  /// loans first.
  void lower(const Partner &With, double Most, TimePoint Now) {
    this->removeEnded(Now);
    double Excess = this->countedWith(With, Now) - Most;
    for (Loan &L : this->Loans) {
      if (Excess <= 0)
        return;
      if (L.With != With)
        continue;
      const double Part = std::min(L.Tokens, Excess);
      L.Tokens -= Part;
      Excess -= Part;
    }
  }

  /// Removes loans that count no more.
  void removeEnded(TimePoint Now) {
    std::erase_if(this->Loans, [Now](const Loan &L) {
      return Now >= L.CountedUntil || L.Tokens <= 0;
    });
  }

  bool isEmpty() const { return this->Loans.empty(); }

private:
  struct Loan {
    Partner With;
    double Tokens = 0;
    TimePoint LeasableUntil;
    TimePoint CountedUntil;
  };

  std::deque<Loan> Loans;
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_POLICY_QUOTAS_QUOTALOANBOOK_H
