#include "policy/ConnectionShare.h"

#include <catch2/catch.hpp>

#include <map>
#include <vector>

using namespace amaranthspur;

namespace {

TimePoint at(int Ms) { return TimePoint(milliseconds(10000 + Ms)); }

} // namespace

// Guards against opening connections without limit: without the pauses and the
// reported count, servers reset 77,729 connections within one minute of a
// simulated day.
TEST_CASE("a share increases in steps and decreases after a refusal") {
  struct Row {
    const char *Name;
    std::size_t Open;
    int GrownAtMs;   ///< -1: never.
    int RefusedAtMs; ///< -1: never.
    int Count;       ///< -1: not known.
    int CountedAtMs;
    int AtMs;
    bool MayOpen;
  };
  constexpr int Never = -1;
  const Row Rows[] = {
      {"below the initial share", 2, Never, Never, Never, 0, 1000, true},
      {"first increase", 3, Never, Never, Never, 0, 1000, true},
      {"second increase too soon", 4, 1000, Never, Never, 0, 1049, false},
      {"second increase", 4, 1000, Never, Never, 0, 1050, true},
      {"after a refusal", 3, Never, 1000, Never, 0, 1699, false},
      {"long after a refusal", 3, Never, 1000, Never, 0, 1700, true},
      {"the server is nearly full", 3, Never, Never, 27, 900, 1000, false},
      {"the server has room", 3, Never, Never, 16, 900, 1000, true},
      {"more than half is open: slow increase, too soon", 4, 1000, Never, 20,
       1000, 1199, false},
      {"more than half is open: slow increase", 4, 1000, Never, 20, 1000, 1200,
       true},
      {"the count is outdated", 3, Never, Never, 33, 0, 1000, true},
      {"not beyond the server's limit", 33, Never, Never, Never, 0, 1000,
       false},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    ConnectionShare Share;
    Share.setMaximum(33);
    if (R.GrownAtMs != Never)
      REQUIRE(Share.mayOpen(3, at(R.GrownAtMs)));
    if (R.RefusedAtMs != Never)
      Share.observeRefusal(R.Open, at(R.RefusedAtMs));
    if (R.Count != Never)
      Share.observeCount(static_cast<std::size_t>(R.Count), at(R.CountedAtMs));
    CHECK(Share.mayOpen(R.Open, at(R.AtMs)) == R.MayOpen);
  }
}

// Guards against the storm of connections when all entry VMs start before
// servers with fewer connections than three for each of them: 295 entry VMs
// before 125 connections had 107,137 connections reset within 44 s.
TEST_CASE("the share starts from an equal part of the limit") {
  using Share = ConnectionShare;
  struct Row {
    const char *Name;
    std::size_t Maximum;
    std::size_t Sharers;
    std::size_t Limit;
    Duration IdleTime; ///< Of the most recently used connection.
  };
  const Row Rows[] = {
      {"number of entry VMs not known", 33, 0, 3, Share::IdleTimeout},
      {"few entry VMs", 33, 7, 3, Share::IdleTimeout},
      {"two connections for each", 16, 6, 2, Share::IdleTimeout},
      {"one connection for each", 100, 80, 1, Share::IdleTimeout},
      {"more entry VMs than connections", 125, 295, 1,
       Share::ScarceIdleTimeout},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    ConnectionShare S;
    S.setSharers(R.Sharers);
    S.setMaximum(R.Maximum);
    CHECK(S.limit(at(0)) == R.Limit);
    CHECK(S.idleTimeout(true, false, at(0)) == R.IdleTime);
    // A share that has adapted to what the server reported is kept.
    S.observeRefusal(8, at(0));
    S.setSharers(R.Sharers + 1);
    CHECK(S.limit(at(0)) == 6);
  }
}

// Guards against an entry VM that may open no connection at all after refusals.
TEST_CASE("a share is at least one connection") {
  ConnectionShare Share;
  Share.setMaximum(33);
  for (int I = 0; I < 10; ++I)
    Share.observeRefusal(Share.limit(at(0)), at(I));
  CHECK(Share.limit(at(0)) == 1);
  CHECK(Share.mayOpen(0, at(20)));
}

// Guards against entry VMs that connected first and keep all connections: they
// are never refused one, so that only the server's count makes them decrease
// their share.
TEST_CASE("a share decreases while the server is crowded") {
  struct Row {
    const char *Name;
    std::size_t Count;
    int SecondAtMs; ///< Time of a second report of the same count.
    std::size_t Limit;
  };
  const Row Rows[] = {
      {"room", 24, 600, 8},
      {"crowded", 26, 100, 6},
      {"crowded for long", 26, 600, 4},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    ConnectionShare Share;
    Share.setMaximum(33);
    for (std::size_t Open = ConnectionShare::InitialShare; Open < 8; ++Open)
      REQUIRE(Share.mayOpen(Open, at(static_cast<int>(Open) * 100 - 2000)));
    Share.observeCount(R.Count, at(0));
    Share.observeCount(R.Count, at(R.SecondAtMs));
    CHECK(Share.limit(at(0)) == R.Limit);
  }
}

