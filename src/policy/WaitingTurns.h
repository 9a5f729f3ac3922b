// The order in which tasks that wait for a connection are served: by urgency,
// then in turn among the workspaces, then in order of arrival.
//
// Without turns, a workspace that sends many statements at once makes the
// statements of all others wait behind its own. Each task gets the number of a
// round when it arrives: the round after that of the previous task of its
// workspace, but not one that has passed already.
#ifndef AMARANTHSPUR_POLICY_WAITINGTURNS_H
#define AMARANTHSPUR_POLICY_WAITINGTURNS_H

#include "core/Types.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>

namespace amaranthspur {

/// The place of one waiting task; lower ones come first.
struct WaitingTurn {
  unsigned Urgency = 0; ///< 0 is the most urgent.
  std::uint64_t Round = 0;
  std::uint64_t Sequence = 0; ///< Order of arrival.

  auto operator<=>(const WaitingTurn &) const = default;
};

/// The tasks that wait for one thing. State is kept only for workspaces with a
/// waiting task or with one that was served in the present round.
class WaitingTurns {
public:
  /// Adds a task of \p For; empty if it has no workspace.
  WaitingTurn add(unsigned Urgency, const WorkspaceName &For);
  /// Returns whether \p Task is the next to be served.
  bool isNext(const WaitingTurn &Task) const {
    return !this->Waiting.empty() && *this->Waiting.begin() == Task;
  }
  /// Removes a task.
  /// \param Served false if it has given up.
  void remove(const WaitingTurn &Task, bool Served);

  std::size_t size() const { return this->Waiting.size(); }
  /// Returns the number of workspaces for which there is state.
  std::size_t workspaces() const;

private:
  /// The tasks of one urgency.
  struct Level {
    std::uint64_t Round = 0; ///< Of the task that was served last.
    std::map<WorkspaceName, std::uint64_t> NextRounds;
  };

  std::set<WaitingTurn> Waiting;
  std::map<unsigned, Level> Levels;
  std::uint64_t LastSequence = 0;
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_POLICY_WAITINGTURNS_H
