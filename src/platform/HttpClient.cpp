#include "platform/HttpClient.h"

#include "core/BootClock.h"
#include "platform/HttpStream.h"

#include <algorithm>

namespace amaranthspur {
namespace {

/// Longest pause in a response that is arriving; after it the connection is
/// considered dead. Packets are queued for up to 0.5 s on a congested link
/// between regions.
constexpr Duration StallTimeout = std::chrono::seconds(1);
/// Time after the deadline in which a response that has begun to arrive may
/// complete. For comparison, 40 configurations of 300 KB take 1.6 s on the
/// 60 Mbit/s link between the regions.
constexpr Duration TransferExtension = std::chrono::seconds(8);
/// Time after which an idle connection is not used again. Servers close idle
/// connections, and a request that crosses the close is lost.
constexpr Duration MaxIdleTime = std::chrono::seconds(30);

constexpr const char *NoAnswer = "the platform did not answer in time";

bool changesNothing(const HttpRequest &Request) {
  return Request.Verb == "GET";
}

} // namespace

std::optional<QByteArray> HttpResponse::header(const QByteArray &Name) const {
  for (const auto &[Known, Value] : this->Headers)
    if (Known.compare(Name, Qt::CaseInsensitive) == 0)
      return Value;
  return std::nullopt;
}

HttpClient::HttpClient(const Address &Server, AbandonedCallObserver *Observer)
    : Server(Server), Observer(Observer) {}

HttpClient::~HttpClient() = default;

std::unique_ptr<HttpStream> HttpClient::takeIdle() {
  while (!this->Idle.empty()) {
    IdleStream Last = std::move(this->Idle.back());
    this->Idle.pop_back();
    if (steadyNow() - Last.Since < MaxIdleTime && Last.Stream->isReusable())
      return std::move(Last.Stream);
  }
  return nullptr;
}

void HttpClient::dropConnections() {
  this->Idle.clear();
  ++this->Generation;
  this->InUse = 0;
  this->Released.notifyAll();
}

QCoro::Task<std::unique_ptr<HttpStream>> HttpClient::open(TimePoint Deadline) {
  QTcpSocket *Socket = co_await openSocket(this->Server, Deadline);
  if (!Socket)
    co_return std::unique_ptr<HttpStream>();
  co_return std::make_unique<HttpStream>(Socket);
}

std::string HttpClient::encode(const HttpRequest &Request) const {
  const bool IsIpv6 = this->Server.Host.find(':') != std::string::npos;
  const std::string Host =
      IsIpv6 ? "[" + this->Server.Host + "]" : this->Server.Host;
  std::string Out = Request.Verb.toStdString() + " " +
                    Request.Path.toStdString() + " HTTP/1.1\r\nHost: " + Host +
                    ":" + std::to_string(this->Server.Port) + "\r\n";
  if (!changesNothing(Request))
    Out += "Content-Type: " + Request.ContentType.toStdString() +
           "\r\nContent-Length: " + std::to_string(Request.Body.size()) +
           "\r\n";
  for (const auto &[Name, Value] : Request.Headers)
    Out += Name.toStdString() + ": " + Value.toStdString() + "\r\n";
  return Out + "\r\n" + Request.Body.toStdString();
}

void HttpClient::reportAbandoned(const HttpRequest &Request,
                                 const HttpStream &Stream, std::size_t Size,
                                 TimePoint WrittenAt) const {
  if (!this->Observer || Request.Subject.Kind == CallKind::Read)
    return;
  AbandonedCall Call;
  Call.Subject = Request.Subject;
  Call.Written = Size - std::min(Size, Stream.queuedBytes());
  Call.SinceWritten = steadyNow() - WrittenAt;
  Call.End = Stream.endIfGivenUp();
  this->Observer->recordAbandoned(Call);
}

QCoro::Task<> HttpClient::readResponse(HttpStream &Stream, TimePoint Deadline) {
  TimePoint Until = Deadline;
  ReadEvent Event = ReadEvent::Data;
  while (Event == ReadEvent::Data && !Stream.isResponseEnded()) {
    Event = co_await Stream.waitReadable(Until);
    if (Event == ReadEvent::Data)
      Until = std::max(Deadline, std::min(Deadline + TransferExtension,
                                          steadyNow() + StallTimeout));
  }
  if (Event == ReadEvent::Closed)
    Stream.endResponse();
}

QCoro::Task<Result<HttpResponse>>
HttpClient::exchange(const HttpRequest &Request, HttpStream &Stream,
                     TimePoint Deadline) {
  const std::string Message = this->encode(Request);
  // The process may have been suspended while the connection was opened.
  if (bootNow() >= Request.SendBy)
    co_return Error{"the time to send the request has passed"};
  Stream.limitUnacknowledged(Deadline - steadyNow());
  Stream.expectResponse();
  Stream.write(Message);
  // Without this, the event loop would pass the bytes to the kernel later,
  // perhaps after a suspension.
  Stream.flush();
  const TimePoint WrittenAt = steadyNow();
  co_await readResponse(Stream, Deadline);
  switch (Stream.state()) {
  case ResponseState::Complete:
    co_return Stream.takeResponse();
  case ResponseState::TooLarge:
    co_return Error{"the platform's response is too large"};
  case ResponseState::Malformed:
    co_return Error{"the platform's response is malformed or was cut off"};
  case ResponseState::Awaited:
  case ResponseState::Arriving:
    break;
  }
  this->reportAbandoned(Request, Stream, Message.size(), WrittenAt);
  co_return Error{Stream.isOpen()
                      ? NoAnswer
                      : "the platform is unreachable: connection lost"};
}

QCoro::Task<Result<HttpResponse>> HttpClient::send(HttpRequest Request,
                                                   TimePoint Deadline) {
  bool InTime = true;
  while (InTime && !Request.FreshConnection && this->InUse >= MaxConnections)
    InTime = co_await this->Released.wait(Deadline);
  if (!InTime)
    co_return Error{NoAnswer};
  const Use Counted(*this);
  std::unique_ptr<HttpStream> Stream;
  if (!Request.FreshConnection)
    Stream = this->takeIdle();
  Result<HttpResponse> R = Error{};
  bool NeedsNew = !Stream;
  if (Stream) {
    R = co_await this->exchange(Request, *Stream, Deadline);
    // The server had closed the connection before the request arrived.
    NeedsNew = changesNothing(Request) && !Stream->isOpen() &&
               Stream->state() == ResponseState::Awaited;
    if (NeedsNew)
      this->Idle.clear();
  }
  if (NeedsNew) {
    Stream = co_await this->open(Deadline);
    if (Stream)
      R = co_await this->exchange(Request, *Stream, Deadline);
    else
      R = Error{"the platform is unreachable: cannot connect to " +
                this->Server.str()};
  }
  // Other connections to the same server may be dead as well, so the next
  // request opens a new one.
  if (!succeeded(R))
    this->dropConnections();
  // Requests that require a new connection would only add to the idle ones.
  else if (!Request.FreshConnection && Counted.isCurrent() &&
           Stream->isReusable())
    this->Idle.push_back({std::move(Stream), steadyNow()});
  co_return R;
}

} // namespace amaranthspur
