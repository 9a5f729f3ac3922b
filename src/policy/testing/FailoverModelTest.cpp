#include "policy/testing/GroupModel.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cstdlib>

using namespace amaranthspur;
using namespace amaranthspur::testing;

namespace {

/// A deliberately incorrect variant that confirms by position alone, without
/// regard to the terms of a server.
class AnyTermDurability final : public Durability {
public:
  void configure(const std::vector<ServerId> &Servers) override {
    this->Needed = majorityOf(Servers.size());
  }
  void observe(const ServerId &Server, const ServerStatus &Status, TimePoint,
               TimePoint) override {
    this->Ends[Server] = Status.LogEnd;
    std::vector<LogPosition> Held;
    Held.reserve(this->Ends.size());
    for (const auto &[Id, End] : this->Ends)
      Held.push_back(End);
    if (Held.size() < this->Needed)
      return;
    std::sort(Held.rbegin(), Held.rend());
    this->Confirmed = std::max(this->Confirmed, Held[this->Needed - 1]);
  }
  LogPosition confirmed() const override { return this->Confirmed; }
  bool isConfirmed(LogPosition Position) const override {
    return Position <= this->Confirmed;
  }
  bool termEnded(Term) const override { return false; }
  bool acceptsWrites(TimePoint) const override { return true; }

private:
  std::size_t Needed = 0;
  std::map<ServerId, LogPosition> Ends;
  LogPosition Confirmed;
};

constexpr Duration SettleTime = std::chrono::seconds(3);
constexpr Duration FaultTime = std::chrono::seconds(40);
/// Time limit for the recovery after the last fault. With all servers running,
/// the group then has a primary, all servers follow it, and writes are
/// confirmed.
constexpr Duration RecoveryLimit = std::chrono::seconds(6);

/// Factor for the number of seeds of the random test, for long manual runs. The
/// default of 1 keeps the run with sanitizers below a minute.
unsigned rounds() {
  const char *Text = std::getenv("AMARANTHSPUR_MODEL_ROUNDS");
  return Text ? static_cast<unsigned>(std::max(std::atoi(Text), 1)) : 1;
}

struct Row {
  const char *Name;
  std::size_t Servers;
  std::size_t Watchers;
  std::function<void(ModelOptions &)> Change;
  unsigned Seeds;
};

/// Runs one seed with random faults and returns the first violated invariant,
/// or an empty string.
std::string runWithRandomFaults(const ModelOptions &Options) {
  GroupModel Model(Options);
  Model.run(SettleTime);
  Model.setFaults(true);
  Model.run(FaultTime);
  Model.setFaults(false);
  Model.run(RecoveryLimit);
  if (!Model.violation().empty())
    return Model.violation();
  const LogPosition Before = Model.confirmed();
  Model.run(SettleTime);
  if (!Model.violation().empty())
    return Model.violation();
  if (!Model.primary())
    return "no primary after the faults";
  if (!Model.allFollow())
    return "a server does not follow after the faults";
  if (Model.confirmed() <= Before)
    return "nothing is confirmed after the faults";
  return {};
}

} // namespace

// Guards against a failover that loses an acknowledged write, against two
// primaries in one term, and against a group that does not recover.
TEST_CASE("the majority failover keeps its invariants under random faults") {
  const Row Rows[] = {
      {"all faults", 3, 3, [](ModelOptions &) {}, 40},
      {"two watchers", 3, 2, [](ModelOptions &) {}, 25},
      {"five servers", 5, 3, [](ModelOptions &) {}, 20},
      {"frequent faults", 3, 3,
       [](ModelOptions &O) {
         O.FaultsPerMille = 250;
         O.LossPerMille = 100;
       },
       25},
      {"store down or slow only", 3, 3,
       [](ModelOptions &O) {
         O.Kills = O.Cuts = O.Pauses = false;
         O.LossPerMille = 200;
       },
       10},
      {"pauses only", 3, 3,
       [](ModelOptions &O) {
         O.Kills = O.Cuts = O.StoreOutages = O.WatcherRestarts = false;
         O.FaultsPerMille = 400;
       },
       20},
      {"servers that restart without their state", 3, 3,
       [](ModelOptions &O) {
         O.EmptyRestarts = true;
         O.Kills = O.Cuts = O.WatcherRestarts = false;
         O.FaultsPerMille = 150;
         O.LongestFault = milliseconds(400);
       },
       20},
  };
  for (const Row &R : Rows) {
    for (unsigned Seed = 1; Seed <= R.Seeds * rounds(); ++Seed) {
      ModelOptions Options;
      Options.Servers = R.Servers;
      Options.Watchers = R.Watchers;
      Options.Seed = Seed;
      R.Change(Options);
      CAPTURE(R.Name, Seed);
      CHECK(runWithRandomFaults(Options) == "");
    }
  }
}

