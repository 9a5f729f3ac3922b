#include "platform/HttpClient.h"

#include "core/Async.h"

#include <QNetworkAccessManager>
#include <QNetworkProxy>
#include <QNetworkReply>
#include <QNetworkRequest>
#include <QUrl>

#include <algorithm>
#include <optional>

namespace amaranthspur {
namespace {

/// An answer above this size is not read; configurations are smaller than
/// 4 MiB.
constexpr qint64 MaxAnswerBytes = 8LL * 1024 * 1024;
/// Longest pause in an answer that is arriving; a silent connection shows by
/// it. Packets wait half a second on a crowded link between regions.
constexpr Duration StallLimit = std::chrono::seconds(1);
/// Time behind the deadline for an answer that is arriving: 40 configurations
/// of 300 KB cross the link of 60 Mbit/s between the regions in 1.6 s.
constexpr Duration TransferLimit = std::chrono::seconds(8);

} // namespace

HttpClient::HttpClient(const Address &Server) {
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

QCoro::Task<Result<HttpResponse>> HttpClient::send(HttpRequest Sent,
                                                   TimePoint Deadline) {
  QNetworkRequest Request(QUrl(this->Base + Sent.Path, QUrl::StrictMode));
  Request.setHeader(QNetworkRequest::ContentTypeHeader, Sent.ContentType);
  Request.setAttribute(QNetworkRequest::RedirectPolicyAttribute,
                       QNetworkRequest::ManualRedirectPolicy);
  for (const auto &[Name, Value] : Sent.Headers)
    Request.setRawHeader(Name, Value);
  if (Sent.FreshConnection)
    this->renewConnections();
  // Destroyed behind the reply, which belongs to it.
  const std::shared_ptr<QNetworkAccessManager> Manager = this->Http;
  const std::unique_ptr<QNetworkReply> Reply(
      Manager->sendCustomRequest(Request, Sent.Verb, Sent.Body));
  WaitPoint Finished;
  bool TooLarge = false;
  std::optional<TimePoint> ProgressAt;
  QNetworkReply *Running = Reply.get();
  QObject::connect(Running, &QNetworkReply::finished, Running,
                   [&Finished] { Finished.wake(); });
  QObject::connect(
      Running, &QNetworkReply::downloadProgress, Running,
      [&Finished, &TooLarge, &ProgressAt](qint64 Received, qint64 /*Total*/) {
        if (Received > 0)
          ProgressAt = steadyNow();
        TooLarge = TooLarge || Received > MaxAnswerBytes;
        if (TooLarge)
          Finished.wake();
      });
  TimePoint Until = Deadline;
  bool InTime = false;
  while (!InTime && steadyNow() < Until) {
    InTime = co_await Finished.wait(Until);
    if (ProgressAt)
      Until = std::max(
          Until, std::min(Deadline + TransferLimit, *ProgressAt + StallLimit));
  }
  QObject::disconnect(Running, nullptr, nullptr, nullptr);
  if (TooLarge || !InTime) {
    Running->abort();
    // Others to the same server may be as silent; the next request opens one.
    if (this->Http == Manager)
      this->renewConnections();
    co_return Error{TooLarge ? "the platform's answer is too large"
                             : "the platform did not answer in time"};
  }
  const int Status =
      Running->attribute(QNetworkRequest::HttpStatusCodeAttribute).toInt();
  // An answer that was cut off has a status and an error of the transport.
  if (Status == 0 || Running->error() == QNetworkReply::RemoteHostClosedError)
    co_return Error{"the platform is unreachable: " +
                    Running->errorString().toStdString()};
  co_return HttpResponse{Status, Running->readAll()};
}

} // namespace amaranthspur
