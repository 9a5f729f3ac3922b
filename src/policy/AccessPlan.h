// The current configuration for a front end whose operator configures a set of
// databases, each with its read consistency.
#ifndef AMARANTHSPUR_POLICY_ACCESSPLAN_H
#define AMARANTHSPUR_POLICY_ACCESSPLAN_H

#include "core/Address.h"
#include "core/Clock.h"
#include "core/Enums.h"
#include "core/Names.h"
#include "core/StoreVersion.h"
#include "core/Types.h"

#include <array>
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace amaranthspur {

/// The commits that a read of a database has to include.
enum class ReadConsistency {
  Primary,          ///< Every commit acknowledged before the read.
  BoundedStaleness, ///< Every commit older than the staleness bound.
  ReadYourWrites,   ///< The same, and every commit of the session.
};

template <> struct EnumNames<ReadConsistency> {
  static constexpr auto Entries =
      std::to_array<std::pair<ReadConsistency, std::string_view>>(
          {{ReadConsistency::Primary, "primary"},
           {ReadConsistency::BoundedStaleness, "bounded-staleness"},
           {ReadConsistency::ReadYourWrites, "read-your-writes"}});
};

/// The routing and the limits of the statements of one database.
struct DatabaseRoute {
  ServiceName Service;
  ReadConsistency Consistency = ReadConsistency::Primary;
  Duration MaxStaleness{}; ///< Bound for reads; not used with Primary.
  Duration StatementTimeout{};
  Duration LatencyObjective{}; ///< For a whole operation.
  unsigned MaxAttempts = 1;    ///< Limit of sends of one statement.
  unsigned Urgency = 0;        ///< 0 is the most urgent.
  bool Anonymous = false;      ///< Callers need no key.
};

/// The limit on the operations of a workspace, on all entry VMs together.
struct WorkspaceQuota {
  double RatePerSecond = 0;
  double Burst = 0;

  bool operator==(const WorkspaceQuota &) const = default;
};

/// A workspace on whose behalf callers use the databases.
struct Workspace {
  unsigned Urgency = 0;                ///< 0 is the most urgent.
  std::optional<WorkspaceQuota> Quota; ///< Nothing if it is not limited.
};

/// The limits of a service.
struct ServiceLimits {
  std::size_t MaxConnections = 0; ///< To one server, for all callers together.
  unsigned SyncReplicas = 0;      ///< Number of replicas that hold a commit
                                  ///< before it is acknowledged.
};

/// One version of the configuration.
struct AccessPlan {
  std::uint64_t Revision = 0; ///< Higher is newer; 0 if there is none yet.
  std::map<std::string, DatabaseRoute> Databases; ///< By name.
  std::map<ServiceName, ServiceLimits> Services;
  Duration TransactionIdle{}; ///< A transaction idle for longer may be ended.
  /// Whether callers need the key of a workspace. The set of workspaces may be
  /// empty: then no key is valid.
  bool HasWorkspaces = false;
  std::map<WorkspaceName, Workspace> Workspaces;
  std::map<std::string, WorkspaceName> KeyHolders; ///< By access key.

  /// Returns whether callers of \p Route need the key of a workspace.
  bool needsWorkspace(const DatabaseRoute &Route) const {
    return this->HasWorkspaces && !Route.Anonymous;
  }

  /// Returns the quota of \p Of, or null if it is not limited or not known.
  const WorkspaceQuota *quotaOf(const WorkspaceName &Of) const {
    const auto Found = this->Workspaces.find(Of);
    const bool IsLimited =
        Found != this->Workspaces.end() && Found->second.Quota.has_value();
    return IsLimited ? &*Found->second.Quota : nullptr;
  }

  /// Returns the workspace of a caller that presents \p Key for \p Route. The
  /// name is empty if the route needs none.
  /// \returns nothing if the key is not valid.
  std::optional<WorkspaceName> workspaceOf(const DatabaseRoute &Route,
                                           const std::string &Key) const {
    if (!this->needsWorkspace(Route))
      return WorkspaceName();
    const auto Holder = this->KeyHolders.find(Key);
    if (Holder == this->KeyHolders.end())
      return std::nullopt;
    return Holder->second;
  }
};

/// A backend server as it is registered.
struct RegisteredServer {
  ServerId Id;
  ServiceName Service;
  Address At;
  DataCentre Location;
  bool Draining = false;
  unsigned Slots = 1;           ///< Statements that it runs at the same time.
  std::int64_t StartedAtMs = 0; ///< Time of the start; differs after a restart.
  std::optional<ServerRole> Role; ///< As reported by the server itself.
  StoreVersion Version;           ///< Version of the registration.
  std::uint64_t Sequence = 0;     ///< Of the registration since the start.

  bool operator==(const RegisteredServer &) const = default;

  /// Returns whether this registration is certainly older than \p Known, of the
  /// same id, although its version is later: the store has come back from a
  /// copy in between.
  bool isOlderThan(const RegisteredServer &Known) const {
    if (this->Version.era() <= Known.Version.era() || this->StartedAtMs == 0 ||
        Known.StartedAtMs == 0)
      return false;
    return std::pair(this->StartedAtMs, this->Sequence) <
           std::pair(Known.StartedAtMs, Known.Sequence);
  }

  /// Returns whether \p Other, of the same id, is the same run of the server at
  /// the same address, so that connections and beliefs stay valid.
  bool isSameStart(const RegisteredServer &Other) const {
    return this->StartedAtMs == Other.StartedAtMs && this->At == Other.At;
  }
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_POLICY_ACCESSPLAN_H
