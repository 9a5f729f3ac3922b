#include "policy/ConnectionShare.h"

#include <algorithm>

namespace amaranthspur {

bool ConnectionShare::mayOpen(std::size_t Open, TimePoint Now) {
  if (Open < this->Limit)
    return true;
  const auto Within = [Now](const std::optional<TimePoint> &At, Duration Span) {
    return At && Now - *At < Span;
  };
  const bool Counted = Within(this->CountedAt, CountTrust);
  const bool Crowded = Counted && this->Count * 2 > this->Maximum;
  if (Open >= this->Maximum || Within(this->RefusedAt, RefusalPause) ||
      Within(this->GrownAt, Crowded ? CrowdedGrowthInterval : GrowthInterval))
    return false;
  if (Counted && this->Count + Headroom >= this->Maximum)
    return false;
  this->Limit = Open + 1;
  this->GrownAt = Now;
  return true;
}

void ConnectionShare::refused(std::size_t Open, TimePoint Now) {
  const auto Kept =
      static_cast<std::size_t>(static_cast<double>(Open) * Decrease);
  this->Limit = std::max<std::size_t>(1, Kept);
  this->RefusedAt = Now;
}

bool ConnectionShare::scarce(TimePoint Now) const {
  return this->RefusedAt && Now - *this->RefusedAt < ScarceFor;
}

void ConnectionShare::observeCount(std::size_t Seen, TimePoint Now) {
  this->Count = Seen;
  this->CountedAt = Now;
}

} // namespace amaranthspur
