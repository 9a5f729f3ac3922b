#include "policy/ReplicaProgress.h"

#include "policy/GroupBeliefs.h"

#include <catch2/catch.hpp>

#include <vector>

using namespace amaranthspur;

namespace {

TimePoint at(int Ms) { return TimePoint(milliseconds(100000 + Ms)); }

/// The end of the primary's log at a time: one entry per 10 ms.
LogPosition endAt(int Ms, Term T = 1) {
  return {T, static_cast<std::uint64_t>(20000 + Ms) / 10};
}

/// The ends of the primary's log as an entry VM learns them: one per 500 ms.
LogTimeline timeline(int FromMs, int ToMs) {
  LogTimeline Ends;
  for (int Ms = FromMs; Ms <= ToMs; Ms += 500)
    Ends.observe(endAt(Ms), at(Ms));
  return Ends;
}

constexpr const char *Ready = "ready";
constexpr const char *Probe = "probe";
constexpr const char *Behind = "behind";

} // namespace

TEST_CASE("the times at which the primary's log had an end are estimated") {
  LogTimeline Ends;
  CHECK_FALSE(Ends.reachedAt({1, 5}));
  CHECK_FALSE(Ends.coveredUntil({1, 5}));
  Ends.observe({1, 100}, at(0));
  Ends.observe({1, 200}, at(1000));
  Ends.observe({1, 200}, at(2000)); // No writes.
  Ends.observe({1, 200}, at(3000));
  Ends.observe({2, 210}, at(4000)); // After a takeover.
  Ends.observe({1, 300}, at(4500)); // Of a superseded primary.
  struct Row {
    const char *Name;
    LogPosition Position;
    std::optional<int> CoveredMs;
    std::optional<int> ReachedMs;
  };
  const Row Rows[] = {
      {"before all entries", {1, 50}, 0, 0},
      {"first", {1, 100}, 0, 0},
      {"between", {1, 150}, 500, 500},
      {"unchanged for some time", {1, 200}, 3000, 1000},
      {"the last of the earlier term", {1, 205}, 3000, 4000},
      {"the new term", {2, 205}, 3000, 4000},
      {"the end", {2, 210}, std::nullopt, 4000},
      {"beyond the end", {2, 211}, std::nullopt, std::nullopt},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    const auto Covered = Ends.coveredUntil(R.Position);
    const auto Reached = Ends.reachedAt(R.Position);
    CHECK(Covered.has_value() == R.CoveredMs.has_value());
    CHECK(Reached.has_value() == R.ReachedMs.has_value());
    if (Covered && R.CoveredMs)
      CHECK(*Covered == at(*R.CoveredMs));
    if (Reached && R.ReachedMs)
      CHECK(*Reached == at(*R.ReachedMs));
  }
}

