#include "policy/ConcurrencyLimit.h"

#include <algorithm>

namespace amaranthspur {
namespace {

/// A longer queueing time inside the server means overload.
constexpr Duration OverloadThreshold = milliseconds(5);
/// Up to this queueing time the server has spare capacity.
constexpr Duration UnderloadThreshold = milliseconds(1);
/// Shortest time between two decreases. The status of a server is polled every
/// 100 to 200 ms and reflects the previous change only after this time.
constexpr Duration ShrinkInterval = milliseconds(300);

} // namespace

void ConcurrencyLimit::setSlots(unsigned NewSlots) {
  const bool Full = this->Current == this->Slots;
  this->Slots = std::max(1U, NewSlots);
  this->Current = Full ? this->Slots : std::min(this->Current, this->Slots);
}

void ConcurrencyLimit::observe(Duration QueueTime, TimePoint Now) {
  if (QueueTime > OverloadThreshold) {
    this->UnderloadedSince.reset();
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
  if (QueueTime > UnderloadThreshold) {
    this->UnderloadedSince.reset();
    return;
  }
  if (!this->UnderloadedSince)
    this->UnderloadedSince = Now;
  if (Now - *this->UnderloadedSince < this->GrowDelay)
    return;
  this->UnderloadedSince = Now;
  if (this->Current == this->Slots) {
    // The limit has stayed at its upper bound for a whole delay without
    // queueing, so earlier failed increases no longer count.
    this->GrowDelay = InitialGrowDelay;
    return;
  }
  this->Current = std::min(this->Slots, this->Current + 1);
  this->LastGrowth = Now;
}

} // namespace amaranthspur
