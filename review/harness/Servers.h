// Stand-ins of the backend servers: groups of one primary and its replicas that
// speak the line protocol and write their entries into the store.
//
// One lock guards a group. The primary appends a commit, hands it to each
// replica that receives from it, and acknowledges it when one of them has it. A
// replica shows a commit to reads ApplyMs after it has received it. A promotion
// takes effect PromoteMs after its order.
#ifndef REVIEW_HARNESS_SERVERS_H
#define REVIEW_HARNESS_SERVERS_H

#include "Store.h"

#include <atomic>
#include <sstream>

namespace review {

struct LogEntry {
  unsigned Term;
  std::string Id;
  bool operator==(const LogEntry &) const = default;
};

class Group;

class Server {
public:
  Server(Group &Of, std::string Id, std::string Zone, bool Primary)
      : Of(Of), Id(std::move(Id)), Zone(std::move(Zone)), Primary(Primary) {}
  bool start();
  /// Listens again on the same port.
  bool restart();

  // Guarded by the lock of the group.
  Group &Of;
  std::string Id, Zone;
  bool Primary;
  bool Draining = false;
  bool Gone = false;
  unsigned Term = 1;
  unsigned Held = 0; ///< Of a PAUSE; 0: none.
  std::vector<LogEntry> Log;
  std::vector<double> ReceivedAt; ///< Of each entry of Log.
  unsigned Sequence = 0;
  int Listener = -1;
  int Port = 0;
  long Born = 0; ///< In ms, from the start of the run.
  std::set<std::shared_ptr<Connection>> Open;

  std::size_t applied() const;
  std::string position(std::size_t Count) const {
    return Count == 0 ? "1.0"
                      : std::to_string(Log[Count - 1].Term) + "." +
                            std::to_string(Count);
  }
  std::string position() const {
    return position(Primary ? Log.size() : applied());
  }
  std::string status() const {
    return std::string(Primary ? "primary " : "replica ") +
           std::to_string(Term) + " " + position(Log.size()) + " " +
           std::to_string(Held) + " 0 0 " + std::to_string(Open.size());
  }

private:
  struct Conversation {
    std::shared_ptr<Connection> Stream;
    bool InTransaction = false, ReadOnly = false, Failed = false;
    std::vector<std::string> Writes;
    std::map<std::string, std::string> Prepared; ///< READ or WRITE, by name.
  };
  void acceptAll(int At);
  void serve(const std::shared_ptr<Connection> &C);
  std::string answer(Conversation &C, std::vector<std::string> Words);
  std::string run(Conversation &C, const std::string &Query,
                  const std::vector<std::string> &Words);
  std::string ready(const Conversation &C, const std::string &Lines) const {
    return Lines + "READY " +
           (C.Failed ? "E" : C.InTransaction ? "T" : "I") + " " + position() +
           "\r\n";
  }
  std::string refuse(Conversation &C, const char *Code) const {
    C.Failed = C.InTransaction;
    return ready(C, std::string("ERROR ") + Code + " " + Id + "\r\n");
  }
};

class Group {
public:
  Group(std::string Service, Store &Platform, Record &Events)
      : Service(std::move(Service)), Platform(Platform), Events(Events) {}

  Server *add(const std::string &Zone, bool Primary) {
    auto S = std::make_unique<Server>(
        *this, "i-" + Service + "-" + std::to_string(++Created), Zone, Primary);
    if (!S->start())
      return nullptr;
    const std::lock_guard<std::mutex> Lock(Mutex);
    if (Server *P = primary()) {
      S->Term = P->Term;
      S->Log = P->Log;
      S->ReceivedAt.assign(P->Log.size(), nowMs());
    }
    Servers.push_back(std::move(S));
    return Servers.back().get();
  }

