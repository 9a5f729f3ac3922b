// Everything that a soak runs: the platform, the groups of servers, the entry
// VMs and the configuration.
#ifndef AMARANTHSPUR_BENCH_SOAK_SITE_H
#define AMARANTHSPUR_BENCH_SOAK_SITE_H

#include "bench/soak/EntryVm.h"
#include "bench/soak/Servers.h"
#include "bench/soak/Store.h"
#include "bench/soak/Workspaces.h"

#include <memory>
#include <string>
#include <vector>

namespace amaranthspur::bench::soak {

/// Owns the parts of a soak.
class Site {
public:
  Site(Record &Events, TaskGroup &Tasks);

  /// Starts \p GroupCount groups of three servers and \p VmCount entry VMs.
  Result<Success> start(unsigned GroupCount, unsigned VmCount,
                        const DeployCommand &Command,
                        const std::string &LogDirectory);
  /// Waits until all entry VMs are ready. \returns false after a time limit.
  QCoro::Task<bool> waitReady();
  QCoro::Task<> stop();

  /// Writes the next version of the configuration.
  /// \param TimeoutMs of the statements on primary routes.
  /// \param WithProbedRoute whether the probed route exists.
  void configure(unsigned TimeoutMs, bool WithProbedRoute);
  /// Writes the last version of the configuration again.
  void configureAgain();

  Store &platform() { return this->Platform; }
  std::vector<std::unique_ptr<ServerGroup>> &groups() { return this->Groups; }
  std::vector<std::unique_ptr<EntryVm>> &vms() { return this->Vms; }
  /// Returns the name of the entry VM whose process has connected from
  /// \p LocalPort to \p RemotePort of the loopback address; empty: none.
  std::string ownerOf(std::uint16_t LocalPort, std::uint16_t RemotePort);
  EntryVm *findVm(const std::string &Name);
  /// What configure() writes.
  Workspaces WorkspaceList;
  /// Workspace whose callers send more than usual; empty: none.
  std::string Surging;
  Record &Events;
  TaskGroup &Tasks;

private:
  int promote(const std::string &Service, const std::string &Target,
              const std::string &Holder, std::uint64_t Fence, Duration Late);

  Store Platform;
  std::vector<std::unique_ptr<ServerGroup>> Groups;
  std::vector<std::unique_ptr<EntryVm>> Vms;
  unsigned Version = 7;
  QByteArray Configuration; ///< As it was written last.
};

} // namespace amaranthspur::bench::soak

#endif // AMARANTHSPUR_BENCH_SOAK_SITE_H
