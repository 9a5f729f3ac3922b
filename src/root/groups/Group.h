// One group of backend servers, as this entry VM uses it.
//
// A group owns the beliefs about its servers, a connection pool per server and
// three tasks. The first obtains proofs that the primary still leads, for the
// reads and commits that wait for one. The second samples the end of the
// primary's log while sessions read from the group. The third closes
// connections that were idle for too long. Replicas that hold acknowledged
// commits are found by a part of its own (HolderSearch.h), and another one
// decides how long statements wait for the primary (PrimaryOutages.h).
// Takeovers are carried out by a separate object (GroupMonitor.h).
#ifndef AMARANTHSPUR_ROOT_GROUPS_GROUP_H
#define AMARANTHSPUR_ROOT_GROUPS_GROUP_H

#include "core/Async.h"
#include "core/Random.h"
#include "policy/ForwarderChoice.h"
#include "policy/Freshness.h"
#include "policy/GroupBeliefs.h"
#include "policy/LeadershipProof.h"
#include "policy/LeavingLogs.h"
#include "root/groups/ClaimReader.h"
#include "root/groups/HolderSearch.h"
#include "root/groups/MissingCommitAlarm.h"
#include "root/groups/PrimaryOutages.h"
#include "root/groups/ServerPool.h"
#include "root/relay/EvidenceBoard.h"

#include <map>
#include <memory>
#include <random>
#include <set>

namespace amaranthspur {

/// One group. Session tasks keep it alive through a shared pointer.
class Group final : private ReplicaAccess, private PrimaryAccess {
public:
  /// Interval at which the primary's log position is sampled while sessions
  /// read with a staleness bound. It is less than half of the smallest bound in
  /// the deployments, 1,500 ms, so that one sample may be missed.
  static constexpr Duration SampleInterval = milliseconds(650);
  /// The same for a relay, which samples for all entry VMs of its data centre.
  /// With the interval of the followers' requests it stays below the smallest
  /// bound.
  static constexpr Duration RelaySampleInterval = milliseconds(550);
  /// A follower samples the primary itself if the relay's evidence is older
  /// than this.
  static constexpr Duration MaxEvidenceAge = milliseconds(1250);
  /// Age up to which the position of a replica is passed on. Replicas that lag
  /// are probed every 2 s at least.
  static constexpr Duration ReplicaMaxAge =
      ReplicaProgress::LongestProbeInterval;
  /// Time limit of a proof by the relay: a round trip within the data centre
  /// and one to a replica. After a failure the group proves by itself for
  /// RelayProofPause.
  static constexpr Duration RelayProofTimeout = milliseconds(150);
  static constexpr Duration RelayProofPause = std::chrono::seconds(1);
  /// Longest wait of a read for the relay's first evidence. Without it the read
  /// goes to the primary, as those of all entry VMs would after a restart.
  static constexpr Duration FloorWait = milliseconds(120);
  /// Sampling stops when no read has asked for a floor for this long.
  static constexpr Duration SamplingIdleLimit = std::chrono::seconds(2);
  /// Timeout of one status call. A round trip between regions takes 16 ms, and
  /// the call may have to wait for a server slot behind long statements.
  static constexpr Duration StatusTimeout = milliseconds(300);
  /// Delay before the next attempt to prove that the primary leads.
  static constexpr Duration ProofRetryDelay = milliseconds(30);
  /// The claim row is read as a proof if servers have not answered within this
  /// time. A round trip between regions takes 16 ms, and a new connection
  /// takes two more.
  static constexpr Duration ClaimReadDelay = milliseconds(60);
  /// Timeout of a read of the claim row. The store answers in 4 ms, and in
  /// 240 ms when it runs 60 times slower.
  static constexpr Duration ClaimReadTimeout = milliseconds(250);
  /// Least time between two reads of the claim row, after one that has proved
  /// that the primary leads, and after one that has not. All entry VMs together
  /// may make 2,000 reads per second.
  static constexpr Duration ClaimReadInterval = milliseconds(25);
  static constexpr Duration ClaimRetryInterval = milliseconds(100);
  /// A server that answered within this time counts as alive even if a
  /// connection to it fails: a server resets connections beyond its limit.
  static constexpr Duration AliveAfterAnswer = milliseconds(250);
  /// Shortest and longest time between two passes that close idle connections.
  /// They are the idle timeout while connections are scarce and the idle
  /// timeout of surplus connections.
  static constexpr Duration ShortestCloseInterval =
      ConnectionShare::ScarceIdleTimeout;
  static constexpr Duration LongestCloseInterval =
      ConnectionShare::SurplusIdleTimeout;
  /// Urgency of the proxy's own status calls. They come first, because all
  /// other statements depend on their results.
  static constexpr unsigned ControlUrgency = 0;

