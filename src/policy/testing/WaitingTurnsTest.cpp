#include "policy/WaitingTurns.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <string>
#include <vector>

using namespace amaranthspur;

// Guards against a workspace whose burst makes the statements of all others
// wait behind its own.
TEST_CASE("waiting tasks are served by urgency, then in turn, then in order") {
  struct Row {
    const char *Name;
    /// Tasks as `<urgency><workspace><number>`; `+` serves one, `-` lets the
    /// next one give up.
    std::vector<std::string> Events;
    std::vector<std::string> Served; ///< Including those left at the end.
  };
  const Row Rows[] = {
      {"in order of arrival", {"1a1", "1a2", "1a3"}, {"1a1", "1a2", "1a3"}},
      {"by urgency", {"2a1", "1a2", "0b1"}, {"0b1", "1a2", "2a1"}},
      {"in turn",
       {"1a1", "1a2", "1a3", "1b1", "1b2", "1c1"},
       {"1a1", "1b1", "1c1", "1a2", "1b2", "1a3"}},
      {"a late workspace waits for one task of a burst only",
       {"1a1", "1a2", "1a3", "+", "1b1"},
       {"1a1", "1b1", "1a2", "1a3"}},
      {"single tasks don't keep a burst from being served",
       {"1a1", "1a2", "1b1", "+", "+", "1b2", "+", "1b3"},
       {"1a1", "1b1", "1a2", "1b2", "1b3"}},
      {"a task gives up", {"1a1", "1a2", "1b1", "-"}, {"1b1", "1a2"}},
      {"no credit for the time without tasks",
       {"1a1", "+", "1b1", "1b2", "1a2"},
       {"1a1", "1b1", "1a2", "1b2"}},
      {"urgent tasks don't change the turns of others",
       {"1a1", "1a2", "0a1", "0a2", "+", "+", "1b1"},
       {"0a1", "0a2", "1a1", "1b1", "1a2"}},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    WaitingTurns Turns;
    std::vector<std::pair<WaitingTurn, std::string>> Waiting;
    std::vector<std::string> Served;
    const auto Next = [&](bool IsServed) {
      for (std::size_t I = 0; I < Waiting.size(); ++I) {
        if (!Turns.isNext(Waiting[I].first))
          continue;
        Turns.remove(Waiting[I].first, IsServed);
        if (IsServed)
          Served.push_back(Waiting[I].second);
        Waiting.erase(Waiting.begin() + static_cast<std::ptrdiff_t>(I));
        return;
      }
      FAIL("no task is next");
    };
    for (const std::string &Event : R.Events) {
      if (Event == "+" || Event == "-")
        Next(Event == "+");
      else
        Waiting.emplace_back(Turns.add(static_cast<unsigned>(Event[0] - '0'),
                                       WorkspaceName(Event.substr(1, 1))),
                             Event);
    }
    while (!Waiting.empty())
      Next(true);
    CHECK(Served == R.Served);
    CHECK(Turns.size() == 0);
    CHECK(Turns.workspaces() == 0);
  }
}

// Guards against state of all workspaces that were ever served while some task
// was always waiting.
TEST_CASE("turns keep no state of workspaces that no longer wait") {
  WaitingTurns Turns;
  std::vector<WaitingTurn> Waiting;
  std::size_t Most = 0;
  for (int I = 0; I < 2000; ++I) {
    const WorkspaceName For("w" + std::to_string(I));
    Waiting.push_back(Turns.add(1, For));
    Waiting.push_back(Turns.add(1, For));
    while (Waiting.size() > 5) {
      const auto Next = std::find_if(
          Waiting.begin(), Waiting.end(),
          [&Turns](const WaitingTurn &T) { return Turns.isNext(T); });
      REQUIRE(Next != Waiting.end());
      Turns.remove(*Next, true);
      Waiting.erase(Next);
    }
    Most = std::max(Most, Turns.workspaces());
  }
  CHECK(Most <= 12);
}
