#include "policy/Staleness.h"
#include "core/Random.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>

using namespace amaranthspur;

namespace {

constexpr TimePoint Start{std::chrono::seconds(100)};

TimePoint at(int Ms) { return Start + milliseconds(Ms); }

ServerStatus statusOf(ServerRole Role, Term Adopted, LogPosition End) {
  ServerStatus Status;
  Status.Role = Role;
  Status.AdoptedTerm = Adopted;
  Status.LogEnd = End;
  return Status;
}

std::vector<ServerId> servers(std::size_t Count) {
  std::vector<ServerId> Ids;
  for (std::size_t I = 0; I < Count; ++I)
    Ids.emplace_back("s" + std::to_string(I));
  return Ids;
}

constexpr ServerRole Primary = ServerRole::Primary;
constexpr ServerRole Replica = ServerRole::Replica;

struct Observation {
  int Server;
  ServerStatus Status;
  int SentAt; ///< In ms after Start.
};

/// Reference implementation of Staleness::age(): searches all observations.
std::optional<Duration> referenceAge(const std::vector<Observation> &Seen,
                                     std::size_t Count, int Server,
                                     TimePoint Now) {
  Term Current = 0;
  for (const Observation &O : Seen)
    if (O.Status.Role == Primary &&
        O.Status.LogEnd.TermNumber == O.Status.AdoptedTerm)
      Current = std::max(Current, O.Status.AdoptedTerm);
  // The latest time at which a majority had not adopted a later term. At each
  // step, the latest observation of each server counts.
  std::optional<TimePoint> MajorityAt;
  std::map<int, Observation> Latest;
  bool Known = false;
  std::optional<LogPosition> Held;
  for (const Observation &O : Seen) {
    Latest[O.Server] = O;
    Known =
        Known || (O.Status.Role == Primary && O.Status.AdoptedTerm == Current &&
                  O.Status.LogEnd.TermNumber == Current);
    if (O.Server == Server)
      Held = O.Status.LogEnd;
    if (!Known)
      continue;
    for (const auto &[Id, Candidate] : Latest) {
      std::size_t SeenSince = 0;
      for (const auto &[Other, Report] : Latest)
        if (Report.Status.AdoptedTerm <= Current &&
            Report.SentAt >= Candidate.SentAt)
          ++SeenSince;
      if (2 * SeenSince > Count)
        MajorityAt = std::max(MajorityAt.value_or(at(Candidate.SentAt)),
                              at(Candidate.SentAt));
    }
  }
  std::optional<TimePoint> Best;
  for (const Observation &O : Seen)
    if (O.Status.Role == Primary && O.Status.AdoptedTerm == Current &&
        O.Status.LogEnd.TermNumber == Current && Held &&
        Held->TermNumber == Current && O.Status.LogEnd <= *Held)
      Best = std::max(Best.value_or(at(O.SentAt)), at(O.SentAt));
  if (!Best || !MajorityAt)
    return std::nullopt;
  return Now - std::min(*Best, *MajorityAt);
}

} // namespace

// Guards against an age bound that is too low: a read could then see older data
// than its staleness bound allows.
TEST_CASE("upper bounds of ages") {
  struct Row {
    const char *Name;
    std::vector<Observation> Seen;
    int Server;
    int ExpectedMs; ///< At 1,000 ms; -1 if there is no bound.
  };
  const Row Rows[] = {
      {"nothing known", {}, 1, -1},
      {"only the primary", {{0, statusOf(Primary, 1, {1, 5}), 900}}, 0, -1},
      {"replica holds the primary's position",
       {{0, statusOf(Primary, 1, {1, 5}), 900},
        {1, statusOf(Replica, 1, {1, 5}), 950}},
       1,
       100},
      {"the last report of a majority bounds the age",
       {{1, statusOf(Replica, 1, {1, 5}), 700},
        {0, statusOf(Primary, 1, {1, 5}), 900}},
       1,
       300},
      {"replica that lags",
       {{0, statusOf(Primary, 1, {1, 5}), 500},
        {0, statusOf(Primary, 1, {1, 9}), 900},
        {1, statusOf(Replica, 1, {1, 7}), 950}},
       1,
       500},
      {"replica that lags behind every sample of the primary",
       {{0, statusOf(Primary, 1, {1, 5}), 500},
        {1, statusOf(Replica, 1, {1, 4}), 950}},
       1,
       -1},
      {"replica of an older term",
       {{0, statusOf(Primary, 2, {2, 5}), 500},
        {1, statusOf(Replica, 2, {1, 9}), 950}},
       1,
       -1},
      {"isolated old primary: the others have adopted a later term",
       {{0, statusOf(Primary, 1, {1, 5}), 400},
        {1, statusOf(Replica, 1, {1, 5}), 400},
        {1, statusOf(Replica, 2, {1, 5}), 500},
        {2, statusOf(Replica, 2, {1, 5}), 500},
        {0, statusOf(Primary, 1, {1, 5}), 900}},
       0,
       600},
      {"primary's log got shorter",
       {{0, statusOf(Primary, 1, {1, 9}), 500},
        {0, statusOf(Primary, 1, {1, 2}), 600},
        {1, statusOf(Replica, 1, {1, 1}), 950}},
       1,
       -1},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    Staleness Ages;
    Ages.configure(servers(3));
    for (const Observation &O : R.Seen)
      Ages.observe(ServerId("s" + std::to_string(O.Server)), O.Status,
                   at(O.SentAt));
    const auto Age =
        Ages.age(ServerId("s" + std::to_string(R.Server)), at(1000));
    REQUIRE(Age.has_value() == (R.ExpectedMs >= 0));
    if (Age)
      CHECK(*Age == milliseconds(R.ExpectedMs));
  }
}

