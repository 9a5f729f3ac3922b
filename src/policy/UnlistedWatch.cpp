#include "policy/UnlistedWatch.h"

#include <algorithm>
#include <utility>

namespace amaranthspur {
namespace {

/// The platform's list lags behind by less than this.
constexpr Duration Grace = std::chrono::seconds(10);
constexpr Duration PingInterval = std::chrono::seconds(3);
constexpr Duration MaxInterval = std::chrono::minutes(5);
constexpr unsigned Pings = 3;

} // namespace

void UnlistedWatch::onUnlisted(TimePoint Now, Duration Spread) {
  if (std::exchange(this->Unlisted, true))
    return;
  this->NextCheck = Now + Grace + Spread;
  this->Interval = PingInterval;
}

UnlistedStep UnlistedWatch::step(TimePoint Now) {
  if (!this->Unlisted || Now < this->NextCheck)
    return UnlistedStep::Wait;
  if (this->Unanswered >= Pings)
    return UnlistedStep::GiveUp;
  if (this->Unanswered == 0 && std::exchange(this->Asked, false)) {
    this->NextCheck = Now + this->Interval;
    this->Interval = std::min(2 * this->Interval, MaxInterval);
    return UnlistedStep::Wait;
  }
  ++this->Unanswered;
  this->Asked = true;
  this->NextCheck = Now + PingInterval;
  return UnlistedStep::Ping;
}

} // namespace amaranthspur
