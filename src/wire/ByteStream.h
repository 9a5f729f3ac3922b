// A TCP connection of bytes, for use in one task.
//
// The task that owns the stream waits with readable(), which feeds what has
// arrived to the decoder of the derived class, and writes with write(), which
// never blocks; writable() waits until the system has taken enough.
//
// Bounded: at most ReadBufferBytes are read ahead from the socket; the writer
// keeps its bound by awaiting writable() after large writes.
#ifndef AMARANTHSPUR_WIRE_BYTESTREAM_H
#define AMARANTHSPUR_WIRE_BYTESTREAM_H

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

/// Parses `host:port` with a numeric host.
Result<Address> parseAddress(std::string_view Text);

/// What ended a wait for bytes.
enum class ReadEvent { Data, Closed, TimedOut };

template <> struct EnumNames<ReadEvent> {
  static constexpr auto Entries =
      std::to_array<std::pair<ReadEvent, std::string_view>>(
          {{ReadEvent::Data, "data"},
           {ReadEvent::Closed, "closed"},
           {ReadEvent::TimedOut, "timed-out"}});
};

/// Limits after which the kernel gives up a connection whose peer is silent.
struct TcpTimeouts {
  Duration KeepAliveIdle{};     ///< Silence before the first probe; whole s.
  Duration KeepAliveInterval{}; ///< Between probes; whole s.
  int KeepAliveProbes = 0;
  Duration UserTimeout{}; ///< Longest time that sent bytes stay unacknowledged.
};

/// Opens a socket to \p To.
/// \param BindHost numeric local address to connect from; empty: the system
/// chooses.
/// \returns the connected socket, or null if it was refused or \p Deadline
/// passed.
QCoro::Task<QTcpSocket *> openSocket(Address To, TimePoint Deadline,
                                     std::string BindHost = {});

/// One TCP connection. Not copyable; the socket is closed with it.
class ByteStream {
public:
  /// Takes over a connected socket.
  explicit ByteStream(QTcpSocket *Socket);
  ByteStream(const ByteStream &) = delete;
  ByteStream &operator=(const ByteStream &) = delete;
  virtual ~ByteStream();

  /// Waits for bytes and feeds them to the decoder.
  QCoro::Task<ReadEvent> readable(TimePoint Deadline = NoDeadline);

  /// Feeds bytes that have already arrived; returns whether there were any.
  bool readAvailable();

  /// Makes a pending or the next readable() return without data; its result is
  /// then ReadEvent::TimedOut.
  void interrupt() {
    this->Interrupted = true;
    this->Readable.wake();
  }

  /// Sets how long the kernel keeps a connection whose peer is silent.
  void setTcpTimeouts(const TcpTimeouts &Limits);

  /// Queues \p Bytes for sending.
  void write(std::string_view Bytes);

  /// Waits until fewer than WriteBufferBytes are queued, the connection closes
  /// or \p Deadline passes; returns whether the bound was reached.
  QCoro::Task<bool> writable(TimePoint Deadline = NoDeadline);

  /// Returns how many bytes are queued and not yet taken by the system.
  std::size_t queuedBytes() const;

  /// Sends what is queued and closes.
  void close();

  /// Waits until the connection is closed; false if \p Deadline passed first.
  QCoro::Task<bool> closed(TimePoint Deadline);

  /// Closes at once with a reset.
  void abort();

  bool isOpen() const { return !this->Ended; }

  /// Most bytes that are read ahead from the socket.
  static constexpr qint64 ReadBufferBytes = 64 << 10;
  /// writable() waits while more bytes than this are queued.
  static constexpr std::size_t WriteBufferBytes = 256U << 10U;

protected:
  /// Takes bytes that have arrived.
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
