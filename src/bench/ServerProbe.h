// Questions that the bench asks a backend server directly, past all faults.
#ifndef AMARANTHSPUR_BENCH_SERVERPROBE_H
#define AMARANTHSPUR_BENCH_SERVERPROBE_H

#include "bench/History.h"
#include "core/Result.h"
#include "core/Types.h"
#include "wire/Connection.h"

#include <QCoroTask>

#include <map>
#include <string>
#include <vector>

namespace amaranthspur::bench {

/// What a backend server says of itself.
struct ServerReport {
  ServerRole Role = ServerRole::Replica;
  Term AdoptedTerm = 0;
  LogPosition LogEnd;
};

/// Asks the server at \p At for `group_status()`.
QCoro::Task<Result<ServerReport>> askStatus(Address At, std::string Service,
                                            TimePoint Deadline);

/// Runs \p Sql and returns the first row, as text by column name.
QCoro::Task<Result<std::map<std::string, std::string>>>
askRow(Address At, std::string Service, std::string Sql, TimePoint Deadline);

/// Runs \p Statements one after the other on the server at \p At.
QCoro::Task<Result<Success>> runDirect(Address At, std::string Service,
                                       std::vector<std::string> Statements,
                                       TimePoint Deadline);

/// Reads all rows of the workload from the server at \p At.
QCoro::Task<Result<std::vector<FinalRow>>>
readFinalRows(Address At, std::string Service, TimePoint Deadline);

} // namespace amaranthspur::bench

#endif // AMARANTHSPUR_BENCH_SERVERPROBE_H