  /// Writes the entries of all servers into the store.
  void report() {
    const std::lock_guard<std::mutex> Lock(Mutex);
    for (const auto &S : Servers)
      if (!S->Gone)
        reportOne(*S);
  }
  /// Reports that the primary is leaving. It goes on to serve.
  std::string drainPrimary() {
    const std::lock_guard<std::mutex> Lock(Mutex);
    Server *P = primary();
    P->Draining = true;
    reportOne(*P);
    Events.note(P->Id + ": the primary reports that it is draining");
    return P->Id;
  }
  /// Ends a server that was draining, and removes its entry.
  void leave(const std::string &Id) {
    const std::lock_guard<std::mutex> Lock(Mutex);
    for (const auto &S : Servers)
      if (S->Id == Id && !S->Gone) {
        stop(*S);
        Platform.remove("servers", Id);
        Events.note(Id + ": has left");
      }
  }
  /// Ends the process of the primary: connections are reset, and new ones are
  /// refused. \returns its id.
  std::string crashPrimary() {
    const std::lock_guard<std::mutex> Lock(Mutex);
    Server *P = primary();
    stop(*P);
    Events.note(P->Id + ": the primary crashes at " +
                P->position(P->Log.size()));
    return P->Id;
  }
  /// Starts a crashed server again with its log, as a replica if another one
  /// leads.
  void restart(const std::string &Id) {
    const std::lock_guard<std::mutex> Lock(Mutex);
    for (const auto &S : Servers)
      if (S->Id == Id && S->restart()) {
        S->Primary = S->Primary && !primary();
        S->Held = 0;
        S->Gone = false;
        Events.note(Id + ": is back: " + S->status());
        if (Server *P = primary())
          replicate(*P);
        reportOne(*S);
      }
  }
  /// Waits until a server other than \p Old leads. \returns its id.
  std::string awaitSuccessor(const std::string &Old, double TimeoutMs) {
    const double Until = nowMs() + TimeoutMs;
    while (nowMs() < Until) {
      {
        const std::lock_guard<std::mutex> Lock(Mutex);
        const Server *P = primary();
        if (P && P->Id != Old)
          return P->Id;
      }
      sleepMs(20);
    }
    return "";
  }

  int promote(const std::string &Target) {
    const std::lock_guard<std::mutex> Lock(Mutex);
    for (const auto &S : Servers) {
      if (S->Id != Target || S->Gone)
        continue;
      if (!S->Primary)
        std::thread([this, S = S.get()] { takeEffect(*S); }).detach();
      return 200;
    }
    return 409;
  }

  Server *primary() {
    Server *Best = nullptr;
    for (const auto &S : Servers)
      if (S->Primary && !S->Gone && (!Best || S->Term > Best->Term))
        Best = S.get();
    return Best;
  }

  /// Hands what \p From has to the servers that receive from it.
  /// \returns whether one of them has all of it.
  bool replicate(Server &From) {
    bool HeldByOne = false;
    for (const auto &S : Servers) {
      const bool Receives = S.get() != &From && !S->Gone && !S->Primary &&
                            From.Term >= S->Term &&
                            (S->Held == 0 || From.Term > S->Held);
      if (!Receives)
        continue;
      if (From.Term > S->Term) {
        S->Term = From.Term;
        S->Held = 0;
      }
      std::size_t Common = std::min(S->Log.size(), From.Log.size());
      while (Common > 0 && !(S->Log[Common - 1] == From.Log[Common - 1]))
        --Common;
      S->Log.resize(Common);
      S->ReceivedAt.resize(Common);
      for (std::size_t I = Common; I < From.Log.size(); ++I) {
        S->Log.push_back(From.Log[I]);
        S->ReceivedAt.push_back(nowMs());
      }
      HeldByOne = true;
    }
    return HeldByOne;
  }

  const std::string Service;
  Store &Platform;
  Record &Events;
  std::mutex Mutex;
  std::vector<std::unique_ptr<Server>> Servers;

