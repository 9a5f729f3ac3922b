// Finds the replicas that hold the commits of one group that its primary has
// acknowledged to this entry VM, so that the acknowledgements can be passed on
// (policy/CommitHolders.h).
//
// One task asks replicas for the ends of their logs while commits wait: first
// one replica, for all commits that wait then, and after a short delay all of
// them. Most commits cost one status call or share one; answers of reads at
// replicas cost none. Each call to a replica is a task of its own, so a silent
// one does not delay the others.
#ifndef AMARANTHSPUR_ROOT_GROUPS_HOLDERSEARCH_H
#define AMARANTHSPUR_ROOT_GROUPS_HOLDERSEARCH_H

#include "core/Async.h"
#include "policy/CommitHolders.h"

#include <optional>
#include <set>
#include <vector>

namespace amaranthspur {

/// How a search reaches the servers of its group.
class ReplicaAccess {
public:
  virtual ~ReplicaAccess() = default;

  /// Requests the status of \p Id and reports it to the search.
  virtual QCoro::Task<> requestReport(ServerId Id) = 0;
  /// Returns the servers in the order in which they are to be asked.
  virtual std::vector<ServerId> preferredServers() const = 0;
  /// Requests a proof that the primary had not been superseded at \p Since
  /// (boot clock).
  virtual void requestProof(TimePoint Since) = 0;
};

/// The search of one group.
class HolderSearch {
public:
  /// Time within which a replica answers: a round trip between regions takes
  /// 16 ms. After it the others are asked as well.
  static constexpr Duration AnswerTime = milliseconds(40);
  /// Delay before replicas that did not hold a commit yet are asked again. An
  /// entry reaches the replicas within 8 ms between regions. The delay grows by
  /// RetryGrowth up to the longest one, since a replica that lacks the entry
  /// for longer is slow or cut off.
  static constexpr Duration RetryDelay = milliseconds(5);
  static constexpr int RetryGrowth = 3;
  static constexpr Duration LongestRetryDelay = milliseconds(150);

  /// Shortest time between two rounds of refresh().
  static constexpr Duration RefreshInterval = milliseconds(50);

  /// \param Access must outlive the search.
  explicit HolderSearch(ReplicaAccess &Access) : Access(Access) {}
  HolderSearch(const HolderSearch &) = delete;
  HolderSearch &operator=(const HolderSearch &) = delete;

  /// Starts the task. Must be called once.
  void start() { this->search(); }
  /// Stops the task and returns when all calls have ended.
  QCoro::Task<> stop();

  /// Waits until a server that every takeover asks is known to hold \p Commit.
  /// \param Primary the server that acknowledged the commit.
  /// \returns that server, or nothing if none is known by \p Deadline.
  QCoro::Task<std::optional<ServerId>>
  await(LogPosition Commit, ServerId Primary, TimePoint Deadline);

  /// Returns whether a commit of \p Primary may be held by a server that counts
  /// (CommitHolders::mayBeHeld()).
  /// \param T the term of \p Primary; 0 if it is not known.
  bool mayBeHeld(const ServerId &Primary, Term T) const {
    return this->Holders.mayBeHeld(Primary, T);
  }
  /// Asks the servers that may count whether they do now, at most once in
  /// RefreshInterval.
  void refresh(const ServerId &Primary, Term T);

  /// These record what CommitHolders describes, and wake those that wait.
  void setServers(const std::vector<RegisteredServer> &Servers, TimePoint Now);
  void observeReport(const ServerId &Id, const ServerReport &Report);
  void observeReplica(const ServerId &Id, LogPosition End);
  void observeProof(Term T, TimePoint At);

private:
  /// A commit whose acknowledgement waits for a holder.
  struct AwaitedCommit {
    LogPosition Position;
    ServerId Primary; ///< That acknowledged it.

    auto operator<=>(const AwaitedCommit &) const = default;
  };

  QCoro::Task<> search();
  /// Requests the report of \p Id, unless that is under way.
  QCoro::Task<> ask(ServerId Id);
  /// Returns the servers to ask for \p For, the best first.
  std::vector<ServerId> serversFor(const AwaitedCommit &For) const;
  /// Returns whether one of \p Servers is being asked.
  bool isAsking(const std::vector<ServerId> &Servers) const;
  /// Returns the first commit without a known holder, or null.
  const AwaitedCommit *firstAwaited() const;

  ReplicaAccess &Access;
  CommitHolders Holders;
  std::multiset<AwaitedCommit> Awaited;
  TimePoint RefreshFrom{};   ///< Earliest next round (steady clock).
  std::set<ServerId> Asked;  ///< Servers with a request under way.
  WaitPoint CommitWake;      ///< Woken by a commit that waits.
  WaitPoint Answered;        ///< Woken when a request has ended.
  TaskCondition HolderFound; ///< Notified of all that may make a holder known.
  TaskGroup Tasks;
  bool Stopping = false;
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_ROOT_GROUPS_HOLDERSEARCH_H
