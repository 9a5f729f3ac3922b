// Interfaces through which the groups of an entry VM and its relay exchange
// evidence.
#ifndef AMARANTHSPUR_ROOT_RELAY_EVIDENCEBOARD_H
#define AMARANTHSPUR_ROOT_RELAY_EVIDENCEBOARD_H

#include "core/Clock.h"
#include "policy/GroupEvidence.h"

#include <QCoroTask>

#include <optional>
#include <vector>

namespace amaranthspur {

/// What this entry VM knows of its groups; read and written by the relay.
class EvidenceBoard {
public:
  virtual ~EvidenceBoard() = default;

  /// Returns the services whose reads currently need log positions.
  virtual std::vector<ServiceName> wantedServices() const = 0;
  /// Returns the services whose primary may need replacing.
  virtual std::vector<ServiceName> suspectServices() const = 0;

  /// Returns what is known of \p Service, and keeps its primary sampled for
  /// some time. Returns nothing if there is no such group.
  virtual std::optional<GroupEvidence>
  shareEvidence(const ServiceName &Service) = 0;
  /// Checks the primary of \p Service, which another entry VM suspects.
  virtual void suspect(const ServiceName &Service) = 0;
  /// Records evidence of the relay.
  virtual void applyEvidence(const GroupEvidence &Known) = 0;
  /// Records how many entry VMs share the servers' connections.
  virtual void setEntryVms(std::size_t Count) = 0;
  /// Records how many forwarders the deployment has, which are the homes of
  /// connections if there are workspaces.
  virtual void setForwarders(std::size_t Count) = 0;

  /// Waits for a proof, requested after the call, that the primary of \p T
  /// leads.
  virtual QCoro::Task<bool> prove(ServiceName Service, Term T,
                                  TimePoint Deadline) = 0;
};

/// The relay, as the groups of a follower use it.
class EvidenceSource {
public:
  virtual ~EvidenceSource() = default;

  /// Returns whether a relay answers, so that its evidence can be relied on.
  virtual bool isAvailable() const = 0;
  /// Returns whether this entry VM observes the groups for others.
  virtual bool isRelay() const = 0;
  /// Asks the relay to prove that the primary of \p T leads.
  /// \returns false if it could not, or did not answer by \p Deadline.
  virtual QCoro::Task<bool> prove(ServiceName Service, Term T,
                                  TimePoint Deadline) = 0;
  /// Asks for the relay's evidence and changes without waiting for the next
  /// regular request.
  virtual void refreshSoon() = 0;
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_ROOT_RELAY_EVIDENCEBOARD_H
