// The deployments that a run can be on (design, section 1.1).
#ifndef AMARANTHSPUR_BENCH_DEPLOYMENTSPEC_H
#define AMARANTHSPUR_BENCH_DEPLOYMENTSPEC_H

#include "core/Clock.h"
#include "core/Enums.h"

#include <QJsonObject>

#include <string>
#include <vector>

namespace amaranthspur::bench {

/// The two deployments of the users that we know.
enum class DeploymentKind { Engravers, Association };

/// A data centre. Its addresses are 127.0.<index + 1>.*.
struct DataCentreSpec {
  DataCentre Name;
  Region In;
};

/// A class of work of every service.
struct ClassSpec {
  std::string Name;
  unsigned DeadlineMs = 2000;
  unsigned ExpectedLengthMs = 5;
  unsigned MaxStalenessMs = 0;
};

/// A caller of every service.
struct CallerSpec {
  std::string Name;
  unsigned Weight = 1;
  std::string DefaultClass;
};

/// What is started, and with which sizes. Times are one way.
struct DeploymentSpec {
  std::vector<DataCentreSpec> Places;
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
  /// How many entry VMs each data centre has, in the order of Places.
  std::vector<unsigned> EntryVms;
  PolicyVariant Variant = PolicyVariant::Amaranthspur;
  bool Shaped = true; ///< Whether links have latencies; false: no fault-proxy.
  /// Gives the first entry VM an address of its own prefix, ApartPrefix, so
  /// that the fault-proxies count its bytes by themselves. Its links have no
  /// latency.
  bool FirstEntryApart = false;
  std::string LogDirectory; ///< For the processes' logs; empty: no logs.
};

/// See DeploymentSpec::FirstEntryApart.
inline const std::string ApartPrefix = "127.0.100.";

/// Returns the deployment \p Kind with one service and seven entry VMs.
DeploymentSpec makeDeployment(DeploymentKind Kind);

/// Returns the one-way latency between two data centres, by index.
Duration latencyBetween(const DeploymentSpec &Spec, std::size_t From,
                        std::size_t To);

/// One backend server, for the questionnaire.
struct ServerAnswer {
  std::string Service;
  std::string Id;
  std::string Host;
  std::uint16_t Port = 0;
  DataCentre Location;
};

/// Returns the operators' answers for \p Spec with \p Servers
/// (src/config/questionnaire.proto in JSON).
QJsonObject questionnaire(const DeploymentSpec &Spec,
                          const std::vector<ServerAnswer> &Servers);

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
