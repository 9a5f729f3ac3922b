// `amaranthspur-bench soak`: real daemons, stand-ins for the platform and the
// servers, faults from outside, and a judge.
#ifndef AMARANTHSPUR_BENCH_SOAK_SOAK_H
#define AMARANTHSPUR_BENCH_SOAK_SOAK_H

#include <QCoroTask>

#include <cstdint>
#include <string>

namespace amaranthspur::bench::soak {

/// The options of a soak.
struct SoakSettings {
  std::uint64_t Seed = 1;
  unsigned Seconds = 25;    ///< Of faults and load; start and end come on top.
  std::string Daemon;       ///< Path of the daemon; empty: of this build.
  std::string DeployFile;   ///< Empty: `deploy/system.toml` of the sources.
  std::string LogDirectory; ///< Existing directory; empty: no logs.
};

/// Exit codes.
inline constexpr int NoViolation = 0;
inline constexpr int ViolationFound = 1;
inline constexpr int CannotRun = 2;

/// Runs a soak and prints each violation and a summary.
/// \returns one of the exit codes.
QCoro::Task<int> runSoak(SoakSettings Settings);

} // namespace amaranthspur::bench::soak

#endif // AMARANTHSPUR_BENCH_SOAK_SOAK_H
