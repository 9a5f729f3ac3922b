// The relay's part of the quotas: what it leases to the entry VMs of its data
// centre.
//
// Leases with an expiry in place of a fixed division follow the published
// design of Doorman (a cooperative distributed rate limiter); the division by
// reported demand follows distributed rate limiting (Raghavan et al., "Cloud
// control with distributed rate limiting", SIGCOMM 2007) with max-min fairness
// (Bertsekas and Gallager, Data Networks, 6.5).
//
// Safety: in no window of length W do more than R x W + B operations run from
// the leases of a share (R, B), apart from the difference of clock rates.
//  1. For each holder the allocator keeps an upper bound of what the holder may
//     use, the commitment: the larger of what it reported as held and of what
//     the last reply granted. Requests of a holder are numbered and are made
//     one at a time, after the reply to the one before has been applied or
//     given up, so nothing else can be held. A request that arrives out of
//     order is not served.
//  2. The holder counts a lease from the time at which it sent its request, the
//     allocator from its reply plus ExpiryMargin, which exceeds the difference
//     of clock rates. A holder never uses a lease that the allocator has
//     dropped. A reply that was delayed beyond the lease is not applied. The
//     allocator counts a lease for AuthorityTime longer: until then its holder
//     may have renewed it at an allocator that has followed this one.
//  3. What is not committed fills a bucket of the allocator, the pool. The sum
//     of the rates and the sum of the bursts of the commitments and of the pool
//     never exceed the share. New leases are cut to what is left.
//  4. Tokens that a reply grants are taken from the pool. Together with the
//     tokens that were reported they do not exceed the granted burst, and what
//     fills the holder's bucket while the request is under way is bounded so
//     that all three together do not exceed the commitment. So the
//     tokens that are held, under way or in the pool are at most B at any time
//     and grow by at most R per second; each operation takes one.
//  5. An allocator that follows another one grants nothing but what a holder
//     reports as held until every lease of the former one has ended
//     (TakeoverTime). Its pool is empty until then. What is held then is part
//     of the former one's commitments, whose sum is bounded by the share.
//  6. An allocator grants nothing while another one may have followed it. The
//     relay confirms that it still is the relay: as long as no follower is
//     silent, none can have become the relay; otherwise it reads its row in the
//     store. The confirmation is valid for ConfirmationTime of the boot clock,
//     so an allocator that was suspended grants nothing before the next one.
// A lowered limit leaves the commitments above the share until they are
// renewed; until then a renewed lease is the same part of the new share.
#ifndef AMARANTHSPUR_POLICY_QUOTAS_QUOTAALLOCATOR_H
#define AMARANTHSPUR_POLICY_QUOTAS_QUOTAALLOCATOR_H

#include "policy/quotas/QuotaBucket.h"

#include <map>
#include <set>

namespace amaranthspur {

/// Leases the share of one data centre. State exists only for the workspaces
/// and holders that were reported. The cost of one report is linear in the
/// number of entry VMs with sessions of the workspace, times its logarithm.
class QuotaAllocator {
public:
  /// A lease is renewed every 400 ms; a lost relay is replaced within 3 s.
  static constexpr Duration LeaseLength = std::chrono::seconds(3);
  /// More than 2 % of a lease, for clocks that differ by 1 % each.
  static constexpr Duration ExpiryMargin = milliseconds(100);
  /// Leases are granted for this time after it was last confirmed that no other
  /// allocator had followed. The relay confirms it every second, and a read of
  /// its row that this needs takes 1.2 s at most.
  static constexpr Duration ConfirmationTime = milliseconds(2400);
  /// Longest time for which an allocator may grant leases after another one has
  /// followed it: the relay finds that a follower is silent after 1.2 s.
  static constexpr Duration AuthorityTime =
      ConfirmationTime + milliseconds(1200);
  /// Time for which a lease is counted unless its holder reports again. It is
  /// longer than the lease, since the holder may have renewed it at an
  /// allocator that has followed this one, and since a delayed request may
  /// renew it.
  static constexpr Duration CommitmentTime =
      LeaseLength + ExpiryMargin + AuthorityTime;
  /// Time for which an allocator that follows another one grants only what is
  /// reported as held.
  static constexpr Duration TakeoverTime =
      LeaseLength + 2 * ExpiryMargin + AuthorityTime;
  /// Part of the demand that is leased as a rate while there is less demand
  /// than the share. Operations beyond it use tokens of the pool.
  static constexpr double LeasedPart = 0.85;
  /// Demand of this many seconds is the burst that a holder gets, in addition
  /// to one operation, as far as that is free. It covers the time between two
  /// requests.
  static constexpr double BurstSeconds = 0.5;
  /// Part of the free burst that is leased to all holders, so that a first
  /// operation need not wait. The rest stays in the pool.
  static constexpr double SparePart = 0.4;
  /// A demand above this, in operations per second, is served before the
  /// others when there are fewer bursts of one operation than holders.
  static constexpr double ActiveDemand = 0.1;
  /// Demand counts for this time after its report.
  static constexpr Duration DemandTime = milliseconds(1200);
  /// Part of the pool's tokens that an entry VM without demand may get.
  static constexpr double IdleTokenPart = 0.25;
  /// Interval at which the state of absent holders is removed.
  static constexpr Duration CleanInterval = milliseconds(500);
  /// Bound of the numbers that a report may contain.
  static constexpr double MaxAmount = 1e9;

