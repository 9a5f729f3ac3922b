// A ZeroMQ socket in the event loop: receives without blocking and never
// spins.
//
// The file descriptor of a ZeroMQ socket is edge-triggered, and sending can
// consume its readiness, so the socket's events are read again after each
// receive and each send. Queues are bounded by the socket's high-water marks; a
// message that does not fit is dropped.
#ifndef AMARANTHSPUR_ROOT_RELAY_ZMQENDPOINT_H
#define AMARANTHSPUR_ROOT_RELAY_ZMQENDPOINT_H

#include <QObject>
#include <QSocketNotifier>

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <zmq.hpp>

namespace amaranthspur {

/// A bound or connected socket.
class ZmqEndpoint {
public:
  /// The parts of one message.
  using Parts = std::vector<std::string>;

  /// Called with each received message.
  std::function<void(Parts)> OnMessage = [](const Parts &) {};

  /// \param Socket is configured, and bound or connected.
  explicit ZmqEndpoint(zmq::socket_t Socket);
  ZmqEndpoint(const ZmqEndpoint &) = delete;
  ZmqEndpoint &operator=(const ZmqEndpoint &) = delete;

  /// Sends \p Message; returns false if it was dropped because a queue is full
  /// or the receiver is not connected.
  bool send(const Parts &Message);

  /// Returns whether a message can be queued now.
  bool canSend();

private:
  /// Queues a call of drain(), which must not run inside the caller.
  void scheduleDrain();
  void drain();
  bool receive(Parts &Into);

  zmq::socket_t Socket;
  std::unique_ptr<QSocketNotifier> Notifier;
  QObject QueuedCallContext; ///< Its destruction cancels queued calls.
  bool DrainScheduled = false;
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_ROOT_RELAY_ZMQENDPOINT_H
