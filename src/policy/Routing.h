// The choice of a server for a statement, with the rules on which servers may
// answer a read.
#ifndef AMARANTHSPUR_POLICY_ROUTING_H
#define AMARANTHSPUR_POLICY_ROUTING_H

#include "core/Refusal.h"
#include "policy/Configuration.h"
#include "policy/GroupView.h"

#include <memory>
#include <set>
#include <variant>

namespace amaranthspur {

/// The properties of one statement that routing depends on.
struct RouteRequest {
  Access RequestedAccess = Access::Write;
  LogPosition Floor;           ///< Lowest log position that the read may see.
  Duration MaxStaleness{};     ///< 0 if only the primary may answer.
  DataCentre From;             ///< Data centre of the entry VM.
  std::set<ServerId> Excluded; ///< Servers that refused this statement.
  Duration Waited{};           ///< Time spent so far on RouteWait.
};

/// The statement goes to this server.
struct RouteToServer {
  ServerId Server;
  ServerRole Role = ServerRole::Primary;
};

/// No server is suitable yet. The caller of route() calls it again when the
/// view changes, at the latest after Delay.
struct RouteWait {
  Duration Delay{};
};

using Route = std::variant<RouteToServer, RouteWait, Refusal>;

/// Chooses servers for statements. Takes time linear in the number of servers
/// of the view, times the number of servers of the service.
class Routing {
public:
  virtual ~Routing() = default;

  /// Returns the route of \p Request in the state \p View of the group.
  virtual Route route(const RouteRequest &Request, const GroupView &View,
                      const ServiceConfig &Service, const Configuration &Config,
                      TimePoint Now) const = 0;
};

/// Longest total time for which a read waits for a replica of its region to
/// catch up.
inline constexpr Duration MaxCatchUpWait = milliseconds(50);

/// Creates a routing that sends a read to the nearest replica whose age is
/// within the staleness bound, otherwise to the primary. Writes go to the
/// primary. A server of the region of the entry VM is preferred to a server of
/// another region, and within a region a replica is preferred to the primary.
///
/// A replica whose last known position is below the floor is still a candidate,
/// ranked after the replicas of the same region that are known to have reached
/// the floor. The view may be outdated; the entry VM that owns the connections
/// to the replica checks the floor against the position that the server
/// reports.
std::unique_ptr<Routing> makeNearestReplicaRouting();

/// Creates the naive routing, the baseline of comparisons: every statement goes
/// to the primary.
std::unique_ptr<Routing> makePrimaryOnlyRouting();

/// Creates a nearest-replica routing that ignores the floor of the session. It
/// is deliberately incorrect and used to verify that the history checker
/// detects the violations.
std::unique_ptr<Routing> makeTokenIgnoringRouting();

} // namespace amaranthspur

#endif // AMARANTHSPUR_POLICY_ROUTING_H
