// The quotas of one entry VM: its leases, its token buckets and its demand.
//
// A lease counts from the time at which its request was sent. While a request
// is under way the buckets do not fill, so that the tokens that were reported
// bound those that are there when the reply adds some (QuotaAllocator.h). What
// the time in between adds is put in afterwards, as far as the reported tokens,
// the granted ones and it together fit into the larger of the two leases. One
// request is under way at a time; its reply is applied or given up before the
// next one is made. All times are of the boot clock (core/BootClock.h), since a
// lease also expires while the machine is suspended.
#ifndef AMARANTHSPUR_POLICY_QUOTAS_QUOTALEASEHOLDER_H
#define AMARANTHSPUR_POLICY_QUOTAS_QUOTALEASEHOLDER_H

#include "policy/quotas/QuotaBucket.h"

#include <map>

namespace amaranthspur {

/// What is done with an operation.
enum class QuotaVerdict {
  Admitted,
  Refused,
  LeaseWanted, ///< The relay has not been asked since the tokens ran out.
};

template <> struct EnumNames<QuotaVerdict> {
  static constexpr auto Entries =
      std::to_array<std::pair<QuotaVerdict, std::string_view>>(
          {{QuotaVerdict::Admitted, "admitted"},
           {QuotaVerdict::Refused, "refused"},
           {QuotaVerdict::LeaseWanted, "lease-wanted"}});
};

/// The decision about one operation.
struct QuotaDecision {
  QuotaVerdict Verdict = QuotaVerdict::Admitted;
  Duration RetryAfter{}; ///< Unless admitted: when a token is expected.
};

/// The use of one workspace's quota on this entry VM, for operators.
struct QuotaUse {
  WorkspaceName Workspace;
  WorkspaceQuota Limit;
  double Tokens = 0; ///< Operations that may run now by a lease.
  std::uint64_t Spent = 0;
  std::uint64_t Refused = 0;
};

/// The leases of one entry VM. The cost of each call about one workspace is one
/// look-up; state exists only for workspaces with sessions or recent demand.
class QuotaLeaseHolder {
public:
  /// Time constant of the average demand.
  static constexpr Duration DemandPeriod = std::chrono::seconds(1);
  /// If there were at least so many operations since the last measurement, or
  /// the average lets so many expect, their rate counts instead of the average:
  /// a sudden change would take a second to appear in the average.
  static constexpr unsigned ChangeCount = 4;
  /// Operations that are added when a rate is compared with a higher average,
  /// so that chance alone seldom lowers the demand.
  static constexpr unsigned FallAllowance = 2;
  /// Shortest time over which that rate is measured. Requests may be made more
  /// often; a rate since the last of them would be too low.
  static constexpr Duration MinRatePeriod = milliseconds(200);
  /// A workspace without sessions is forgotten after this time without demand.
  static constexpr Duration ForgetAfter = std::chrono::seconds(10);
  /// Retry time where no token is expected. A lease may arrive by then.
  static constexpr Duration DefaultRetry = milliseconds(500);
  /// A relay that had nothing to give is not asked again for this time because
  /// of an operation.
  static constexpr Duration AskAgainAfter = milliseconds(150);
  /// Tokens for this many seconds of demand count as enough.
  static constexpr double EnoughSeconds = 0.2;
  /// Bounds of the retry time of a refused operation.
  static constexpr Duration MinRetry = milliseconds(100);
  static constexpr Duration MaxRetry = std::chrono::seconds(5);

  explicit QuotaLeaseHolder(QuotaHolderId Self, QuotaTolerance Tolerance)
      : Self(std::move(Self)), Tolerance(Tolerance) {}

  /// Sets the number of entry VMs that divide the reserve. The largest number
  /// ever set counts, since entry VMs that are not seen may run.
  void setEntryVms(std::size_t Count);
  /// Uses a fixed equal part of each quota instead of leases.
  void useEqualParts() { this->EqualParts = true; }

  /// Truncates leases and buckets to the quotas of \p Plan.
  void applyLimits(const AccessPlan &Plan, TimePoint Now);

  /// Counts sessions of \p Workspace, so that it is reported.
  void addSession(const WorkspaceName &Workspace, TimePoint Now);
  void removeSession(const WorkspaceName &Workspace, TimePoint Now);

  /// Decides about one operation of \p Workspace, which has the quota
  /// \p Limit, and counts it as demand if \p IsFirst.
  QuotaDecision admit(const WorkspaceName &Workspace,
                      const WorkspaceQuota &Limit, bool IsFirst, TimePoint Now);
  /// Records that an operation was refused.
  void countRefusal(const WorkspaceName &Workspace);

  /// Returns the next request. \pre there is no other request under way.
  QuotaRequest makeRequest(TimePoint Now);
  /// Applies the reply to the last request, which was sent at \p SentAt.
  void applyLeases(const std::vector<QuotaLease> &Leases, TimePoint SentAt,
                   TimePoint Now);
  /// Records that the last request has no reply.
  void abandonRequest(TimePoint Now);

  /// Ends leases whose time is over; returns the workspaces that are still in
  /// use and have lost one.
  std::vector<WorkspaceName> endExpired(TimePoint Now);

  /// Returns the use of each workspace that has a state here.
  std::vector<QuotaUse> uses(TimePoint Now) const;

private:
  struct State {
    WorkspaceQuota Limit;
    QuotaBucket Leased;
    QuotaBucket Reserve;
    std::optional<TimePoint> LeaseEnd;
    unsigned Waiting = 0; ///< Operations without a token since the request.
    bool Asked = false;   ///< The same before the request under way.
    double AskedDemand = 0;
    double AskedTokens = 0; ///< That the request under way reports.
    double AskedBurst = 0;  ///< The same.
    double Deferred = 0;    ///< Tokens of the time that the request took.
    std::optional<TimePoint> ShortAt; ///< Reply to such a request that gave
                                      ///< less than the demand.
    double Demand = 0;
    TimePoint DemandAt{};
    std::optional<TimePoint> LastDemand;
    unsigned SinceCounted = 0; ///< Operations since CountedFrom.
    double Returned = 0;       ///< Not reported yet.
    std::size_t Sessions = 0;
    std::uint64_t Spent = 0;
    std::uint64_t Refused = 0;
  };

  /// Returns the demand per second at \p Now.
  static double demandAt(const State &S, TimePoint Now);
  double reportedDemand(const State &S, TimePoint Now) const;
  static bool expire(State &S, TimePoint Now);
  void applyLimit(State &S, const WorkspaceQuota &Limit, TimePoint Now) const;
  /// Ends the request under way.
  void resume(TimePoint Now);
  /// Adds what the time of the request has added, up to what fits beside
  /// \p Granted tokens into a lease of \p Burst.
  static void addDeferred(State &S, double Granted, double Burst,
                          TimePoint Now);

  QuotaHolderId Self;
  QuotaTolerance Tolerance;
  std::size_t EntryVms = 1;
  bool EqualParts = false;
  std::uint64_t Sequence = 0;
  bool InFlight = false;
  TimePoint CountedFrom{}; ///< The rate of operations is measured from here.
  std::map<WorkspaceName, State> States;
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_POLICY_QUOTAS_QUOTALEASEHOLDER_H
