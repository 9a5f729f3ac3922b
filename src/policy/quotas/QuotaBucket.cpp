#include "policy/quotas/QuotaBucket.h"

#include <algorithm>

namespace amaranthspur {

double QuotaBucket::tokens(TimePoint Now) const {
  if (this->Paused || !this->FilledAt || Now <= *this->FilledAt)
    return this->Tokens;
  const std::chrono::duration<double> Passed = Now - *this->FilledAt;
  return std::min(this->Capacity.Burst,
                  this->Tokens + Passed.count() * this->Capacity.RatePerSecond);
}

void QuotaBucket::fill(TimePoint Now) {
  this->Tokens = this->tokens(Now);
  if (!this->FilledAt || Now > *this->FilledAt)
    this->FilledAt = Now;
}

double QuotaBucket::resize(const QuotaAmount &Amount, TimePoint Now) {
  this->fill(Now);
  this->Capacity = Amount;
  const double Discarded = std::max(0.0, this->Tokens - Amount.Burst);
  this->Tokens -= Discarded;
  return Discarded;
}

void QuotaBucket::add(double Added, TimePoint Now) {
  this->fill(Now);
  this->Tokens = std::min(this->Capacity.Burst, this->Tokens + Added);
}

double QuotaBucket::take(double Wanted, TimePoint Now) {
  this->fill(Now);
  const double Taken = std::clamp(Wanted, 0.0, this->Tokens);
  this->Tokens -= Taken;
  return Taken;
}

bool QuotaBucket::spend(TimePoint Now) {
  this->fill(Now);
  if (this->Tokens < 1)
    return false;
  this->Tokens -= 1;
  return true;
}

void QuotaBucket::pause(TimePoint Now) {
  this->fill(Now);
  this->Paused = true;
  this->PausedAt = Now;
}

double QuotaBucket::resume(TimePoint Now) {
  if (!this->Paused)
    return 0;
  this->fill(Now);
  this->Paused = false;
  const std::chrono::duration<double> Passed =
      std::max(Duration::zero(), Now - this->PausedAt);
  return Passed.count() * this->Capacity.RatePerSecond;
}

std::optional<Duration> QuotaBucket::untilNext(TimePoint Now) const {
  const double Missing = 1 - this->tokens(Now);
  if (Missing <= 0)
    return Duration::zero();
  if (this->Capacity.Burst < 1 || this->Capacity.RatePerSecond <= 0)
    return std::nullopt;
  const std::chrono::duration<double> Wait(
      std::min(3600.0, Missing / this->Capacity.RatePerSecond));
  return std::chrono::ceil<Duration>(Wait);
}

} // namespace amaranthspur
