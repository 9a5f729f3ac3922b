#include "policy/Takeover.h"

#include "core/Random.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <set>

using namespace amaranthspur;

namespace {

TakeoverServer server(const char *Id, std::optional<std::uint64_t> Index,
                      bool Old = false, bool Draining = false,
                      Distance Away = Distance::SameRegion) {
  TakeoverServer S;
  S.Id = ServerId(Id);
  S.OldPrimary = Old;
  S.Draining = Draining;
  S.DistanceFromHere = Away;
  if (Index) {
    S.Report = ServerReport();
    S.Report->Role = Old ? ServerRole::Primary : ServerRole::Replica;
    S.Report->TermNumber = 3;
    S.Report->AdoptedTerm = 3;
    S.Report->Received = {3, *Index};
  }
  return S;
}

} // namespace

// Guards against promoting a server whose log may lack acknowledged commits.
TEST_CASE("a takeover is planned only if it loses no acknowledged commit") {
  constexpr auto None = std::nullopt;
  struct Row {
    const char *Name;
    std::vector<TakeoverServer> Servers;
    std::string Target; ///< Empty if no takeover is planned.
    std::size_t Adopters = 0;
  };
  const Row Rows[] = {
      {"the longest log wins",
       {server("p", None, true), server("a", 7), server("b", 9)},
       "b",
       1},
      {"equal logs: the nearer server wins",
       {server("p", None, true),
        server("a", 9, false, false, Distance::OtherRegion), server("b", 9)},
       "b",
       1},
      {"a replica does not answer",
       {server("p", None, true), server("a", None), server("b", 9)},
       "",
       0},
      {"only one replica", {server("p", None, true), server("b", 9)}, "", 0},
      {"only a draining replica has the longest log",
       {server("p", None, true), server("a", 9, false, true), server("b", 7)},
       "a",
       1},
      {"a draining replica has the same log as another one",
       {server("p", None, true), server("a", 9, false, true), server("b", 9)},
       "b",
       1},
      {"the draining primary still replicates to the others",
       {server("p", 9, true), server("a", 9, false, true), server("b", 7)},
       "b",
       1},
      {"four servers: all others adopt",
       {server("p", None, true), server("a", 7), server("b", 9),
        server("c", 8)},
       "b",
       2},
      {"no primary is known",
       {server("a", 7), server("b", 9), server("c", 8)},
       "b",
       2},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    const auto Planned = planTakeover(R.Servers);
    const auto *Plan = std::get_if<TakeoverPlan>(&Planned);
    REQUIRE((Plan != nullptr) == !R.Target.empty());
    if (!Plan)
      continue;
    CHECK(Plan->Target.str() == R.Target);
    CHECK(Plan->Adopters.size() == R.Adopters);
    CHECK(Plan->NextTerm == 4);
    CHECK(std::count(Plan->Adopters.begin(), Plan->Adopters.end(),
                     Plan->Target) == 0);
  }
}

// Guards against promoting a target although an adopter has a longer log.
TEST_CASE("a target with a shorter log is refused") {
  struct Row {
    const char *Name;
    LogPosition Target;
    std::vector<LogPosition> Adopted;
    LogPosition Acknowledged;
    bool Refused;
  };
  const Row Rows[] = {
      {"equal", {3, 9}, {{3, 9}}, {3, 9}, false},
      {"longer", {3, 10}, {{3, 9}}, {3, 8}, false},
      {"an adopter holds more", {3, 9}, {{3, 8}, {3, 10}}, {}, true},
      {"an acknowledged commit is missing", {3, 9}, {{3, 9}}, {3, 10}, true},
      {"a longer log of an earlier term", {2, 99}, {{3, 1}}, {}, true},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    ServerReport Target;
    Target.Received = R.Target;
    CHECK(reasonAgainstTarget(Target, R.Adopted, R.Acknowledged).has_value() ==
          R.Refused);
  }
}

