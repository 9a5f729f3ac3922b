// A snapshot of a database group, as known by one entry VM.
#ifndef AMARANTHSPUR_POLICY_GROUPVIEW_H
#define AMARANTHSPUR_POLICY_GROUPVIEW_H

#include "core/Clock.h"
#include "core/Types.h"

#include <optional>
#include <vector>

namespace amaranthspur {

/// The status that a backend server reports (`group_status()`).
struct ServerStatus {
  ServerRole Role = ServerRole::Replica;
  Term AdoptedTerm = 0;     ///< Requests of lower terms are refused.
  LogPosition LogEnd;       ///< Position of the last entry of its log.
  ServerId Primary;         ///< The server that it follows; itself if primary.
  Duration QueueTime{};     ///< Waiting time of statements for a slot.
  unsigned Running = 0;     ///< Running statements.
  unsigned Connections = 0; ///< Open connections.
};

/// The part of a view about one backend server.
struct ServerView {
  ServerId Id;
  bool Reachable = false;
  bool Leaving = false;
  LogPosition Held;            ///< Last known end of its log.
  std::optional<Duration> Age; ///< Upper bound at Taken, if there is one.
};

/// The state of a group. A watcher creates it, and entry VMs forward it to each
/// other.
///
/// Views are ordered by term: a view of a lower term never replaces one of a
/// higher term. The time since Taken, on the clock of the VM that holds the
/// view, has to be added to the ages.
struct GroupView {
  ServiceName Service;
  Term TermNumber = 0;
  std::optional<ServerId> Primary;
  LogPosition Confirmed;      ///< Highest confirmed position.
  bool AcceptsWrites = false; ///< A majority answered recently.
  std::vector<ServerView> Servers;
  TimePoint Taken{}; ///< When this VM created or received the view.

  const ServerView *find(const ServerId &Id) const {
    for (const ServerView &Server : this->Servers)
      if (Server.Id == Id)
        return &Server;
    return nullptr;
  }
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_POLICY_GROUPVIEW_H
