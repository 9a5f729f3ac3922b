// Scenario `control-cost`: what an idle entry VM costs among its peers.
#include "bench/Failure.h"
#include "bench/Stage.h"

#include <QJsonArray>

namespace amaranthspur::bench {
namespace {

constexpr unsigned PeerCounts[] = {3, 7, 15, 30};
/// The members find each other in this time; it counts for no figure.
constexpr Duration QuietTime = milliseconds(1000);
constexpr Duration LeastTime = milliseconds(1500);
/// Kept for the end of one deployment.
constexpr Duration EndTime = milliseconds(500);

/// Cost of the measured node among Peers others.
struct NodeCost {
  double Peers = 0;
  double CorePercent = 0;
  double ResidentMb = 0;
  double BytesPerSecond = 0;
};

DeploymentSpec specFor(unsigned Peers) {
  DeploymentSpec Spec = makeDeployment(DeploymentKind::Engravers);
  const unsigned All = Peers + 1;
  const unsigned Third = All / 3;
  Spec.EntryVms = {All - 2 * Third, Third, Third};
  Spec.FirstEntryApart = true;
  return Spec;
}

/// Returns the slope of \p Field over the number of peers by least squares.
double slopeOf(const std::vector<NodeCost> &Costs, double NodeCost::*Field) {
  double MeanX = 0;
  double MeanY = 0;
  for (const NodeCost &Cost : Costs) {
    MeanX += Cost.Peers / static_cast<double>(Costs.size());
    MeanY += Cost.*Field / static_cast<double>(Costs.size());
  }
  double Above = 0;
  double Below = 0;
  for (const NodeCost &Cost : Costs) {
    Above += (Cost.Peers - MeanX) * (Cost.*Field - MeanY);
    Below += (Cost.Peers - MeanX) * (Cost.Peers - MeanX);
  }
  return Below > 0 ? Above / Below : 0;
}

QCoro::Task<Result<NodeCost>> measure(RunSettings Settings, unsigned Peers) {
  Stage Scene(Settings, specFor(Peers));
  const Result<Success> Started = co_await Scene.start();
  if (!succeeded(Started))
    co_return failed(errorOf(Started));
  co_await sleepFor(QuietTime);
  Deployment &Over = Scene.deployment();
  EntryNode &Node = Over.entries().front();
  const TimePoint From = steadyNow();
  const double CpuBefore = Node.Process->usage().CpuSeconds;
  const std::uint64_t BytesBefore =
      co_await Over.links().nodeBytes(ApartPrefix, Node.Id.str());
  co_await sleepFor(std::max(Scene.left() - EndTime, LeastTime));
  const std::uint64_t BytesAfter =
      co_await Over.links().nodeBytes(ApartPrefix, Node.Id.str());
  const ProcessUsage After = Node.Process->usage();
  const double Seconds = toMilliseconds(steadyNow() - From) / 1000;
  NodeCost Cost;
  Cost.Peers = Peers;
  Cost.CorePercent = (After.CpuSeconds - CpuBefore) / Seconds * 100;
  Cost.ResidentMb = static_cast<double>(After.ResidentBytes) / 1e6;
  Cost.BytesPerSecond = static_cast<double>(BytesAfter - BytesBefore) / Seconds;
  co_await Over.stop();
  co_return Cost;
}

} // namespace

QCoro::Task<Result<RunReport>> runControlCost(RunSettings Settings) {
  std::vector<NodeCost> Costs;
  RunSettings Each = Settings;
  Each.Length = Settings.Length / std::size(PeerCounts);
  for (const unsigned Peers : PeerCounts) {
    const auto Cost = co_await measure(Each, Peers);
    if (!succeeded(Cost))
      co_return failed(errorOf(Cost));
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
