#include "policy/testing/MembershipSimulation.h"

#include <catch2/catch.hpp>

using namespace amaranthspur;
using namespace amaranthspur::testing;
using std::chrono::seconds;

namespace {

constexpr std::size_t Centres = 3;

bool sameCentre(std::size_t A, std::size_t B) {
  return A % Centres == B % Centres;
}

/// Returns whether every running node sees every running one as live and no
/// other as live.
bool converged(const MembershipSimulation &Group) {
  for (std::size_t I = 0; I < Group.Nodes.size(); ++I) {
    if (!Group.Nodes[I].Running)
      continue;
    for (std::size_t J = 0; J < Group.Nodes.size(); ++J) {
      const bool SeenLive = Group.view(I, J) == MemberState::Live;
      if (SeenLive != Group.Nodes[J].Running)
        return false;
    }
  }
  return true;
}

std::uint64_t deaths(const MembershipSimulation &Group) {
  std::uint64_t Count = 0;
  for (const MembershipSimulation::Node &N : Group.Nodes)
    Count += N.M->stats().Deaths;
  return Count;
}

} // namespace

// Guards against listed VMs that can own servers before they have answered, and
// against members that are never discovered.
TEST_CASE("listed VMs become members once they answer") {
  MembershipSimulation Group(7, Centres, 1);
  Group.start(0);
  Group.Nodes[0].M->setListed(Group.list(), Group.Now);
  CHECK(Group.Nodes[0].M->members().size() == 1);
  CHECK(Group.Nodes[0].M->stats().Candidates == 6);
  Group.run(seconds(3));
  CHECK(Group.Nodes[0].M->members().size() == 1);
  Group.startAll();
  Group.run(seconds(3));
  CHECK(converged(Group));
}

// Guards against a member that knows a single seed and never discovers the
// other members.
TEST_CASE("a member discovers all others from one seed") {
  MembershipSimulation Group(15, Centres, 2);
  for (std::size_t I = 0; I < Group.Nodes.size(); ++I)
    Group.start(I);
  const std::vector<ListedMember> List = Group.list();
  for (std::size_t I = 1; I < Group.Nodes.size(); ++I)
    Group.Nodes[I].M->addSeeds({List[0]}, Group.Now);
  Group.run(seconds(10));
  CHECK(converged(Group));
}

