// Scenario `replica-reads`: callers in both regions read data of a stated age.
#include "bench/Failure.h"
#include "bench/Stage.h"
#include "bench/Statistics.h"

namespace amaranthspur::bench {
namespace {

constexpr unsigned SessionsPerPlace = 8;
constexpr Duration ThinkTime = milliseconds(15);
constexpr unsigned ReplicationLagMs = 20;
constexpr Duration CounterTimeout = std::chrono::seconds(1);
/// Kept for the check and the end.
constexpr Duration Reserve = milliseconds(2500);

/// Statements that the servers of each role have run.
struct ServedCounts {
  double Primary = 0;
  double Replicas = 0;
};

LoadPlan makePlan(const RunSettings &Settings, const Deployment &Over,
                  unsigned Reads, unsigned Writes, Duration Length) {
  CallerLoad Load;
  Load.Caller = CallerName("handset"); // Class assignment: tolerates 1 s.
  Load.Service = ServiceName("ledger");
  Load.ThinkTime = ThinkTime;
  Load.Mix = mixOf(Reads, Writes, 0, 0, 0);
  LoadPlan Plan;
  Plan.Callers = spreadCallers(Over, Load, SessionsPerPlace);
  Plan.Length = Length;
  Plan.Seed = Settings.Seed;
  return Plan;
}

QCoro::Task<ServedCounts> servedCounts(Deployment &Over) {
  ServedCounts Sum;
  const std::string Service = Over.spec().Services.front();
  const auto Primary = co_await Over.primaryOf(Service);
  for (std::size_t I = 0; I < Over.servers().size(); ++I) {
    auto Row = co_await askRow(Over.servers()[I].Direct, Service,
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
  return Op.Kind == OperationKind::Read && Op.End == OperationEnd::Acknowledged;
}

bool isWrite(const Operation &Op) { return writesRows(Op.Kind); }

} // namespace

QCoro::Task<Result<RunReport>> runReplicaReads(RunSettings Settings) {
  DeploymentSpec Spec = makeDeployment(DeploymentKind::Association);
  Spec.ReplicationLagMs = ReplicationLagMs;
  Stage Scene(Settings, std::move(Spec));
  const Result<Success> Started = co_await Scene.start();
  if (!succeeded(Started))
    co_return failed(errorOf(Started));
  Deployment &Over = Scene.deployment();
  const Duration Slice = (Scene.left() - Reserve) / 4;

  // The control traffic that flows anyway is taken off the reads' bytes.
  const std::uint64_t Bytes0 = co_await Over.links().crossRegionBytes();
  co_await sleepFor(Slice);
  const std::uint64_t Bytes1 = co_await Over.links().crossRegionBytes();
  LoadClient &Reads = Scene.addLoad(makePlan(Settings, Over, 1, 0, Slice));
  const TimePoint From = steadyNow();
  co_await Reads.run();
  const Duration Took = steadyNow() - From;
  const std::uint64_t Bytes2 = co_await Over.links().crossRegionBytes();

  const ServedCounts Before = co_await servedCounts(Over);
  LoadClient &Mixed = Scene.addLoad(makePlan(Settings, Over, 9, 1, 2 * Slice));
  co_await Mixed.run();
  const ServedCounts After = co_await servedCounts(Over);

  const double IdleBytes = static_cast<double>(Bytes1 - Bytes0) *
                           (toMilliseconds(Took) / toMilliseconds(Slice));
  const double ReadBytes = static_cast<double>(Bytes2 - Bytes1) - IdleBytes;
  const auto ReadCount =
      static_cast<double>(countOf(Reads.history(), isAnsweredRead));
  const double Replica = After.Replicas - Before.Replicas;
  const double Primary = After.Primary - Before.Primary -
                         static_cast<double>(countOf(Mixed.history(), isWrite));
  const auto Broken = co_await Scene.check();
  if (!succeeded(Broken))
    co_return failed(errorOf(Broken));
  violationsJson(valueOf(Broken));
  RunReport Report;
  Report.Figures["replica_share"] =
      Replica > 0 ? Replica / (Replica + std::max(Primary, 0.0)) : 0;
  Report.Figures["cross_region_bytes_per_read"] =
      ReadCount > 0 ? std::max(ReadBytes, 0.0) / ReadCount : 0;
  Report.Runs.push_back(Scene.plot("replica-reads"));
  co_await Over.stop();
  co_return std::move(Report);
}

} // namespace amaranthspur::bench
