// A TCP connection that carries PostgreSQL frames. It is used by one task,
// which reads a frame with
//   while (!Frame) {
//     co_await C.readable(Deadline);
//     Frame = C.reader().next();
//   }
#ifndef AMARANTHSPUR_WIRE_CONNECTION_H
#define AMARANTHSPUR_WIRE_CONNECTION_H

#include "wire/ByteStream.h"
#include "wire/PgFrame.h"

#include <memory>

namespace amaranthspur {

/// A connection of the PostgreSQL protocol.
class Connection final : public ByteStream {
public:
  /// Takes ownership of a connected socket.
  /// \param MaxFrameBytes length limit of the frames that the peer may send.
  /// \param ExpectStartup whether the peer's first message has no type byte.
  Connection(QTcpSocket *Socket, std::size_t MaxFrameBytes, bool ExpectStartup)
      : ByteStream(Socket), Reader(MaxFrameBytes, ExpectStartup) {}

  /// Opens a connection to \p To.
  /// \param BindHost numeric local address to connect from. If it is empty, the
  /// operating system chooses one.
  /// \returns the connection, or null if connecting failed or \p Deadline
  /// passed.
  static QCoro::Task<std::unique_ptr<Connection>>
  open(Address To, std::size_t MaxFrameBytes, TimePoint Deadline,
       std::string BindHost = {});

  /// Returns the reader that splits the received bytes into frames.
  pg::FrameReader &reader() { return this->Reader; }

protected:
  void feed(std::string_view Bytes) override { this->Reader.feed(Bytes); }

private:
  pg::FrameReader Reader;
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_WIRE_CONNECTION_H
