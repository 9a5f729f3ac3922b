// The rows of a watched table as one entry VM knows them, with the removals, so
// that it can pass the changes since a given version on to others.
//
// Rows may come from several sources of different age. A row is replaced only
// by a newer version of it, so the cache never goes back, whatever the order in
// which answers arrive. All rows are of one era of the store: a complete answer
// of a later era replaces the whole table, and answers of other eras are
// ignored, since versions of two eras do not tell what changed between them.
// Memory is linear in the rows and bounded in the
// remembered removals.
#ifndef AMARANTHSPUR_ROOT_RELAY_ROWCACHE_H
#define AMARANTHSPUR_ROOT_RELAY_ROWCACHE_H

#include "platform/Platform.h"

#include <map>
#include <string>

namespace amaranthspur {

/// A cached table.
class RowCache {
public:
  /// Number of removals that are remembered. An entry VM that has missed more
  /// gets the whole table.
  static constexpr std::size_t MaxRemovals = 1000;

  /// Merges \p Seen, an answer of the store or of a relay.
  /// \param Complete whether it holds all rows of the table.
  /// \returns false if it is ignored because of its era.
  bool apply(const WatchedRows &Seen, bool Complete);

  /// Returns whether the whole table has been read once.
  bool isKnown() const { return this->Known; }
  /// Returns the version up to which all changes are included.
  StoreVersion version() const { return this->Version; }

  /// Returns the changes since \p After, or HistoryLost if some of them are no
  /// longer remembered or \p After is of another era. Takes time linear in the
  /// number of rows.
  WatchedRows changesAfter(StoreVersion After) const;

  /// Returns the whole table, without the removed rows.
  WatchedRows all() const;

private:
  /// Replaces the table by \p Seen, a complete answer of a later era.
  void replace(const WatchedRows &Seen);
  void forgetOldRemovals();

  std::map<std::string, WatchedRow> Rows; ///< By key; includes removals.
  StoreVersion Version;
  StoreVersion CompleteSince; ///< Removals before it are not remembered.
  std::size_t Removals = 0;
  bool Known = false;
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_ROOT_RELAY_ROWCACHE_H
