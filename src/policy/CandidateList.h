// Entry VMs that are in the platform's list or in the settings but have not
// answered yet.
#ifndef AMARANTHSPUR_POLICY_CANDIDATELIST_H
#define AMARANTHSPUR_POLICY_CANDIDATELIST_H

#include "core/Clock.h"
#include "core/Random.h"
#include "policy/Membership.h"

#include <map>
#include <set>
#include <vector>

namespace amaranthspur {

/// Stores the candidates for membership and schedules their pings. The interval
/// between two pings of one candidate doubles from 500 ms up to 30 s. Stores at
/// most Membership::MaxMembers candidates.
class CandidateList {
public:
  /// Adds \p Listed or updates its address. Seeds stay in the list until they
  /// answer, other candidates until they are no longer listed.
  void add(const ListedMember &Listed, bool Seed, TimePoint Now);

  /// Adds a candidate that a member of another data centre reported, unless it
  /// is in the list already: an existing entry takes precedence.
  void addReported(const ListedMember &Reported, TimePoint Now);

  void remove(const EntryVmId &Id) { this->Entries.erase(Id); }

  /// Removes all candidates that are neither seeds nor in \p Listed.
  void retain(const std::set<EntryVmId> &Listed);

  /// Returns up to \p Count candidates to ping now, in random order, with those
  /// in \p Near first. Takes time linear in the number of candidates.
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
/// Shuffles \p Items with the Fisher-Yates algorithm.
template <typename T> void shuffle(std::vector<T> &Items, Random &Rng) {
  for (std::size_t I = Items.size(); I > 1; --I)
    std::swap(Items[I - 1], Items[Rng.below(I)]);
}
} // namespace detail

} // namespace amaranthspur

#endif // AMARANTHSPUR_POLICY_CANDIDATELIST_H
