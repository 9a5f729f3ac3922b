#include "bench/soak/Store.h"

#include "wire/Listener.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QUrl>
#include <QUrlQuery>

#include <cstdlib>

namespace amaranthspur::bench::soak {
namespace {

/// Time that the store takes for a call without a fault (tx-timeout-ms).
constexpr Duration CallTime = milliseconds(4);
/// Additional time of a slow call.
constexpr Duration SlowTime = milliseconds(700);
/// Time after which a call without an answer is performed.
constexpr Duration LateTime = milliseconds(2500);
/// One call of this many is affected by a loss of answers or by a delay.
constexpr unsigned AffectedShare = 3;
/// Calls of ten that are performed late, and their delays in ms.
constexpr unsigned LateTenths = 6;
constexpr unsigned LeastLateMs = 1000;
constexpr unsigned MostLateMs = 6000;
/// Rows of one page if the call names no limit.
constexpr std::size_t DefaultLimit = 500;

QString text(const std::string &S) { return QString::fromStdString(S); }

std::string lower(std::string Text) {
  for (char &C : Text)
    if (C >= 'A' && C <= 'Z')
      C = static_cast<char>(C - 'A' + 'a');
  return Text;
}

} // namespace

Store::Store(Record &Events, TaskGroup &Tasks, OrderHandler OnOrder)
    : Events(Events), Tasks(Tasks), OnOrder(std::move(OnOrder)) {}

Result<Success> Store::listen() {
  auto Listening =
      listenAt(Address{"127.0.0.1", 0}, [this](QTcpSocket *Socket) {
        auto Stream = std::make_shared<TextStream>(Socket);
        this->Streams.insert(Stream);
        this->serve(Stream);
      });
  if (!succeeded(Listening))
    return Error{errorOf(Listening)};
  this->Listener = std::move(valueOf(Listening));
  return Success();
}

Address Store::address() const {
  return {"127.0.0.1", this->Listener->serverPort()};
}

void Store::stop() {
  this->Stopping = true;
  this->Listener->close();
  for (const auto &Stream : this->Streams)
    Stream->abort();
  this->Changed.notifyAll();
}

void Store::put(const std::string &Table, const std::string &Key,
                const QByteArray &Value) {
  this->change({Table, Key}, Value, false);
}

void Store::copy() {
  this->Copy = this->State;
  this->CopiedAt = this->Events.now();
  this->Events.note("store: copy at version " +
                    std::to_string(this->Copy.Version));
}

void Store::goAway() {
  this->Away = true;
  this->Changed.notifyAll();
  this->Events.note("store: away at version " +
                    std::to_string(this->State.Version));
}

void Store::comeBack(bool ClockReturns) {
  if (ClockReturns)
    this->ClockBehind += this->Events.now() - this->CopiedAt;
  this->State = this->Copy;
  ++this->Era;
  this->Away = false;
  this->Events.note("store: back at version " +
                    std::to_string(this->State.Version) + ", era " +
                    std::to_string(this->Era) +
                    (ClockReturns ? ", with the clock of the copy" : ""));
}

std::vector<std::string> Store::keys(const std::string &Table) const {
  std::vector<std::string> Found;
  for (const auto &[At, R] : this->State.Rows)
    if (At.first == Table && !R.Deleted)
      Found.push_back(At.second);
  return Found;
}

bool Store::isLost(const Request &Call, std::uint64_t Arrived) const {
  return !Call.Target.starts_with("/promotions") &&
         (this->Away || this->Era != Arrived);
}

void Store::setLateCalls(LateCalls Calls, std::uint64_t Seed) {
  this->Late = Calls;
  this->Lateness = Random(Seed);
}

Duration Store::drawLateness(LateCalls Kind) {
  if (this->Late != Kind || this->Lateness.below(10) >= LateTenths)
    return Duration::zero();
  return milliseconds(LeastLateMs +
                      this->Lateness.below(MostLateMs - LeastLateMs));
}

void Store::putServer(const std::string &Id, const QByteArray &Value,
                      std::function<void()> OnPerformed) {
  const std::uint64_t Number = ++this->ServerWrites;
  const Duration By = this->drawLateness(LateCalls::Writes);
  if (By > Duration::zero()) {
    this->Events.note("store: write of the row of " + Id + " is late by " +
                      std::to_string(toMilliseconds(By)) + " ms");
    this->putServerLate(Id, Value, Number, By, std::move(OnPerformed));
    return;
  }
  this->LastServerWrite[Id] = Number;
  this->put("servers", Id, Value);
  OnPerformed();
}

QCoro::Task<> Store::putServerLate(std::string Id, QByteArray Value,
                                   std::uint64_t Number, Duration Late,
                                   std::function<void()> OnPerformed) {
  const TaskGroup::Guard Running(this->Tasks);
  co_await sleepFor(Late);
  if (this->Stopping || Number < this->LastServerWrite[Id])
    co_return;
  this->LastServerWrite[Id] = Number;
  this->put("servers", Id, Value);
  OnPerformed();
}

void Store::remove(const std::string &Table, const std::string &Key) {
  // A late write of a server does not bring back a row that was removed.
  this->LastServerWrite[Key] = ++this->ServerWrites;
  this->change({Table, Key}, {}, true);
}

void Store::change(const Key &At, const QByteArray &Value, bool Deleted) {
  this->State.Rows[At] = {++this->State.Version, Value, Deleted};
  this->Events.note("store: row " + At.first + "/" + At.second +
                    " becomes version " + std::to_string(this->State.Version) +
                    ": " + (Deleted ? "deleted" : Value.toStdString()));
  this->Changed.notifyAll();
}

QCoro::Task<> Store::serve(std::shared_ptr<TextStream> Stream) {
  const TaskGroup::Guard Running(this->Tasks);
  bool Open = true;
  while (Open) {
    const std::optional<Request> Call = co_await this->readRequest(*Stream);
    if (!Call)
      break;
    const std::uint64_t Arrived = this->Era;
    std::optional<Answer> Reply;
    if (!this->isLost(*Call, Arrived))
      Reply = co_await this->answer(*Call);
    if (this->isLost(*Call, Arrived)) {
      Stream->abort();
      break;
    }
    if (!Reply) {
      // A connection on which an answer is lost delivers nothing further.
      while (Stream->isOpen())
        co_await Stream->waitReadable();
      break;
    }
    const QByteArray Body =
        QJsonDocument(Reply->Body).toJson(QJsonDocument::Compact);
    Stream->write("HTTP/1.1 " + std::to_string(Reply->Status) +
                  " X\r\nContent-Type: application/json\r\nStore-Era: " +
                  std::to_string(this->Era) +
                  "\r\nContent-Length: " + std::to_string(Body.size()) +
                  "\r\n\r\n" + Body.toStdString());
    Open = Stream->isOpen();
  }
  this->Streams.erase(Stream);
}

QCoro::Task<std::optional<Store::Request>>
Store::readRequest(TextStream &Stream) {
  std::optional<std::string> Line = co_await Stream.readLine();
  if (!Line)
    co_return std::nullopt;
  Request Call;
  const std::size_t Blank = Line->find(' ');
  Call.Method = Line->substr(0, Blank);
  Call.Target = Line->substr(Blank + 1, Line->rfind(' ') - Blank - 1);
  Line = co_await Stream.readLine();
  while (Line && !Line->empty()) {
    const std::size_t Colon = Line->find(':');
    if (Colon != std::string::npos)
      Call.Headers[lower(Line->substr(0, Colon))] =
          text(Line->substr(Colon + 1)).trimmed().toStdString();
    Line = co_await Stream.readLine();
  }
  if (!Line)
    co_return std::nullopt;
  const std::string &Length = Call.Headers["content-length"];
  const std::size_t Count = std::strtoull(Length.c_str(), nullptr, 10);
  const std::optional<std::string> Body = co_await Stream.readBytes(Count);
  if (!Body)
    co_return std::nullopt;
  Call.Body = *Body;
  co_return Call;
}

QCoro::Task<std::optional<Store::Answer>> Store::answer(const Request &Call) {
  const bool Affected = ++this->Calls % AffectedShare == 0;
  const StoreFault Present = this->Fault;
  std::optional<Answer> Reply;
  if (Present == StoreFault::Silent)
    co_return Reply;
  if (Present == StoreFault::Refusing) {
    Reply = Answer();
    Reply->Status = 503;
    co_return Reply;
  }
  if (Present == StoreFault::Late && Affected) {
    this->performLater(Call, LateTime);
    co_return Reply;
  }
  if (Call.Method == "POST") {
    const bool Ordering = Call.Target.starts_with("/promotions");
    const Duration By =
        this->drawLateness(Ordering ? LateCalls::Orders : LateCalls::Writes);
    if (By > Duration::zero()) {
      this->Events.note("store: POST " + Call.Target + " is late by " +
                        std::to_string(toMilliseconds(By)) + " ms");
      if (Ordering)
        this->order(Call, By);
      else
        this->performLater(Call, By);
      co_return Reply;
    }
  }
  const bool Slow = Present == StoreFault::Slow;
  co_await sleepFor(Slow ? CallTime + SlowTime : CallTime);
  Reply = co_await this->perform(Call);
  if (Present == StoreFault::LosesAnswer && Affected)
    Reply = std::nullopt;
  co_return Reply;
}

QCoro::Task<> Store::performLater(Request Call, Duration Late) {
  const TaskGroup::Guard Running(this->Tasks);
  co_await sleepFor(Late);
  if (!this->Stopping && Call.Method == "POST")
    co_await this->perform(Call);
}

QCoro::Task<Store::Answer> Store::perform(const Request &Call) {
  const QUrl Url(text(Call.Target));
  const QUrlQuery Query(Url);
  const auto Value = [&Query](const char *Name) {
    return Query.queryItemValue(Name, QUrl::FullyDecoded);
  };
  const std::string Table = Value("table").toStdString();
  if (Url.path() == "/rows-get") {
    const QString Limit = Value("limit");
    co_return this->readRows(Table, Value("from").toStdString(),
                             Limit.isEmpty() ? DefaultLimit
                                             : Limit.toULongLong());
  }
  if (Url.path() == "/rows-feed")
    co_return co_await this->feed(Table, Value("after").toULongLong(),
                                  milliseconds(Value("wait-ms").toLongLong()));
  if (Url.path() == "/rows-tx")
    co_return this->transact(Call.Body);
  if (Url.path() == "/promotions")
    co_return this->order(Call, Duration::zero());
  Answer Missing;
  Missing.Status = 404;
  co_return Missing;
}

QCoro::Task<Store::Answer> Store::feed(std::string Table, std::uint64_t After,
                                       Duration Wait) {
  const TimePoint Deadline = steadyNow() + Wait;
  if (After > this->State.Version)
    co_return Answer{410, {}};
  auto Rows = this->changes(Table, After);
  while (Rows.empty() && !this->Stopping && !this->Away &&
         steadyNow() < Deadline) {
    co_await this->Changed.wait(Deadline);
    Rows = this->changes(Table, After);
  }
  Answer Reply;
  Reply.Body = this->page(Rows);
  co_return Reply;
}

Store::Answer Store::readRows(const std::string &Table, const std::string &From,
                              std::size_t Limit) const {
  std::vector<std::pair<Key, Row>> Found;
  for (const auto &[At, R] : this->State.Rows)
    if (At.first == Table && At.second >= From && !R.Deleted &&
        Found.size() < Limit)
      Found.emplace_back(At, R);
  return {200, this->page(Found)};
}

std::vector<std::pair<Store::Key, Store::Row>>
Store::changes(const std::string &Table, std::uint64_t After) const {
  std::vector<std::pair<Key, Row>> Found;
  for (const auto &[At, R] : this->State.Rows)
    if (At.first == Table && R.Version > After)
      Found.emplace_back(At, R);
  std::ranges::sort(Found, {},
                    [](const auto &Entry) { return Entry.second.Version; });
  return Found;
}

QJsonObject Store::page(const std::vector<std::pair<Key, Row>> &Rows) const {
  QJsonArray List;
  for (const auto &[At, R] : Rows) {
    QJsonObject O{{"table", text(At.first)},
                  {"part", ""},
                  {"key", text(At.second)},
                  {"row-version", static_cast<qint64>(R.Version)},
                  {"value", QString::fromLatin1(R.Value.toBase64())}};
    if (R.Deleted)
      O["deleted"] = true;
    List.append(O);
  }
  return {
      {"rows", List},
      {"row-version", static_cast<qint64>(this->State.Version)},
      {"has-more", false},
      {"now-ms", static_cast<qint64>(this->Events.now() - this->ClockBehind)}};
}

Store::Answer Store::transact(const std::string &Body) {
  const QJsonDocument Document =
      QJsonDocument::fromJson(QByteArray::fromStdString(Body));
  const QJsonObject Call = Document.object();
  const auto KeyOf = [](const QJsonObject &O) {
    return Key(O["table"].toString().toStdString(),
               O["key"].toString().toStdString());
  };
  const QJsonArray Expected = Call["expected"].toArray();
  bool Holds = true;
  std::vector<std::pair<Key, Row>> Present;
  for (const auto &Entry : Expected) {
    const QJsonObject O = Entry.toObject();
    const auto Found = this->State.Rows.find(KeyOf(O));
    const bool Exists =
        Found != this->State.Rows.end() && !Found->second.Deleted;
    const std::uint64_t At = Exists ? Found->second.Version : 0;
    Holds =
        Holds && At == static_cast<std::uint64_t>(O["row-version"].toInteger());
    if (Exists)
      Present.emplace_back(*Found);
  }
  if (!Holds)
    return {412, this->page(Present)};
  const QJsonArray Set = Call["set-keys"].toArray();
  for (const auto &Entry : Set) {
    const QJsonObject O = Entry.toObject();
    this->change(KeyOf(O),
                 QByteArray::fromBase64(O["value"].toString().toLatin1()),
                 false);
  }
  const QJsonArray Removed = Call["remove"].toArray();
  for (const auto &Entry : Removed)
    this->change(KeyOf(Entry.toObject()), {}, true);
  return {200, {{"row-version", static_cast<qint64>(this->State.Version)}}};
}

Store::Answer Store::order(const Request &Call, Duration Late) {
  const QJsonDocument Document =
      QJsonDocument::fromJson(QByteArray::fromStdString(Call.Body));
  const QJsonObject O = Document.object();
  const auto Header = [&Call](const char *Name) {
    const auto Found = Call.Headers.find(Name);
    return Found == Call.Headers.end() ? std::string() : Found->second;
  };
  return {this->OnOrder(
              O["service"].toString().toStdString(),
              O["id"].toString().toStdString(), Header("duty-holder"),
              std::strtoull(Header("fence-token").c_str(), nullptr, 10), Late),
          {}};
}

} // namespace amaranthspur::bench::soak
