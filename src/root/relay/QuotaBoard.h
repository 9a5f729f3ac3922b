// The interface through which the relay carries the quotas of workspaces.
#ifndef AMARANTHSPUR_ROOT_RELAY_QUOTABOARD_H
#define AMARANTHSPUR_ROOT_RELAY_QUOTABOARD_H

#include "policy/quotas/QuotaAmount.h"

#include <optional>
#include <vector>

namespace amaranthspur {

/// The quotas of this entry VM; read and written by the relay. Times are of the
/// boot clock.
class QuotaBoard {
public:
  virtual ~QuotaBoard() = default;

  /// Returns what to ask the relay for, or nothing if nothing is held or
  /// wanted. applyLeases() or abandonRequest() follows.
  virtual std::optional<QuotaRequest> makeRequest() = 0;
  virtual void applyLeases(const std::vector<QuotaLease> &Leases,
                           TimePoint SentAt) = 0;
  virtual void abandonRequest() = 0;
  /// Records the number of entry VMs of the deployment.
  virtual void shareAmong(std::size_t EntryVms) = 0;

  /// Starts to lease to others, as the relay.
  /// \param FollowsAnother whether another relay may have granted leases.
  virtual void startAllocation(bool FollowsAnother) = 0;
  /// Prepares the end: another relay is about to follow.
  virtual void prepareEnd() = 0;
  virtual void endAllocation() = 0;
  /// Returns whether there is anything to lease, so that the relay has to
  /// confirm that it still is the relay.
  virtual bool needsAuthority() const = 0;
  /// Records that no other relay had followed this one at \p AsOf.
  virtual void confirmAuthority(TimePoint AsOf) = 0;
  /// Records that another relay may have followed this one. Nothing is leased
  /// until the next confirmation.
  virtual void withdrawAuthority() = 0;
  /// Records that the relay before this one allocates no more.
  virtual void formerAllocatorEnded() = 0;
  /// Returns the leases of another entry VM.
  virtual std::vector<QuotaLease> lease(const QuotaRequest &Asked) = 0;

  /// Returns what to borrow from the allocator of \p Lender, or nothing while
  /// nothing is lacking or a request to it is under way. applyLoans() or
  /// abandonLoanRequest() follows.
  virtual std::optional<QuotaLoanRequest>
  makeLoanRequest(const DataCentre &Lender) = 0;
  /// Returns the loans for the allocator of another data centre.
  virtual std::vector<QuotaLoan> lend(const QuotaLoanRequest &Asked) = 0;
  /// Applies the reply to the request under way.
  virtual void applyLoans(const DataCentre &Lender,
                          const std::vector<QuotaLoan> &Loans,
                          TimePoint SentAt) = 0;
  /// Records that the request under way has no reply; one that arrives later
  /// must not be applied.
  virtual void abandonLoanRequest(const DataCentre &Lender) = 0;
};

/// The relay, as the quotas of an entry VM use it.
class QuotaSource {
public:
  virtual ~QuotaSource() = default;

  /// Returns whether a relay is used at all.
  virtual bool isUsed() const = 0;
  /// Returns whether another entry VM answers as the relay.
  virtual bool isAvailable() const = 0;
  /// Asks the relay for leases as soon as the spacing of requests allows.
  virtual void requestLeases() = 0;
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_ROOT_RELAY_QUOTABOARD_H
