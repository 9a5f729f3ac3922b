// The child that keeps the workspaces of this entry VM within their quotas.
//
// It owns the leases of this entry VM (policy/quotas/QuotaLeaseHolder.h) and,
// while this entry VM is the relay, the allocation for its data centre
// (policy/quotas/QuotaAllocator.h). The relay carries the messages. The relay's
// own leases are made here, without a message. One task ends leases and renews
// those of the relay.
#ifndef AMARANTHSPUR_ROOT_QUOTAS_WORKSPACEQUOTAS_H
#define AMARANTHSPUR_ROOT_QUOTAS_WORKSPACEQUOTAS_H

#include "core/Random.h"
#include "policy/quotas/QuotaAllocator.h"
#include "policy/quotas/QuotaLeaseHolder.h"
#include "root/Supervisor.h"
#include "root/quotas/OperationQuota.h"
#include "root/relay/QuotaBoard.h"
#include "root/telemetry/Metrics.h"

#include <functional>
#include <map>
#include <memory>

namespace amaranthspur {

/// The settings of the quotas of one entry VM.
struct WorkspaceQuotaOptions {
  QuotaHolderId Self;
  std::size_t DataCentres = 1;
  QuotaTolerance Tolerance;
};

/// Keeps workspaces within their quotas.
class WorkspaceQuotas final : public Child,
                              public OperationQuota,
                              public QuotaBoard {
public:
  /// Interval at which leases are ended, and renewed on the relay itself.
  static constexpr Duration Interval = milliseconds(200);
  /// Shortest time between two renewals of the relay's own leases.
  static constexpr Duration OwnSpacing = milliseconds(20);
  /// Longest time that an operation waits for a lease, and the part of the
  /// latency objective that it may wait.
  static constexpr Duration MaxLeaseWait = milliseconds(150);
  static constexpr int LeaseWaitDivisor = 4;
  /// A workspace that reaches its limit is logged again after this time.
  static constexpr Duration LimitLogInterval = std::chrono::seconds(10);

  /// Returns the plan in force.
  using PlanSource = std::function<std::shared_ptr<const AccessPlan>()>;

  /// All referenced objects must outlive this one.
  WorkspaceQuotas(WorkspaceQuotaOptions Options, PlanSource Plan,
                  QuotaSource &Source, Random &Rng, Metrics &Counters);

  /// Puts the limits of the plan in force. Called after each change of it.
  void applyPlan();
  /// Returns the use of each workspace with sessions or recent demand.
  std::vector<QuotaUse> uses() const;

  /// Returns what would be decided about the next operation of \p Workspace,
  /// without counting one; nothing if it is not limited.
  std::optional<QuotaDecision> peek(const WorkspaceName &Workspace) const;

  std::string_view name() const override { return "quotas"; }
  QCoro::Task<Result<Success>> start() override;
  QCoro::Task<> stop(TimePoint Deadline) override;

  // OperationQuota.
  QCoro::Task<QuotaAnswer> admit(WorkspaceName Workspace,
                                 Duration Objective) override;
  void addSession(const WorkspaceName &Workspace) override;
  void removeSession(const WorkspaceName &Workspace) override;

  // QuotaBoard.
  std::optional<QuotaRequest> makeRequest() override;
  void applyLeases(const std::vector<QuotaLease> &Leases,
                   TimePoint SentAt) override;
  void abandonRequest() override;
  void shareAmong(std::size_t EntryVms) override;
  void startAllocation(bool FollowsAnother) override;
  void prepareEnd() override { this->Allocator.spreadAll(); }
  void endAllocation() override;
  bool needsAuthority() const override;
  void confirmAuthority(TimePoint AsOf) override;
  void withdrawAuthority() override { this->Allocator.withdraw(); }
  void formerAllocatorEnded() override;
  std::vector<QuotaLease> lease(const QuotaRequest &Asked) override;
  std::optional<QuotaLoanRequest>
  makeLoanRequest(const DataCentre &Lender) override;
  std::vector<QuotaLoan> lend(const QuotaLoanRequest &Asked) override;
  void applyLoans(const DataCentre &Lender, const std::vector<QuotaLoan> &Loans,
                  TimePoint SentAt) override;
  void abandonLoanRequest(const DataCentre &Lender) override;

private:
  QCoro::Task<> run();
  /// Leases to this entry VM, as the relay.
  void leaseToSelf();
  /// Tries to get a lease soon; returns whether one may come.
  bool askForLease();
  void endExpired();
  void logLimit(const WorkspaceName &Workspace, const WorkspaceQuota &Limit);
  void updateMetrics();
  /// Adds the tokens of \p Loans to \p Total.
  void countLoans(Counter Total, const std::vector<QuotaLoan> &Loans);

  WorkspaceQuotaOptions Options;
  PlanSource Plan;
  QuotaSource &Source;
  Random &Rng;
  Metrics &Counters;
  QuotaLeaseHolder Holder;
  QuotaAllocator Allocator;
  TaskCondition Leased; ///< Notified after each reply.
  std::optional<TimePoint> OwnLeasedAt;
  bool Reported = false; ///< The last request listed workspaces.
  std::map<WorkspaceName, TimePoint> LimitLoggedAt;
  WaitPoint Wake;
  TaskGroup Tasks;
  bool Stopping = false;
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_ROOT_QUOTAS_WORKSPACEQUOTAS_H
