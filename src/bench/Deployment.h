// A whole deployment of real processes on loopback addresses.
//
// Every VM has an address 127.0.<data centre>.<host>. Entry VMs reach backend
// servers, each other and the platform through fault-proxy processes, one for
// each data centre, whose rules give a link its latency and its faults. The
// bench itself reaches the backend servers directly, past all faults.
#ifndef AMARANTHSPUR_BENCH_DEPLOYMENT_H
#define AMARANTHSPUR_BENCH_DEPLOYMENT_H

#include "bench/ChildProcess.h"
#include "bench/DeploymentSpec.h"
#include "bench/Links.h"
#include "bench/LoadClient.h"
#include "bench/ServerProbe.h"
#include "core/Result.h"
#include "wire/Connection.h"

#include <QCoroTask>
#include <QJsonObject>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace amaranthspur::bench {

/// One backend server of a deployment.
struct ServerNode {
  ServerId Id;
  std::string Service;
  std::size_t Place = 0; ///< Index of its data centre.
  Address Direct;
  Address Shaped; ///< As the others reach it.
  std::unique_ptr<ChildProcess> Process;
};

/// One entry VM of a deployment.
struct EntryNode {
  EntryVmId Id;
  std::size_t Place = 0;
  Address Callers;       ///< Listens for callers.
  Address ShapedCallers; ///< As callers reach it.
  Address Peers;
  Address ShapedPeers;
  Address Admin;
  std::unique_ptr<ChildProcess> Process;
};

/// Starts, breaks, heals and ends a deployment.
class Deployment {
public:
  explicit Deployment(DeploymentSpec Spec);
  Deployment(const Deployment &) = delete;
  Deployment &operator=(const Deployment &) = delete;
  ~Deployment();

  /// Starts everything and waits until every entry VM serves every service.
  QCoro::Task<Result<Success>> start();
  /// Ends everything.
  QCoro::Task<> stop();

  const DeploymentSpec &spec() const { return this->Spec; }
  std::vector<ServerNode> &servers() { return this->Servers; }
  std::vector<EntryNode> &entries() { return this->Entries; }
  Address platform() const { return this->PlatformDirect; }

  /// Starts server \p Index again, empty, as a replica of the present primary.
  QCoro::Task<Result<Success>> restartServer(std::size_t Index);
  /// Starts entry VM \p Index again.
  QCoro::Task<Result<Success>> restartEntry(std::size_t Index);

  /// Returns the server of \p Service that is primary in the highest term.
  QCoro::Task<std::optional<std::size_t>> primaryOf(std::string Service);
  /// Waits until all servers of \p Service follow one primary and hold its log.
  QCoro::Task<bool> settled(std::string Service, TimePoint Deadline);
  /// Reads the workload's rows from the primary of \p Service.
  QCoro::Task<Result<std::vector<FinalRow>>> finalRows(std::string Service);

  Links &links() { return this->Shaping; }

  /// Returns the entry VMs as callers in \p Place reach them, the nearest
  /// first; all of them if \p Place is nothing.
  std::vector<EntryPoint>
  entryPoints(std::optional<std::size_t> Place = std::nullopt) const;
  /// Returns the source address of callers in data centre \p Place.
  static std::string callerAddress(std::size_t Place);

  /// Accepts the questionnaire \p Answers through amaranthspurctl as the
  /// revision after \p From; returns its JSON output.
  /// \param Operation identifier of the change, the same for a repetition.
  QCoro::Task<Result<std::string>>
  accept(QJsonObject Answers, std::uint64_t From, std::string Operation);
  /// Returns the questionnaire of this deployment.
  QJsonObject answers() const;
  /// Runs amaranthspurctl and returns its output.
  QCoro::Task<Result<std::string>> control(std::vector<std::string> Arguments);

private:
  void layOutServers();
  void layOutEntries();
  void makeEntryProcess(EntryNode &Node);
  void makeServerProcess(ServerNode &Node, const ServerNode *Primary,
                         Term Reached);
  QCoro::Task<Result<Success>> startPlatform();
  QCoro::Task<Result<Success>> startProxies();
  QCoro::Task<Result<Success>> startServers();
  QCoro::Task<Result<Success>> createTables();
  QCoro::Task<Result<Success>> startEntries();
  QCoro::Task<Result<Success>> waitServing(std::size_t Entry);
  std::string logFile(const std::string &Name) const;
  Address shaped(std::size_t Place, const std::string &Host) const;

  DeploymentSpec Spec;
  Links Shaping;
  std::vector<ServerNode> Servers;
  std::vector<EntryNode> Entries;
  Address PlatformDirect;
  Address PlatformShaped;
  std::unique_ptr<ChildProcess> PlatformProcess;
  std::vector<std::unique_ptr<ChildProcess>> Proxies;
};

/// Returns the path of the program \p Name of this build.
std::string programPath(const std::string &Name);

} // namespace amaranthspur::bench

#endif // AMARANTHSPUR_BENCH_DEPLOYMENT_H
