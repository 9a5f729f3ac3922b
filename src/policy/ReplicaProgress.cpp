#include "policy/ReplicaProgress.h"

#include <algorithm>
#include <cmath>

namespace amaranthspur {

void LogTimeline::observe(LogPosition End, TimePoint At) {
  if (!this->Ends.empty()) {
    Entry &Last = this->Ends.back();
    if (End < Last.End || At < Last.At)
      return;
    const bool HasPrevious = this->Ends.size() > 1;
    const auto Previous =
        HasPrevious ? std::prev(this->Ends.end(), 2) : this->Ends.end();
    // An unchanged end needs its first and its last time only.
    const bool Unchanged =
        HasPrevious && Previous->End == Last.End && Last.End == End;
    const bool Close = HasPrevious && Last.At - Previous->At < MinSpacing &&
                       Last.End.TermNumber == End.TermNumber &&
                       Previous->End != Last.End;
    if (Unchanged || Close) {
      Last = {End, At};
      return;
    }
  }
  this->Ends.push_back({End, At});
  while (this->Ends.size() > 1 && At - this->Ends.front().At > MaxAge)
    this->Ends.pop_front();
}

TimePoint LogTimeline::between(const Entry &Before, const Entry &After,
                               LogPosition Position, TimePoint Otherwise) {
  // Indexes of different terms cannot be compared.
  if (Before.End.TermNumber != After.End.TermNumber ||
      Position.TermNumber != Before.End.TermNumber ||
      After.End.Index <= Before.End.Index)
    return Otherwise;
  const double Part = static_cast<double>(Position.Index - Before.End.Index) /
                      static_cast<double>(After.End.Index - Before.End.Index);
  return Before.At +
         Duration(std::llround(
             Part * static_cast<double>((After.At - Before.At).count())));
}

std::optional<TimePoint> LogTimeline::coveredUntil(LogPosition Position) const {
  const auto Longer = std::partition_point(
      this->Ends.begin(), this->Ends.end(),
      [Position](const Entry &E) { return E.End <= Position; });
  if (Longer == this->Ends.end())
    return std::nullopt;
  if (Longer == this->Ends.begin())
    return Longer->At;
  const Entry &Before = *std::prev(Longer);
  return between(Before, *Longer, Position, Before.At);
}

std::optional<TimePoint> LogTimeline::reachedAt(LogPosition Position) const {
  const auto Reached = std::partition_point(
      this->Ends.begin(), this->Ends.end(),
      [Position](const Entry &E) { return E.End < Position; });
  if (Reached == this->Ends.end())
    return std::nullopt;
  if (Reached == this->Ends.begin())
    return Reached->At;
  return between(*std::prev(Reached), *Reached, Position, Reached->At);
}

TimePoint ReplicaProgress::heldUntil(const ReplicaPosition &Seen,
                                     const LogTimeline &Primary) {
  const std::optional<TimePoint> Covered = Primary.coveredUntil(Seen.Position);
  return std::min(Covered.value_or(Seen.At), Seen.At) - Seen.ApplyLag;
}

std::optional<Duration> ReplicaProgress::lag(const LogTimeline &Primary) const {
  if (!this->Latest)
    return std::nullopt;
  return this->Latest->At - heldUntil(*this->Latest, Primary);
}

double ReplicaProgress::speed(const LogTimeline &Primary) const {
  // The lag of a replica that serves its reads varies around a mean.
  if (!this->Earlier || this->ProbeInterval == Duration::zero())
    return 1;
  const Duration Passed = this->Latest->At - this->Earlier->At;
  const Duration Gained =
      heldUntil(*this->Latest, Primary) - heldUntil(*this->Earlier, Primary);
  return std::clamp(static_cast<double>(Gained.count()) /
                        static_cast<double>(Passed.count()),
                    0.0, MaxSpeed);
}

TimePoint ReplicaProgress::predicted(TimePoint Now,
                                     const LogTimeline &Primary) const {
  const auto Passed = static_cast<double>((Now - this->Latest->At).count());
  const TimePoint Held =
      heldUntil(*this->Latest, Primary) +
      Duration(std::llround(this->speed(Primary) * std::max(Passed, 0.0)));
  return std::min(Held, Now);
}

Duration ReplicaProgress::margin(TimePoint Now) const {
  const double HalfLives =
      static_cast<double>((Now - this->MarginSetAt).count()) /
      static_cast<double>(MarginHalfLife.count());
  return BaseMargin +
         Duration(std::llround(static_cast<double>(this->ExtraMargin.count()) *
                               std::exp2(-HalfLives)));
}

void ReplicaProgress::observePosition(const ReplicaPosition &Seen,
                                      const LogTimeline &Primary) {
  if (this->Latest && Seen.At < this->Latest->At)
    return;
  if (!this->Recent) {
    this->Recent = Seen;
  } else if (Seen.At - this->Recent->At >= SpeedInterval) {
    this->Earlier = this->Recent;
    this->Recent = Seen;
  }
  this->Latest = Seen;
  this->ProbeWanted = false;
  if (*this->lag(Primary) < SetAsideLag)
    this->SetAside = false;
  else if (this->ProbeInterval != Duration::zero())
    this->SetAside = true;
}

void ReplicaProgress::observeRefusal(LogPosition Floor, TimePoint SentAt,
                                     TimePoint Now, const LogTimeline &Primary,
                                     Random &Rng) {
  // Reads that were sent before the previous refusal arrived say nothing new.
  if (SentAt < this->RefusedAt)
    return;
  const std::optional<TimePoint> Reached = Primary.reachedAt(Floor);
  if (this->Latest && Reached && SentAt >= this->Latest->At) {
    const Duration Missed = this->predicted(SentAt, Primary) - *Reached;
    if (Missed >= Duration::zero()) {
      this->ExtraMargin =
          std::min<Duration>(Missed + BaseMargin, LogTimeline::MaxAge);
      this->MarginSetAt = Now;
    }
  }
  this->ProbedAt.reset();
  this->RefusedAt = Now;
  this->scheduleProbe(Now, Rng);
}

void ReplicaProgress::scheduleProbe(TimePoint Now, Random &Rng) {
  this->ProbeInterval = std::clamp(this->ProbeInterval * 2,
                                   ShortestProbeInterval, LongestProbeInterval);
  // Between a half and one and a half times the interval, so that the entry VMs
  // do not probe at the same time.
  this->NextProbe =
      Now + this->ProbeInterval / 2 +
      Duration(static_cast<Duration::rep>(
          Rng.below(static_cast<std::uint64_t>(this->ProbeInterval.count()))));
}

void ReplicaProgress::observeSuccess(TimePoint SentAt) {
  if (SentAt < this->RefusedAt)
    return;
  this->ProbedAt.reset();
  this->ProbeInterval = Duration::zero();
  this->NextProbe = TimePoint();
  this->SetAside = false;
}

ReplicaReadiness ReplicaProgress::readiness(LogPosition Floor, TimePoint Now,
                                            const LogTimeline &Primary) const {
  if (this->Latest) {
    if (this->Latest->isApplied() && this->Latest->Position >= Floor)
      return ReplicaReadiness::Ready;
    // A floor that is not known here was reached a short time ago.
    const TimePoint Reached = Primary.reachedAt(Floor).value_or(Now);
    if (this->predicted(Now, Primary) - this->margin(Now) >= Reached)
      return ReplicaReadiness::Ready;
  } else if (this->ProbeInterval == Duration::zero()) {
    return ReplicaReadiness::Ready;
  }
  // A lost answer does not stop the probes.
  const bool Probing =
      this->ProbedAt && Now - *this->ProbedAt < LongestProbeInterval;
  // Another entry VM or a status report may have told it.
  const bool Known = !this->ProbeWanted && this->Latest &&
                     Now - this->Latest->At < this->knownFor(Primary);
  return Probing || Known || Now < this->NextProbe ? ReplicaReadiness::Behind
                                                   : ReplicaReadiness::Probe;
}

Duration ReplicaProgress::knownFor(const LogTimeline &Primary) const {
  if (*this->lag(Primary) < SetAsideLag)
    return UsualLagAge;
  return std::max(this->ProbeInterval, ShortestProbeInterval) / 2;
}

void ReplicaProgress::beginProbe(TimePoint Now, Random &Rng) {
  this->ProbedAt = Now;
  this->ProbeWanted = false;
  // The result schedules the next probe, unless it is lost.
  const Duration Interval = this->ProbeInterval;
  this->scheduleProbe(Now, Rng);
  this->ProbeInterval = Interval;
}

void ReplicaProgress::allowProbe() {
  this->ProbeInterval = std::min(this->ProbeInterval, ShortestProbeInterval);
  this->NextProbe = TimePoint();
  this->ProbedAt.reset();
  this->ProbeWanted = true;
}

} // namespace amaranthspur
