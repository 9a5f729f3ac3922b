// The group views that this entry VM holds, whoever made them.
#ifndef AMARANTHSPUR_ROOT_VIEWTABLE_H
#define AMARANTHSPUR_ROOT_VIEWTABLE_H

#include "core/Async.h"
#include "policy/GroupView.h"

#include <functional>
#include <list>
#include <map>

namespace amaranthspur {

/// Holds the newest view of each service and wakes tasks that wait for a
/// change. Bounded by the number of services in force.
class ViewTable {
public:
  /// Returns the view of \p Service, or null if none is known.
  const GroupView *find(const ServiceName &Service) const;

  /// Takes in \p View unless one of a higher term is held. Of the same term the
  /// last one wins, but a confirmed position never goes back.
  void update(GroupView View);

  /// Calls \p Listener after every update. Listeners are never removed: only
  /// parts that live as long as the table listen.
  void listen(std::function<void(const GroupView &)> Listener);

  /// Registers \p Point to be woken once, at the next update of \p Service.
  void wakeOnUpdate(const ServiceName &Service, WaitPoint *Point);

  /// Takes back a registration that has not been used.
  void forget(WaitPoint *Point);

private:
  std::map<ServiceName, GroupView> Views;
  std::vector<std::function<void(const GroupView &)>> Listeners;
  std::list<std::pair<ServiceName, WaitPoint *>> Waiting;
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_ROOT_VIEWTABLE_H
