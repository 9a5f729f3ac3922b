// A complete deployment of real processes on loopback addresses.
//
// Every VM has an address 127.0.<data centre>.<host>. Entry VMs connect to
// backend servers, to each other and to the platform through fault-proxy
// processes, one for each data centre, whose rules set the latency and the
// faults of each link. The bench itself connects to the backend servers
// directly, without going through a fault-proxy.
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
  std::size_t DataCentreIndex = 0; ///< Index into DeploymentSpec::DataCentres.
  Address DirectAddress;           ///< Where the server listens.
  Address ShapedAddress;           ///< For all others, through the fault-proxy.
  std::unique_ptr<ChildProcess> Process;
};

/// One entry VM of a deployment.
struct EntryNode {
  EntryVmId Id;
  std::size_t DataCentreIndex = 0;
  Address CallerAddress;       ///< Where the entry VM listens for callers.
  Address ShapedCallerAddress; ///< Through the fault-proxy.
  Address PeerAddress;
  Address ShapedPeerAddress;
  Address AdminAddress;
  std::unique_ptr<ChildProcess> Process;
};

/// Starts and stops the processes of a deployment and gives access to its
/// links.
class Deployment {
public:
  explicit Deployment(DeploymentSpec Spec);
  Deployment(const Deployment &) = delete;
  Deployment &operator=(const Deployment &) = delete;
  ~Deployment();

  /// Starts all processes and waits until every entry VM serves every service.
  QCoro::Task<Result<Success>> start();
  /// Stops all processes.
  QCoro::Task<> stop();

  const DeploymentSpec &spec() const { return this->Spec; }
  std::vector<ServerNode> &servers() { return this->Servers; }
  std::vector<EntryNode> &entries() { return this->Entries; }
  Address platform() const { return this->PlatformDirect; }

  /// Restarts server \p Index with an empty log as a replica of the current
  /// primary.
  QCoro::Task<Result<Success>> restartServer(std::size_t Index);
  /// Restarts entry VM \p Index.
  QCoro::Task<Result<Success>> restartEntry(std::size_t Index);

  /// Returns the server of \p Service that is primary in the highest term.
  QCoro::Task<std::optional<std::size_t>> primaryOf(std::string Service);
  /// Waits until all servers of \p Service answer, exactly one is primary and
  /// all logs end in the same term within 200 entries of each other.
  /// \returns whether that happened before \p Deadline.
  QCoro::Task<bool> waitUntilSettled(std::string Service, TimePoint Deadline);
  /// Reads the workload's rows from the primary of \p Service.
  QCoro::Task<Result<std::vector<FinalRow>>> finalRows(std::string Service);

  Links &links() { return this->Shaping; }

  /// Returns the addresses for callers of the entry VMs in data centre \p
  /// DataCentreIndex, or of all entry VMs if \p DataCentreIndex is empty.
  std::vector<EntryPoint>
  entryPoints(std::optional<std::size_t> DataCentreIndex = std::nullopt) const;
  /// Returns the source address of callers in data centre \p DataCentreIndex.
  static std::string callerAddress(std::size_t DataCentreIndex);

  /// Runs `amaranthspurctl accept` to make the questionnaire \p Answers the
  /// revision after \p From, and returns its JSON output.
  /// \param Operation identifier of the change; a retry passes the same
  /// identifier.
  QCoro::Task<Result<std::string>>
  accept(QJsonObject Answers, std::uint64_t From, std::string Operation);
  /// Returns the answers to the questionnaire that describe this deployment.
  QJsonObject answers() const;
  /// Runs amaranthspurctl and returns its output.
  QCoro::Task<Result<std::string>>
  runControlTool(std::vector<std::string> Arguments);

private:
  void makeServerNodes();
  void makeEntryNodes();
  void makeEntryProcess(EntryNode &Node);
  void makeServerProcess(ServerNode &Node, const ServerNode *Primary,
                         Term Reached);
  QCoro::Task<Result<Success>> startPlatform();
  QCoro::Task<Result<Success>> startProxies();
  QCoro::Task<Result<Success>> startServers();
  QCoro::Task<Result<Success>> createTables();
  QCoro::Task<Result<Success>> startEntries();
  QCoro::Task<Result<Success>> waitUntilServing(std::size_t Entry);
  std::string logFile(const std::string &Name) const;
  Address shaped(std::size_t DataCentreIndex, const std::string &Host) const;

  DeploymentSpec Spec;
  Links Shaping;
  std::vector<ServerNode> Servers;
  std::vector<EntryNode> Entries;
  Address PlatformDirect;
  Address PlatformShaped;
  std::unique_ptr<ChildProcess> PlatformProcess;
  std::vector<std::unique_ptr<ChildProcess>> Proxies;
};

/// Returns the path of the executable \p Name of this build, or \p Name itself
/// if there is none.
std::string programPath(const std::string &Name);

} // namespace amaranthspur::bench

#endif // AMARANTHSPUR_BENCH_DEPLOYMENT_H
