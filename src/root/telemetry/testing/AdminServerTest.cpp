#include "root/telemetry/AdminServer.h"

#include <QCoreApplication>
#include <QEventLoop>
#include <QJsonDocument>
#include <QJsonObject>
#include <QNetworkAccessManager>
#include <QNetworkReply>
#include <QTcpServer>

#include <catch2/catch.hpp>

using namespace amaranthspur;

namespace {

std::uint16_t freePort() {
  QTcpServer Probe;
  Probe.listen(QHostAddress::LocalHost, 0);
  return Probe.serverPort();
}

struct HttpResponse {
  int Status = 0;
  QByteArray Type;
  QByteArray Body;
};

HttpResponse get(std::uint16_t Port, const QString &Path) {
  QNetworkAccessManager Client;
  const QUrl Url(QString("http://127.0.0.1:%1%2").arg(Port).arg(Path));
  QNetworkReply *Reply = Client.get(QNetworkRequest(Url));
  QEventLoop Loop;
  QObject::connect(Reply, &QNetworkReply::finished, &Loop, &QEventLoop::quit);
  Loop.exec();
  HttpResponse Response;
  Response.Status =
      Reply->attribute(QNetworkRequest::HttpStatusCodeAttribute).toInt();
  Response.Type =
      Reply->header(QNetworkRequest::ContentTypeHeader).toByteArray();
  Response.Body = Reply->readAll();
  delete Reply;
  return Response;
}

} // namespace

// Guards against monitoring requests that get no answer or a wrong content
// type, and against an entry VM that reports "ready" although it is not.
TEST_CASE("the admin server serves its three paths") {
  int Argc = 0;
  const QCoreApplication App(Argc, nullptr);
  Metrics M;
  M.add(Counter::LateAnswers);
  const std::uint16_t Port = freePort();
  AdminServer Server({{"127.0.0.1", Port}}, M);
  bool Ready = false;
  Server.addStatus("members", [] { return QJsonValue(4); });
  Server.addStatus("gone", [] { return QJsonValue(1); });
  Server.removeStatus("gone");
  Server.addQuery("route", [](const AdminServer::QueryParameters &Asked) {
    QJsonObject Out;
    for (const auto &[Key, Value] : Asked)
      Out[QString::fromStdString(Key)] = QString::fromStdString(Value);
    return Out;
  });
  REQUIRE(succeeded(QCoro::waitFor(Server.start())));

  struct Row {
    const char *Path;
    bool Ready;
    int Status;
    const char *Type;
    const char *Part;
  };
  const Row Rows[] = {
      {"/metrics", true, 200, "text/plain; version=0.0.4; charset=utf-8",
       "amaranthspur_late_answers_total 1"},
      {"/status", true, 200, "application/json", "{\"members\":4}"},
      {"/ready", true, 200, "text/plain", "ready"},
      {"/ready", false, 503, "text/plain", "not ready"},
      {"/route?database=a%26b%20c&mode=read", true, 200, "application/json",
       "{\"database\":\"a&b c\",\"mode\":\"read\"}"},
      {"/elsewhere", true, 404, "", ""},
  };
  CHECK(get(Port, "/ready").Status == 503);
  Server.setReady([&Ready] { return Ready; });
  for (const Row &R : Rows) {
    CAPTURE(R.Path, R.Ready);
    Ready = R.Ready;
    const HttpResponse Response = get(Port, R.Path);
    CHECK(Response.Status == R.Status);
    if (R.Status != 404)
      CHECK(Response.Type.toStdString() == R.Type);
    CHECK(Response.Body.contains(R.Part));
  }

  // After a restart by the supervisor, the server uses the same port and still
  // has its providers.
  QCoro::waitFor(Server.stop(steadyNow()));
  REQUIRE(succeeded(QCoro::waitFor(Server.start())));
  CHECK(get(Port, "/ready").Status == 200);
}

// Guards against an entry VM that serves callers without being monitored.
TEST_CASE("start fails if the address is in use") {
  int Argc = 0;
  const QCoreApplication App(Argc, nullptr);
  QTcpServer Taken;
  REQUIRE(Taken.listen(QHostAddress::LocalHost, 0));
  Metrics M;
  AdminServer Server({{"127.0.0.1", Taken.serverPort()}}, M);
  CHECK_FALSE(succeeded(QCoro::waitFor(Server.start())));
}
