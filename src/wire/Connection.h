// A TCP connection that carries PostgreSQL frames, for use in one task.
//
// The task that owns the connection reads with
//   while (!Frame) { co_await C.readable(Deadline); Frame = C.reader().next();
//   }
// and writes with write(), which never blocks; writable() waits until the
// system has taken enough of what was written.
//
// Bounded: at most ReadBufferBytes are read ahead from the socket; the writer
// keeps its bound by awaiting writable() after large writes.
#ifndef AMARANTHSPUR_WIRE_CONNECTION_H
#define AMARANTHSPUR_WIRE_CONNECTION_H

#include "core/Async.h"
#include "wire/PgFrame.h"

#include <QCoroTask>
#include <QTcpSocket>

#include <memory>
#include <string>
#include <string_view>

namespace amaranthspur {

/// An address in numbers.
struct Address {
  std::string Host; ///< IPv4 or IPv6 address in numeric form.
  std::uint16_t Port = 0;

  auto operator<=>(const Address &) const = default;
  std::string str() const {
    return this->Host + ":" + std::to_string(this->Port);
  }
};

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

/// One TCP connection. Not copyable; the socket is closed with it.
class Connection {
public:
  /// Takes over a connected socket.
  /// \param MaxFrameBytes longest frame that the peer may send.
  /// \param ExpectStartup whether the peer's first message has no type byte.
  Connection(QTcpSocket *Socket, std::size_t MaxFrameBytes, bool ExpectStartup);
  Connection(const Connection &) = delete;
  Connection &operator=(const Connection &) = delete;
  ~Connection();

  /// Opens a connection to \p To.
  /// \param BindHost numeric local address to connect from; empty: the
  /// system chooses.
  /// \returns the connection, or nothing if it was refused or \p Deadline
  /// passed.
  static QCoro::Task<std::unique_ptr<Connection>>
  open(Address To, std::size_t MaxFrameBytes, TimePoint Deadline,
       std::string BindHost = {});

  /// Waits for bytes and feeds them to reader().
  QCoro::Task<ReadEvent> readable(TimePoint Deadline = NoDeadline);

  /// Feeds bytes that have already arrived; returns whether there were any.
  bool readAvailable();

  /// Makes a pending or the next readable() return without data; its result is
  /// then ReadEvent::TimedOut.
  void interrupt() {
    this->Interrupted = true;
    this->Readable.wake();
  }

  pg::FrameReader &reader() { return this->Reader; }

  /// Queues \p Bytes for sending.
  void write(std::string_view Bytes);

  /// Waits until fewer than WriteBufferBytes are queued, the connection closes
  /// or \p Deadline passes; returns whether the bound was reached.
  QCoro::Task<bool> writable(TimePoint Deadline = NoDeadline);

  /// Returns how many bytes are queued and not yet taken by the system.
  std::size_t queuedBytes() const;

  /// Sends what is queued and closes.
  void close();

  /// Closes at once with a reset.
  void abort();

  bool isOpen() const { return !this->Ended; }

  /// Most bytes that are read ahead from the socket.
  static constexpr qint64 ReadBufferBytes = 64 << 10;
  /// writable() waits while more bytes than this are queued.
  static constexpr std::size_t WriteBufferBytes = 256U << 10U;

private:
  QTcpSocket *Socket;
  pg::FrameReader Reader;
  WaitPoint Readable;
  WaitPoint Writable;
  bool Ended = false;
  bool Interrupted = false;
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_WIRE_CONNECTION_H
