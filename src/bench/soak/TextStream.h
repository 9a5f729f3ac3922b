// A TCP connection that is read as lines and blocks of bytes.
#ifndef AMARANTHSPUR_BENCH_SOAK_TEXTSTREAM_H
#define AMARANTHSPUR_BENCH_SOAK_TEXTSTREAM_H

#include "wire/ByteStream.h"

#include <optional>
#include <string>

namespace amaranthspur::bench::soak {

/// Reads lines that end with CR LF.
class TextStream final : public ByteStream {
public:
  explicit TextStream(QTcpSocket *Socket) : ByteStream(Socket) {}

  /// Returns the next line without its end, or nothing if the connection ended
  /// or \p Deadline passed first; isOpen() tells which.
  QCoro::Task<std::optional<std::string>>
  readLine(TimePoint Deadline = NoDeadline) {
    std::size_t End = this->Received.find("\r\n");
    while (End == std::string::npos) {
      const ReadEvent Event = co_await this->waitReadable(Deadline);
      if (Event != ReadEvent::Data)
        co_return std::nullopt;
      End = this->Received.find("\r\n");
    }
    std::string Line = this->Received.substr(0, End);
    this->Received.erase(0, End + 2);
    co_return Line;
  }

  /// Returns the next \p Count bytes, or nothing if the connection ended first.
  QCoro::Task<std::optional<std::string>> readBytes(std::size_t Count) {
    while (this->Received.size() < Count) {
      const ReadEvent Event = co_await this->waitReadable();
      if (Event != ReadEvent::Data)
        co_return std::nullopt;
    }
    std::string Bytes = this->Received.substr(0, Count);
    this->Received.erase(0, Count);
    co_return Bytes;
  }

protected:
  void feed(std::string_view Bytes) override { this->Received += Bytes; }

private:
  std::string Received;
};

} // namespace amaranthspur::bench::soak

#endif // AMARANTHSPUR_BENCH_SOAK_TEXTSTREAM_H
