// A deterministic model of a database group with its watchers.
//
// Servers are plain structs with the semantics of docs/design.md, section 6;
// watchers run the real Failover and Durability over messages that are delayed,
// lost and cut off. Everything follows from one seed. Model time has nothing to
// do with real time.
#ifndef AMARANTHSPUR_POLICY_TESTING_GROUPMODEL_H
#define AMARANTHSPUR_POLICY_TESTING_GROUPMODEL_H

#include "policy/Durability.h"
#include "policy/Failover.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace amaranthspur::testing {

/// One entry of a log.
struct ModelEntry {
  Term TermNumber = 0;
  std::uint64_t Id = 0;
};

/// A backend server.
struct ModelServer {
  ServerId Id;
  bool Alive = true;
  TimePoint PausedUntil{};
  ServerRole Role = ServerRole::Replica;
  Term AdoptedTerm = 0;
  Term PromotedIn = 0;
  ServerId Primary;
  std::vector<ModelEntry> Log;
  bool Leaving = false;

  LogPosition logEnd() const {
    return {this->Log.empty() ? 0 : this->Log.back().TermNumber,
            this->Log.size()};
  }
  bool adopt(Term T);
  bool promote(Term T, std::uint64_t EntryId);
  bool follow(Term T, const ServerId &From);
  ServerStatus status() const;
};

/// What a run is made of.
struct ModelOptions {
  std::size_t Servers = 3;
  std::size_t Watchers = 3;
  std::uint64_t Seed = 1;
  /// Chance of a fault of any kind, in thousandths per 50 ms.
  unsigned FaultsPerMille = 60;
  unsigned LossPerMille = 20; ///< Messages lost while faults last.
  bool Kills = true;
  bool Cuts = true;
  bool Pauses = true;
  bool StoreOutages = true;
  bool WatcherRestarts = true;
  /// Servers come back without their state, one at a time, and the next one
  /// only when all others hold the primary's log.
  bool EmptyRestarts = false;
  /// Longest pause, and longest time for which a link or a server is down.
  Duration LongestFault = std::chrono::seconds(3);
  std::function<std::unique_ptr<Failover>(Random &)> MakeFailover =
      makeMajorityFailover;
  std::function<std::unique_ptr<Durability>()> MakeDurability =
      makeMajorityDurability;
};

/// Runs a group and checks its promises after every event.
class GroupModel {
public:
  explicit GroupModel(ModelOptions Options);
  ~GroupModel();

  /// Runs for \p Time of model time.
  void run(Duration Time);

  /// Starts or ends random faults. When they end, what is down comes back.
  void setFaults(bool On);

  /// Direct faults, for scenarios.
  void kill(std::size_t Server);
  void restart(std::size_t Server, bool Empty);
  void pauseServer(std::size_t Server, Duration Time);
  void pauseWatcher(std::size_t Watcher, Duration Time);
  void cutServer(std::size_t Server, bool Cut);
  /// Delays every message and answer by this much more.
  void setExtraDelay(Duration Extra) { this->ExtraDelay = Extra; }
  void cutLink(std::size_t A, std::size_t B);
  void setStoreDown(bool Down) { this->StoreDown = Down; }
  void setLeaving(std::size_t Server) { this->Servers[Server].Leaving = true; }
  /// Kills the watcher right after its next adoption was answered by a
  /// majority, before it can promote.
  void dieAfterAdoption(std::size_t Watcher);
  /// Kills a server \p After its next promotion.
  void killAfterPromotion(Duration After) { this->KillPromoted = After; }

  /// First broken promise, or empty.
  const std::string &violation() const { return this->Violation; }
  /// Promotions that took effect, by term.
  const std::map<Term, ServerId> &promotions() const {
    return this->Promotions;
  }
  /// Returns the index of the primary of the highest term, or nothing if it is
  /// down.
  std::optional<std::size_t> primary() const;
  /// Returns the highest position that any watcher holds to be confirmed.
  LogPosition confirmed() const;
  /// Returns whether all servers replicate from the primary.
  bool allFollow() const;
  /// Longest time, since the start, during which nothing was confirmed.
  Duration longestGap() const { return this->LongestGap; }
  std::uint64_t events() const { return this->Events; }
  TimePoint now() const { return this->Now; }

private:
  struct Watcher;
  struct Reply {
    bool Granted = false;
    ServerStatus Status;
  };
  using Request = std::function<Reply(ModelServer &)>;
  using Done = std::function<void(const std::optional<Reply> &)>;

  void at(TimePoint When, std::function<void()> What);
  Duration delay();
  bool lost();
  bool cut(std::size_t A, std::size_t B) const;
  std::size_t watcherNode(std::size_t W) const {
    return this->Servers.size() + W;
  }

  void call(std::size_t W, std::size_t S, Request R, Done D,
            Duration Limit = CallLimit);
  void arrive(std::size_t W, std::size_t S, const Request &R,
              const Done &Answer);
  void toWatcher(std::size_t W, std::uint64_t Epoch,
                 std::function<void()> What);
  void newWatcher(std::size_t W);

  void stepWatcher(std::size_t W, std::uint64_t Epoch);
  void poll(std::size_t W, std::size_t S);
  void observe(std::size_t W, std::size_t S, const ServerStatus &Status,
               TimePoint SentAt);
  void carryOut(std::size_t W, const FailoverAction &Action);
  void claim(std::size_t W, Term T);
  void adopt(std::size_t W, const FailoverAction &Action);
  void finish(std::size_t W, FailoverOutcome Outcome);
  std::size_t indexOf(const ServerId &Id) const;

  void replicate();
  void write();
  void randomFault();
  void check();
  void fail(const std::string &What);

  ModelOptions Options;
  Random Rng;
  TimePoint Now{std::chrono::seconds(1000)};
  std::multimap<TimePoint, std::function<void()>> Queue;
  std::vector<ModelServer> Servers;
  std::vector<std::unique_ptr<Watcher>> Watchers;
  std::set<std::pair<std::size_t, std::size_t>> Cuts;
  bool Faults = false;
  bool StoreDown = false;
  Duration ExtraDelay{};
  Term ClaimedTerm = 0;
  std::size_t ClaimedBy = 0;
  std::optional<Duration> KillPromoted;
  std::uint64_t NextEntry = 1;
  std::uint64_t Events = 0;
  std::map<Term, ServerId> Promotions;
  std::map<Term, std::uint64_t> Acknowledged;
  TimePoint LastProgress{};
  Duration LongestGap{};
  std::string Violation;
};

} // namespace amaranthspur::testing

#endif // AMARANTHSPUR_POLICY_TESTING_GROUPMODEL_H
