// The group_* functions as statements.
#ifndef AMARANTHSPUR_TESTING_FAKE_BACKEND_CONTROLSTATEMENTS_H
#define AMARANTHSPUR_TESTING_FAKE_BACKEND_CONTROLSTATEMENTS_H

#include "testing/fake-backend/ServerState.h"
#include "testing/fake-backend/Statement.h"

namespace amaranthspur::fake {

/// Returns the names of the columns that \p Function gives.
std::vector<std::string> controlColumns(ControlFunction Function);

/// Carries out \p Call; it gives exactly one row.
SqlResult<Effect> runControl(ServerState &Server, const ControlCall &Call,
                             RowSink &Sink);

} // namespace amaranthspur::fake

#endif // AMARANTHSPUR_TESTING_FAKE_BACKEND_CONTROLSTATEMENTS_H
