// The configuration in force for a front end whose operator names databases and
// the consistency of each one.
#ifndef AMARANTHSPUR_POLICY_ACCESSPLAN_H
#define AMARANTHSPUR_POLICY_ACCESSPLAN_H

#include "core/Address.h"
#include "core/Clock.h"
#include "core/Enums.h"
#include "core/Names.h"
#include "core/Types.h"

#include <array>
#include <map>
#include <optional>
#include <string>

namespace amaranthspur {

/// What the reads of a database may show.
enum class ReadConsistency {
  Primary,          ///< Every commit acknowledged before.
  BoundedStaleness, ///< Commits acknowledged longer ago than a bound.
  ReadYourWrites,   ///< The same, and every commit of the session.
};

template <> struct EnumNames<ReadConsistency> {
  static constexpr auto Entries =
      std::to_array<std::pair<ReadConsistency, std::string_view>>(
          {{ReadConsistency::Primary, "primary"},
           {ReadConsistency::BoundedStaleness, "bounded-staleness"},
           {ReadConsistency::ReadYourWrites, "read-your-writes"}});
};

/// How the statements of one database are served.
struct DatabaseRoute {
  ServiceName Service;
  ReadConsistency Consistency = ReadConsistency::Primary;
  Duration MaxStaleness{}; ///< Of reads; not used with Primary.
  Duration StatementTimeout{};
  Duration LatencyObjective{}; ///< Of a whole operation.
  unsigned MaxAttempts = 1;    ///< Sends of one statement to servers at most.
  unsigned Urgency = 0;        ///< 0 is the most urgent.
};

/// Limits of a service.
struct ServiceLimits {
  std::size_t MaxConnections = 0; ///< To one server, from all callers.
  unsigned SyncReplicas = 0;      ///< Replicas that hold a commit before it is
                                  ///< acknowledged.
};

/// One version of the configuration.
struct AccessPlan {
  std::uint64_t Revision = 0; ///< Higher is newer; 0: none yet.
  std::map<std::string, DatabaseRoute> Databases; ///< By name.
  std::map<ServiceName, ServiceLimits> Services;
  Duration TransactionIdle{}; ///< After which a transaction may be ended.
};

/// A backend server as it is registered.
struct RegisteredServer {
  ServerId Id;
  ServiceName Service;
  Address At;
  DataCentre Location;
  bool Draining = false;
  std::int64_t BornMs = 0;        ///< Start; the same id may start again.
  std::optional<ServerRole> Role; ///< As the server sees itself.
  std::uint64_t Version = 0;      ///< Of the registration.

  bool operator==(const RegisteredServer &) const = default;

  /// Returns whether \p Other, of the same id, is this start of the server at
  /// the same address: connections and beliefs stay valid.
  bool isSameStart(const RegisteredServer &Other) const {
    return this->BornMs == Other.BornMs && this->At == Other.At;
  }
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_POLICY_ACCESSPLAN_H
