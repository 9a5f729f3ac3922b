// The configuration in force, as plain values.
//
// It is generated from the operators' questionnaire answers (src/config) and
// never edited. All fields are validated before a Configuration is created, and
// names refer only to entries of the same configuration.
#ifndef AMARANTHSPUR_POLICY_CONFIGURATION_H
#define AMARANTHSPUR_POLICY_CONFIGURATION_H

#include "core/Clock.h"
#include "core/Enums.h"
#include "core/Types.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace amaranthspur {

/// One backend server of a service.
struct ServerConfig {
  ServerId Id;
  std::string Host; ///< Numeric IP address.
  std::uint16_t Port = 0;
  DataCentre Location;
  unsigned Slots = 5;            ///< Maximum number of concurrent statements.
  unsigned ConnectionLimit = 30; ///< Includes the control connections.
  bool Leaving = false;          ///< Drained; receives no new work.
};

/// A class of work of a service.
struct ClassConfig {
  ClassName Name;
  Duration Deadline = std::chrono::seconds(5);
  Duration ExpectedLength =
      milliseconds(5); ///< Initial estimate of the slot time.
  Duration MaxStaleness =
      Duration::zero(); ///< Accepted staleness of its reads.
  Repeatable Repeatability =
      Repeatable::Off; ///< Whether its writes are repeatable.
};

/// A caller of a service.
struct CallerConfig {
  CallerName Name;
  unsigned Weight = 1;
  ClassName DefaultClass;
};

/// A named group of backend servers with its classes of work and its callers.
struct ServiceConfig {
  ServiceName Name;
  std::vector<ServerConfig> Servers;
  std::vector<ClassConfig> Classes; ///< Never empty.
  std::vector<CallerConfig> Callers;
};

/// A data centre and the region that contains it.
struct DataCentreConfig {
  DataCentre Name;
  Region ContainingRegion;
  /// Estimated one-way latency to the other data centres.
  std::map<DataCentre, Duration> LatencyTo;
};

/// The whole configuration at one revision.
struct Configuration {
  std::uint64_t Revision = 0; ///< 0 before one is accepted.
  std::vector<DataCentreConfig> DataCentres;
  std::vector<ServiceConfig> Services;
  std::vector<EntryVmId> DrainedEntryVms;

  /// Returns the service named \p Name, or null, in linear time.
  const ServiceConfig *findService(const ServiceName &Name) const {
    for (const ServiceConfig &Service : this->Services)
      if (Service.Name == Name)
        return &Service;
    return nullptr;
  }

  /// Returns the data centre named \p Name, or null.
  const DataCentreConfig *findDataCentre(const DataCentre &Name) const {
    for (const DataCentreConfig &Place : this->DataCentres)
      if (Place.Name == Name)
        return &Place;
    return nullptr;
  }
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_POLICY_CONFIGURATION_H
