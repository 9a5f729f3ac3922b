// Which registrations name servers that still run.
#ifndef AMARANTHSPUR_POLICY_REGISTRATIONS_H
#define AMARANTHSPUR_POLICY_REGISTRATIONS_H

#include "policy/AccessPlan.h"

#include <vector>

namespace amaranthspur {

/// Returns \p Servers without those whose address has been taken over by a
/// server with a later start. A server that crashed may start again under
/// another id, or another server may use its address; the registration of the
/// former one stays until it expires. Takes time O(n log n).
std::vector<RegisteredServer>
withoutReplaced(const std::vector<RegisteredServer> &Servers);

} // namespace amaranthspur

#endif // AMARANTHSPUR_POLICY_REGISTRATIONS_H
