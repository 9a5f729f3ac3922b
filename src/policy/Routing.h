// Where a statement goes, and whether a server may answer a read.
#ifndef AMARANTHSPUR_POLICY_ROUTING_H
#define AMARANTHSPUR_POLICY_ROUTING_H

#include "core/Outcome.h"
#include "policy/Configuration.h"
#include "policy/GroupView.h"

#include <memory>
#include <set>
#include <variant>

namespace amaranthspur {

/// What routing needs to know of one statement.
struct RouteRequest {
  Access Wants = Access::Write;
  LogPosition Floor;           ///< The answer must not be older than this.
  Duration MaxStaleness{};     ///< 0: only the primary's state will do.
  DataCentre From;             ///< Where the entry VM is.
  std::set<ServerId> Excluded; ///< Have refused this statement already.
  Duration Waited{};           ///< Time that RouteWait has taken so far.
};

/// Send the statement to this server.
struct RouteToServer {
  ServerId Server;
  ServerRole As = ServerRole::Primary;
};

/// Ask again after a change of the view, at the latest after Delay.
struct RouteWait {
  Duration Delay{};
};

using Route = std::variant<RouteToServer, RouteWait, Refusal>;

/// Chooses servers for statements. Linear in the servers of the service.
class Routing {
public:
  virtual ~Routing() = default;

  /// Returns where \p Request goes under \p View.
  virtual Route route(const RouteRequest &Request, const GroupView &View,
                      const ServiceConfig &Service, const Configuration &Config,
                      TimePoint Now) const = 0;
};

/// Longest time in all that a read waits for a replica of its region.
inline constexpr Duration MaxCatchUpWait = milliseconds(50);

/// Reads go to the nearest replica that is young enough, else to the primary;
/// writes go to the primary. A server of the caller's region goes before one of
/// another region, and a replica before the primary.
///
/// A replica whose last known position is below the floor is chosen only if no
/// replica of the same distance is known to be past it: the view lags, and the
/// owner of the replica checks the floor against what the server reports.
std::unique_ptr<Routing> makeNearestReplicaRouting();

/// The naive routing: everything goes to the primary.
std::unique_ptr<Routing> makePrimaryOnlyRouting();

/// Like the nearest replica, but ignores the session's floor. Broken on
/// purpose, to prove that the history checker finds it.
std::unique_ptr<Routing> makeTokenIgnoringRouting();

} // namespace amaranthspur

#endif // AMARANTHSPUR_POLICY_ROUTING_H
