#include "policy/quotas/QuotaLeaseHolder.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace amaranthspur {

void QuotaLeaseHolder::setEntryVms(std::size_t Count) {
  this->EntryVms = std::max(this->EntryVms, Count);
}

double QuotaLeaseHolder::demandAt(const State &S, TimePoint Now) {
  const std::chrono::duration<double> Passed =
      std::max(Duration::zero(), Now - S.DemandAt);
  const std::chrono::duration<double> Period = DemandPeriod;
  return S.Demand * std::exp(-Passed / Period);
}

double QuotaLeaseHolder::reportedDemand(const State &S, TimePoint Now) const {
  const double Average = demandAt(S, Now);
  const Duration Since = Now - this->CountedFrom;
  const std::chrono::duration<double> Passed =
      std::max(Duration(MinRatePeriod), Since);
  const double Rate = S.SinceCounted / Passed.count();
  if (Since < Duration(MinRatePeriod)) {
    // Too short to show a fall.
    const double Least = std::max(Average, S.AskedDemand);
    return S.SinceCounted >= ChangeCount ? std::max(Least, Rate) : Least;
  }
  if (S.SinceCounted >= ChangeCount)
    return std::max(Average, Rate);
  if (Average * Passed.count() >= ChangeCount)
    return std::min(Average, (S.SinceCounted + FallAllowance) / Passed.count());
  return Average;
}

bool QuotaLeaseHolder::expire(State &S, TimePoint Now) {
  if (!S.LeaseEnd || Now < *S.LeaseEnd)
    return false;
  S.LeaseEnd.reset();
  S.Leased.resize({}, Now);
  return true;
}

void QuotaLeaseHolder::applyLimit(State &S, const WorkspaceQuota &Limit,
                                  TimePoint Now) const {
  S.Limit = Limit;
  S.Reserve.resize(entryVmReserve(Limit, this->Tolerance, this->EntryVms), Now);
  if (this->EqualParts) {
    S.Leased.resize(dataCentreShare(Limit, this->Tolerance, this->EntryVms),
                    Now);
    return;
  }
  const QuotaAmount Most = dataCentreShare(Limit, this->Tolerance, 1);
  S.Leased.resize(smallerOf(S.Leased.capacity(), Most), Now);
}

void QuotaLeaseHolder::applyLimits(const AccessPlan &Plan, TimePoint Now) {
  for (auto At = this->States.begin(); At != this->States.end();) {
    const WorkspaceQuota *Quota = Plan.quotaOf(At->first);
    if (!Quota) {
      // Sessions are counted even while there is no quota, since it may return.
      At->second.LeaseEnd.reset();
      this->applyLimit(At->second, {}, Now);
      if (At->second.Sessions == 0) {
        At = this->States.erase(At);
        continue;
      }
    } else {
      this->applyLimit(At->second, *Quota, Now);
    }
    ++At;
  }
}

void QuotaLeaseHolder::addSession(const WorkspaceName &Workspace, TimePoint) {
  ++this->States[Workspace].Sessions;
}

void QuotaLeaseHolder::removeSession(const WorkspaceName &Workspace,
                                     TimePoint) {
  const auto Found = this->States.find(Workspace);
  if (Found != this->States.end() && Found->second.Sessions > 0)
    --Found->second.Sessions;
}

QuotaDecision QuotaLeaseHolder::admit(const WorkspaceName &Workspace,
                                      const WorkspaceQuota &Limit, bool IsFirst,
                                      TimePoint Now) {
  State &S = this->States[Workspace];
  expire(S, Now);
  this->applyLimit(S, Limit, Now);
  if (IsFirst) {
    const std::chrono::duration<double> Period = DemandPeriod;
    S.Demand = demandAt(S, Now) + 1 / Period.count();
    S.DemandAt = Now;
    S.LastDemand = Now;
    ++S.SinceCounted;
  }
  const bool Spent = S.Leased.spend(Now) || S.Reserve.spend(Now);
  if (Spent) {
    ++S.Spent;
    return {};
  }
  S.Waiting += IsFirst ? 1 : 0;
  const std::optional<Duration> Next = S.Leased.untilNext(Now);
  const std::optional<Duration> Reserved = S.Reserve.untilNext(Now);
  QuotaDecision Out;
  const bool IsKnown = S.ShortAt && Now - *S.ShortAt < Duration(AskAgainAfter);
  Out.Verdict = this->EqualParts || IsKnown ? QuotaVerdict::Refused
                                            : QuotaVerdict::LeaseWanted;
  Out.RetryAfter =
      std::min(Next.value_or(MaxRetry), Reserved.value_or(MaxRetry));
  if (!Next && !Reserved)
    Out.RetryAfter = DefaultRetry;
  Out.RetryAfter =
      std::clamp(Out.RetryAfter, Duration(MinRetry), Duration(MaxRetry));
  return Out;
}

