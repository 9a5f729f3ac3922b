// The assignment of backend servers to the entry VMs that own them.
//
// Only the owner opens work connections to a server. All other entry VMs
// forward their statements for the server to the owner. Entry VMs with the same
// member list and configuration choose the same owner without exchanging
// messages.
#ifndef AMARANTHSPUR_POLICY_OWNERSHIP_H
#define AMARANTHSPUR_POLICY_OWNERSHIP_H

#include "policy/Configuration.h"
#include "policy/Member.h"

#include <optional>
#include <vector>

namespace amaranthspur {

/// Chooses the owner of a backend server, in time linear in the members.
class Ownership {
public:
  virtual ~Ownership() = default;

  /// Returns the owner of \p Server, or nothing if no member can own it.
  /// \param Self the entry VM that calls this function.
  /// \param Members the members in the view of Self, including Self.
  virtual std::optional<EntryVmId>
  ownerOf(const ServerConfig &Server, const Configuration &Config,
          const EntryVmId &Self, const std::vector<Member> &Members) const = 0;

  /// Returns how many work connections the owner may open to \p Server.
  virtual unsigned
  workConnections(const ServerConfig &Server,
                  const std::vector<Member> &Members) const = 0;
};

/// Number of connections of a server that are reserved for control: three
/// watchers with one connection and one probe each, one for the lease of the
/// owner, and one for the lease of the next owner during a change of owner.
inline constexpr unsigned ControlConnections = 8;

/// Uses rendezvous hashing over the live members of the server's data centre,
/// or of the nearest data centre that has live members if it has none.
/// Source: Thaler and Ravishankar, "A Name-Based Mapping Scheme for
/// Rendezvous", 1996.
class RendezvousOwnership final : public Ownership {
public:
  std::optional<EntryVmId>
  ownerOf(const ServerConfig &Server, const Configuration &Config,
          const EntryVmId &Self,
          const std::vector<Member> &Members) const override;
  unsigned workConnections(const ServerConfig &Server,
                           const std::vector<Member> &Members) const override;
};

/// The baseline for comparison: every entry VM connects to every server and
/// gets an equal, fixed share of its connections, at least one.
class StaticShareOwnership final : public Ownership {
public:
  std::optional<EntryVmId>
  ownerOf(const ServerConfig &Server, const Configuration &Config,
          const EntryVmId &Self,
          const std::vector<Member> &Members) const override;
  unsigned workConnections(const ServerConfig &Server,
                           const std::vector<Member> &Members) const override;
};

/// Returns the weight of \p Vm for \p Key in rendezvous hashing. The VM with
/// the highest weight is chosen. The result is the same on every machine.
std::uint64_t rendezvousWeight(std::string_view Key, const EntryVmId &Vm);

} // namespace amaranthspur

#endif // AMARANTHSPUR_POLICY_OWNERSHIP_H
