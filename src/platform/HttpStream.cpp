#include "platform/HttpStream.h"

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <optional>
#include <string>

namespace amaranthspur {
namespace {

namespace http = boost::beast::http;

constexpr std::uint32_t MaxHeaderBytes = 64U << 10U;
constexpr unsigned HttpContinue = 100;
constexpr unsigned FirstFinalStatus = 200;

QByteArray toByteArray(boost::beast::string_view Text) {
  return {Text.data(), static_cast<qsizetype>(Text.size())};
}

} // namespace

/// Parses one response after another. Interim responses (1xx) are skipped.
class HttpStream::Parser {
public:
  Parser() { this->beginMessage(); }

  void beginResponse() {
    this->beginMessage();
    this->Surplus = !this->Pending.empty();
    this->State = ResponseState::Awaited;
  }

  void feed(std::string_view Bytes) {
    if (this->isEnded()) {
      this->Surplus = true;
      return;
    }
    this->State = ResponseState::Arriving;
    this->Pending += Bytes;
    bool More = true;
    while (More)
      More = this->parseSome();
  }

  void end() {
    if (this->isEnded() || !this->Message->got_some())
      return;
    boost::system::error_code Failure;
    this->Message->put_eof(Failure);
    this->State = Failure ? ResponseState::Malformed : ResponseState::Complete;
  }

  ResponseState state() const { return this->State; }
  bool isEnded() const {
    return this->State != ResponseState::Awaited &&
           this->State != ResponseState::Arriving;
  }
  bool mayContinue() const {
    return this->State == ResponseState::Complete && !this->Surplus &&
           this->Message->get().keep_alive();
  }
  HttpResponse take() {
    const auto &Received = this->Message->get();
    HttpResponse Response{static_cast<int>(Received.result_int()),
                          QByteArray::fromStdString(Received.body())};
    for (const auto &Field : Received)
      Response.Headers.emplace_back(toByteArray(Field.name_string()),
                                    toByteArray(Field.value()));
    return Response;
  }

private:
  void beginMessage() {
    this->Message.emplace();
    this->Message->eager(true);
    this->Message->header_limit(MaxHeaderBytes);
    this->Message->body_limit(MaxResponseBytes);
  }

  /// Passes the pending bytes to the parser. Returns whether it may accept more
  /// of them.
  bool parseSome() {
    if (this->Pending.empty())
      return false;
    boost::system::error_code Failure;
    const std::size_t Used =
        this->Message->put(boost::asio::buffer(this->Pending), Failure);
    this->Pending.erase(0, Used);
    if (Failure == http::error::need_more)
      return false;
    if (Failure) {
      this->State = Failure == http::error::body_limit
                        ? ResponseState::TooLarge
                        : ResponseState::Malformed;
      return false;
    }
    if (!this->Message->is_done())
      return Used > 0;
    const unsigned Status = this->Message->get().result_int();
    if (Status >= HttpContinue && Status < FirstFinalStatus) {
      this->beginMessage();
      return true;
    }
    this->State = ResponseState::Complete;
    this->Surplus = !this->Pending.empty();
    return false;
  }

  std::optional<http::response_parser<http::string_body>> Message;
  std::string Pending; ///< Received, but not yet accepted by the parser.
  ResponseState State = ResponseState::Complete;
  bool Surplus = false; ///< Bytes arrived that belong to no response.
};

HttpStream::HttpStream(QTcpSocket *Socket)
    : ByteStream(Socket), Reader(std::make_unique<Parser>()) {}

HttpStream::~HttpStream() = default;

void HttpStream::expectResponse() { this->Reader->beginResponse(); }

ResponseState HttpStream::state() const { return this->Reader->state(); }

bool HttpStream::isResponseEnded() const { return this->Reader->isEnded(); }

void HttpStream::endResponse() { this->Reader->end(); }

HttpResponse HttpStream::takeResponse() { return this->Reader->take(); }

bool HttpStream::isReusable() {
  this->readAvailable();
  return this->isOpen() && this->Reader->mayContinue();
}

void HttpStream::feed(std::string_view Bytes) { this->Reader->feed(Bytes); }

} // namespace amaranthspur
