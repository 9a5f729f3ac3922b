#include "policy/PrimaryWait.h"

#include <algorithm>

namespace amaranthspur {

void PrimaryWait::observeNeed(const std::optional<BelievedPrimary> &Believed,
                              TimePoint Now) {
  if (!this->Current) {
    this->Current = Outage{Now + Period, Now, false};
    if (Believed)
      this->Known = Believed;
    return;
  }
  this->Current->LastNeed = Now;
  this->observeBelief(Believed, Now);
}

void PrimaryWait::observeBelief(const std::optional<BelievedPrimary> &Believed,
                                TimePoint Now) {
  if (!this->Current || !Believed)
    return;
  // A term that becomes unknown is no sign: the server has only restarted.
  const bool IsNew = !this->Known || this->Known->Id != Believed->Id ||
                     Believed->TermNumber > this->Known->TermNumber;
  if (!IsNew)
    return;
  this->Known = Believed;
  this->observeTakeover(Now);
}

void PrimaryWait::observeTakeover(TimePoint Now) {
  if (!this->Current || this->Current->Extended)
    return;
  this->Current->Extended = true;
  this->Current->RefuseFrom = Now + Period;
}

void PrimaryWait::observeUsable(const BelievedPrimary &Leader) {
  this->Current.reset();
  if (this->Known != Leader)
    this->Known = Leader;
}

void PrimaryWait::forgetUnused(TimePoint Now) {
  if (this->Current && Now - this->Current->LastNeed >= UnusedLimit)
    this->Current.reset();
}

TimePoint PrimaryWait::waitUntil(TimePoint Deadline) const {
  return this->Current ? std::min(Deadline, this->Current->RefuseFrom)
                       : Deadline;
}

Duration PrimaryWait::retryAfter(Random &Rng) {
  const auto Spread = static_cast<std::uint64_t>(RetrySpread.count());
  return MinRetry + Duration(static_cast<Duration::rep>(Rng.below(Spread)));
}

} // namespace amaranthspur
