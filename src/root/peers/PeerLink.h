// One peer: the socket to it, the queues both ways and the task that hands
// received messages to their handlers.
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

/// Bounds of one peer's queues, each way.
inline constexpr std::size_t MaxPeerQueueMessages = 1000;
inline constexpr std::size_t MaxPeerQueueBytes = 8U << 20U;
/// Largest message, in wire form.
inline constexpr std::size_t MaxPeerMessageBytes = 4U << 20U;

/// Which queue a message goes through.
enum class PeerTraffic {
  Control, ///< Membership; goes first, so that load does not look like death.
  Data,    ///< All else.
};

template <> struct EnumNames<PeerTraffic> {
  static constexpr auto Entries =
      std::to_array<std::pair<PeerTraffic, std::string_view>>(
          {{PeerTraffic::Control, "control"}, {PeerTraffic::Data, "data"}});
};

namespace detail {
/// Deletes a notifier from the event loop, since it may be the one whose signal
/// is being handled.
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

/// What all links share; outlives them.
struct PeerTransport {
  zmq::context_t *Context = nullptr;
  CurveKeys Keys;
  std::string BindHost; ///< Source of connections; empty: any.
  PeerNetworkStats *Stats = nullptr;
};

/// The socket is opened when there is something to send and closed by close()
/// or reset(). Invariant: the link outlives its task; ended() tells when it may
/// be destroyed.
class PeerLink {
public:
  /// \param Address `host:port` of the peer's socket.
  /// \param Deliver hands one message to its handler.
  PeerLink(const PeerTransport &Transport, std::string Address,
           std::function<void(peer::Envelope &)> Deliver);
  PeerLink(const PeerLink &) = delete;
  PeerLink &operator=(const PeerLink &) = delete;
  ~PeerLink();

  /// Queues \p Bytes and sends what the socket takes.
  /// \returns false if the queue is full; then nothing is sent.
  bool send(std::string Bytes, PeerTraffic Kind);

  /// Queues a received message for the task; false if the queue is full.
  bool receive(peer::Envelope Message, std::size_t Bytes);

  /// The task: takes messages from the queue and delivers them, until close().
  QCoro::Task<> run();

  /// Ends the task once the queue is empty.
  void close() { this->Incoming.close(); }
  bool ended() const { return this->Ended; }

  /// Drops the connection; the next message opens a new one.
  void reset();

  /// Takes in the peer's present address.
  void setAddress(const std::string &NewAddress);

  /// Gives messages in the socket up to \p Linger to leave once it closes.
  void setLinger(Duration Linger);

  /// Drops what has waited too long for a connection.
  void expire(TimePoint Now);

  /// Notes that a ping was sent, or that its answer came.
  void pingSent(TimePoint Now);
  void ackReceived() { this->PingSent.reset(); }
  void forgetPing() { this->PingSent.reset(); }

  /// Returns whether a ping has been unanswered for SilenceTime: the connection
  /// may be silent while a new one works.
  bool isSilent(TimePoint Now) const;

  /// Returns whether statements use the link and its silence would not be
  /// noticed soon by the regular pings.
  bool wantsKeepAlive(TimePoint Now) const;

  /// Returns whether nothing has been sent or received for IdleTime.
  bool isIdle(TimePoint Now) const;

  static constexpr Duration SilenceTime = milliseconds(500);
  static constexpr Duration KeepAliveInterval = milliseconds(300);
  /// A link that carried data within this time is kept alive.
  static constexpr Duration KeepAliveTime = std::chrono::seconds(5);
  static constexpr Duration IdleTime = std::chrono::seconds(10);
  /// Longest wait for a connection. What comes later finds the sender gone.
  static constexpr Duration MaxSendWait = std::chrono::seconds(2);

private:
  struct Outgoing {
    std::string Bytes;
    TimePoint QueuedAt;
  };

  bool open();
  void onWritable();
  void flush();
  /// Returns whether the socket took the first message of \p Queue.
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
  std::optional<TimePoint> PingSent;
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_ROOT_PEERS_PEERLINK_H
