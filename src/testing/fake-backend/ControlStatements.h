// Execution of the group_* control functions.
#ifndef AMARANTHSPUR_TESTING_FAKE_BACKEND_CONTROLSTATEMENTS_H
#define AMARANTHSPUR_TESTING_FAKE_BACKEND_CONTROLSTATEMENTS_H

#include "testing/fake-backend/ServerState.h"
#include "testing/fake-backend/Statement.h"

namespace amaranthspur::fake {

/// Returns the column names of the result of \p Function.
std::vector<std::string> controlColumns(ControlFunction Function);

/// Executes \p Call, which returns exactly one row.
SqlResult<ExecutionResult> runControl(ServerState &Server,
                                      const ControlCall &Call, RowSink &Sink);

} // namespace amaranthspur::fake

#endif // AMARANTHSPUR_TESTING_FAKE_BACKEND_CONTROLSTATEMENTS_H