  /// All referenced objects must outlive the group.
  /// \param Source the relay; null if there is none.
  /// \param Claims reads the claim row as a proof of leadership; null if only
  /// the servers' reports are used.
  /// \param Counters null if nothing is counted.
  Group(ServiceName Name, ServerConnector &Connector, const Locality &Where,
        EvidenceSource *Source = nullptr, ClaimReader *Claims = nullptr,
        Metrics *Counters = nullptr);
  Group(const Group &) = delete;
  Group &operator=(const Group &) = delete;
  ~Group();

  /// Starts the tasks. Must be called once.
  void start();
  /// Stops the tasks and returns when they have ended.
  QCoro::Task<> stop();

  /// Replaces the limits and the set of servers. A server that has restarted
  /// gets a new pool.
  void configure(const ServiceLimits &Limits,
                 const std::vector<RegisteredServer> &Servers);

  const ServiceName &name() const { return this->Name; }
  const ServiceLimits &limits() const { return this->Limits; }
  GroupBeliefs &beliefs() { return this->Beliefs; }
  const Freshness &freshness() const { return this->Fresh; }
  ServerConnector &connector() { return this->Connector; }
  const Locality &where() const { return this->Where; }

  /// Returns the pool of \p Id, or null if the server is no longer registered.
  std::shared_ptr<ServerPool> pool(const ServerId &Id);

  /// Waits for a proof that the primary of \p T had not been superseded at
  /// \p Since.
  /// \param Since a time of the boot clock (core/BootClock.h).
  /// \returns false if there is no such proof by \p Deadline, or if the
  /// believed primary no longer has term \p T.
  QCoro::Task<bool> awaitProof(Term T, TimePoint Since, TimePoint Deadline);

  /// Returns whether an acknowledged commit itself proves that its primary had
  /// not been superseded. This holds with synchronous replication, where a
  /// replica must hold the commit before it is acknowledged.
  bool commitsAreProofs() const { return this->Limits.SyncReplicas > 0; }

  /// Waits until a server that every takeover asks is known to hold \p Commit
  /// (policy/CommitHolders.h). Before that, an acknowledgement of the commit
  /// must not be passed on.
  /// \param Primary the server that acknowledged the commit.
  /// \returns that server, or nothing if none is known by \p Deadline.
  QCoro::Task<std::optional<ServerId>>
  awaitHolder(LogPosition Commit, ServerId Primary, TimePoint Deadline) {
    return this->Search.await(Commit, std::move(Primary), Deadline);
  }

  /// Returns whether a write at \p Primary could be reported as a success, as
  /// far as is known. If not, asks the servers again.
  bool mayWriteAt(const BelievedPrimary &Primary);

  /// Returns the lowest known position that covers every commit acknowledged
  /// before \p Since (boot clock), or nothing if no usable sample is that
  /// recent. The call also keeps the sampling task running.
  std::optional<LogPosition> floorAsOf(TimePoint Since);

