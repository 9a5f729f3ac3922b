#include "policy/ConcurrencyLimit.h"

#include <catch2/catch.hpp>

using namespace amaranthspur;

namespace {
constexpr Duration PollInterval = milliseconds(100);
constexpr Duration OverloadQueueTime = milliseconds(20);
} // namespace

// Guards against a limit that leaves its bounds or does not react to the
// queueing time of the server.
TEST_CASE("the limit follows the server's queueing time") {
  struct Step {
    Duration QueueTime;
    unsigned Polls;
    unsigned Expected;
  };
  struct Row {
    const char *Name;
    unsigned Slots;
    std::vector<Step> Steps;
  };
  const Row Rows[] = {
      {"no queueing", 5, {{Duration::zero(), 100, 5}}},
      {"one overload decreases the limit once", 5, {{OverloadQueueTime, 1, 4}}},
      {"a status from before the decrease has no effect",
       5,
       {{OverloadQueueTime, 3, 4}}},
      {"never below one slot", 5, {{OverloadQueueTime, 1000, 1}}},
      {"one slot", 1, {{OverloadQueueTime, 10, 1}, {Duration::zero(), 100, 1}}},
      {"many slots decrease by a quarter", 40, {{OverloadQueueTime, 1, 30}}},
      {"unchanged between the thresholds",
       5,
       {{OverloadQueueTime, 1, 4}, {milliseconds(3), 1000, 4}}},
      {"recovers after the overload",
       5,
       {{OverloadQueueTime, 1000, 1}, {Duration::zero(), 200, 5}}},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    ConcurrencyLimit Limit(R.Slots);
    TimePoint Now{std::chrono::seconds(1000)};
    for (const Step &S : R.Steps) {
      for (unsigned I = 0; I < S.Polls; ++I) {
        Limit.observe(S.QueueTime, Now);
        Now += PollInterval;
        CHECK(Limit.limit() >= 1);
        CHECK(Limit.limit() <= R.Slots);
      }
      CHECK(Limit.limit() == S.Expected);
    }
  }
}

// Guards against leaving a recovered server underused: the system has to settle
// within 2 s after an overload.
TEST_CASE("the limit recovers fully within two seconds after an overload") {
  ConcurrencyLimit Limit(5);
  TimePoint Now{std::chrono::seconds(1000)};
  for (int I = 0; I < 20; ++I, Now += PollInterval)
    Limit.observe(OverloadQueueTime, Now);
  REQUIRE(Limit.limit() == 1);
  for (int I = 0; I < 20; ++I, Now += PollInterval)
    Limit.observe(Duration::zero(), Now);
  CHECK(Limit.limit() == 5);
}

// Guards against a limit that oscillates for ever around the capacity of the
// server: a server that can run 3 statements queues whenever 4 slots are used.
TEST_CASE("the limit converges at a permanent bottleneck") {
  ConcurrencyLimit Limit(5);
  TimePoint Now{std::chrono::seconds(1000)};
  unsigned Changes = 0;
  for (int I = 0; I < 3000; ++I, Now += PollInterval) {
    const unsigned Before = Limit.limit();
    Limit.observe(Before > 3 ? OverloadQueueTime : Duration::zero(), Now);
    if (I >= 600 && Limit.limit() != Before)
      ++Changes;
  }
  // The limit tries a fourth slot at most once in 16 s; each attempt is two
  // changes, an increase and a decrease.
  CHECK(Changes <= 2 * 240 / 16 + 2);
  CHECK(Limit.limit() >= 3);
}

// Guards against a limit that ignores a changed number of configured slots.
TEST_CASE("the limit follows a change of the configured slots") {
  struct Row {
    const char *Name;
    bool Overloaded;
    unsigned NewSlots;
    unsigned Expected;
  };
  const Row Rows[] = {
      {"more, at the limit", false, 8, 8},
      {"fewer, at the limit", false, 3, 3},
      {"more, below the limit", true, 8, 4},
      {"fewer, below the limit", true, 2, 2},
      {"zero slots count as one", false, 0, 1},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    ConcurrencyLimit Limit(5);
    if (R.Overloaded)
      Limit.observe(OverloadQueueTime, TimePoint{std::chrono::seconds(1)});
    Limit.setSlots(R.NewSlots);
    CHECK(Limit.limit() == R.Expected);
  }
}
