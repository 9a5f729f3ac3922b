#include "root/relay/ZmqEndpoint.h"

#include "root/peers/ZmqCall.h"

#include <QMetaObject>

namespace amaranthspur {
namespace {

/// Number of messages that are received before control returns to the event
/// loop.
constexpr unsigned ReceiveBatch = 64;

} // namespace

ZmqEndpoint::ZmqEndpoint(zmq::socket_t Opened)
    : Socket(std::move(Opened)),
      Notifier(std::make_unique<QSocketNotifier>(
          this->Socket.get(zmq::sockopt::fd), QSocketNotifier::Read)) {
  QObject::connect(this->Notifier.get(), &QSocketNotifier::activated,
                   this->Notifier.get(), [this] { this->drain(); });
  this->scheduleDrain();
}

bool ZmqEndpoint::send(const Parts &Message) {
  bool Sent = true;
  try {
    for (std::size_t I = 0; I < Message.size() && Sent; ++I) {
      auto Flags = zmq::send_flags::dontwait;
      if (I + 1 < Message.size())
        Flags = Flags | zmq::send_flags::sndmore;
      const auto Result = uninterrupted([this, &Message, I, Flags] {
        return this->Socket.send(zmq::buffer(Message[I]), Flags);
      });
      Sent = Result.has_value();
    }
    if ((readyEvents(this->Socket) & ZMQ_POLLIN) != 0)
      this->scheduleDrain();
  } catch (const zmq::error_t &) {
    // For example EHOSTUNREACH: the receiver has disconnected.
    return false;
  }
  return Sent;
}

bool ZmqEndpoint::canSend() {
  try {
    const int Events = readyEvents(this->Socket);
    // Reading the events may have consumed the readiness of the descriptor.
    if ((Events & ZMQ_POLLIN) != 0)
      this->scheduleDrain();
    return (Events & ZMQ_POLLOUT) != 0;
  } catch (const zmq::error_t &) {
    return false;
  }
}

void ZmqEndpoint::scheduleDrain() {
  if (std::exchange(this->DrainScheduled, true))
    return;
  QMetaObject::invokeMethod(
      &this->QueuedCallContext,
      [this] {
        this->DrainScheduled = false;
        this->drain();
      },
      Qt::QueuedConnection);
}

void ZmqEndpoint::drain() {
  for (unsigned I = 0; I < ReceiveBatch; ++I) {
    Parts Message;
    if (this->receive(Message)) {
      this->OnMessage(std::move(Message));
      continue;
    }
    if ((readyEvents(this->Socket) & ZMQ_POLLIN) == 0)
      return;
  }
  this->scheduleDrain();
}

bool ZmqEndpoint::receive(Parts &Into) {
  try {
    zmq::message_t Part;
    do {
      const auto Received = uninterrupted([this, &Part] {
        return this->Socket.recv(Part, zmq::recv_flags::dontwait);
      });
      if (!Received)
        return false;
      Into.push_back(Part.to_string());
    } while (Part.more());
  } catch (const zmq::error_t &) {
    return false;
  }
  return true;
}

} // namespace amaranthspur
