#include "platform/CircuitBreaker.h"

#include <algorithm>

namespace amaranthspur {

bool CircuitBreaker::allow(TimePoint Now) {
  switch (this->State) {
  case BreakerState::Closed:
    return true;
  case BreakerState::HalfOpen:
    return false; // The trial is under way.
  case BreakerState::Open:
    if (Now < this->OpenUntil)
      return false;
    this->State = BreakerState::HalfOpen;
    return true;
  }
  return true;
}

void CircuitBreaker::succeeded() {
  // A late success of a request that was sent before the breaker opened also
  // shows that the service answers.
  this->State = BreakerState::Closed;
  this->Failures = 0;
  this->OpenFor = Duration::zero();
}

void CircuitBreaker::failed(TimePoint Now) {
  if (this->State == BreakerState::HalfOpen)
    return this->open(Now);
  if (this->State == BreakerState::Open)
    return;
  if (++this->Failures >= this->Limits.FailuresToOpen)
    this->open(Now);
}

void CircuitBreaker::open(TimePoint Now) {
  this->OpenFor = this->OpenFor == Duration::zero()
                      ? this->Limits.FirstOpen
                      : std::min(this->OpenFor * 2, this->Limits.MaxOpen);
  this->OpenUntil = Now + this->OpenFor;
  this->State = BreakerState::Open;
  this->Failures = 0;
}

} // namespace amaranthspur