  /// Records that \p Id answered a statement that was sent at \p SentAt, a time
  /// of the boot clock.
  /// \param Floor of the statement.
  void observeAnswer(const ServerId &Id, const Answer &A, TimePoint SentAt,
                     std::optional<LogPosition> Floor = std::nullopt);
  /// Returns the choice of a server for a read of workspace \p For.
  ReadChoice readChoice(const WorkspaceName &For,
                        std::optional<LogPosition> Floor) const;
  /// Returns the server on which to run a read of workspace \p For, or nothing
  /// if all that may run it were tried.
  std::optional<ServerId> chooseReader(const WorkspaceName &For,
                                       std::optional<LogPosition> Floor,
                                       const std::set<ServerId> &Tried);
  /// Records that \p Id, which was believed to be the primary, acknowledged a
  /// commit that was sent at \p SentAt (boot clock) and is reported to the
  /// caller now.
  /// \param Holder the result of awaitHolder(); empty if that was not called.
  void observeCommit(const ServerId &Id, const Answer &A, TimePoint SentAt,
                     const ServerId &Holder);
  /// Records that \p Id could not be reached or that a connection was lost.
  void observeFailure(const ServerId &Id, const std::string &Why);
  /// Records that no connection to \p Id could be acquired. A full pool, or a
  /// failure of a server that answered recently, does not count as a failure
  /// of the server.
  void observeOpenFailure(const ServerId &Id, const OpenFailure &Failure);
  /// Records that \p Id is alive, without any other information.
  void markAlive(const ServerId &Id);
  /// Records that \p Id refused a write because it is not the primary.
  void markNotPrimary(const ServerId &Id);
  /// Records a status report of \p Id.
  /// \param SentAt boot clock; when the call was sent that it answers.
  void observeReport(const ServerId &Id, const ServerReport &Report,
                     TimePoint SentAt);

  /// Returns the alarm of commits that were reported and that a primary lacks.
  MissingCommitAlarm &missingCommits() { return this->MissingCommits; }

  /// Returns the highest position of a commit whose acknowledgement reached
  /// this entry VM.
  LogPosition acknowledged() const { return this->Acknowledged; }

  /// Returns the end of the log that the primary of \p T reported after a
  /// server had left the group or restarted; zero if there is no such report. A
  /// server that holds it holds every commit that only the lost server had
  /// received. A server that has taken the address of another one may have that
  /// one's log; the other one has left all the same.
  LogPosition endAfterLoss(Term T) const {
    return this->EndTerm == T ? this->EndAfterLoss : LogPosition();
  }
  /// Returns whether a primary has reported the end of its log since the last
  /// server left or restarted, so that endAfterLoss() covers that loss.
  bool isLossCovered(Term T) const {
    return !this->EndWanted && this->EndTerm >= T;
  }

  /// Returns the part of the log of \p Id that a takeover has to preserve also
  /// if that server leaves (policy/LeavingLogs.h); nothing if all of it counts.
  std::optional<LogPosition> countedEnd(const ServerId &Id) const {
    // Without synchronous replicas no holder is awaited.
    return this->commitsAreProofs() ? this->Leaving.countedEnd(Id)
                                    : std::nullopt;
  }

  /// Returns the start times (steady clock) of the writes that wait for their
  /// acknowledgement. The monitor checks the age of the oldest.
  std::multiset<TimePoint> &pendingWrites() { return this->PendingWrites; }

