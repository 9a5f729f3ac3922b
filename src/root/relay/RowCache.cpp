#include "root/relay/RowCache.h"

#include <algorithm>
#include <set>

namespace amaranthspur {

void RowCache::apply(const WatchedRows &Seen, bool Complete) {
  std::set<std::string> Present;
  for (const WatchedRow &Row : Seen.Rows) {
    Present.insert(Row.Key);
    // The cache holds every row up to its version, so a row that it lacks was
    // removed since.
    const bool IsOutdated = this->Known && Row.Version <= this->Version &&
                            this->Rows.count(Row.Key) == 0;
    if (IsOutdated)
      continue;
    WatchedRow &Known = this->Rows[Row.Key];
    if (Known.Version >= Row.Version && Known.Version != 0)
      continue;
    this->Removals += Row.Removed ? 1 : 0;
    this->Removals -= Known.Removed ? 1 : 0;
    Known = Row;
  }
  if (Complete) {
    for (auto &[Key, Row] : this->Rows) {
      if (Row.Removed || Row.Version > Seen.Version || Present.count(Key) > 0)
        continue;
      Row.Removed = true;
      Row.Value.clear();
      Row.Version = Seen.Version;
      ++this->Removals;
    }
    // A row that was added and removed since the last known version has left no
    // trace here, but a follower may hold it.
    if (!this->Known || Seen.Version > this->Version)
      this->CompleteSince = Seen.Version;
    this->Known = true;
  }
  this->Version = std::max(this->Version, Seen.Version);
  this->forgetOldRemovals();
}

void RowCache::forgetOldRemovals() {
  if (this->Removals <= MaxRemovals)
    return;
  std::vector<std::uint64_t> Versions;
  for (const auto &[Key, Row] : this->Rows)
    if (Row.Removed)
      Versions.push_back(Row.Version);
  const auto Middle =
      Versions.begin() + static_cast<std::ptrdiff_t>(Versions.size() / 2);
  std::nth_element(Versions.begin(), Middle, Versions.end());
  this->CompleteSince = std::max(this->CompleteSince, *Middle);
  this->Removals -= std::erase_if(this->Rows, [this](const auto &Entry) {
    return Entry.second.Removed && Entry.second.Version <= this->CompleteSince;
  });
}

WatchedRows RowCache::changesAfter(std::uint64_t After) const {
  WatchedRows Out;
  Out.Version = std::max(this->Version, After);
  if (!this->Known || After < this->CompleteSince) {
    Out.HistoryLost = true;
    return Out;
  }
  for (const auto &[Key, Row] : this->Rows)
    if (Row.Version > After)
      Out.Rows.push_back(Row);
  std::sort(Out.Rows.begin(), Out.Rows.end(),
            [](const WatchedRow &A, const WatchedRow &B) {
              return A.Version < B.Version;
            });
  return Out;
}

WatchedRows RowCache::all() const {
  WatchedRows Out;
  Out.Version = this->Version;
  for (const auto &[Key, Row] : this->Rows)
    if (!Row.Removed)
      Out.Rows.push_back(Row);
  return Out;
}

} // namespace amaranthspur
