#include "platform/HttpClient.h"

#include "core/Async.h"
#include "core/BootClock.h"

#include <QIODevice>
#include <QNetworkAccessManager>
#include <QNetworkProxy>
#include <QNetworkReply>
#include <QNetworkRequest>
#include <QUrl>

#include <algorithm>
#include <optional>

namespace amaranthspur {
namespace {

/// Longest response that is read. Configurations are smaller than 4 MiB.
constexpr qint64 MaxResponseBytes = 8LL * 1024 * 1024;
/// Longest pause in a response that is arriving; after it the connection is
/// considered dead. Packets are queued for up to 0.5 s on a congested link
/// between regions.
constexpr Duration StallTimeout = std::chrono::seconds(1);
/// Time after the deadline in which a response that has begun to arrive may
/// complete. For comparison, 40 configurations of 300 KB take 1.6 s on the
/// 60 Mbit/s link between the regions.
constexpr Duration TransferExtension = std::chrono::seconds(8);

/// A request body that can be read only until a time of the boot clock.
///
/// A connection reads it when it has been established. If the process is
/// suspended before that, the time is checked after it wakes.
class TimedBody final : public QIODevice {
public:
  TimedBody(QByteArray Content, TimePoint SendBy)
      : Content(std::move(Content)), SendBy(SendBy) {
    this->open(QIODevice::ReadOnly | QIODevice::Unbuffered);
  }

  bool isSequential() const override { return true; }
  qint64 bytesAvailable() const override {
    return this->Content.size() - this->Taken + QIODevice::bytesAvailable();
  }

protected:
  qint64 readData(char *To, qint64 MaxSize) override {
    if (bootNow() >= this->SendBy)
      return -1;
    const qint64 Size =
        std::min<qint64>(MaxSize, this->Content.size() - this->Taken);
    std::copy_n(this->Content.constData() + this->Taken, Size, To);
    this->Taken += Size;
    return Size;
  }
  qint64 writeData(const char *, qint64) override { return -1; }

private:
  QByteArray Content;
  TimePoint SendBy;
  qint64 Taken = 0; ///< Number of bytes that have been read.
};

} // namespace

HttpClient::HttpClient(const Address &Server, AbandonedCallObserver *Observer)
    : Observer(Observer) {
  const QString Host = QString::fromStdString(Server.Host);
  const bool Ipv6 = Host.contains(':');
  this->Base = "http://" + (Ipv6 ? "[" + Host + "]" : Host) + ":" +
               QString::number(Server.Port);
  this->renewConnections();
}

void HttpClient::renewConnections() {
  this->Http = std::make_shared<QNetworkAccessManager>();
  this->Http->setProxy(QNetworkProxy::NoProxy);
  this->Http->setAutoDeleteReplies(false);
}

void HttpClient::reportAbandoned(const HttpRequest &Request,
                                 std::optional<TimePoint> WrittenAt,
                                 ConnectionEnd End) const {
  if (!this->Observer || Request.Subject.Kind == CallKind::Read)
    return;
  AbandonedCall Call;
  Call.Subject = Request.Subject;
  Call.End = End;
  if (WrittenAt) {
    Call.Written = static_cast<std::size_t>(Request.Body.size());
    Call.SinceWritten = steadyNow() - *WrittenAt;
  }
  this->Observer->recordAbandoned(Call);
}

QCoro::Task<Result<HttpResponse>> HttpClient::send(HttpRequest Sent,
                                                   TimePoint Deadline) {
  QNetworkRequest Request(QUrl(this->Base + Sent.Path, QUrl::StrictMode));
  Request.setHeader(QNetworkRequest::ContentTypeHeader, Sent.ContentType);
  Request.setAttribute(QNetworkRequest::RedirectPolicyAttribute,
                       QNetworkRequest::ManualRedirectPolicy);
  for (const auto &[Name, Value] : Sent.Headers)
    Request.setRawHeader(Name, Value);
  TimedBody Body(Sent.Body, Sent.SendBy);
  const bool IsTimed = Sent.SendBy != TimePoint::max();
  if (IsTimed) {
    // Without these two, the body would be read before the connection is
    // opened.
    Request.setHeader(QNetworkRequest::ContentLengthHeader, Sent.Body.size());
    Request.setAttribute(QNetworkRequest::DoNotBufferUploadDataAttribute, true);
  }
  if (Sent.FreshConnection)
    this->renewConnections();
  // The reply belongs to the manager, so the manager must be destroyed after
  // it.
  const std::shared_ptr<QNetworkAccessManager> Manager = this->Http;
  const std::unique_ptr<QNetworkReply> Reply(
      IsTimed ? Manager->sendCustomRequest(Request, Sent.Verb, &Body)
              : Manager->sendCustomRequest(Request, Sent.Verb, Sent.Body));
  WaitPoint Finished;
  bool TooLarge = false;
  std::optional<TimePoint> ProgressAt;
  std::optional<TimePoint> WrittenAt;
  QNetworkReply *Running = Reply.get();
  QObject::connect(Running, &QNetworkReply::requestSent, Running,
                   [&WrittenAt] { WrittenAt = steadyNow(); });
  QObject::connect(Running, &QNetworkReply::finished, Running,
                   [&Finished] { Finished.wake(); });
  QObject::connect(
      Running, &QNetworkReply::downloadProgress, Running,
      [&Finished, &TooLarge, &ProgressAt](qint64 Received, qint64 /*Total*/) {
        if (Received > 0)
          ProgressAt = steadyNow();
        TooLarge = TooLarge || Received > MaxResponseBytes;
        if (TooLarge)
          Finished.wake();
      });
  TimePoint Until = Deadline;
  bool InTime = false;
  while (!InTime && steadyNow() < Until) {
    InTime = co_await Finished.wait(Until);
    if (ProgressAt)
      Until = std::max(Until, std::min(Deadline + TransferExtension,
                                       *ProgressAt + StallTimeout));
  }
  QObject::disconnect(Running, nullptr, nullptr, nullptr);
  if (TooLarge || !InTime) {
    Running->abort();
    this->reportAbandoned(Sent, WrittenAt, ConnectionEnd::Closed);
    // Other connections to the same server may be dead as well, so the next
    // request opens a new one.
    if (this->Http == Manager)
      this->renewConnections();
    co_return Error{TooLarge ? "the platform's response is too large"
                             : "the platform did not answer in time"};
  }
  const int Status =
      Running->attribute(QNetworkRequest::HttpStatusCodeAttribute).toInt();
  // A response that was cut off has a status, but also a transport error.
  if (Status == 0 || Running->error() == QNetworkReply::RemoteHostClosedError) {
    this->reportAbandoned(Sent, WrittenAt, ConnectionEnd::Lost);
    co_return Error{"the platform is unreachable: " +
                    Running->errorString().toStdString()};
  }
  co_return HttpResponse{Status, Running->readAll()};
}

} // namespace amaranthspur
