// Explains to an operator where an entry VM would route a statement of a
// workspace now, and why.
//
// The explanation consists of the results of the functions that serve
// statements (RouteChoice.h, GroupBeliefs.h, ServerSelection.h, PrimaryWait.h),
// called with what the entry VM knows. No statement is sent and no choice is
// recorded; at most servers are asked for their status. A workspace is given by
// its name; its key is not known here, and a name that is not configured is not
// repeated, because it might be a key that was given by mistake.
#ifndef AMARANTHSPUR_POLICY_ROUTEEXPLANATION_H
#define AMARANTHSPUR_POLICY_ROUTEEXPLANATION_H

#include "policy/GroupBeliefs.h"
#include "policy/RouteChoice.h"
#include "policy/quotas/QuotaLeaseHolder.h"

#include <string>
#include <vector>

namespace amaranthspur {

/// What an entry VM knows of the group that a route uses.
class GroupEvidenceView {
public:
  virtual ~GroupEvidenceView() = default;

  virtual const GroupBeliefs &beliefs() const = 0;
  /// Returns the floor for the staleness bound of \p Route, if one is known.
  virtual std::optional<LogPosition> floorFor(const DatabaseRoute &Route) = 0;
  /// Returns the age of the newest evidence that gives a floor.
  virtual std::optional<Duration> floorAge() const = 0;
  /// Returns the choice for a read that arrives now.
  virtual ReadChoice readChoice(const WorkspaceName &Of,
                                std::optional<LogPosition> Floor) const = 0;
  /// Returns the primary that a statement with \p Need would use.
  virtual std::optional<BelievedPrimary> usablePrimary(PrimaryNeed Need) = 0;
  /// Returns whether statements with \p Need are refused because of an outage.
  virtual bool isRefusing(PrimaryNeed Need) const = 0;
  virtual bool commitsAreProofs() const = 0;
  virtual bool isOversubscribed() const = 0;
};

/// The quota of a workspace.
struct QuotaState {
  QuotaUse Use;
  QuotaVerdict Next = QuotaVerdict::Admitted; ///< For the next operation.
};

/// What an entry VM knows, apart from its plan.
class RouteEvidence {
public:
  virtual ~RouteEvidence() = default;

  /// Returns the group of \p Service, or null if there is none.
  virtual GroupEvidenceView *group(const ServiceName &Service) = 0;
  /// Returns null if all statements are run here.
  virtual ForwarderDirectory *forwarders() const = 0;
  /// Returns the quota of \p Of, or nothing if it is not limited.
  virtual std::optional<QuotaState> quota(const WorkspaceName &Of) const = 0;
};

/// The statement that is asked about.
struct RouteQuestion {
  std::string Database;
  WorkspaceName Of;
  Access Mode = Access::Read;
};

/// Why a statement would be refused.
enum class RouteRefusal {
  None,
  UnknownDatabase,
  UnknownWorkspace,
  NoService,
  OverQuota,
  NoPrimary,  ///< It would wait for one, and perhaps be refused.
  LongOutage, ///< It would be refused immediately.
  NoServer,
};

template <> struct EnumNames<RouteRefusal> {
  static constexpr auto Entries =
      std::to_array<std::pair<RouteRefusal, std::string_view>>(
          {{RouteRefusal::None, "none"},
           {RouteRefusal::UnknownDatabase, "unknown-database"},
           {RouteRefusal::UnknownWorkspace, "unknown-workspace"},
           {RouteRefusal::NoService, "service-not-configured"},
           {RouteRefusal::OverQuota, "over-quota"},
           {RouteRefusal::NoPrimary, "no-primary-now"},
           {RouteRefusal::LongOutage, "long-outage"},
           {RouteRefusal::NoServer, "no-server"}});
};

/// A server as a candidate for the statement.
struct ExplainedCandidate {
  ReadCandidate Considered;
  std::optional<ServerRole> Role;
  bool IsAvoided = false;            ///< After a failure.
  std::optional<Duration> AnswerAge; ///< Of its last answer.
  std::optional<LogPosition> Position;
  std::optional<Duration> PositionAge;
  /// Probability that it is tried first among the candidates of its tier.
  double Weight = 0;
};

/// Where a statement would be routed, and why.
struct RouteExplanation {
  RouteRefusal Refusal = RouteRefusal::None;
  std::optional<DatabaseRoute> Route;
  WorkspaceName Of; ///< Empty if the route needs none.
  StatementPlace Place = StatementPlace::Here;
  ReadConstraint Constraint; ///< Of a read.
  std::optional<Duration> FloorAge;
  bool NeedsPrimary = false;
  std::optional<BelievedPrimary> Primary; ///< The usable one, if it is needed.
  std::vector<ExplainedCandidate> Candidates; ///< In the order of their tiers.
  std::optional<QuotaState> Quota;
};

/// Explains routes by a plan and by what an entry VM knows.
class RouteExplainer {
public:
  /// Both must outlive the object.
  RouteExplainer(const AccessPlan &Plan, RouteEvidence &Known)
      : Plan(Plan), Known(Known) {}

  RouteExplanation explain(const RouteQuestion &Asked, TimePoint Now) const;

private:
  /// Explains the choice of the server.
  void explainServer(const RouteQuestion &Asked, GroupEvidenceView &Group,
                     TimePoint Now, RouteExplanation &Into) const;

  const AccessPlan &Plan;
  RouteEvidence &Known;
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_POLICY_ROUTEEXPLANATION_H