// Guards against an entry VM that never detects that the server is crowded: as
// long as the answers to its statements carry all other information that it
// needs, it would not request the server's status, which contains the count.
TEST_CASE("a large share requests the count") {
  struct Row {
    const char *Name;
    std::size_t Open;
    int CountedAtMs;
    bool Wanted;
  };
  const Row Rows[] = {
      {"the initial share", ConnectionShare::InitialShare, 0, false},
      {"more, with a recent count", ConnectionShare::InitialShare + 1, 1500,
       false},
      {"more, with an outdated count", ConnectionShare::InitialShare + 1, 0,
       true},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    ConnectionShare Share;
    Share.setMaximum(33);
    Share.observeCount(5, at(R.CountedAtMs));
    CHECK(Share.wantsCount(R.Open, at(2000)) == R.Wanted);
  }
}

// Guards against idle connections that permanently prevent other entry VMs from
// connecting to a server with fewer connections than entry VMs. Also guards
// against closing connections that the next statement would reuse while the
// server has room.
TEST_CASE("idle connections are closed early while connections are scarce") {
  using Share = ConnectionShare;
  struct Row {
    const char *Name;
    std::vector<int> RefusedAtMs;
    std::size_t Count; ///< Reported at AtMs.
    int AtMs;
    Duration Newest;
    Duration Other;
  };
  const Row Rows[] = {
      {"room", {}, 10, 0, Share::IdleTimeout, Share::SurplusIdleTimeout},
      {"crowded",
       {},
       25,
       0,
       Share::ScarceIdleTimeout,
       Share::ScarceIdleTimeout},
      {"refused",
       {0},
       10,
       999,
       Share::ScarceIdleTimeout,
       Share::ScarceIdleTimeout},
      {"refused long ago",
       {0},
       10,
       1000,
       Share::IdleTimeout,
       Share::SurplusIdleTimeout},
      {"refused again soon after the scarce period",
       {0, 1500},
       10,
       3400,
       Share::ScarceIdleTimeout,
       Share::ScarceIdleTimeout},
      {"refused again within the scarce period",
       {0, 500},
       10,
       1600,
       Share::IdleTimeout,
       Share::SurplusIdleTimeout},
      {"refused again long after the scarce period",
       {0, 2500},
       10,
       3600,
       Share::IdleTimeout,
       Share::SurplusIdleTimeout},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    ConnectionShare S;
    S.setMaximum(33);
    for (const int At : R.RefusedAtMs)
      S.observeRefusal(3, at(At));
    S.observeCount(R.Count, at(R.AtMs));
    CHECK(S.idleTimeout(true, false, at(R.AtMs)) == R.Newest);
    CHECK(S.idleTimeout(false, false, at(R.AtMs)) == R.Other);
  }
}

// Guards against a home that closes the connections of its workspaces although
// its share has room, against homes that together exceed the server's limit,
// and against a home that ignores that the server is full.
TEST_CASE("a home keeps its share of the connections") {
  using Share = ConnectionShare;
  struct Row {
    const char *Name;
    std::size_t Homes;
    std::size_t Count; ///< That the server reports.
    int RefusedAtMs;   ///< With two connections open; -1: never.
    int AtMs;          ///< Of the checks; the home was used at 0 ms.
    std::size_t Limit;
    Duration IdleTime;  ///< Of a connection of a workspace.
    Duration OtherTime; ///< Of the newest connection without a workspace.
  };
  constexpr int Never = -1;
  const Row Rows[] = {
      {"12 homes", 12, 20, Never, 100, 4, Share::HomeIdleTimeout,
       Share::StatusIdleTimeout},
      {"12 homes, crowded", 12, 68, Never, 100, 4, Share::HomeIdleTimeout,
       Share::StatusIdleTimeout},
      {"more homes than connections", 100, 20, Never, 100, 1,
       Share::HomeIdleTimeout, Share::StatusIdleTimeout},
      {"few homes", 2, 20, Never, 100, 28, Share::HomeIdleTimeout,
       Share::StatusIdleTimeout},
      {"refused", 12, 20, 50, 100, 1, Share::HomeIdleTimeout,
       Share::StatusIdleTimeout},
      {"not a home any more", 12, 20, Never, 60000, 4,
       Share::SurplusIdleTimeout, Share::StatusIdleTimeout},
      {"no homes", 0, 20, Never, 100, 1, Share::IdleTimeout,
       Share::IdleTimeout},
      {"no homes, crowded", 0, 68, Never, 100, 1, Share::ScarceIdleTimeout,
       Share::ScarceIdleTimeout},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    Share S;
    S.setMaximum(70);
    S.setSharers(67);
    S.setHomes({R.Homes});
    S.observeHomeUse(at(0));
    if (R.RefusedAtMs != Never)
      S.observeRefusal(2, at(R.RefusedAtMs));
    S.observeCount(R.Count, at(R.AtMs));
    CHECK(S.limit(at(R.AtMs)) == R.Limit);
    CHECK(S.idleTimeout(false, true, at(R.AtMs)) ==
          (R.Homes > 0
               ? R.IdleTime
               : std::min(R.IdleTime, Duration(Share::SurplusIdleTimeout))));
    CHECK(S.idleTimeout(true, true, at(R.AtMs)) == R.IdleTime);
    CHECK(S.idleTimeout(true, false, at(R.AtMs)) == R.OtherTime);
    if (R.Homes > 0 && R.AtMs < 1000)
      CHECK_FALSE(S.mayOpen(R.Limit, at(R.AtMs)));
  }
}

