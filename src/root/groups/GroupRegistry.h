// The child that owns the groups in use: one Group and one GroupWatch for each
// service of the plan in force.
#ifndef AMARANTHSPUR_ROOT_GROUPS_GROUPREGISTRY_H
#define AMARANTHSPUR_ROOT_GROUPS_GROUPREGISTRY_H

#include "root/Supervisor.h"
#include "root/directory/PlatformDirectory.h"
#include "root/groups/GroupWatch.h"

#include <map>
#include <memory>

namespace amaranthspur {

/// Owner of the groups.
class GroupRegistry final : public Child {
public:
  /// All references outlive the registry.
  GroupRegistry(const PlatformDirectory &Directory, ServerConnector &Connector,
                const Locality &Where, WatchParts Parts);

  std::string_view name() const override { return "groups"; }
  QCoro::Task<Result<Success>> start() override;
  QCoro::Task<> stop(TimePoint Deadline) override;

  /// Takes in the plan and the servers of the directory.
  void refresh();

  /// Returns the group of \p Service, or null if the plan does not name it.
  std::shared_ptr<Group> find(const ServiceName &Service) const;

  /// Returns whether any server of any group is believed to be reachable.
  bool anyReachable() const;

private:
  struct Entry {
    std::shared_ptr<Group> Servers;
    std::shared_ptr<GroupWatch> Watch;
  };

  void add(const ServiceName &Service);
  QCoro::Task<> end(Entry Ended);

  const PlatformDirectory &Directory;
  ServerConnector &Connector;
  const Locality &Where;
  WatchParts Parts;
  std::map<ServiceName, Entry> Groups;
  TaskGroup Ending;
  bool Running = false;
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_ROOT_GROUPS_GROUPREGISTRY_H
