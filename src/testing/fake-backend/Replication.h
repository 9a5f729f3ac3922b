// Asynchronous replication between fake-backends.
//
// A replica connects to its primary's port with the start-up parameters
// `amaranthspur.role=replication`, `amaranthspur.term` and `amaranthspur.log`
// (the ends of its log's terms). The primary of that term answers with frames:
//   'l'  index up to which both logs are equal, as text
//   'e'  "<term> <index>\n" and the statements of an entry
//   'h'  heartbeat, empty
// or with ErrorResponse. The replica acknowledges nothing.
#ifndef AMARANTHSPUR_TESTING_FAKE_BACKEND_REPLICATION_H
#define AMARANTHSPUR_TESTING_FAKE_BACKEND_REPLICATION_H

#include "testing/fake-backend/ServerState.h"

#include <deque>

namespace amaranthspur::fake {

/// Sends the log over one connection, until it closes or this server no longer
/// leads in the term that the replica asked for.
/// \param Parameters of the replica's start-up message.
QCoro::Task<>
sendLog(ServerState &Server, Connection &Link,
        const std::map<std::string, std::string> &StartParameters);

/// Follows the upstream that the group names, if any.
///
/// The lag delays an entry as a whole: until it is over, the entry is neither
/// in the log nor visible. Entries that wait when the upstream changes are
/// lost, as if they had still been on the way.
class LogReceiver {
public:
  explicit LogReceiver(ServerState &Server) : Server(Server) {}

  /// Runs until stop().
  QCoro::Task<> run();

  /// Makes the receiver look at the group's upstream again.
  void upstreamChanged();

  void stop();
  bool running() const { return this->Running; }

private:
  struct Delayed {
    TimePoint Due;
    std::uint64_t Index;
    LogEntry Entry;
  };

  QCoro::Task<> follow(Term T, Upstream Source);
  bool takeFrames(Term T, const Upstream &Source);
  bool takeEntry(std::string_view Body);
  bool applyDue(Term T, const Upstream &Source);
  TimePoint nextDeadline() const;

  ServerState &Server;
  WaitPoint Changed;
  Connection *Link = nullptr; ///< While following.
  std::deque<Delayed> Waiting;
  std::size_t WaitingBytes = 0;
  TimePoint LastHeard{};
  bool Running = false;
  bool Stopping = false;
};

} // namespace amaranthspur::fake

#endif // AMARANTHSPUR_TESTING_FAKE_BACKEND_REPLICATION_H