  /// Returns what this entry VM knows of the group, for other entry VMs.
  GroupEvidence evidence() const;
  /// Records evidence of the relay.
  void applyEvidence(const GroupEvidence &Known);
  /// Sets how many entry VMs share the servers' connections.
  void setEntryVms(std::size_t Count);
  /// Returns whether reads have recently asked for a floor.
  bool wantsFloors() const {
    return steadyNow() - this->LastFloorRequest <= SamplingIdleLimit;
  }
  /// Sets how many homes of connections the deployment has; 0 if there are no
  /// workspaces.
  void setHomes(std::size_t Count);
  /// Waits for the relay's evidence if there is a relay and no floor for
  /// \p Since is known yet, for FloorWait at most.
  QCoro::Task<> awaitFloor(TimePoint Since, TimePoint Deadline);
  /// Returns whether to ask the relay for evidence: reads need it now, or the
  /// first read of an open session is going to.
  bool wantsEvidence() const {
    return this->Readers > 0 || this->wantsFloors();
  }
  /// Adds \p By, which may be negative, to the open sessions that read with a
  /// floor.
  void addReaders(int By);
  /// Returns whether the entry VMs have less than one connection each to a
  /// server of the group.
  bool isOversubscribed() const {
    return isForwardingUseful(this->EntryVms, this->Limits.MaxConnections);
  }
  /// Keeps idle connections for some time although there are more entry VMs
  /// than connections, because this one runs the reads of others.
  void keepConnections();
  /// Keeps the connections of workspaces, because this entry VM runs a
  /// statement of a workspace as its home.
  void observeHomeUse();
  /// Keeps the primary sampled for SamplingIdleLimit.
  void requestFloors();
  /// Returns whether a relay observes the group for this entry VM.
  bool isFollower() const {
    return this->Source && this->Source->isAvailable();
  }
  /// Asks the relay, if there is one, for its present evidence.
  void refreshEvidence();
  /// Wakes the monitor, and asks the relay for news of the primary.
  void primaryWanted() override;
  /// Returns what decides how long statements wait for the primary.
  PrimaryOutages &outages() { return this->Outages; }

  /// Returns whether any server has not failed since its last answer.
  bool anyServerReachable() const;

  /// The wait point of the group's monitor. It is woken when a change of
  /// beliefs may call for a takeover.
  WaitPoint &monitorWake() { return this->MonitorWake; }
  /// The condition that is notified when the believed primary changes.
  TaskCondition &primaryChanged() { return this->PrimaryChange; }

private:
  QCoro::Task<> requestReport(ServerId Id) override;
  std::vector<ServerId> preferredServers() const override;
  void requestProof(TimePoint Since) override;

  std::optional<BelievedPrimary> believedPrimary() const override {
    return this->Beliefs.primary();
  }
  PrimaryContact contactOf(const BelievedPrimary &Primary) const override;
  bool meets(const BelievedPrimary &Primary, PrimaryNeed Need) override {
    return (!Need.KnownTerm || Primary.TermNumber != 0) &&
           (Need.Mode == Access::Read || this->mayWriteAt(Primary));
  }
  QCoro::Task<> requestPrimaryReport(BelievedPrimary Primary) override {
    return this->requestReport(Primary.Id);
  }
  QCoro::Task<> awaitPrimaryChange(TimePoint Deadline) override {
    co_await this->PrimaryChange.wait(Deadline);
  }

  /// Logs and counts that \p Id is set aside because it lags, or used again.
  /// \param Before whether it was set aside before the last observation.
  void reportSetAside(const ServerId &Id, bool Before);
  bool isSetAside(const ServerId &Id) const;

  QCoro::Task<> proveLeadership();
  QCoro::Task<> samplePrimary();
  /// Asks the servers for their connection counts where the pool's share of the
  /// connections depends on it.
  QCoro::Task<> requestConnectionCounts();
  QCoro::Task<> closeIdle();
  /// Records that the primary of \p T had not been superseded at \p At.
  void recordProof(Term T, TimePoint At);
  QCoro::Task<bool> proveOnce();
  /// Asks all servers but \p Leader for their status at the same time and, if
  /// that is not enough, reads the claim row.
  QCoro::Task<bool> proveDirectly(BelievedPrimary Leader);
  /// Requests the status of \p Id and records it in \p Proof.
  QCoro::Task<> askForProof(ServerId Id,
                            std::shared_ptr<LeadershipProof> Proof);
  /// Reads the claim row and records it in \p Proof.
  QCoro::Task<> readClaim(std::shared_ptr<LeadershipProof> Proof);
  QCoro::Task<bool> proveByRelay(Term T);
  /// Returns the age from which a sample of the primary counts as outdated.
  Duration sampleInterval() const;
  /// Requests the status of \p Id over a pooled connection and records it.
  QCoro::Task<std::optional<ServerReport>> controlStatus(ServerId Id);
  /// Returns the registered servers without \p Leader.
  std::vector<ServerId> othersThan(const ServerId &Leader) const;
  /// Records that the log of the primary of \p T reached \p End when it
  /// answered a call that was sent at \p SentAt.
  void recordEnd(Term T, LogPosition End, TimePoint SentAt);
  /// Logs a change of the believed primary and wakes the tasks that wait for
  /// it.
  void updatePrimary();

