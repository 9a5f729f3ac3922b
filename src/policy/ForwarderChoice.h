// Chooses the entry VMs that run reads for the others of a data centre.
//
// With more entry VMs than connections to a server, or with workspaces, each of
// which needs connections of its own, an entry VM can keep no connection:
// nearly each statement opens one, which takes slot time of the server. A few
// entry VMs, the forwarders, therefore run the reads of the whole data centre
// over connections that stay in use. The choice is a matter of efficiency only.
// Two entry VMs that choose differently break nothing, since a forwarder runs
// whatever it is asked to, and an entry VM whose forwarder does not answer runs
// the read itself.
#ifndef AMARANTHSPUR_POLICY_FORWARDERCHOICE_H
#define AMARANTHSPUR_POLICY_FORWARDERCHOICE_H

#include "core/Types.h"

#include <compare>
#include <string>
#include <vector>

namespace amaranthspur {

/// An entry VM that may be a forwarder.
struct ForwarderVm {
  EntryVmId Vm;
  std::string Address;     ///< host:port for forwarded reads.
  unsigned CpuPercent = 0; ///< Part of a core that it has.

  bool operator==(const ForwarderVm &) const = default;
};

/// The forwarders of another data centre.
struct RemoteForwarders {
  DataCentre Location;
  std::string Token; ///< Requests to them must present it.
  std::vector<ForwarderVm> Forwarders;

  bool operator==(const RemoteForwarders &) const = default;
};

/// Number of entry VMs per forwarder. Each forwarder then runs the reads of
/// eight, and an entry VM has links to an eighth of its data centre.
inline constexpr std::size_t EntryVmsPerForwarder = 8;
/// Fewest forwarders, so that the loss of one leaves another.
inline constexpr std::size_t MinForwarders = 2;

/// Returns the forwarders among \p Candidates: the largest entry VMs, and among
/// equal ones those that a hash of the name puts first, so that the choice is
/// stable. Takes O(n log n) time.
std::vector<ForwarderVm> chooseForwarders(std::vector<ForwarderVm> Candidates);

/// Orders \p Forwarders for \p Service, the preferred one first, by rendezvous
/// hashing: without a forwarder only its services move. With a workspace, the
/// first one is the home of the pair of workspace and service
/// (docs/design/homes.md); each forwarder is the home of a part of the pairs
/// that is proportional to its CPU.
/// \param Of the workspace; empty for none.
std::vector<ForwarderVm> forwarderOrder(std::vector<ForwarderVm> Forwarders,
                                        const ServiceName &Service,
                                        const WorkspaceName &Of);

/// Returns the number of forwarders of the deployment. A data centre that is
/// not listed is assumed to have as many as this one. \param Own number of
/// forwarders of this data centre. \param Others data centres whose forwarders
/// are known. \param DataCentres number of data centres, this one included.
std::size_t countForwarders(std::size_t Own,
                            const std::vector<RemoteForwarders> &Others,
                            std::size_t DataCentres);

/// Returns whether reads are worth forwarding: whether the \p EntryVms of the
/// deployment have less than one connection each to a server that accepts
/// \p MaxConnections.
constexpr bool isForwardingUseful(std::size_t EntryVms,
                                  std::size_t MaxConnections) {
  return MaxConnections > 0 && EntryVms > MaxConnections;
}

} // namespace amaranthspur

#endif // AMARANTHSPUR_POLICY_FORWARDERCHOICE_H
