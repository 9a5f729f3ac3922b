// What one entry VM knows about a group and passes on to others, so that they
// need not ask the group's servers themselves.
//
// All times are of the boot clock (core/BootClock.h) of the entry VM that holds
// the object. Between entry VMs the times travel as ages (wire/relay.proto).
#ifndef AMARANTHSPUR_POLICY_GROUPEVIDENCE_H
#define AMARANTHSPUR_POLICY_GROUPEVIDENCE_H

#include "core/Clock.h"
#include "core/Types.h"

#include <vector>

namespace amaranthspur {

/// The number of connections to a server, of all entry VMs together.
struct ServerConnectionCount {
  ServerId Server;
  unsigned Connections = 0;
};

/// How far a replica was in the log (policy/ReplicaProgress.h).
struct ReplicaEvidence {
  ServerId Server;
  LogPosition Position;
  TimePoint At{};      ///< When the replica was there.
  Duration ApplyLag{}; ///< Zero if reads could see everything up to Position.
};

/// Evidence about the primary of one group (policy/Freshness.h).
struct GroupEvidence {
  ServiceName Service;
  ServerId Primary;       ///< Empty if no primary is known.
  Term TermNumber = 0;    ///< Of Primary; 0 if it is not known.
  LogPosition Position;   ///< End of the primary's log.
  TimePoint ReportedAt{}; ///< When Position was requested; zero: unknown.
  Term ProvedTerm = 0;    ///< 0 if there is no proof.
  TimePoint ProvedAt{};   ///< When the proof of ProvedTerm was requested.
  std::vector<ServerConnectionCount> Servers; ///< Recent counts only.
  std::vector<ReplicaEvidence> Replicas;      ///< Recent positions only.
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_POLICY_GROUPEVIDENCE_H
