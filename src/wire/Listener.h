// Listening for TCP connections.
#ifndef AMARANTHSPUR_WIRE_LISTENER_H
#define AMARANTHSPUR_WIRE_LISTENER_H

#include "core/Address.h"
#include "core/Result.h"

#include <QTcpServer>
#include <QTcpSocket>

#include <functional>
#include <memory>

namespace amaranthspur {

/// Listens on \p At and calls \p Accept with each accepted connection, which
/// \p Accept then owns. Connections are accepted until the returned server is
/// closed or destroyed.
/// \returns the server, or an error that names the address if listening failed.
Result<std::unique_ptr<QTcpServer>>
listenAt(const Address &At, std::function<void(QTcpSocket *)> Accept);

} // namespace amaranthspur

#endif // AMARANTHSPUR_WIRE_LISTENER_H