// Guards against a difference between the implementation, which stores a
// bounded number of samples, and the reference, which searches all
// observations.
TEST_CASE("ages agree with the reference") {
  for (const std::size_t Count : {1UL, 3UL, 5UL}) {
    for (std::uint64_t Seed = 1; Seed <= 300; ++Seed) {
      Random Rng(Seed);
      Staleness Ages;
      Ages.configure(servers(Count));
      std::vector<Observation> Seen;
      Term T = 1;
      std::uint64_t Index = 1;
      int Ms = 0;
      for (int Step = 0; Step < 60; ++Step) {
        Ms += 10 + static_cast<int>(Rng.below(30));
        if (Rng.below(20) == 0) {
          ++T;
          ++Index;
        }
        Index += Rng.below(3);
        const auto Leader = static_cast<int>(T % Count);
        const auto Server = static_cast<int>(Rng.below(Count));
        Observation O{Server, statusOf(Primary, T, {T, Index}), Ms};
        if (Server != Leader) {
          const Term Adopted = T - Rng.below(2);
          O.Status =
              statusOf(Replica, Adopted, {Adopted, Rng.below(Index + 1)});
        }
        Seen.push_back(O);
        Ages.observe(ServerId("s" + std::to_string(Server)), O.Status, at(Ms));
        for (std::size_t S = 0; S < Count; ++S) {
          CAPTURE(Count, Seed, Step, S);
          const auto Actual =
              Ages.age(ServerId("s" + std::to_string(S)), at(Ms + 7));
          const auto Reference =
              referenceAge(Seen, Count, static_cast<int>(S), at(Ms + 7));
          REQUIRE(Actual == Reference);
        }
      }
    }
  }
}

// Guards against a bound below the true age. In this simulation, the replicas
// lag behind the primary, and requests and answers take time.
TEST_CASE("the true age never exceeds the bound") {
  for (std::uint64_t Seed = 1; Seed <= 200; ++Seed) {
    Random Rng(Seed);
    Staleness Ages;
    Ages.configure(servers(3));
    // Written[I] is the time at which the primary committed entry I.
    std::vector<int> Written = {0};
    const int Lag = static_cast<int>(Rng.below(400));
    const auto HeldAt = [&Written](int Ms) {
      const auto After = std::upper_bound(Written.begin(), Written.end(), Ms);
      return static_cast<std::uint64_t>(After - Written.begin());
    };
    for (int Ms = 1; Ms < 3000; ++Ms)
      if (Rng.below(10) == 0)
        Written.push_back(Ms);
    for (int Ms = 0; Ms < 3000; Ms += 20 + static_cast<int>(Rng.below(80))) {
      const int Server = static_cast<int>(Rng.below(3));
      const int AnsweredAt = Ms + static_cast<int>(Rng.below(20));
      const int Behind = Server == 0 ? 0 : Lag;
      const std::uint64_t Held = HeldAt(AnsweredAt - Behind);
      Ages.observe(ServerId("s" + std::to_string(Server)),
                   statusOf(Server == 0 ? Primary : Replica, 1, {1, Held}),
                   at(Ms));
      const int Now = AnsweredAt + static_cast<int>(Rng.below(100));
      const auto Bound =
          Ages.age(ServerId("s" + std::to_string(Server)), at(Now));
      if (!Bound)
        continue;
      // The age of a state is the age of the first entry that is missing in it.
      const bool LacksNone = Held >= HeldAt(Now);
      const int TrueAge = LacksNone ? 0 : Now - Written[Held];
      CAPTURE(Seed, Ms, Server, Lag);
      REQUIRE(*Bound >= milliseconds(TrueAge));
    }
  }
}
