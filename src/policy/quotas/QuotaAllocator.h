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
// Loans between data centres: the same bound holds for all data centres
// together. A loan moves tokens from the pool of the lender to that of the
// borrower, so it adds none; what is to be shown is that the tokens of all data
// centres never exceed the sum of their bursts.
//  7. The lender counts a loan for LoanCommitmentTime as committed: its pool,
//     leases and counted loans are at most its burst B.
//  8. The borrower leases from a loan for LoanLength from the time at which it
//     sent its request. It renews what a holder has only as far as this, the
//     tokens of all other holders and the loans to others are at most B and the
//     unexpired loans. A holder whose lease is not renewed has no tokens after
//     LeaseLength. So its tokens never exceed B by more than the loans that
//     have expired at most a lease ago, which are all counted by their lenders.
//     What is renewed less than fully counts fully until the next report, since
//     the reply may be lost.
//  9. A request tells the lender how much of its loans the borrower still
//     counts. The borrower has lowered its bound before it asks. The reply to
//     an earlier request is not applied any more by then, and requests out of
//     order are rejected.
// 10. Nothing is lent from borrowed tokens: an allocator lends only without
//     unexpired loans. Its tokens are at most B without them by then, since
//     otherwise its pool would be empty.
// 11. An allocator that follows another one knows its loans in neither
//     direction. Tokens that were borrowed are renewed only within B (8), and
//     nothing is borrowed before the leases of the former one have ended. An
//     allocator lends only if its role was confirmed in the last LendingTime,
//     so that its loans end with its last leases. If it is known to have ended
//     before, LoanPart of the burst stays out of the new pool until its loans
//     have ended; it never lends more than that.
//
// Rates are not leased. The rate of an entry VM whose bucket is full is lost to
// the others, which refused a third of the operations of a workspace near its
// limit in a play of the gift-card deployment.
#ifndef AMARANTHSPUR_POLICY_QUOTAS_QUOTAALLOCATOR_H
#define AMARANTHSPUR_POLICY_QUOTAS_QUOTAALLOCATOR_H

#include "policy/quotas/QuotaBucket.h"
#include "policy/quotas/QuotaLoanBook.h"
#include "policy/quotas/QuotaLoanRequests.h"

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
  /// A loan can be leased for this time from its request.
  static constexpr Duration LoanLength = milliseconds(1000);
  /// Time for which a lender counts a loan: it may be leased until its end, and
  /// the last lease is used until its own.
  static constexpr Duration LoanCommitmentTime =
      LoanLength + LeaseLength + 2 * ExpiryMargin;
  /// Loans are granted for this time after a confirmation. They then end no
  /// later than the leases of the same allocator.
  static constexpr Duration LendingTime = ConfirmationTime - LoanLength;
  /// Part of a burst that is lent at most. A smaller one would limit the rate
  /// that can be lent; a larger one would leave less to an allocator that
  /// follows.
  static constexpr double LoanPart = 0.7;
  /// Beside BurstSeconds of the demand of the holders, tokens are borrowed for
  /// this time of the demand above the own rate. It covers the interval of the
  /// requests of the holders, in which a single one uses that much.
  static constexpr double LoanGapSeconds = 0.4;
  /// A borrower does not report a loan as returned if its own rate would need
  /// the room within this time.
  static constexpr double LoanRoomSeconds = 0.2;
  /// The rate of the loans is not known in advance. So much of the recent one
  /// counts as usable, so that it does not hold back a rise of the demand.
  static constexpr double LoanRateLead = 2;
  /// Tokens that are not worth a request.
  static constexpr double MinLoan = 0.1;
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
  /// Records that another allocator may have followed this one. Nothing is
  /// granted until the next confirmation.
  void withdraw() { this->ConfirmedAt = TimePoint(); }
  /// Records that the former allocator has ended, so that only its leases
  /// count.
  void observeFormerEnded(TimePoint Now);
  bool isStarted() const { return this->Started; }

  /// Returns the leases of one holder for what it reports. Workspaces without
  /// a quota in \p Plan get none.
  std::vector<QuotaLease> lease(const QuotaRequest &Asked,
                                const AccessPlan &Plan, TimePoint Now);

  /// Returns what to borrow from \p Lender for the workspaces that lack tokens:
  /// an equal part from each other data centre. Returns nothing if nothing is
  /// lacking or a request is under way.
  std::optional<QuotaLoanRequest> makeLoanRequest(const DataCentre &Lender,
                                                  const QuotaHolderId &Self,
                                                  TimePoint Now);
  /// Returns the loans for another allocator: at most what the own holders do
  /// not need for BurstSeconds of their demand.
  std::vector<QuotaLoan> lend(const QuotaLoanRequest &Asked,
                              const AccessPlan &Plan, TimePoint Now);
  /// Applies the reply to the request under way, which was sent at \p SentAt.
  /// \returns what was borrowed.
  std::vector<QuotaLoan> applyLoans(const DataCentre &Lender,
                                    const std::vector<QuotaLoan> &Loans,
                                    TimePoint SentAt, TimePoint Now);
  /// Records that the request under way has no reply.
  void abandonLoanRequest(const DataCentre &Lender);

  /// Returns how many tokens are committed of \p Workspace, all holders
  /// together.
  double committed(const WorkspaceName &Workspace, TimePoint Now) const;
  /// Returns how many tokens of \p Workspace are in the pool.
  double pooled(const WorkspaceName &Workspace, TimePoint Now) const;

