#include "policy/WaitingTurns.h"

#include <algorithm>

namespace amaranthspur {

WaitingTurn WaitingTurns::add(unsigned Urgency, const WorkspaceName &For) {
  Level &Own = this->Levels[Urgency];
  std::erase_if(Own.NextRounds,
                [&Own](const auto &Next) { return Next.second <= Own.Round; });
  std::uint64_t &Next = Own.NextRounds[For];
  const WaitingTurn Task{Urgency, std::max(Next, Own.Round),
                         ++this->LastSequence};
  Next = Task.Round + 1;
  this->Waiting.insert(Task);
  return Task;
}

void WaitingTurns::remove(const WaitingTurn &Task, bool Served) {
  this->Waiting.erase(Task);
  if (Served)
    this->Levels[Task.Urgency].Round = Task.Round;
  if (this->Waiting.empty())
    this->Levels.clear();
}

std::size_t WaitingTurns::workspaces() const {
  std::size_t Count = 0;
  for (const auto &[Urgency, Own] : this->Levels)
    Count += Own.NextRounds.size();
  return Count;
}

} // namespace amaranthspur
