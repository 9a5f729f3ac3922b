// HTTP client of the platform's service: rows, long polls and objects.
#ifndef AMARANTHSPUR_PLATFORM_HTTPPLATFORM_H
#define AMARANTHSPUR_PLATFORM_HTTPPLATFORM_H

#include "core/Random.h"
#include "platform/CircuitBreaker.h"
#include "platform/HttpClient.h"
#include "platform/Platform.h"
#include "platform/RowCodec.h"
#include "platform/StoreEra.h"

namespace amaranthspur {

/// Counters of the calls of an HttpPlatform.
struct PlatformCounters {
  std::uint64_t Attempts = 0;  ///< Requests sent, retries included.
  std::uint64_t Failures = 0;  ///< Attempts without a usable response.
  std::uint64_t Refused = 0;   ///< Calls refused by the circuit breaker.
  std::uint64_t Throttled = 0; ///< Responses with status 429.
};

/// Client of the platform's service with deadlines, retries with jitter and a
/// circuit breaker.
///
/// Every request is idempotent, since a write carries its operation identifier.
/// A request is therefore retried until its deadline, except a long poll. An
/// error of a write means that its outcome is unknown. The object is used in
/// one thread only and must outlive the tasks of its calls.
class HttpPlatform final : public Platform, public TableFeed {
public:
  static constexpr CircuitBreaker::Settings DefaultThresholds{
      5, milliseconds(500), std::chrono::seconds(2)};

  /// \param Service address of the platform's service.
  /// \param Seed seed of the random jitter of retries.
  /// \param Thresholds thresholds of the circuit breaker.
  /// \param Observer is told of writes that were given up; may be null.
  /// \param Eras is told of the eras in the answers; may be null.
  HttpPlatform(const Address &Service, std::uint64_t Seed,
               CircuitBreaker::Settings Thresholds = DefaultThresholds,
               AbandonedCallObserver *Observer = nullptr,
               StoreEraObserver *Eras = nullptr);

  QCoro::Task<Result<TableRow>> readRow(std::string Key,
                                        TimePoint Deadline) override;
  QCoro::Task<Result<CasOutcome>>
  compareAndSet(std::string Key, StoreVersion Expected, std::string Value,
                std::string Operation, TimePoint Deadline) override;
  QCoro::Task<Result<Success>> putObject(std::string Name, std::string Content,
                                         TimePoint Deadline) override;
  QCoro::Task<Result<std::optional<std::string>>>
  getObject(std::string Name, TimePoint Deadline) override;
  QCoro::Task<Result<WatchedRows>> readTable(WatchedTable Table,
                                             TimePoint Deadline) override;
  QCoro::Task<Result<WatchedRows>>
  awaitChanges(WatchedTable Table, StoreVersion After, Duration Wait) override;
  QCoro::Task<Result<std::vector<PlatformVm>>>
  listVms(TimePoint Deadline) override;

  /// Returns the state of the circuit breaker.
  BreakerState breakerState() const { return this->Breaker.state(); }
  /// Returns the counters since construction.
  const PlatformCounters &counters() const { return this->Counters; }

private:
  /// Sends a request and retries it until the response has neither a 5xx status
  /// nor 429, or until the next attempt would start after the deadline.
  QCoro::Task<Result<HttpResponse>> sendWithRetries(HttpRequest Request,
                                                    TimePoint Deadline);
  /// Answers a conditional write on a version of an earlier era, whose number
  /// may have been given out again, with the present row. Nothing is written.
  QCoro::Task<Result<CasOutcome>> rejectOutdatedWrite(std::string Key,
                                                      TimePoint Deadline);
  /// Decodes the page of rows in \p Response; any status but \p Wanted is an
  /// error.
  Result<rows::Page> decodePage(const HttpResponse &Response, int Wanted);
  /// Reads all rows of a table, page by page.
  QCoro::Task<Result<WatchedRows>> readAll(std::string Table,
                                           TimePoint Deadline);

  HttpClient Http;
  CircuitBreaker Breaker;
  StoreEraReader Eras;
  Random Rng;
  PlatformCounters Counters;
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_PLATFORM_HTTPPLATFORM_H
