// A TCP connection that carries lines.
#ifndef AMARANTHSPUR_PLATFORM_LINESTREAM_H
#define AMARANTHSPUR_PLATFORM_LINESTREAM_H

#include "platform/LineCodec.h"
#include "wire/ByteStream.h"

namespace amaranthspur {

/// One connection of lines, for use in one task.
class LineStream final : public ByteStream {
public:
  using ByteStream::ByteStream;

  lines::LineReader &reader() { return this->Reader; }

  /// Waits for the next line.
  /// \returns nothing if the connection closed, the line is too long or
  /// \p Deadline passed.
  QCoro::Task<std::optional<std::string>>
  nextLine(TimePoint Deadline = NoDeadline);

protected:
  void feed(std::string_view Bytes) override { this->Reader.feed(Bytes); }

private:
  lines::LineReader Reader;
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_PLATFORM_LINESTREAM_H
