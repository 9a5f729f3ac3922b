#include "bench/Remote.h"

#include "bench/Failure.h"
#include "core/Async.h"

#include <QHostAddress>
#include <QJsonDocument>
#include <QNetworkAccessManager>
#include <QNetworkReply>
#include <QNetworkRequest>
#include <QTcpServer>
#include <QTcpSocket>

#include <random>
#include <set>

namespace amaranthspur::bench {
namespace {

constexpr std::uint16_t LowestPort = 12000;
constexpr std::uint16_t HighestPort = 30000;

} // namespace

QCoro::Task<Result<std::string>> sendHttp(HttpMethod Method, Address To,
                                          std::string Path, std::string Body,
                                          TimePoint Deadline) {
  static QNetworkAccessManager Manager;
  QNetworkRequest Request(
      QUrl(QString::fromStdString("http://" + To.str() + Path)));
  Request.setHeader(QNetworkRequest::ContentTypeHeader, "application/json");
  QNetworkReply *Reply =
      Method == HttpMethod::Get
          ? Manager.get(Request)
          : Manager.put(Request, QByteArray::fromStdString(Body));
  WaitPoint Done;
  QObject::connect(Reply, &QNetworkReply::finished, Reply,
                   [&Done] { Done.wake(); });
  const bool Finished = co_await Done.wait(Deadline);
  Reply->disconnect();
  const bool Good = Finished && Reply->error() == QNetworkReply::NoError;
  const std::string Text = Good ? Reply->readAll().toStdString()
                                : Reply->errorString().toStdString();
  Reply->abort();
  Reply->deleteLater();
  if (!Good)
    co_return makeError(To.str() + Path + ": " +
                        (Finished ? Text : "no answer"));
  co_return Text;
}

QCoro::Task<Result<QJsonObject>> sendJsonLine(Address To, QJsonObject Command,
                                              TimePoint Deadline) {
  auto Socket = std::make_unique<QTcpSocket>();
  WaitPoint Changed;
  const auto Wake = [&Changed] { Changed.wake(); };
  QObject::connect(Socket.get(), &QTcpSocket::readyRead, Socket.get(), Wake);
  QObject::connect(Socket.get(), &QTcpSocket::errorOccurred, Socket.get(),
                   Wake);
  Socket->connectToHost(QHostAddress(QString::fromStdString(To.Host)), To.Port);
  Socket->write(QJsonDocument(Command).toJson(QJsonDocument::Compact) + "\n");
  while (!Socket->canReadLine()) {
    const bool Woken = co_await Changed.wait(Deadline);
    if (!Woken || Socket->state() == QAbstractSocket::UnconnectedState)
      break;
  }
  Socket->disconnect();
  const QByteArray Line = Socket->readLine();
  const QJsonDocument Parsed = QJsonDocument::fromJson(Line);
  Socket->abort();
  if (!Parsed.isObject())
    co_return makeError(To.str() +
                        " answered no JSON object: " + Line.toStdString());
  co_return Parsed.object();
}

std::uint16_t freePort(const std::string &Host) {
  // The generator does not use the seed of the run, because two concurrent runs
  // on one machine need different ports.
  static std::mt19937 Draw(std::random_device{}());
  static std::set<std::pair<std::string, std::uint16_t>> ReturnedPorts;
  for (;;) {
    const auto Port = static_cast<std::uint16_t>(
        LowestPort + Draw() % (HighestPort - LowestPort));
    QTcpServer Probe;
    if (Probe.listen(QHostAddress(QString::fromStdString(Host)), Port) &&
        ReturnedPorts.emplace(Host, Port).second)
      return Port;
  }
}

} // namespace amaranthspur::bench
