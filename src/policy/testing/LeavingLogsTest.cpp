#include "policy/LeavingLogs.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <functional>

using namespace amaranthspur;

namespace {

/// Returns a time that counts in units of the notice time.
TimePoint at(int Units) { return TimePoint(Units * LeavingLogs::NoticeTime); }

/// A group of three servers, of which `c` has been leaving since time 10.
struct Fixture {
  Fixture() { this->set({"c"}, 10); }

  /// Sets the servers, with those in \p Leaving leaving.
  void set(const std::vector<std::string> &Leaving, int Time,
           std::int64_t StartOfC = 1) {
    std::vector<RegisteredServer> Listed;
    for (const char *Id : {"a", "b", "c"}) {
      RegisteredServer R;
      R.Id = ServerId(Id);
      R.StartedAtMs = R.Id == ServerId("c") ? StartOfC : 1;
      R.Draining =
          std::find(Leaving.begin(), Leaving.end(), Id) != Leaving.end();
      Listed.push_back(R);
    }
    this->Logs.setServers(Listed, at(Time));
  }
  void end(const char *Id, std::uint64_t Index, int Time) {
    this->Logs.observeEnd(ServerId(Id), {1, Index}, at(Time));
  }

  LeavingLogs Logs;
};

} // namespace

// Guards against a lost commit that was reported before every entry VM knew
// that its only holder was leaving, and against a group that waits for the log
// of a server that has left although no commit depends on it.
TEST_CASE("the log of a leaving server counts as far as callers rely on it") {
  struct Row {
    const char *Name;
    std::function<void(Fixture &)> Events;
    const char *Counted; ///< `-` if all of the log counts.
  };
  const Row Rows[] = {
      {"nothing is reported", [](Fixture &) {}, "-"},
      {"it reports before every entry VM knows",
       [](Fixture &F) { F.end("c", 5, 10); }, "-"},
      {"it reports afterwards", [](Fixture &F) { F.end("c", 5, 11); }, "1.5"},
      {"it reports again",
       [](Fixture &F) {
         F.end("c", 5, 11);
         F.end("c", 7, 12);
       },
       "1.5"},
      {"another replica reports", [](Fixture &F) { F.end("b", 5, 11); }, "-"},
      {"the primary answers",
       [](Fixture &F) {
         F.Logs.observePrimary({1, 6}, at(11));
       },
       "1.6"},
      {"the primary was asked before",
       [](Fixture &F) {
         F.Logs.observePrimary({1, 6}, at(10));
       },
       "-"},
      {"a change of another server does not begin the wait again",
       [](Fixture &F) {
         F.set({"c"}, 11);
         F.end("c", 5, 11);
       },
       "1.5"},
      {"only one server stays",
       [](Fixture &F) {
         F.set({"b", "c"}, 10);
         F.end("c", 5, 12);
       },
       "-"},
      {"only one server stayed until now",
       [](Fixture &F) {
         F.set({"b", "c"}, 11);
         F.set({"c"}, 13);
         F.end("c", 5, 13);
       },
       "-"},
      {"it stays after all",
       [](Fixture &F) {
         F.end("c", 5, 11);
         F.set({}, 12);
       },
       "-"},
      {"it restarts and leaves again",
       [](Fixture &F) {
         F.end("c", 5, 11);
         F.set({"c"}, 12, 2);
       },
       "-"},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    Fixture F;
    R.Events(F);
    CHECK(positionText(F.Logs.countedEnd(ServerId("c"))) == R.Counted);
    CHECK_FALSE(F.Logs.countedEnd(ServerId("a")));
    CHECK_FALSE(F.Logs.countedEnd(ServerId("d")));
  }
}
