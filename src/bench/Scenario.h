// The scenarios of the bench and the table that lists them.
//
// A scenario runs once for each policy variant with the same deployment, load
// and checker code, and reports one JSON object of figures whose names contain
// their units.
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

/// Identifies a scenario.
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

/// The settings of one scenario run with one policy variant.
struct RunSettings {
  std::uint64_t Seed = 1;
  /// Duration of the run including start and shutdown. A scenario scales its
  /// phases to it.
  Duration Length{};
  PolicyVariant Variant = PolicyVariant::Amaranthspur;
  std::string LogDirectory; ///< For the processes' logs; empty: no logs.
};

/// The results of one run.
struct RunReport {
  QJsonObject Figures;
  std::vector<PlotRun> Runs; ///< Data of the plot.
};

/// One row of the scenario table.
struct Scenario {
  ScenarioName Name = ScenarioName::Overhead;
  const char *Summary = "";
  /// Share of the total time for the variant amaranthspur; each other variant
  /// has a share of 1.
  unsigned MainVariantShare = 1;
  QCoro::Task<Result<RunReport>> (*Run)(RunSettings) = nullptr;
};

/// Returns all scenarios.
std::span<const Scenario> scenarios();

// Each scenario is implemented in a source file of the same name.
QCoro::Task<Result<RunReport>> runOverhead(RunSettings Settings);
QCoro::Task<Result<RunReport>> runFailover(RunSettings Settings);
QCoro::Task<Result<RunReport>> runReplicaReads(RunSettings Settings);
QCoro::Task<Result<RunReport>> runCrest(RunSettings Settings);
QCoro::Task<Result<RunReport>> runShortBehindLong(RunSettings Settings);
QCoro::Task<Result<RunReport>> runHandover(RunSettings Settings);
QCoro::Task<Result<RunReport>> runConfig(RunSettings Settings);
QCoro::Task<Result<RunReport>> runControlCost(RunSettings Settings);
QCoro::Task<Result<RunReport>> runFaults(RunSettings Settings);

/// Demonstrates the main properties on a small deployment and prints each step.
/// \returns an error if a step does not have the expected result.
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