// Guards against reads that are refused by a replica that cannot hold their
// floor, and against reads that avoid a replica that can.
TEST_CASE("a replica is tried if it is predicted to hold the floor") {
  /// An answer of the replica: at AtMs it was LagMs behind.
  struct Seen {
    int AtMs;
    int LagMs;
    int FloorMs; ///< Time of the floor of the read that it refused; -1: none.
  };
  struct Row {
    const char *Name;
    std::vector<Seen> Answers;
    int NowMs;
    int FloorMs; ///< The time at which the log of the primary ended there.
    const char *Expected;
  };
  constexpr int None = -1;
  const Row Rows[] = {
      {"nothing is known", {}, 10000, 8500, Ready},
      {"150 ms behind, floor of 1.5 s ago",
       {{9900, 150, None}},
       10000,
       8500,
       Ready},
      {"150 ms behind, floor of 2.5 s ago",
       {{9900, 150, None}},
       10000,
       7500,
       Ready},
      {"150 ms behind, answer of 5 s ago",
       {{5000, 150, None}},
       10000,
       8500,
       Ready},
      {"150 ms behind, floor of 20 ms ago",
       {{9900, 150, None}},
       10000,
       9980,
       Behind},
      {"the same, answer of 600 ms ago",
       {{9400, 150, None}},
       10000,
       9980,
       Probe},
      {"150 ms behind, refused a floor of 20 ms ago; 1.5 s ago",
       {{9900, 150, 9880}},
       10000,
       8500,
       Ready},
      {"14 s behind, refused", {{9960, 14000, 8400}}, 10000, 8500, Behind},
      {"14 s behind, refused 300 ms ago",
       {{9700, 14000, 8200}},
       10000,
       8500,
       Probe},
      {"14 s behind by another entry VM's evidence",
       {{9980, 14000, None}},
       10000,
       8500,
       Behind},
      {"14 s behind, now catching up: 4 s per s",
       {{6000, 9000, 5000}, {7000, 6000, 6000}, {8000, 3000, 6500}},
       9800,
       8300,
       Ready},
      {"the same, too early",
       {{6000, 9000, 5000}, {7000, 6000, 6000}, {8000, 3000, 6500}},
       8040,
       7500,
       Behind},
      {"it stands still",
       {{8000, 1000, 7500}, {9000, 2000, 8500}, {9950, 2950, 8400}},
       10000,
       8500,
       Behind},
      {"it has caught up",
       {{9000, 9000, 8000}, {9900, 100, None}},
       10000,
       8500,
       Ready},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    const LogTimeline Ends = timeline(-15000, 9500);
    Random Rng(1);
    ReplicaProgress Replica;
    for (const Seen &S : R.Answers) {
      if (S.FloorMs != None)
        Replica.observeRefusal(endAt(S.FloorMs), at(S.AtMs - 5), at(S.AtMs),
                               Ends, Rng);
      Replica.observePosition(
          {endAt(S.AtMs - S.LagMs), at(S.AtMs), Duration::zero()}, Ends);
    }
    CHECK(nameOf(Replica.readiness(endAt(R.FloorMs), at(R.NowMs), Ends)) ==
          R.Expected);
  }
}

// Guards against the refusals of the fare deployment, where each read of a
// service tried both replicas, 14 s behind, and against a replica that is never
// used again.
TEST_CASE("a replica that lags is probed rarely, one read at a time") {
  LogTimeline Ends = timeline(-15000, 0);
  Random Rng(1);
  ReplicaProgress Replica;
  int Lag = 14000;
  unsigned Refused = 0;
  unsigned Served = 0;
  int FirstServed = 0;
  // A read with a floor of 1.5 s ago each 5 ms. The replica lags for 20 s and
  // then catches up within one second.
  for (int Ms = 0; Ms <= 25000; Ms += 5) {
    if (Ms % 500 == 0)
      Ends.observe(endAt(Ms), at(Ms));
    if (Ms > 20000 && Lag > 150)
      Lag -= 70;
    const int Floor = Ms - 1500;
    const ReplicaReadiness State =
        Replica.readiness(endAt(Floor), at(Ms), Ends);
    if (State == ReplicaReadiness::Behind)
      continue;
    if (State == ReplicaReadiness::Probe) {
      Replica.beginProbe(at(Ms), Rng);
      CHECK(Replica.readiness(endAt(Floor), at(Ms), Ends) ==
            ReplicaReadiness::Behind);
    }
    if (Lag <= 1500) {
      ++Served;
      FirstServed = FirstServed == 0 ? Ms : FirstServed;
      Replica.observeSuccess(at(Ms));
    } else {
      ++Refused;
      Replica.observeRefusal(endAt(Floor), at(Ms), at(Ms), Ends, Rng);
    }
    Replica.observePosition({endAt(Ms - Lag), at(Ms), Duration::zero()}, Ends);
    CHECK(Replica.isSetAside() == (Lag > 1500));
  }
  CHECK(Refused <= 25); // Of 4,200 reads.
  CHECK(FirstServed < 21000 + 3000);
  CHECK(Served > 50);
}