// Guards against a model whose checks cannot fail: each incorrect variant has
// to be detected within a bounded number of seeds.
TEST_CASE("the model detects incorrect variants") {
  const Row Rows[] = {
      {"naive failover", 3, 3,
       [](ModelOptions &O) { O.MakeFailover = makeNaiveFailover; }, 20},
      {"durability without the majority", 3, 3,
       [](ModelOptions &O) { O.MakeDurability = makeImmediateDurability; }, 20},
      {"durability without the same-term rule", 3, 3,
       [](ModelOptions &O) {
         O.MakeDurability = [] {
           return std::make_unique<AnyTermDurability>();
         };
       },
       40},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    unsigned Detected = 0;
    std::string First;
    for (unsigned Seed = 1; Seed <= R.Seeds; ++Seed) {
      ModelOptions Options;
      Options.Servers = R.Servers;
      Options.Watchers = R.Watchers;
      Options.Seed = Seed;
      R.Change(Options);
      const std::string Found = runWithRandomFaults(Options);
      if (Found.starts_with("confirmed position") ||
          Found.starts_with("two primaries")) {
        ++Detected;
        First = Found;
      }
    }
    CAPTURE(First);
    CHECK(Detected > 0);
    WARN(R.Name << ": detected in " << Detected << " of " << R.Seeds
                << " seeds, " << First);
  }
}

// Guards against write interruptions beyond the target after a single fault of
// a kind that happens weekly. The time is simulated, so the limits hold on any
// machine.
TEST_CASE("the failover gap after one fault") {
  struct GapRow {
    const char *Name;
    std::function<void(GroupModel &)> Fault;
    Duration Limit;
  };
  const GapRow Rows[] = {
      {"primary killed", [](GroupModel &M) { M.kill(0); }, milliseconds(1300)},
      {"primary isolated", [](GroupModel &M) { M.isolateServer(0, true); },
       milliseconds(1300)},
      {"primary paused for 20 s",
       [](GroupModel &M) { M.pauseServer(0, std::chrono::seconds(20)); },
       milliseconds(1300)},
      {"primary killed, store down",
       [](GroupModel &M) {
         M.setStoreDown(true);
         M.kill(0);
       },
       milliseconds(1600)},
      {"primary killed, first watcher paused",
       [](GroupModel &M) {
         M.kill(0);
         M.pauseWatcher(0, std::chrono::seconds(20));
       },
       milliseconds(1600)},
      {"promoting watcher restarts after its adoption",
       [](GroupModel &M) {
         M.restartAfterAdoption(0);
         M.kill(0);
       },
       milliseconds(2600)},
      {"promoted server killed before the others follow, old primary resumes",
       [](GroupModel &M) {
         M.killAfterPromotion(milliseconds(1));
         M.pauseServer(0, milliseconds(1500));
       },
       milliseconds(3000)},
      {"primary restarts without its log",
       [](GroupModel &M) { M.restart(0, true); }, milliseconds(1000)},
  };
  for (const GapRow &R : Rows) {
    std::vector<Duration> Gaps;
    for (unsigned Seed = 1; Seed <= 50; ++Seed) {
      ModelOptions Options;
      Options.Seed = Seed;
      GroupModel Model(Options);
      Model.run(SettleTime + Duration(static_cast<Duration::rep>(Seed * 1777)));
      R.Fault(Model);
      Model.run(std::chrono::seconds(10));
      CAPTURE(R.Name, Seed);
      CHECK(Model.violation() == "");
      CHECK(Model.promotions().size() >= 2);
      CHECK(Model.longestGap() <= R.Limit);
      Gaps.push_back(Model.longestGap());
    }
    std::sort(Gaps.begin(), Gaps.end());
    WARN(R.Name << ": gap median " << toMilliseconds(Gaps[Gaps.size() / 2])
                << " ms, longest " << toMilliseconds(Gaps.back()) << " ms");
  }
}

