// A TCP connection that carries messages of the line protocol.
#ifndef AMARANTHSPUR_PLATFORM_LINESTREAM_H
#define AMARANTHSPUR_PLATFORM_LINESTREAM_H

#include "platform/LineCodec.h"
#include "wire/ByteStream.h"

namespace amaranthspur {

/// A connection of the line protocol. It is used by one task.
class LineStream final : public ByteStream {
public:
  using ByteStream::ByteStream;

  /// Returns the reader that splits the received bytes into lines.
  lines::LineReader &reader() { return this->Reader; }

  /// Waits for the next line.
  /// \returns the line, or nothing if the connection was closed, the line is
  /// too long, the wait was interrupted or \p Deadline passed.
  QCoro::Task<std::optional<std::string>>
  nextLine(TimePoint Deadline = NoDeadline);

protected:
  void feed(std::string_view Bytes) override { this->Reader.feed(Bytes); }

private:
  lines::LineReader Reader;
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_PLATFORM_LINESTREAM_H
