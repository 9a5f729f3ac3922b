// Serves the servers of a LineGroup over TCP in the platform's line protocol.
#ifndef AMARANTHSPUR_TESTING_LINEGROUP_LINESERVER_H
#define AMARANTHSPUR_TESTING_LINEGROUP_LINESERVER_H

#include "core/Async.h"
#include "platform/LineStream.h"
#include "testing/line-group/LineGroup.h"

#include <QTcpServer>

#include <cstdint>
#include <memory>
#include <set>
#include <string>

namespace amaranthspur::linegroup {

/// Serves one server of a LineGroup on a loopback port that the system chooses.
class LineServer {
public:
  /// \param Group must outlive this object.
  LineServer(LineGroup &Group, std::string Id);
  LineServer(const LineServer &) = delete;
  LineServer &operator=(const LineServer &) = delete;
  /// Closes the connections and runs the event loop until their tasks have
  /// ended.
  ~LineServer();

  /// Returns the port at which this server listens.
  std::uint16_t port() const { return this->Listener.serverPort(); }

private:
  /// Serves one connection until it is closed.
  QCoro::Task<> serve(QTcpSocket *Socket);
  QCoro::Task<> serveStream(LineStream &Stream);

  LineGroup &Group;
  std::string Id;
  QTcpServer Listener;
  TaskGroup Tasks;
  std::set<LineStream *> Streams; ///< Of the tasks in Tasks.
};

} // namespace amaranthspur::linegroup

#endif // AMARANTHSPUR_TESTING_LINEGROUP_LINESERVER_H
