#include "root/peers/PeerLink.h"

#include "root/peers/ZmqCall.h"

#include <algorithm>

namespace amaranthspur {
namespace {

/// Messages that the socket holds itself. The rest waits in our queue, whose
/// bytes are counted.
constexpr int SocketHighWaterMark = 64;
constexpr std::size_t MaxControlMessages = 64;
/// Messages that a task delivers before other tasks and sockets get a turn.
constexpr unsigned DeliveryBatch = 32;
constexpr int ReconnectIntervalMs = 50;
constexpr int MaxReconnectIntervalMs = 1000;
constexpr int ConnectTimeoutMs = 1000;
/// Time in which the system has to get an acknowledgement of sent bytes.
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
  // cppzmq throws, for example when no descriptors are left.
  try {
    zmq::socket_t S(*this->Transport.Context, zmq::socket_type::dealer);
    S.set(zmq::sockopt::linger, 0);
    S.set(zmq::sockopt::sndhwm, SocketHighWaterMark);
    // Messages go to a completed connection only: what waits for one stays in
    // our queue and can expire.
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
  this->PingSent.reset();
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
    // An old ping is worth less than a new one.
    if (this->Control.size() >= MaxControlMessages) {
      this->Control.pop_front();
      this->Transport.Stats->drop(PeerDrop::SendQueueFull);
    }
    this->Control.push_back({std::move(Bytes), Now});
  } else {
    if (this->Data.size() >= MaxPeerQueueMessages ||
        this->DataBytes + Bytes.size() > MaxPeerQueueBytes) {
      this->Transport.Stats->drop(PeerDrop::SendQueueFull);
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
  // The descriptor stays readable until the events have been read.
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
    // The descriptor is edge-triggered: a send may have used up the edge, so
    // the events are read again before waiting for the next one.
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
    // The message cannot be sent at all; it must not block those behind it.
    this->Transport.Stats->drop(PeerDrop::SendExpired);
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
    this->Transport.Stats->drop(PeerDrop::ReceiveQueueFull);
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
      co_await this->Incoming.ready();
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
      this->Transport.Stats->drop(PeerDrop::SendExpired);
    }
}

void PeerLink::pingSent(TimePoint Now) {
  this->LastPing = Now;
  if (!this->PingSent)
    this->PingSent = Now;
}

bool PeerLink::isSilent(TimePoint Now) const {
  return this->Socket && this->PingSent && Now - *this->PingSent > SilenceTime;
}

bool PeerLink::wantsKeepAlive(TimePoint Now) const {
  return this->LastData && Now - *this->LastData < KeepAliveTime &&
         Now - this->LastPing >= KeepAliveInterval;
}

bool PeerLink::isIdle(TimePoint Now) const {
  return this->Control.empty() && this->Data.empty() &&
         this->Incoming.size() == 0 && Now - this->LastUse > IdleTime;
}

} // namespace amaranthspur
