#include "policy/Failover.h"

#include <catch2/catch.hpp>

#include <functional>
#include <string>

using namespace amaranthspur;

namespace {

constexpr TimePoint Start{std::chrono::seconds(100)};

/// A watcher whose observations are set by the test. Initially, s0 is the
/// primary of term 1 with log end 1/12; s1 and s2 follow it with log end 1/10.
class Watcher {
public:
  explicit Watcher(bool Naive = false)
      : Promotion(Naive ? makeNaiveFailover(this->Rng)
                        : makeMajorityFailover(this->Rng)) {
    for (const char *Id : {"s0", "s1", "s2"}) {
      ServerStatus Status;
      Status.AdoptedTerm = 1;
      Status.LogEnd = {1, 10};
      Status.Primary = ServerId("s0");
      this->Seen.Servers.push_back({ServerId(Id), false, Status, Start});
    }
    this->status(0).Role = ServerRole::Primary;
    this->status(0).LogEnd = {1, 12};
  }

  ServerStatus &status(std::size_t S) { return *this->Seen.Servers[S].Status; }

  /// Calls step() every 25 ms until it returns an action other than Wait and
  /// Follow, for at most \p Limit. Servers marked in Silent do not answer.
  FailoverAction run(Duration Limit) {
    const TimePoint End = this->Now + Limit;
    while (this->Now < End) {
      this->Now += milliseconds(25);
      FailoverAction Action = this->step();
      if (Action.Step == FailoverStep::Follow)
        this->Follows += Action.Server.str() + ">" + Action.Primary.str() +
                         "@" + std::to_string(Action.TermNumber) + " ";
      else if (Action.Step != FailoverStep::Wait)
        return Action;
    }
    return {};
  }

  FailoverAction step() {
    for (std::size_t S = 0; S < this->Seen.Servers.size(); ++S)
      if (!this->Silent[S])
        this->Seen.Servers[S].AnsweredAt = this->Now;
    FailoverAction Action = this->Promotion->step(this->Seen, this->Now);
    this->Seen.Outcome.reset();
    return Action;
  }

  /// Advances the time by \p Took, the duration of the last action, and calls
  /// step() with the outcome of that action.
  FailoverAction reportOutcome(FailoverStep Step, ActionResult Result,
                               std::vector<Adoption> Adoptions = {}, Term T = 0,
                               Duration Took = milliseconds(10)) {
    this->Now += Took;
    this->Seen.Outcome = FailoverOutcome{Step, Result, T, std::move(Adoptions)};
    return this->step();
  }

  /// Silences the primary and runs the promotion until the action \p Until.
  FailoverAction runUntil(FailoverStep Until) {
    this->Silent[0] = true;
    FailoverAction Action = this->run(std::chrono::seconds(2));
    while (Action.Step != Until && Action.Step != FailoverStep::Wait) {
      ActionResult Result = ActionResult::Succeeded;
      std::vector<Adoption> Adoptions;
      if (Action.Step == FailoverStep::ProbeOverNewConnection)
        Result = ActionResult::NoAnswer;
      if (Action.Step == FailoverStep::Adopt)
        Adoptions = {{ServerId("s1"), {1, 10}}, {ServerId("s2"), {1, 11}}};
      Action = this->reportOutcome(Action.Step, Result, Adoptions);
      if (Action.Step == FailoverStep::Wait)
        Action = this->run(std::chrono::seconds(2));
    }
    return Action;
  }

  Duration elapsed() const { return this->Now - Start; }

  Random Rng{7};
  std::unique_ptr<Failover> Promotion;
  GroupObservation Seen;
  bool Silent[3] = {false, false, false};
  TimePoint Now = Start;
  std::string Follows;
};

std::string describe(const FailoverAction &Action) {
  std::string Text(nameOf(Action.Step));
  if (!Action.Server.empty())
    Text += " " + Action.Server.str();
  for (const ServerId &Id : Action.Adopters)
    Text += " " + Id.str();
  if (Action.TermNumber > 0)
    Text += " " + std::to_string(Action.TermNumber);
  return Text;
}

constexpr ActionResult Succeeded = ActionResult::Succeeded;
constexpr ActionResult NoAnswer = ActionResult::NoAnswer;
constexpr ActionResult Refused = ActionResult::Refused;

Adoption adoption(const char *Id, LogPosition End) {
  return {ServerId(Id), End};
}

} // namespace

