// Entry VMs started with the run line of the deploy file, callers, and a small
// deployment of them with the platform and groups of servers.
#ifndef REVIEW_HARNESS_SITE_H
#define REVIEW_HARNESS_SITE_H

#include "Servers.h"

#include <csignal>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <sys/wait.h>

namespace review {

/// Exit codes of a case.
enum Outcome { Held = 0, Broken = 1, CouldNotRun = 2 };

inline const std::vector<std::pair<std::string, std::string>> Zones = {
    {"joburg-a", "gauteng"},
    {"paarl-a", "westcape"},
    {"pretoria-b", "gauteng"}};

/// One entry VM: a process with a loopback address of its own.
struct EntryVm {
  std::string Name, Zone, Ip, Directory;
  pid_t Process = -1;

  static constexpr int FrontPort = 8784;
  static constexpr int ReadyPort = 8785;
  static constexpr int MetricsPort = 9464;
  static constexpr int RelayPort = 7440;

  /// Starts the process. \param Command the run line of the deploy file.
  void start(const std::string &Command, int Store, int Cloud) {
    std::vector<std::string> Words = fill(Command, Store, Cloud);
    Process = fork();
    if (Process != 0)
      return;
    const int Log = open((Directory + "/" + Name + ".log").c_str(),
                         O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(Log, 1);
    dup2(Log, 2);
    std::vector<char *> Arguments;
    for (std::string &W : Words)
      Arguments.push_back(W.data());
    Arguments.push_back(nullptr);
    execv(Arguments[0], Arguments.data());
    _exit(127);
  }

  bool ready() const {
    const int S = connectTo(Ip, ReadyPort);
    if (S < 0)
      return false;
    Connection C(S);
    C.write("GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    const auto Line = C.readLine(1000);
    return Line && Line->find(" 200") != std::string::npos;
  }

  /// Sends SIGTERM, and SIGKILL after the grace time of the deploy file.
  void end() {
    if (Process <= 0)
      return;
    kill(Process, SIGCONT);
    kill(Process, SIGTERM);
    constexpr double GraceMs = 6000;
    const double Until = nowMs() + GraceMs;
    while (waitpid(Process, nullptr, WNOHANG) == 0) {
      if (nowMs() > Until)
        kill(Process, SIGKILL);
      sleepMs(20);
    }
    Process = -1;
  }

private:
  std::vector<std::string> fill(std::string Text, int Store, int Cloud) const {
    std::string Regions;
    for (const auto &[Zone, Region] : Zones)
      Regions += (Regions.empty() ? "" : ",") + Zone + "=" + Region;
    const std::size_t From = Text.find("{{#zones}}");
    const std::string Close = "{{/zones}}";
    if (From != std::string::npos)
      Text.replace(From, Text.find(Close) + Close.size() - From, Regions);
    const std::map<std::string, std::string> Values = {
        {"node", Name},
        {"zone", Zone},
        {"ip", Ip},
        {"listen.front", Ip + ":" + std::to_string(FrontPort)},
        {"listen.readiness", Ip + ":" + std::to_string(ReadyPort)},
        {"internal-ports.0", std::to_string(RelayPort)},
        {"platform.address", "127.0.0.1:" + std::to_string(Store)},
        {"cloud.address", "127.0.0.1:" + std::to_string(Cloud)},
        {"limits.cpu-share", "0.25"},
        {"bounds.config-apply-ms", "3000"}};
    for (std::size_t At = 0; (At = Text.find("{{", At)) != std::string::npos;) {
      const std::size_t End = Text.find("}}", At);
      const auto Found = Values.find(Text.substr(At + 2, End - At - 2));
      Text.replace(At, End + 2 - At,
                   Found == Values.end() ? "" : Found->second);
    }
    return words(Text);
  }
};

/// A session with an entry VM.
class Caller {
public:
  /// \returns why the session was not accepted, or an empty text.
  std::string open(const EntryVm &At, const std::string &Database) {
    const int S = connectTo(At.Ip, EntryVm::FrontPort);
    if (S < 0)
      return "no connection";
    Stream = std::make_unique<Connection>(S);
    Stream->write("CONNECT " + Database + " review\r\n");
    const auto Line = Stream->readLine(2000);
    if (!Line)
      return "no answer";
    return Line->starts_with("READY") ? "" : *Line;
  }
  /// Runs a statement. \returns the COMPLETE or ERROR line with the READY line,
  /// or an empty text if there was no whole answer.
  std::string query(const std::string &Id, const std::string &Text,
                    int TimeoutMs = 5000) {
    if (!Stream || !Stream->write("QUERY " + Id + " " + Text + "\r\n"))
      return "";
    std::string Result;
    while (const auto Line = Stream->readLine(TimeoutMs)) {
      if (Line->starts_with("READY"))
        return Result + " | " + *Line;
      if (!Line->starts_with("ROW"))
        Result = *Line;
    }
    return "";
  }
  void leave() { Stream.reset(); }

private:
  std::unique_ptr<Connection> Stream;
};

/// Database names of a group, by kind of route.
inline std::string database(int Group, const std::string &Kind) {
  return "db" + std::to_string(Group) + "-" + Kind;
}

/// The whole deployment.
class Site {
public:
  /// \param Folder of the case; record.txt is written there.
  Site(const std::string &Folder, bool Trouble)
      : Events(Folder + "/record.txt"), Platform(Events), Trouble(Trouble) {
    Events.note(Trouble ? "with the disruption" : "without the disruption");
  }

  /// Ends all processes and removes their logs. The stand-ins stay: their
  /// threads may still wait at sockets.
  void stop() {
    Stopping = true;
    for (std::thread &T : Workers)
      T.join();
    for (EntryVm &Vm : Vms)
      if (Vm.Process > 0)
        kill(Vm.Process, SIGCONT);
    std::vector<std::thread> Ending;
    for (EntryVm &Vm : Vms)
      Ending.emplace_back([&Vm] { Vm.end(); });
    for (std::thread &T : Ending)
      T.join();
    if (!Directory.empty() && !getenv("KEEP_LOGS"))
      for (const EntryVm &Vm : Vms)
        unlink((Directory + "/" + Vm.Name + ".log").c_str());
    if (!Directory.empty() && !getenv("KEEP_LOGS"))
      rmdir(Directory.c_str());
  }

  /// Starts groups of three servers, the platform and entry VMs, and waits
  /// until all VMs are ready.
  bool start(int GroupCount, int VmCount) {
    signal(SIGPIPE, SIG_IGN);
    const std::string Command = runLine();
    if (Command.empty() || !makeDirectory() || !chooseNetwork(VmCount))
      return false;
    for (int I = 1; I <= GroupCount; ++I) {
      Groups.push_back(std::make_unique<Group>("svc" + std::to_string(I),
                                               Platform, Events));
      for (std::size_t Z = 0; Z < Zones.size(); ++Z)
        if (!Groups.back()->add(Zones[Z].first, Z == 0))
          return false;
    }
    const bool Listening =
        Platform.start([this](const std::string &S, const std::string &Id) {
          for (const auto &G : Groups)
            if (G->Service == S)
              return G->promote(Id);
          return 404;
        });
    if (!Listening)
      return false;
    configure({});
    for (const auto &G : Groups)
      G->report();
    // The servers write their entries about every heartbeat-ms.
    for (const auto &G : Groups)
      Workers.emplace_back([this, G = G.get()] {
        for (double Next = nowMs(); !Stopping; sleepMs(20))
          if (nowMs() >= Next) {
            G->report();
            Next += HeartbeatMs;
          }
      });
    for (int I = 0; I < VmCount; ++I) {
      EntryVm Vm;
      Vm.Zone = Zones[static_cast<std::size_t>(I) % Zones.size()].first;
      Vm.Name = "front-" + Vm.Zone + "-" +
                std::to_string(I / static_cast<int>(Zones.size()) + 1);
      Vm.Ip = Network + std::to_string(I + 1);
      Vm.Directory = Directory;
      Vms.push_back(Vm);
    }
    for (EntryVm &Vm : Vms)
      Vm.start(Command, Platform.rowsPort(), Platform.ordersPort());
    const double Until = nowMs() + 15000;
    bool Ready = false;
    while (!Ready && nowMs() < Until) {
      sleepMs(100);
      Ready = std::all_of(Vms.begin(), Vms.end(),
                          [](const EntryVm &Vm) { return Vm.ready(); });
    }
    Events.note(Ready ? "all entry VMs are ready" : "not all VMs are ready");
    return Ready;
  }

  /// Writes the newest manifest: the standing routes and \p Extra, databases on
  /// primary routes of the first service. \returns its row version.
  std::uint64_t configure(const std::vector<std::string> &Extra,
                          bool Again = false) {
    if (!Again)
      ManifestVersion += 3;
    std::string Routes, Services;
    const auto AddRoute = [&Routes](const std::string &Host,
                                    const std::string &Service,
                                    const std::string &Kind,
                                    const std::string &Rest) {
      Routes += (Routes.empty() ? "" : ",") + ("{\"name\":\"r-" + Host) +
                "\",\"host\":\"" + Host + "\",\"prefix\":\"/\"," +
                "\"route-type\":\"" + Kind + "\",\"service\":\"" + Service +
                "\",\"max-attempts\":2," + Rest + "}";
    };
    for (std::size_t I = 0; I < Groups.size(); ++I) {
      const int N = static_cast<int>(I) + 1;
      const std::string &S = Groups[I]->Service;
      AddRoute(database(N, "primary"), S, "primary",
               "\"timeout-ms\":1000,\"latency-goal-ms\":400,\"priority\":1");
      AddRoute(database(N, "bounded"), S, "bounded_stale",
               "\"timeout-ms\":3000,\"latency-goal-ms\":1000,\"priority\":2,"
               "\"max-staleness-ms\":1500");
      AddRoute(database(N, "own"), S, "read_your_writes",
               "\"timeout-ms\":1000,\"latency-goal-ms\":800,\"priority\":2,"
               "\"max-staleness-ms\":2500");
      Services += std::string(Services.empty() ? "" : ",") + "{\"name\":\"" +
                  S + "\",\"health-path\":\"/health\",\"max-conns\":33," +
                  "\"protocol\":\"h1\",\"tls\":false,\"sync-replicas\":1}";
    }
    for (const std::string &Host : Extra)
      AddRoute(Host, Groups.front()->Service, "primary",
               "\"timeout-ms\":1000,\"latency-goal-ms\":400,\"priority\":1");
    const std::uint64_t Row = Platform.put(
        "op", "config",
        "{\"version\":" + std::to_string(ManifestVersion) + ",\"routes\":[" +
            Routes + "],\"services\":[" + Services +
            "],\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":"
            "262144,\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000,"
            "\"tx-idle-ms\":3000}}");
    Events.note("operator: manifest " + std::to_string(ManifestVersion) +
                " acknowledged as row version " + std::to_string(Row) +
                (Again ? " (written again)" : ""));
    return Row;
  }

  /// The store is away for \p AwayMs and comes back from the copy made before.
  /// What the operator and the servers wrote is written again at once.
  void drill(double AwayMs, const std::vector<std::string> &Extra) {
    Platform.goAway();
    sleepMs(AwayMs);
    Platform.comeBack();
    configure(Extra, true);
    for (const auto &G : Groups)
      G->report();
  }

  /// Callers write and read on each VM until the site ends, to show that the
  /// deployment serves.
  void startCallers() {
    for (std::size_t I = 0; I < Vms.size(); ++I)
      Workers.emplace_back([this, I] { call(I); });
  }

  Record Events;
  Store Platform;
  const bool Trouble;
  std::vector<std::unique_ptr<Group>> Groups;
  std::vector<EntryVm> Vms;
  std::atomic<unsigned> Served{0}, Refused{0};

private:
  static constexpr double HeartbeatMs = 1200;

  void call(std::size_t I) {
    Caller C;
    bool Open = false;
    for (unsigned N = 0; !Stopping; ++N) {
      const int G = static_cast<int>(N % Groups.size()) + 1;
      const std::string Kind = N % 3 == 0 ? "primary" : "own";
      Open = C.open(Vms[I], database(G, Kind)).empty();
      const std::string Id = "c" + std::to_string(I) + "-" + std::to_string(N);
      const std::string Text =
          N % 3 == 2 ? "READ k" + std::to_string(N % 7)
                     : "WRITE k" + std::to_string(N % 7) + " v" + Id;
      const std::string A = Open ? C.query(Id, Text) : "";
      const bool Good = A.starts_with("COMPLETE");
      ++(Good ? Served : Refused);
      Events.note(Vms[I].Name + ": " + Id + " " + Text + " -> " +
                  (A.empty() ? "no answer" : A));
      sleepMs(150);
    }
  }

  static std::string runLine() {
    std::ifstream In("deploy/system.toml");
    for (std::string Line; std::getline(In, Line);)
      if (Line.starts_with("run = \""))
        return Line.substr(7, Line.rfind('"') - 7);
    return "";
  }
  bool makeDirectory() {
    char Name[] = "/tmp/review-XXXXXX";
    const char *Made = mkdtemp(Name);
    Directory = Made ? Made : "";
    return Made != nullptr;
  }
  /// Chooses loopback addresses on which the ports of the VMs are free.
  bool chooseNetwork(int VmCount) {
    for (int Try = 0; Try < 50; ++Try) {
      const int N = (getpid() + Try * 37) % 60000;
      Network = "127." + std::to_string(20 + N / 250) + "." +
                std::to_string(1 + N % 250) + ".";
      bool Free = true;
      for (int I = 1; I <= VmCount; ++I)
        for (const int Port : {EntryVm::FrontPort, EntryVm::ReadyPort,
                               EntryVm::MetricsPort, EntryVm::RelayPort}) {
          const int S = listenOn(Network + std::to_string(I), Port);
          Free = Free && S >= 0;
          if (S >= 0)
            close(S);
        }
      if (Free)
        return true;
    }
    return false;
  }

  std::string Directory, Network;
  std::vector<std::thread> Workers;
  std::atomic<bool> Stopping{false};
  unsigned ManifestVersion = 1;
};

/// Runs a case with the folder of the first argument; TROUBLE=0 leaves the
/// disruption out.
template <typename Case> int runCase(int Count, char **Arguments, Case Run) {
  if (Count != 2)
    return CouldNotRun;
  const char *Trouble = getenv("TROUBLE");
  Site &S = *new Site(Arguments[1], !Trouble || std::string(Trouble) != "0");
  const int Result = Run(S);
  S.stop();
  S.Events.note("result: " + std::to_string(Result));
  printf("%s\n", Result == Held     ? "the rule held"
                 : Result == Broken ? "the rule was broken"
                                    : "the case could not run");
  fflush(stdout);
  _exit(Result);
}

} // namespace review

#endif // REVIEW_HARNESS_SITE_H
