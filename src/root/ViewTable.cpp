#include "root/ViewTable.h"

#include <algorithm>

namespace amaranthspur {

const GroupView *ViewTable::find(const ServiceName &Service) const {
  const auto Found = this->Views.find(Service);
  return Found == this->Views.end() ? nullptr : &Found->second;
}

void ViewTable::update(GroupView View) {
  GroupView &Stored = this->Views[View.Service];
  if (View.TermNumber < Stored.TermNumber)
    return;
  View.Confirmed = std::max(View.Confirmed, Stored.Confirmed);
  Stored = std::move(View);
  for (const auto &Listener : this->Listeners)
    Listener(Stored);
  for (auto It = this->Waiting.begin(); It != this->Waiting.end();) {
    if (It->first != Stored.Service) {
      ++It;
      continue;
    }
    It->second->wake();
    It = this->Waiting.erase(It);
  }
}

void ViewTable::addListener(std::function<void(const GroupView &)> Listener) {
  this->Listeners.push_back(std::move(Listener));
}

void ViewTable::wakeOnUpdate(const ServiceName &Service, WaitPoint *Point) {
  this->Waiting.emplace_back(Service, Point);
}

void ViewTable::cancelWake(WaitPoint *Point) {
  this->Waiting.remove_if(
      [Point](const auto &Entry) { return Entry.second == Point; });
}

} // namespace amaranthspur
