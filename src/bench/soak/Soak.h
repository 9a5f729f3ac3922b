// `amaranthspur-bench soak`: real daemons, stand-ins for the platform and the
// servers, faults from outside, and a judge.
#ifndef AMARANTHSPUR_BENCH_SOAK_SOAK_H
#define AMARANTHSPUR_BENCH_SOAK_SOAK_H

#include "bench/soak/Phases.h"

#include <QCoroTask>

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace amaranthspur::bench::soak {

/// The options of a soak.
struct SoakSettings {
  std::uint64_t Seed = 1;
  unsigned Seconds = 25;    ///< Of faults and load; start and end come on top.
  std::string Daemon;       ///< Path of the daemon; empty: of this build.
  std::string DeployFile;   ///< Empty: `deploy/system.toml` of the sources.
  std::string LogDirectory; ///< Existing directory; empty: no logs.
  std::vector<FaultProfile> Phases; ///< To draw from; empty: all.
};

/// A seed that failed once.
struct RegressionRow {
  std::uint64_t Seed;
  unsigned Seconds;
  std::span<const FaultProfile> Phases;
  const char *Cause;
};

/// Returns the seeds that failed once, with their causes.
std::span<const RegressionRow> regressionRows();

/// Exit codes.
inline constexpr int NoViolation = 0;
inline constexpr int ViolationFound = 1;
inline constexpr int CannotRun = 2;

/// Runs a soak and prints each violation and a summary.
/// \returns one of the exit codes.
QCoro::Task<int> runSoak(SoakSettings Settings);

/// Runs the seeds that failed once, one after the other, with the other options
/// of \p Settings. \returns the largest exit code.
QCoro::Task<int> runRegressions(SoakSettings Settings);

} // namespace amaranthspur::bench::soak

#endif // AMARANTHSPUR_BENCH_SOAK_SOAK_H
