// Decoders of the operator's configuration and of server registrations.
//
// Several field names of these JSON documents do not say what they hold: `host`
// is the name of a database, `route-type` is the consistency of its reads, and
// `max-conns` limits the connections of all callers together. `sequence` counts
// the writes of a server and cannot order events across its restarts. `born`
// is the start time of a server and tells its restarts apart. `tenants` are the
// workspaces, and `api-keys` are their access keys.
#ifndef AMARANTHSPUR_PLATFORM_DOCUMENTS_H
#define AMARANTHSPUR_PLATFORM_DOCUMENTS_H

#include "core/Result.h"
#include "platform/Platform.h"
#include "policy/AccessPlan.h"

namespace amaranthspur {

/// Key of the row in the operator's table that holds the configuration.
inline constexpr std::string_view PlanKey = "config";

/// Decodes the configuration. A single malformed entry makes the whole document
/// an error, since applying part of a configuration would silently drop
/// databases or workspaces. Error texts contain no access key.
Result<AccessPlan> decodePlan(const std::string &Document);

/// Decodes the registration of a server. A row with a missing field, a field of
/// the wrong type or an unknown state is an error, and no server is taken from
/// it.
Result<RegisteredServer> decodeServer(const WatchedRow &Row);

} // namespace amaranthspur

#endif // AMARANTHSPUR_PLATFORM_DOCUMENTS_H
