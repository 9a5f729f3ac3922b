// A TCP connection that carries PostgreSQL frames, for use in one task.
//
// The task that owns the connection reads with
//   while (!Frame) { co_await C.readable(Deadline); Frame = C.reader().next();
//   }
#ifndef AMARANTHSPUR_WIRE_CONNECTION_H
#define AMARANTHSPUR_WIRE_CONNECTION_H

#include "wire/ByteStream.h"
#include "wire/PgFrame.h"

#include <memory>

namespace amaranthspur {

/// One connection of frames.
class Connection final : public ByteStream {
public:
  /// Takes over a connected socket.
  /// \param MaxFrameBytes longest frame that the peer may send.
  /// \param ExpectStartup whether the peer's first message has no type byte.
  Connection(QTcpSocket *Socket, std::size_t MaxFrameBytes, bool ExpectStartup)
      : ByteStream(Socket), Reader(MaxFrameBytes, ExpectStartup) {}

  /// Opens a connection to \p To.
  /// \param BindHost numeric local address to connect from; empty: the
  /// system chooses.
  /// \returns the connection, or nothing if it was refused or \p Deadline
  /// passed.
  static QCoro::Task<std::unique_ptr<Connection>>
  open(Address To, std::size_t MaxFrameBytes, TimePoint Deadline,
       std::string BindHost = {});

  pg::FrameReader &reader() { return this->Reader; }

protected:
  void feed(std::string_view Bytes) override { this->Reader.feed(Bytes); }

private:
  pg::FrameReader Reader;
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_WIRE_CONNECTION_H
