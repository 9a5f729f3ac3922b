#include "policy/RouteExplanation.h"

#include <algorithm>
#include <numeric>

namespace amaranthspur {
namespace {

ExplainedCandidate explainCandidate(ReadCandidate Considered,
                                    const GroupBeliefs &Beliefs,
                                    TimePoint Now) {
  const ServerBelief &Server = *Beliefs.find(Considered.Evidence.Id);
  ExplainedCandidate Out;
  Out.Considered = std::move(Considered);
  Out.Role = Server.Role;
  Out.IsAvoided = Beliefs.isAvoided(Server, Now);
  if (Server.LastAnswer != TimePoint())
    Out.AnswerAge = Now - Server.LastAnswer;
  if (const std::optional<ReplicaPosition> &Seen = Server.Progress.latest()) {
    Out.Position = Seen->Position;
    Out.PositionAge = Now - Seen->At;
  }
  return Out;
}

/// Sets the weights of the candidates, which are in the order of their tiers.
void setWeights(std::vector<ExplainedCandidate> &Candidates,
                std::size_t Choosers) {
  auto Begin = Candidates.begin();
  while (Begin != Candidates.end()) {
    const ReadTier Tier = Begin->Considered.Tier;
    const auto End =
        std::find_if(Begin, Candidates.end(), [Tier](const auto &C) {
          return C.Considered.Tier != Tier;
        });
    std::vector<SelectionCandidate> OfTier;
    for (auto It = Begin; It != End; ++It)
      OfTier.push_back(It->Considered.Evidence);
    const std::vector<double> Weights = selectionWeights(OfTier, Choosers);
    const double Sum = std::accumulate(Weights.begin(), Weights.end(), 0.0);
    for (std::size_t I = 0; I < Weights.size() && Tier != ReadTier::LeftOut;
         ++I)
      Begin[static_cast<std::ptrdiff_t>(I)].Weight =
          Sum > 0 ? Weights[I] / Sum : 0;
    Begin = End;
  }
}

} // namespace

void RouteExplainer::explainServer(const RouteQuestion &Asked,
                                   GroupEvidenceView &Group, TimePoint Now,
                                   RouteExplanation &Into) const {
  const ReadChoice Read = Group.readChoice(Into.Of, Into.Constraint.Floor);
  std::vector<ReadCandidate> Servers =
      Group.beliefs().readCandidates(Read, Now);
  Into.NeedsPrimary = Asked.Mode == Access::Write || Into.Constraint.AtPrimary;
  if (Into.NeedsPrimary) {
    const PrimaryNeed Need =
        needOf(Asked.Mode, Into.Constraint.AtPrimary, Group.commitsAreProofs());
    Into.Primary = Group.usablePrimary(Need);
    if (!Into.Primary)
      Into.Refusal = Group.isRefusing(Need) ? RouteRefusal::LongOutage
                                            : RouteRefusal::NoPrimary;
    // Their tiers are those of a read that other servers may run as well.
    for (ReadCandidate &C : Servers)
      C.Tier = Into.Primary && Into.Primary->Id == C.Evidence.Id
                   ? ReadTier::Usable
                   : ReadTier::LeftOut;
  }
  std::stable_sort(Servers.begin(), Servers.end(),
                   [](const ReadCandidate &A, const ReadCandidate &B) {
                     return A.Tier < B.Tier;
                   });
  const bool HasServer =
      !Servers.empty() && Servers.front().Tier != ReadTier::LeftOut;
  if (!Into.NeedsPrimary && !HasServer)
    Into.Refusal = RouteRefusal::NoServer;
  for (ReadCandidate &C : Servers)
    Into.Candidates.push_back(
        explainCandidate(std::move(C), Group.beliefs(), Now));
  setWeights(Into.Candidates, Read.Choosers);
}

RouteExplanation RouteExplainer::explain(const RouteQuestion &Asked,
                                         TimePoint Now) const {
  RouteExplanation Out;
  const auto Found = this->Plan.Databases.find(Asked.Database);
  if (Found == this->Plan.Databases.end()) {
    Out.Refusal = RouteRefusal::UnknownDatabase;
    return Out;
  }
  const DatabaseRoute &Route = Found->second;
  Out.Route = Route;
  if (this->Plan.needsWorkspace(Route)) {
    if (this->Plan.Workspaces.count(Asked.Of) == 0) {
      Out.Refusal = RouteRefusal::UnknownWorkspace;
      return Out;
    }
    Out.Of = Asked.Of;
    Out.Quota = this->Known.quota(Out.Of);
  }
  GroupEvidenceView *Group = this->Known.group(Route.Service);
  if (!Group) {
    Out.Refusal = RouteRefusal::NoService;
    return Out;
  }
  if (Asked.Mode == Access::Read) {
    Out.Constraint =
        chooseConstraint(Route, Group->floorFor(Route), std::nullopt);
    Out.FloorAge = Group->floorAge();
  }
  if (ForwarderDirectory *Forwarders = this->Known.forwarders()) {
    const bool HasFloor =
        Asked.Mode == Access::Read && Out.Constraint.Floor.has_value();
    Out.Place = choosePlace(
        *Forwarders,
        homeQuery(Group->beliefs(), Route.Service, Out.Of, HasFloor),
        HasFloor && Group->isOversubscribed());
  }
  this->explainServer(Asked, *Group, Now, Out);
  // The quota is asked first.
  if (Out.Quota && Out.Quota->Next == QuotaVerdict::Refused)
    Out.Refusal = RouteRefusal::OverQuota;
  return Out;
}

} // namespace amaranthspur
