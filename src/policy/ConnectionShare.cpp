#include "policy/ConnectionShare.h"

#include <algorithm>

namespace amaranthspur {
namespace {

bool within(const std::optional<TimePoint> &At, Duration Span, TimePoint Now) {
  return At && Now - *At < Span;
}

} // namespace

bool ConnectionShare::mayOpen(std::size_t Open, TimePoint Now) {
  if (Open < this->Limit)
    return true;
  const bool Counted = within(this->CountedAt, CountTrust, Now);
  const bool Crowded = Counted && this->Count * 2 > this->Maximum;
  if (Open >= this->Maximum || within(this->RefusedAt, RefusalPause, Now) ||
      within(this->GrownAt, Crowded ? CrowdedGrowthInterval : GrowthInterval,
             Now))
    return false;
  if (Counted && this->Count + Headroom >= this->Maximum)
    return false;
  this->Limit = Open + 1;
  this->GrownAt = Now;
  return true;
}

void ConnectionShare::refused(std::size_t Open, TimePoint Now) {
  this->Limit = this->reduced(Open);
  if (this->RefusedAt && !this->scarce(Now)) {
    const bool Soon = Now - *this->RefusedAt < 2 * this->Scarcity;
    this->Scarcity =
        Soon ? std::min(2 * this->Scarcity, LongestScarcity) : ScarceFor;
  }
  this->RefusedAt = Now;
}

bool ConnectionShare::scarce(TimePoint Now) const {
  // An entry VM that keeps its connections is never refused one; only the count
  // shows it that the server is crowded.
  const bool Counted = within(this->CountedAt, CountTrust, Now);
  return within(this->RefusedAt, this->Scarcity, Now) ||
         (Counted && this->isCrowded());
}

bool ConnectionShare::isCrowded() const {
  return this->Count * 4 > this->Maximum * 3;
}

std::size_t ConnectionShare::reduced(std::size_t Open) {
  const auto Kept =
      static_cast<std::size_t>(static_cast<double>(Open) * Decrease);
  return std::max<std::size_t>(1, Kept);
}

bool ConnectionShare::wantsCount(std::size_t Open, TimePoint Now) const {
  return Open > InitialShare && !within(this->CountedAt, CountTrust, Now);
}

Duration ConnectionShare::idleLimit(bool Newest, TimePoint Now) const {
  if (this->scarce(Now))
    return ScarceIdleLimit;
  return Newest ? IdleLimit : SurplusIdleLimit;
}

void ConnectionShare::observeCount(std::size_t Seen, TimePoint Now) {
  this->Count = Seen;
  this->CountedAt = Now;
  if (!this->isCrowded() || within(this->YieldedAt, YieldInterval, Now))
    return;
  // Every entry VM sees the same count, so the largest shares shrink most.
  this->YieldedAt = Now;
  this->Limit = this->reduced(this->Limit);
}

} // namespace amaranthspur
