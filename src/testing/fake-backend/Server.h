// The listening socket of a fake-backend and its connection tasks.
#ifndef AMARANTHSPUR_TESTING_FAKE_BACKEND_SERVER_H
#define AMARANTHSPUR_TESTING_FAKE_BACKEND_SERVER_H

#include "testing/fake-backend/Replication.h"
#include "testing/fake-backend/ServerState.h"

#include <QTcpServer>

namespace amaranthspur::fake {

/// A fake backend server.
class Server {
public:
  explicit Server(Settings Config);

  /// Starts listening and replicating.
  /// \returns an error if listening on the configured address fails.
  Result<Success> start();

  /// Closes all connections and stops all tasks. Returns when they have ended
  /// or when \p Deadline has passed.
  QCoro::Task<> stop(TimePoint Deadline);

private:
  void accept();
  void groupChanged();
  void wakeLogWaiters();
  QCoro::Task<> serve(QTcpSocket *Socket);
  QCoro::Task<std::optional<pg::Startup>> readStartup(Connection &Link);
  QCoro::Task<> serveSession(Connection &Link, SessionKind Kind);
  bool admit(Connection &Link, SessionKind Kind);
  void cancel(const pg::Startup &Request);

  ServerState State;
  LogReceiver Receiver;
  QTcpServer Listener;
  std::set<Connection *> Connections;
  std::uint32_t LastProcessId = 0;
};

} // namespace amaranthspur::fake

#endif // AMARANTHSPUR_TESTING_FAKE_BACKEND_SERVER_H
