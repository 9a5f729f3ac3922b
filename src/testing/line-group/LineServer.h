// Puts the servers of a LineGroup behind TCP, in the platform's line protocol.
#ifndef AMARANTHSPUR_TESTING_LINEGROUP_LINESERVER_H
#define AMARANTHSPUR_TESTING_LINEGROUP_LINESERVER_H

#include "testing/line-group/LineGroup.h"

#include <QTcpServer>

#include <cstdint>
#include <memory>
#include <string>

namespace amaranthspur::linegroup {

/// Listens for one server of a group on a loopback port.
class LineServer {
public:
  /// \param Group outlives the server.
  LineServer(LineGroup &Group, std::string Id);

  std::uint16_t port() const { return this->Listener.serverPort(); }

private:
  QCoro::Task<> serve(QTcpSocket *Socket);

  LineGroup &Group;
  std::string Id;
  QTcpServer Listener;
};

} // namespace amaranthspur::linegroup

#endif // AMARANTHSPUR_TESTING_LINEGROUP_LINESERVER_H
