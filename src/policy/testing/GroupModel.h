// A deterministic simulation of a database group with its watchers.
//
// Servers are plain structs with the semantics of docs/design.md, section 6.
// Watchers run the production classes Failover and Durability. Messages between
// them are delayed, get lost, and are dropped on cut links. One seed determines
// the whole run. Time is simulated and independent of real time.
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

/// One log entry.
struct ModelEntry {
  Term TermNumber = 0;
  std::uint64_t Id = 0;
};

/// A simulated backend server.
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

/// The parameters of a run.
struct ModelOptions {
  std::size_t Servers = 3;
  std::size_t Watchers = 3;
  std::uint64_t Seed = 1;
  /// Probability of a fault of any kind in each interval of 50 ms, in
  /// thousandths.
  unsigned FaultsPerMille = 60;
  unsigned LossPerMille = 20; ///< Message loss while faults are on.
  bool Kills = true;
  bool Cuts = true;
  bool Pauses = true;
  bool StoreOutages = true;
  bool WatcherRestarts = true;
  /// Servers restart without their state, one at a time, and only while all
  /// servers hold the primary's log.
  bool EmptyRestarts = false;
  /// Maximum duration of a pause, of a cut link and of a server that is down.
  Duration LongestFault = std::chrono::seconds(3);
  std::function<std::unique_ptr<Failover>(Random &)> MakeFailover =
      makeMajorityFailover;
  std::function<std::unique_ptr<Durability>()> MakeDurability =
      makeMajorityDurability;
};

/// Simulates a group and checks its invariants after every event.
class GroupModel {
public:
  explicit GroupModel(ModelOptions Options);
  ~GroupModel();

  /// Runs for \p Time of simulated time.
  void run(Duration Time);

  /// Turns random faults on or off. Turning them off also ends all present
  /// faults.
  void setFaults(bool On);

  /// Faults that a test injects directly.
  void kill(std::size_t Server);
  void restart(std::size_t Server, bool Empty);
  void pauseServer(std::size_t Server, Duration Time);
  void pauseWatcher(std::size_t Watcher, Duration Time);
  void isolateServer(std::size_t Server, bool Cut);
  /// Adds \p Extra to the delay of every message and answer.
  void setExtraDelay(Duration Extra) { this->ExtraDelay = Extra; }
  void cutLink(std::size_t A, std::size_t B);
  void setStoreDown(bool Down) { this->StoreDown = Down; }
  void setLeaving(std::size_t Server) { this->Servers[Server].Leaving = true; }
  /// Restarts the watcher without its state right after a majority answered its
  /// next adoption, before it can promote a server.
  void restartAfterAdoption(std::size_t Watcher);
  /// Kills the next server that is promoted, \p After its promotion.
  void killAfterPromotion(Duration After) { this->KillPromotedAfter = After; }

  /// Returns the first violated invariant, or an empty string.
  const std::string &violation() const { return this->Violation; }
  /// Returns the promotions that took effect, by term.
  const std::map<Term, ServerId> &promotions() const {
    return this->Promotions;
  }
  /// Returns the index of the primary of the highest term, or nothing if it is
  /// not running.
  std::optional<std::size_t> primary() const;
  /// Returns the highest position that any watcher has confirmed.
  LogPosition confirmed() const;
  /// Returns whether all servers run and replicate from the primary.
  bool allFollow() const;
  /// Returns the longest time between two confirmations since the start.
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
  using ReplyCallback = std::function<void(const std::optional<Reply> &)>;

  /// Runs \p Event at \p When.
  void schedule(TimePoint When, std::function<void()> Event);
  /// Returns the delay of one message.
  Duration randomDelay();
  bool isMessageLost();
  bool isLinkCut(std::size_t A, std::size_t B) const;
  /// Returns the node number of watcher \p W for isLinkCut() and cutLink(). The
  /// servers have the numbers below.
  std::size_t watcherNode(std::size_t W) const {
    return this->Servers.size() + W;
  }

  /// Sends \p R from watcher \p W to server \p S. Calls \p D with the reply, or
  /// with nothing after \p Limit.
  void call(std::size_t W, std::size_t S, Request R, ReplyCallback D,
            Duration Limit = CallLimit);
  /// Executes \p R on the server, after the end of its pause, and sends the
  /// reply.
  void deliverRequest(std::size_t W, std::size_t S, const Request &R,
                      const ReplyCallback &Answer);
  /// Runs \p Event in the watcher, after the end of its pause, unless the
  /// watcher was restarted since \p Epoch.
  void runOnWatcher(std::size_t W, std::uint64_t Epoch,
                    std::function<void()> Event);
  /// Starts or restarts a watcher without any state.
  void startWatcher(std::size_t W);

  void stepWatcher(std::size_t W, std::uint64_t Epoch);
  /// Requests the status of \p S, and again after the poll interval.
  void poll(std::size_t W, std::size_t S);
  void observe(std::size_t W, std::size_t S, const ServerStatus &Status,
               TimePoint SentAt);
  void execute(std::size_t W, const FailoverAction &Action);
  void claim(std::size_t W, Term T);
  void adopt(std::size_t W, const FailoverAction &Action);
  /// Passes the outcome of the current action to the watcher.
  void finishAction(std::size_t W, FailoverOutcome Outcome);
  std::size_t indexOf(const ServerId &Id) const;

  /// Copies entries from each primary to the replicas that follow it.
  void replicate();
  void write();
  void randomFault();
  void check();
  void recordViolation(const std::string &Description);

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
  std::optional<Duration> KillPromotedAfter;
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