  static constexpr double ApplyMs = 60;   ///< Replicas 60 ms behind.
  static constexpr double PromoteMs = 600;
  static constexpr double WorkMs = 9;
  static constexpr double OpenMs = 12;
  static constexpr std::size_t MaxConnections = 50;

private:
  static void stop(Server &S) {
    S.Gone = true;
    shutdown(S.Listener, SHUT_RDWR);
    for (const auto &C : S.Open)
      C->shut();
  }
  void reportOne(Server &S) {
    Platform.put(
        "servers", S.Id,
        "{\"service\":" + quoted(Service) + ",\"address\":" +
            quoted("127.0.0.1:" + std::to_string(S.Port)) +
            ",\"zone\":" + quoted(S.Zone) +
            ",\"version\":\"v1\",\"slots\":5,\"cold-ms\":0,\"state\":" +
            (S.Draining ? "\"draining\"" : "\"ready\"") + ",\"db-role\":" +
            (S.Primary ? "\"primary\"" : "\"replica\"") + ",\"sequence\":" +
            std::to_string(++S.Sequence) + ",\"born\":" +
            std::to_string(1700000000000 + S.Born) + "}");
  }
  void takeEffect(Server &S) {
    sleepMs(PromoteMs);
    const std::lock_guard<std::mutex> Lock(Mutex);
    if (S.Gone)
      return;
    unsigned Highest = 0;
    for (const auto &Other : Servers)
      Highest = std::max(Highest, Other->Term);
    S.Primary = true;
    S.Term = Highest + 1;
    // A promotion ends what PAUSE has begun.
    for (const auto &Other : Servers)
      Other->Held = 0;
    Events.note(S.Id + ": leads term " + std::to_string(S.Term) + " from " +
                S.position(S.Log.size()));
    // An old primary that can reach the new one gives up a second later.
    for (const auto &Other : Servers)
      if (Other.get() != &S && Other->Primary)
        std::thread([this, Old = Other.get(), T = S.Term] {
          sleepMs(1000);
          const std::lock_guard<std::mutex> Again(Mutex);
          if (Old->Term < T)
            Old->Primary = false;
        }).detach();
    replicate(S);
    reportOne(S);
  }