// Guards against failed members that are not detected, against live members
// that are declared dead because of message loss, and against views that do not
// converge after a fault.
TEST_CASE("views converge after faults") {
  struct Row {
    const char *Name;
    std::size_t Count;
    double Loss;
    void (*Fault)(MembershipSimulation &);
    std::uint64_t MaxDeaths; ///< Deaths declared by all members together.
  };
  const Row Rows[] = {
      {"no fault", 15, 0, [](MembershipSimulation &) {}, 0},
      {"message loss", 15, 0.05, [](MembershipSimulation &) {}, 0},
      {"one member fails", 15, 0, [](MembershipSimulation &G) { G.stop(3); },
       4},
      {"one member fails under message loss", 15, 0.05,
       [](MembershipSimulation &G) { G.stop(3); }, 4},
      {"one of two members of a data centre fails", 7, 0,
       [](MembershipSimulation &G) { G.stop(1); }, 1},
      {"half of a data centre fails", 30, 0,
       [](MembershipSimulation &G) {
         for (std::size_t I = 0; I < 15; I += Centres)
           G.stop(I);
       },
       25},
      {"restart with the same address", 15, 0,
       [](MembershipSimulation &G) { G.start(4); }, 0},
      {"restart after being declared dead", 15, 0,
       [](MembershipSimulation &G) {
         G.stop(4);
         G.run(seconds(5));
         G.start(4);
         G.Nodes[4].M->setListed(G.list(), G.Now);
       },
       4},
      {"short pause", 15, 0,
       [](MembershipSimulation &G) { G.pause(5, milliseconds(400)); }, 0},
      {"long pause: declared dead, then refuted", 15, 0,
       [](MembershipSimulation &G) { G.pause(5, seconds(4)); }, 4},
      {"all members pause at the same time", 15, 0,
       [](MembershipSimulation &G) {
         for (std::size_t I = 0; I < 15; ++I)
           G.pause(I, seconds(3));
       },
       0},
      {"data centres partitioned for a minute", 15, 0,
       [](MembershipSimulation &G) {
         G.IsReachable = sameCentre;
         G.run(seconds(60));
         G.IsReachable = [](std::size_t, std::size_t) { return true; };
       },
       0},
      {"messages out of one data centre lost", 15, 0,
       [](MembershipSimulation &G) {
         G.IsReachable = [](std::size_t A, std::size_t B) {
           return A % Centres != 0 || sameCentre(A, B);
         };
         G.run(seconds(30));
         G.IsReachable = [](std::size_t, std::size_t) { return true; };
       },
       0},
      {"partition inside a data centre only", 30, 0,
       [](MembershipSimulation &G) {
         G.IsReachable = [](std::size_t A, std::size_t B) {
           return !sameCentre(A, B) || A % Centres != 0 || (A < 15) == (B < 15);
         };
         G.run(seconds(10));
         G.IsReachable = [](std::size_t, std::size_t) { return true; };
       },
       0},
      {"half of a data centre isolated", 30, 0,
       [](MembershipSimulation &G) {
         const auto Isolated = [](std::size_t I) {
           return I < 15 && I % Centres == 0;
         };
         G.IsReachable = [Isolated](std::size_t A, std::size_t B) {
           return Isolated(A) == Isolated(B);
         };
         G.run(seconds(10));
         G.IsReachable = [](std::size_t, std::size_t) { return true; };
       },
       50},
      {"member fails during a partition", 15, 0,
       [](MembershipSimulation &G) {
         G.IsReachable = sameCentre;
         G.stop(3);
         G.run(seconds(20));
         G.IsReachable = [](std::size_t, std::size_t) { return true; };
       },
       4},
  };
  for (const Row &R : Rows) {
    for (const std::uint64_t Seed : {11U, 12U, 13U}) {
      CAPTURE(R.Name, Seed);
      MembershipSimulation Group(R.Count, Centres, Seed);
      Group.startAll();
      Group.run(seconds(5));
      REQUIRE(converged(Group));
      Group.Loss = R.Loss;
      R.Fault(Group);
      Group.run(seconds(20));
      Group.Loss = 0;
      Group.run(seconds(5));
      CHECK(converged(Group));
      CHECK(deaths(Group) <= R.MaxDeaths);
    }
  }
}

// Guards against members that are declared dead because the link to their data
// centre is down, and against a member that fails during such a partition and
// is not detected in its own data centre.
TEST_CASE("a partition between data centres causes no deaths") {
  MembershipSimulation Group(15, Centres, 21);
  Group.startAll();
  Group.run(seconds(5));
  Group.IsReachable = sameCentre;
  Group.run(std::chrono::minutes(5));
  CHECK(converged(Group));
  CHECK(deaths(Group) == 0);
  Group.stop(3);
  Group.run(seconds(5));
  for (std::size_t I = 0; I < Group.Nodes.size(); ++I) {
    if (I == 3)
      continue;
    CAPTURE(I);
    CHECK(Group.view(I, 3) ==
          (sameCentre(I, 3) ? MemberState::Dead : MemberState::Live));
  }
}

// Guards against a process that resumes after a pause and takes the messages
// that it missed meanwhile for failures of the other members.
TEST_CASE("a process that resumes after a pause declares no member dead") {
  MembershipSimulation Group(9, Centres, 22);
  Group.startAll();
  Group.run(seconds(5));
  Group.pause(0, seconds(30));
  Group.run(seconds(30));
  const std::uint64_t Before = Group.Nodes[0].M->stats().Deaths;
  Group.run(seconds(10));
  CHECK(Group.Nodes[0].M->stats().Deaths == Before);
  CHECK(Before == 0);
  CHECK(Group.Nodes[0].M->stats().Pauses == 1);
  CHECK(converged(Group));
}

