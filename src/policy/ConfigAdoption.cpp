#include "policy/ConfigAdoption.h"

#include "policy/Ownership.h"

#include <algorithm>
#include <tuple>

namespace amaranthspur {

ConfigAdoption::ConfigAdoption(EntryVmId Self, DataCentre OwnDataCentre)
    : Self(std::move(Self)), OwnDataCentre(std::move(OwnDataCentre)) {}

bool ConfigAdoption::isReader(const std::vector<Member> &Members) const {
  constexpr std::string_view Key = "config/head";
  const std::uint64_t Own = rendezvousWeight(Key, this->Self);
  std::size_t HigherWeights = 0;
  for (const Member &M : Members) {
    if (M.Id == this->Self || M.Location != this->OwnDataCentre ||
        !acceptsWork(M))
      continue;
    const std::uint64_t Weight = rendezvousWeight(Key, M.Id);
    if (std::tie(Weight, M.Id) > std::tie(Own, this->Self))
      ++HigherWeights;
  }
  return HigherWeights < ReadersPerDataCentre;
}

Duration
ConfigAdoption::headInterval(const std::vector<Member> &Members) const {
  if (this->isReader(Members))
    return HeadInterval;
  return this->HeadRead ? SlowHeadInterval : StartHeadInterval;
}

void ConfigAdoption::onHead(std::uint64_t Revision, std::string Hash) {
  this->HeadRead = true;
  if (Revision <= this->HeadRevision)
    return;
  this->HeadRevision = Revision;
  this->HeadHash = std::move(Hash);
  this->StoreRetryAt = TimePoint();
}

void ConfigAdoption::onPeerRevision(const EntryVmId &Peer,
                                    std::uint64_t Revision) {
  std::uint64_t &Known = this->PeerRevisions[Peer];
  if (Revision > Known)
    this->PeerRetryAt.erase(Peer);
  if (Revision > Known || Revision == 0)
    Known = Revision;
}

std::optional<ConfigFetchChoice>
ConfigAdoption::chooseFetch(const std::vector<Member> &Members,
                            TimePoint Now) const {
  const bool StoreHasNewer = this->HeadRevision > this->InForce;
  if (StoreHasNewer && Now >= this->StoreRetryAt)
    return ConfigFetchChoice{ConfigSource::Store, EntryVmId(),
                             this->HeadRevision, this->HeadHash};
  return this->choosePeer(Members, Now);
}

std::optional<ConfigFetchChoice>
ConfigAdoption::choosePeer(const std::vector<Member> &Members,
                           TimePoint Now) const {
  // Before the first revision is in force, peers are asked even if their
  // revision is not known, because the store may be unavailable.
  const bool Starting = this->InForce == 0;
  const Member *Best = nullptr;
  std::tuple<std::uint64_t, bool, std::uint64_t> BestRank;
  unsigned AskedPeers = 0;
  for (const Member &M : Members) {
    if (M.Id == this->Self || M.State == MemberState::Dead)
      continue;
    const auto Known = this->PeerRevisions.find(M.Id);
    const std::uint64_t Revision =
        Known == this->PeerRevisions.end() ? 0 : Known->second;
    const bool BackingOff = this->isBackingOff(M.Id, Now);
    if (BackingOff && Revision <= this->InForce)
      ++AskedPeers;
    if (BackingOff || (Revision <= this->InForce && !Starting))
      continue;
    // The weight depends on the requesting entry VM, which spreads the load
    // over the peers.
    const std::tuple Rank(Revision, M.Location == this->OwnDataCentre,
                          rendezvousWeight(this->Self.str(), M.Id));
    if (Best && Rank <= BestRank)
      continue;
    Best = &M;
    BestRank = Rank;
  }
  if (!Best)
    return std::nullopt;
  const std::uint64_t Revision = std::get<0>(BestRank);
  if (Revision <= this->InForce && AskedPeers >= MaxPeersAskedAtStart)
    return std::nullopt;
  return ConfigFetchChoice{ConfigSource::Peer, Best->Id, Revision, {}};
}

bool ConfigAdoption::isBackingOff(const EntryVmId &Peer, TimePoint Now) const {
  const auto Found = this->PeerRetryAt.find(Peer);
  return Found != this->PeerRetryAt.end() && Now < Found->second;
}

TimePoint ConfigAdoption::nextChange(TimePoint Now) const {
  TimePoint Next = TimePoint::max();
  if (this->StoreRetryAt > Now)
    Next = this->StoreRetryAt;
  for (const auto &[Peer, RetryAt] : this->PeerRetryAt)
    if (RetryAt > Now)
      Next = std::min(Next, RetryAt);
  return Next;
}

void ConfigAdoption::onFetchFailed(const ConfigFetchChoice &Choice,
                                   TimePoint Now) {
  if (Choice.From == ConfigSource::Store)
    this->StoreRetryAt = Now + SourceRetry;
  else
    this->PeerRetryAt[Choice.Peer] = Now + SourceRetry;
}

AdoptionVerdict ConfigAdoption::checkRevision(std::uint64_t Revision,
                                              const std::string &Hash) const {
  if (Revision <= this->InForce)
    return AdoptionVerdict::NotNewer;
  if (Revision == this->HeadRevision && Hash != this->HeadHash)
    return AdoptionVerdict::HashConflict;
  return AdoptionVerdict::Adopt;
}

void ConfigAdoption::onAdopted(std::uint64_t Revision) {
  this->InForce = std::max(this->InForce, Revision);
}

} // namespace amaranthspur