  unsigned Created = 0;
};

inline std::size_t Server::applied() const {
  std::size_t Count = Log.size();
  while (Count > 0 && ReceivedAt[Count - 1] + Group::ApplyMs > nowMs())
    --Count;
  return Count;
}

inline bool Server::start() {
  Listener = listenOn("127.0.0.1", 0);
  return Listener >= 0 && restart();
}

inline bool Server::restart() {
  if (Port != 0) {
    close(Listener);
    Listener = listenOn("127.0.0.1", Port);
  }
  if (Listener < 0)
    return false;
  Port = portOf(Listener);
  Born = static_cast<long>(nowMs());
  std::thread([this, At = Listener] { acceptAll(At); }).detach();
  return true;
}

inline void Server::acceptAll(int At) {
  while (true) {
    const int S = accept(At, nullptr, nullptr);
    if (S < 0)
      return;
    const auto C = std::make_shared<Connection>(S);
    std::thread([this, C] { serve(C); }).detach();
  }
}

inline std::vector<std::string> words(const std::string &Text) {
  std::istringstream In(Text);
  std::vector<std::string> Out;
  for (std::string W; In >> W;)
    Out.push_back(W);
  return Out;
}

inline void Server::serve(const std::shared_ptr<Connection> &Stream) {
  const std::optional<std::string> First = Stream->readLine();
  if (!First)
    return;
  const std::vector<std::string> Hello = words(*First);
  std::string Refusal;
  {
    const std::lock_guard<std::mutex> Lock(Of.Mutex);
    if (Gone)
      return;
    if (Hello.size() < 3 || Hello[0] != "CONNECT" || Hello[1] != Of.Service ||
        (Hello.size() > 3 && Hello[3] != Id))
      Refusal = "ERROR WRONGNODE " + Id + "\r\n";
    else if (Open.size() >= Group::MaxConnections)
      Refusal = "ERROR TOOMANY " + Id + "\r\n";
    else
      Open.insert(Stream);
  }
  if (!Refusal.empty()) {
    Stream->write(Refusal);
    return;
  }
  sleepMs(Group::OpenMs);
  Conversation C;
  C.Stream = Stream;
  std::string Greeting;
  {
    const std::lock_guard<std::mutex> Lock(Of.Mutex);
    Greeting = ready(C, "");
  }
  bool Good = Stream->write(Greeting);
  while (Good) {
    const std::optional<std::string> Line = Stream->readLine();
    std::vector<std::string> Words =
        Line ? words(*Line) : std::vector<std::string>();
    if (Words.size() < 3 || Words[0] != "QUERY")
      break;
    Words.erase(Words.begin());
    const std::string Reply = answer(C, std::move(Words));
    Good = !Reply.empty() && Stream->write(Reply);
  }
  const std::lock_guard<std::mutex> Lock(Of.Mutex);
  Open.erase(Stream);
}

inline std::string Server::answer(Conversation &C,
                                  std::vector<std::string> Words) {
  const std::string Query = Words[0];
  Words.erase(Words.begin());
  std::unique_lock<std::mutex> Lock(Of.Mutex);
  if (Words[0] == "WAITFOR" && Words.size() > 2) {
    const auto Parse = [](const std::string &Text) {
      return std::pair(std::stoul(Text),
                       std::stoul(Text.substr(Text.find('.') + 1)));
    };
    if (Parse(position()) < Parse(Words[1]))
      return refuse(C, "LAGGING");
    Words.erase(Words.begin(), Words.begin() + 2);
  }
  const std::string &Verb = Words[0];
  const unsigned T =
      Words.size() > 1 ? static_cast<unsigned>(atoi(Words[1].c_str())) : 0;
  const std::string Done = "COMPLETE -\r\n";
  if (Verb == "STATUS" || Verb == "PAUSE" || Verb == "RESUME" ||
      Verb == "STEPDOWN") {
    if (Verb == "PAUSE" && !Primary && T > std::max(Term, Held))
      Held = T;
    if (Verb == "RESUME" && Held != 0) {
      Held = 0;
      if (Server *P = Of.primary())
        Of.replicate(*P);
    }
    if (Verb == "STEPDOWN" && Primary && Term < T)
      Primary = false;
    if (Verb != "STATUS")
      Of.Events.note(Id + ": " + Verb + " " + std::to_string(T) + "; now " +
                     status());
    return ready(C, "ROW " + status() + "\r\n" + Done);
  }
  if (Verb == "ROLLBACK") {
    C.InTransaction = C.Failed = false;
    C.Writes.clear();
    return ready(C, Done);
  }
  if (Verb == "RESET")
    C.Prepared.clear();
  if (Verb == "PREPARE" && Words.size() > 2)
    C.Prepared[Words[1]] = Words[2];
  if (Verb == "SET" || Verb == "PREPARE" || Verb == "DEALLOC" ||
      Verb == "RESET")
    return ready(C, Done);
  if (C.Failed)
    return ready(C, "ERROR MALFORMED failed transaction\r\n");
  if (Verb == "BEGIN") {
    const bool ReadOnly = Words.size() > 1 && Words[1] == "READ";
    if (!ReadOnly && !Primary)
      return refuse(C, "READONLY");
    C.InTransaction = true;
    C.ReadOnly = ReadOnly;
    return ready(C, Done);
  }
  Lock.unlock();
  sleepMs(Group::WorkMs);
  Lock.lock();
  return Gone ? "" : run(C, Query, Words);
}

inline std::string Server::run(Conversation &C, const std::string &Query,
                               const std::vector<std::string> &Words) {
  std::string Verb = Words[0];
  if (Verb == "EXECUTE") {
    const auto Found = C.Prepared.find(Words.size() > 1 ? Words[1] : "");
    if (Found == C.Prepared.end())
      return refuse(C, "NOSTMT");
    Verb = Found->second;
  }
  const bool Commits = Verb == "COMMIT" || (Verb == "WRITE" && !C.InTransaction);
  const bool Plain = C.InTransaction && !C.ReadOnly;
  const bool Empty = Verb == "COMMIT" && C.Writes.empty();
  if (!Primary && !Empty && (Verb == "WRITE" || Plain))
    return refuse(C, "READONLY");
  const std::string Digest = "d." + Id + "." + Query;
  Of.Events.note(Id + ": runs " + Query + " " + Verb + " at " + position());
  if (Verb == "READ")
    return ready(C, "ROW r" + Query + "\r\nCOMPLETE " + Digest + "\r\n");
  if (Verb == "WRITE")
    C.Writes.push_back(Query);
  if (Commits) {
    const bool Wrote = !C.Writes.empty();
    C.InTransaction = false;
    for (const std::string &W : C.Writes) {
      Log.push_back({Term, W});
      ReceivedAt.push_back(0);
    }
    C.Writes.clear();
    // Without a replica that has it, a commit is not acknowledged.
    if (Wrote && !Of.replicate(*this))
      return "";
  }
  return ready(C, "COMPLETE " + Digest + "\r\n");
}

} // namespace review

#endif // REVIEW_HARNESS_SERVERS_H
