#include "policy/ConcurrencyLimit.h"

#include <catch2/catch.hpp>

using namespace amaranthspur;

namespace {
constexpr Duration PollInterval = milliseconds(100);
constexpr Duration Queueing = milliseconds(20);
} // namespace

// Guards against a limit that leaves its bounds or does not follow the server.
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
      {"calm", 5, {{Duration::zero(), 100, 5}}},
      {"one overload shrinks once", 5, {{Queueing, 1, 4}}},
      {"a report of the state before is not counted twice",
       5,
       {{Queueing, 3, 4}}},
      {"never below one", 5, {{Queueing, 1000, 1}}},
      {"one slot", 1, {{Queueing, 10, 1}, {Duration::zero(), 100, 1}}},
      {"many slots shrink by a quarter", 40, {{Queueing, 1, 30}}},
      {"between the thresholds it holds",
       5,
       {{Queueing, 1, 4}, {milliseconds(3), 1000, 4}}},
      {"grows back", 5, {{Queueing, 1000, 1}, {Duration::zero(), 200, 5}}},
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

// Guards against a server that has recovered and is left idle: the system has
// to settle within 2 s.
TEST_CASE("the limit is whole again two seconds after an overload") {
  ConcurrencyLimit Limit(5);
  TimePoint Now{std::chrono::seconds(1000)};
  for (int I = 0; I < 20; ++I, Now += PollInterval)
    Limit.observe(Queueing, Now);
  REQUIRE(Limit.limit() == 1);
  for (int I = 0; I < 20; ++I, Now += PollInterval)
    Limit.observe(Duration::zero(), Now);
  CHECK(Limit.limit() == 5);
}

// Guards against a limit that swings for ever about what the server can run: a
// server with 3 real slots queues whenever 4 are used.
TEST_CASE("the limit settles below a lasting bottleneck") {
  ConcurrencyLimit Limit(5);
  TimePoint Now{std::chrono::seconds(1000)};
  unsigned Changes = 0;
  for (int I = 0; I < 3000; ++I, Now += PollInterval) {
    const unsigned Before = Limit.limit();
    Limit.observe(Before > 3 ? Queueing : Duration::zero(), Now);
    if (I >= 600 && Limit.limit() != Before)
      ++Changes;
  }
  // One trial of a fourth slot in 16 s at most, up and down again.
  CHECK(Changes <= 2 * 240 / 16 + 2);
  CHECK(Limit.limit() >= 3);
}

// Guards against a changed number of slots that is not taken over.
TEST_CASE("a change of the slots is followed") {
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
      {"none means one", false, 0, 1},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    ConcurrencyLimit Limit(5);
    if (R.Overloaded)
      Limit.observe(Queueing, TimePoint{std::chrono::seconds(1)});
    Limit.setSlots(R.NewSlots);
    CHECK(Limit.limit() == R.Expected);
  }
}