  QuotaAllocator(std::size_t DataCentres, QuotaTolerance Tolerance)
      : DataCentres(DataCentres), Tolerance(Tolerance) {}

  /// Starts to allocate, with nothing known. If there was no other allocator,
  /// nothing has run, and the pool of a workspace is full when it is first
  /// reported.
  /// \param FollowsAnother whether another allocator may have leases left.
  void start(bool FollowsAnother, TimePoint Now);
  /// Leases everything to those with demand from now on, because another
  /// allocator is about to follow, which can only renew what is held.
  void spreadAll() { this->SpreadsAll = true; }
  /// Forgets everything and grants nothing until the next start.
  void stop();
  /// Records that no other allocator had followed this one at \p AsOf.
  void confirm(TimePoint AsOf);
  bool isStarted() const { return this->Started; }

  /// Returns the leases of one holder for what it reports. Workspaces without
  /// a quota in \p Plan get none.
  std::vector<QuotaLease> lease(const QuotaRequest &Asked,
                                const AccessPlan &Plan, TimePoint Now);

  /// Returns what is committed of \p Workspace, all holders together.
  QuotaAmount committed(const WorkspaceName &Workspace, TimePoint Now) const;

private:
  struct Commitment {
    QuotaAmount Amount;
    TimePoint End;
    double Demand = 0;
    TimePoint DemandAt;
  };
  struct Account {
    std::map<QuotaHolderId, Commitment> Holders;
    QuotaBucket Pool;
  };
  struct HolderState {
    std::uint64_t Sequence = 0;
    TimePoint LastRequest;
    std::set<WorkspaceName> Workspaces;
  };

  static QuotaAmount sumOf(const Account &A);
  static void removeExpired(Account &A, TimePoint Now);
  void resizePool(Account &A, const QuotaAmount &Share, TimePoint Now) const;
  /// Returns what \p Self is to have by its demand and that of the others.
  QuotaAmount target(const Account &A, const QuotaHolderId &Self,
                     const QuotaAmount &Share, TimePoint Now) const;
  QuotaLease leaseOne(const QuotaHolderId &Holder, const QuotaReport &Report,
                      const QuotaAmount &Share, TimePoint Now);
  void removeOldHolders(TimePoint Now);

  std::size_t DataCentres;
  QuotaTolerance Tolerance;
  bool Started = false;
  bool SpreadsAll = false;
  bool IsFirst = false;          ///< No other allocator was before.
  std::set<WorkspaceName> Known; ///< Reported at any time, if it is the first.
  TimePoint GrantsFreelyAt{};
  TimePoint CleanedAt{};
  TimePoint ConfirmedAt{};
  std::map<WorkspaceName, Account> Accounts;
  std::map<QuotaHolderId, HolderState> Holders;
};

/// Divides \p Total by max-min fairness; returns the part of \p Demands[Index].
/// Nobody gets more than its demand.
double maxMinPart(double Total, const std::vector<double> &Demands,
                  std::size_t Index);

} // namespace amaranthspur

#endif // AMARANTHSPUR_POLICY_QUOTAS_QUOTAALLOCATOR_H
