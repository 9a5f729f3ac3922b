// The state that the tasks of one fake-backend share.
#ifndef AMARANTHSPUR_TESTING_FAKE_BACKEND_SERVERSTATE_H
#define AMARANTHSPUR_TESTING_FAKE_BACKEND_SERVERSTATE_H

#include "testing/fake-backend/GroupMember.h"
#include "testing/fake-backend/Queueing.h"
#include "testing/fake-backend/Settings.h"

#include <array>
#include <map>
#include <set>

namespace amaranthspur::fake {

/// The purpose of a connection, from `amaranthspur.role` of its start-up
/// message.
enum class SessionKind { Work, Control, Replication };

/// The counters of a server, which are the columns of group_counters().
enum class BackendCounter {
  Statements,
  Commits,
  RefusedConnections,
  RefusedControlConnections,
  MostConnections,
  LongestQueueMs,
};

} // namespace amaranthspur::fake

namespace amaranthspur {

template <> struct EnumNames<fake::SessionKind> {
  static constexpr auto Entries =
      std::to_array<std::pair<fake::SessionKind, std::string_view>>(
          {{fake::SessionKind::Work, "work"},
           {fake::SessionKind::Control, "control"},
           {fake::SessionKind::Replication, "replication"}});
};

template <> struct EnumNames<fake::BackendCounter> {
  static constexpr auto Entries =
      std::to_array<std::pair<fake::BackendCounter, std::string_view>>(
          {{fake::BackendCounter::Statements, "statements"},
           {fake::BackendCounter::Commits, "commits"},
           {fake::BackendCounter::RefusedConnections, "refused_connections"},
           {fake::BackendCounter::RefusedControlConnections,
            "refused_control_connections"},
           {fake::BackendCounter::MostConnections, "most_connections"},
           {fake::BackendCounter::LongestQueueMs, "longest_queue_ms"}});
};

} // namespace amaranthspur

namespace amaranthspur::fake {

class Session;

/// Number of control connections accepted in addition to the work connections.
inline constexpr unsigned ReservedConnections = 8;

/// The ownership lease; see docs/design.md, section 7.
struct Lease {
  std::string Holder;
  std::uint64_t Incarnation = 0;
  TimePoint ExpiresAt{};
};

/// The state of one server. It is not thread-safe; one thread uses it.
struct ServerState {
  explicit ServerState(Settings Given)
      : Config(std::move(Given)), Member(Config.Id, Storage),
        Slots(Config.Slots) {}

  std::uint64_t &count(BackendCounter Which) {
    return this->Counts[static_cast<std::size_t>(Which)];
  }

  Settings Config;
  Database Storage;
  GroupMember Member;
  FifoSemaphore Slots;
  WriteLock WriterLock;
  Lease OwnerLease;
  std::map<std::uint32_t, Session *> Sessions; ///< Keyed by process ID.
  unsigned WorkConnections = 0;
  unsigned ControlConnections = 0;
  /// Woken on every append to the log and every change of the role, term or
  /// upstream.
  std::set<WaitPoint *> LogWaiters;
  bool Stopping = false; ///< The process is shutting down.

private:
  std::array<std::uint64_t, EnumNames<BackendCounter>::Entries.size()> Counts{};
};

} // namespace amaranthspur::fake

#endif // AMARANTHSPUR_TESTING_FAKE_BACKEND_SERVERSTATE_H
