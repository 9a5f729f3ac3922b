#include "policy/Ownership.h"

#include <catch2/catch.hpp>

#include <map>
#include <string>

using namespace amaranthspur;

namespace {

ServerConfig serverIn(const std::string &Centre, const std::string &Id = "s") {
  ServerConfig Server;
  Server.Id = ServerId(Id);
  Server.Location = DataCentre(Centre);
  return Server;
}

Configuration threeCentres() {
  Configuration Config;
  Config.DataCentres = {
      {DataCentre("a"),
       Region("north"),
       {{DataCentre("b"), milliseconds(1)},
        {DataCentre("c"), milliseconds(8)}}},
      {DataCentre("b"), Region("north"), {{DataCentre("a"), milliseconds(1)}}},
      {DataCentre("c"), Region("south"), {}},
  };
  return Config;
}

Member member(const std::string &Id, const std::string &Centre,
              MemberState State = MemberState::Live) {
  return {EntryVmId(Id), "10.0.0.1:1", DataCentre(Centre), 1, State};
}

} // namespace

// Guards against an owner in another data centre while the data centre of the
// server has a live VM, and against owners that may not receive new work.
TEST_CASE("the owner is the nearest member that takes work") {
  struct Row {
    const char *Name;
    const char *Centre;
    std::vector<Member> Members;
    std::vector<std::string> Drained;
    const char *Expected; ///< The owner, or null if there is none.
  };
  const Row Rows[] = {
      {"no members", "a", {}, {}, nullptr},
      {"own data centre", "a", {member("x", "a"), member("y", "b")}, {}, "x"},
      {"a suspect member can own",
       "a",
       {member("x", "a", MemberState::Suspect), member("y", "b")},
       {},
       "x"},
      {"a dead member cannot own",
       "a",
       {member("x", "a", MemberState::Dead), member("y", "b")},
       {},
       "y"},
      {"a leaving member cannot own",
       "a",
       {member("x", "a", MemberState::Leaving), member("y", "b")},
       {},
       "y"},
      {"a member drained by configuration cannot own",
       "a",
       {member("x", "a"), member("y", "b")},
       {"x"},
       "y"},
      {"nearest other data centre",
       "a",
       {member("z", "c"), member("y", "b")},
       {},
       "y"},
      {"distant data centre as the only one", "a", {member("z", "c")}, {}, "z"},
      {"latency not configured: order by name",
       "c",
       {member("y", "b"), member("x", "a")},
       {},
       "x"},
      {"data centre of the server not configured",
       "d",
       {member("y", "b")},
       {},
       "y"},
      {"all members dead",
       "a",
       {member("x", "a", MemberState::Dead)},
       {},
       nullptr},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    Configuration Config = threeCentres();
    for (const std::string &Id : R.Drained)
      Config.DrainedEntryVms.emplace_back(Id);
    const auto Owner = RendezvousOwnership().ownerOf(serverIn(R.Centre), Config,
                                                     EntryVmId("x"), R.Members);
    CHECK(Owner.has_value() == (R.Expected != nullptr));
    if (Owner && R.Expected)
      CHECK(Owner->str() == R.Expected);
  }
}

// Guards against an uneven distribution of servers to VMs whose names differ in
// one digit, and against servers that change owners although their owner is
// still live.
TEST_CASE("servers are spread evenly and move only from a failed owner") {
  std::vector<Member> Members;
  Members.reserve(7);
  for (int I = 0; I < 7; ++I)
    Members.push_back(member("vm-" + std::to_string(I), "a"));
  const Configuration Config = threeCentres();
  const RendezvousOwnership Owners;
  std::map<EntryVmId, unsigned> Counts;
  std::vector<Member> Without = Members;
  Without.erase(Without.begin() + 3);
  constexpr unsigned Servers = 700;
  for (unsigned I = 0; I < Servers; ++I) {
    const ServerConfig Server = serverIn("a", "db-" + std::to_string(I));
    const auto Owner = Owners.ownerOf(Server, Config, Members[0].Id, Members);
    REQUIRE(Owner);
    ++Counts[*Owner];
    if (*Owner != Members[3].Id)
      CHECK(Owners.ownerOf(Server, Config, Members[1].Id, Without) == Owner);
    std::vector<Member> Reversed(Members.rbegin(), Members.rend());
    CHECK(Owners.ownerOf(Server, Config, Members[2].Id, Reversed) == Owner);
  }
  REQUIRE(Counts.size() == Members.size());
  for (const auto &[Id, Count] : Counts) {
    CAPTURE(Id.str(), Count);
    CHECK(Count > Servers / 7 * 6 / 10);
    CHECK(Count < Servers / 7 * 14 / 10);
  }
}

// Guards against owners that open more connections than the server allows, and
// against a share of zero connections.
TEST_CASE("work connections stay within the server's limit") {
  struct Row {
    const char *Name;
    unsigned Limit;
    std::size_t Members;
    unsigned Owner;
    unsigned Share;
  };
  const Row Rows[] = {
      {"seven VMs", 30, 7, 22, 3},
      {"one VM", 30, 1, 22, 22},
      {"no known VM", 30, 0, 22, 22},
      {"more VMs than connections", 30, 100, 22, 1},
      {"limit below the control connections", 7, 7, 1, 1},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    ServerConfig Server = serverIn("a");
    Server.ConnectionLimit = R.Limit;
    std::vector<Member> Members;
    Members.reserve(R.Members);
    for (std::size_t I = 0; I < R.Members; ++I)
      Members.push_back(member("vm-" + std::to_string(I), "a"));
    CHECK(RendezvousOwnership().workConnections(Server, Members) == R.Owner);
    CHECK(StaticShareOwnership().workConnections(Server, Members) == R.Share);
    CHECK(StaticShareOwnership().ownerOf(Server, threeCentres(),
                                         EntryVmId("self"),
                                         Members) == EntryVmId("self"));
  }
}
