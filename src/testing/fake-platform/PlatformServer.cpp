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

QString toQString(const std::string &S) { return QString::fromStdString(S); }

/// The table of the proxy itself; the operator or the servers write all others.
constexpr const char *OwnTable = "amaranthspur";
constexpr const char *VmTable = "vms";
/// Interval at which a long poll checks for changes.
constexpr int PollIntervalMs = 5;

QJsonObject rowJson(const QString &Table, const std::string &Key,
                    const QByteArray &Value, std::uint64_t Version) {
  return {{"table", Table},
          {"part", ""},
          {"key", toQString(Key)},
          {"value", QString::fromLatin1(Value.toBase64())},
          {"row-version", static_cast<qint64>(Version)}};
}

QJsonObject toJson(const std::string &Key, const Row &R) {
  const QJsonObject Value{{"value", toQString(R.Value)},
                          {"operation", toQString(R.Operation)}};
  return rowJson(OwnTable, Key,
                 QJsonDocument(Value).toJson(QJsonDocument::Compact),
                 R.Version);
}

QJsonObject toJson(const QString &Table, const ExternalRow &R) {
  QJsonObject O =
      rowJson(Table, R.Key, QByteArray::fromStdString(R.Value), R.Version);
  if (R.Removed)
    O["deleted"] = true;
  return O;
}

QJsonObject toJson(const Vm &V) {
  QJsonObject O{{"peer_address", toQString(V.PeerAddress)},
                {"data_centre", toQString(V.DataCentre)},
                {"leaving", V.Leaving}};
  if (!V.AdminAddress.empty())
    O["admin_address"] = toQString(V.AdminAddress);
  return O;
}

QByteArray compact(const QJsonObject &O) {
  return QJsonDocument(O).toJson(QJsonDocument::Compact);
}

std::uint64_t number(const QJsonObject &O, const char *Key) {
  return static_cast<std::uint64_t>(std::max<qint64>(0, O[Key].toInteger()));
}

/// Returns the percent-decoded rest of \p Path after \p Prefix; nothing if the
/// path does not start with it.
std::optional<std::string> pathAfter(const QString &Path, const char *Prefix) {
  if (!Path.startsWith(Prefix))
    return std::nullopt;
  const QString Rest = Path.mid(static_cast<int>(qstrlen(Prefix)));
  return QUrl::fromPercentEncoding(Rest.toUtf8()).toStdString();
}

/// Encodes an answer about rows, with the store's clock.
QByteArray rowsAnswer(QJsonObject O) {
  O["now-ms"] =
      static_cast<qint64>(steadyNow().time_since_epoch() / milliseconds(1));
  return compact(O);
}

} // namespace

PlatformServer::PlatformServer(PlatformStore &Store) : Store(Store) {}

bool PlatformServer::handleRequest(const QHttpServerRequest &Request,
                                   QTcpSocket *Socket) {
  const bool Fault = Request.url().path() == "/fault";
  if (Request.url().path() == "/rows-feed" &&
      this->Store.admit(RequestKind::Read, steadyNow()) ==
          Admission::Admitted) {
    this->poll(Request, Socket);
    return true;
  }
  Answer Reply = Fault ? this->setFault(Request.body()) : this->answer(Request);
  if (!Fault && Reply.Status < 500 && this->Store.drawAnswerLoss()) {
    // The request was applied, but the client sees a closed connection. The
    // socket is closed from the event loop because the HTTP server still reads
    // from it at this point.
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
  case Admission::Admitted:
    return this->dispatch(Request.method(),
                          Request.url().path(QUrl::FullyEncoded),
                          QUrlQuery(Request.url()), Request.body());
  case Admission::Outage:
    return {503, "the service is unavailable"};
  case Admission::RateLimited:
    return {429, "too many requests"};
  }
  return {500, {}};
}

PlatformServer::Answer
PlatformServer::dispatch(QHttpServerRequest::Method Method, const QString &Path,
                         const QUrlQuery &Query, const QByteArray &Body) {
  if (Path == "/rows-get")
    return this->readRows(Query);
  if (Path == "/rows-tx")
    return this->writeRow(Body);
  if (const auto Name = pathAfter(Path, "/blob-put/"))
    return this->object(Method, *Name, Body);
  if (const auto Name = pathAfter(Path, "/blob-get/"))
    return this->object(Method, *Name, Body);
  if (const auto Id = pathAfter(Path, "/vms/"))
    return this->vms(Method, *Id, Body);
  if (const auto Name = pathAfter(Path, "/foreign/"))
    return this->setExternalRow(Method, *Name, Body);
  return {404, "no such path"};
}

PlatformServer::Answer PlatformServer::readRows(const QUrlQuery &Query) {
  const QString Table = Query.queryItemValue("table");
  const std::string From =
      Query.queryItemValue("from", QUrl::FullyDecoded).toStdString();
  QJsonArray Rows;
  if (Table == OwnTable) {
    const Row R = this->Store.readRow(From);
    if (R.Version > 0)
      Rows.append(toJson(From, R));
  } else if (Table == VmTable) {
    for (const Vm &V : this->Store.listVms(steadyNow()))
      Rows.append(rowJson(VmTable, V.Id, compact(toJson(V)), 1));
  } else {
    for (const ExternalRow &R :
         this->Store.externalRowsAfter(Table.toStdString(), 0))
      if (!R.Removed && R.Key >= From)
        Rows.append(toJson(Table, R));
  }
  return {200, rowsAnswer({{"rows", Rows},
                           {"has-more", false},
                           {"row-version",
                            static_cast<qint64>(this->Store.version())}})};
}

