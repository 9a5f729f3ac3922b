#include "platform/CircuitBreaker.h"

#include <algorithm>

namespace amaranthspur {

bool CircuitBreaker::allow(TimePoint Now) {
  switch (this->State) {
  case BreakerState::Closed:
    return true;
  case BreakerState::HalfOpen:
    return false; // The trial request is still in progress.
  case BreakerState::Open:
    if (Now < this->OpenUntil)
      return false;
    this->State = BreakerState::HalfOpen;
    return true;
  }
  return true;
}

void CircuitBreaker::recordSuccess() {
  // The request may have been sent before the breaker opened. Its success still
  // shows that the service is up, so the breaker closes from any state.
  this->State = BreakerState::Closed;
  this->Failures = 0;
  this->OpenTime = Duration::zero();
}

void CircuitBreaker::recordFailure(TimePoint Now) {
  if (this->State == BreakerState::HalfOpen)
    return this->open(Now);
  if (this->State == BreakerState::Open)
    return;
  if (++this->Failures >= this->Thresholds.FailureThreshold)
    this->open(Now);
}

void CircuitBreaker::open(TimePoint Now) {
  this->OpenTime =
      this->OpenTime == Duration::zero()
          ? this->Thresholds.InitialOpenTime
          : std::min(this->OpenTime * 2, this->Thresholds.MaxOpenTime);
  this->OpenUntil = Now + this->OpenTime;
  this->State = BreakerState::Open;
  this->Failures = 0;
}

} // namespace amaranthspur
