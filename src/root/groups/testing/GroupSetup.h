// What the tests of a group tell it before they begin.
#ifndef AMARANTHSPUR_ROOT_GROUPS_TESTING_GROUPSETUP_H
#define AMARANTHSPUR_ROOT_GROUPS_TESTING_GROUPSETUP_H

#include "core/BootClock.h"
#include "root/groups/Group.h"
#include "testing/line-group/LineGroup.h"

namespace amaranthspur {

/// Configures \p Of with the servers of \p Servers.
inline void configureGroup(Group &Of, const linegroup::LineGroup &Servers) {
  ServiceLimits Limits;
  Limits.MaxConnections = 33;
  Limits.SyncReplicas = 1;
  Of.configure(Limits, Servers.registrations());
}

/// Reports to \p Of that \p Id leads term \p T, as a status call would.
/// \param End of its log.
inline void reportPrimary(Group &Of, const char *Id, Term T,
                          LogPosition End = {}) {
  ServerReport Report;
  Report.Role = ServerRole::Primary;
  Report.TermNumber = Report.AdoptedTerm = T;
  Report.Received = End;
  Of.observeReport(ServerId(Id), Report, bootNow());
}

} // namespace amaranthspur

#endif // AMARANTHSPUR_ROOT_GROUPS_TESTING_GROUPSETUP_H
