// The experiments of the bench, as rows of one table.
//
// A scenario runs once for each policy variant, over the same deployment, load
// and checker code, and gives one JSON object of figures with units in the
// names.
#ifndef AMARANTHSPUR_BENCH_SCENARIO_H
#define AMARANTHSPUR_BENCH_SCENARIO_H

#include "bench/Plot.h"
#include "core/Enums.h"
#include "core/Result.h"

#include <QCoroTask>
#include <QJsonObject>

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace amaranthspur::bench {

/// Which experiment.
enum class ScenarioName {
  Overhead,
  Failover,
  ReplicaReads,
  Crest,
  ShortBehindLong,
  Handover,
  Config,
  ControlCost,
  Faults,
};

/// How one variant of a scenario is run.
struct RunSettings {
  std::uint64_t Seed = 1;
  /// Time for the run with start and end; a scenario adapts its phases to it.
  Duration Length{};
  PolicyVariant Variant = PolicyVariant::Amaranthspur;
  std::string LogDirectory; ///< For the processes' logs; empty: no logs.
};

/// What one run gave.
struct RunReport {
  QJsonObject Figures;
  std::vector<PlotRun> Runs; ///< For the drawing.
};

/// One row of the table.
struct Scenario {
  ScenarioName Name = ScenarioName::Overhead;
  const char *About = "";
  /// Share of the time that the variant amaranthspur gets, to 1 of each other.
  unsigned MainShare = 1;
  QCoro::Task<Result<RunReport>> (*Run)(RunSettings) = nullptr;
};

/// Returns all scenarios.
std::span<const Scenario> scenarios();

// Each function has a source file of its own, named after it.
QCoro::Task<Result<RunReport>> runOverhead(RunSettings Settings);
QCoro::Task<Result<RunReport>> runFailover(RunSettings Settings);
QCoro::Task<Result<RunReport>> runReplicaReads(RunSettings Settings);
QCoro::Task<Result<RunReport>> runCrest(RunSettings Settings);
QCoro::Task<Result<RunReport>> runShortBehindLong(RunSettings Settings);
QCoro::Task<Result<RunReport>> runHandover(RunSettings Settings);
QCoro::Task<Result<RunReport>> runConfig(RunSettings Settings);
QCoro::Task<Result<RunReport>> runControlCost(RunSettings Settings);
QCoro::Task<Result<RunReport>> runFaults(RunSettings Settings);

/// Shows the main properties on a small deployment and prints an account.
/// \returns an error if something did not come out as it should.
QCoro::Task<Result<Success>> runDemo(RunSettings Settings);

} // namespace amaranthspur::bench

namespace amaranthspur {

template <> struct EnumNames<bench::ScenarioName> {
  static constexpr auto Entries =
      std::to_array<std::pair<bench::ScenarioName, std::string_view>>(
          {{bench::ScenarioName::Overhead, "overhead"},
           {bench::ScenarioName::Failover, "failover"},
           {bench::ScenarioName::ReplicaReads, "replica-reads"},
           {bench::ScenarioName::Crest, "crest"},
           {bench::ScenarioName::ShortBehindLong, "short-behind-long"},
           {bench::ScenarioName::Handover, "handover"},
           {bench::ScenarioName::Config, "config"},
           {bench::ScenarioName::ControlCost, "control-cost"},
           {bench::ScenarioName::Faults, "faults"}});
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_BENCH_SCENARIO_H
