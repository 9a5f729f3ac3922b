#include "platform/HttpPlatform.h"

#include "core/Async.h"
#include "platform/Backoff.h"

#include <QJsonDocument>
#include <QJsonObject>
#include <QUrl>

namespace amaranthspur {
namespace {

constexpr Backoff RetryBackoff(milliseconds(50), std::chrono::seconds(1));
/// Timeout of one attempt. It leaves time for another attempt after a lost
/// response, since the usual deadlines are 2 to 5 s.
constexpr Duration MaxAttemptTime = std::chrono::seconds(1);
/// Time that a client waits for the response to a long poll beyond the wait it
/// asked for. It covers one round trip between regions and a slow store.
constexpr Duration LongPollMargin = std::chrono::seconds(1);

/// Name of the table that holds this program's own rows.
constexpr const char *OwnTable = "amaranthspur";
constexpr const char *VmTable = "vms";

/// Returns the name that the platform uses for \p Table.
const char *tableName(WatchedTable Table) {
  return Table == WatchedTable::Operator ? "op" : "servers";
}

QString percentEncoded(const std::string &Text) {
  return QString::fromLatin1(
      QUrl::toPercentEncoding(QString::fromStdString(Text)));
}

QString decimal(std::uint64_t N) { return QString::number(N); }

Error unexpectedStatus(const HttpResponse &Response) {
  constexpr int MaxQuoted = 200;
  return Error{"the platform answered " + std::to_string(Response.Status) +
               ": " + Response.Body.left(MaxQuoted).toStdString()};
}

/// Returns the row \p Key of \p Page, or a row of version 0 if the page lacks
/// it.
Result<TableRow> findRow(const rows::Page &Page, const std::string &Key) {
  for (const WatchedRow &Row : Page.Rows) {
    if (Row.Key != Key)
      continue;
    Result<TableRow> Found = rows::decodeValue(Row);
    if (auto *Decoded = std::get_if<TableRow>(&Found))
      Decoded->StoreMs = Page.StoreMs;
    return Found;
  }
  TableRow Missing;
  Missing.Version = StoreVersion(0, Page.Version.era());
  Missing.StoreMs = Page.StoreMs;
  return Missing;
}

} // namespace

HttpPlatform::HttpPlatform(const Address &Service, std::uint64_t Seed,
                           CircuitBreaker::Settings Thresholds,
                           AbandonedCallObserver *Observer,
                           StoreEraObserver *Eras)
    : Http(Service, Observer), Breaker(Thresholds), Eras(Eras), Rng(Seed) {}

Result<rows::Page> HttpPlatform::decodePage(const HttpResponse &Response,
                                            int Wanted) {
  const std::uint64_t Era = this->Eras.read(Response);
  if (Response.Status != Wanted) {
    this->Eras.report(StoreVersion(0, Era));
    return unexpectedStatus(Response);
  }
  Result<rows::Page> Page = rows::decodePage(Response.Body, Era);
  this->Eras.report(succeeded(Page) ? valueOf(Page).Version
                                    : StoreVersion(0, Era));
  return Page;
}

QCoro::Task<Result<TableRow>> HttpPlatform::readRow(std::string Key,
                                                    TimePoint Deadline) {
  // The service can only read ranges, so this asks for the first row whose key
  // is not less than Key. It may be a row with another key.
  HttpRequest Request{"GET", QString("/rows-get?table=%1&part=&from=%2&limit=1")
                                 .arg(OwnTable, percentEncoded(Key))};
  const Result<HttpResponse> R =
      co_await this->sendWithRetries(std::move(Request), Deadline);
  if (!succeeded(R))
    co_return Error{errorOf(R)};
  const Result<rows::Page> Page = this->decodePage(valueOf(R), HttpOk);
  if (!succeeded(Page))
    co_return Error{errorOf(Page)};
  co_return findRow(valueOf(Page), Key);
}

QCoro::Task<Result<CasOutcome>>
HttpPlatform::compareAndSet(std::string Key, StoreVersion Expected,
                            std::string Value, std::string Operation,
                            TimePoint Deadline) {
  if (Expected.exists() && Expected.era() < this->Eras.latest())
    co_return co_await this->rejectOutdatedWrite(std::move(Key), Deadline);
  HttpRequest Request{
      "POST", "/rows-tx",
      rows::encodeConditionalWrite(OwnTable, Key, Expected,
                                   rows::encodeValue(Value, Operation)),
      "application/json"};
  Request.Subject = {CallKind::RowWrite, "", Key, 0, Expected.number()};
  const Result<HttpResponse> R =
      co_await this->sendWithRetries(std::move(Request), Deadline);
  if (!succeeded(R))
    co_return Error{errorOf(R)};
  const HttpResponse &Response = valueOf(R);
  if (Response.Status == HttpOk) {
    const Result<rows::WriteReceipt> Receipt =
        rows::decodeWriteReceipt(Response.Body, this->Eras.read(Response));
    if (!succeeded(Receipt))
      co_return Error{errorOf(Receipt)};
    this->Eras.report(valueOf(Receipt).Version);
    TableRow Written{valueOf(Receipt).Version, Value, Operation,
                     valueOf(Receipt).StoreMs};
    co_return CasOutcome{true, std::move(Written)};
  }
  const Result<rows::Page> Page =
      this->decodePage(Response, HttpPreconditionFailed);
  if (!succeeded(Page))
    co_return Error{errorOf(Page)};
  Result<TableRow> Present = findRow(valueOf(Page), Key);
  if (!succeeded(Present))
    co_return Error{errorOf(Present)};
  // An earlier attempt of the same operation may have been applied while its
  // response was lost. The operation identifier in the row shows this.
  const bool Applied = valueOf(Present).Operation == Operation;
  co_return CasOutcome{Applied, valueOf(std::move(Present))};
}

QCoro::Task<Result<CasOutcome>>
HttpPlatform::rejectOutdatedWrite(std::string Key, TimePoint Deadline) {
  Result<TableRow> Present = co_await this->readRow(std::move(Key), Deadline);
  if (!succeeded(Present))
    co_return Error{errorOf(Present)};
  co_return CasOutcome{false, valueOf(std::move(Present))};
}

QCoro::Task<Result<Success>> HttpPlatform::putObject(std::string Name,
                                                     std::string Content,
                                                     TimePoint Deadline) {
  HttpRequest Request{"PUT", "/blob-put/" + percentEncoded(Name),
                      QByteArray::fromStdString(Content)};
  Request.Subject = {CallKind::ObjectWrite, "", Name};
  const Result<HttpResponse> R =
      co_await this->sendWithRetries(std::move(Request), Deadline);
  if (!succeeded(R))
    co_return Error{errorOf(R)};
  if (valueOf(R).Status != HttpOk)
    co_return unexpectedStatus(valueOf(R));
  // QCoro uses std::monostate for a task without a result yet, so the value has
  // the type Success.
  co_return Result<Success>(Success());
}

QCoro::Task<Result<std::optional<std::string>>>
HttpPlatform::getObject(std::string Name, TimePoint Deadline) {
  HttpRequest Request{"GET", "/blob-get/" + percentEncoded(Name)};
  const Result<HttpResponse> R =
      co_await this->sendWithRetries(std::move(Request), Deadline);
  if (!succeeded(R))
    co_return Error{errorOf(R)};
  const HttpResponse &Response = valueOf(R);
  if (Response.Status == HttpNotFound)
    co_return std::optional<std::string>();
  if (Response.Status != HttpOk)
    co_return unexpectedStatus(Response);
  co_return std::optional<std::string>(Response.Body.toStdString());
}

QCoro::Task<Result<WatchedRows>> HttpPlatform::readTable(WatchedTable Table,
                                                         TimePoint Deadline) {
  return this->readAll(tableName(Table), Deadline);
}

QCoro::Task<Result<WatchedRows>> HttpPlatform::readAll(std::string Table,
                                                       TimePoint Deadline) {
  WatchedRows Out;
  QString From;
  while (true) {
    HttpRequest Request{
        "GET",
        QString("/rows-get?table=%1&part=%2").arg(percentEncoded(Table), From)};
    const Result<HttpResponse> R =
        co_await this->sendWithRetries(std::move(Request), Deadline);
    if (!succeeded(R))
      co_return Error{errorOf(R)};
    Result<rows::Page> Page = this->decodePage(valueOf(R), HttpOk);
    if (!succeeded(Page))
      co_return Error{errorOf(Page)};
    rows::Page Read = valueOf(std::move(Page));
    // The pages are not read in one transaction. Rows that change between two
    // pages appear again in the change feed after the first page's version. The
    // feed does not tell what a return from a copy has undone, so a table whose
    // pages are of two eras is read anew.
    if (!From.isEmpty() && Read.Version.era() != Out.Version.era()) {
      Out = WatchedRows();
      From.clear();
      co_await sleepFor(RetryBackoff.delayAfter(1, this->Rng));
      continue;
    }
    if (From.isEmpty())
      Out.Version = Read.Version;
    const bool More = Read.HasMore && !Read.Rows.empty();
    if (More)
      From = "&from=" + percentEncoded(Read.Rows.back().Key + '\0');
    for (WatchedRow &Row : Read.Rows)
      Out.Rows.push_back(std::move(Row));
    if (!More)
      break;
  }
  co_return Out;
}

QCoro::Task<Result<WatchedRows>> HttpPlatform::awaitChanges(WatchedTable Table,
                                                            StoreVersion After,
                                                            Duration Wait) {
  const auto WaitMs = static_cast<std::uint64_t>(Wait / milliseconds(1));
  HttpRequest Request{"GET", QString("/rows-feed?table=%1&after=%2&wait-ms=%3")
                                 .arg(tableName(Table), decimal(After.number()),
                                      decimal(WaitMs))};
  // A long poll is not retried here, because the caller that follows the table
  // decides how to handle a failure.
  ++this->Counters.Attempts;
  const Result<HttpResponse> R = co_await this->Http.send(
      std::move(Request), steadyNow() + Wait + LongPollMargin);
  if (!succeeded(R)) {
    ++this->Counters.Failures;
    co_return Error{errorOf(R)};
  }
  if (valueOf(R).Status == HttpGone) {
    this->Eras.report(StoreVersion(0, this->Eras.read(valueOf(R))));
    WatchedRows Lost;
    Lost.HistoryLost = true;
    co_return Lost;
  }
  Result<rows::Page> Page = this->decodePage(valueOf(R), HttpOk);
  if (!succeeded(Page))
    co_return Error{errorOf(Page)};
  rows::Page Changes = valueOf(std::move(Page));
  // The number may have been given out again in the present era, and the
  // changes between the copy and that number are then missing.
  if (Changes.Version.era() != After.era()) {
    WatchedRows Lost;
    Lost.HistoryLost = true;
    co_return Lost;
  }
  co_return WatchedRows{std::move(Changes.Rows), Changes.Version, false};
}

QCoro::Task<Result<std::vector<PlatformVm>>>
HttpPlatform::listVms(TimePoint Deadline) {
  const Result<WatchedRows> Rows = co_await this->readAll(VmTable, Deadline);
  if (!succeeded(Rows))
    co_return Error{errorOf(Rows)};
  std::vector<PlatformVm> List;
  for (const WatchedRow &Row : valueOf(Rows).Rows) {
    const QJsonDocument Document =
        QJsonDocument::fromJson(QByteArray::fromStdString(Row.Value));
    const QJsonObject O = Document.object();
    List.push_back({EntryVmId(Row.Key),
                    O["peer_address"].toString().toStdString(),
                    O["admin_address"].toString().toStdString(),
                    DataCentre(O["data_centre"].toString().toStdString()),
                    O["leaving"].toBool()});
  }
  co_return List;
}

QCoro::Task<Result<HttpResponse>>
HttpPlatform::sendWithRetries(HttpRequest Request, TimePoint Deadline) {
  for (unsigned Attempt = 1;; ++Attempt) {
    if (!this->Breaker.allow(steadyNow())) {
      ++this->Counters.Refused;
      co_return Error{"the platform is unreachable: the circuit breaker is " +
                      std::string(nameOf(this->Breaker.state()))};
    }
    ++this->Counters.Attempts;
    Result<HttpResponse> R = co_await this->Http.send(
        Request, std::min(Deadline, steadyNow() + MaxAttemptTime));
    const bool Answered =
        succeeded(R) && valueOf(R).Status < HttpFirstServerError;
    if (Answered)
      this->Breaker.recordSuccess();
    else
      this->Breaker.recordFailure(steadyNow());
    const bool Throttled = Answered && valueOf(R).Status == HttpTooManyRequests;
    if (Answered && !Throttled)
      co_return R;
    ++(Throttled ? this->Counters.Throttled : this->Counters.Failures);
    const Duration Delay = RetryBackoff.delayAfter(Attempt, this->Rng);
    if (steadyNow() + Delay >= Deadline) {
      if (succeeded(R))
        co_return unexpectedStatus(valueOf(R));
      co_return R;
    }
    co_await sleepFor(Delay);
  }
}

} // namespace amaranthspur
