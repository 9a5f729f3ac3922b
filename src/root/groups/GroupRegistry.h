// The supervised child that owns the groups in use: one Group and one
// GroupMonitor for each service of the access plan in force.
#ifndef AMARANTHSPUR_ROOT_GROUPS_GROUPREGISTRY_H
#define AMARANTHSPUR_ROOT_GROUPS_GROUPREGISTRY_H

#include "root/Supervisor.h"
#include "root/directory/PlatformDirectory.h"
#include "root/groups/GroupMonitor.h"

#include <map>
#include <memory>

namespace amaranthspur {

/// Creates, configures and stops the groups as the access plan changes.
class GroupRegistry final : public Child, public EvidenceBoard {
public:
  /// All referenced objects must outlive the registry.
  /// \param Source the relay; null if there is none.
  GroupRegistry(const PlatformDirectory &Directory, ServerConnector &Connector,
                const Locality &Where, MonitorDependencies Dependencies,
                EvidenceSource *Source = nullptr);

  std::string_view name() const override { return "groups"; }
  QCoro::Task<Result<Success>> start() override;
  QCoro::Task<> stop(TimePoint Deadline) override;

  /// Applies the directory's current plan and registered servers: stops the
  /// groups of removed services, starts those of new ones and configures all.
  void refresh();

  /// Returns the group of \p Service, or null if the plan does not name it.
  std::shared_ptr<Group> find(const ServiceName &Service) const;

  /// Returns whether any server of any group is believed to be reachable.
  bool anyReachable() const;

  // EvidenceBoard.
  std::vector<ServiceName> wantedServices() const override;
  std::vector<ServiceName> suspectServices() const override;
  std::optional<GroupEvidence>
  shareEvidence(const ServiceName &Service) override;
  void suspect(const ServiceName &Service) override;
  void applyEvidence(const GroupEvidence &Known) override;
  void setEntryVms(std::size_t Count) override;
  void setForwarders(std::size_t Count) override;
  QCoro::Task<bool> prove(ServiceName Service, Term T,
                          TimePoint Deadline) override;

private:
  struct Entry {
    std::shared_ptr<Group> ServerGroup;
    std::shared_ptr<GroupMonitor> Monitor;
  };

  void addGroup(const ServiceName &Service);
  /// Tells the groups how many homes there are.
  void applyHomes();
  QCoro::Task<> stopGroup(Entry Stopped);

  const PlatformDirectory &Directory;
  ServerConnector &Connector;
  const Locality &Where;
  MonitorDependencies Dependencies;
  StoredClaims Claims;
  EvidenceSource *Source;
  std::size_t EntryVms = 0;   ///< That share the servers; 0: not known.
  std::size_t Forwarders = 0; ///< Of the deployment.
  std::map<ServiceName, Entry> Groups;
  TaskGroup StoppingGroups;
  bool Running = false;
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_ROOT_GROUPS_GROUPREGISTRY_H