// Guards against a wrong next action in each phase of a promotion.
TEST_CASE("the next action of a promotion") {
  using W = Watcher;
  struct Row {
    const char *Name;
    std::function<FailoverAction(W &)> Run;
    std::string Expected;
  };
  const auto AfterAdoption = [](const std::vector<Adoption> &Adoptions) {
    return [Adoptions](W &S) {
      S.runUntil(FailoverStep::Adopt);
      return S.reportOutcome(FailoverStep::Adopt, Succeeded, Adoptions);
    };
  };
  const Row Rows[] = {
      {"no failure", [](W &S) { return S.run(std::chrono::seconds(30)); },
       "wait"},
      {"silent primary is probed",
       [](W &S) { return S.runUntil(FailoverStep::ProbeOverNewConnection); },
       "probe-fresh s0"},
      {"claims the next term",
       [](W &S) { return S.runUntil(FailoverStep::Claim); }, "claim 2"},
      {"claims a term above every adopted one",
       [](W &S) {
         S.status(1).AdoptedTerm = 6;
         return S.runUntil(FailoverStep::Claim);
       },
       "claim 7"},
      {"requests adoption from all servers",
       [](W &S) { return S.runUntil(FailoverStep::Adopt); },
       "adopt s0 s1 s2 2"},
      {"continues if the claim is not answered",
       [](W &S) {
         S.runUntil(FailoverStep::Claim);
         return S.reportOutcome(FailoverStep::Claim, NoAnswer);
       },
       "adopt s0 s1 s2 2"},
      {"backs off if another watcher holds the claim",
       [](W &S) {
         S.runUntil(FailoverStep::Claim);
         return S.reportOutcome(FailoverStep::Claim, Refused, {}, 2);
       },
       "wait"},
      {"promotes the server with the highest log end",
       AfterAdoption({adoption("s1", {1, 10}), adoption("s2", {1, 11})}),
       "promote s2 2"},
      {"a higher log term wins over a longer log",
       AfterAdoption({adoption("s1", {2, 3}), adoption("s2", {1, 99})}),
       "promote s1 2"},
      {"promotes the former primary if it has the highest log end",
       AfterAdoption({adoption("s0", {1, 12}), adoption("s1", {1, 10}),
                      adoption("s2", {1, 11})}),
       "promote s0 2"},
      {"no majority adopted", AfterAdoption({adoption("s1", {1, 10})}), "wait"},
      {"an empty log does not count",
       AfterAdoption({adoption("s1", {1, 10}), adoption("s2", {0, 0})}),
       "wait"},
      {"a server of another group does not count",
       AfterAdoption({adoption("s1", {1, 10}), adoption("x", {1, 10})}),
       "wait"},
      {"the primary answers the probe",
       [](W &S) {
         S.runUntil(FailoverStep::ProbeOverNewConnection);
         S.Silent[0] = false;
         S.reportOutcome(FailoverStep::ProbeOverNewConnection, Succeeded);
         return S.run(std::chrono::seconds(5));
       },
       "wait"},
      {"the primary answers during the claim",
       [](W &S) {
         S.runUntil(FailoverStep::Claim);
         S.Silent[0] = false;
         return S.reportOutcome(FailoverStep::Claim, Succeeded);
       },
       "wait"},
      {"no majority is reachable",
       [](W &S) {
         S.Silent[1] = true;
         return S.runUntil(FailoverStep::Claim);
       },
       "wait"},
      {"the primary answers as a replica",
       [](W &S) {
         S.run(milliseconds(100));
         S.status(0).Role = ServerRole::Replica;
         return S.run(milliseconds(50));
       },
       "claim 2"},
      {"the primary lost its log",
       [](W &S) {
         S.run(milliseconds(100));
         S.status(0).LogEnd = {1, 3};
         return S.run(milliseconds(50));
       },
       "claim 2"},
      {"a term without a primary leads to a new promotion",
       [](W &S) {
         S.run(milliseconds(100));
         S.status(1).AdoptedTerm = S.status(2).AdoptedTerm = 4;
         return S.run(milliseconds(700));
       },
       "claim 5"},
      {"does not interrupt the promotion of a term adopted recently",
       [](W &S) {
         S.Seen.Rank = 1;
         S.Silent[0] = true;
         S.run(std::chrono::seconds(1));
         S.reportOutcome(FailoverStep::ProbeOverNewConnection, NoAnswer);
         S.run(milliseconds(200));
         S.status(1).AdoptedTerm = S.status(2).AdoptedTerm = 2;
         return S.run(milliseconds(500));
       },
       "wait"},
      {"no further promotion after a successful one",
       [](W &S) {
         S.runUntil(FailoverStep::Promote);
         S.reportOutcome(FailoverStep::Promote, Succeeded);
         S.status(2).Role = ServerRole::Primary;
         S.status(2).AdoptedTerm = 2;
         S.status(2).LogEnd = {2, 12};
         return S.run(std::chrono::seconds(5));
       },
       "wait"},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    Watcher S;
    CHECK(describe(R.Run(S)) == R.Expected);
  }
}

