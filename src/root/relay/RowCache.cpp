#include "root/relay/RowCache.h"

#include <algorithm>
#include <set>

namespace amaranthspur {

bool RowCache::apply(const WatchedRows &Seen, bool Complete) {
  if (this->Known && Seen.Version.era() != this->Version.era()) {
    const bool Replaces = Complete && Seen.Version.era() > this->Version.era();
    if (Replaces)
      this->replace(Seen);
    return Replaces;
  }
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
    if (Known.Version >= Row.Version && Known.Version.exists())
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
  return true;
}

void RowCache::replace(const WatchedRows &Seen) {
  this->Rows.clear();
  this->Removals = 0;
  for (const WatchedRow &Row : Seen.Rows)
    this->Rows[Row.Key] = Row;
  this->Version = Seen.Version;
  this->CompleteSince = Seen.Version;
}

void RowCache::forgetOldRemovals() {
  if (this->Removals <= MaxRemovals)
    return;
  std::vector<StoreVersion> Versions;
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

WatchedRows RowCache::changesAfter(StoreVersion After) const {
  WatchedRows Out;
  Out.Version = std::max(this->Version, After);
  if (!this->Known || After < this->CompleteSince ||
      After.era() != this->Version.era()) {
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
