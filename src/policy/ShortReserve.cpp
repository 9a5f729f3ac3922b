#include "policy/ShortReserve.h"

#include <algorithm>
#include <cmath>

namespace amaranthspur {
namespace {

/// The larger share of the slots is reserved for this time after the last
/// arrival of short work.
constexpr Duration ShortArrivalWindow = std::chrono::seconds(1);
/// Time constant of the exponentially decaying mean load.
constexpr double LoadTimeConstantUs = 1e6;
/// Share of the short statements that may wait longer than MaxWaitInMeanLengths
/// times their mean length. With this value, the p99 latency of short
/// statements in AdmissionTargetsTest stays within 1.5 times its value without
/// long work.
constexpr double MaxLateShare = 0.07;
constexpr double MaxWaitInMeanLengths = 0.8;

} // namespace

unsigned detail::slotsForLoad(double Load, unsigned Slots) {
  double BlockingProbability = 1; // Erlang B formula for 0 slots.
  for (unsigned C = 1; C < Slots; ++C) {
    BlockingProbability =
        Load * BlockingProbability / (C + Load * BlockingProbability);
    if (Load >= C)
      continue;
    const double WaitProbability =
        C * BlockingProbability / (C - Load * (1 - BlockingProbability));
    if (WaitProbability * std::exp(-(C - Load) * MaxWaitInMeanLengths) <=
        MaxLateShare)
      return C;
  }
  return Slots;
}

void ShortReserve::finished(Duration Length, TimePoint Now) {
  this->MeanLoad = this->loadAt(Now) +
                   static_cast<double>(Length.count()) / LoadTimeConstantUs;
  this->LoadUpdatedAt = Now;
}

double ShortReserve::loadAt(TimePoint Now) const {
  const auto Since = static_cast<double>((Now - this->LoadUpdatedAt).count());
  return this->MeanLoad * std::exp(-Since / LoadTimeConstantUs);
}

unsigned ShortReserve::longLimit(unsigned Slots, TimePoint Now) const {
  const bool ShortArrivedRecently =
      this->LastArrival && Now - *this->LastArrival < ShortArrivalWindow;
  // At least one or two fifths of the slots are reserved, rounded up.
  unsigned Reserved = (Slots * (ShortArrivedRecently ? 2 : 1) + 4) / 5;
  if (ShortArrivedRecently)
    Reserved =
        std::max(Reserved, detail::slotsForLoad(this->loadAt(Now), Slots));
  return std::max(1U, Slots - std::min(Reserved, Slots));
}

} // namespace amaranthspur
