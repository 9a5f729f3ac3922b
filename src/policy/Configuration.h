// The configuration in force: plain values that decisions read.
//
// It is generated from the operators' answers (src/config) and never edited.
// All fields have been validated before a value of this type exists; names
// refer only to what is defined in the same configuration.
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
  std::string Host; ///< Numeric address.
  std::uint16_t Port = 0;
  DataCentre Location;
  unsigned Slots = 5;            ///< Statements that run at a time.
  unsigned ConnectionLimit = 30; ///< Connections in all, control included.
  bool Leaving = false;          ///< Drained: gets no new work.
};

/// One class of work of a service.
struct ClassConfig {
  ClassName Name;
  Duration Deadline = std::chrono::seconds(5);
  Duration ExpectedLength = milliseconds(5); ///< Prior of the slot time.
  Duration MaxStaleness = Duration::zero();  ///< Tolerance of its reads.
  Repeatable Mark = Repeatable::Off;         ///< For its writes.
};

/// One caller of a service.
struct CallerConfig {
  CallerName Name;
  unsigned Weight = 1;
  ClassName DefaultClass;
};

/// A named group of backend servers with its callers and their tolerances.
struct ServiceConfig {
  ServiceName Name;
  std::vector<ServerConfig> Servers;
  std::vector<ClassConfig> Classes; ///< Never empty.
  std::vector<CallerConfig> Callers;
};

/// One data centre with the region it is in.
struct DataCentreConfig {
  DataCentre Name;
  Region In;
  /// Estimated one-way latency to the other data centres.
  std::map<DataCentre, Duration> LatencyTo;
};

/// Everything that is in force at one revision.
struct Configuration {
  std::uint64_t Revision = 0; ///< 0: none has been accepted yet.
  std::vector<DataCentreConfig> DataCentres;
  std::vector<ServiceConfig> Services;
  std::vector<EntryVmId> DrainedEntryVms;

  /// Returns the service named \p Name, or null. Linear in the services.
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
