// Amounts of a workspace's quota and what entry VMs and their relay exchange
// about it.
//
// A quota of rate R and burst B with the tolerance (window W, excess, slack)
// allows (R x W + B) x (1 + excess) + slack operations in each window of W. The
// tolerated extra, excess x (R x W + B) + slack, is divided by constants, so
// that nobody has to agree on it: one part raises what is leased, one is the
// reserve of entry VMs without a lease, and the rest covers clocks that run
// fast. Lowering it by each other's use is never needed.
#ifndef AMARANTHSPUR_POLICY_QUOTAS_QUOTAAMOUNT_H
#define AMARANTHSPUR_POLICY_QUOTAS_QUOTAAMOUNT_H

#include "core/Clock.h"
#include "core/Types.h"
#include "policy/AccessPlan.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace amaranthspur {

/// Bound of the numbers in messages about quotas.
inline constexpr double MaxQuotaNumber = 1e9;

/// Returns whether \p Number, which came from another entry VM, is within the
/// bounds. False for a value that is not a number.
constexpr bool isQuotaNumber(double Number) {
  return Number >= 0 && Number <= MaxQuotaNumber;
}

/// A part of a quota.
struct QuotaAmount {
  double RatePerSecond = 0;
  double Burst = 0;

  bool operator==(const QuotaAmount &) const = default;
};

/// Returns the smaller rate and the smaller burst of two amounts.
QuotaAmount smallerOf(const QuotaAmount &A, const QuotaAmount &B);

/// By how much a quota may be exceeded in a window.
struct QuotaTolerance {
  Duration Window = std::chrono::seconds(5);
  double Excess = 0; ///< Part of the quota.
  double Slack = 0;  ///< Operations.

  bool operator==(const QuotaTolerance &) const = default;
};

/// Part of the tolerated extra that is leased, as a burst. Whole operations can
/// then be given to several data centres at once, also for a small quota.
inline constexpr double LeasedExtraPart = 0.6;
/// Part of the tolerated extra that entry VMs without a lease may use. The
/// remaining 0.15 covers clocks that differ by 1 % at an excess of 0.1.
inline constexpr double ReservedExtraPart = 0.25;

/// Returns the operations in a window that \p Tolerance allows in addition.
double toleratedExtra(const WorkspaceQuota &Quota,
                      const QuotaTolerance &Tolerance);

/// Returns what the relay of one data centre may lease.
/// \param DataCentres number of data centres, at least 1.
QuotaAmount dataCentreShare(const WorkspaceQuota &Quota,
                            const QuotaTolerance &Tolerance,
                            std::size_t DataCentres);

/// Returns the reserve of one entry VM. It is nothing if it is less than one
/// operation in a window, which no caller could use.
/// \param EntryVms number of entry VMs, at least 1.
QuotaAmount entryVmReserve(const WorkspaceQuota &Quota,
                           const QuotaTolerance &Tolerance,
                           std::size_t EntryVms);

/// One run of an entry VM. What a former run held is not known to the next.
struct QuotaHolderId {
  EntryVmId Vm;
  std::uint64_t Start = 0; ///< Start of the process.

  auto operator<=>(const QuotaHolderId &) const = default;
};

/// What an entry VM reports about one workspace.
struct QuotaReport {
  WorkspaceName Workspace;
  double Demand = 0; ///< Operations per second, refused ones included.
  QuotaAmount Held;  ///< By an unexpired lease.
  double Tokens = 0; ///< Operations that may run now.
  /// Tokens that were discarded because a reply lowered the lease. They are
  /// reported once.
  double Returned = 0;
  unsigned Waiting = 0; ///< Operations that wait for a token.
};

/// The reports of an entry VM. A workspace that is not listed is not held.
struct QuotaRequest {
  QuotaHolderId Holder;
  std::uint64_t Sequence = 0; ///< Increases with each request of the holder.
  std::vector<QuotaReport> Reports;
};

/// A lease of a workspace's quota. It replaces the one before.
struct QuotaLease {
  WorkspaceName Workspace;
  QuotaAmount Amount;
  double Tokens = 0; ///< Operations that may run in addition to those left.
  Duration Length{}; ///< From the time at which the request was sent.
};

/// The tokens of one workspace that a data centre wants to borrow.
struct QuotaLoanWish {
  WorkspaceName Workspace;
  double Tokens = 0;
  /// Tokens of earlier loans of this lender that the borrower may still have;
  /// the lender counts no more than that. Nothing if it is not known.
  std::optional<double> Held{};
};

/// What the allocator of one data centre asks the one of another for.
struct QuotaLoanRequest {
  QuotaHolderId Borrower;
  std::uint64_t Sequence = 0; ///< Increases with each request to a lender.
  std::vector<QuotaLoanWish> Wishes;
};

/// A loan, which cannot be renewed.
struct QuotaLoan {
  WorkspaceName Workspace;
  double Tokens = 0;
  Duration Length{}; ///< From the time at which the request was sent.
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_POLICY_QUOTAS_QUOTAAMOUNT_H
