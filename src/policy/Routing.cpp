#include "policy/Routing.h"

#include <algorithm>
#include <optional>
#include <tuple>

namespace amaranthspur {
namespace {

const ServerConfig *findServer(const ServiceConfig &Service,
                               const ServerId &Id) {
  for (const ServerConfig &Server : Service.Servers)
    if (Server.Id == Id)
      return &Server;
  return nullptr;
}

Duration latencyBetween(const DataCentre &From, const DataCentre &To,
                        const Configuration &Config) {
  if (From == To)
    return Duration::zero();
  const DataCentreConfig *FromConfig = Config.findDataCentre(From);
  if (!FromConfig)
    return Duration::max();
  const auto Found = FromConfig->LatencyTo.find(To);
  return Found == FromConfig->LatencyTo.end() ? Duration::max() : Found->second;
}

bool crossesRegions(const DataCentre &From, const DataCentre &To,
                    const Configuration &Config) {
  if (From == To)
    return false;
  const DataCentreConfig *A = Config.findDataCentre(From);
  const DataCentreConfig *B = Config.findDataCentre(To);
  return !A || !B || A->ContainingRegion != B->ContainingRegion;
}

/// A server that may answer the read, with its sort keys.
struct Candidate {
  ServerId Server;
  ServerRole Role = ServerRole::Replica;
  bool InOtherRegion = false;
  bool BelowFloor = false;
  Duration Latency{};
};

/// Returns whether \p A is preferred to \p B. The region comes first, because
/// traffic between regions is slow and costs money. Replicas come before the
/// primary, because the slots of the primary are needed for writes.
bool isPreferred(const Candidate &A, const Candidate &B) {
  const bool PrimaryA = A.Role == ServerRole::Primary;
  const bool PrimaryB = B.Role == ServerRole::Primary;
  return std::tie(A.InOtherRegion, PrimaryA, A.BelowFloor, A.Latency,
                  A.Server) <
         std::tie(B.InOtherRegion, PrimaryB, B.BelowFloor, B.Latency, B.Server);
}

Route routeToPrimary(const RouteRequest &Request, const GroupView &View) {
  if (!View.Primary)
    return notRun(RefusalReason::NoPrimary);
  if (Request.Excluded.contains(*View.Primary))
    return notRun(RefusalReason::NoPrimary, "the last known primary " +
                                                View.Primary->str() +
                                                " has refused the statement");
  return RouteToServer{*View.Primary, ServerRole::Primary};
}

/// Nearest-replica routing, with or without regard to the floor.
class NearestReplicaRouting final : public Routing {
public:
  explicit NearestReplicaRouting(bool RespectsFloor)
      : RespectsFloor(RespectsFloor) {}

  Route route(const RouteRequest &Request, const GroupView &View,
              const ServiceConfig &Service, const Configuration &Config,
              TimePoint Now) const override {
    if (Request.RequestedAccess == Access::Write ||
        Request.MaxStaleness <= Duration::zero())
      return routeToPrimary(Request, View);

    std::optional<Candidate> Best;
    Duration SmallestExcess = Duration::max();
    for (const ServerView &Server : View.Servers) {
      const ServerConfig *Known = findServer(Service, Server.Id);
      if (!Known || Request.Excluded.contains(Server.Id))
        continue;
      Candidate C = this->candidate(Request, View, Server, *Known, Config);
      if (C.Role == ServerRole::Replica) {
        if (!Server.Reachable || Server.Leaving || Known->Leaving ||
            !Server.Age)
          continue;
        const Duration Age = *Server.Age + (Now - View.Taken);
        if (Age > Request.MaxStaleness) {
          if (!C.InOtherRegion)
            SmallestExcess =
                std::min(SmallestExcess, Age - Request.MaxStaleness);
          continue;
        }
      }
      if (!Best || isPreferred(C, *Best))
        Best = std::move(C);
    }
    if ((!Best || Best->InOtherRegion) && Request.Waited < MaxCatchUpWait &&
        SmallestExcess <= MaxCatchUpWait)
      return RouteWait{MaxCatchUpWait - Request.Waited};
    if (Best)
      return RouteToServer{Best->Server, Best->Role};
    return notRun(RefusalReason::TooStale);
  }

private:
  Candidate candidate(const RouteRequest &Request, const GroupView &View,
                      const ServerView &Server, const ServerConfig &Known,
                      const Configuration &Config) const {
    Candidate C;
    C.Server = Server.Id;
    C.Role =
        View.Primary == Server.Id ? ServerRole::Primary : ServerRole::Replica;
    C.InOtherRegion = crossesRegions(Request.From, Known.Location, Config);
    C.BelowFloor = this->RespectsFloor && Server.Held < Request.Floor;
    C.Latency = latencyBetween(Request.From, Known.Location, Config);
    return C;
  }

  bool RespectsFloor;
};

class PrimaryOnlyRouting final : public Routing {
public:
  Route route(const RouteRequest &Request, const GroupView &View,
              const ServiceConfig &, const Configuration &,
              TimePoint) const override {
    return routeToPrimary(Request, View);
  }
};

} // namespace

std::unique_ptr<Routing> makeNearestReplicaRouting() {
  return std::make_unique<NearestReplicaRouting>(true);
}

std::unique_ptr<Routing> makePrimaryOnlyRouting() {
  return std::make_unique<PrimaryOnlyRouting>();
}

std::unique_ptr<Routing> makeTokenIgnoringRouting() {
  return std::make_unique<NearestReplicaRouting>(false);
}

} // namespace amaranthspur