  ServiceName Name;
  ServerConnector &Connector;
  const Locality &Where;
  EvidenceSource *Source;
  ClaimReader *Claims;
  Metrics *Counters;
  ServiceLimits Limits;
  GroupBeliefs Beliefs;
  Freshness Fresh;
  HolderSearch Search;
  PrimaryOutages Outages;
  LeavingLogs Leaving;
  std::map<ServerId, std::shared_ptr<ServerPool>> Pools;
  std::optional<BelievedPrimary> LastPrimary;
  MissingCommitAlarm MissingCommits;
  LogPosition Acknowledged;
  /// Of the choice of servers. The entry VMs need different seeds.
  mutable Random Rng{std::random_device{}()};
  LogPosition EndAfterLoss;
  Term EndTerm = 0;      ///< In which EndAfterLoss was reported.
  bool EndWanted = true; ///< No primary has reported since the last loss.
  TimePoint LostAt{};    ///< Boot clock; when the last loss was noticed.
  std::multiset<TimePoint> PendingWrites;
  std::map<ServerId, std::pair<unsigned, TimePoint>> ConnectionCounts;
  std::size_t EntryVms = 0; ///< 0: not known.
  std::size_t Homes = 0;
  int Readers = 0;             ///< Open sessions that read with a floor.
  TimePoint RelayProofsFrom{}; ///< Steady clock.
  TimePoint ProofWantedFor{};  ///< Latest time to prove (boot clock).
  TimePoint ClaimReadFrom{};   ///< Earliest next read (steady clock).
  /// Servers with a status request for a proof under way.
  std::set<ServerId> AskedForProof;
  bool ReadingClaim = false;
  TimePoint LastFloorRequest{}; ///< Steady clock.
  WaitPoint ProveWake;
  WaitPoint ProofChange; ///< Woken when evidence for a proof has arrived.
  WaitPoint SampleWake;
  WaitPoint CloseWake;
  WaitPoint MonitorWake;
  TaskCondition ProofReceived;
  TaskCondition PrimaryChange;
  TaskGroup Tasks;
  bool Stopping = false;
};

/// Counts a write as waiting for its acknowledgement for the lifetime of the
/// object.
class PendingWrite {
public:
  explicit PendingWrite(Group &Of)
      : Of(Of), Entry(Of.pendingWrites().insert(steadyNow())) {}
  PendingWrite(const PendingWrite &) = delete;
  PendingWrite &operator=(const PendingWrite &) = delete;
  ~PendingWrite() { this->Of.pendingWrites().erase(this->Entry); }

private:
  Group &Of;
  std::multiset<TimePoint>::iterator Entry;
};

/// Counts an open session as a reader of a group for the lifetime of the
/// object.
class ReaderCount {
public:
  explicit ReaderCount(std::shared_ptr<Group> Of) : Of(std::move(Of)) {
    this->Of->addReaders(1);
  }
  ReaderCount(const ReaderCount &) = delete;
  ReaderCount &operator=(const ReaderCount &) = delete;
  ~ReaderCount() { this->Of->addReaders(-1); }

private:
  std::shared_ptr<Group> Of;
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_ROOT_GROUPS_GROUP_H
