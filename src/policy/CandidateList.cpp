#include "policy/CandidateList.h"

#include <algorithm>

namespace amaranthspur {
namespace {

constexpr Duration FirstBackoff = milliseconds(500);
constexpr Duration MaxBackoff = std::chrono::seconds(30);

} // namespace

void CandidateList::add(const ListedMember &Listed, bool Seed, TimePoint Now) {
  if (this->Entries.size() >= Membership::MaxMembers)
    return;
  const auto [Found, New] = this->Entries.try_emplace(Listed.Id);
  Entry &E = Found->second;
  // A VM that was replaced and has a new address is pinged at once.
  if (New || E.Listed.PeerAddress != Listed.PeerAddress) {
    E.Backoff = FirstBackoff;
    E.NextPing = Now;
  }
  E.Listed = Listed;
  E.Seed = E.Seed || Seed;
}

void CandidateList::addReported(const ListedMember &Reported, TimePoint Now) {
  if (!this->Entries.contains(Reported.Id))
    this->add(Reported, false, Now);
}

void CandidateList::retain(const std::set<EntryVmId> &Listed) {
  std::erase_if(this->Entries, [&Listed](const auto &Item) {
    return !Item.second.Seed && !Listed.contains(Item.first);
  });
}

std::vector<ListedMember> CandidateList::due(std::size_t Count,
                                             const DataCentre &Near,
                                             TimePoint Now, Random &Rng) {
  std::vector<Entry *> First;
  std::vector<Entry *> Others;
  for (auto &[Id, E] : this->Entries)
    if (E.NextPing <= Now)
      (E.Listed.Location == Near ? First : Others).push_back(&E);
  detail::shuffle(First, Rng);
  detail::shuffle(Others, Rng);
  First.insert(First.end(), Others.begin(), Others.end());
  if (First.size() > Count)
    First.resize(Count);
  std::vector<ListedMember> Due;
  for (Entry *E : First) {
    E->NextPing = Now + E->Backoff;
    E->Backoff = std::min(2 * E->Backoff, MaxBackoff);
    Due.push_back(E->Listed);
  }
  return Due;
}

const ListedMember *CandidateList::find(const EntryVmId &Id) const {
  const auto Found = this->Entries.find(Id);
  return Found == this->Entries.end() ? nullptr : &Found->second.Listed;
}

} // namespace amaranthspur
