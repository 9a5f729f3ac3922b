// Stand-in for one group of the platform's database servers, in memory.
//
// A server keeps a log of commits, replicates at once to the servers that
// receive, and acknowledges a commit once a replica holds it. Tests set faults
// per server. Deterministic: nothing happens but in calls.
#ifndef AMARANTHSPUR_TESTING_LINEGROUP_LINEGROUP_H
#define AMARANTHSPUR_TESTING_LINEGROUP_LINEGROUP_H

#include "policy/GroupBeliefs.h"
#include "policy/Statement.h"
#include "root/groups/ServerLink.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace amaranthspur::linegroup {

/// What happens to the next statements of a server.
enum class LinkFault {
  None,
  Busy,       ///< Refused as not run.
  LoseAnswer, ///< Run; the connection is lost before the answer.
  Fail,       ///< Run and failed.
};

/// One server.
struct Server {
  ServerId Id;
  ServerRole Role = ServerRole::Replica;
  Term TermNumber = 1;
  Term Adopted = 1;
  LogPosition Log;       ///< Received.
  LogPosition Applied;   ///< Of reads.
  bool Reachable = true; ///< Otherwise nothing connects, links are lost.
  bool Deaf = false;     ///< Receives nothing.
  bool Lags = false;     ///< Receives and does not apply.
  bool Draining = false;
  bool ForgetsAdoption = false; ///< Restarts after each adoption.
  Duration SetTime{};           ///< Until a setting is acknowledged.
  LinkFault Fault = LinkFault::None;
  std::vector<std::string> Ran; ///< Texts of statements that were run.
  unsigned Statuses = 0;
  unsigned Opened = 0;
};

/// A group of servers `a`, `b`, `c`; `a` is the primary of term 1.
class LineGroup final : public ServerConnector {
public:
  LineGroup();

  Server &operator[](const std::string &Id) { return this->Servers.at(Id); }
  std::map<std::string, Server> &servers() { return this->Servers; }

  /// Returns the registrations of all servers.
  std::vector<RegisteredServer> registrations() const;

  /// Makes \p Id the primary of the next term.
  void promote(const std::string &Id);

  QCoro::Task<OpenedLink> open(RegisteredServer Server,
                               TimePoint Deadline) override;

  /// Carries out a commit on \p Id.
  /// \returns whether enough replicas hold it.
  bool commit(const std::string &Id);
  /// Lets every replica that receives catch up with \p Id.
  void replicate(const std::string &Id);

  /// Replicas that have to hold a commit before it is acknowledged.
  unsigned SyncReplicas = 1;

private:
  std::map<std::string, Server> Servers;
};

} // namespace amaranthspur::linegroup

#endif // AMARANTHSPUR_TESTING_LINEGROUP_LINEGROUP_H
