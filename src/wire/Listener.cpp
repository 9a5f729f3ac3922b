#include "wire/Listener.h"

#include <QHostAddress>

#include <utility>

namespace amaranthspur {
namespace {

/// Limit of connections that wait to be accepted. At peak load, hundreds arrive
/// at once.
constexpr int ListenBacklog = 1024;

} // namespace

Result<std::unique_ptr<QTcpServer>>
listenAt(const Address &At, std::function<void(QTcpSocket *)> Accept) {
  auto Server = std::make_unique<QTcpServer>();
  Server->setListenBacklogSize(ListenBacklog);
  Server->setMaxPendingConnections(ListenBacklog);
  QObject::connect(Server.get(), &QTcpServer::newConnection, Server.get(),
                   [Listener = Server.get(), Accept = std::move(Accept)] {
                     while (QTcpSocket *Socket =
                                Listener->nextPendingConnection())
                       Accept(Socket);
                   });
  if (!Server->listen(QHostAddress(QString::fromStdString(At.Host)), At.Port))
    return Error{"cannot listen on " + At.str() + ": " +
                 Server->errorString().toStdString()};
  return Server;
}

} // namespace amaranthspur
