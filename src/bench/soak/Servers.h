// Groups of database servers of a soak.
//
// The servers speak the users' line protocol. The primary of a group replicates
// each commit to the replicas over links with a delay, and acknowledges it once
// a replica has received it. A promotion takes effect some hundred milliseconds
// after its order.
#ifndef AMARANTHSPUR_BENCH_SOAK_SERVERS_H
#define AMARANTHSPUR_BENCH_SOAK_SERVERS_H

#include "bench/soak/Links.h"
#include "bench/soak/Record.h"
#include "bench/soak/Store.h"
#include "bench/soak/TextStream.h"
#include "policy/GroupBeliefs.h"

#include <QObject>

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace amaranthspur::bench::soak {

class ServerGroup;

/// One database server.
class DatabaseServer {
public:
  DatabaseServer(ServerGroup &Group, std::string Id, unsigned DataCentre,
                 ServerRole Role);
  DatabaseServer(const DatabaseServer &) = delete;
  DatabaseServer &operator=(const DatabaseServer &) = delete;

  const std::string &id() const { return this->Id; }
  unsigned dataCentre() const { return this->DataCentre; }
  ServerRole role() const { return this->Role; }
  unsigned term() const { return this->Term; }
  bool running() const { return this->Running; }
  bool draining() const { return this->Draining; }
  /// Returns whether the store has accepted that the server is draining.
  bool drainAccepted() const { return this->DrainAccepted; }
  LogView log() const { return {this->Log, this->Log->size()}; }

  /// Listens, also again after a crash. \returns whether that succeeded.
  bool listen();
  /// Writes the server's entry into the store.
  void report();
  /// Reports that the server is draining.
  void drain();
  /// Ends the process: connections are reset.
  void crash();
  /// Starts again with the log, or with nothing.
  void restart(bool KeepLog);
  /// Takes over the log, the term, the role and the address of \p Crashed,
  /// which does not come back under its own ID. restart() must follow.
  void replace(DatabaseServer &Crashed);
  /// Leaves for good.
  void leave();
  /// Makes the server receive nothing from its primary, or receive again.
  void setDeaf(bool Deaf);
  /// Cuts the server off from \p Others.
  void cutOff(const std::vector<DatabaseServer *> &Others);
  /// Ends cutOff().
  void rejoin();
  /// Returns the path of an entry VM to this server, or null.
  Path *pathFrom(const std::string &Vm) { return this->Front->find(Vm); }

  /// Takes over the log of \p Primary as the start of a new replica.
  void copyLog(const DatabaseServer &Primary);
  /// Sends the log as it is now; it arrives after the delay of the link.
  void sendLog(DatabaseServer &To);
  /// The promotion of this server takes effect.
  void lead(unsigned NewTerm);
  /// A pause of replication ends with a promotion to \p NewTerm.
  void endPause(unsigned NewTerm);

private:
  /// What the entry VMs connect to. It stays when a server takes over the
  /// address of another one.
  struct FrontEnd {
    explicit FrontEnd(ServerGroup &Group) : Group(Group) {}
    Path *find(const std::string &Vm);

    ServerGroup &Group;
    std::map<std::string, Path> Paths; ///< By entry VM.
    std::unique_ptr<LinkListener> Links;
  };
  /// The state of one connection.
  struct Conversation {
    std::shared_ptr<TextStream> Stream;
    std::string Name; ///< Told on CONNECT.
    unsigned Number = 0;
    unsigned Start = 0; ///< Of the server, when the connection was opened.
    bool InTransaction = false;
    bool ReadOnly = false;
    bool Failed = false;
    bool Wrote = false;
    std::string Value;
    /// Access and shape by name.
    std::map<std::string, std::pair<std::string, std::string>> Prepared;
  };
  /// A commit that waits until a replica holds it.
  struct Pending {
    std::size_t Number = 0;
    WaitPoint Done;
    std::optional<bool> Held;
  };

  QCoro::Task<> serve(std::shared_ptr<TextStream> Stream);
  bool welcome(Conversation &C, const std::string &Line);
  /// \returns false if the connection ends.
  QCoro::Task<bool> answer(Conversation &C, std::string Line);
  bool answerControl(Conversation &C, const std::vector<std::string> &Words);
  bool answerLocal(Conversation &C, const std::vector<std::string> &Words);
  bool answerBegin(Conversation &C, const std::vector<std::string> &Words);
  QCoro::Task<bool> runStatement(Conversation &C, std::string Query,
                                 std::vector<std::string> Words);
  QCoro::Task<bool> commit(Conversation &C, std::string Query);
  bool refuse(Conversation &C, const char *Code);
  bool reply(Conversation &C, const std::string &Lines);
  /// Records \p Line if it contains a key.
  void noteKey(const std::string &Line);
  bool alive(const Conversation &C) const;
  std::string status() const;
  std::string position() const;
  std::string positionOf(std::size_t Count) const;

  void receive(DatabaseServer &From, unsigned FromTerm, const LogView &Sent);
  void apply(std::size_t Count);
  void confirm(unsigned OfTerm, std::size_t Count);
  void stepDown(unsigned NewTerm);
  void failPending();
  bool reaches(const DatabaseServer &Other) const;
  void hear(unsigned NewTerm);

  ServerGroup &Group;
  std::string Id;
  unsigned DataCentre;
  ServerRole Role;
  unsigned Term = 1;
  unsigned HeldTerm = 0;  ///< Of a PAUSE; 0: none.
  unsigned LeastTerm = 0; ///< Records of earlier primaries are not received.
  bool Deaf = false;
  bool Draining = false;
  bool DrainAccepted = false;
  bool Running = true;
  bool Left = false; ///< For good.
  unsigned Starts = 0;
  unsigned Sequence = 0;
  double BornAt = 0;
  std::shared_ptr<std::vector<unsigned>> Log =
      std::make_shared<std::vector<unsigned>>();
  std::size_t Applied = 0;
  DatabaseServer *Leader = nullptr;
  std::set<const DatabaseServer *> CutOffFrom;
  std::unique_ptr<QTcpServer> Listener;
  std::uint16_t Port = 0;
  std::unique_ptr<FrontEnd> Front;
  std::set<std::shared_ptr<TextStream>> Streams;
  std::set<Pending *> Waiting;
  unsigned BusySlots = 0;
  TaskCondition SlotFreed;
};

/// The servers of one service.
class ServerGroup {
public:
  /// Returns the name of the entry VM that has connected from the first port
  /// to the second, or nothing.
  using OwnerLookup = std::function<std::string(std::uint16_t, std::uint16_t)>;

  /// \param FindPath returns the path of an entry VM to the servers.
  ServerGroup(unsigned Number, Store &Platform, Record &Events,
              TaskGroup &Tasks,
              std::function<Path *(const std::string &)> FindPath,
              OwnerLookup FindOwner);

  unsigned number() const { return this->Number; }
  std::string service() const;

  /// Starts a server. \returns null if it cannot listen.
  DatabaseServer *add(unsigned DataCentre, ServerRole Role);
  /// Returns the running primary of the latest term, or null.
  DatabaseServer *primary();
  DatabaseServer *find(const std::string &Id);
  /// Returns the running servers.
  std::vector<DatabaseServer *> running();
  /// Starts a server with the log and at the address of \p Crashed.
  void replace(DatabaseServer &Crashed);
  /// Orders a promotion, which is carried out \p Late later. \returns the
  /// status of the answer.
  int promote(const std::string &Target, Duration Late);
  /// Ends all servers.
  void stop();

private:
  friend class DatabaseServer;
  std::string nextId();
  void takeEffect(DatabaseServer &Target);
  /// Calls \p Call after the delay of the link between two data centres.
  void after(unsigned From, unsigned To, std::function<void()> Call);

  unsigned Number;
  Store &Platform;
  Record &Events;
  TaskGroup &Tasks;
  std::function<Path *(const std::string &)> FindPath;
  OwnerLookup FindOwner;
  std::vector<std::unique_ptr<DatabaseServer>> Servers;
  unsigned Created = 0;
  QObject Context; ///< Delayed calls end with it.
};

/// Names of the data centres; the first two are in one region.
inline constexpr std::array<const char *, 3> DataCentres = {
    "montevideo", "canelones", "paysandu"};
inline constexpr std::array<const char *, 3> Regions = {"sur", "sur",
                                                        "litoral"};

} // namespace amaranthspur::bench::soak

#endif // AMARANTHSPUR_BENCH_SOAK_SERVERS_H
