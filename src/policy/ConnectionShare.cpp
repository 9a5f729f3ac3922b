#include "policy/ConnectionShare.h"

#include <algorithm>

namespace amaranthspur {
namespace {

bool within(const std::optional<TimePoint> &At, Duration Span, TimePoint Now) {
  return At && Now - *At < Span;
}

} // namespace

HomeDivision homeDivision(const Locality &Where, const DataCentre &Server,
                          std::size_t Homes) {
  std::size_t Near = 0;
  for (const auto &[Place, Of] : Where.Regions)
    if (Where.isSameRegion(Place, Server))
      ++Near;
  const std::size_t All = Where.Regions.size();
  if (Near == 0 || Near == All || Homes < All)
    return {Homes, 0, true};
  const std::size_t NearHomes = Homes * Near / All;
  return {NearHomes, Homes - NearHomes, Where.isSameRegion(Where.Here, Server)};
}

void ConnectionShare::setMaximum(std::size_t Count) {
  this->Maximum = Count;
  this->applyEqualPart();
}

void ConnectionShare::setSharers(std::size_t Count) {
  this->Sharers = Count;
  this->applyEqualPart();
}

void ConnectionShare::setHomes(const HomeDivision &Given) {
  this->Division = Given;
}

void ConnectionShare::observeHomeUse(TimePoint Now) {
  // The shares of all homes fit into the server's limit, so a new home need not
  // approach its share step by step.
  if (!this->isHome(Now) && this->Division.homes() > 0 && !this->RefusedAt)
    this->Limit = std::max(this->Limit, this->homeShare());
  this->HomeUsedAt = Now;
}

bool ConnectionShare::isHome(TimePoint Now) const {
  return this->Division.homes() > 0 && within(this->HomeUsedAt, HomeTime, Now);
}

std::size_t ConnectionShare::homeShare() const {
  const auto Each = [](double Total, std::size_t Homes) {
    const double Part = std::max(Total, 0.0) / static_cast<double>(Homes);
    return std::max<std::size_t>(1, static_cast<std::size_t>(Part));
  };
  const HomeDivision &D = this->Division;
  const double Total = static_cast<double>(this->Maximum) * HomesPart;
  if (D.Far == 0)
    return Each(Total, D.Near);
  const std::size_t FarEach = Each(Total * FarHomesPart, D.Far);
  return D.IsNear ? Each(Total - static_cast<double>(FarEach * D.Far), D.Near)
                  : FarEach;
}

std::size_t ConnectionShare::limit(TimePoint Now) const {
  return this->isHome(Now) ? std::min(this->Limit, this->homeShare())
                           : this->Limit;
}

bool ConnectionShare::mayOpenAtHome(std::size_t Open, TimePoint Now) {
  if (Open < this->limit(Now))
    return true;
  if (Open >= this->homeShare() || within(this->RefusedAt, RefusalPause, Now) ||
      within(this->IncreasedAt, GrowthInterval, Now))
    return false;
  this->Limit = Open + 1;
  this->IncreasedAt = Now;
  return true;
}

bool ConnectionShare::isOversubscribed(TimePoint Now) const {
  return this->Sharers >= this->Maximum && !within(this->KeptAt, KeepTime, Now);
}

void ConnectionShare::applyEqualPart() {
  // A home has its share from the start; to lower it to an equal part would
  // close the connections of its workspaces.
  const bool Adapted = this->IncreasedAt || this->RefusedAt ||
                       this->DecreasedAt || this->HomeUsedAt;
  if (Adapted || this->Sharers == 0)
    return;
  this->Limit =
      std::clamp<std::size_t>(this->Maximum / this->Sharers, 1, InitialShare);
}

bool ConnectionShare::mayOpen(std::size_t Open, TimePoint Now) {
  if (this->isHome(Now))
    return this->mayOpenAtHome(Open, Now);
  if (Open < this->Limit)
    return true;
  const bool Counted = within(this->CountedAt, CountMaxAge, Now);
  const bool HalfInUse = Counted && this->Count * 2 > this->Maximum;
  if (Open >= this->Maximum || within(this->RefusedAt, RefusalPause, Now) ||
      within(this->IncreasedAt, HalfInUse ? SlowGrowthInterval : GrowthInterval,
             Now))
    return false;
  if (Counted && this->Count + Headroom >= this->Maximum)
    return false;
  this->Limit = Open + 1;
  this->IncreasedAt = Now;
  return true;
}

void ConnectionShare::observeRefusal(std::size_t Open, TimePoint Now) {
  this->Limit = this->decreased(Open);
  if (this->RefusedAt && !this->scarce(Now)) {
    const bool Soon = Now - *this->RefusedAt < 2 * this->ScarcePeriod;
    this->ScarcePeriod = Soon
                             ? std::min(2 * this->ScarcePeriod, MaxScarcePeriod)
                             : InitialScarcePeriod;
  }
  this->RefusedAt = Now;
}

bool ConnectionShare::scarce(TimePoint Now) const {
  // An entry VM that opens no new connections is never refused one, so only the
  // count shows that the server is crowded.
  const bool Counted = within(this->CountedAt, CountMaxAge, Now);
  return this->isOversubscribed(Now) ||
         within(this->RefusedAt, this->ScarcePeriod, Now) ||
         (Counted && this->isCrowded());
}

bool ConnectionShare::isCrowded() const {
  if (this->Division.homes() > 0)
    return this->Count * 10 > this->Maximum * 9;
  return this->Count * 4 > this->Maximum * 3;
}

std::size_t ConnectionShare::decreased(std::size_t Open) {
  const auto Share =
      static_cast<std::size_t>(static_cast<double>(Open) * DecreaseFactor);
  return std::max<std::size_t>(1, Share);
}

bool ConnectionShare::wantsCount(std::size_t Open, TimePoint Now) const {
  // The share of a home does not depend on the count.
  return Open > InitialShare && !this->isHome(Now) &&
         !within(this->CountedAt, CountMaxAge, Now);
}

Duration ConnectionShare::idleTimeout(bool Newest, bool ForWorkspace,
                                      TimePoint Now) const {
  if (ForWorkspace && this->isHome(Now))
    return HomeIdleTimeout;
  if (!ForWorkspace && Newest && this->Division.homes() > 0)
    return StatusIdleTimeout;
  if (ForWorkspace && this->Division.homes() > 0)
    return this->scarce(Now) ? ScarceIdleTimeout : SurplusIdleTimeout;
  if (this->scarce(Now))
    return ScarceIdleTimeout;
  return Newest ? IdleTimeout : SurplusIdleTimeout;
}

void ConnectionShare::observeCount(std::size_t Seen, TimePoint Now) {
  this->Count = Seen;
  this->CountedAt = Now;
  if (!this->isCrowded() || this->isHome(Now) ||
      within(this->DecreasedAt, DecreaseInterval, Now))
    return;
  // All entry VMs see the same count and multiply their shares by the same
  // factor, so the largest shares decrease most.
  this->DecreasedAt = Now;
  this->Limit = this->decreased(this->Limit);
}

} // namespace amaranthspur
