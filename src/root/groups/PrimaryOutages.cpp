#include "root/groups/PrimaryOutages.h"

#include "root/telemetry/Log.h"

#include <algorithm>

namespace amaranthspur {

QCoro::Task<> PrimaryOutages::stop() {
  this->Stopping = true;
  co_await this->Tasks.waitUntilEmpty();
}

std::optional<BelievedPrimary> PrimaryOutages::check(PrimaryNeed Need,
                                                     PrimaryWait &Of) {
  std::optional<BelievedPrimary> Leader = this->Access.believedPrimary();
  if (!Leader)
    return std::nullopt;
  const PrimaryContact Contact = this->Access.contactOf(*Leader);
  if (Contact == PrimaryContact::Avoided || !this->Access.meets(*Leader, Need))
    return std::nullopt;
  if (Contact == PrimaryContact::Answers)
    Of.observeUsable(*Leader);
  else if (Of.isRefusing(steadyNow()))
    return std::nullopt;
  return Leader;
}

std::optional<BelievedPrimary> PrimaryOutages::usablePrimary(PrimaryNeed Need) {
  PrimaryWait &Wait = this->Waits[Need];
  std::optional<BelievedPrimary> Leader = this->check(Need, Wait);
  if (!Leader) {
    Wait.observeNeed(this->Access.believedPrimary(), steadyNow());
    if (this->Tasks.size() == 0 && !this->Stopping)
      this->watch();
  }
  this->reportRefusing();
  return Leader;
}

std::optional<BelievedPrimary> PrimaryOutages::peekPrimary(PrimaryNeed Need) {
  const auto Found = this->Waits.find(Need);
  PrimaryWait Copy = Found == this->Waits.end() ? PrimaryWait() : Found->second;
  return this->check(Need, Copy);
}

TimePoint PrimaryOutages::waitUntil(PrimaryNeed Need,
                                    TimePoint Deadline) const {
  return this->Waits.at(Need).waitUntil(Deadline);
}

bool PrimaryOutages::isRefusing(PrimaryNeed Need) const {
  const auto Found = this->Waits.find(Need);
  return Found != this->Waits.end() && Found->second.isRefusing(steadyNow());
}

Duration PrimaryOutages::countRefusal() {
  ++this->Refused;
  if (this->Counters)
    this->Counters->add(Counter::PrimaryOutageRefusals, this->Service.str());
  return PrimaryWait::retryAfter(this->Rng);
}

void PrimaryOutages::observeTakeover() {
  for (auto &[Need, Wait] : this->Waits)
    Wait.observeTakeover(steadyNow());
  this->reportRefusing();
}

bool PrimaryOutages::isOutage() const {
  return std::any_of(this->Waits.begin(), this->Waits.end(),
                     [](const auto &Entry) { return Entry.second.isOutage(); });
}

QCoro::Task<> PrimaryOutages::watch() {
  const TaskGroup::Guard Guard(this->Tasks);
  while (!this->Stopping && this->isOutage()) {
    co_await this->Access.awaitPrimaryChange(steadyNow() + CheckInterval);
    if (this->Stopping)
      break;
    this->Access.primaryWanted();
    const std::optional<BelievedPrimary> Leader =
        this->Access.believedPrimary();
    if (Leader && this->Access.contactOf(*Leader) == PrimaryContact::Unanswered)
      co_await this->Access.requestPrimaryReport(*Leader);
    for (auto &[Need, Wait] : this->Waits) {
      if (!Wait.isOutage())
        continue;
      Wait.observeBelief(this->Access.believedPrimary(), steadyNow());
      this->check(Need, Wait);
      Wait.forgetUnused(steadyNow());
    }
    this->reportRefusing();
  }
}

void PrimaryOutages::reportRefusing() {
  const TimePoint Now = steadyNow();
  const bool Refusing = std::any_of(
      this->Waits.begin(), this->Waits.end(),
      [Now](const auto &Entry) { return Entry.second.isRefusing(Now); });
  if (Refusing == this->RefusingSince.has_value())
    return;
  if (Refusing) {
    this->RefusingSince = Now;
    this->Refused = 0;
    if (this->Counters)
      this->Counters->add(Counter::PrimaryOutages, this->Service.str());
    const std::optional<BelievedPrimary> Leader =
        this->Access.believedPrimary();
    log(LogLevel::Warning, LogEvent::PrimaryWaitsRefused,
        {{"service", this->Service.str()},
         {"believed", Leader ? Leader->Id.str() : "none"},
         {"contact", Leader ? nameOf(this->Access.contactOf(*Leader)) : "-"}});
    return;
  }
  log(LogLevel::Info, LogEvent::PrimaryWaitsResumed,
      {{"service", this->Service.str()},
       {"refused", this->Refused},
       {"took_ms", (Now - *this->RefusingSince) / milliseconds(1)}});
  this->RefusingSince.reset();
}

} // namespace amaranthspur
