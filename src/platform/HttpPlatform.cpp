#include "platform/HttpPlatform.h"

#include "core/Async.h"
#include "platform/Backoff.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <QNetworkProxy>
#include <QNetworkReply>
#include <QNetworkRequest>
#include <QUrl>

#include <memory>

namespace amaranthspur {
namespace {

constexpr Backoff RetryBackoff(milliseconds(50), std::chrono::seconds(1));
/// Longest wait for one answer. A lost answer then leaves time for another
/// attempt within the usual deadlines of 2 to 5 s.
constexpr Duration MaxAttemptTime = std::chrono::seconds(1);
/// An answer above this size is not read; configurations are smaller than
/// 4 MiB.
constexpr qint64 MaxAnswerBytes = 8LL * 1024 * 1024;

constexpr int StatusOk = 200;
constexpr int StatusNotFound = 404;
constexpr int StatusConflict = 409;
constexpr int StatusTooManyRequests = 429;
constexpr int FirstServerError = 500;

QString path(const char *Prefix, const std::string &Name) {
  return QLatin1String(Prefix) + QString::fromLatin1(QUrl::toPercentEncoding(
                                     QString::fromStdString(Name)));
}

Error unexpected(int Status, const QByteArray &Body) {
  constexpr int MaxQuoted = 200;
  return Error{"the platform answered " + std::to_string(Status) + ": " +
               Body.left(MaxQuoted).toStdString()};
}

Result<TableRow> parseRow(const QByteArray &Body) {
  const QJsonDocument Document = QJsonDocument::fromJson(Body);
  const QJsonObject O = Document.object();
  if (!O["version"].isDouble() || !O["value"].isString() ||
      !O["operation"].isString())
    return Error{"the platform sent a malformed row"};
  return TableRow{static_cast<std::uint64_t>(O["version"].toInteger()),
                  O["value"].toString().toStdString(),
                  O["operation"].toString().toStdString()};
}

} // namespace

HttpPlatform::HttpPlatform(const Address &Service, std::uint64_t Seed,
                           CircuitBreaker::Settings Limits)
    : Breaker(Limits), Draw(Seed) {
  const QString Host = QString::fromStdString(Service.Host);
  const bool Ipv6 = Host.contains(':');
  this->Base = "http://" + (Ipv6 ? "[" + Host + "]" : Host) + ":" +
               QString::number(Service.Port);
  this->Http.setProxy(QNetworkProxy::NoProxy);
  this->Http.setAutoDeleteReplies(false);
}

QCoro::Task<Result<TableRow>> HttpPlatform::readRow(std::string Key,
                                                    TimePoint Deadline) {
  const Result<Response> R =
      co_await this->call("GET", path("/table/", Key), {}, Deadline);
  if (!succeeded(R))
    co_return Error{errorOf(R)};
  if (valueOf(R).Status != StatusOk)
    co_return unexpected(valueOf(R).Status, valueOf(R).Body);
  co_return parseRow(valueOf(R).Body);
}

QCoro::Task<Result<CasOutcome>>
HttpPlatform::compareAndSet(std::string Key, std::uint64_t Expected,
                            std::string Value, std::string Operation,
                            TimePoint Deadline) {
  const QJsonObject O{{"expected", static_cast<qint64>(Expected)},
                      {"value", QString::fromStdString(Value)},
                      {"operation", QString::fromStdString(Operation)}};
  const QByteArray Body = QJsonDocument(O).toJson(QJsonDocument::Compact);
  const Result<Response> R =
      co_await this->call("PUT", path("/table/", Key), Body, Deadline);
  if (!succeeded(R))
    co_return Error{errorOf(R)};
  const Response &Answer = valueOf(R);
  if (Answer.Status != StatusOk && Answer.Status != StatusConflict)
    co_return unexpected(Answer.Status, Answer.Body);
  Result<TableRow> Row = parseRow(Answer.Body);
  if (!succeeded(Row))
    co_return Error{errorOf(Row)};
  co_return CasOutcome{Answer.Status == StatusOk, valueOf(std::move(Row))};
}

QCoro::Task<Result<Success>> HttpPlatform::putObject(std::string Name,
                                                     std::string Content,
                                                     TimePoint Deadline) {
  const Result<Response> R =
      co_await this->call("PUT", path("/object/", Name),
                          QByteArray::fromStdString(Content), Deadline);
  if (!succeeded(R))
    co_return Error{errorOf(R)};
  if (valueOf(R).Status != StatusOk)
    co_return unexpected(valueOf(R).Status, valueOf(R).Body);
  // A plain std::monostate would be taken for QCoro's empty result.
  co_return Result<Success>(Success());
}

QCoro::Task<Result<std::optional<std::string>>>
HttpPlatform::getObject(std::string Name, TimePoint Deadline) {
  const Result<Response> R =
      co_await this->call("GET", path("/object/", Name), {}, Deadline);
  if (!succeeded(R))
    co_return Error{errorOf(R)};
  const Response &Answer = valueOf(R);
  if (Answer.Status == StatusNotFound)
    co_return std::optional<std::string>();
  if (Answer.Status != StatusOk)
    co_return unexpected(Answer.Status, Answer.Body);
  co_return std::optional<std::string>(Answer.Body.toStdString());
}

QCoro::Task<Result<std::vector<PlatformVm>>>
HttpPlatform::listVms(TimePoint Deadline) {
  const Result<Response> R = co_await this->call("GET", "/vms", {}, Deadline);
  if (!succeeded(R))
    co_return Error{errorOf(R)};
  const QJsonDocument Document = QJsonDocument::fromJson(valueOf(R).Body);
  if (valueOf(R).Status != StatusOk || !Document.isArray())
    co_return unexpected(valueOf(R).Status, valueOf(R).Body);
  std::vector<PlatformVm> List;
  const QJsonArray Entries = Document.array();
  for (const auto &Entry : Entries) {
    const QJsonObject O = Entry.toObject();
    List.push_back({EntryVmId(O["id"].toString().toStdString()),
                    O["peer_address"].toString().toStdString(),
                    O["admin_address"].toString().toStdString(),
                    DataCentre(O["data_centre"].toString().toStdString()),
                    O["leaving"].toBool()});
  }
  co_return List;
}

QCoro::Task<Result<HttpPlatform::Response>>
HttpPlatform::call(QByteArray Verb, QString Path, QByteArray Body,
                   TimePoint Deadline) {
  for (unsigned Attempt = 1;; ++Attempt) {
    if (!this->Breaker.allow(steadyNow())) {
      ++this->Counters.Refused;
      co_return Error{"the platform is unreachable: the circuit breaker is " +
                      std::string(nameOf(this->Breaker.state()))};
    }
    ++this->Counters.Attempts;
    Result<Response> R = co_await this->attempt(Verb, Path, Body, Deadline);
    const bool Answered = succeeded(R) && valueOf(R).Status < FirstServerError;
    if (Answered)
      this->Breaker.succeeded();
    else
      this->Breaker.failed(steadyNow());
    const bool Throttled =
        Answered && valueOf(R).Status == StatusTooManyRequests;
    if (Answered && !Throttled)
      co_return R;
    ++(Throttled ? this->Counters.Throttled : this->Counters.Failures);
    const Duration Delay = RetryBackoff.delayAfter(Attempt, this->Draw);
    if (steadyNow() + Delay >= Deadline) {
      if (succeeded(R))
        co_return unexpected(valueOf(R).Status, valueOf(R).Body);
      co_return R;
    }
    co_await sleepFor(Delay);
  }
}

QCoro::Task<Result<HttpPlatform::Response>>
HttpPlatform::attempt(QByteArray Verb, QString Path, QByteArray Body,
                      TimePoint Deadline) {
  QNetworkRequest Request(QUrl(this->Base + Path, QUrl::StrictMode));
  Request.setHeader(QNetworkRequest::ContentTypeHeader,
                    "application/octet-stream");
  Request.setAttribute(QNetworkRequest::RedirectPolicyAttribute,
                       QNetworkRequest::ManualRedirectPolicy);
  const std::unique_ptr<QNetworkReply> Reply(
      this->Http.sendCustomRequest(Request, Verb, Body));
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
  const bool InTime =
      co_await Finished.wait(std::min(Deadline, steadyNow() + MaxAttemptTime));
  QObject::disconnect(Running, nullptr, nullptr, nullptr);
  if (TooLarge || !InTime) {
    Running->abort();
    co_return Error{TooLarge ? "the platform's answer is too large"
                             : "the platform did not answer in time"};
  }
  const int Status =
      Running->attribute(QNetworkRequest::HttpStatusCodeAttribute).toInt();
  if (Status == 0)
    co_return Error{"the platform is unreachable: " +
                    Running->errorString().toStdString()};
  co_return Response{Status, Running->readAll()};
}

} // namespace amaranthspur
