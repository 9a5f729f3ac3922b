// Answers an operator's questions where a statement of a workspace would be
// routed (policy/RouteExplanation.h), for the admin server.
#ifndef AMARANTHSPUR_ROOT_SESSIONS_ROUTEQUERIES_H
#define AMARANTHSPUR_ROOT_SESSIONS_ROUTEQUERIES_H

#include "policy/RouteExplanation.h"
#include "root/groups/Group.h"

#include <QJsonObject>

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace amaranthspur {

/// A group as the explanation sees it.
class ExplainedGroup final : public GroupEvidenceView {
public:
  explicit ExplainedGroup(std::shared_ptr<Group> Of) : Of(std::move(Of)) {}

  const GroupBeliefs &beliefs() const override { return this->Of->beliefs(); }
  std::optional<LogPosition> floorFor(const DatabaseRoute &Route) override;
  std::optional<Duration> floorAge() const override;
  ReadChoice readChoice(const WorkspaceName &For,
                        std::optional<LogPosition> Floor) const override {
    return this->Of->readChoice(For, Floor);
  }
  std::optional<BelievedPrimary> usablePrimary(PrimaryNeed Need) override {
    return this->Of->outages().peekPrimary(Need);
  }
  bool isRefusing(PrimaryNeed Need) const override {
    return this->Of->outages().isRefusing(Need);
  }
  bool commitsAreProofs() const override {
    return this->Of->commitsAreProofs();
  }
  bool isOversubscribed() const override {
    return this->Of->isOversubscribed();
  }

private:
  std::shared_ptr<Group> Of;
};

/// What the questions are answered from.
struct RouteQueryDependencies {
  std::function<std::shared_ptr<const AccessPlan>()>
      Plan; ///< The one in force.
  /// Returns the group of a service, or null if there is none.
  std::function<std::shared_ptr<Group>(const ServiceName &)> FindGroup;
  ForwarderDirectory *Forwarders = nullptr; ///< Null: all is run here.
  /// Returns the quota of a workspace, or nothing if it is not limited.
  std::function<std::optional<QuotaState>(const WorkspaceName &)> Quota;
};

/// Answers questions about routes.
class RouteQueries final : private RouteEvidence {
public:
  explicit RouteQueries(RouteQueryDependencies Dependencies)
      : Dependencies(std::move(Dependencies)) {}

  /// Answers the question of \p Parameters: `database`, `workspace` and `mode`,
  /// which is `read` unless given.
  QJsonObject answer(const std::map<std::string, std::string> &Parameters);

private:
  GroupEvidenceView *group(const ServiceName &Service) override;
  ForwarderDirectory *forwarders() const override {
    return this->Dependencies.Forwarders;
  }
  std::optional<QuotaState> quota(const WorkspaceName &Of) const override {
    return this->Dependencies.Quota(Of);
  }

  RouteQueryDependencies Dependencies;
  std::optional<ExplainedGroup> Asked; ///< The group of the last question.
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_ROOT_SESSIONS_ROUTEQUERIES_H
