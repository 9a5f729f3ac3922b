#include "root/telemetry/AdminServer.h"

#include <QHostAddress>
#include <QHttpServer>
#include <QHttpServerRequest>
#include <QHttpServerResponse>
#include <QJsonDocument>
#include <QJsonObject>
#include <QUrlQuery>

namespace amaranthspur {
namespace {

/// The content type of version 0.0.4 of Prometheus's text format.
constexpr const char *MetricsType = "text/plain; version=0.0.4; charset=utf-8";

AdminServer::QueryParameters parametersOf(const QHttpServerRequest &Request) {
  AdminServer::QueryParameters Out;
  for (const auto &[Key, Value] :
       Request.query().queryItems(QUrl::FullyDecoded))
    Out[Key.toStdString()] = Value.toStdString();
  return Out;
}

} // namespace

AdminServer::AdminServer(std::vector<Address> Listen, const Metrics &Source)
    : Listen(std::move(Listen)), Source(Source) {}

AdminServer::~AdminServer() = default;

void AdminServer::addStatus(std::string Name,
                            std::function<QJsonValue()> Provider) {
  this->Providers.insert_or_assign(std::move(Name), std::move(Provider));
}

void AdminServer::removeStatus(const std::string &Name) {
  this->Providers.erase(Name);
}

void AdminServer::addQuery(
    std::string Name,
    std::function<QJsonObject(const QueryParameters &)> Provider) {
  this->Queries.insert_or_assign(std::move(Name), std::move(Provider));
}

void AdminServer::setReady(std::function<bool()> IsReady) {
  this->IsReady = std::move(IsReady);
}

void AdminServer::addRoutes() {
  this->Server->route("/metrics", QHttpServerRequest::Method::Get, [this] {
    return QHttpServerResponse(MetricsType,
                               QByteArray::fromStdString(Source.serialise()));
  });
  this->Server->route("/status", QHttpServerRequest::Method::Get, [this] {
    QJsonObject Status;
    for (const auto &[Name, Provider] : this->Providers)
      Status.insert(QString::fromStdString(Name), Provider());
    return QHttpServerResponse("application/json", QJsonDocument(Status).toJson(
                                                       QJsonDocument::Compact));
  });
  for (const auto &[Name, Provider] : this->Queries)
    this->Server->route(
        QString::fromStdString("/" + Name), QHttpServerRequest::Method::Get,
        [&Provider](const QHttpServerRequest &Request) {
          return QHttpServerResponse(
              "application/json", QJsonDocument(Provider(parametersOf(Request)))
                                      .toJson(QJsonDocument::Compact));
        });
  this->Server->route("/ready", QHttpServerRequest::Method::Get, [this] {
    if (this->IsReady())
      return QHttpServerResponse("text/plain", "ready\n");
    return QHttpServerResponse(
        "text/plain", "not ready\n",
        QHttpServerResponse::StatusCode::ServiceUnavailable);
  });
}

QCoro::Task<Result<Success>> AdminServer::start() {
  this->Server = std::make_unique<QHttpServer>();
  this->addRoutes();
  for (const Address &At : this->Listen) {
    const QHostAddress Host(QString::fromStdString(At.Host));
    if (this->Server->listen(Host, At.Port) == 0) {
      this->Server.reset();
      co_return Error{"cannot listen on " + At.str()};
    }
  }
  // QCoro's promise uses std::monostate to represent "no value yet", so an
  // explicit Result is returned.
  const Result<Success> Started = Success();
  co_return Started;
}

QCoro::Task<> AdminServer::stop(TimePoint /*Deadline*/) {
  this->Server.reset();
  co_return;
}

} // namespace amaranthspur
