// Scenario `overhead`: the cost of one entry VM compared with a direct
// connection, without link latencies.
#include "bench/Failure.h"
#include "bench/Statistics.h"
#include "bench/TestEnvironment.h"

#include <algorithm>

namespace amaranthspur::bench {
namespace {

constexpr unsigned LatencySessions = 4;
constexpr Duration LatencyThinkTime = milliseconds(3);
constexpr unsigned BusySessions = 48;
/// Direct and proxied runs alternate, so that other load on the machine affects
/// both equally.
constexpr unsigned Rounds = 3;
constexpr unsigned IdleConnections = 2000;
constexpr Duration OpenTimeout = std::chrono::seconds(3);

DeploymentSpec oneEntryVm() {
  DeploymentSpec Spec = makeDeployment(DeploymentKind::Engravers);
  Spec.EntryVms = {1, 0, 0};
  Spec.UsesFaultProxy = false;
  return Spec;
}

LoadPlan readPlan(const RunSettings &Settings, EntryPoint To, unsigned Sessions,
                  Duration ThinkTime, Duration Length) {
  CallerLoad Load;
  Load.Caller = CallerName("portal");
  Load.Service = ServiceName("orders");
  Load.Sessions = Sessions;
  Load.ThinkTime = ThinkTime;
  Load.Mix = mixOf(1, 0, 0, 0, 0);
  Load.Entries = {std::move(To)};
  LoadPlan Plan;
  Plan.Callers = {Load};
  Plan.Length = Length;
  Plan.Seed = Settings.Seed;
  return Plan;
}

bool acceptAll(const Operation & /*Op*/) { return true; }

void append(std::vector<double> &To, const std::vector<double> &Values) {
  To.insert(To.end(), Values.begin(), Values.end());
}

/// Opens idle connections and returns the resident memory for each, or -1 if it
/// cannot be measured.
QCoro::Task<double> bytesPerIdleConnection(EntryNode &Node) {
  std::vector<std::unique_ptr<CallerConnection>> Open;
  std::map<std::string, std::string> Parameters;
  Parameters["user"] = "portal";
  Parameters["database"] = "orders";
  const std::uint64_t Before = Node.Process->usage().ResidentBytes;
  for (unsigned I = 0; I < IdleConnections; ++I) {
    auto Opened = co_await CallerConnection::open(
        Node.CallerAddress, {}, Parameters, steadyNow() + OpenTimeout);
    if (!succeeded(Opened))
      break;
    Open.push_back(std::move(valueOf(Opened)));
  }
  const std::uint64_t After = Node.Process->usage().ResidentBytes;
  // With fewer connections than requested the figure for each would be wrong,
  // so -1 reports that there is none.
  if (Open.size() < IdleConnections || After < Before)
    co_return -1.0;
  co_return static_cast<double>(After - Before) / IdleConnections;
}

} // namespace

QCoro::Task<Result<RunReport>> runOverhead(RunSettings Settings) {
  TestEnvironment Env(Settings, oneEntryVm());
  const Result<Success> Started = co_await Env.start();
  if (!succeeded(Started))
    co_return makeError(errorOf(Started));
  const Duration Slice = Env.timeLeft() / (2 * Rounds + 4);
  EntryNode &Node = Env.deployment().entries().front();
  const EntryPoint Proxied{Node.Id.str(), Node.CallerAddress};
  const ServerNode &Server = Env.deployment().servers().front();
  const EntryPoint Direct{Server.Id.str(), Server.DirectAddress};

  std::vector<double> DirectMs;
  std::vector<double> ProxiedMs;
  for (unsigned Round = 0; Round < Rounds; ++Round) {
    LoadClient &First = Env.addLoad(
        readPlan(Settings, Direct, LatencySessions, LatencyThinkTime, Slice));
    co_await First.run();
    append(DirectMs, latenciesMs(First.history(), acceptAll));
    LoadClient &Second = Env.addLoad(
        readPlan(Settings, Proxied, LatencySessions, LatencyThinkTime, Slice));
    co_await Second.run();
    append(ProxiedMs, latenciesMs(Second.history(), acceptAll));
  }

  LoadClient &Busy = Env.addLoad(
      readPlan(Settings, Proxied, BusySessions, Duration::zero(), Slice));
  const double CpuBefore = Node.Process->usage().CpuSeconds;
  co_await Busy.run();
  const double Cpu = Node.Process->usage().CpuSeconds - CpuBefore;
  const auto Answered =
      static_cast<double>(latenciesMs(Busy.history(), acceptAll).size());
  const double IdleBytes = co_await bytesPerIdleConnection(Node);

  RunReport Report;
  QJsonObject &Figures = Report.Figures;
  Figures["direct_p50_ms"] = quantile(DirectMs, 0.5);
  Figures["direct_p99_ms"] = quantile(DirectMs, 0.99);
  Figures["proxied_p50_ms"] = quantile(ProxiedMs, 0.5);
  Figures["proxied_p99_ms"] = quantile(ProxiedMs, 0.99);
  Figures["added_p50_ms"] = quantile(ProxiedMs, 0.5) - quantile(DirectMs, 0.5);
  Figures["statements_per_second_per_core"] = Cpu > 0 ? Answered / Cpu : 0;
  Figures["bytes_per_idle_connection"] = IdleBytes;
  Report.Runs.push_back(Env.plot("overhead"));
  co_await Env.deployment().stop();
  co_return std::move(Report);
}

} // namespace amaranthspur::bench
