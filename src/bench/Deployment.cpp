#include "bench/Deployment.h"

#include "bench/Failure.h"
#include "bench/Remote.h"

#include <QCoreApplication>
#include <QFileInfo>
#include <QJsonArray>
#include <QJsonDocument>
#include <QTemporaryFile>

#include <algorithm>

namespace amaranthspur::bench {
namespace {

constexpr Duration StartTimeout = std::chrono::seconds(5);
constexpr Duration ServeTimeout = std::chrono::seconds(10);
constexpr Duration StopTimeout = std::chrono::seconds(3);
constexpr Duration ControlTimeout = std::chrono::seconds(5);
constexpr Duration DirectTimeout = milliseconds(1500);
constexpr Duration FinalRowsTimeout = std::chrono::seconds(10);
constexpr Duration StatusTimeout = milliseconds(400);
constexpr Duration PollDelay = milliseconds(50);

/// Last octets of the addresses in a data centre.
constexpr unsigned PlatformHost = 5;
constexpr unsigned ProxyHost = 6;
constexpr unsigned FirstServerHost = 11;
constexpr unsigned FirstEntryHost = 101;
constexpr unsigned CallerHost = 201;

constexpr const char *DeploymentKey = "bench-deployment-key";

std::string hostAddress(std::size_t DataCentreIndex, unsigned Host) {
  return addressPrefix(DataCentreIndex) + std::to_string(Host);
}

Address addressOn(const std::string &Host) { return {Host, freePort(Host)}; }

std::string linkArgument(const std::string &Name, const Address &Listen,
                         const Address &Upstream) {
  return Name + "=" + Listen.str() + ">" + Upstream.str();
}

// GCC 12 does not compile initialiser lists of strings inside coroutines, so
// the following functions build them.

std::vector<std::string> acceptArguments(const std::string &File,
                                         std::uint64_t From,
                                         const std::string &Operation) {
  return {"accept",      File,      "--from-revision", std::to_string(From),
          "--operation", Operation, "--author",        "bench",
          "--json"};
}

QJsonObject vmRegistration(const EntryNode &Node, const DataCentre &Location) {
  return {
      {"peer_address", QString::fromStdString(Node.ShapedPeerAddress.str())},
      {"admin_address", QString::fromStdString(Node.AdminAddress.str())},
      {"data_centre", QString::fromStdString(Location.str())},
      {"leaving", false}};
}

/// Returns whether all logs end in the same term and within MaxLagEntries of
/// each other. Under load the replicas always lag slightly, so equality is not
/// required.
bool logsConverged(const std::vector<LogPosition> &Ends) {
  constexpr std::uint64_t MaxLagEntries = 200;
  if (Ends.empty())
    return false;
  const auto [Lowest, Highest] = std::minmax_element(Ends.begin(), Ends.end());
  return Lowest->TermNumber == Highest->TermNumber &&
         Highest->Index - Lowest->Index <= MaxLagEntries;
}

} // namespace

std::string programPath(const std::string &Name) {
  // The build writes executables to bin or to the build directory of their
  // sources.
  const QString Here = QCoreApplication::applicationDirPath();
  const std::string Places[] = {"/",
                                "/../bin/",
                                "/../../bin/",
                                "/../src/root/",
                                "/../src/ctl/",
                                "/../src/testing/" + Name + "/",
                                "/../testing/" + Name + "/"};
  for (const std::string &Place : Places) {
    const QString Path = Here + QString::fromStdString(Place + Name);
    if (QFileInfo(Path).isExecutable())
      return QFileInfo(Path).canonicalFilePath().toStdString();
  }
  return Name;
}

Deployment::Deployment(DeploymentSpec RequestedSpec)
    : Spec(std::move(RequestedSpec)), Shaping(this->Spec) {
  this->PlatformDirect = addressOn(hostAddress(0, PlatformHost));
  this->PlatformShaped = this->shaped(0, this->PlatformDirect.Host);
  if (!this->Spec.UsesFaultProxy)
    this->PlatformShaped = this->PlatformDirect;
  this->makeServerNodes();
  this->makeEntryNodes();
}

Deployment::~Deployment() = default;

std::string Deployment::callerAddress(std::size_t DataCentreIndex) {
  return hostAddress(DataCentreIndex, CallerHost);
}

std::string Deployment::logFile(const std::string &Name) const {
  if (this->Spec.LogDirectory.empty())
    return {};
  return this->Spec.LogDirectory + "/" + Name + ".log";
}

Address Deployment::shaped(std::size_t DataCentreIndex,
                           const std::string &Host) const {
  return this->Spec.UsesFaultProxy
             ? addressOn(hostAddress(DataCentreIndex, ProxyHost))
             : Address{Host, 0};
}

void Deployment::makeServerNodes() {
  unsigned Host = FirstServerHost;
  for (const std::string &Service : this->Spec.Services)
    for (std::size_t DataCentreIndex = 0;
         DataCentreIndex < this->Spec.DataCentres.size(); ++DataCentreIndex) {
      ServerNode Node;
      Node.Id = ServerId(Service + "-" + std::to_string(DataCentreIndex + 1));
      Node.Service = Service;
      Node.DataCentreIndex = DataCentreIndex;
      Node.DirectAddress = addressOn(hostAddress(DataCentreIndex, Host++));
      Node.ShapedAddress = this->Spec.UsesFaultProxy
                               ? this->shaped(DataCentreIndex, {})
                               : Node.DirectAddress;
      this->Servers.push_back(std::move(Node));
    }
}

void Deployment::makeEntryNodes() {
  for (std::size_t DataCentreIndex = 0;
       DataCentreIndex < this->Spec.DataCentres.size(); ++DataCentreIndex)
    for (unsigned I = 0; I < this->Spec.EntryVms[DataCentreIndex]; ++I) {
      const bool Apart =
          this->Spec.FirstEntryVmHasOwnPrefix && this->Entries.empty();
      const std::string Host =
          Apart ? FirstEntryVmPrefix + std::to_string(FirstEntryHost)
                : hostAddress(DataCentreIndex, FirstEntryHost + I);
      EntryNode Node;
      Node.Id = EntryVmId(this->Spec.DataCentres[DataCentreIndex].Name.str() +
                          "-vm" + std::to_string(I + 1));
      Node.DataCentreIndex = DataCentreIndex;
      Node.CallerAddress = addressOn(Host);
      Node.PeerAddress = addressOn(Host);
      Node.AdminAddress = addressOn(Host);
      const bool Shaped = this->Spec.UsesFaultProxy;
      Node.ShapedCallerAddress =
          Shaped ? this->shaped(DataCentreIndex, {}) : Node.CallerAddress;
      Node.ShapedPeerAddress =
          Shaped ? this->shaped(DataCentreIndex, {}) : Node.PeerAddress;
      this->Entries.push_back(std::move(Node));
    }
}

QCoro::Task<Result<Success>> Deployment::start() {
  using Step = QCoro::Task<Result<Success>> (Deployment::*)();
  const Step Steps[] = {&Deployment::startPlatform, &Deployment::startProxies,
                        &Deployment::startServers, &Deployment::createTables};
  for (const Step S : Steps) {
    const Result<Success> Done = co_await (this->*S)();
    if (!succeeded(Done))
      co_return Done;
  }
  const Result<std::string> Accepted =
      co_await this->accept(this->answers(), 0, "bench-first");
  if (!succeeded(Accepted))
    co_return makeError(errorOf(Accepted));
  const Result<Success> Started = co_await this->startEntries();
  co_return Started;
}

QCoro::Task<> Deployment::stop() {
  const TimePoint Deadline = steadyNow() + StopTimeout;
  for (EntryNode &Node : this->Entries)
    if (Node.Process)
      Node.Process->kill();
  for (ServerNode &Node : this->Servers)
    if (Node.Process)
      Node.Process->kill();
  for (const auto &Proxy : this->Proxies)
    co_await Proxy->stop(Deadline);
  if (this->PlatformProcess)
    co_await this->PlatformProcess->stop(Deadline);
}

QCoro::Task<Result<Success>> Deployment::startPlatform() {
  std::vector<std::string> Arguments;
  Arguments.emplace_back("--listen");
  Arguments.push_back(this->PlatformDirect.str());
  this->PlatformProcess = std::make_unique<ChildProcess>(
      programPath("fake-platform"), Arguments, this->logFile("fake-platform"));
  const Result<Success> Started =
      co_await this->PlatformProcess->start(steadyNow() + StartTimeout);
  if (!succeeded(Started))
    co_return Started;
  for (const EntryNode &Node : this->Entries) {
    const QJsonObject Vm =
        vmRegistration(Node, this->Spec.DataCentres[Node.DataCentreIndex].Name);
    const Result<std::string> Registered = co_await sendHttp(
        HttpMethod::Put, this->PlatformDirect, "/vms/" + Node.Id.str(),
        QJsonDocument(Vm).toJson(QJsonDocument::Compact).toStdString(),
        steadyNow() + DirectTimeout);
    if (!succeeded(Registered))
      co_return makeError(errorOf(Registered));
  }
  co_return makeSuccess();
}

QCoro::Task<Result<Success>> Deployment::startProxies() {
  if (!this->Spec.UsesFaultProxy)
    co_return makeSuccess();
  for (std::size_t DataCentreIndex = 0;
       DataCentreIndex < this->Spec.DataCentres.size(); ++DataCentreIndex) {
    const std::string Prefix = linkPrefix(this->Spec, DataCentreIndex);
    const Address Control = addressOn(hostAddress(DataCentreIndex, ProxyHost));
    std::vector<std::string> Arguments;
    Arguments.emplace_back("--control");
    Arguments.push_back(Control.str());
    const auto Add = [&](const std::string &Name, const Address &Listen,
                         const Address &Upstream) {
      Arguments.emplace_back("--link");
      Arguments.push_back(linkArgument(Prefix + Name, Listen, Upstream));
    };
    if (DataCentreIndex == 0)
      Add("platform", this->PlatformShaped, this->PlatformDirect);
    for (const ServerNode &Node : this->Servers)
      if (Node.DataCentreIndex == DataCentreIndex)
        Add(Node.Id.str(), Node.ShapedAddress, Node.DirectAddress);
    for (const EntryNode &Node : this->Entries)
      if (Node.DataCentreIndex == DataCentreIndex) {
        Add("peers." + Node.Id.str(), Node.ShapedPeerAddress, Node.PeerAddress);
        Add("callers." + Node.Id.str(), Node.ShapedCallerAddress,
            Node.CallerAddress);
      }
    this->Proxies.push_back(std::make_unique<ChildProcess>(
        programPath("fault-proxy"), Arguments,
        this->logFile("fault-proxy-" + std::to_string(DataCentreIndex))));
    const Result<Success> Started =
        co_await this->Proxies.back()->start(steadyNow() + StartTimeout);
    if (!succeeded(Started))
      co_return Started;
    this->Shaping.addControl(Control);
  }
  co_await this->Shaping.removeAllFaults();
  co_return makeSuccess();
}

void Deployment::makeServerProcess(ServerNode &Node, const ServerNode *Primary,
                                   Term Reached) {
  std::vector<std::string> Arguments{
      "--id",
      Node.Id.str(),
      "--listen",
      Node.DirectAddress.str(),
      "--bind-address",
      Node.DirectAddress.Host,
      "--slots",
      std::to_string(this->Spec.Slots),
      "--connection-limit",
      std::to_string(this->Spec.ConnectionLimit),
      "--connect-delay-ms",
      std::to_string(this->Spec.ConnectDelayMs),
      "--replication-lag-ms",
      std::to_string(this->Spec.ReplicationLagMs),
      "--term",
      std::to_string(Reached)};
  if (Primary) {
    Arguments.insert(Arguments.end(),
                     {"--role", "replica", "--primary",
                      Primary->Id.str() + "=" + Primary->ShapedAddress.str()});
  } else {
    Arguments.insert(Arguments.end(), {"--role", "primary"});
  }
  Node.Process = std::make_unique<ChildProcess>(
      programPath("fake-backend"), Arguments, this->logFile(Node.Id.str()));
}

QCoro::Task<Result<Success>> Deployment::startServers() {
  const ServerNode *Primary = nullptr;
  std::string Service;
  for (ServerNode &Node : this->Servers) {
    if (Node.Service != Service)
      Primary = nullptr;
    Service = Node.Service;
    this->makeServerProcess(Node, Primary, 1);
    const Result<Success> Started =
        co_await Node.Process->start(steadyNow() + StartTimeout);
    if (!succeeded(Started))
      co_return Started;
    if (!Primary)
      Primary = &Node;
  }
  co_return makeSuccess();
}

QCoro::Task<Result<Success>> Deployment::createTables() {
  for (const std::string &Service : this->Spec.Services) {
    const auto Node =
        std::ranges::find(this->Servers, Service, &ServerNode::Service);
    const std::vector<std::string> Statements(std::begin(SetupStatements),
                                              std::end(SetupStatements));
    const Result<Success> Done = co_await runStatements(
        Node->DirectAddress, Service, Statements, steadyNow() + DirectTimeout);
    if (!succeeded(Done))
      co_return Done;
  }
  co_return makeSuccess();
}

void Deployment::makeEntryProcess(EntryNode &Node) {
  std::string Peers;
  for (const EntryNode &Other : this->Entries) {
    if (Other.Id == Node.Id)
      continue;
    Peers += (Peers.empty() ? "" : ",") + Other.Id.str() + "=" +
             Other.ShapedPeerAddress.str() + "@" +
             this->Spec.DataCentres[Other.DataCentreIndex].Name.str();
  }
  Node.Process = std::make_unique<ChildProcess>(
      programPath("amaranthspurd"),
      std::vector<std::string>{
          "--vm-id",
          Node.Id.str(),
          "--data-centre",
          this->Spec.DataCentres[Node.DataCentreIndex].Name.str(),
          "--caller-address",
          Node.CallerAddress.str(),
          "--peer-address",
          Node.PeerAddress.str(),
          "--advertised-peer-address",
          Node.ShapedPeerAddress.str(),
          "--admin-address",
          Node.AdminAddress.str(),
          "--platform-address",
          this->PlatformShaped.str(),
          "--bind-address",
          Node.CallerAddress.Host,
          "--deployment-key",
          DeploymentKey,
          "--policy-variant",
          std::string(nameOf(this->Spec.Variant)),
          "--seed-peers",
          Peers},
      this->logFile(Node.Id.str()));
}

QCoro::Task<Result<Success>> Deployment::startEntries() {
  for (EntryNode &Node : this->Entries) {
    this->makeEntryProcess(Node);
    const Result<Success> Started =
        co_await Node.Process->start(steadyNow() + StartTimeout);
    if (!succeeded(Started))
      co_return Started;
  }
  for (std::size_t I = 0; I < this->Entries.size(); ++I) {
    const Result<Success> Serving = co_await this->waitUntilServing(I);
    if (!succeeded(Serving))
      co_return Serving;
  }
  co_return makeSuccess();
}

QCoro::Task<Result<Success>> Deployment::waitUntilServing(std::size_t Entry) {
  const TimePoint Deadline = steadyNow() + ServeTimeout;
  const std::string Probe = "SELECT COUNT(*) FROM bench_rows";
  for (const std::string &Service : this->Spec.Services) {
    std::string Last = "no answer";
    std::map<std::string, std::string> Parameters;
    Parameters["user"] = this->Spec.Callers.front().Name;
    Parameters["database"] = Service;
    Parameters["amaranthspur.max_staleness_ms"] = "0";
    for (;;) {
      auto Opened = co_await CallerConnection::open(
          this->Entries[Entry].CallerAddress, {}, Parameters,
          steadyNow() + DirectTimeout);
      if (succeeded(Opened)) {
        const Answer Reply =
            co_await valueOf(Opened)->query(Probe, steadyNow() + DirectTimeout);
        if (Reply.End == AnswerEnd::Complete)
          break;
        Last = Reply.Refusal.Message;
      } else {
        Last = errorOf(Opened);
      }
      if (steadyNow() > Deadline) {
        std::string Reason = this->Entries[Entry].Id.str();
        Reason += " does not serve ";
        Reason += Service;
        Reason += ": ";
        Reason += Last;
        co_return makeError(std::move(Reason));
      }
      co_await sleepFor(PollDelay);
    }
  }
  co_return makeSuccess();
}

QCoro::Task<Result<Success>> Deployment::restartServer(std::size_t Index) {
  ServerNode &Node = this->Servers[Index];
  const auto Primary = co_await this->primaryOf(Node.Service);
  if (!Primary || *Primary == Index)
    co_return makeError("no other primary for " + Node.Id.str() + " to follow");
  if (Node.Process)
    Node.Process->kill();
  // The new process has no record of the terms that its predecessor adopted, so
  // it starts with the term of the current primary.
  const auto Report =
      co_await queryStatus(this->Servers[*Primary].DirectAddress, Node.Service,
                           steadyNow() + DirectTimeout);
  if (!succeeded(Report))
    co_return makeError(errorOf(Report));
  this->makeServerProcess(Node, &this->Servers[*Primary],
                          valueOf(Report).AdoptedTerm);
  const Result<Success> Started =
      co_await Node.Process->start(steadyNow() + StartTimeout);
  co_return Started;
}

QCoro::Task<Result<Success>> Deployment::restartEntry(std::size_t Index) {
  EntryNode &Node = this->Entries[Index];
  if (Node.Process)
    Node.Process->kill();
  this->makeEntryProcess(Node);
  const Result<Success> Started =
      co_await Node.Process->start(steadyNow() + StartTimeout);
  co_return Started;
}

QJsonObject Deployment::answers() const {
  std::vector<ServerQuestionnaireEntry> List;
  List.reserve(this->Servers.size());
  for (const ServerNode &Node : this->Servers)
    List.push_back({Node.Service, Node.Id.str(), Node.ShapedAddress.Host,
                    Node.ShapedAddress.Port,
                    this->Spec.DataCentres[Node.DataCentreIndex].Name});
  return questionnaire(this->Spec, List);
}

std::vector<EntryPoint>
Deployment::entryPoints(std::optional<std::size_t> DataCentreIndex) const {
  std::vector<EntryPoint> List;
  for (const EntryNode &Node : this->Entries)
    if (!DataCentreIndex || Node.DataCentreIndex == *DataCentreIndex)
      List.push_back({Node.Id.str(), Node.ShapedCallerAddress});
  return List;
}

QCoro::Task<std::optional<std::size_t>>
Deployment::primaryOf(std::string Service) {
  std::optional<std::size_t> Best;
  Term Highest = 0;
  for (std::size_t I = 0; I < this->Servers.size(); ++I) {
    const ServerNode &Node = this->Servers[I];
    if (Node.Service != Service || !Node.Process || !Node.Process->running())
      continue;
    const auto Report = co_await queryStatus(Node.DirectAddress, Service,
                                             steadyNow() + StatusTimeout);
    if (!succeeded(Report) || valueOf(Report).Role != ServerRole::Primary)
      continue;
    if (!Best || valueOf(Report).AdoptedTerm > Highest) {
      Best = I;
      Highest = valueOf(Report).AdoptedTerm;
    }
  }
  co_return Best;
}

QCoro::Task<bool> Deployment::waitUntilSettled(std::string Service,
                                               TimePoint Deadline) {
  while (steadyNow() < Deadline) {
    std::vector<LogPosition> Ends;
    unsigned Primaries = 0;
    for (const ServerNode &Node : this->Servers) {
      if (Node.Service != Service)
        continue;
      const auto Report = co_await queryStatus(Node.DirectAddress, Service,
                                               steadyNow() + StatusTimeout);
      if (!succeeded(Report))
        break;
      Ends.push_back(valueOf(Report).LogEnd);
      Primaries += valueOf(Report).Role == ServerRole::Primary ? 1 : 0;
    }
    const std::size_t Group = static_cast<std::size_t>(
        std::ranges::count(this->Servers, Service, &ServerNode::Service));
    if (Ends.size() == Group && Primaries == 1 && logsConverged(Ends))
      co_return true;
    co_await sleepFor(PollDelay);
  }
  co_return false;
}

QCoro::Task<Result<std::vector<FinalRow>>>
Deployment::finalRows(std::string Service) {
  const auto Primary = co_await this->primaryOf(Service);
  if (!Primary)
    co_return makeError("service " + Service + " has no primary");
  auto Rows = co_await readFinalRows(this->Servers[*Primary].DirectAddress,
                                     Service, steadyNow() + FinalRowsTimeout);
  co_return Rows;
}

QCoro::Task<Result<std::string>>
Deployment::runControlTool(std::vector<std::string> Arguments) {
  Arguments.emplace_back("--platform-address");
  Arguments.push_back(this->PlatformDirect.str());
  ChildProcess Program(programPath("amaranthspurctl"), Arguments,
                       this->logFile("amaranthspurctl"));
  Program.launch();
  const auto Status =
      co_await Program.waitForExit(steadyNow() + ControlTimeout);
  if (!Status)
    co_return makeError("amaranthspurctl does not end");
  if (*Status != 0)
    co_return makeError("amaranthspurctl ended with " +
                        std::to_string(*Status) + ": " + Program.output());
  co_return Program.output();
}

QCoro::Task<Result<std::string>> Deployment::accept(QJsonObject Answers,
                                                    std::uint64_t From,
                                                    std::string Operation) {
  QTemporaryFile File;
  if (!File.open())
    co_return makeError("no temporary file can be made");
  File.write(QJsonDocument(Answers).toJson());
  File.close();
  auto Done = co_await this->runControlTool(
      acceptArguments(File.fileName().toStdString(), From, Operation));
  co_return Done;
}

} // namespace amaranthspur::bench
