#include "policy/ShortReserve.h"

#include <algorithm>
#include <cmath>

namespace amaranthspur {
namespace {

/// Slots are kept for short work for this long after some has arrived.
constexpr Duration ShortMemory = std::chrono::seconds(1);
/// Time constant of the mean load.
constexpr double LoadTimeUs = 1e6;
/// Share of short statements that may wait longer than BearableWait mean
/// lengths. With it the p99 of short statements stays within 1.5 times its
/// value without long work in AdmissionTargetsTest.
constexpr double LateShare = 0.07;
constexpr double BearableWait = 0.8;

} // namespace

unsigned detail::slotsForLoad(double Load, unsigned Slots) {
  double Blocking = 1; // Erlang B with 0 slots.
  for (unsigned C = 1; C < Slots; ++C) {
    Blocking = Load * Blocking / (C + Load * Blocking);
    if (Load >= C)
      continue;
    const double Waiting = C * Blocking / (C - Load * (1 - Blocking));
    if (Waiting * std::exp(-(C - Load) * BearableWait) <= LateShare)
      return C;
  }
  return Slots;
}

void ShortReserve::finished(Duration Length, TimePoint Now) {
  this->Load =
      this->loadAt(Now) + static_cast<double>(Length.count()) / LoadTimeUs;
  this->LoadAsOf = Now;
}

double ShortReserve::loadAt(TimePoint Now) const {
  const auto Since = static_cast<double>((Now - this->LoadAsOf).count());
  return this->Load * std::exp(-Since / LoadTimeUs);
}

unsigned ShortReserve::longLimit(unsigned Slots, TimePoint Now) const {
  const bool ShortLately =
      this->LastArrival && Now - *this->LastArrival < ShortMemory;
  // Fifths, rounded up.
  unsigned Kept = (Slots * (ShortLately ? 2 : 1) + 4) / 5;
  if (ShortLately)
    Kept = std::max(Kept, detail::slotsForLoad(this->loadAt(Now), Slots));
  return std::max(1U, Slots - std::min(Kept, Slots));
}

} // namespace amaranthspur
