// Watches one database group: polls its servers, confirms positions, promotes.
//
// One task per server uses the server's control connection, one at a time; one
// task steps the failover; one wakes the writers whose positions have been
// confirmed. Polls do not depend on the number of writes in flight: while any
// write waits, each replica has one poll in flight, and one answer confirms
// every position up to the one it reports.
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

/// The decisions that a GroupWatcher is run with.
struct WatcherPolicies {
  std::unique_ptr<Durability> Durable;
  std::unique_ptr<Failover> Promotion;
};

/// What a GroupWatcher uses. All references outlive it.
struct WatcherParts {
  EntryVmId Self;
  const Clock &Time;
  Platform &Store;
  ViewTable &Views;
  /// Makes the control side of one server.
  std::function<std::unique_ptr<BackendServer>(const ServerConfig &)> Connect;
  /// Takes one line `event=... key=value` for each change of state.
  std::function<void(const std::string &)> Log = [](const std::string &) {};
};

/// Counters since start.
struct WatcherCounts {
  std::uint64_t Polls = 0;
  std::uint64_t PollFailures = 0;
  std::uint64_t Probes = 0;
  std::uint64_t Claims = 0;
  std::uint64_t ClaimsUnanswered = 0;
  std::uint64_t Adoptions = 0;
  std::uint64_t Promotions = 0; ///< That succeeded.
  std::uint64_t Follows = 0;
};

/// Watcher of one group. Invariant: at most one call runs on each server's
/// control connection.
class GroupWatcher final : public Confirmations {
public:
  GroupWatcher(WatcherParts Parts, WatcherPolicies Policies,
               const ServiceConfig &Service, unsigned Rank);
  ~GroupWatcher() override;

  /// Starts the tasks. To be called once.
  void start();

  /// Ends the tasks; waiting writers get false. Returns when all have ended.
  QCoro::Task<> stop();

  /// Takes in a changed service or rank. Servers that stay keep their
  /// connections.
  void configure(const ServiceConfig &Service, unsigned Rank);

  QCoro::Task<bool> waitConfirmed(LogPosition Position,
                                  TimePoint Deadline) override;
  bool acceptsWrites(TimePoint Now) const override;
  QCoro::Task<std::optional<LogPosition>>
  currentFloor(TimePoint Deadline) override;
  void refresh() override { this->pollAllNow(); }

  const WatcherCounts &counts() const { return this->Counts; }

  /// Interval of polls while no write waits.
  static constexpr Duration IdlePollInterval = milliseconds(200);
  /// Interval of polls of the primary while writes wait.
  static constexpr Duration BusyPollInterval = milliseconds(100);
  /// Shortest time between two polls of a replica. Bounds the load when a
  /// replica is near and far behind.
  static constexpr Duration MinPollInterval = milliseconds(1);

private:
  using Command = std::function<QCoro::Task<>(BackendServer &)>;
  struct Entry;
  struct Waiter;
  struct AdoptRound;

  void addServer(const ServerConfig &Config);
  void removeServer(Entry &E);
  std::shared_ptr<Entry> find(const ServerId &Id) const;
  void submit(Entry &E, Command C);
  void pollAllNow();
  void wakeServers();

  QCoro::Task<> serve(std::shared_ptr<Entry> E);
  QCoro::Task<> poll(Entry &E);
  TimePoint nextPoll(const Entry &E) const;
  void observed(Entry &E, const ServerStatus &Status, TimePoint SentAt);

  std::optional<LogPosition> floorSince(TimePoint Start) const;
  QCoro::Task<> confirm();
  void wakeConfirmed();

  QCoro::Task<> promote();
  GroupObservation observation(std::optional<FailoverOutcome> Outcome) const;
  QCoro::Task<FailoverOutcome> carryOut(FailoverAction Action);
  QCoro::Task<FailoverOutcome> probe(FailoverAction Action);
  QCoro::Task<FailoverOutcome> claim(FailoverAction Action);
  QCoro::Task<FailoverOutcome> adopt(FailoverAction Action);
  QCoro::Task<FailoverOutcome> promoteServer(FailoverAction Action);
  void follow(const FailoverAction &Action);
  void logAction(const FailoverAction &Action);
  void logOutcome(const FailoverOutcome &Outcome);

  void publish(bool Changed);
  GroupView makeView(TimePoint Now) const;
  void taskEnded();

  WatcherParts Parts;
  WatcherPolicies Policies;
  ServiceConfig Service;
  unsigned Rank;
  Staleness Ages;
  WatcherCounts Counts;
  std::vector<std::shared_ptr<Entry>> Entries;
  std::multimap<LogPosition, Waiter *> Waiters;
  Signal Observed; ///< A server has answered a poll.
  WaitPoint ConfirmWake;
  WaitPoint FailoverWake;
  WaitPoint Ended;
  unsigned Tasks = 0;
  bool Stopping = false;
  std::uint64_t ClaimCount = 0;
  std::uint64_t ClaimVersion = 0; ///< Of the claim's row when last seen.
  std::uint64_t Incarnation; ///< Makes claims' operation identifiers unique.
  TimePoint Published{};
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_ROOT_BACKENDS_GROUPWATCHER_H