void QuotaLeaseHolder::countRefusal(const WorkspaceName &Workspace) {
  const auto Found = this->States.find(Workspace);
  if (Found != this->States.end())
    ++Found->second.Refused;
}

QuotaRequest QuotaLeaseHolder::makeRequest(TimePoint Now) {
  this->InFlight = true;
  QuotaRequest Out{this->Self, ++this->Sequence, {}};
  const bool IsCounted = Now - this->CountedFrom >= Duration(MinRatePeriod);
  for (auto At = this->States.begin(); At != this->States.end();) {
    State &S = At->second;
    expire(S, Now);
    const bool Recent = S.LastDemand && Now - *S.LastDemand < ForgetAfter;
    if (S.Sessions == 0 && !Recent) {
      // The relay takes a workspace that is not listed as not held.
      At = this->States.erase(At);
      continue;
    }
    S.Leased.pause(Now);
    S.AskedTokens = S.Leased.tokens(Now);
    S.AskedBurst = S.Leased.capacity().Burst;
    const double Demand = this->reportedDemand(S, Now);
    if (IsCounted)
      S.SinceCounted = 0;
    S.AskedDemand = Demand;
    S.Asked = S.Waiting > 0;
    Out.Reports.push_back({At->first, Demand, S.Leased.capacity(),
                           S.Leased.tokens(Now), S.Returned,
                           std::exchange(S.Waiting, 0)});
    S.Returned = 0;
    ++At;
  }
  if (IsCounted)
    this->CountedFrom = Now;
  return Out;
}

void QuotaLeaseHolder::resume(TimePoint Now) {
  this->InFlight = false;
  for (auto &[Workspace, S] : this->States)
    S.Deferred = S.Leased.resume(Now);
}

void QuotaLeaseHolder::addDeferred(State &S, double Granted, double Burst,
                                   TimePoint Now) {
  const double Room = std::max(S.AskedBurst, Burst) - S.AskedTokens - Granted;
  S.Leased.add(std::clamp(S.Deferred, 0.0, std::max(0.0, Room)), Now);
  S.Deferred = 0;
}

void QuotaLeaseHolder::applyLeases(const std::vector<QuotaLease> &Leases,
                                   TimePoint SentAt, TimePoint Now) {
  if (!this->InFlight)
    return;
  this->resume(Now);
  for (const QuotaLease &Lease : Leases) {
    const auto Found = this->States.find(Lease.Workspace);
    const TimePoint End = SentAt + Lease.Length;
    if (Found == this->States.end() || Now >= End)
      continue;
    State &S = Found->second;
    expire(S, Now);
    S.LeaseEnd = End;
    S.Returned = S.Leased.resize(Lease.Amount, Now);
    S.Leased.add(Lease.Tokens, Now);
    addDeferred(S, Lease.Tokens, Lease.Amount.Burst, Now);
    const bool IsEnough =
        S.Leased.tokens(Now) >= 1 + S.AskedDemand * EnoughSeconds;
    if (IsEnough)
      S.ShortAt.reset();
    else if (S.Asked)
      S.ShortAt = Now;
    const bool HasLimit = S.Limit != WorkspaceQuota();
    if (HasLimit)
      this->applyLimit(S, WorkspaceQuota(S.Limit), Now);
  }
}

void QuotaLeaseHolder::abandonRequest(TimePoint Now) {
  if (!this->InFlight)
    return;
  this->resume(Now);
  for (auto &[Workspace, S] : this->States)
    addDeferred(S, 0, S.AskedBurst, Now);
}

std::vector<WorkspaceName> QuotaLeaseHolder::endExpired(TimePoint Now) {
  std::vector<WorkspaceName> Lost;
  for (auto &[Workspace, S] : this->States) {
    const bool HadUse = S.Leased.capacity().Burst > 0;
    const bool Ended = expire(S, Now);
    if (Ended && HadUse)
      Lost.push_back(Workspace);
  }
  return Lost;
}

std::vector<QuotaUse> QuotaLeaseHolder::uses(TimePoint Now) const {
  std::vector<QuotaUse> Out;
  Out.reserve(this->States.size());
  for (const auto &[Workspace, S] : this->States)
    Out.push_back(
        {Workspace, S.Limit, S.Leased.tokens(Now), S.Spent, S.Refused});
  return Out;
}

} // namespace amaranthspur
