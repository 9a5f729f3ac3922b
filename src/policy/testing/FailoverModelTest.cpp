#include "policy/testing/GroupModel.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cstdlib>

using namespace amaranthspur;
using namespace amaranthspur::testing;

namespace {

/// Confirms by position alone: a server counts whatever its terms are. Broken
/// on purpose.
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

constexpr Duration Settle = std::chrono::seconds(3);
constexpr Duration FaultTime = std::chrono::seconds(40);
/// After the last fault, a group with all servers up has a primary that all
/// follow and that confirms, within this time.
constexpr Duration RecoveryLimit = std::chrono::seconds(6);

/// Rounds of the random test. More than one is for long runs by hand; the
/// default keeps the run with sanitizers below a minute.
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

/// Runs one seed with random faults and returns the first broken promise.
std::string violationOf(const ModelOptions &Options) {
  GroupModel Model(Options);
  Model.run(Settle);
  Model.setFaults(true);
  Model.run(FaultTime);
  Model.setFaults(false);
  Model.run(RecoveryLimit);
  if (!Model.violation().empty())
    return Model.violation();
  const LogPosition Before = Model.confirmed();
  Model.run(Settle);
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

// Guards against an acknowledged write that a failover loses, against two
// primaries in a term, and against a group that does not recover.
TEST_CASE("the majority failover keeps its promises under random faults") {
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
      {"servers that come back empty", 3, 3,
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
      CHECK(violationOf(Options) == "");
    }
  }
}

// Guards against a model whose checks cannot fail: each broken variant has to
// be caught within a bounded number of seeds.
TEST_CASE("the model catches broken variants") {
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
    unsigned Caught = 0;
    std::string First;
    for (unsigned Seed = 1; Seed <= R.Seeds; ++Seed) {
      ModelOptions Options;
      Options.Servers = R.Servers;
      Options.Watchers = R.Watchers;
      Options.Seed = Seed;
      R.Change(Options);
      const std::string Found = violationOf(Options);
      if (Found.starts_with("confirmed position") ||
          Found.starts_with("two primaries")) {
        ++Caught;
        First = Found;
      }
    }
    CAPTURE(First);
    CHECK(Caught > 0);
    WARN(R.Name << ": caught in " << Caught << " of " << R.Seeds << " seeds, "
                << First);
  }
}

// Guards against gaps beyond the target in the single faults that happen
// weekly. Model time, so the limits hold on any machine.
TEST_CASE("the failover gap after one fault") {
  struct GapRow {
    const char *Name;
    std::function<void(GroupModel &)> Fault;
    Duration Limit;
  };
  const GapRow Rows[] = {
      {"primary killed", [](GroupModel &M) { M.kill(0); }, milliseconds(1300)},
      {"primary cut off", [](GroupModel &M) { M.cutServer(0, true); },
       milliseconds(1300)},
      {"primary paused for long",
       [](GroupModel &M) { M.pauseServer(0, std::chrono::seconds(20)); },
       milliseconds(1300)},
      {"primary killed, store down",
       [](GroupModel &M) {
         M.setStoreDown(true);
         M.kill(0);
       },
       milliseconds(1600)},
      {"primary and the first watcher",
       [](GroupModel &M) {
         M.kill(0);
         M.pauseWatcher(0, std::chrono::seconds(20));
       },
       milliseconds(1600)},
      {"promoter dies after its adoption",
       [](GroupModel &M) {
         M.dieAfterAdoption(0);
         M.kill(0);
       },
       milliseconds(2600)},
      {"promoted server dies before the others follow, old primary is back",
       [](GroupModel &M) {
         M.killAfterPromotion(milliseconds(1));
         M.pauseServer(0, milliseconds(1500));
       },
       milliseconds(3000)},
      {"primary comes back without its log",
       [](GroupModel &M) { M.restart(0, true); }, milliseconds(1000)},
  };
  for (const GapRow &R : Rows) {
    std::vector<Duration> Gaps;
    for (unsigned Seed = 1; Seed <= 50; ++Seed) {
      ModelOptions Options;
      Options.Seed = Seed;
      GroupModel Model(Options);
      Model.run(Settle + Duration(static_cast<Duration::rep>(Seed * 1777)));
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

// Guards against a promotion without need: a pause or a spike that is shorter
// than the detection time.
TEST_CASE("no promotion without need") {
  struct QuietRow {
    const char *Name;
    std::function<void(GroupModel &)> Event;
  };
  const QuietRow Rows[] = {
      {"nothing", [](GroupModel &) {}},
      {"primary paused for 500 ms",
       [](GroupModel &M) { M.pauseServer(0, milliseconds(500)); }},
      {"primary paused for 650 ms",
       [](GroupModel &M) { M.pauseServer(0, milliseconds(650)); }},
      {"every message 150 ms late for 600 ms",
       [](GroupModel &M) {
         M.setExtraDelay(milliseconds(150));
         M.run(milliseconds(600));
         M.setExtraDelay({});
       }},
      {"every message 300 ms late for 500 ms",
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
      {"replica restarted empty", [](GroupModel &M) { M.restart(1, true); }},
      {"store down", [](GroupModel &M) { M.setStoreDown(true); }},
  };
  for (const QuietRow &R : Rows) {
    for (unsigned Seed = 1; Seed <= 20; ++Seed) {
      ModelOptions Options;
      Options.Seed = Seed;
      GroupModel Model(Options);
      Model.run(Settle + Duration(static_cast<Duration::rep>(Seed * 10007)));
      R.Event(Model);
      Model.run(std::chrono::seconds(10));
      CAPTURE(R.Name, Seed);
      CHECK(Model.violation() == "");
      CHECK(Model.promotions().size() == 1);
    }
  }
}

// Guards against a promotion in a part of the group that has no majority.
TEST_CASE("no promotion without a reachable majority") {
  for (unsigned Seed = 1; Seed <= 20; ++Seed) {
    ModelOptions Options;
    Options.Seed = Seed;
    GroupModel Model(Options);
    Model.run(Settle);
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

// Guards against a server that lost its state and is counted for a majority
// before it has caught up. The third server is behind, so that a promotion
// without the primary would lose what the two others had confirmed.
TEST_CASE("a server that lost its log does not count for a majority") {
  for (unsigned Seed = 1; Seed <= 75; ++Seed) {
    ModelOptions Options;
    Options.Seed = Seed;
    GroupModel Model(Options);
    Model.run(Settle);
    Model.cutLink(0, 2);
    Model.run(Settle);
    Model.restart(1, true);
    // The follow comes with one of the next polls, so that the primary dies
    // before, during or after the copying of the log.
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

// Guards against a drained primary that stays primary, and against switching
// to and fro.
TEST_CASE("a leaving primary hands over once") {
  for (unsigned Seed = 1; Seed <= 40; ++Seed) {
    ModelOptions Options;
    Options.Seed = Seed;
    GroupModel Model(Options);
    Model.run(Settle);
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