// Guards against using a term twice, which could result in two primaries in it.
TEST_CASE("a term is not used again after an unknown outcome") {
  struct Row {
    const char *Name;
    FailoverStep Step;
    ActionResult Result;
  };
  const Row Rows[] = {
      {"promotion refused", FailoverStep::Promote, Refused},
      {"promotion without an answer", FailoverStep::Promote, NoAnswer},
      {"adoption without answers", FailoverStep::Adopt, Refused},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    Watcher S;
    const FailoverAction First = S.runUntil(R.Step);
    REQUIRE(First.TermNumber == 2);
    CHECK(describe(S.reportOutcome(R.Step, R.Result)) == "wait");
    const TimePoint RefusedAt = S.Now;
    FailoverAction Next = S.run(std::chrono::seconds(2));
    CHECK(S.Now - RefusedAt >= MinBackOff);
    CHECK(S.Now - RefusedAt <= MaxBackOff + milliseconds(75));
    REQUIRE(Next.Step == FailoverStep::ProbeOverNewConnection);
    Next = S.reportOutcome(FailoverStep::ProbeOverNewConnection, NoAnswer);
    if (Next.Step == FailoverStep::Wait)
      Next = S.run(std::chrono::seconds(2));
    CHECK(describe(Next) == "claim 3");
  }
}

// Guards against a promotion after a pause of the watcher's own process, which
// looks like a silent primary.
TEST_CASE("a pause restarts the detection") {
  struct Row {
    const char *Name;
    Duration Pause;
    bool Restarts;
  };
  const Row Rows[] = {
      {"no pause", milliseconds(25), false},
      {"longest gap that is not a pause", milliseconds(250), false},
      {"shortest pause", milliseconds(251), true},
      {"long pause", std::chrono::seconds(60), true},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    Watcher S;
    S.run(milliseconds(100));
    S.Silent[0] = true;
    S.run(milliseconds(500));
    S.Now += R.Pause - milliseconds(25);
    const TimePoint Resumed = S.Now + milliseconds(25);
    CHECK(describe(S.run(std::chrono::seconds(2))) == "probe-fresh s0");
    CHECK((S.Now - Resumed >= SilenceLimit) == R.Restarts);
  }
}

