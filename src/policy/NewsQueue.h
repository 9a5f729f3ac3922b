// Which changes of members still have to be passed on.
#ifndef AMARANTHSPUR_POLICY_NEWSQUEUE_H
#define AMARANTHSPUR_POLICY_NEWSQUEUE_H

#include "core/Types.h"

#include <functional>
#include <map>
#include <set>
#include <utility>
#include <vector>

namespace amaranthspur {

/// Members whose state changed, each to be sent a bounded number of times; what
/// was sent least often goes first. Logarithmic.
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

  bool empty() const { return this->Sends.empty(); }

private:
  std::map<EntryVmId, unsigned> Sends;
  std::set<std::pair<unsigned, EntryVmId>> Order;
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_POLICY_NEWSQUEUE_H
