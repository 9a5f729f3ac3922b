// An in-memory fake of one group of the platform's database servers.
//
// The primary keeps a log of commits, replicates each commit immediately to the
// replicas that receive replication, and acknowledges it once enough replicas
// hold it. Tests inject faults per server. The fake is deterministic: its state
// changes only during calls.
#ifndef AMARANTHSPUR_TESTING_LINEGROUP_LINEGROUP_H
#define AMARANTHSPUR_TESTING_LINEGROUP_LINEGROUP_H

#include "policy/GroupBeliefs.h"
#include "policy/Statement.h"
#include "root/groups/ServerLink.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace amaranthspur::linegroup {

/// The fault that a server applies to the statements it receives.
enum class LinkFault {
  None,
  Busy,       ///< The statement is refused without being run.
  LoseAnswer, ///< The statement runs, but the connection is lost
              ///< before the answer.
  Fail,       ///< The statement runs and fails.
};

/// The state and the injected faults of one server.
struct FakeServer {
  ServerId Id;
  ServerRole Role = ServerRole::Replica;
  Term TermNumber = 1;
  Term Adopted = 1;
  LogPosition Log;                 ///< Last position received.
  LogPosition Applied;             ///< Last position visible to reads.
  bool Reachable = true;           ///< False: connections are refused and lost.
  bool ReplicationStopped = false; ///< Receives no replication.
  bool Lags = false; ///< Receives replication without applying it.
  bool Draining = false;
  bool LosesAdoptedTerm = false; ///< Loses the adopted term after each PAUSE,
                                 ///< as a server that restarts does.
  Duration SetDelay{};           ///< Delay before a SET is acknowledged.
  Duration RunDelay{};           ///< Time that a read or a write takes.
  LinkFault Fault = LinkFault::None;
  std::vector<std::string>
      ExecutedStatements; ///< Texts of the statements that were run.
  unsigned StatusRequests = 0;
  unsigned OpenedConnections = 0;
  /// The workspace of each connection that was opened; empty for none.
  std::vector<std::string> OpenedFor;
  /// The workspace of the connection of each executed statement.
  std::vector<std::string> ExecutedFor;
};

/// A group of servers `a`, `b`, `c`; `a` is the primary of term 1.
class LineGroup final : public ServerConnector {
public:
  LineGroup();

  FakeServer &operator[](const std::string &Id) { return this->Servers.at(Id); }
  std::map<std::string, FakeServer> &servers() { return this->Servers; }

  /// Returns the registrations of all servers.
  std::vector<RegisteredServer> registrations() const;

  /// Makes \p Id the primary of the next term. Servers that have adopted a
  /// later term do not follow it.
  void promote(const std::string &Id);

  QCoro::Task<OpenedLink> open(RegisteredServer Server, WorkspaceName For,
                               TimePoint Deadline) override;

  /// Commits on server \p Id, if it is a primary.
  /// \returns whether at least SyncReplicas replicas hold the commit.
  bool commit(const std::string &Id);
  /// Copies the log of \p Id to every replica that receives replication.
  void replicate(const std::string &Id);
  /// Does so for each primary.
  void replicateAll();

  /// Number of replicas that must hold a commit before it is acknowledged.
  unsigned SyncReplicas = 1;
  /// Returns the time that it takes to open a connection to a server, whatever
  /// the deadline, as if the opener was suspended.
  std::function<Duration(const FakeServer &)> OpenDelay =
      [](const FakeServer &) { return Duration::zero(); };

private:
  std::map<std::string, FakeServer> Servers;
};

} // namespace amaranthspur::linegroup

#endif // AMARANTHSPUR_TESTING_LINEGROUP_LINEGROUP_H
