// The platform's service over HTTP: rows, long polls and objects.
#ifndef AMARANTHSPUR_PLATFORM_HTTPPLATFORM_H
#define AMARANTHSPUR_PLATFORM_HTTPPLATFORM_H

#include "core/Random.h"
#include "platform/CircuitBreaker.h"
#include "platform/HttpClient.h"
#include "platform/Platform.h"

namespace amaranthspur {

/// Counters for metrics.
struct PlatformCounters {
  std::uint64_t Attempts = 0;
  std::uint64_t Failures = 0;  ///< Attempts without a usable answer.
  std::uint64_t Refused = 0;   ///< Calls refused by the circuit breaker.
  std::uint64_t Throttled = 0; ///< Answers 429.
};

/// Client with deadlines, retries with jitter and a circuit breaker.
///
/// Every request is idempotent (a write carries its operation), so each is
/// retried until its deadline. An error therefore means "outcome unknown" for
/// a write. Belongs to one thread and outlives its calls.
class HttpPlatform final : public Platform, public TableFeed {
public:
  /// \param Service address of the platform's service.
  /// \param Seed for the jitter of retries.
  HttpPlatform(const Address &Service, std::uint64_t Seed,
               CircuitBreaker::Settings Limits = {5, milliseconds(500),
                                                  std::chrono::seconds(2)});

  QCoro::Task<Result<TableRow>> readRow(std::string Key,
                                        TimePoint Deadline) override;
  QCoro::Task<Result<CasOutcome>>
  compareAndSet(std::string Key, std::uint64_t Expected, std::string Value,
                std::string Operation, TimePoint Deadline) override;
  QCoro::Task<Result<Success>> putObject(std::string Name, std::string Content,
                                         TimePoint Deadline) override;
  QCoro::Task<Result<std::optional<std::string>>>
  getObject(std::string Name, TimePoint Deadline) override;
  QCoro::Task<Result<WatchedRows>> readTable(WatchedTable Table,
                                             TimePoint Deadline) override;
  QCoro::Task<Result<WatchedRows>>
  awaitChanges(WatchedTable Table, std::uint64_t After, Duration Wait) override;
  QCoro::Task<Result<std::vector<PlatformVm>>>
  listVms(TimePoint Deadline) override;

  BreakerState breakerState() const { return this->Breaker.state(); }
  const PlatformCounters &counters() const { return this->Counters; }

private:
  /// Sends a request until it is answered with neither 5xx nor 429, or the
  /// deadline is too near for another attempt.
  QCoro::Task<Result<HttpResponse>> call(HttpRequest Request,
                                         TimePoint Deadline);
  /// Reads all rows of a table, page by page.
  QCoro::Task<Result<WatchedRows>> readAll(std::string Table,
                                           TimePoint Deadline);

  HttpClient Http;
  CircuitBreaker Breaker;
  Random Draw;
  PlatformCounters Counters;
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_PLATFORM_HTTPPLATFORM_H
