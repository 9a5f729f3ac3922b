#include "platform/HttpPlatform.h"

#include "core/Async.h"
#include "platform/Backoff.h"
#include "platform/RowCodec.h"

#include <QJsonDocument>
#include <QJsonObject>
#include <QUrl>

namespace amaranthspur {
namespace {

constexpr Backoff RetryBackoff(milliseconds(50), std::chrono::seconds(1));
/// Longest wait for one answer. A lost answer then leaves time for another
/// attempt within the usual deadlines of 2 to 5 s.
constexpr Duration MaxAttemptTime = std::chrono::seconds(1);
/// Time for an answer to a long poll after its wait has ended: two crossings
/// between regions and a slow store.
constexpr Duration PollSlack = std::chrono::seconds(1);

/// The table of this program's own rows.
constexpr const char *OwnTable = "amaranthspur";
constexpr const char *VmTable = "vms";

/// The platform's names of the watched tables.
const char *tableName(WatchedTable Table) {
  return Table == WatchedTable::Operator ? "op" : "servers";
}

QString encoded(const std::string &Text) {
  return QString::fromLatin1(
      QUrl::toPercentEncoding(QString::fromStdString(Text)));
}

QString number(std::uint64_t N) { return QString::number(N); }

Error unexpected(const HttpResponse &Answer) {
  constexpr int MaxQuoted = 200;
  return Error{"the platform answered " + std::to_string(Answer.Status) + ": " +
               Answer.Body.left(MaxQuoted).toStdString()};
}

/// Returns the page of rows in \p Answer.
Result<rows::Page> pageIn(const HttpResponse &Answer) {
  if (Answer.Status != HttpOk)
    return unexpected(Answer);
  return rows::decodePage(Answer.Body);
}

/// Returns the row \p Key of \p Page; version 0 if it is not there.
Result<TableRow> rowIn(const rows::Page &Page, const std::string &Key) {
  for (const WatchedRow &Row : Page.Rows)
    if (Row.Key == Key)
      return rows::decodeValue(Row);
  return TableRow{};
}

} // namespace

HttpPlatform::HttpPlatform(const Address &Service, std::uint64_t Seed,
                           CircuitBreaker::Settings Limits)
    : Http(Service), Breaker(Limits), Draw(Seed) {}

QCoro::Task<Result<TableRow>> HttpPlatform::readRow(std::string Key,
                                                    TimePoint Deadline) {
  // A range has no end of its own for one key: the first row from it on.
  HttpRequest Request{"GET", QString("/rows-get?table=%1&part=&from=%2&limit=1")
                                 .arg(OwnTable, encoded(Key))};
  const Result<HttpResponse> R =
      co_await this->call(std::move(Request), Deadline);
  if (!succeeded(R))
    co_return Error{errorOf(R)};
  const Result<rows::Page> Page = pageIn(valueOf(R));
  if (!succeeded(Page))
    co_return Error{errorOf(Page)};
  co_return rowIn(valueOf(Page), Key);
}

QCoro::Task<Result<CasOutcome>>
HttpPlatform::compareAndSet(std::string Key, std::uint64_t Expected,
                            std::string Value, std::string Operation,
                            TimePoint Deadline) {
  HttpRequest Request{
      "POST", "/rows-tx",
      rows::encodeConditionalWrite(OwnTable, Key, Expected,
                                   rows::encodeValue(Value, Operation)),
      "application/json"};
  const Result<HttpResponse> R =
      co_await this->call(std::move(Request), Deadline);
  if (!succeeded(R))
    co_return Error{errorOf(R)};
  const HttpResponse &Answer = valueOf(R);
  if (Answer.Status == HttpOk) {
    const Result<std::uint64_t> Version = rows::decodeNewVersion(Answer.Body);
    if (!succeeded(Version))
      co_return Error{errorOf(Version)};
    co_return CasOutcome{true, {valueOf(Version), Value, Operation}};
  }
  if (Answer.Status != HttpPreconditionFailed)
    co_return unexpected(Answer);
  const Result<rows::Page> Page = rows::decodePage(Answer.Body);
  if (!succeeded(Page))
    co_return Error{errorOf(Page)};
  Result<TableRow> Present = rowIn(valueOf(Page), Key);
  if (!succeeded(Present))
    co_return Error{errorOf(Present)};
  // An earlier attempt of this operation may have been applied without an
  // answer.
  const bool Applied = valueOf(Present).Operation == Operation;
  co_return CasOutcome{Applied, valueOf(std::move(Present))};
}

QCoro::Task<Result<Success>> HttpPlatform::putObject(std::string Name,
                                                     std::string Content,
                                                     TimePoint Deadline) {
  HttpRequest Request{"PUT", "/blob-put/" + encoded(Name),
                      QByteArray::fromStdString(Content)};
  const Result<HttpResponse> R =
      co_await this->call(std::move(Request), Deadline);
  if (!succeeded(R))
    co_return Error{errorOf(R)};
  if (valueOf(R).Status != HttpOk)
    co_return unexpected(valueOf(R));
  // A plain std::monostate would be taken for QCoro's empty result.
  co_return Result<Success>(Success());
}

QCoro::Task<Result<std::optional<std::string>>>
HttpPlatform::getObject(std::string Name, TimePoint Deadline) {
  HttpRequest Request{"GET", "/blob-get/" + encoded(Name)};
  const Result<HttpResponse> R =
      co_await this->call(std::move(Request), Deadline);
  if (!succeeded(R))
    co_return Error{errorOf(R)};
  const HttpResponse &Answer = valueOf(R);
  if (Answer.Status == HttpNotFound)
    co_return std::optional<std::string>();
  if (Answer.Status != HttpOk)
    co_return unexpected(Answer);
  co_return std::optional<std::string>(Answer.Body.toStdString());
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
        "GET", QString("/rows-get?table=%1&part=%2").arg(encoded(Table), From)};
    const Result<HttpResponse> R =
        co_await this->call(std::move(Request), Deadline);
    if (!succeeded(R))
      co_return Error{errorOf(R)};
    Result<rows::Page> Page = pageIn(valueOf(R));
    if (!succeeded(Page))
      co_return Error{errorOf(Page)};
    rows::Page Read = valueOf(std::move(Page));
    // Pages are read one after the other; what changes between them is in the
    // feed after the first page's version.
    if (From.isEmpty())
      Out.Version = Read.StoreVersion;
    const bool More = Read.More && !Read.Rows.empty();
    if (More)
      From = "&from=" + encoded(Read.Rows.back().Key + '\0');
    for (WatchedRow &Row : Read.Rows)
      Out.Rows.push_back(std::move(Row));
    if (!More)
      break;
  }
  co_return Out;
}

