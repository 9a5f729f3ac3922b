// Which changes of members still have to be passed on.
#ifndef AMARANTHSPUR_POLICY_NEWSQUEUE_H
#define AMARANTHSPUR_POLICY_NEWSQUEUE_H

#include "core/Types.h"

#include <cstdint>
#include <functional>
#include <map>
#include <utility>
#include <vector>

namespace amaranthspur {

/// Members whose state changed, each to be sent a bounded number of times; what
/// was sent least often goes first, of that the newest. Logarithmic.
class NewsQueue {
public:
  /// Starts to pass on news of \p Id anew.
  void add(const EntryVmId &Id);

  /// Drops news of \p Id.
  void remove(const EntryVmId &Id);

  /// Takes up to \p Count identifiers that \p Wanted accepts.
  /// \param MaxSends how often each is sent in all.
  std::vector<EntryVmId>
  take(std::size_t Count, unsigned MaxSends,
       const std::function<bool(const EntryVmId &)> &Wanted);

  bool empty() const { return this->Keys.empty(); }

private:
  /// Times sent, and a number that falls with each addition.
  using Key = std::pair<unsigned, std::uint64_t>;

  std::map<EntryVmId, Key> Keys;
  std::map<Key, EntryVmId> Order;
  std::uint64_t NextAge = UINT64_MAX;
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_POLICY_NEWSQUEUE_H
