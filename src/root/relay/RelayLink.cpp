#include "root/relay/RelayLink.h"

#include "root/relay/RelayCodec.h"

namespace amaranthspur {
namespace {

/// Requests that wait for the connection or the relay. Each is small, and each
/// has a deadline of less than a second.
constexpr int SendHighWaterMark = 100;
constexpr int ReceiveHighWaterMark = 100;
constexpr int ConnectTimeoutMs = 600;
constexpr int HandshakeTimeoutMs = 600;
/// The first pause before another attempt to connect, which doubles. A relay
/// that has just started listens some 100 ms after its followers ask.
constexpr int ReconnectIntervalMs = 20;
constexpr int MaxReconnectIntervalMs = 200;

zmq::socket_t connectTo(zmq::context_t &Context, const std::string &Address,
                        LinkQueueing Queueing) {
  zmq::socket_t S(Context, zmq::socket_type::dealer);
  S.set(zmq::sockopt::linger, 0);
  S.set(zmq::sockopt::sndhwm, SendHighWaterMark);
  S.set(zmq::sockopt::rcvhwm, ReceiveHighWaterMark);
  S.set(zmq::sockopt::connect_timeout, ConnectTimeoutMs);
  S.set(zmq::sockopt::handshake_ivl, HandshakeTimeoutMs);
  S.set(zmq::sockopt::reconnect_ivl, ReconnectIntervalMs);
  S.set(zmq::sockopt::reconnect_ivl_max, MaxReconnectIntervalMs);
  S.set(zmq::sockopt::maxmsgsize,
        static_cast<std::int64_t>(MaxRelayReplyBytes));
  S.set(zmq::sockopt::immediate, Queueing == LinkQueueing::WhenConnected);
  S.connect("tcp://" + Address);
  return S;
}

} // namespace

RelayLink::RelayLink(zmq::context_t &Context, const std::string &Address,
                     LinkQueueing Queueing) {
  try {
    this->Endpoint =
        std::make_unique<ZmqEndpoint>(connectTo(Context, Address, Queueing));
  } catch (const zmq::error_t &) {
    // The address comes from the store. Requests over the link fail.
    return;
  }
  this->Endpoint->OnMessage = [this](const ZmqEndpoint::Parts &Message) {
    this->onMessage(Message);
  };
}

QCoro::Task<std::optional<relay::Reply>>
RelayLink::request(relay::Request Message, TimePoint Deadline) {
  PendingRequest Self;
  const bool Sent = this->send(Message, Self);
  if (!Sent) {
    // The caller waits as for any other unanswered request, so that it does not
    // try again in a tight loop.
    co_await sleepFor(std::max(Deadline - steadyNow(), Duration::zero()));
    co_return std::nullopt;
  }
  co_await Self.Answered.wait(Deadline);
  this->Pending.erase(Message.correlation());
  co_return std::move(Self.Reply);
}

QCoro::Task<std::optional<relay::Reply>>
RelayLink::requestPatiently(relay::Request Message, TimePoint Deadline,
                            Duration Patience) {
  PendingRequest Self;
  const TimePoint SentAt = steadyNow();
  const bool Sent = this->send(Message, Self);
  if (!Sent)
    co_return std::nullopt;
  const auto PatienceEnd = [this, SentAt, Deadline, Patience] {
    return std::min(Deadline, std::max(SentAt, this->LastReplyAt) + Patience);
  };
  while (!Self.Reply && this->Endpoint && steadyNow() < PatienceEnd())
    co_await Self.Answered.wait(PatienceEnd());
  this->Pending.erase(Message.correlation());
  co_return std::move(Self.Reply);
}

bool RelayLink::send(relay::Request &Message, PendingRequest &Self) {
  Message.set_correlation(++this->LastCorrelation);
  if (!this->Endpoint || !this->Endpoint->send({Message.SerializeAsString()}))
    return false;
  this->Pending.emplace(Message.correlation(), &Self);
  return true;
}

void RelayLink::onMessage(const ZmqEndpoint::Parts &Message) {
  if (Message.size() != 1)
    return;
  Result<relay::Reply> Decoded = decodeRelayReply(Message.front());
  if (!succeeded(Decoded))
    return;
  this->LastReplyAt = steadyNow();
  const auto Found = this->Pending.find(valueOf(Decoded).correlation());
  if (Found == this->Pending.end())
    return;
  Found->second->Reply = valueOf(std::move(Decoded));
  Found->second->Answered.wake();
}

void RelayLink::close() {
  this->Endpoint.reset();
  for (const auto &[Correlation, Request] : this->Pending)
    Request->Answered.wake();
}

} // namespace amaranthspur
