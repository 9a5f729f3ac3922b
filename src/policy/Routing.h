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

/// Reads go to the nearest server that is at or past the floor and young
/// enough, else to the primary; writes go to the primary.
std::unique_ptr<Routing> makeNearestReplicaRouting();

/// The naive routing: everything goes to the primary.
std::unique_ptr<Routing> makePrimaryOnlyRouting();

/// Like the nearest replica, but ignores the session's floor. Broken on
/// purpose, to prove that the history checker finds it.
std::unique_ptr<Routing> makeTokenIgnoringRouting();

} // namespace amaranthspur

#endif // AMARANTHSPUR_POLICY_ROUTING_H
