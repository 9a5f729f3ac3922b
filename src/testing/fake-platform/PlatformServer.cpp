#include "testing/fake-platform/PlatformServer.h"

#include "core/Async.h"

#include <QHttpServerResponder>
#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <QPointer>
#include <QTcpSocket>
#include <QTimer>
#include <QUrl>

#include <memory>

namespace amaranthspur::fakeplatform {
namespace {

using Method = QHttpServerRequest::Method;
using Status = QHttpServerResponder::StatusCode;

QString text(const std::string &S) { return QString::fromStdString(S); }

QJsonObject toJson(const Row &R) {
  return {{"version", static_cast<qint64>(R.Version)},
          {"value", text(R.Value)},
          {"operation", text(R.Operation)}};
}

QJsonObject toJson(const Vm &V) {
  QJsonObject O{{"id", text(V.Id)},
                {"peer_address", text(V.PeerAddress)},
                {"data_centre", text(V.DataCentre)},
                {"leaving", V.Leaving}};
  if (!V.AdminAddress.empty())
    O["admin_address"] = text(V.AdminAddress);
  return O;
}

QByteArray compact(const QJsonObject &O) {
  return QJsonDocument(O).toJson(QJsonDocument::Compact);
}

std::uint64_t number(const QJsonObject &O, const char *Key) {
  return static_cast<std::uint64_t>(std::max<qint64>(0, O[Key].toInteger()));
}

/// Returns what follows \p Prefix in the path, decoded, or nothing.
std::optional<std::string> after(const QString &Path, const char *Prefix) {
  if (!Path.startsWith(Prefix))
    return std::nullopt;
  const QString Rest = Path.mid(static_cast<int>(qstrlen(Prefix)));
  return QUrl::fromPercentEncoding(Rest.toUtf8()).toStdString();
}

} // namespace

PlatformServer::PlatformServer(PlatformStore &Store) : Store(Store) {}

bool PlatformServer::handleRequest(const QHttpServerRequest &Request,
                                   QTcpSocket *Socket) {
  const bool Fault = Request.url().path() == "/fault";
  Answer Reply = Fault ? this->setFault(Request.body()) : this->answer(Request);
  if (!Fault && Reply.Status < 500 && this->Store.losesAnswer()) {
    // The change took effect; the client sees a closed connection. Closing
    // waits for the event loop because the server still reads from the socket.
    const QPointer<QTcpSocket> Guard(Socket);
    QTimer::singleShot(0, this, [Guard] {
      if (Guard)
        Guard->abort();
    });
    return true;
  }
  this->send(Request, Socket, Reply);
  return true;
}

void PlatformServer::missingHandler(const QHttpServerRequest &Request,
                                    QTcpSocket *Socket) {
  this->send(Request, Socket, {404, {}});
}

PlatformServer::Answer
PlatformServer::answer(const QHttpServerRequest &Request) {
  const RequestKind Kind =
      Request.method() == Method::Get ? RequestKind::Read : RequestKind::Write;
  switch (this->Store.admit(Kind, steadyNow())) {
  case Admittance::Admitted:
    return this->carryOut(Request.method(),
                          Request.url().path(QUrl::FullyEncoded),
                          Request.body());
  case Admittance::Outage:
    return {503, "the service has an outage"};
  case Admittance::RateLimited:
    return {429, "too many requests"};
  }
  return {500, {}};
}

PlatformServer::Answer
PlatformServer::carryOut(QHttpServerRequest::Method Method, const QString &Path,
                         const QByteArray &Body) {
  if (const auto Key = after(Path, "/table/"))
    return this->table(Method, *Key, Body);
  if (const auto Name = after(Path, "/object/"))
    return this->object(Method, *Name, Body);
  if (Path == "/vms")
    return this->vms(Method, {}, Body);
  if (const auto Id = after(Path, "/vms/"))
    return this->vms(Method, *Id, Body);
  return {404, "no such path"};
}

PlatformServer::Answer PlatformServer::table(QHttpServerRequest::Method Method,
                                             const std::string &Key,
                                             const QByteArray &Body) {
  if (Method == Method::Get)
    return {200, compact(toJson(this->Store.readRow(Key)))};
  if (Method != Method::Put)
    return {405, {}};
  const QJsonObject O = QJsonDocument::fromJson(Body).object();
  const std::string Operation = O["operation"].toString().toStdString();
  if (Operation.empty() || !O["expected"].isDouble() || !O["value"].isString())
    return {400, "expected, value and operation are needed"};
  const WriteOutcome Outcome =
      this->Store.writeRow(Key, number(O, "expected"),
                           O["value"].toString().toStdString(), Operation);
  return {Outcome.Applied ? 200 : 409, compact(toJson(Outcome.Present))};
}

PlatformServer::Answer PlatformServer::object(QHttpServerRequest::Method Method,
                                              const std::string &Name,
                                              const QByteArray &Body) {
  if (Method == Method::Put) {
    this->Store.putObject(Name, Body.toStdString());
    return {200, {}};
  }
  if (Method != Method::Get)
    return {405, {}};
  const std::string *Content = this->Store.findObject(Name);
  if (Content == nullptr)
    return {404, "no such object"};
  return {200, QByteArray::fromStdString(*Content), true};
}

PlatformServer::Answer PlatformServer::vms(QHttpServerRequest::Method Method,
                                           const std::string &Id,
                                           const QByteArray &Body) {
  const TimePoint Now = steadyNow();
  if (Method == Method::Get && Id.empty()) {
    QJsonArray List;
    for (const Vm &V : this->Store.listVms(Now))
      List.append(toJson(V));
    return {200, QJsonDocument(List).toJson(QJsonDocument::Compact)};
  }
  if (Id.empty() || (Method != Method::Put && Method != Method::Delete))
    return {405, {}};
  if (Method == Method::Delete) {
    this->Store.removeVm(Id, Now);
    return {200, {}};
  }
  const QJsonObject O = QJsonDocument::fromJson(Body).object();
  this->Store.putVm({Id, O["peer_address"].toString().toStdString(),
                     O["admin_address"].toString().toStdString(),
                     O["data_centre"].toString().toStdString(),
                     O["leaving"].toBool()},
                    Now);
  return {200, {}};
}

PlatformServer::Answer PlatformServer::setFault(const QByteArray &Body) {
  const QJsonDocument Document = QJsonDocument::fromJson(Body);
  if (!Document.isObject())
    return {400, "a JSON object is needed"};
  const QJsonObject O = Document.object();
  Faults F;
  F.Outage = O["outage"].toBool();
  F.Delay = milliseconds(number(O, "delay_ms"));
  F.LoseAnswers = O["lose_answers"].toDouble();
  F.ReadsPerSecond = number(O, "reads_per_second");
  F.WritesPerSecond = number(O, "writes_per_second");
  F.ListLag = milliseconds(number(O, "list_lag_ms"));
  std::optional<std::uint64_t> Seed;
  if (O.contains("seed"))
    Seed = number(O, "seed");
  this->Store.setFaults(F, Seed);
  return {200, {}};
}

void PlatformServer::send(const QHttpServerRequest &Request, QTcpSocket *Socket,
                          const Answer &Reply) {
  // The responder holds a plain pointer to the socket, which may be gone when
  // the delay is over.
  const QPointer<QTcpSocket> Guard(Socket);
  auto Responder = std::make_shared<QHttpServerResponder>(
      QAbstractHttpServer::makeResponder(Request, Socket));
  const auto Write = [Guard, Responder, Reply] {
    if (!Guard || Guard->state() != QAbstractSocket::ConnectedState)
      return;
    Responder->write(Reply.Body,
                     Reply.Binary ? "application/octet-stream"
                                  : "application/json",
                     static_cast<Status>(Reply.Status));
  };
  const Duration Delay = this->Store.faults().Delay;
  if (Delay == Duration::zero())
    return Write();
  QTimer::singleShot(std::chrono::duration_cast<milliseconds>(Delay),
                     Qt::PreciseTimer, this, Write);
}

} // namespace amaranthspur::fakeplatform
