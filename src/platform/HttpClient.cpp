#include "platform/HttpClient.h"

#include "core/Async.h"

#include <QNetworkAccessManager>
#include <QNetworkProxy>
#include <QNetworkReply>
#include <QNetworkRequest>
#include <QUrl>

namespace amaranthspur {
namespace {

/// An answer above this size is not read; configurations are smaller than
/// 4 MiB.
constexpr qint64 MaxAnswerBytes = 8LL * 1024 * 1024;

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
  QNetworkReply *Running = Reply.get();
  QObject::connect(Running, &QNetworkReply::finished, Running,
                   [&Finished] { Finished.wake(); });
  QObject::connect(Running, &QNetworkReply::downloadProgress, Running,
                   [&Finished, &TooLarge](qint64 Received, qint64 /*Total*/) {
                     TooLarge = TooLarge || Received > MaxAnswerBytes;
                     if (TooLarge)
                       Finished.wake();
                   });
  const bool InTime = co_await Finished.wait(Deadline);
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