// Guards against a margin that keeps a replica unused after wrong predictions.
TEST_CASE("wrong predictions raise the margin for some time") {
  const LogTimeline Ends = timeline(-15000, 17000);
  Random Rng(1);
  ReplicaProgress Replica;
  Replica.observePosition({endAt(8900), at(9000), Duration::zero()}, Ends);
  REQUIRE(Replica.readiness(endAt(8950), at(9100), Ends) ==
          ReplicaReadiness::Ready);
  Replica.observeRefusal(endAt(8950), at(9100), at(9110), Ends, Rng);
  CHECK(Replica.readiness(endAt(8950), at(9110), Ends) !=
        ReplicaReadiness::Ready);
  CHECK(Replica.readiness(endAt(7600), at(9110), Ends) ==
        ReplicaReadiness::Ready);
  // The refusal raises the margin to 110 ms; 8 s later this is forgotten.
  CHECK(Replica.readiness(endAt(16960), at(17110), Ends) ==
        ReplicaReadiness::Ready);
}

// Guards against reads that lose time on replicas known to lag, and against
// reads that are not even tried when the primary is unusable.
TEST_CASE("the servers for a read follow from the replicas' progress") {
  enum class Event { None, Restart, Takeover, PrimaryFails, Status };
  struct Row {
    const char *Name;
    int LagB; ///< Of b, refused; -1: unknown.
    int LagC;
    Event Then;
    std::vector<std::string> Expected; ///< The order, for 1.5 s old floors.
  };
  const Row Rows[] = {
      {"both up to date", 150, 150, Event::None, {"b", "c", "a"}},
      {"one of two lags", 14000, 150, Event::None, {"c", "a"}},
      {"both lag: the primary at once", 14000, 14000, Event::None, {"a"}},
      {"after a restart of the server",
       14000,
       150,
       Event::Restart,
       {"b", "c", "a"}},
      {"a takeover: a probe at once",
       14000,
       150,
       Event::Takeover,
       {"b", "c", "a"}},
      {"the primary fails", 14000, 14000, Event::PrimaryFails, {"b", "c", "a"}},
      {"a status report shows that it has caught up",
       14000,
       150,
       Event::Status,
       {"b", "c", "a"}},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    const Locality Where{DataCentre("here"),
                         {{DataCentre("here"), Region("r")},
                          {DataCentre("other"), Region("r")}}};
    GroupBeliefs Beliefs(Where);
    std::vector<RegisteredServer> Servers;
    for (const char *Id : {"a", "b", "c"}) {
      RegisteredServer S;
      S.Id = ServerId(Id);
      S.Location = DataCentre(S.Id.str() == "c" ? "other" : "here");
      S.Slots = 4;
      S.Role = S.Id.str() == "a" ? ServerRole::Primary : ServerRole::Replica;
      Servers.push_back(S);
    }
    Beliefs.setServers(Servers);
    for (int Ms = -15000; Ms <= 9900; Ms += 100)
      Beliefs.observePrimaryEnd(endAt(Ms), at(Ms));
    Random Rng(1);
    const auto Answer = [&](const char *Id, int Lag) {
      if (Lag > 1500)
        Beliefs.observeLagging(ServerId(Id), endAt(8480), at(9970), at(9980),
                               Rng);
      Beliefs.observeAnswer(ServerId(Id), endAt(9980 - Lag), at(9980));
    };
    Answer("b", R.LagB);
    Answer("c", R.LagC);
    switch (R.Then) {
    case Event::None:
      break;
    case Event::Restart:
      Servers[1].StartedAtMs = 5;
      Beliefs.setServers(Servers);
      break;
    case Event::Takeover:
      Beliefs.observePrimaryEnd({2, 2994}, at(9990));
      break;
    case Event::PrimaryFails:
      Beliefs.observeFailure(ServerId("a"), at(9990));
      break;
    case Event::Status: {
      ServerReport Report;
      Report.TermNumber = Report.AdoptedTerm = 1;
      Report.Received = endAt(9950);
      Report.ApplyLag = milliseconds(30);
      Beliefs.observeStatus(ServerId("b"), Report, at(9995));
      break;
    }
    }
    std::vector<std::string> Order;
    ReadChoice Read;
    Read.Floor = endAt(8500);
    // The choice is random; with these costs the order is practically certain.
    Read.Connected = {ServerId("a"), ServerId("b")};
    for (const ServerId &Id : Beliefs.readOrder(Read, at(10000), Rng))
      Order.push_back(Id.str());
    CHECK(Order == R.Expected);
  }
}