private:
  struct Commitment {
    double Tokens = 0;
    TimePoint End;
    double Demand = 0;
    TimePoint DemandAt;
    double Waiting = 0; ///< Operations that were reported and got no token.
  };
  struct Account {
    std::map<QuotaHolderId, Commitment> Holders;
    QuotaBucket Pool;
    QuotaAmount Share; ///< At the last report.
    QuotaLoanBook<QuotaHolderId> Lent;
    QuotaLoanBook<DataCentre> Borrowed;
    double LoanRate = 0; ///< Average of the borrowed tokens, per second.
    TimePoint LoanRateAt;
  };
  struct HolderState {
    std::uint64_t Sequence = 0;
    TimePoint LastRequest;
    std::set<WorkspaceName> Workspaces;
  };

  /// What the holders of a workspace need.
  struct Need {
    double Demand = 0;
    double Waiting = 0;
  };

  /// Returns the tokens that all holders may have.
  static double sumOf(const Account &A);
  static Need needOf(const Account &A, TimePoint Now);
  /// Returns the tokens that leases, the pool and the loans to others may have
  /// together, less those loans.
  static double allowance(const Account &A, const QuotaAmount &Share,
                          TimePoint Now);
  /// Returns the average rate of what was borrowed, over about 1 s.
  static double loanRate(const Account &A, TimePoint Now);
  /// Returns the rate and the burst that can be leased, loans included.
  QuotaAmount usableShare(const Account &A, TimePoint Now) const;
  /// Returns how many tokens are lacking for the present demand.
  double lackOf(const Account &A, TimePoint Now) const;
  /// Ends what the borrower does not need of its loans from \p Lender.
  /// \returns what it still counts of them.
  static double returnLoans(Account &A, const DataCentre &Lender,
                            TimePoint Now);
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
  TimePoint FormerLoansEndAt{}; ///< Loans of the former allocator.
  bool FollowsAnother = false;  ///< Another allocator was before.
  TimePoint CleanedAt{};
  TimePoint ConfirmedAt{};
  std::map<WorkspaceName, Account> Accounts;
  std::map<QuotaHolderId, HolderState> Holders;
  std::set<WorkspaceName> Lacking; ///< Lacked tokens at their last report.
  QuotaLoanNumbers LoanNumbers;
  QuotaLoanOrder LoanOrder;
};

/// Divides \p Total by max-min fairness; returns the part of \p Demands[Index].
/// Nobody gets more than its demand.
double maxMinPart(double Total, const std::vector<double> &Demands,
                  std::size_t Index);

} // namespace amaranthspur

#endif // AMARANTHSPUR_POLICY_QUOTAS_QUOTAALLOCATOR_H
