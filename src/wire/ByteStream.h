// Base class of TCP connections. A connection is used by one task.
//
// The task waits for data with waitReadable(), which passes the received bytes
// to the decoder of the derived class. It sends with write(), which never
// blocks, and waits with waitWritable() until the send queue is short enough.
//
// Both directions are bounded. At most ReadBufferBytes are buffered on receipt.
// The length of the send queue is bounded only if the task awaits
// waitWritable() after large writes.
#ifndef AMARANTHSPUR_WIRE_BYTESTREAM_H
#define AMARANTHSPUR_WIRE_BYTESTREAM_H

#include "core/AbandonedCall.h"
#include "core/Address.h"
#include "core/Async.h"
#include "core/Names.h"
#include "core/Result.h"

#include <QCoroTask>
#include <QTcpSocket>

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

namespace amaranthspur {

/// Parses `host:port`, where the host is a numeric IP address.
Result<Address> parseAddress(std::string_view Text);

/// The result of a wait for data.
enum class ReadEvent { Data, Closed, TimedOut };

template <> struct EnumNames<ReadEvent> {
  static constexpr auto Entries =
      std::to_array<std::pair<ReadEvent, std::string_view>>(
          {{ReadEvent::Data, "data"},
           {ReadEvent::Closed, "closed"},
           {ReadEvent::TimedOut, "timed-out"}});
};

/// TCP options that determine when the kernel closes a connection whose peer
/// does not respond.
struct TcpTimeouts {
  /// Idle time before the first keep-alive probe, in whole seconds.
  Duration KeepAliveIdle{};
  /// Time between two probes, in whole seconds.
  Duration KeepAliveInterval{};
  /// Number of unanswered probes after which the connection is closed.
  int KeepAliveProbes = 0;
  /// Longest time for which sent bytes may stay unacknowledged, in whole
  /// milliseconds.
  Duration UserTimeout{};
};

/// Connects to \p To.
///
/// The connection is reset when it is closed, by whatever means, also if the
/// process is killed. Without that, the kernel delivers the bytes that it has
/// accepted when a path that is cut works again, so a call that was given up
/// would be executed later. Bytes that are not acknowledged within
/// ByteStream::MaxUnacknowledged are discarded as well, since a suspended
/// process cannot close anything.
/// \param BindHost numeric local address to connect from. If it is empty, the
/// operating system chooses one.
/// \returns the connected socket, or null if connecting failed or \p Deadline
/// passed.
QCoro::Task<QTcpSocket *> openSocket(Address To, TimePoint Deadline,
                                     std::string BindHost = {});

/// One TCP connection. Its destructor closes the socket.
class ByteStream {
public:
  /// Takes ownership of a connected socket.
  explicit ByteStream(QTcpSocket *Socket);
  ByteStream(const ByteStream &) = delete;
  ByteStream &operator=(const ByteStream &) = delete;
  virtual ~ByteStream();

  /// Waits for bytes and passes them to the decoder.
  QCoro::Task<ReadEvent> waitReadable(TimePoint Deadline = NoDeadline);

  /// Passes the bytes that have already arrived to the decoder. Returns whether
  /// there were any.
  bool readAvailable();

  /// Makes the current call of waitReadable(), or else the next one that finds
  /// no data, return ReadEvent::TimedOut before its deadline.
  void interrupt() {
    this->Interrupted = true;
    this->Readable.wake();
  }

  /// Sets how long the kernel keeps the connection if the peer does not
  /// respond.
  void setTcpTimeouts(const TcpTimeouts &Limits);

  /// Limits the time for which sent bytes may stay unacknowledged. After it the
  /// kernel discards them and ends the connection, also if the process is
  /// suspended.
  /// \param Limit is rounded down to milliseconds, and up to one; at most
  /// MaxUnacknowledged applies.
  void limitUnacknowledged(Duration Limit);

  /// Queues \p Bytes for sending.
  void write(std::string_view Bytes);

  /// Passes the queued bytes to the kernel as far as it accepts them now.
  void flush();

  /// Waits until at most WriteBufferBytes are queued.
  /// \returns false if the connection was closed or \p Deadline passed first.
  QCoro::Task<bool> waitWritable(TimePoint Deadline = NoDeadline);

  /// Returns the number of queued bytes that were not yet passed to the kernel.
  std::size_t queuedBytes() const;

  /// Closes the connection after the queued bytes have been passed to the
  /// kernel. On a connection made by openSocket() the kernel discards those
  /// that are not delivered yet.
  void close();

  /// Waits until the connection is closed.
  /// \returns false if \p Deadline passed first.
  QCoro::Task<bool> waitClosed(TimePoint Deadline);

  /// Closes the connection at once and discards the queued bytes.
  void abort();

  /// Returns how the connection ends if it is given up now.
  ConnectionEnd endIfGivenUp() const;

  /// Returns whether the connection is still open.
  bool isOpen() const { return !this->Ended; }

  /// Size limit of the receive buffer.
  static constexpr qint64 ReadBufferBytes = 64 << 10;
  /// Longest time for which bytes sent on a connection made by openSocket() may
  /// stay unacknowledged. It is below the lease of a takeover (4 s), so that an
  /// order of a suspended process is discarded before the next holder acts.
  static constexpr Duration MaxUnacknowledged = std::chrono::seconds(2);
  /// Length of the send queue up to which waitWritable() does not wait.
  static constexpr std::size_t WriteBufferBytes = 256U << 10U;

protected:
  /// Passes received bytes to the decoder.
  virtual void feed(std::string_view Bytes) = 0;

private:
  QTcpSocket *Socket;
  WaitPoint Readable;
  WaitPoint Writable;
  bool Ended = false;
  bool Interrupted = false;
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_WIRE_BYTESTREAM_H
