// The operator's configuration and the servers' registrations, decoded.
//
// Both documents have names that say little: `host` is the name of a database,
// `route-type` the consistency of its reads, `max-conns` a limit for all
// callers together, `sequence` counts a server's writes and orders nothing
// across a restart, for which `born` stands.
#ifndef AMARANTHSPUR_PLATFORM_DOCUMENTS_H
#define AMARANTHSPUR_PLATFORM_DOCUMENTS_H

#include "core/Result.h"
#include "platform/Platform.h"
#include "policy/AccessPlan.h"

namespace amaranthspur {

/// Key of the operator's row that holds the configuration.
inline constexpr std::string_view PlanKey = "config";

/// Decodes the configuration. Databases whose entry is malformed are an error,
/// since serving a part of a configuration would drop databases silently.
Result<AccessPlan> decodePlan(const std::string &Document);

/// Decodes the registration of a server. An entry with fields missing or of
/// another type, or of a state that is not known, is an error: it names no
/// server to use.
Result<RegisteredServer> decodeServer(const WatchedRow &Row);

} // namespace amaranthspur

#endif // AMARANTHSPUR_PLATFORM_DOCUMENTS_H
