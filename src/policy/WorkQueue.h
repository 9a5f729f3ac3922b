// A queue in order of deadline that knows how much work stands before a
// deadline.
//
// A balanced tree of libstdc++'s policy-based data structures whose nodes hold
// the sum of work below them. Every operation is logarithmic.
#ifndef AMARANTHSPUR_POLICY_WORKQUEUE_H
#define AMARANTHSPUR_POLICY_WORKQUEUE_H

#include "core/Clock.h"
#include "policy/Admission.h"

#include <ext/pb_ds/assoc_container.hpp>

#include <functional>
#include <utility>

namespace amaranthspur {
namespace detail {

using WorkKey = std::pair<TimePoint, WorkId>;

/// Keeps the sum of mapped durations of each subtree.
// NOLINTBEGIN(readability-identifier-naming): names that pb_ds prescribes.
template <typename NodeConstIterator, typename NodeIterator, typename Compare,
          typename Allocator>
class WorkSumUpdate {
public:
  using metadata_type = Duration::rep;

  virtual ~WorkSumUpdate() = default;
  virtual NodeConstIterator node_begin() const = 0;
  virtual NodeConstIterator node_end() const = 0;

  void operator()(NodeIterator Node, NodeConstIterator End) const {
    metadata_type Sum = (*Node)->second.count();
    if (const NodeIterator Left = Node.get_l_child(); Left != End)
      Sum += Left.get_metadata();
    if (const NodeIterator Right = Node.get_r_child(); Right != End)
      Sum += Right.get_metadata();
    // pb_ds hands out its metadata as const and expects this cast.
    const_cast<metadata_type &>(Node.get_metadata()) = Sum;
  }

  /// Returns the sum of the work whose key is less than \p Key.
  Duration workBefore(const WorkKey &Key) const {
    metadata_type Sum = 0;
    NodeConstIterator Node = this->node_begin();
    const NodeConstIterator End = this->node_end();
    while (Node != End) {
      const NodeConstIterator Left = Node.get_l_child();
      if (!((*Node)->first < Key)) {
        Node = Left;
        continue;
      }
      Sum += (*Node)->second.count();
      if (Left != End)
        Sum += Left.get_metadata();
      Node = Node.get_r_child();
    }
    return Duration(Sum);
  }
};
// NOLINTEND(readability-identifier-naming)

} // namespace detail

/// Deadline and identifier of work, mapped to its estimated slot time.
using WorkQueue =
    __gnu_pbds::tree<detail::WorkKey, Duration, std::less<>,
                     __gnu_pbds::rb_tree_tag, detail::WorkSumUpdate>;

} // namespace amaranthspur

#endif // AMARANTHSPUR_POLICY_WORKQUEUE_H