// Guards against homes that may together have more connections than they are to
// use, and against homes in the region of a server that have too few of them,
// since nearly all of its statements run there.
TEST_CASE("homes divide the connections to a server by region") {
  const std::map<DataCentre, Region> Regions = {
      {DataCentre("a1"), Region("a")}, {DataCentre("a2"), Region("a")},
      {DataCentre("a3"), Region("a")}, {DataCentre("b1"), Region("b")},
      {DataCentre("b2"), Region("b")}, {DataCentre("b3"), Region("b")}};
  struct Row {
    const char *Name;
    const char *Home; ///< Data centre.
    const char *Server;
    std::size_t Homes;
    std::size_t Share;
  };
  const Row Rows[] = {
      {"in the data centre", "a1", "a1", 12, 8},
      {"in the region", "a1", "a3", 12, 8},
      {"in another region", "b1", "a3", 12, 1},
      {"four homes each", "a1", "a2", 24, 3},
      {"four homes each, another region", "b1", "a2", 24, 1},
      {"eight homes each", "a1", "a2", 48, 1},
      {"eight homes each, another region", "b1", "a2", 48, 1},
      {"a server in an unknown place", "a1", "c1", 12, 4},
      {"fewer homes than data centres", "a1", "a1", 4, 14},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    ConnectionShare S;
    S.setMaximum(70);
    S.setHomes(homeDivision({DataCentre(R.Home), Regions}, DataCentre(R.Server),
                            R.Homes));
    S.observeHomeUse(at(0));
    CHECK(S.limit(at(0)) == R.Share);
  }
  // Without regions and with one region, the division is equal.
  for (const auto &Known :
       {std::map<DataCentre, Region>(),
        std::map<DataCentre, Region>{{DataCentre("a1"), Region("a")},
                                     {DataCentre("a2"), Region("a")}}}) {
    const HomeDivision Found =
        homeDivision({DataCentre("a1"), Known}, DataCentre("a2"), 12);
    CHECK(Found.Near == 12);
    CHECK(Found.Far == 0);
  }
}

// Guards against a home that closes the connections of its workspaces whenever
// the registrations are read again or an entry VM joins or leaves.
TEST_CASE("a home keeps its share when settings are applied again") {
  struct Row {
    const char *Name;
    bool IsHome;
    std::size_t Maximum;
    std::size_t Sharers;
    std::size_t Limit;
  };
  const Row Rows[] = {
      {"the same settings", true, 70, 67, 4},
      {"an entry VM less", true, 70, 66, 4},
      {"a lower limit of the server", true, 20, 67, 1},
      {"another entry VM", false, 70, 67, 1},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    ConnectionShare S;
    S.setMaximum(70);
    S.setSharers(67);
    S.setHomes({12});
    if (R.IsHome)
      S.observeHomeUse(at(0));
    S.setMaximum(R.Maximum);
    S.setSharers(R.Sharers);
    CHECK(S.limit(at(1000)) == R.Limit);
  }
}

// Guards against a home that stays at a reduced share after a refusal, and
// against one that grows beyond its part.
TEST_CASE("a home regains its share after a refusal") {
  ConnectionShare S;
  S.setMaximum(70);
  S.setHomes({12});
  S.observeHomeUse(at(0));
  S.observeRefusal(3, at(0));
  REQUIRE(S.limit(at(0)) == 2);
  struct Row {
    int AtMs;
    std::size_t Open;
    bool MayOpen;
  };
  const Row Rows[] = {{0, 1, true},    {699, 2, false}, {700, 2, true},
                      {749, 3, false}, {750, 3, true},  {2000, 4, false}};
  for (const Row &R : Rows) {
    CAPTURE(R.AtMs);
    CHECK(S.mayOpen(R.Open, at(R.AtMs)) == R.MayOpen);
  }
}

// Guards against status calls of a home that only serve to count connections.
TEST_CASE("a home does not ask for the number of connections") {
  ConnectionShare S;
  S.setMaximum(70);
  S.setHomes({2});
  CHECK(S.wantsCount(10, at(0)));
  S.observeHomeUse(at(0));
  CHECK_FALSE(S.wantsCount(10, at(0)));
}
