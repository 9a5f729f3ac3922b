// Entry VMs that are listed but were never heard from.
#ifndef AMARANTHSPUR_POLICY_CANDIDATELIST_H
#define AMARANTHSPUR_POLICY_CANDIDATELIST_H

#include "core/Clock.h"
#include "core/Random.h"
#include "policy/Membership.h"

#include <map>
#include <set>
#include <vector>

namespace amaranthspur {

/// Holds candidates and says when to ping each; the time between two pings of
/// one doubles from 500 ms to 30 s. Bounded by Membership::MaxMembers.
class CandidateList {
public:
  /// Adds \p Listed or takes in its new address. Seeds stay until they answer,
  /// others until they are no longer listed.
  void add(const ListedMember &Listed, bool Seed, TimePoint Now);

  /// Adds what a member of another data centre reported; what the list says
  /// of it goes before.
  void addReported(const ListedMember &Reported, TimePoint Now);

  void remove(const EntryVmId &Id) { this->Entries.erase(Id); }

  /// Drops all that are neither seeds nor in \p Listed.
  void retain(const std::set<EntryVmId> &Listed);

  /// Returns up to \p Count candidates to ping now, in random order, those in
  /// \p Near first. Linear in the candidates.
  std::vector<ListedMember> due(std::size_t Count, const DataCentre &Near,
                                TimePoint Now, Random &Rng);

  const ListedMember *find(const EntryVmId &Id) const;
  std::size_t size() const { return this->Entries.size(); }

private:
  struct Entry {
    ListedMember Listed;
    bool Seed = false;
    Duration Backoff{};
    TimePoint NextPing{};
  };

  std::map<EntryVmId, Entry> Entries;
};

namespace detail {
/// Brings \p Items into random order (Fisher and Yates).
template <typename T> void shuffle(std::vector<T> &Items, Random &Rng) {
  for (std::size_t I = Items.size(); I > 1; --I)
    std::swap(Items[I - 1], Items[Rng.below(I)]);
}
} // namespace detail

} // namespace amaranthspur

#endif // AMARANTHSPUR_POLICY_CANDIDATELIST_H