// Guards against two entry VMs that take over one group at the same time.
TEST_CASE("a claim is respected until its lease expires") {
  struct Observation {
    std::uint64_t Version;
    bool Finished;
    int AtMs;
  };
  struct Row {
    const char *Name;
    std::vector<Observation> History;
    int AtMs;
    bool MayClaim;
  };
  const Row Rows[] = {
      {"no claim row", {}, 0, true},
      {"claimed by another", {{5, false, 0}}, 3999, false},
      {"the lease has expired", {{5, false, 0}}, 4000, true},
      {"read again without a change",
       {{5, false, 0}, {5, false, 3000}},
       4000,
       true},
      {"claimed again", {{5, false, 0}, {6, false, 3000}}, 4000, false},
      {"finished", {{5, false, 0}, {6, true, 100}}, 101, true},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    TakeoverClaim Claim;
    const TimePoint Start{std::chrono::seconds(100)};
    for (const Observation &S : R.History)
      Claim.observe(S.Version, S.Finished, Start + milliseconds(S.AtMs));
    CHECK(Claim.mayClaim(Start + milliseconds(R.AtMs)) == R.MayClaim);
  }
  // The holder stops promoting well before others may claim.
  CHECK(TakeoverClaim::PromotionWindow * 2 < TakeoverClaim::Lease);
}

namespace {

/// A group of three servers that acknowledges a commit once one replica holds
/// it. Whether a message is delivered or lost is random, depending on the seed.
class ModelGroup {
public:
  explicit ModelGroup(std::uint64_t Seed) : Rng(Seed) {}

  /// Appends a commit and tries to replicate it in random order.
  void tryCommit() {
    ++this->Logs[0];
    const std::size_t First = 1 + this->Rng.below(2);
    this->tryReplicate(First);
    this->tryReplicate(3 - First);
  }

  /// Replicates a random part of the missing entries to \p Replica, unless the
  /// message is lost or the replica has adopted the next term.
  void tryReplicate(std::size_t Replica) {
    if (this->Adopted.count(Replica) > 0 || this->Rng.below(3) == 0)
      return;
    this->Logs[Replica] =
        std::max(this->Logs[Replica],
                 this->Logs[0] - this->Rng.below(this->Logs[0] + 1) / 4);
    if (!this->PrimaryDown)
      this->Acknowledged = std::max(this->Acknowledged, this->Logs[Replica]);
  }

  std::vector<TakeoverServer> servers() const {
    return {server("0",
                   this->PrimaryDown
                       ? std::nullopt
                       : std::optional<std::uint64_t>(this->Logs[0]),
                   true),
            server("1", this->Logs[1]), server("2", this->Logs[2])};
  }

  Random Rng;
  std::uint64_t Logs[3] = {0, 0, 0};
  std::uint64_t Acknowledged = 0;
  std::set<std::size_t> Adopted;
  bool PrimaryDown = false;
};

} // namespace

// Guards against a takeover that loses an acknowledged commit, whether or not
// the old primary is still running.
TEST_CASE("the promoted server holds every acknowledged commit") {
  unsigned Promotions = 0;
  for (std::uint64_t Seed = 1; Seed <= 2000; ++Seed) {
    CAPTURE(Seed);
    ModelGroup Group(Seed);
    for (std::uint64_t I = Group.Rng.below(20); I > 0; --I)
      Group.tryCommit();
    Group.PrimaryDown = Group.Rng.below(2) == 0;
    const auto Planned = planTakeover(Group.servers());
    REQUIRE(std::holds_alternative<TakeoverPlan>(Planned));
    const auto &Plan = std::get<TakeoverPlan>(Planned);
    const auto Traffic = [&Group] {
      for (std::uint64_t I = Group.Rng.below(4); I > 0 && !Group.PrimaryDown;
           --I)
        Group.tryCommit();
    };
    Traffic();
    std::vector<LogPosition> Positions;
    for (const ServerId &Id : Plan.Adopters) {
      const std::size_t Which = std::stoul(Id.str());
      Group.Adopted.insert(Which);
      Positions.push_back({3, Group.Logs[Which]});
    }
    Traffic();
    const std::size_t Target = std::stoul(Plan.Target.str());
    ServerReport Report;
    Report.Received = {3, Group.Logs[Target]};
    if (reasonAgainstTarget(Report, Positions, {}))
      continue;
    Traffic();
    ++Promotions;
    CHECK(Group.Logs[Target] >= Group.Acknowledged);
  }
  // Enough runs of the model have to reach a promotion.
  CHECK(Promotions > 500);
}
