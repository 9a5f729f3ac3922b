// Asynchronous replication between fake-backends.
//
// A replica connects to the port of its primary with the start-up parameters
// `amaranthspur.role=replication`, `amaranthspur.term` and `amaranthspur.log`
// (the last position of each term in its log). The primary of that term sends
// these messages:
//   'l'  the index up to which both logs are equal, as text
//   'e'  "<term> <index>\n" followed by the statements of a log entry
//   'h'  a heartbeat with an empty body
// Any other server sends ErrorResponse. The replica sends no acknowledgements.
#ifndef AMARANTHSPUR_TESTING_FAKE_BACKEND_REPLICATION_H
#define AMARANTHSPUR_TESTING_FAKE_BACKEND_REPLICATION_H

#include "testing/fake-backend/ServerState.h"

#include <deque>

namespace amaranthspur::fake {

/// Sends the log over one connection until the connection closes, the server
/// stops or it is no longer the primary of the term that the replica requested.
/// \param StartParameters the parameters of the start-up message.
QCoro::Task<>
sendLog(ServerState &Server, Connection &Link,
        const std::map<std::string, std::string> &StartParameters);

/// Replicates from the upstream of this server, if it has one.
///
/// The configured lag delays received entries: until the lag has passed, an
/// entry is neither in the log nor visible to reads. Entries still delayed when
/// the upstream changes are discarded, as if they had not been received.
class LogReceiver {
public:
  explicit LogReceiver(ServerState &Server) : Server(Server) {}

  /// Runs until stop().
  QCoro::Task<> run();

  /// Makes the receiver check the upstream again.
  void upstreamChanged();

  void stop();
  bool running() const { return this->Running; }

private:
  struct DelayedEntry {
    TimePoint Due;
    std::uint64_t Index;
    LogEntry Entry;
  };

  QCoro::Task<> follow(Term T, Upstream Source);
  bool handleFrames(Term T, const Upstream &Source);
  bool enqueueEntry(std::string_view Body);
  bool applyDue(Term T, const Upstream &Source);
  TimePoint nextDeadline() const;

  ServerState &Server;
  WaitPoint Changed;
  Connection *Link = nullptr; ///< Null when not connected.
  std::deque<DelayedEntry> DelayedEntries;
  std::size_t DelayedBytes = 0;
  TimePoint LastReceived{};
  bool Running = false;
  bool Stopping = false;
};

} // namespace amaranthspur::fake

#endif // AMARANTHSPUR_TESTING_FAKE_BACKEND_REPLICATION_H
