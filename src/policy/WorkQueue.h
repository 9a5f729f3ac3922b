// A queue ordered by deadline that returns how much work precedes a given
// deadline.
//
// The queue is a balanced tree from libstdc++'s policy-based data structures,
// augmented with the sum of the work in each subtree. Every operation takes
// logarithmic time.
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

/// Node update policy of pb_ds: maintains the sum of the mapped durations of
/// each subtree.
// NOLINTBEGIN(readability-identifier-naming): pb_ds prescribes these names.
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
    // pb_ds returns the metadata as const and expects the node update policy to
    // cast the const away.
    const_cast<metadata_type &>(Node.get_metadata()) = Sum;
  }

  /// Returns the total duration of the work whose key is less than \p Key.
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

/// Maps the deadline and identifier of work to its estimated slot time.
using WorkQueue =
    __gnu_pbds::tree<detail::WorkKey, Duration, std::less<>,
                     __gnu_pbds::rb_tree_tag, detail::WorkSumUpdate>;

} // namespace amaranthspur

#endif // AMARANTHSPUR_POLICY_WORKQUEUE_H
