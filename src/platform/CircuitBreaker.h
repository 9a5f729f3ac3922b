// Circuit breaker: spares a service that is down, and the callers' time.
#ifndef AMARANTHSPUR_PLATFORM_CIRCUITBREAKER_H
#define AMARANTHSPUR_PLATFORM_CIRCUITBREAKER_H

#include "core/Clock.h"
#include "core/Names.h"

#include <array>

namespace amaranthspur {

/// State of a circuit breaker.
enum class BreakerState {
  Closed,   ///< Requests pass.
  Open,     ///< Requests are refused at once.
  HalfOpen, ///< One request passes as a trial.
};

template <> struct EnumNames<BreakerState> {
  static constexpr auto Entries =
      std::to_array<std::pair<BreakerState, std::string_view>>(
          {{BreakerState::Closed, "closed"},
           {BreakerState::Open, "open"},
           {BreakerState::HalfOpen, "half-open"}});
};

/// Opens after consecutive failures and lets one trial pass after a while.
class CircuitBreaker {
public:
  struct Settings {
    unsigned FailuresToOpen;
    Duration FirstOpen; ///< Doubles per failed trial.
    Duration MaxOpen;
  };

  explicit CircuitBreaker(Settings S) : Limits(S) {}

  /// Returns whether a request may be sent at \p Now. Each true is followed by
  /// one call of succeeded() or failed().
  bool allow(TimePoint Now);

  void succeeded();
  void failed(TimePoint Now);

  BreakerState state() const { return this->State; }

private:
  void open(TimePoint Now);

  Settings Limits;
  BreakerState State = BreakerState::Closed;
  unsigned Failures = 0; ///< Consecutive, while closed.
  Duration OpenFor{};
  TimePoint OpenUntil{};
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_PLATFORM_CIRCUITBREAKER_H
