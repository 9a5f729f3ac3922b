// Scenario `control-cost`: the resource usage of an idle entry VM by the number
// of its peers.
#include "bench/Failure.h"
#include "bench/TestEnvironment.h"

#include <QJsonArray>

namespace amaranthspur::bench {
namespace {

constexpr unsigned PeerCounts[] = {3, 7, 15, 30};
/// Time for the members to discover each other, which is excluded from the
/// measurement.
constexpr Duration WarmupTime = milliseconds(1000);
/// Shortest measurement, also when the run has less time left.
constexpr Duration MinMeasureTime = milliseconds(1500);
/// Time reserved for the shutdown of one deployment.
constexpr Duration ShutdownTime = milliseconds(500);

/// Resource usage of the measured entry VM with Peers peers.
struct NodeCost {
  double Peers = 0;
  double CorePercent = 0;
  double ResidentMb = 0;
  double BytesPerSecond = 0;
};

DeploymentSpec specFor(unsigned Peers) {
  DeploymentSpec Spec = makeDeployment(DeploymentKind::Engravers);
  const unsigned NodeCount = Peers + 1;
  const unsigned Third = NodeCount / 3;
  Spec.EntryVms = {NodeCount - 2 * Third, Third, Third};
  Spec.FirstEntryVmHasOwnPrefix = true;
  return Spec;
}

/// Returns the least-squares slope of \p Field over the number of peers.
double slopeOf(const std::vector<NodeCost> &Costs, double NodeCost::*Field) {
  double MeanX = 0;
  double MeanY = 0;
  for (const NodeCost &Cost : Costs) {
    MeanX += Cost.Peers / static_cast<double>(Costs.size());
    MeanY += Cost.*Field / static_cast<double>(Costs.size());
  }
  double Covariance = 0;
  double Variance = 0;
  for (const NodeCost &Cost : Costs) {
    Covariance += (Cost.Peers - MeanX) * (Cost.*Field - MeanY);
    Variance += (Cost.Peers - MeanX) * (Cost.Peers - MeanX);
  }
  return Variance > 0 ? Covariance / Variance : 0;
}

QCoro::Task<Result<NodeCost>> measure(RunSettings Settings, unsigned Peers) {
  TestEnvironment Env(Settings, specFor(Peers));
  const Result<Success> Started = co_await Env.start();
  if (!succeeded(Started))
    co_return makeError(errorOf(Started));
  co_await sleepFor(WarmupTime);
  Deployment &Target = Env.deployment();
  EntryNode &Node = Target.entries().front();
  const TimePoint From = steadyNow();
  const double CpuBefore = Node.Process->usage().CpuSeconds;
  const std::uint64_t BytesBefore =
      co_await Target.links().nodeBytes(FirstEntryVmPrefix, Node.Id.str());
  co_await sleepFor(std::max(Env.timeLeft() - ShutdownTime, MinMeasureTime));
  const std::uint64_t BytesAfter =
      co_await Target.links().nodeBytes(FirstEntryVmPrefix, Node.Id.str());
  const ProcessUsage After = Node.Process->usage();
  const double Seconds = toMilliseconds(steadyNow() - From) / 1000;
  NodeCost Cost;
  Cost.Peers = Peers;
  Cost.CorePercent = (After.CpuSeconds - CpuBefore) / Seconds * 100;
  Cost.ResidentMb = static_cast<double>(After.ResidentBytes) / 1e6;
  Cost.BytesPerSecond = static_cast<double>(BytesAfter - BytesBefore) / Seconds;
  co_await Target.stop();
  co_return Cost;
}

} // namespace

QCoro::Task<Result<RunReport>> runControlCost(RunSettings Settings) {
  std::vector<NodeCost> Costs;
  RunSettings RunShare = Settings;
  RunShare.Length = Settings.Length / std::size(PeerCounts);
  for (const unsigned Peers : PeerCounts) {
    const auto Cost = co_await measure(RunShare, Peers);
    if (!succeeded(Cost))
      co_return makeError(errorOf(Cost));
    Costs.push_back(valueOf(Cost));
  }
  RunReport Report;
  QJsonArray List;
  for (const NodeCost &Cost : Costs) {
    QJsonObject Entry;
    Entry["peers"] = Cost.Peers;
    Entry["core_percent"] = Cost.CorePercent;
    Entry["resident_mb"] = Cost.ResidentMb;
    Entry["bytes_per_second"] = Cost.BytesPerSecond;
    List.append(Entry);
  }
  Report.Figures["by_peers"] = List;
  Report.Figures["slope_core_percent"] = slopeOf(Costs, &NodeCost::CorePercent);
  Report.Figures["slope_resident_mb"] = slopeOf(Costs, &NodeCost::ResidentMb);
  Report.Figures["slope_bytes_per_second"] =
      slopeOf(Costs, &NodeCost::BytesPerSecond);
  co_return std::move(Report);
}

} // namespace amaranthspur::bench
