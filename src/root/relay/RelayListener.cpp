#include "root/relay/RelayListener.h"

#include "root/peers/ZmqCall.h"
#include "root/relay/RelayCodec.h"

namespace amaranthspur {
namespace {

constexpr int ReceiveHighWaterMark = 1000;
/// Replies queued for one entry VM. It asks for at most a few at a time.
constexpr int SendHighWaterMark = 50;
constexpr int ListenBacklog = 1024;
constexpr int HandshakeTimeoutMs = 1000;

} // namespace

Result<Success> RelayListener::listen(zmq::context_t &Context,
                                      const std::string &Address, Handler H) {
  this->OnRequest = std::move(H);
  try {
    zmq::socket_t S(Context, zmq::socket_type::router);
    S.set(zmq::sockopt::linger, 0);
    S.set(zmq::sockopt::rcvhwm, ReceiveHighWaterMark);
    S.set(zmq::sockopt::sndhwm, SendHighWaterMark);
    S.set(zmq::sockopt::backlog, ListenBacklog);
    S.set(zmq::sockopt::handshake_ivl, HandshakeTimeoutMs);
    S.set(zmq::sockopt::maxmsgsize,
          static_cast<std::int64_t>(MaxRelayRequestBytes));
    uninterrupted([&S, &Address] { S.bind("tcp://" + Address); });
    this->Endpoint = std::make_unique<ZmqEndpoint>(std::move(S));
  } catch (const zmq::error_t &E) {
    return Error{"cannot listen for entry VMs at " + Address + ": " + E.what()};
  }
  this->Endpoint->OnMessage = [this](ZmqEndpoint::Parts Message) {
    this->onMessage(std::move(Message));
  };
  return Success();
}

void RelayListener::onMessage(ZmqEndpoint::Parts Message) {
  // The socket puts the identity of the connection before the request.
  constexpr std::size_t PartCount = 2;
  if (Message.size() != PartCount) {
    ++this->Malformed;
    return;
  }
  Result<relay::Request> Decoded = decodeRelayRequest(Message.back());
  if (!succeeded(Decoded)) {
    ++this->Malformed;
    return;
  }
  this->OnRequest(std::move(Message.front()), valueOf(std::move(Decoded)));
}

void RelayListener::reply(const Peer &To, const relay::Reply &Message) {
  if (this->Endpoint)
    this->Endpoint->send({To, Message.SerializeAsString()});
}

} // namespace amaranthspur
