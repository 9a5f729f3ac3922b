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
//  1. A lease is a number of tokens with an expiry. Tokens are taken from the
//     pool, a token bucket of the allocator with the rate R. A holder's tokens
//     do not grow by themselves, and each operation takes one.
//  2. For each holder the allocator keeps an upper bound of the tokens that it
//     has: those that it reported and those that the reply granted. Requests of
//     a holder are numbered and are made one at a time, after the reply to the
//     one before has been applied or given up. A request that arrives out of
//     order is not served, and a reply that is late is not applied.
//  3. The pool holds at most B less these bounds. So the tokens that are held,
//     under way or in the pool are at most B at any time and grow by at most R
//     per second.
//  4. The holder counts a lease from the time at which it sent its request, the
//     allocator from its reply plus ExpiryMargin, which exceeds the difference
//     of clock rates. A holder never uses tokens that the allocator has
//     dropped.
//  5. An allocator that follows another one grants nothing until every lease of
//     the former one has ended (TakeoverTime). Its pool is empty until then.
//  6. An allocator grants nothing while another one may have followed it. The
//     relay confirms that it still is the relay: as long as no follower is
//     silent, none can have become the relay; otherwise it reads its row in the
//     store. The confirmation is valid for ConfirmationTime of the boot clock,
//     so an allocator that was suspended grants nothing before the next one.
// After a lowered limit, tokens above it are used up or end with their leases.
//
// Rates are not leased. The rate of an entry VM whose bucket is full is lost to
// the others, which refused a third of the operations of a workspace near its
// limit in a play of the gift-card deployment.
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
  /// A lease is renewed every 400 ms, so that one reply may be lost. After a
  /// restart of all entry VMs, nothing is leased for this time.
  static constexpr Duration LeaseLength = milliseconds(1000);
  /// More than 2 % of a lease, for clocks that differ by 1 % each.
  static constexpr Duration ExpiryMargin = milliseconds(50);
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
  /// A holder keeps tokens for its part of the demand in this time, which
  /// covers the time between two requests.
  static constexpr double BurstSeconds = 0.5;
  /// The same before a planned change of the relay.
  static constexpr double HandoverSeconds = 1.0;
  /// Operations that wait get tokens for this time of the holder's part, so
  /// that one holder does not empty the pool.
  static constexpr double WaitingSeconds = 0.25;
  /// A holder that expects less than one operation between two requests keeps a
  /// token only if this part of the burst is enough for all holders with
  /// demand. A small quota has fewer tokens than there are entry VMs; they stay
  /// in the pool for operations that wait.
  static constexpr double SparePart = 0.4;
  /// A holder with a demand above this, in operations per second, has demand.
  static constexpr double ActiveDemand = 0.1;
  /// Demand counts for this time after its report.
  static constexpr Duration DemandTime = milliseconds(1200);
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
  /// Records that the former allocator has ended, so that only its leases
  /// count.
  void observeFormerEnded(TimePoint Now);
  bool isStarted() const { return this->Started; }

  /// Returns the leases of one holder for what it reports. Workspaces without
  /// a quota in \p Plan get none.
  std::vector<QuotaLease> lease(const QuotaRequest &Asked,
                                const AccessPlan &Plan, TimePoint Now);

  /// Returns how many tokens are committed of \p Workspace, all holders
  /// together.
  double committed(const WorkspaceName &Workspace, TimePoint Now) const;

private:
  struct Commitment {
    double Tokens = 0;
    TimePoint End;
    double Demand = 0;
    TimePoint DemandAt;
  };
  struct Account {
    std::map<QuotaHolderId, Commitment> Holders;
    QuotaBucket Pool;
    QuotaAmount Share; ///< At the last report.
  };
  struct HolderState {
    std::uint64_t Sequence = 0;
    TimePoint LastRequest;
    std::set<WorkspaceName> Workspaces;
  };

  /// Returns the tokens that all holders may have.
  static double sumOf(const Account &A);
  static void removeExpired(Account &A, TimePoint Now);
  void resizePool(Account &A, const QuotaAmount &Share, TimePoint Now) const;
  /// Returns how many tokens \p Self lacks; a negative number if it has more
  /// than it needs.
  /// \param SinceLast when it last reported.
  double missingTokens(const Account &A, const QuotaHolderId &Self,
                       const QuotaReport &Report, const QuotaAmount &Share,
                       TimePoint SinceLast, TimePoint Now) const;
  /// Returns the account of \p Workspace. The pool of a new one is full if that
  /// of an account without use would be.
  Account &accountOf(const WorkspaceName &Workspace, const QuotaAmount &Share,
                     TimePoint Now);
  QuotaLease leaseOne(const QuotaHolderId &Holder, const QuotaReport &Report,
                      const QuotaAmount &Share, TimePoint Now);
  void removeOldHolders(TimePoint Now);

  std::size_t DataCentres;
  QuotaTolerance Tolerance;
  bool Started = false;
  bool SpreadsAll = false;
  TimePoint GrantsFreelyAt{};
  bool FollowsAnother = false; ///< Another allocator was before.
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