// Guards against an unnecessary promotion: a pause or a latency spike that is
// shorter than the detection time must not cause one.
TEST_CASE("no unnecessary promotion") {
  struct EventRow {
    const char *Name;
    std::function<void(GroupModel &)> Event;
  };
  const EventRow Rows[] = {
      {"nothing", [](GroupModel &) {}},
      {"primary paused for 500 ms",
       [](GroupModel &M) { M.pauseServer(0, milliseconds(500)); }},
      {"primary paused for 650 ms",
       [](GroupModel &M) { M.pauseServer(0, milliseconds(650)); }},
      {"every message delayed by 150 ms for 600 ms",
       [](GroupModel &M) {
         M.setExtraDelay(milliseconds(150));
         M.run(milliseconds(600));
         M.setExtraDelay({});
       }},
      {"every message delayed by 300 ms for 500 ms",
       [](GroupModel &M) {
         M.setExtraDelay(milliseconds(300));
         M.run(milliseconds(500));
         M.setExtraDelay({});
       }},
      {"every watcher paused for 5 s",
       [](GroupModel &M) {
         for (std::size_t W = 0; W < 3; ++W)
           M.pauseWatcher(W, std::chrono::seconds(5));
       }},
      {"a watcher paused for 400 ms",
       [](GroupModel &M) { M.pauseWatcher(0, milliseconds(400)); }},
      {"replicas killed",
       [](GroupModel &M) {
         M.kill(1);
         M.kill(2);
       }},
      {"replica restarted without its state",
       [](GroupModel &M) { M.restart(1, true); }},
      {"store down", [](GroupModel &M) { M.setStoreDown(true); }},
  };
  for (const EventRow &R : Rows) {
    for (unsigned Seed = 1; Seed <= 20; ++Seed) {
      ModelOptions Options;
      Options.Seed = Seed;
      GroupModel Model(Options);
      Model.run(SettleTime +
                Duration(static_cast<Duration::rep>(Seed * 10007)));
      R.Event(Model);
      Model.run(std::chrono::seconds(10));
      CAPTURE(R.Name, Seed);
      CHECK(Model.violation() == "");
      CHECK(Model.promotions().size() == 1);
    }
  }
}

// Guards against a promotion in a partition without a majority of the group.
TEST_CASE("no promotion without a reachable majority") {
  for (unsigned Seed = 1; Seed <= 20; ++Seed) {
    ModelOptions Options;
    Options.Seed = Seed;
    GroupModel Model(Options);
    Model.run(SettleTime);
    Model.kill(0);
    Model.kill(1);
    Model.run(std::chrono::seconds(20));
    CHECK(Model.promotions().size() == 1);
    Model.restart(1, false);
    Model.run(std::chrono::seconds(4));
    CHECK(Model.promotions().size() == 2);
    CHECK(Model.violation() == "");
  }
}

// Guards against counting a server that lost its state for a majority before it
// has caught up. The third server lags behind, so that a promotion without the
// primary would lose entries that the other two servers had confirmed.
TEST_CASE("a server that lost its log does not count for a majority") {
  for (unsigned Seed = 1; Seed <= 75; ++Seed) {
    ModelOptions Options;
    Options.Seed = Seed;
    GroupModel Model(Options);
    Model.run(SettleTime);
    Model.cutLink(0, 2);
    Model.run(SettleTime);
    Model.restart(1, true);
    // The watcher sends the follow command after one of the next polls, so that
    // the primary is killed before, during or after the copying of the log.
    Model.run(Duration(static_cast<Duration::rep>(Seed * 4000)));
    Model.kill(0);
    Model.run(std::chrono::seconds(8));
    CAPTURE(Seed);
    REQUIRE(Model.violation() == "");
    Model.restart(0, false);
    Model.setFaults(false);
    const LogPosition Before = Model.confirmed();
    Model.run(RecoveryLimit);
    CHECK(Model.violation() == "");
    CHECK(Model.primary());
    CHECK(Model.confirmed() > Before);
  }
}

// Guards against a leaving primary that stays primary, and against repeated
// switches between servers.
TEST_CASE("a leaving primary is replaced exactly once") {
  for (unsigned Seed = 1; Seed <= 40; ++Seed) {
    ModelOptions Options;
    Options.Seed = Seed;
    GroupModel Model(Options);
    Model.run(SettleTime);
    Model.setLeaving(0);
    Model.run(std::chrono::seconds(12));
    CAPTURE(Seed);
    CHECK(Model.violation() == "");
    REQUIRE(Model.primary());
    CHECK(*Model.primary() != 0);
    CHECK(Model.promotions().size() == 2);
    CHECK(Model.longestGap() <= milliseconds(700));
  }
}