// Guards against new work for a VM that is leaving or stopped.
TEST_CASE("the leaving state spreads from the member and from the list") {
  struct Row {
    const char *Name;
    bool ByList;
  };
  const Row Rows[] = {{"the member", false}, {"the platform's list", true}};
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    MembershipSimulation Group(9, Centres, 23);
    Group.startAll();
    Group.run(seconds(5));
    std::vector<ListedMember> List = Group.list();
    List[2].Leaving = R.ByList;
    if (R.ByList)
      Group.Nodes[2].M->setListed(List, Group.Now);
    else
      Group.Nodes[2].M->leave();
    Group.run(seconds(3));
    CHECK(Group.count(2, MemberState::Leaving) == 8);
    // The list no longer marks the member as leaving. This clears only a mark
    // that came from the list; a member that left by itself stays leaving until
    // it is restarted.
    Group.Nodes[2].M->setListed(Group.list(), Group.Now);
    Group.run(seconds(3));
    CHECK(Group.count(2, R.ByList ? MemberState::Live : MemberState::Leaving) ==
          8);
    Group.stop(2);
    Group.run(seconds(5));
    CHECK(Group.count(2, MemberState::Dead) == 8);
  }
}

// Guards against members that are never removed after their VM or their whole
// data centre was removed, and against the removal of live members that are
// missing because the list lags behind.
TEST_CASE("unlisted members are removed only if they do not answer") {
  MembershipSimulation Group(9, Centres, 24);
  Group.startAll();
  Group.run(seconds(5));
  std::vector<ListedMember> List = Group.list();
  std::erase_if(List, [](const ListedMember &L) {
    return L.Location == DataCentre("dc-1") || L.Id == EntryVmId("vm-0");
  });
  for (std::size_t I = 1; I < 9; I += Centres)
    Group.stop(I);
  Group.run(seconds(5));
  // No member of their own data centre is left to declare them dead.
  CHECK(Group.count(1, MemberState::Live) == 6);
  for (MembershipSimulation::Node &N : Group.Nodes)
    N.M->setListed(List, Group.Now);
  Group.run(seconds(60));
  CHECK(Group.count(1, std::nullopt) == 6);
  CHECK(Group.count(4, std::nullopt) == 6);
  // This member is no longer listed, but it answers pings.
  CHECK(Group.count(0, MemberState::Live) == 5);
  // An empty list is treated as a fault of the platform.
  for (MembershipSimulation::Node &N : Group.Nodes)
    N.M->setListed({}, Group.Now);
  Group.run(seconds(60));
  CHECK(Group.count(2, MemberState::Live) == 5);
}

// Guards against a dead member that is added again after its record was
// removed, because a data centre that was partitioned for a long time still
// reports it as live.
TEST_CASE("a removed dead member is not added again by old reports") {
  MembershipSimulation Group(9, Centres, 25);
  Group.startAll();
  Group.run(seconds(5));
  Group.IsReachable = sameCentre;
  Group.stop(3);
  Group.run(std::chrono::minutes(12));
  CHECK(Group.count(3, std::nullopt) == 2);
  CHECK(Group.count(3, MemberState::Live) == 6);
  Group.IsReachable = [](std::size_t, std::size_t) { return true; };
  for (int I = 0; I < 100; ++I) {
    Group.run(milliseconds(100));
    CHECK(Group.view(0, 3) != MemberState::Live);
    CHECK(Group.view(6, 3) != MemberState::Live);
  }
}

// Guards against a process that cannot join because its clock was set back and
// its incarnation is lower than that of the previous process.
TEST_CASE("a process with an earlier start time can join") {
  MembershipSimulation Group(9, Centres, 26);
  Group.startAll();
  Group.run(seconds(5));
  Group.stop(3);
  Group.Nodes[3].Start.Incarnation -= 1500000;
  Group.run(seconds(3));
  Group.start(3);
  Group.Nodes[3].M->setListed(Group.list(), Group.Now);
  Group.run(seconds(10));
  CHECK(converged(Group));
}