PlatformServer::Answer PlatformServer::writeRow(const QByteArray &Body) {
  const QJsonDocument Document = QJsonDocument::fromJson(Body);
  const QJsonObject Condition = Document["expected"][0].toObject();
  const QJsonObject Set = Document["set-keys"][0].toObject();
  const QJsonDocument Value = QJsonDocument::fromJson(
      QByteArray::fromBase64(Set["value"].toString().toLatin1()));
  if (Set["table"] != OwnTable || Condition["key"] != Set["key"] ||
      !Condition["row-version"].isDouble() || !Value.isObject())
    return {400, "a write needs one condition, on the row that it sets"};
  const std::string Key = Set["key"].toString().toStdString();
  const WriteOutcome Outcome =
      this->Store.writeRow(Key, number(Condition, "row-version"),
                           Value["value"].toString().toStdString(),
                           Value["operation"].toString().toStdString());
  const auto Version = static_cast<qint64>(this->Store.version());
  if (Outcome.Applied)
    return {200, rowsAnswer({{"row-version", Version}})};
  QJsonArray Rows;
  if (Outcome.Present.Version > 0)
    Rows.append(toJson(Key, Outcome.Present));
  return {412, rowsAnswer({{"rows", Rows}, {"row-version", Version}})};
}

std::optional<PlatformServer::Answer>
PlatformServer::feed(const QUrlQuery &Query) {
  const QString Table = Query.queryItemValue("table");
  const std::uint64_t After = Query.queryItemValue("after").toULongLong();
  if (!this->Store.hasHistory(After))
    return Answer{410, {}};
  const std::vector<ExternalRow> Changed =
      this->Store.externalRowsAfter(Table.toStdString(), After);
  if (Changed.empty())
    return std::nullopt;
  QJsonArray Rows;
  for (const ExternalRow &R : Changed)
    Rows.append(toJson(Table, R));
  return Answer{200, rowsAnswer({{"rows", Rows},
                                 {"row-version", static_cast<qint64>(
                                                     this->Store.version())}})};
}

void PlatformServer::poll(const QHttpServerRequest &Request,
                          QTcpSocket *Socket) {
  const QUrlQuery Query(Request.url());
  const TimePoint Until =
      steadyNow() + milliseconds(Query.queryItemValue("wait-ms").toInt());
  const QPointer<QTcpSocket> Guard(Socket);
  auto Responder = std::make_shared<QHttpServerResponder>(
      QAbstractHttpServer::makeResponder(Request, Socket));
  auto *Timer = new QTimer(this);
  QObject::connect(
      Timer, &QTimer::timeout, this,
      [this, Timer, Guard, Responder, Query, Until] {
        std::optional<Answer> PollReply = this->feed(Query);
        if (!PollReply && steadyNow() >= Until)
          PollReply = Answer{
              200, rowsAnswer({{"rows", QJsonArray()},
                               {"row-version",
                                static_cast<qint64>(this->Store.version())}})};
        if (Guard && Guard->state() == QAbstractSocket::ConnectedState &&
            !PollReply)
          return;
        if (PollReply && Guard &&
            Guard->state() == QAbstractSocket::ConnectedState)
          this->write(*Responder, *PollReply);
        Timer->deleteLater();
        Timer->stop();
      });
  Timer->start(PollIntervalMs);
}

PlatformServer::Answer
PlatformServer::setExternalRow(QHttpServerRequest::Method Method,
                               const std::string &Name,
                               const QByteArray &Body) {
  const std::size_t Slash = Name.find('/');
  if (Slash == std::string::npos)
    return {400, "table/key is needed"};
  const std::string Table = Name.substr(0, Slash);
  const std::string Key = Name.substr(Slash + 1);
  if (Method == Method::Delete)
    this->Store.removeExternalRow(Table, Key);
  else
    this->Store.setExternalRow(Table, Key, Body.toStdString());
  return {200, {}};
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
    return {400, "the body must be a JSON object"};
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

void PlatformServer::write(QHttpServerResponder &Responder,
                           const Answer &Reply) const {
  const QByteArray Type =
      Reply.Binary ? "application/octet-stream" : "application/json";
  const auto StatusCode = static_cast<Status>(Reply.Status);
  const std::optional<std::string> &Era = this->Store.eraHeader();
  if (Era)
    Responder.write(Reply.Body,
                    {{"Content-Type", Type},
                     {"Store-Era", QByteArray::fromStdString(*Era)}},
                    StatusCode);
  else
    Responder.write(Reply.Body, Type, StatusCode);
}

void PlatformServer::send(const QHttpServerRequest &Request, QTcpSocket *Socket,
                          const Answer &Reply) {
  // The responder holds a raw pointer to the socket, which may have been
  // destroyed by the time the delay is over.
  const QPointer<QTcpSocket> Guard(Socket);
  auto Responder = std::make_shared<QHttpServerResponder>(
      QAbstractHttpServer::makeResponder(Request, Socket));
  const auto Write = [this, Guard, Responder, Reply] {
    if (Guard && Guard->state() == QAbstractSocket::ConnectedState)
      this->write(*Responder, Reply);
  };
  const Duration Delay = this->Store.faults().Delay;
  if (Delay == Duration::zero())
    return Write();
  QTimer::singleShot(std::chrono::duration_cast<milliseconds>(Delay),
                     Qt::PreciseTimer, this, Write);
}

} // namespace amaranthspur::fakeplatform
