// Who owns a backend server.
//
// The owner alone opens work connections to a server; every other entry VM
// forwards statements to it. All entry VMs that hold the same member list name
// the same owner, without a message between them.
#ifndef AMARANTHSPUR_POLICY_OWNERSHIP_H
#define AMARANTHSPUR_POLICY_OWNERSHIP_H

#include "policy/Configuration.h"
#include "policy/Member.h"

#include <optional>
#include <vector>

namespace amaranthspur {

/// Chooses the owner of a backend server. Linear in the members.
class Ownership {
public:
  virtual ~Ownership() = default;

  /// Returns the owner of \p Server, or nothing if no member can be it.
  /// \param Self the entry VM that asks.
  /// \param Members what Self believes of all entry VMs, itself included.
  virtual std::optional<EntryVmId>
  ownerOf(const ServerConfig &Server, const Configuration &Config,
          const EntryVmId &Self, const std::vector<Member> &Members) const = 0;

  /// Returns how many work connections the owner may open to \p Server.
  virtual unsigned
  workConnections(const ServerConfig &Server,
                  const std::vector<Member> &Members) const = 0;
};

/// Connections of a server that are kept for control: three watchers with one
/// connection and one probe each, the owner's lease, and the lease of the next
/// owner while servers change hands.
inline constexpr unsigned ControlConnections = 8;

/// Rendezvous hashing over the live members of the server's data centre; if it
/// has none, of the nearest data centre that has one.
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

/// The naive choice: every entry VM talks to every server and has a fixed,
/// equal share of its connections, at least one.
class StaticShareOwnership final : public Ownership {
public:
  std::optional<EntryVmId>
  ownerOf(const ServerConfig &Server, const Configuration &Config,
          const EntryVmId &Self,
          const std::vector<Member> &Members) const override;
  unsigned workConnections(const ServerConfig &Server,
                           const std::vector<Member> &Members) const override;
};

/// Returns the weight of \p Vm for \p Key in rendezvous hashing; the highest
/// weight wins. The same on every machine.
std::uint64_t rendezvousWeight(std::string_view Key, const EntryVmId &Vm);

} // namespace amaranthspur

#endif // AMARANTHSPUR_POLICY_OWNERSHIP_H
