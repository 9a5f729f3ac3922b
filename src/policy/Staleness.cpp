#include "policy/Staleness.h"

#include "policy/Durability.h"

#include <algorithm>
#include <functional>

namespace amaranthspur {

void Staleness::configure(const std::vector<ServerId> &Servers) {
  this->Servers = Servers;
  std::erase_if(this->Latest, [&Servers](const auto &Entry) {
    return std::find(Servers.begin(), Servers.end(), Entry.first) ==
           Servers.end();
  });
}

void Staleness::observe(const ServerId &Server, const ServerStatus &Status,
                        TimePoint SentAt) {
  if (std::find(this->Servers.begin(), this->Servers.end(), Server) ==
      this->Servers.end())
    return;
  this->Latest[Server] = {Status, SentAt};
  const bool Leads = Status.Role == ServerRole::Primary &&
                     Status.LogEnd.TermNumber == Status.AdoptedTerm;
  if (Leads && Status.AdoptedTerm > this->CurrentTerm) {
    this->CurrentTerm = Status.AdoptedTerm;
    this->Samples.clear();
    this->MajorityAt.reset();
  }
  if (Leads && Status.AdoptedTerm == this->CurrentTerm)
    this->addSample(Status.LogEnd, SentAt);
  this->updateMajority();
}

void Staleness::addSample(LogPosition Held, TimePoint SentAt) {
  if (!this->Samples.empty()) {
    Sample &Last = this->Samples.back();
    // The primary lost its log if the log got shorter. The earlier samples are
    // then no longer valid.
    if (Held < Last.Held) {
      this->Samples.clear();
    } else if (Held == Last.Held) {
      Last.SentAt = std::max(Last.SentAt, SentAt);
      return;
    } else if (SentAt - Last.SentAt < SampleDistance) {
      return;
    }
  }
  this->Samples.push_back({Held, SentAt});
  if (this->Samples.size() > MaxSamples)
    this->Samples.pop_front();
}

void Staleness::updateMajority() {
  std::vector<TimePoint> Seen;
  for (const auto &[Server, Observed] : this->Latest)
    if (Observed.Status.AdoptedTerm <= this->CurrentTerm)
      Seen.push_back(Observed.SentAt);
  const std::size_t Needed = majorityOf(this->Servers.size());
  if (Seen.size() < Needed)
    return;
  std::sort(Seen.begin(), Seen.end(), std::greater<>());
  const TimePoint At = Seen[Needed - 1];
  this->MajorityAt = std::max(this->MajorityAt.value_or(At), At);
}

std::optional<Duration> Staleness::age(const ServerId &Server,
                                       TimePoint Now) const {
  const auto Found = this->Latest.find(Server);
  if (Found == this->Latest.end() || !this->MajorityAt)
    return std::nullopt;
  const LogPosition Held = Found->second.Status.LogEnd;
  if (Held.TermNumber != this->CurrentTerm)
    return std::nullopt;
  const auto After =
      std::upper_bound(this->Samples.begin(), this->Samples.end(), Held,
                       [](const LogPosition &Position, const Sample &S) {
                         return Position < S.Held;
                       });
  if (After == this->Samples.begin())
    return std::nullopt;
  const TimePoint KnownAt =
      std::min(std::prev(After)->SentAt, *this->MajorityAt);
  return std::max(Now - KnownAt, Duration::zero());
}

} // namespace amaranthspur