// Guards against a detection that is too early, which causes unnecessary
// promotions, or too late.
TEST_CASE("watchers start promotions in the order of their ranks") {
  struct Row {
    unsigned Rank;
    Duration Earliest;
  };
  const Row Rows[] = {
      {0, milliseconds(900)}, {1, milliseconds(1150)}, {2, milliseconds(1400)}};
  for (const Row &R : Rows) {
    CAPTURE(R.Rank);
    Watcher S;
    S.Seen.Rank = R.Rank;
    S.step();
    S.Silent[0] = true;
    CHECK(describe(S.run(std::chrono::seconds(2))) == "probe-fresh s0");
    CHECK(S.elapsed() == SilenceLimit);
    FailoverAction Next = S.reportOutcome(FailoverStep::ProbeOverNewConnection,
                                          NoAnswer, {}, 0, ProbeLimit);
    if (Next.Step == FailoverStep::Wait)
      Next = S.run(std::chrono::seconds(2));
    CHECK(describe(Next) == "claim 2");
    CHECK(S.elapsed() >= R.Earliest);
    CHECK(S.elapsed() <= R.Earliest + milliseconds(25));
  }
}

// Guards against a server that does not replicate: whatever its state after a
// restart, it has to follow the primary of the highest term.
TEST_CASE("servers are told to follow the primary") {
  struct Row {
    const char *Name;
    std::function<void(Watcher &)> Change;
    std::string Expected;
  };
  const Row Rows[] = {
      {"all follow", [](Watcher &) {}, ""},
      {"follows another server",
       [](Watcher &S) { S.status(1).Primary = ServerId("s2"); }, "s1>s0@1 "},
      {"restarted without its state",
       [](Watcher &S) { S.status(1) = ServerStatus(); }, "s1>s0@1 "},
      {"primary of an older term",
       [](Watcher &S) {
         S.status(1).Role = ServerRole::Primary;
         S.status(1).AdoptedTerm = 2;
         S.status(1).LogEnd = {2, 13};
         S.status(1).Primary = ServerId("s1");
         S.status(2).AdoptedTerm = 2;
         S.status(2).Primary = ServerId("s1");
       },
       "s0>s1@2 "},
      {"a server that adopted a later term is left alone",
       [](Watcher &S) { S.status(2).AdoptedTerm = 3; }, ""},
      {"does not answer",
       [](Watcher &S) {
         S.Silent[2] = true;
         S.status(2).Primary = ServerId("s1");
         S.Seen.Servers[2].AnsweredAt = Start - std::chrono::seconds(1);
       },
       ""},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    Watcher S;
    R.Change(S);
    CHECK(describe(S.run(milliseconds(200))) == "wait");
    CHECK(S.Follows == R.Expected);
  }
}

// Guards against a planned switch away from a leaving primary that finds no
// successor or promotes a server that is leaving too.
TEST_CASE("planned switch of a leaving primary") {
  struct Row {
    const char *Name;
    std::function<void(Watcher &)> Change;
    std::string First;
    std::string Promoted;
  };
  const Row Rows[] = {
      {"the other servers are ready", [](Watcher &) {}, "claim 2",
       "promote s2 2"},
      {"another server is leaving too",
       [](Watcher &S) { S.Seen.Servers[2].Leaving = true; }, "wait", ""},
      {"the log of another server is of an older term",
       [](Watcher &S) {
         S.status(2).LogEnd = {0, 3};
       },
       "wait", ""},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    Watcher S;
    S.Seen.Servers[0].Leaving = true;
    R.Change(S);
    CHECK(describe(S.run(std::chrono::seconds(3))) == R.First);
    if (R.Promoted.empty())
      continue;
    S.reportOutcome(FailoverStep::Claim, Succeeded);
    CHECK(describe(
              S.reportOutcome(FailoverStep::Adopt, Succeeded,
                              {adoption("s0", {1, 12}), adoption("s1", {1, 10}),
                               adoption("s2", {1, 11})})) == R.Promoted);
  }
}

// Guards against a naive variant that waits for a majority.
TEST_CASE("the naive failover promotes the first reachable replica") {
  Watcher S(true);
  S.Silent[1] = true;
  S.Seen.Servers[1].AnsweredAt = Start - std::chrono::seconds(1);
  CHECK(describe(S.runUntil(FailoverStep::Adopt)) == "adopt s2 2");
  CHECK(describe(S.reportOutcome(FailoverStep::Adopt, Succeeded,
                                 {adoption("s2", {1, 1})})) == "promote s2 2");
}
