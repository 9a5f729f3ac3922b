// Scenario `replica-reads`: callers in both regions read data with a bounded
// staleness.
#include "bench/Failure.h"
#include "bench/Statistics.h"
#include "bench/TestEnvironment.h"

namespace amaranthspur::bench {
namespace {

constexpr unsigned SessionsPerPlace = 8;
constexpr Duration ThinkTime = milliseconds(15);
constexpr unsigned ReplicationLagMs = 20;
constexpr Duration CounterTimeout = std::chrono::seconds(1);
/// Time reserved for the check and the shutdown.
constexpr Duration ReservedTime = milliseconds(2500);

/// Number of statements that the servers of each role have run.
struct ServedCounts {
  double Primary = 0;
  double Replicas = 0;
};

LoadPlan makePlan(const RunSettings &Settings, const Deployment &Target,
                  unsigned Reads, unsigned Writes, Duration Length) {
  CallerLoad Load;
  // The default class of this caller is assignment, which tolerates a staleness
  // of 1 s.
  Load.Caller = CallerName("handset");
  Load.Service = ServiceName("ledger");
  Load.ThinkTime = ThinkTime;
  Load.Mix = mixOf(Reads, Writes, 0, 0, 0);
  LoadPlan Plan;
  Plan.Callers = spreadCallers(Target, Load, SessionsPerPlace);
  Plan.Length = Length;
  Plan.Seed = Settings.Seed;
  return Plan;
}

QCoro::Task<ServedCounts> servedCounts(Deployment &Target) {
  ServedCounts Sum;
  const std::string Service = Target.spec().Services.front();
  const auto Primary = co_await Target.primaryOf(Service);
  for (std::size_t I = 0; I < Target.servers().size(); ++I) {
    auto Row = co_await queryRow(Target.servers()[I].DirectAddress, Service,
                                 "SELECT * FROM group_counters()",
                                 steadyNow() + CounterTimeout);
    if (!succeeded(Row))
      continue;
    const double Count = std::atof(valueOf(Row)["statements"].c_str());
    (Primary && *Primary == I ? Sum.Primary : Sum.Replicas) += Count;
  }
  co_return Sum;
}

bool isAnsweredRead(const Operation &Op) {
  return Op.Kind == OperationKind::Read &&
         Op.Outcome == OperationOutcome::Acknowledged;
}

bool isWrite(const Operation &Op) { return writesRows(Op.Kind); }

} // namespace

QCoro::Task<Result<RunReport>> runReplicaReads(RunSettings Settings) {
  DeploymentSpec Spec = makeDeployment(DeploymentKind::Association);
  Spec.ReplicationLagMs = ReplicationLagMs;
  TestEnvironment Env(Settings, std::move(Spec));
  const Result<Success> Started = co_await Env.start();
  if (!succeeded(Started))
    co_return makeError(errorOf(Started));
  Deployment &Target = Env.deployment();
  const Duration Slice = (Env.timeLeft() - ReservedTime) / 4;

  // The control traffic is measured without load and subtracted from the bytes
  // of the reads.
  const std::uint64_t BytesAtStart = co_await Target.links().crossRegionBytes();
  co_await sleepFor(Slice);
  const std::uint64_t BytesBeforeReads =
      co_await Target.links().crossRegionBytes();
  LoadClient &Reads = Env.addLoad(makePlan(Settings, Target, 1, 0, Slice));
  const TimePoint From = steadyNow();
  co_await Reads.run();
  const Duration Elapsed = steadyNow() - From;
  const std::uint64_t BytesAfterReads =
      co_await Target.links().crossRegionBytes();

  const ServedCounts Before = co_await servedCounts(Target);
  LoadClient &Mixed = Env.addLoad(makePlan(Settings, Target, 9, 1, 2 * Slice));
  co_await Mixed.run();
  const ServedCounts After = co_await servedCounts(Target);

  const double IdleBytes =
      static_cast<double>(BytesBeforeReads - BytesAtStart) *
      (toMilliseconds(Elapsed) / toMilliseconds(Slice));
  const double ReadBytes =
      static_cast<double>(BytesAfterReads - BytesBeforeReads) - IdleBytes;
  const auto ReadCount =
      static_cast<double>(countOf(Reads.history(), isAnsweredRead));
  const double Replica = After.Replicas - Before.Replicas;
  const double Primary = After.Primary - Before.Primary -
                         static_cast<double>(countOf(Mixed.history(), isWrite));
  const auto Violations = co_await Env.check();
  if (!succeeded(Violations))
    co_return makeError(errorOf(Violations));
  violationsJson(valueOf(Violations));
  RunReport Report;
  Report.Figures["replica_share"] =
      Replica > 0 ? Replica / (Replica + std::max(Primary, 0.0)) : 0;
  Report.Figures["cross_region_bytes_per_read"] =
      ReadCount > 0 ? std::max(ReadBytes, 0.0) / ReadCount : 0;
  Report.Runs.push_back(Env.plot("replica-reads"));
  co_await Target.stop();
  co_return std::move(Report);
}

} // namespace amaranthspur::bench
