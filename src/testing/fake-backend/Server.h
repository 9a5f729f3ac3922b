// The listener of a fake-backend and the tasks that it starts.
#ifndef AMARANTHSPUR_TESTING_FAKE_BACKEND_SERVER_H
#define AMARANTHSPUR_TESTING_FAKE_BACKEND_SERVER_H

#include "testing/fake-backend/Replication.h"
#include "testing/fake-backend/ServerState.h"

#include <QTcpServer>

namespace amaranthspur::fake {

/// One stand-in for a backend server.
class Server {
public:
  explicit Server(Settings Config);

  /// Starts listening and replicating; an error if the address is taken.
  Result<Success> start();

  /// Ends all connections and tasks; returns when they have ended or
  /// \p Deadline has passed.
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
  std::set<Connection *> Links;
  std::uint32_t LastProcessId = 0;
};

} // namespace amaranthspur::fake

#endif // AMARANTHSPUR_TESTING_FAKE_BACKEND_SERVER_H
