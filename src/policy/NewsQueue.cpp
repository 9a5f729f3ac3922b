#include "policy/NewsQueue.h"

namespace amaranthspur {

void NewsQueue::add(const EntryVmId &Id) {
  this->remove(Id);
  const Key New{0, this->NextAge--};
  this->Keys.emplace(Id, New);
  this->Order.emplace(New, Id);
}

void NewsQueue::remove(const EntryVmId &Id) {
  const auto Found = this->Keys.find(Id);
  if (Found == this->Keys.end())
    return;
  this->Order.erase(Found->second);
  this->Keys.erase(Found);
}

std::vector<EntryVmId>
NewsQueue::take(std::size_t Count, unsigned MaxSends,
                const std::function<bool(const EntryVmId &)> &Wanted) {
  std::vector<EntryVmId> Taken;
  for (const auto &[Place, Id] : this->Order) {
    if (Taken.size() == Count)
      break;
    if (Wanted(Id))
      Taken.push_back(Id);
  }
  for (const EntryVmId &Id : Taken) {
    Key &Place = this->Keys.at(Id);
    this->Order.erase(Place);
    if (++Place.first < MaxSends)
      this->Order.emplace(Place, Id);
    else
      this->Keys.erase(Id);
  }
  return Taken;
}

} // namespace amaranthspur
