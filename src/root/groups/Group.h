// One group of backend servers, as this entry VM uses it.
//
// Owns the beliefs about the group, a pool of connections per server and three
// tasks: one obtains proofs of leadership for the reads that wait for them, one
// samples the end of the primary's log while the group is in use, and one
// closes connections that were idle for too long. The takeover of the group is
// a child of its own (GroupWatch.h).
#ifndef AMARANTHSPUR_ROOT_GROUPS_GROUP_H
#define AMARANTHSPUR_ROOT_GROUPS_GROUP_H

#include "core/Async.h"
#include "policy/Freshness.h"
#include "policy/GroupBeliefs.h"
#include "root/groups/ServerPool.h"

#include <map>
#include <memory>
#include <set>

namespace amaranthspur {

/// One group. Tasks of sessions keep it alive by a shared pointer.
class Group {
public:
  /// Interval of reports of the primary's position while sessions read with a
  /// staleness bound; less than half of the smallest bound of the sites,
  /// 1,500 ms, so that one report may be missed.
  static constexpr Duration SampleInterval = milliseconds(650);
  /// A group without reads for this time is not sampled.
  static constexpr Duration UseLimit = std::chrono::seconds(2);
  /// Time for one status call; a round trip between regions takes 16 ms, and a
  /// slot may be waited for behind long statements.
  static constexpr Duration StatusLimit = milliseconds(300);
  /// Pause after all replicas failed to give a proof.
  static constexpr Duration ProofRetry = milliseconds(30);
  /// A server that answered this recently lives, even if it refuses a
  /// connection: it resets those beyond its limit.
  static constexpr Duration AliveFor = milliseconds(250);
  /// Shortest and longest time between two looks at idle connections: the limit
  /// while connections are scarce, and the one for surplus connections.
  static constexpr Duration ShortestCloseInterval =
      ConnectionShare::ScarceIdleLimit;
  static constexpr Duration LongestCloseInterval =
      ConnectionShare::SurplusIdleLimit;
  /// Urgency of this entry VM's own calls: all others wait for what they tell.
  static constexpr unsigned ControlUrgency = 0;

  /// All references outlive the group.
  Group(ServiceName Name, ServerConnector &Connector, const Locality &Where);
  Group(const Group &) = delete;
  Group &operator=(const Group &) = delete;
  ~Group();

  /// Starts the tasks. To be called once.
  void start();
  /// Ends the tasks; returns when they have ended.
  QCoro::Task<> stop();

  /// Takes in limits and servers.
  void configure(const ServiceLimits &Limits,
                 const std::vector<RegisteredServer> &Servers);

  const ServiceName &name() const { return this->Name; }
  const ServiceLimits &limits() const { return this->Limits; }
  GroupBeliefs &beliefs() { return this->Beliefs; }
  const Freshness &freshness() const { return this->Fresh; }
  ServerConnector &connector() { return this->Connector; }
  const Locality &where() const { return this->Where; }

  /// Returns the pool of \p Id, or null if the server is gone.
  std::shared_ptr<ServerPool> pool(const ServerId &Id);

  /// Waits until the primary of \p T is proved to have led at \p Since.
  /// \param Since on the clock that counts suspension.
  /// \returns false if that was not so by \p Deadline or another term is
  /// believed to have begun.
  QCoro::Task<bool> proved(Term T, TimePoint Since, TimePoint Deadline);

  /// Returns whether an acknowledged commit says by itself that its primary had
  /// not been superseded: a replica had to hold it.
  bool commitsAreProofs() const { return this->Limits.SyncReplicas > 0; }

  /// Returns the lowest known position that covers every commit acknowledged
  /// before \p Since, and keeps samples coming.
  std::optional<LogPosition> floorAsOf(TimePoint Since);

  /// A server answered a statement that was sent at \p SentAt (a time of the
  /// clock that counts suspension).
  void answered(const ServerId &Id, const Answer &A, TimePoint SentAt);
  /// The server that was believed to lead acknowledged a commit.
  void committed(const ServerId &Id, const Answer &A, TimePoint SentAt);
  /// A server could not be reached, or a connection to it was lost.
  void failed(const ServerId &Id, const std::string &Why);
  /// A connection to a server could not be opened.
  void openFailed(const ServerId &Id, const OpenFailure &Failure);
  /// A server gave a sign of life.
  void markAlive(const ServerId &Id);
  /// A server refused a write because it does not lead.
  void markNotPrimary(const ServerId &Id);
  /// A fresh report came.
  void reported(const ServerId &Id, const ServerReport &Report);

  /// Highest position of a commit that this entry VM saw acknowledged.
  LogPosition acknowledged() const { return this->Acknowledged; }

  /// Writes that wait for their acknowledgement; the oldest start is what the
  /// watch looks at.
  std::multiset<TimePoint> &pendingWrites() { return this->PendingWrites; }

  /// Returns whether any server answered lately or has not failed.
  bool reachable() const;

  /// Woken when beliefs change in a way that may concern the watch.
  WaitPoint &watchWake() { return this->WatchWake; }
  /// Notified when the believed primary changes.
  Signal &primaryChanged() { return this->PrimaryChange; }

private:
  QCoro::Task<> proveLeadership();
  QCoro::Task<> samplePrimary();
  QCoro::Task<> countConnections();
  QCoro::Task<> closeIdle();
  QCoro::Task<bool> proveOnce();
  QCoro::Task<bool> proveByReplica(ServerId Id, Term T);
  /// Returns a status over a connection of the pool of \p Id.
  QCoro::Task<std::optional<ServerReport>> controlStatus(ServerId Id);
  std::vector<ServerId> proofOrder(const BelievedPrimary &Leader) const;
  void noticePrimary();

  ServiceName Name;
  ServerConnector &Connector;
  const Locality &Where;
  ServiceLimits Limits;
  GroupBeliefs Beliefs;
  Freshness Fresh;
  std::map<ServerId, std::shared_ptr<ServerPool>> Pools;
  std::optional<BelievedPrimary> LastPrimary;
  LogPosition Acknowledged;
  std::multiset<TimePoint> PendingWrites;
  TimePoint ProofWantedFor{}; ///< Latest time for which a proof is wanted.
  TimePoint LastUse{};        ///< Of floors; steady clock.
  WaitPoint ProveWake;
  WaitPoint SampleWake;
  WaitPoint CloseWake;
  WaitPoint WatchWake;
  Signal Proved;
  Signal PrimaryChange;
  TaskGroup Tasks;
  bool Stopping = false;
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_ROOT_GROUPS_GROUP_H
