#include "policy/Durability.h"
#include "core/Random.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <set>

using namespace amaranthspur;

namespace {

constexpr TimePoint Start{std::chrono::seconds(100)};

ServerStatus statusOf(ServerRole Role, Term Adopted, LogPosition End,
                      const char *Primary) {
  ServerStatus Status;
  Status.Role = Role;
  Status.AdoptedTerm = Adopted;
  Status.LogEnd = End;
  Status.Primary = ServerId(Primary);
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

/// Reference implementation of the confirmation rule (design, section 8.1): it
/// counts the holders of every index.
class ReferenceDurability {
public:
  explicit ReferenceDurability(std::vector<ServerId> Group)
      : Group(std::move(Group)) {}

  void observe(const ServerId &Server, const ServerStatus &Status) {
    this->Latest[Server] = Status;
    if (Status.AdoptedTerm > 0 &&
        Status.AdoptedTerm == Status.LogEnd.TermNumber)
      this->Newest = std::max(this->Newest, Status.AdoptedTerm);
    for (std::uint64_t Index = 0; Index <= 10; ++Index)
      if (2 * this->holders({this->Newest, Index}) > this->Group.size())
        this->Confirmed = std::max(this->Confirmed, {this->Newest, Index});
  }

  LogPosition Confirmed;

private:
  bool holds(const ServerId &Server, LogPosition Position) const {
    const auto Found = this->Latest.find(Server);
    if (Found == this->Latest.end())
      return false;
    const ServerStatus &Status = Found->second;
    return Position.TermNumber > 0 &&
           Status.AdoptedTerm == Position.TermNumber &&
           Status.LogEnd.TermNumber == Position.TermNumber &&
           Status.LogEnd.Index >= Position.Index;
  }

  std::size_t holders(LogPosition Position) const {
    std::set<ServerId> Found;
    for (const ServerId &Server : this->Group) {
      if (!this->holds(Server, Position))
        continue;
      Found.insert(Server);
      // The entries of a term come from its primary, so the primary holds them.
      const ServerStatus &Status = this->Latest.at(Server);
      const ServerId From = Status.Role == Primary ? Server : Status.Primary;
      if (std::find(this->Group.begin(), this->Group.end(), From) !=
          this->Group.end())
        Found.insert(From);
    }
    return Found.size();
  }

  std::vector<ServerId> Group;
  std::map<ServerId, ServerStatus> Latest;
  Term Newest = 0;
};

} // namespace

// Guards against confirming a position that a failover can lose, and against
// never confirming one that a majority holds.
TEST_CASE("positions confirmed by a majority") {
  struct Observation {
    const char *Server;
    ServerStatus Status;
  };
  struct Row {
    const char *Name;
    std::size_t Servers;
    std::vector<Observation> Seen;
    LogPosition Expected;
  };
  const Row Rows[] = {
      {"no status", 3, {}, {0, 0}},
      {"only the primary",
       3,
       {{"s0", statusOf(Primary, 1, {1, 7}, "s0")}},
       {0, 0}},
      {"a replica implies that its primary holds the position",
       3,
       {{"s1", statusOf(Replica, 1, {1, 7}, "s0")}},
       {1, 7}},
      {"a replica that lags confirms only what it holds",
       3,
       {{"s0", statusOf(Primary, 1, {1, 9}, "s0")},
        {"s1", statusOf(Replica, 1, {1, 7}, "s0")}},
       {1, 7}},
      {"one replica of five is not enough",
       5,
       {{"s0", statusOf(Primary, 1, {1, 9}, "s0")},
        {"s1", statusOf(Replica, 1, {1, 9}, "s0")}},
       {0, 0}},
      {"two replicas of five",
       5,
       {{"s0", statusOf(Primary, 1, {1, 9}, "s0")},
        {"s1", statusOf(Replica, 1, {1, 9}, "s0")},
        {"s2", statusOf(Replica, 1, {1, 8}, "s0")}},
       {1, 8}},
      {"the log is of an older term",
       3,
       {{"s0", statusOf(Primary, 2, {2, 9}, "s0")},
        {"s1", statusOf(Replica, 2, {1, 9}, "s0")},
        {"s2", statusOf(Replica, 2, {1, 9}, "s0")}},
       {0, 0}},
      {"a later term was adopted",
       3,
       {{"s0", statusOf(Primary, 1, {1, 9}, "s0")},
        {"s1", statusOf(Replica, 2, {1, 9}, "s0")}},
       {0, 0}},
      {"the primary is not in the group",
       3,
       {{"s1", statusOf(Replica, 1, {1, 9}, "x")}},
       {0, 0}},
      {"a server that is not in the group",
       3,
       {{"x", statusOf(Replica, 1, {1, 9}, "s0")}},
       {0, 0}},
      {"never decreases",
       3,
       {{"s1", statusOf(Replica, 1, {1, 9}, "s0")},
        {"s1", statusOf(Replica, 1, {1, 2}, "s0")}},
       {1, 9}},
      {"single server",
       1,
       {{"s0", statusOf(Primary, 1, {1, 4}, "s0")}},
       {1, 4}},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    const auto Durable = makeMajorityDurability();
    Durable->configure(servers(R.Servers));
    for (const Observation &O : R.Seen)
      Durable->observe(ServerId(O.Server), O.Status, Start, Start);
    CHECK(Durable->confirmed() == R.Expected);
  }
}

// Guards against a difference between the implementation and the reference,
// which counts the holders of every index.
TEST_CASE("majority durability agrees with the reference") {
  for (const std::size_t Count : {1UL, 2UL, 3UL, 4UL, 5UL}) {
    for (std::uint64_t Seed = 1; Seed <= 400; ++Seed) {
      Random Rng(Seed);
      const std::vector<ServerId> Group = servers(Count);
      const auto Durable = makeMajorityDurability();
      Durable->configure(Group);
      ReferenceDurability Reference(Group);
      for (int Step = 0; Step < 40; ++Step) {
        const std::size_t S = Rng.below(Count);
        const Term Adopted = Rng.below(4);
        const Term LogTerm = Rng.below(Adopted + 1);
        // Each term has one primary; that of term 3 is not in the group.
        const std::size_t Leader = Adopted == 3 ? Count : Adopted % Count;
        ServerStatus Status;
        Status.Role = S == Leader && LogTerm == Adopted ? Primary : Replica;
        Status.AdoptedTerm = Adopted;
        Status.LogEnd = {LogTerm, Rng.below(6)};
        Status.Primary = ServerId("s" + std::to_string(Leader));
        Durable->observe(Group[S], Status, Start, Start);
        Reference.observe(Group[S], Status);
        CAPTURE(Count, Seed, Step);
        REQUIRE(Durable->confirmed() == Reference.Confirmed);
      }
    }
  }
}

// Guards against an entry of an earlier term that counts as confirmed only
// because the confirmed position is of a later term.
TEST_CASE("a position is confirmed in its own term only") {
  const auto Durable = makeMajorityDurability();
  Durable->configure(servers(3));
  Durable->observe(ServerId("s1"), statusOf(Replica, 2, {2, 9}, "s0"), Start,
                   Start);
  CHECK(Durable->isConfirmed({2, 9}));
  CHECK(Durable->isConfirmed({2, 1}));
  CHECK_FALSE(Durable->isConfirmed({2, 10}));
  CHECK_FALSE(Durable->isConfirmed({1, 5}));
  CHECK(Durable->termEnded(1));
  CHECK_FALSE(Durable->termEnded(2));
  Durable->observe(ServerId("s1"), statusOf(Replica, 3, {2, 9}, "s0"), Start,
                   Start);
  CHECK_FALSE(Durable->termEnded(2));
  Durable->observe(ServerId("s2"), statusOf(Replica, 3, {2, 9}, "s0"), Start,
                   Start);
  CHECK(Durable->termEnded(2));
}

// Guards against accepting writes without a majority and against refusing them
// with one. The test enumerates all combinations of reports of three servers.
TEST_CASE("writes are accepted while a majority in the term answers") {
  enum Report {
    NoReport,
    OldReport,
    InCurrentTerm,
    LogOfOlderTerm,
    LaterTerm,
    ReportCount
  };
  for (int A = 0; A < ReportCount; ++A) {
    for (int B = 0; B < ReportCount; ++B) {
      for (int C = 0; C < ReportCount; ++C) {
        CAPTURE(A, B, C);
        const auto Durable = makeMajorityDurability();
        Durable->configure(servers(3));
        const int Kinds[] = {A, B, C};
        int Fresh = 0;
        bool PrimaryFresh = false;
        for (int S = 0; S < 3; ++S) {
          const ServerRole Role = S == 0 ? Primary : Replica;
          const ServerId Id("s" + std::to_string(S));
          const TimePoint Late = Start + milliseconds(400);
          switch (Kinds[S]) {
          case OldReport:
            Durable->observe(Id, statusOf(Role, 2, {2, 1}, "s0"), Start, Late);
            break;
          case InCurrentTerm:
            Durable->observe(Id, statusOf(Role, 2, {2, 1}, "s0"), Late, Late);
            ++Fresh;
            PrimaryFresh = PrimaryFresh || S == 0;
            break;
          case LogOfOlderTerm:
            Durable->observe(Id, statusOf(Replica, 2, {1, 1}, "s0"), Late,
                             Late);
            break;
          case LaterTerm:
            Durable->observe(Id, statusOf(Replica, 3, {2, 1}, "s0"), Late,
                             Late);
            break;
          default:
            break;
          }
        }
        CHECK(Durable->acceptsWrites(Start + milliseconds(501)) ==
              (PrimaryFresh && Fresh >= 2));
      }
    }
  }
}

// Guards against a naive variant that waits for a majority, which would
// invalidate the comparison with it.
TEST_CASE("immediate durability confirms at once") {
  const auto Durable = makeImmediateDurability();
  Durable->configure(servers(3));
  CHECK(Durable->isConfirmed({7, 7}));
  CHECK(Durable->acceptsWrites(Start));
  CHECK_FALSE(Durable->termEnded(1));
  Durable->observe(ServerId("s0"), statusOf(Primary, 1, {1, 5}, "s0"), Start,
                   Start);
  CHECK(Durable->confirmed() == LogPosition{1, 5});
}