QCoro::Task<Result<WatchedRows>> HttpPlatform::awaitChanges(WatchedTable Table,
                                                            std::uint64_t After,
                                                            Duration Wait) {
  const auto WaitMs = static_cast<std::uint64_t>(Wait / milliseconds(1));
  HttpRequest Request{
      "GET", QString("/rows-feed?table=%1&after=%2&wait-ms=%3")
                 .arg(tableName(Table), number(After), number(WaitMs))};
  // Not repeated here: whoever follows the table decides what a failure means.
  ++this->Counters.Attempts;
  const Result<HttpResponse> R = co_await this->Http.send(
      std::move(Request), steadyNow() + Wait + PollSlack);
  if (!succeeded(R)) {
    ++this->Counters.Failures;
    co_return Error{errorOf(R)};
  }
  if (valueOf(R).Status == HttpGone) {
    WatchedRows Lost;
    Lost.HistoryLost = true;
    co_return Lost;
  }
  Result<rows::Page> Page = pageIn(valueOf(R));
  if (!succeeded(Page))
    co_return Error{errorOf(Page)};
  rows::Page Changes = valueOf(std::move(Page));
  co_return WatchedRows{std::move(Changes.Rows), Changes.StoreVersion, false};
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

QCoro::Task<Result<HttpResponse>> HttpPlatform::call(HttpRequest Request,
                                                     TimePoint Deadline) {
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
      this->Breaker.succeeded();
    else
      this->Breaker.failed(steadyNow());
    const bool Throttled = Answered && valueOf(R).Status == HttpTooManyRequests;
    if (Answered && !Throttled)
      co_return R;
    ++(Throttled ? this->Counters.Throttled : this->Counters.Failures);
    const Duration Delay = RetryBackoff.delayAfter(Attempt, this->Draw);
    if (steadyNow() + Delay >= Deadline) {
      if (succeeded(R))
        co_return unexpected(valueOf(R));
      co_return R;
    }
    co_await sleepFor(Delay);
  }
}

} // namespace amaranthspur
