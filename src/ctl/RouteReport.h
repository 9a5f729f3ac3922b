// Presents the explanation of a route that an entry VM gives.
#ifndef AMARANTHSPUR_CTL_ROUTEREPORT_H
#define AMARANTHSPUR_CTL_ROUTEREPORT_H

#include "ctl/Report.h"

namespace amaranthspur::ctl {

/// Returns the report of \p Answer, the JSON object that an entry VM serves as
/// `/route`. The status is Refused if the statement would be refused.
Report routeReport(const QJsonObject &Answer);

} // namespace amaranthspur::ctl

#endif // AMARANTHSPUR_CTL_ROUTEREPORT_H
