#include "root/quotas/WorkspaceQuotas.h"

#include "core/BootClock.h"
#include "root/telemetry/Log.h"

#include <algorithm>
#include <cmath>

namespace amaranthspur {
namespace {

std::int64_t rounded(double Number) { return std::llround(Number); }

} // namespace

WorkspaceQuotas::WorkspaceQuotas(WorkspaceQuotaOptions Given, PlanSource Plan,
                                 QuotaSource &Source, Random &Rng,
                                 Metrics &Counters)
    : Options(std::move(Given)), Plan(std::move(Plan)), Source(Source),
      Rng(Rng), Counters(Counters),
      Holder(this->Options.Self, this->Options.Tolerance),
      Allocator(this->Options.DataCentres, this->Options.Tolerance) {
  // At least one entry VM runs in each data centre.
  this->Holder.setEntryVms(this->Options.DataCentres);
}

void WorkspaceQuotas::applyPlan() {
  this->Holder.applyLimits(*this->Plan(), bootNow());
}

// --- Child -------------------------------------------------------------------

QCoro::Task<Result<Success>> WorkspaceQuotas::start() {
  this->Stopping = false;
  if (!this->Source.isUsed())
    this->Holder.useEqualParts();
  this->run();
  const Result<Success> Started = Success();
  co_return Started;
}

QCoro::Task<> WorkspaceQuotas::stop(TimePoint Deadline) {
  this->Stopping = true;
  this->Wake.wake();
  this->Leased.notifyAll();
  co_await this->Tasks.waitUntilEmpty(Deadline);
}

QCoro::Task<> WorkspaceQuotas::run() {
  const TaskGroup::Guard Guard(this->Tasks);
  while (!this->Stopping) {
    this->endExpired();
    if (this->Allocator.isStarted())
      this->leaseToSelf();
    this->updateMetrics();
    co_await this->Wake.wait(steadyNow() + Interval);
  }
}

void WorkspaceQuotas::endExpired() {
  for (const WorkspaceName &Workspace : this->Holder.endExpired(bootNow())) {
    this->Counters.add(Counter::QuotaLeasesExpired);
    log(LogLevel::Warning, LogEvent::QuotaLeaseExpired,
        {{"workspace", Workspace.str()},
         {"relay", this->Source.isAvailable() ? "answers" : "silent"}});
  }
}

std::vector<QuotaUse> WorkspaceQuotas::uses() const {
  return this->Holder.uses(bootNow());
}

void WorkspaceQuotas::countLoans(Counter Total,
                                 const std::vector<QuotaLoan> &Loans) {
  // Counters are whole numbers. Rounding at random keeps the sum of parts of a
  // token right on average.
  for (const QuotaLoan &Loan : Loans)
    this->Counters.add(
        Total, Loan.Workspace.str(),
        static_cast<std::uint64_t>(Loan.Tokens + this->Rng.unit()));
}

std::optional<QuotaDecision>
WorkspaceQuotas::peek(const WorkspaceName &Workspace) const {
  const std::shared_ptr<const AccessPlan> InForce = this->Plan();
  const WorkspaceQuota *Limit = InForce->quotaOf(Workspace);
  if (!Limit)
    return std::nullopt;
  // A decision takes a token.
  QuotaLeaseHolder Copy = this->Holder;
  return Copy.admit(Workspace, *Limit, false, bootNow());
}

void WorkspaceQuotas::updateMetrics() {
  for (const QuotaUse &Use : this->uses()) {
    this->Counters.set(Gauge::QuotaLimit, Use.Limit.RatePerSecond,
                       Use.Workspace.str());
    this->Counters.set(Gauge::QuotaLeased, Use.Tokens, Use.Workspace.str());
  }
}

// --- OperationQuota ----------------------------------------------------------

QCoro::Task<QuotaAnswer> WorkspaceQuotas::admit(WorkspaceName Workspace,
                                                Duration Objective) {
  const TimePoint End =
      steadyNow() +
      std::min<Duration>(MaxLeaseWait, Objective / LeaseWaitDivisor);
  QuotaAnswer Out;
  QuotaDecision Decision;
  WorkspaceQuota Limit;
  bool IsFirst = true;
  while (true) {
    const std::shared_ptr<const AccessPlan> InForce = this->Plan();
    const WorkspaceQuota *Quota = InForce->quotaOf(Workspace);
    if (!Quota)
      co_return Out;
    Limit = *Quota;
    Decision = this->Holder.admit(Workspace, Limit, IsFirst, bootNow());
    IsFirst = false;
    if (Decision.Verdict != QuotaVerdict::LeaseWanted || this->Stopping ||
        steadyNow() >= End)
      break;
    const bool MayCome = this->askForLease();
    if (!MayCome)
      break;
    const TaskGroup::Guard Guard(this->Tasks);
    if (this->Allocator.isStarted()) {
      Decision = this->Holder.admit(Workspace, Limit, false, bootNow());
      if (Decision.Verdict != QuotaVerdict::LeaseWanted)
        break;
      co_await sleepFor(OwnSpacing);
      continue;
    }
    co_await this->Leased.wait(End);
  }
  if (Decision.Verdict == QuotaVerdict::Admitted) {
    this->Counters.add(Counter::QuotaSpent, Workspace.str());
    co_return Out;
  }
  this->Holder.countRefusal(Workspace);
  this->Counters.add(Counter::QuotaRefused, Workspace.str());
  this->logLimit(Workspace, Limit);
  Out.Admitted = false;
  // The time is spread up to its double, so that the callers that were refused
  // together do not return together.
  Out.RetryAfter = std::chrono::duration_cast<Duration>(Decision.RetryAfter *
                                                        (1 + this->Rng.unit()));
  co_return Out;
}

bool WorkspaceQuotas::askForLease() {
  if (this->Allocator.isStarted()) {
    const TimePoint Now = bootNow();
    const bool IsRecent =
        this->OwnLeasedAt && Now - *this->OwnLeasedAt < Duration(OwnSpacing);
    if (!IsRecent)
      this->leaseToSelf();
    return true;
  }
  if (!this->Source.isAvailable())
    return false;
  this->Source.requestLeases();
  return true;
}

void WorkspaceQuotas::logLimit(const WorkspaceName &Workspace,
                               const WorkspaceQuota &Limit) {
  const TimePoint Now = bootNow();
  std::erase_if(this->LimitLoggedAt, [Now](const auto &Entry) {
    return Now - Entry.second >= LimitLogInterval;
  });
  const bool IsNew = this->LimitLoggedAt.emplace(Workspace, Now).second;
  if (IsNew)
    log(LogLevel::Info, LogEvent::QuotaReached,
        {{"workspace", Workspace.str()},
         {"rate_per_s", rounded(Limit.RatePerSecond)},
         {"burst", rounded(Limit.Burst)}});
}

void WorkspaceQuotas::addSession(const WorkspaceName &Workspace) {
  this->Holder.addSession(Workspace, bootNow());
}

void WorkspaceQuotas::removeSession(const WorkspaceName &Workspace) {
  this->Holder.removeSession(Workspace, bootNow());
}

// --- QuotaBoard --------------------------------------------------------------

std::optional<QuotaRequest> WorkspaceQuotas::makeRequest() {
  QuotaRequest Asked = this->Holder.makeRequest(bootNow());
  const std::shared_ptr<const AccessPlan> InForce = this->Plan();
  std::erase_if(Asked.Reports, [&InForce](const QuotaReport &R) {
    return InForce->quotaOf(R.Workspace) == nullptr;
  });
  // Without workspaces nothing is sent. The last of them is given up once.
  const bool Lists = !Asked.Reports.empty();
  const bool IsSent = Lists || this->Reported;
  this->Reported = Lists;
  if (!IsSent) {
    this->Holder.abandonRequest(bootNow());
    return std::nullopt;
  }
  return Asked;
}

void WorkspaceQuotas::applyLeases(const std::vector<QuotaLease> &Leases,
                                  TimePoint SentAt) {
  this->Holder.applyLeases(Leases, SentAt, bootNow());
  this->Leased.notifyAll();
}

void WorkspaceQuotas::abandonRequest() {
  this->Holder.abandonRequest(bootNow());
}

void WorkspaceQuotas::shareAmong(std::size_t EntryVms) {
  this->Holder.setEntryVms(EntryVms);
}

void WorkspaceQuotas::startAllocation(bool FollowsAnother) {
  this->Allocator.start(FollowsAnother, bootNow());
  log(LogLevel::Info, LogEvent::QuotaAllocatorChanged,
      {{"allocates", "yes"}, {"follows", FollowsAnother ? "yes" : "no"}});
}

void WorkspaceQuotas::endAllocation() {
  this->Allocator.stop();
  log(LogLevel::Info, LogEvent::QuotaAllocatorChanged, {{"allocates", "no"}});
}

bool WorkspaceQuotas::needsAuthority() const {
  const std::shared_ptr<const AccessPlan> InForce = this->Plan();
  return std::any_of(
      InForce->Workspaces.begin(), InForce->Workspaces.end(),
      [](const auto &Entry) { return Entry.second.Quota.has_value(); });
}

void WorkspaceQuotas::confirmAuthority(TimePoint AsOf) {
  this->Allocator.confirm(AsOf);
}

void WorkspaceQuotas::formerAllocatorEnded() {
  this->Allocator.observeFormerEnded(bootNow());
}

std::vector<QuotaLease> WorkspaceQuotas::lease(const QuotaRequest &Asked) {
  return this->Allocator.lease(Asked, *this->Plan(), bootNow());
}

std::optional<QuotaLoanRequest>
WorkspaceQuotas::makeLoanRequest(const DataCentre &Lender) {
  return this->Allocator.makeLoanRequest(Lender, this->Options.Self, bootNow());
}

std::vector<QuotaLoan> WorkspaceQuotas::lend(const QuotaLoanRequest &Asked) {
  std::vector<QuotaLoan> Loans =
      this->Allocator.lend(Asked, *this->Plan(), bootNow());
  this->countLoans(Counter::QuotaTokensLent, Loans);
  return Loans;
}

void WorkspaceQuotas::applyLoans(const DataCentre &Lender,
                                 const std::vector<QuotaLoan> &Loans,
                                 TimePoint SentAt) {
  this->countLoans(
      Counter::QuotaTokensBorrowed,
      this->Allocator.applyLoans(Lender, Loans, SentAt, bootNow()));
}

void WorkspaceQuotas::abandonLoanRequest(const DataCentre &Lender) {
  this->Allocator.abandonLoanRequest(Lender);
}

void WorkspaceQuotas::leaseToSelf() {
  const TimePoint Now = bootNow();
  this->OwnLeasedAt = Now;
  const std::optional<QuotaRequest> Asked = this->makeRequest();
  if (Asked)
    this->applyLeases(this->lease(*Asked), Now);
}

} // namespace amaranthspur
