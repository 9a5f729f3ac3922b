// The deployments that a benchmark run can use (docs/design.md, section 1.1).
#ifndef AMARANTHSPUR_BENCH_DEPLOYMENTSPEC_H
#define AMARANTHSPUR_BENCH_DEPLOYMENTSPEC_H

#include "core/Clock.h"
#include "core/Enums.h"

#include <QJsonObject>

#include <string>
#include <vector>

namespace amaranthspur::bench {

/// The deployments of the two known users.
enum class DeploymentKind { Engravers, Association };

/// A data centre. Its addresses are 127.0.<index + 1>.*, where the index is its
/// position in DeploymentSpec::DataCentres.
struct DataCentreSpec {
  DataCentre Name;
  Region HomeRegion;
};

/// A class of work; every service has all of them.
struct ClassSpec {
  std::string Name;
  unsigned DeadlineMs = 2000;
  unsigned ExpectedLengthMs = 5;
  unsigned MaxStalenessMs = 0;
};

/// A caller; every service has all of them.
struct CallerSpec {
  std::string Name;
  unsigned Weight = 1;
  std::string DefaultClass;
};

/// The processes to start and their parameters. Latencies are one-way.
struct DeploymentSpec {
  std::vector<DataCentreSpec> DataCentres;
  Duration WithinRegion{};
  Duration BetweenRegions{};
  Duration ToClients{};
  unsigned RegionLinkKbit = 30000;
  std::vector<std::string> Services;
  unsigned Slots = 5;
  unsigned ConnectionLimit = 30;
  unsigned ConnectDelayMs = 12;
  unsigned ReplicationLagMs = 0;
  std::vector<ClassSpec> Classes;
  std::vector<CallerSpec> Callers;
  /// The number of entry VMs of each data centre, in the order of DataCentres.
  std::vector<unsigned> EntryVms;
  PolicyVariant Variant = PolicyVariant::Amaranthspur;
  /// Whether links go through fault-proxies, which give them their latencies;
  /// if false, no fault-proxy is started.
  bool UsesFaultProxy = true;
  /// Gives the first entry VM an address with the separate prefix
  /// FirstEntryVmPrefix, so that the fault-proxies count its bytes separately.
  /// Its links have no latency.
  bool FirstEntryVmHasOwnPrefix = false;
  /// The directory for the logs of the processes; empty for no logs.
  std::string LogDirectory;
};

/// The address prefix of the first entry VM if
/// DeploymentSpec::FirstEntryVmHasOwnPrefix is set.
inline const std::string FirstEntryVmPrefix = "127.0.100.";

/// Returns the deployment \p Kind with one service and seven entry VMs.
DeploymentSpec makeDeployment(DeploymentKind Kind);

/// Returns the one-way latency between two data centres, given by index.
Duration latencyBetween(const DeploymentSpec &Spec, std::size_t From,
                        std::size_t To);

/// The questionnaire's entry for one backend server.
struct ServerQuestionnaireEntry {
  std::string Service;
  std::string Id;
  std::string Host;
  std::uint16_t Port = 0;
  DataCentre Location;
};

/// Returns the answers to the operators' questionnaire for \p Spec with
/// \p Servers, as JSON of src/config/questionnaire.proto.
QJsonObject questionnaire(const DeploymentSpec &Spec,
                          const std::vector<ServerQuestionnaireEntry> &Servers);

} // namespace amaranthspur::bench

namespace amaranthspur {

template <> struct EnumNames<bench::DeploymentKind> {
  static constexpr auto Entries =
      std::to_array<std::pair<bench::DeploymentKind, std::string_view>>(
          {{bench::DeploymentKind::Engravers, "engravers"},
           {bench::DeploymentKind::Association, "association"}});
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_BENCH_DEPLOYMENTSPEC_H
