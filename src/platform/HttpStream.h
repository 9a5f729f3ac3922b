// A connection to an HTTP/1.1 server. Only HttpStream.cpp depends on the
// parser, Boost.Beast.
#ifndef AMARANTHSPUR_PLATFORM_HTTPSTREAM_H
#define AMARANTHSPUR_PLATFORM_HTTPSTREAM_H

#include "core/Names.h"
#include "platform/HttpClient.h"
#include "wire/ByteStream.h"

#include <array>
#include <memory>
#include <string_view>

namespace amaranthspur {

/// How much of a response has arrived.
enum class ResponseState { Awaited, Arriving, Complete, Malformed, TooLarge };

template <> struct EnumNames<ResponseState> {
  static constexpr auto Entries =
      std::to_array<std::pair<ResponseState, std::string_view>>(
          {{ResponseState::Awaited, "awaited"},
           {ResponseState::Arriving, "arriving"},
           {ResponseState::Complete, "complete"},
           {ResponseState::Malformed, "malformed"},
           {ResponseState::TooLarge, "too-large"}});
};

/// One connection, which carries one request at a time. It is used by one task.
class HttpStream final : public ByteStream {
public:
  /// Longest response that is read. Configurations are smaller than 4 MiB.
  static constexpr std::uint64_t MaxResponseBytes = 8ULL << 20U;

  /// Takes ownership of a connected socket.
  explicit HttpStream(QTcpSocket *Socket);
  ~HttpStream() override;

  /// Prepares for the response to the next request.
  void expectResponse();

  /// Returns the state of the response to the last request.
  ResponseState state() const;

  /// Returns whether nothing more of the response is expected.
  bool isResponseEnded() const;

  /// Ends the response because the connection was closed. This completes a
  /// response whose length is not given otherwise.
  void endResponse();

  /// Returns the response. \pre state() is Complete.
  HttpResponse takeResponse();

  /// Returns whether another request may be sent on the connection: it is open,
  /// the response has arrived, and nothing after it.
  bool isReusable();

protected:
  void feed(std::string_view Bytes) override;

private:
  class Parser;
  std::unique_ptr<Parser> Reader;
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_PLATFORM_HTTPSTREAM_H
