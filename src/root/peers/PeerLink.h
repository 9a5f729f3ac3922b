// The link to one peer: the outgoing socket, the queues in both directions and
// the task that passes received messages to their handlers.
#ifndef AMARANTHSPUR_ROOT_PEERS_PEERLINK_H
#define AMARANTHSPUR_ROOT_PEERS_PEERLINK_H

#include "core/Async.h"
#include "peer.pb.h"
#include "root/peers/CurveKeys.h"
#include "root/peers/PeerNetworkStats.h"

#include <QCoroTask>
#include <QSocketNotifier>

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <zmq.hpp>

namespace amaranthspur {

/// Limits of a peer's data queues; they apply to each direction separately.
inline constexpr std::size_t MaxPeerQueueMessages = 1000;
inline constexpr std::size_t MaxPeerQueueBytes = 8U << 20U;
/// Maximum size of an encoded message.
inline constexpr std::size_t MaxPeerMessageBytes = 4U << 20U;

/// The outgoing queue that a message uses.
enum class PeerTraffic {
  /// Membership messages. They are sent before data, so that a member under
  /// load is not declared dead.
  Control,
  /// All other messages.
  Data,
};

template <> struct EnumNames<PeerTraffic> {
  static constexpr auto Entries =
      std::to_array<std::pair<PeerTraffic, std::string_view>>(
          {{PeerTraffic::Control, "control"}, {PeerTraffic::Data, "data"}});
};

namespace detail {
/// Disables a notifier and defers its deletion to the event loop, because the
/// caller may be running in a slot of this notifier.
struct DeleteNotifierLater {
  void operator()(QSocketNotifier *Notifier) const {
    Notifier->setEnabled(false);
    Notifier->disconnect();
    Notifier->deleteLater();
  }
};
} // namespace detail

using SocketNotifierPointer =
    std::unique_ptr<QSocketNotifier, detail::DeleteNotifierLater>;

/// The resources and settings that all links share. It must outlive the links.
struct PeerTransport {
  zmq::context_t *Context = nullptr;
  CurveKeys Keys;
  std::string BindHost; ///< Local address of connections; empty for any.
  PeerNetworkStats *Stats = nullptr;
};

/// The link to one peer. The socket is opened when there is a message to send,
/// and closed by reset() or by the destructor.
///
/// Invariant: the link outlives its task run(). It may be destroyed once
/// ended() returns true.
class PeerLink {
public:
  /// \param Transport must outlive the link.
  /// \param Address `host:port` of the peer's socket.
  /// \param Deliver passes one received message to its handler.
  PeerLink(const PeerTransport &Transport, std::string Address,
           std::function<void(peer::Envelope &)> Deliver);
  PeerLink(const PeerLink &) = delete;
  PeerLink &operator=(const PeerLink &) = delete;
  ~PeerLink();

  /// Queues \p Bytes and sends as many queued messages as the socket accepts.
  /// \returns false if the data queue is full. In that case nothing is sent.
  bool send(std::string Bytes, PeerTraffic Kind);

  /// Queues a received message of \p Bytes encoded bytes for run().
  /// \returns false if the queue is full.
  bool receive(peer::Envelope Message, std::size_t Bytes);

  /// Runs the task that delivers the received messages. It ends after close(),
  /// once the queue is empty.
  QCoro::Task<> run();

  /// Closes the queue of received messages, so that run() ends once the queue
  /// is empty.
  void close() { this->Incoming.close(); }
  /// Returns whether run() has ended.
  bool ended() const { return this->Ended; }

  /// Closes the connection. The next message opens a new one.
  void reset();

  /// Sets the peer's address. If it differs from the previous address, the
  /// connection is closed.
  void setAddress(const std::string &NewAddress);

  /// Sets how long a closed socket may continue to send its messages.
  void setLinger(Duration Linger);

  /// Drops queued messages that have waited longer than MaxSendWait.
  void expire(TimePoint Now);

  /// Records that a ping was sent.
  void pingSent(TimePoint Now);
  /// Records that the peer acknowledged a ping.
  void ackReceived() { this->FirstUnansweredPing.reset(); }
  /// Clears the unanswered ping, so that isSilent() does not count it.
  void forgetPing() { this->FirstUnansweredPing.reset(); }

  /// Returns whether a ping has been unanswered for SilenceTimeout. The
  /// connection may then be broken although a new connection would work.
  bool isSilent(TimePoint Now) const;

  /// Returns whether a keep-alive ping is due. A link that carries data needs
  /// these pings because the regular membership pings would detect a broken
  /// connection too late.
  bool needsKeepAlive(TimePoint Now) const;

  /// Returns whether all queues are empty and the link has not been used for
  /// IdleTimeout.
  bool isIdle(TimePoint Now) const;

  static constexpr Duration SilenceTimeout = milliseconds(500);
  static constexpr Duration KeepAliveInterval = milliseconds(300);
  /// A link that has carried data within this time gets keep-alive pings.
  static constexpr Duration KeepAliveWindow = std::chrono::seconds(5);
  static constexpr Duration IdleTimeout = std::chrono::seconds(10);
  /// Maximum time that a message waits for a connection. After it, the sender
  /// no longer waits for the message.
  static constexpr Duration MaxSendWait = std::chrono::seconds(2);

private:
  struct Outgoing {
    std::string Bytes;
    TimePoint QueuedAt;
  };

  bool open();
  void onWritable();
  void flush();
  /// Sends the first message of \p Queue and removes it. A message that cannot
  /// be sent because of an error is dropped.
  ///
  /// \returns false if the socket cannot accept a message now.
  bool sendFirst(std::deque<Outgoing> &Queue);

  const PeerTransport &Transport;
  std::string Address;
  std::function<void(peer::Envelope &)> Deliver;

  std::optional<zmq::socket_t> Socket;
  SocketNotifierPointer Notifier;
  std::deque<Outgoing> Control;
  std::deque<Outgoing> Data;
  std::size_t DataBytes = 0;

  AsyncQueue<std::pair<peer::Envelope, std::size_t>> Incoming;
  std::size_t IncomingBytes = 0;
  bool Ended = false;

  TimePoint LastUse = steadyNow();
  std::optional<TimePoint> LastData;
  TimePoint LastPing{};
  /// When the oldest ping without an answer was sent.
  std::optional<TimePoint> FirstUnansweredPing;
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_ROOT_PEERS_PEERLINK_H
