// The table of the newest group views that this entry VM knows, both its own
// and those received from other entry VMs.
#ifndef AMARANTHSPUR_ROOT_VIEWTABLE_H
#define AMARANTHSPUR_ROOT_VIEWTABLE_H

#include "core/Async.h"
#include "policy/GroupView.h"

#include <functional>
#include <list>
#include <map>

namespace amaranthspur {

/// Holds the newest view of each service and wakes the tasks that wait for a
/// new one. Its size is bounded by the number of services in the configuration.
class ViewTable {
public:
  /// Returns the view of \p Service, or null if none is known.
  const GroupView *find(const ServiceName &Service) const;

  /// Stores \p View unless the table holds a view of a higher term. A view of
  /// the same term replaces the stored one, but the confirmed position never
  /// decreases.
  void update(GroupView View);

  /// Calls \p Listener after every update. Listeners cannot be removed, so a
  /// listener must live as long as the table.
  void addListener(std::function<void(const GroupView &)> Listener);

  /// Registers \p Point to be woken once, by the next update for \p Service.
  void wakeOnUpdate(const ServiceName &Service, WaitPoint *Point);

  /// Removes the registration of \p Point if it has not been woken yet.
  void cancelWake(WaitPoint *Point);

private:
  std::map<ServiceName, GroupView> Views;
  std::vector<std::function<void(const GroupView &)>> Listeners;
  std::list<std::pair<ServiceName, WaitPoint *>> Waiting;
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_ROOT_VIEWTABLE_H
