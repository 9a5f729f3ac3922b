#include "policy/UpdateQueue.h"

namespace amaranthspur {

void UpdateQueue::add(const EntryVmId &Id) {
  this->remove(Id);
  const Key New{0, this->NextAgeRank--};
  this->Keys.emplace(Id, New);
  this->Order.emplace(New, Id);
}

void UpdateQueue::remove(const EntryVmId &Id) {
  const auto Found = this->Keys.find(Id);
  if (Found == this->Keys.end())
    return;
  this->Order.erase(Found->second);
  this->Keys.erase(Found);
}

std::vector<EntryVmId>
UpdateQueue::take(std::size_t Count, unsigned MaxSends,
                  const std::function<bool(const EntryVmId &)> &IsRelevant) {
  std::vector<EntryVmId> Selected;
  for (const auto &[Place, Id] : this->Order) {
    if (Selected.size() == Count)
      break;
    if (IsRelevant(Id))
      Selected.push_back(Id);
  }
  for (const EntryVmId &Id : Selected) {
    Key &Place = this->Keys.at(Id);
    this->Order.erase(Place);
    if (++Place.first < MaxSends)
      this->Order.emplace(Place, Id);
    else
      this->Keys.erase(Id);
  }
  return Selected;
}

} // namespace amaranthspur
