// Serves the servers of a LineGroup over TCP in the platform's line protocol.
#ifndef AMARANTHSPUR_TESTING_LINEGROUP_LINESERVER_H
#define AMARANTHSPUR_TESTING_LINEGROUP_LINESERVER_H

#include "testing/line-group/LineGroup.h"

#include <QTcpServer>

#include <cstdint>
#include <memory>
#include <string>

namespace amaranthspur::linegroup {

/// Serves one server of a LineGroup on a loopback port that the system chooses.
class LineServer {
public:
  /// \param Group must outlive this object.
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
