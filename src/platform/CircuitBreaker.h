// Circuit breaker: while a service is down, requests to it fail at once. This
// keeps load off the service and saves clients from waiting for timeouts.
#ifndef AMARANTHSPUR_PLATFORM_CIRCUITBREAKER_H
#define AMARANTHSPUR_PLATFORM_CIRCUITBREAKER_H

#include "core/Clock.h"
#include "core/Names.h"

#include <array>

namespace amaranthspur {

/// State of a circuit breaker.
enum class BreakerState {
  Closed,   ///< Requests are allowed.
  Open,     ///< Requests are refused at once.
  HalfOpen, ///< A single trial request is in progress.
};

template <> struct EnumNames<BreakerState> {
  static constexpr auto Entries =
      std::to_array<std::pair<BreakerState, std::string_view>>(
          {{BreakerState::Closed, "closed"},
           {BreakerState::Open, "open"},
           {BreakerState::HalfOpen, "half-open"}});
};

/// Opens after a number of consecutive failures. When the open time has passed,
/// it allows one trial request, whose result closes or reopens it.
class CircuitBreaker {
public:
  /// Thresholds of a breaker.
  struct Settings {
    unsigned FailureThreshold; ///< Consecutive failures that open the breaker.
    Duration InitialOpenTime;  ///< Doubles with each failed trial request.
    Duration MaxOpenTime;      ///< Upper bound of the open time.
  };

  explicit CircuitBreaker(Settings Values) : Thresholds(Values) {}

  /// Returns whether a request may be sent at \p Now. If it returns true, the
  /// client must report the result of the request by exactly one call of
  /// recordSuccess() or recordFailure().
  bool allow(TimePoint Now);

  /// Records that a request was answered. Closes the breaker.
  void recordSuccess();

  /// Records that a request failed at \p Now. May open the breaker.
  void recordFailure(TimePoint Now);

  /// Returns the current state.
  BreakerState state() const { return this->State; }

private:
  void open(TimePoint Now);

  Settings Thresholds;
  BreakerState State = BreakerState::Closed;
  unsigned Failures = 0; ///< Consecutive failures while closed.
  Duration OpenTime{};   ///< Current open time; zero after a success.
  TimePoint OpenUntil{};
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_PLATFORM_CIRCUITBREAKER_H
