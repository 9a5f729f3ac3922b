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
  const DataCentreConfig *Place = Config.findDataCentre(From);
  if (!Place)
    return Duration::max();
  const auto Found = Place->LatencyTo.find(To);
  return Found == Place->LatencyTo.end() ? Duration::max() : Found->second;
}

bool crossesRegions(const DataCentre &From, const DataCentre &To,
                    const Configuration &Config) {
  if (From == To)
    return false;
  const DataCentreConfig *A = Config.findDataCentre(From);
  const DataCentreConfig *B = Config.findDataCentre(To);
  return !A || !B || A->In != B->In;
}

/// A server that may answer the read, with what it is compared by.
struct Candidate {
  ServerId Server;
  ServerRole As = ServerRole::Replica;
  bool FarAway = false;
  bool BelowFloor = false;
  Duration Latency{};
};

/// Returns whether \p A is preferred. The region goes first, since traffic
/// between regions is billed and slow; replicas go before the primary, whose
/// slots are needed for writes.
bool better(const Candidate &A, const Candidate &B) {
  const bool PrimaryA = A.As == ServerRole::Primary;
  const bool PrimaryB = B.As == ServerRole::Primary;
  return std::tie(A.FarAway, PrimaryA, A.BelowFloor, A.Latency, A.Server) <
         std::tie(B.FarAway, PrimaryB, B.BelowFloor, B.Latency, B.Server);
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

/// Shared by the routing that keeps the floor and the one that ignores it.
class NearestReplicaRouting final : public Routing {
public:
  explicit NearestReplicaRouting(bool KeepsFloor) : KeepsFloor(KeepsFloor) {}

  Route route(const RouteRequest &Request, const GroupView &View,
              const ServiceConfig &Service, const Configuration &Config,
              TimePoint Now) const override {
    if (Request.Wants == Access::Write ||
        Request.MaxStaleness <= Duration::zero())
      return routeToPrimary(Request, View);

    std::optional<Candidate> Best;
    Duration ShortestExcess = Duration::max();
    for (const ServerView &Server : View.Servers) {
      const ServerConfig *Known = findServer(Service, Server.Id);
      if (!Known || Request.Excluded.contains(Server.Id))
        continue;
      Candidate C = this->candidate(Request, View, Server, *Known, Config);
      if (C.As == ServerRole::Replica) {
        if (!Server.Reachable || Server.Leaving || Known->Leaving ||
            !Server.Age)
          continue;
        const Duration Age = *Server.Age + (Now - View.Taken);
        if (Age > Request.MaxStaleness) {
          if (!C.FarAway)
            ShortestExcess =
                std::min(ShortestExcess, Age - Request.MaxStaleness);
          continue;
        }
      }
      if (!Best || better(C, *Best))
        Best = std::move(C);
    }
    if ((!Best || Best->FarAway) && Request.Waited < MaxCatchUpWait &&
        ShortestExcess <= MaxCatchUpWait)
      return RouteWait{MaxCatchUpWait - Request.Waited};
    if (Best)
      return RouteToServer{Best->Server, Best->As};
    return notRun(RefusalReason::TooStale);
  }

private:
  Candidate candidate(const RouteRequest &Request, const GroupView &View,
                      const ServerView &Server, const ServerConfig &Known,
                      const Configuration &Config) const {
    Candidate C;
    C.Server = Server.Id;
    C.As =
        View.Primary == Server.Id ? ServerRole::Primary : ServerRole::Replica;
    C.FarAway = crossesRegions(Request.From, Known.Location, Config);
    C.BelowFloor = this->KeepsFloor && Server.Held < Request.Floor;
    C.Latency = latencyBetween(Request.From, Known.Location, Config);
    return C;
  }

  bool KeepsFloor;
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
