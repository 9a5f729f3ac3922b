#include "policy/UnlistedWatch.h"

#include <algorithm>
#include <utility>

namespace amaranthspur {
namespace {

/// Upper bound of the delay until a new member appears in the platform's list.
constexpr Duration MaxListLag = std::chrono::seconds(10);
constexpr Duration PingInterval = std::chrono::seconds(3);
constexpr Duration MaxPingInterval = std::chrono::minutes(5);
constexpr unsigned MaxUnansweredPings = 3;

} // namespace

void UnlistedWatch::onUnlisted(TimePoint Now, Duration Spread) {
  if (std::exchange(this->Unlisted, true))
    return;
  this->NextCheck = Now + MaxListLag + Spread;
  this->Interval = PingInterval;
}

UnlistedAction UnlistedWatch::nextAction(TimePoint Now) {
  if (!this->Unlisted || Now < this->NextCheck)
    return UnlistedAction::Wait;
  if (this->Unanswered >= MaxUnansweredPings)
    return UnlistedAction::Remove;
  if (this->Unanswered == 0 && std::exchange(this->PingSent, false)) {
    this->NextCheck = Now + this->Interval;
    this->Interval = std::min(2 * this->Interval, MaxPingInterval);
    return UnlistedAction::Wait;
  }
  ++this->Unanswered;
  this->PingSent = true;
  this->NextCheck = Now + PingInterval;
  return UnlistedAction::Ping;
}

} // namespace amaranthspur
