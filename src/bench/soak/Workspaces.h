// The workspaces of a soak: their names, keys and quotas, as the configuration
// lists them.
#ifndef AMARANTHSPUR_BENCH_SOAK_WORKSPACES_H
#define AMARANTHSPUR_BENCH_SOAK_WORKSPACES_H

#include "bench/soak/History.h"
#include "core/Random.h"

#include <QJsonArray>

#include <string>
#include <vector>

namespace amaranthspur::bench::soak {

/// What every key begins with. No statement contains it.
inline constexpr const char *KeyPrefix = "key-";

/// The workspaces of the latest version of the configuration.
class Workspaces {
public:
  Workspaces();

  const std::vector<WorkspaceEntry> &entries() const { return this->Entries; }
  /// Returns the list of workspaces, as the configuration has it.
  QJsonArray document() const;

  /// Adds a key to a workspace or withdraws one. A workspace keeps at least one
  /// key. A withdrawn key is never used again.
  void changeKey(Random &Generator);
  /// Gives a workspace another quota, often below its usual rate.
  void changeQuota(Random &Generator);

  /// Returns the name of the workspace to which the caller \p Number belongs.
  const std::string &nameOf(unsigned Number) const;
  /// Returns the key for a new session of the caller \p Number: usually a valid
  /// one, sometimes one that was withdrawn, or one that never was valid.
  std::string keyFor(unsigned Number, Random &Generator) const;

private:
  std::vector<WorkspaceEntry> Entries;
  /// By workspace.
  std::vector<std::vector<std::string>> Withdrawn;
  unsigned LastKey = 0;
};

/// Returns whether callers of the route need no key. The probed route needs
/// none either.
bool isAnonymous(unsigned Group, RouteType Type);

} // namespace amaranthspur::bench::soak

#endif // AMARANTHSPUR_BENCH_SOAK_WORKSPACES_H
