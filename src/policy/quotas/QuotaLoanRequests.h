// The order of the requests for loans between allocators.
#ifndef AMARANTHSPUR_POLICY_QUOTAS_QUOTALOANREQUESTS_H
#define AMARANTHSPUR_POLICY_QUOTAS_QUOTALOANREQUESTS_H

#include "policy/quotas/QuotaAmount.h"

#include <map>
#include <set>

namespace amaranthspur {

/// The borrower's part: numbers the requests to each lender, of which one is
/// under way at a time.
class QuotaLoanNumbers {
public:
  bool isUnderWay(const DataCentre &Lender) const {
    return this->UnderWay.count(Lender) > 0;
  }
  /// Starts a request. \returns its number, which is never used again in this
  /// run of the process.
  std::uint64_t begin(const DataCentre &Lender) {
    this->UnderWay.insert(Lender);
    return ++this->Last[Lender];
  }
  /// Ends the request under way; returns whether there was one.
  bool end(const DataCentre &Lender) {
    return this->UnderWay.erase(Lender) > 0;
  }
  /// Ends all requests. The numbers go on.
  void endAll() { this->UnderWay.clear(); }

private:
  std::map<DataCentre, std::uint64_t> Last;
  std::set<DataCentre> UnderWay;
};

/// The lender's part: rejects requests that arrive again or out of order.
class QuotaLoanOrder {
public:
  /// Returns whether \p Asked is newer than all requests of its borrower.
  bool accept(const QuotaLoanRequest &Asked, TimePoint Now) {
    Borrower &B = this->Borrowers[Asked.Borrower];
    if (Asked.Sequence <= B.Sequence)
      return false;
    B = {Asked.Sequence, Now};
    return true;
  }
  /// Forgets borrowers that have not asked for \p Age.
  void removeOlder(Duration Age, TimePoint Now) {
    std::erase_if(this->Borrowers, [Age, Now](const auto &Entry) {
      return Now - Entry.second.LastRequest > Age;
    });
  }
  void clear() { this->Borrowers.clear(); }

private:
  struct Borrower {
    std::uint64_t Sequence = 0;
    TimePoint LastRequest;
  };

  std::map<QuotaHolderId, Borrower> Borrowers;
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_POLICY_QUOTAS_QUOTALOANREQUESTS_H
