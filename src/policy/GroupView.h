// What is known of a database group at one moment on one entry VM.
#ifndef AMARANTHSPUR_POLICY_GROUPVIEW_H
#define AMARANTHSPUR_POLICY_GROUPVIEW_H

#include "core/Clock.h"
#include "core/Types.h"

#include <optional>
#include <vector>

namespace amaranthspur {

/// What a backend server says of itself (`group_status()`).
struct ServerStatus {
  ServerRole Role = ServerRole::Replica;
  Term AdoptedTerm = 0;     ///< Lower terms are refused.
  LogPosition LogEnd;       ///< Last entry held.
  ServerId Primary;         ///< Whom it follows; itself if it is the primary.
  Duration QueueTime{};     ///< Time that statements wait for a slot.
  unsigned Running = 0;     ///< Statements that run.
  unsigned Connections = 0; ///< Connections that are open.
};

/// What a view says of one backend server.
struct ServerView {
  ServerId Id;
  bool Reachable = false;
  bool Leaving = false;
  LogPosition Held;            ///< Last known end of its log.
  std::optional<Duration> Age; ///< Upper bound at Taken; nothing if unbounded.
};

/// The state of a group, made by a watcher and passed on.
///
/// Views are ordered by term: one of a lower term never replaces one of a
/// higher term. Ages grow by the time since Taken, on the clock of the VM that
/// holds the view.
struct GroupView {
  ServiceName Service;
  Term TermNumber = 0;
  std::optional<ServerId> Primary;
  LogPosition Confirmed;      ///< Held by a majority in its term.
  bool AcceptsWrites = false; ///< A majority answered lately.
  std::vector<ServerView> Servers;
  TimePoint Taken{}; ///< When this VM got the view.

  const ServerView *find(const ServerId &Id) const {
    for (const ServerView &Server : this->Servers)
      if (Server.Id == Id)
        return &Server;
    return nullptr;
  }
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_POLICY_GROUPVIEW_H
