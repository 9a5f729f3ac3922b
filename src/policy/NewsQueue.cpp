#include "policy/NewsQueue.h"

namespace amaranthspur {

void NewsQueue::add(const EntryVmId &Id) {
  this->remove(Id);
  this->Sends.emplace(Id, 0);
  this->Order.emplace(0, Id);
}

void NewsQueue::remove(const EntryVmId &Id) {
  const auto Found = this->Sends.find(Id);
  if (Found == this->Sends.end())
    return;
  this->Order.erase({Found->second, Id});
  this->Sends.erase(Found);
}

std::vector<EntryVmId>
NewsQueue::take(std::size_t Count, unsigned MaxSends,
                const std::function<bool(const EntryVmId &)> &Wanted) {
  std::vector<EntryVmId> Taken;
  for (const auto &[Sent, Id] : this->Order) {
    if (Taken.size() == Count)
      break;
    if (Wanted(Id))
      Taken.push_back(Id);
  }
  for (const EntryVmId &Id : Taken) {
    unsigned &Sent = this->Sends.at(Id);
    this->Order.erase({Sent, Id});
    if (++Sent < MaxSends)
      this->Order.emplace(Sent, Id);
    else
      this->Sends.erase(Id);
  }
  return Taken;
}

} // namespace amaranthspur
