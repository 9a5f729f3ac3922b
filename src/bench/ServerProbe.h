// Queries that the bench sends directly to a backend server, without going
// through a fault-proxy.
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

/// The replication status that a backend server reports.
struct ServerReport {
  ServerRole Role = ServerRole::Replica;
  Term AdoptedTerm = 0;
  LogPosition LogEnd;
};

/// Queries `group_status()` of the server at \p At.
QCoro::Task<Result<ServerReport>> queryStatus(Address At, std::string Service,
                                              TimePoint Deadline);

/// Runs \p Sql on the server at \p At and returns the first row as a map from
/// column names to text.
QCoro::Task<Result<std::map<std::string, std::string>>>
queryRow(Address At, std::string Service, std::string Sql, TimePoint Deadline);

/// Runs \p Statements in order on the server at \p At.
QCoro::Task<Result<Success>> runStatements(Address At, std::string Service,
                                           std::vector<std::string> Statements,
                                           TimePoint Deadline);

/// Reads all rows of the workload from the server at \p At.
QCoro::Task<Result<std::vector<FinalRow>>>
readFinalRows(Address At, std::string Service, TimePoint Deadline);

} // namespace amaranthspur::bench

#endif // AMARANTHSPUR_BENCH_SERVERPROBE_H
