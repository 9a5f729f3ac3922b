#include "policy/ConcurrencyLimit.h"

#include <algorithm>

namespace amaranthspur {
namespace {

/// Queueing inside the server above this is overload.
constexpr Duration OverloadQueueTime = milliseconds(5);
/// Below this the server has room.
constexpr Duration CalmQueueTime = milliseconds(1);
/// Time until a status reflects the last change: status is polled every 100 to
/// 200 ms.
constexpr Duration ShrinkInterval = milliseconds(300);

} // namespace

void ConcurrencyLimit::setSlots(unsigned NewSlots) {
  const bool Full = this->Current == this->Slots;
  this->Slots = std::max(1U, NewSlots);
  this->Current = Full ? this->Slots : std::min(this->Current, this->Slots);
}

void ConcurrencyLimit::observe(Duration QueueTime, TimePoint Now) {
  if (QueueTime > OverloadQueueTime) {
    this->CalmSince.reset();
    if (this->LastShrink && Now - *this->LastShrink < ShrinkInterval)
      return;
    if (this->LastGrowth && Now - *this->LastGrowth < 2 * this->GrowDelay)
      this->GrowDelay = std::min(2 * this->GrowDelay, MaxGrowDelay);
    this->LastGrowth.reset();
    this->LastShrink = Now;
    const unsigned Step = std::max(1U, this->Current / 4);
    this->Current = std::max(1U, this->Current - std::min(Step, this->Current));
    return;
  }
  if (QueueTime > CalmQueueTime) {
    this->CalmSince.reset();
    return;
  }
  if (!this->CalmSince)
    this->CalmSince = Now;
  if (Now - *this->CalmSince < this->GrowDelay)
    return;
  this->CalmSince = Now;
  if (this->Current == this->Slots) {
    // The limit has held at its full size for a whole delay.
    this->GrowDelay = FirstGrowDelay;
    return;
  }
  this->Current = std::min(this->Slots, this->Current + 1);
  this->LastGrowth = Now;
}

} // namespace amaranthspur
