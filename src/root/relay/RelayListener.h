// The socket on which a relay answers the entry VMs of its data centre.
#ifndef AMARANTHSPUR_ROOT_RELAY_RELAYLISTENER_H
#define AMARANTHSPUR_ROOT_RELAY_RELAYLISTENER_H

#include "core/Result.h"
#include "relay.pb.h"
#include "root/relay/ZmqEndpoint.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace amaranthspur {

/// Receives requests and sends replies. A malformed request is counted and
/// dropped; it affects no other request.
class RelayListener {
public:
  /// Identifies the connection that a request came from.
  using Peer = std::string;
  /// Called with each well-formed request.
  using Handler = std::function<void(Peer, relay::Request)>;

  /// Starts to listen.
  /// \param Context of the ZeroMQ socket; must outlive the listener.
  /// \param Address host:port to listen on.
  Result<Success> listen(zmq::context_t &Context, const std::string &Address,
                         Handler OnRequest);

  /// Sends \p Message; it is dropped if the peer has disconnected or does not
  /// read.
  void reply(const Peer &To, const relay::Reply &Message);

  /// Stops to listen and closes all connections.
  void close() { this->Endpoint.reset(); }

  /// Returns the number of requests that were dropped as malformed.
  std::uint64_t malformed() const { return this->Malformed; }

private:
  void onMessage(ZmqEndpoint::Parts Message);

  std::unique_ptr<ZmqEndpoint> Endpoint;
  Handler OnRequest;
  std::uint64_t Malformed = 0;
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_ROOT_RELAY_RELAYLISTENER_H
