// Watches one database group: polls the status of its servers, confirms log
// positions and promotes a new primary.
//
// For each server, one task makes all calls on the control connection, one
// after the other. One more task runs the failover, and another wakes the
// writers whose positions have been confirmed. The number of polls does not
// depend on the number of writes in flight: while at least one write waits,
// each replica has one poll in flight, and one answer confirms every position
// up to the one that it reports.
#ifndef AMARANTHSPUR_ROOT_BACKENDS_GROUPWATCHER_H
#define AMARANTHSPUR_ROOT_BACKENDS_GROUPWATCHER_H

#include "core/Async.h"
#include "core/Random.h"
#include "platform/Platform.h"
#include "policy/Configuration.h"
#include "policy/Durability.h"
#include "policy/Failover.h"
#include "policy/Staleness.h"
#include "root/ViewTable.h"
#include "root/backends/BackendServer.h"
#include "root/backends/Confirmations.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace amaranthspur {

/// The policies that make a GroupWatcher's decisions.
struct WatcherPolicies {
  std::unique_ptr<Durability> Durable;
  std::unique_ptr<Failover> Promotion;
};

/// The objects and functions that a GroupWatcher uses. The referenced objects
/// must outlive it.
struct WatcherDependencies {
  EntryVmId Self;
  const Clock &Time;
  Platform &Store;
  ViewTable &Views;
  /// Creates the object for the control operations on one server. It connects
  /// on the first call.
  std::function<std::unique_ptr<BackendServer>(const ServerConfig &)> Connect;
  /// Writes a log line of the form `event=... key=value` for each change of
  /// state.
  std::function<void(const std::string &)> Log = [](const std::string &) {};
};

/// Event counters of a GroupWatcher since it was created.
struct WatcherCounts {
  std::uint64_t Polls = 0;
  std::uint64_t PollFailures = 0;
  std::uint64_t Probes = 0;
  std::uint64_t Claims = 0; ///< Attempts to claim a term in the table.
  std::uint64_t ClaimsUnanswered = 0;
  std::uint64_t Adoptions = 0;  ///< Servers that adopted a term.
  std::uint64_t Promotions = 0; ///< Successful ones only.
  std::uint64_t Follows = 0;    ///< Requests to replicate from a primary.
};

/// Watcher of one group. Invariant: at most one call is in progress on each
/// server's control connection.
class GroupWatcher final : public Confirmations {
public:
  GroupWatcher(WatcherDependencies Deps, WatcherPolicies Policies,
               const ServiceConfig &Service, unsigned Rank);
  ~GroupWatcher() override;

  /// Starts the tasks. Must be called once.
  void start();

  /// Ends the tasks and returns when all have ended. waitConfirmed() returns
  /// false to writers that are waiting.
  QCoro::Task<> stop();

  /// Applies a changed service configuration or rank. Servers whose identifier
  /// and address are unchanged keep their connections.
  void configure(const ServiceConfig &Service, unsigned Rank);

  QCoro::Task<bool> waitConfirmed(LogPosition Position,
                                  TimePoint Deadline) override;
  bool acceptsWrites(TimePoint Now) const override;
  QCoro::Task<std::optional<LogPosition>>
  currentFloor(TimePoint Deadline) override;
  void refresh() override { this->pollAllNow(); }

  const WatcherCounts &counts() const { return this->Counts; }

  /// Interval between polls of a server while no write waits.
  static constexpr Duration IdlePollInterval = milliseconds(200);
  /// Interval between polls of the primary while writes wait.
  static constexpr Duration BusyPollInterval = milliseconds(100);
  /// Shortest time between two polls of a replica. It bounds the load of a
  /// replica that has a short round-trip time and lags far behind.
  static constexpr Duration MinPollInterval = milliseconds(1);

private:
  /// A call on a server, made by the server's task.
  using Command = std::function<QCoro::Task<>(BackendServer &)>;
  struct ServerEntry;
  struct Waiter;
  struct AdoptRound;

  void addServer(const ServerConfig &Config);
  void removeServer(ServerEntry &E);
  std::shared_ptr<ServerEntry> find(const ServerId &Id) const;
  /// Makes the task of \p E run \p C before its next poll.
  void enqueueCommand(ServerEntry &E, Command C);
  void pollAllNow();
  void wakeServers();

  /// Task that makes all calls on the control connection of \p E.
  QCoro::Task<> runServer(std::shared_ptr<ServerEntry> E);
  QCoro::Task<> poll(ServerEntry &E);
  TimePoint nextPollTime(const ServerEntry &E) const;
  /// Stores \p Status, the answer to a request sent at \p SentAt, and notifies
  /// the tasks that depend on it.
  void recordStatus(ServerEntry &E, const ServerStatus &Status,
                    TimePoint SentAt);

  /// Computes the result of currentFloor() from requests sent at or after
  /// \p Start. Returns nothing if too few of them have been answered.
  std::optional<LogPosition> floorSince(TimePoint Start) const;
  /// Task that wakes writers when their positions are confirmed or their term
  /// has ended.
  QCoro::Task<> runConfirmation();
  void wakeConfirmed();

  /// Task that performs the actions of the failover policy.
  QCoro::Task<> runFailover();
  GroupObservation observation(std::optional<FailoverOutcome> Outcome) const;
  QCoro::Task<FailoverOutcome> performAction(FailoverAction Action);
  QCoro::Task<FailoverOutcome> probe(FailoverAction Action);
  /// Writes the claim of a term into the platform's table by compare-and-set.
  QCoro::Task<FailoverOutcome> claim(FailoverAction Action);
  QCoro::Task<FailoverOutcome> adopt(FailoverAction Action);
  QCoro::Task<FailoverOutcome> promoteServer(FailoverAction Action);
  void follow(const FailoverAction &Action);
  void logAction(const FailoverAction &Action);
  void logOutcome(const FailoverOutcome &Outcome);

  /// Updates the view of the group. If neither \p Changed is set nor the
  /// acceptance of writes has changed, does so at most once per interval.
  void publish(bool Changed);
  GroupView makeView(TimePoint Now) const;
  void onTaskEnded();

  WatcherDependencies Deps;
  WatcherPolicies Policies;
  ServiceConfig Service;
  unsigned Rank;
  Staleness Ages;
  WatcherCounts Counts;
  std::vector<std::shared_ptr<ServerEntry>> ServerEntries;
  std::multimap<LogPosition, Waiter *> Waiters;
  TaskCondition
      StatusReceived; ///< Notified when a server's status is recorded.
  WaitPoint ConfirmWake;
  WaitPoint FailoverWake;
  WaitPoint StopWake;
  unsigned RunningTasks = 0;
  bool Stopping = false;
  std::uint64_t ClaimSequence = 0;
  /// Version of the claim's row when last read.
  StoreVersion ClaimVersion;
  /// Makes the operation identifiers of claims unique.
  std::uint64_t Incarnation;
  TimePoint PublishedAt{}; ///< When the view was last published.
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_ROOT_BACKENDS_GROUPWATCHER_H
