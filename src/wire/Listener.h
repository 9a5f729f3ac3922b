// Accepting TCP connections.
#ifndef AMARANTHSPUR_WIRE_LISTENER_H
#define AMARANTHSPUR_WIRE_LISTENER_H

#include "core/Address.h"
#include "core/Result.h"

#include <QTcpServer>
#include <QTcpSocket>

#include <functional>
#include <memory>

namespace amaranthspur {

/// Listens at \p At and gives each connection to \p Accept, which owns it from
/// then on. Connections come until the listener is closed or destroyed.
/// \returns an error that names the address if it cannot be listened on.
Result<std::unique_ptr<QTcpServer>>
listenAt(const Address &At, std::function<void(QTcpSocket *)> Accept);

} // namespace amaranthspur

#endif // AMARANTHSPUR_WIRE_LISTENER_H