// Guards against changes by messages whose sender is unknown, has been
// restarted or uses the identifier of the recipient.
TEST_CASE("messages are accepted or rejected by their sender") {
  struct Row {
    const char *Name;
    const char *From;
    std::uint64_t Incarnation;
    bool OwnEntry;
    MembershipResult Expected;
    std::size_t Members;
  };
  const Row Rows[] = {
      {"new member", "x", 5000000, true, MembershipResult::Accepted, 3},
      {"new member without an entry", "x", 5000000, false,
       MembershipResult::UnknownSender, 2},
      {"member", "b", 5000000, false, MembershipResult::Accepted, 2},
      {"restarted member", "b", 9000000, true, MembershipResult::Accepted, 2},
      {"earlier process of a member", "b", 4000000, true,
       MembershipResult::StaleSender, 2},
      {"the member itself", "a", 5000000, true,
       MembershipResult::ClaimsToBeSelf, 2},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    const auto Entry = [](const std::string &Id, std::uint64_t Incarnation) {
      return Member{EntryVmId(Id), Id + ":1", DataCentre("dc"), Incarnation,
                    MemberState::Live};
    };
    Random Rng(1);
    const TimePoint Now{seconds(1000)};
    const auto M = makeSwimMembership(Entry("a", 5000000));
    MembershipMessage Introduction;
    Introduction.Members = {Entry("b", 5000000)};
    REQUIRE(
        M->onMessage(EntryVmId("b"), 5000000, Introduction, Now, Rng).Result ==
        MembershipResult::Accepted);
    MembershipMessage Message;
    Message.Sequence = 77;
    if (R.OwnEntry)
      Message.Members = {Entry(R.From, R.Incarnation)};
    const auto Response =
        M->onMessage(EntryVmId(R.From), R.Incarnation, Message, Now, Rng);
    CHECK(Response.Result == R.Expected);
    CHECK(M->members().size() == R.Members);
    if (R.Expected == MembershipResult::Accepted) {
      REQUIRE(Response.Messages.size() == 1);
      CHECK(Response.Messages[0].Message.Kind == MembershipMessageKind::Ack);
      CHECK(Response.Messages[0].Message.Sequence == 77);
    }
  }
}

// Guards against messages whose size grows with the number of members.
TEST_CASE("the number of entries in a message is bounded") {
  MembershipSimulation Group(200, Centres, 27);
  std::size_t Largest = 0;
  std::size_t LargestLater = 0;
  bool Later = false;
  Group.OnDelivery = [&](std::size_t, const MembershipMessage &M) {
    Largest = std::max(Largest, M.Members.size());
    if (Later)
      LargestLater = std::max(LargestLater, M.Members.size());
  };
  Group.startAll();
  Group.run(seconds(10));
  Later = true;
  Group.stop(0);
  Group.run(seconds(10));
  CHECK(Largest <=
        Membership::MaxSampleEntries + Membership::MaxPiggybackedUpdates + 4);
  CHECK(LargestLater <= Membership::MaxPiggybackedUpdates + 3);
  CHECK(Group.count(0, MemberState::Dead) == 199);
}

// Guards against runs with the same seed that give different results.
TEST_CASE("membership is deterministic") {
  const auto Run = [] {
    MembershipSimulation Group(15, Centres, 28);
    Group.Loss = 0.2;
    Group.startAll();
    Group.run(seconds(10));
    Group.stop(1);
    Group.run(seconds(10));
    std::vector<std::vector<Member>> Views;
    Views.reserve(Group.Nodes.size());
    for (const MembershipSimulation::Node &N : Group.Nodes)
      Views.push_back(N.M->members());
    return Views;
  };
  CHECK(Run() == Run());
}
