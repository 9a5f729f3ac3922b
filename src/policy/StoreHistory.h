// What one entry VM has seen of the store's returns from older copies.
//
// When the store comes back, the rows that were written since the copy are
// gone, and an earlier value of a row may stand in their place. Only a row that
// was certainly written since the return can be relied on to be the last one.
// An entry VM that has started since the return does not know of it.
//
// The class sends no messages and reads no clock.
#ifndef AMARANTHSPUR_POLICY_STOREHISTORY_H
#define AMARANTHSPUR_POLICY_STOREHISTORY_H

#include "core/Clock.h"
#include "core/StoreVersion.h"

#include <optional>

namespace amaranthspur {

/// The eras of the store as one entry VM has seen them.
class StoreHistory {
public:
  /// Records that an answer told the version \p Newest of the store. One of an
  /// earlier era than the present is ignored.
  /// \param Newest has no number if the answer told only the era.
  /// \param Now boot clock (core/BootClock.h).
  /// \returns whether the store has come back since the answers before.
  bool observe(StoreVersion Newest, TimePoint Now);

  /// Returns the newest version that was told.
  StoreVersion newest() const { return this->Newest; }
  /// Returns the present era; 0 before the first answer.
  std::uint64_t era() const { return this->Newest.era(); }

  /// Returns when this entry VM first saw that the store had come back the last
  /// time, or nothing if it has seen no return.
  std::optional<TimePoint> returnedAt() const { return this->ReturnedAt; }

  /// Returns whether a row with \p Version is certainly newer than all that the
  /// last return may have undone. \p Version has no number if the row does not
  /// exist.
  bool isSinceReturn(StoreVersion Version) const;

private:
  bool Known = false;
  StoreVersion Newest;
  std::optional<TimePoint> ReturnedAt;
  /// First version told after the last return. It is not below the copy's.
  std::optional<StoreVersion> FirstSinceReturn;
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_POLICY_STOREHISTORY_H
