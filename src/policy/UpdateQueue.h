// The membership updates that still have to be sent to other members.
#ifndef AMARANTHSPUR_POLICY_UPDATEQUEUE_H
#define AMARANTHSPUR_POLICY_UPDATEQUEUE_H

#include "core/Types.h"

#include <cstdint>
#include <functional>
#include <map>
#include <utility>
#include <vector>

namespace amaranthspur {

/// Queue of the members whose state changed. Each update is sent a bounded
/// number of times. Updates that were sent least often come first, and of these
/// the newest. All operations take logarithmic time per update.
class UpdateQueue {
public:
  /// Queues an update about \p Id and resets the number of times it was sent.
  void add(const EntryVmId &Id);

  /// Removes the update about \p Id.
  void remove(const EntryVmId &Id);

  /// Selects up to \p Count updates that \p IsRelevant accepts, and counts each
  /// as sent once more. An update that was sent \p MaxSends times is removed.
  std::vector<EntryVmId>
  take(std::size_t Count, unsigned MaxSends,
       const std::function<bool(const EntryVmId &)> &IsRelevant);

  bool empty() const { return this->Keys.empty(); }

private:
  /// The number of times sent, and a number that decreases with each addition.
  using Key = std::pair<unsigned, std::uint64_t>;

  std::map<EntryVmId, Key> Keys;
  std::map<Key, EntryVmId> Order;
  std::uint64_t NextAgeRank = UINT64_MAX;
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_POLICY_UPDATEQUEUE_H
