#include "root/peers/PeerLink.h"

#include "root/peers/ZmqCall.h"

#include <algorithm>

namespace amaranthspur {
namespace {

/// Maximum number of messages in the send buffer of the socket. Further
/// messages wait in the queues of the link, which also limit the number of
/// bytes.
constexpr int SocketHighWaterMark = 64;
constexpr std::size_t MaxControlMessages = 64;
/// Number of messages that run() delivers before it yields to the event loop.
constexpr unsigned DeliveryBatch = 32;
constexpr int ReconnectIntervalMs = 50;
constexpr int MaxReconnectIntervalMs = 1000;
constexpr int ConnectTimeoutMs = 1000;
/// The kernel closes a connection if the peer does not acknowledge sent bytes
/// within this time.
constexpr int RetransmitTimeoutMs = 2000;
constexpr int HandshakeTimeoutMs = 2000;

} // namespace

PeerLink::PeerLink(const PeerTransport &Transport, std::string Address,
                   std::function<void(peer::Envelope &)> Deliver)
    : Transport(Transport), Address(std::move(Address)),
      Deliver(std::move(Deliver)), Incoming(MaxPeerQueueMessages) {}

PeerLink::~PeerLink() { this->reset(); }

bool PeerLink::open() {
  if (this->Socket)
    return true;
  // cppzmq throws on errors, for example if the process has run out of file
  // descriptors.
  try {
    zmq::socket_t S(*this->Transport.Context, zmq::socket_type::dealer);
    S.set(zmq::sockopt::linger, 0);
    S.set(zmq::sockopt::sndhwm, SocketHighWaterMark);
    // The socket accepts messages only for a completed connection. Until then
    // they stay in the queues of the link, where they can expire.
    S.set(zmq::sockopt::immediate, true);
    S.set(zmq::sockopt::reconnect_ivl, ReconnectIntervalMs);
    S.set(zmq::sockopt::reconnect_ivl_max, MaxReconnectIntervalMs);
    S.set(zmq::sockopt::connect_timeout, ConnectTimeoutMs);
    S.set(zmq::sockopt::tcp_maxrt, RetransmitTimeoutMs);
    S.set(zmq::sockopt::handshake_ivl, HandshakeTimeoutMs);
    S.set(zmq::sockopt::maxmsgsize,
          static_cast<std::int64_t>(MaxPeerMessageBytes));
    S.set(zmq::sockopt::curve_serverkey, this->Transport.Keys.PublicKey);
    S.set(zmq::sockopt::curve_publickey, this->Transport.Keys.PublicKey);
    S.set(zmq::sockopt::curve_secretkey, this->Transport.Keys.SecretKey);
    std::string Endpoint = "tcp://";
    if (!this->Transport.BindHost.empty())
      Endpoint += this->Transport.BindHost + ":0;";
    S.connect(Endpoint + this->Address);
    this->Notifier.reset(
        new QSocketNotifier(S.get(zmq::sockopt::fd), QSocketNotifier::Read));
    this->Socket = std::move(S);
  } catch (const zmq::error_t &) {
    this->Notifier.reset();
    return false;
  }
  QObject::connect(this->Notifier.get(), &QSocketNotifier::activated,
                   this->Notifier.get(), [this] { this->onWritable(); });
  ++this->Transport.Stats->LinksOpened;
  return true;
}

void PeerLink::reset() {
  this->Notifier.reset();
  this->Socket.reset();
  this->FirstUnansweredPing.reset();
}

void PeerLink::setAddress(const std::string &NewAddress) {
  if (this->Address == NewAddress)
    return;
  this->reset();
  this->Address = NewAddress;
}

void PeerLink::setLinger(Duration Linger) {
  if (this->Socket)
    this->Socket->set(
        zmq::sockopt::linger,
        static_cast<int>(std::chrono::ceil<milliseconds>(Linger).count()));
}

bool PeerLink::send(std::string Bytes, PeerTraffic Kind) {
  const TimePoint Now = steadyNow();
  if (Kind == PeerTraffic::Control) {
    // The oldest message is dropped, because a recent ping is more useful than
    // an old one.
    if (this->Control.size() >= MaxControlMessages) {
      this->Control.pop_front();
      this->Transport.Stats->countDrop(PeerDropReason::SendQueueFull);
    }
    this->Control.push_back({std::move(Bytes), Now});
  } else {
    if (this->Data.size() >= MaxPeerQueueMessages ||
        this->DataBytes + Bytes.size() > MaxPeerQueueBytes) {
      this->Transport.Stats->countDrop(PeerDropReason::SendQueueFull);
      return false;
    }
    this->DataBytes += Bytes.size();
    this->Data.push_back({std::move(Bytes), Now});
    this->LastData = Now;
  }
  this->LastUse = Now;
  this->flush();
  return true;
}

void PeerLink::onWritable() {
  // The file descriptor stays readable until ZMQ_EVENTS has been read.
  if (this->Socket && readyEvents(*this->Socket) != 0)
    this->flush();
}

void PeerLink::flush() {
  if (!this->open())
    return;
  for (;;) {
    std::deque<Outgoing> &Queue =
        this->Control.empty() ? this->Data : this->Control;
    if (Queue.empty())
      return;
    if (this->sendFirst(Queue))
      continue;
    // The file descriptor is edge-triggered, and the send may have consumed the
    // edge. The events are therefore read again before waiting for the next
    // edge.
    if ((readyEvents(*this->Socket) & ZMQ_POLLOUT) == 0)
      return;
  }
}

bool PeerLink::sendFirst(std::deque<Outgoing> &Queue) {
  const std::size_t Size = Queue.front().Bytes.size();
  try {
    const auto Sent = uninterrupted([this, &Queue] {
      return this->Socket->send(zmq::buffer(Queue.front().Bytes),
                                zmq::send_flags::dontwait);
    });
    if (!Sent)
      return false;
    ++this->Transport.Stats->MessagesSent;
    this->Transport.Stats->BytesSent += Size;
  } catch (const zmq::error_t &) {
    // The message cannot be sent. It is dropped so that it does not block the
    // messages behind it.
    this->Transport.Stats->countDrop(PeerDropReason::SendExpired);
  }
  if (&Queue == &this->Data)
    this->DataBytes -= Size;
  Queue.pop_front();
  return true;
}

bool PeerLink::receive(peer::Envelope Message, std::size_t Bytes) {
  this->LastUse = steadyNow();
  this->LastData = this->LastUse;
  if (this->IncomingBytes + Bytes > MaxPeerQueueBytes ||
      !this->Incoming.push({std::move(Message), Bytes})) {
    this->Transport.Stats->countDrop(PeerDropReason::ReceiveQueueFull);
    return false;
  }
  this->IncomingBytes += Bytes;
  return true;
}

QCoro::Task<> PeerLink::run() {
  unsigned Delivered = 0;
  for (;;) {
    std::optional<std::pair<peer::Envelope, std::size_t>> Next =
        this->Incoming.tryPop();
    if (!Next) {
      if (this->Incoming.closed())
        break;
      co_await this->Incoming.waitReady();
      continue;
    }
    this->IncomingBytes -= Next->second;
    this->Deliver(Next->first);
    if (++Delivered % DeliveryBatch == 0)
      co_await sleepFor(Duration::zero());
  }
  this->Ended = true;
}

void PeerLink::expire(TimePoint Now) {
  for (std::deque<Outgoing> *Queue : {&this->Control, &this->Data})
    while (!Queue->empty() && Now - Queue->front().QueuedAt > MaxSendWait) {
      if (Queue == &this->Data)
        this->DataBytes -= Queue->front().Bytes.size();
      Queue->pop_front();
      this->Transport.Stats->countDrop(PeerDropReason::SendExpired);
    }
}

void PeerLink::pingSent(TimePoint Now) {
  this->LastPing = Now;
  if (!this->FirstUnansweredPing)
    this->FirstUnansweredPing = Now;
}

bool PeerLink::isSilent(TimePoint Now) const {
  return this->Socket && this->FirstUnansweredPing &&
         Now - *this->FirstUnansweredPing > SilenceTimeout;
}

bool PeerLink::needsKeepAlive(TimePoint Now) const {
  return this->LastData && Now - *this->LastData < KeepAliveWindow &&
         Now - this->LastPing >= KeepAliveInterval;
}

bool PeerLink::isIdle(TimePoint Now) const {
  return this->Control.empty() && this->Data.empty() &&
         this->Incoming.size() == 0 && Now - this->LastUse > IdleTimeout;
}

} // namespace amaranthspur
