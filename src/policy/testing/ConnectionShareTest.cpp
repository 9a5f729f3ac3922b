#include "policy/ConnectionShare.h"

#include <catch2/catch.hpp>

#include <vector>

using namespace amaranthspur;

namespace {

TimePoint at(int Ms) { return TimePoint(milliseconds(10000 + Ms)); }

} // namespace

// Guards against a storm of connections: without the pauses and the count,
// servers reset 77,729 connections in one minute of a played day.
TEST_CASE("a share grows step by step and shrinks at a refusal") {
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
      {"first step beyond", 3, Never, Never, Never, 0, 1000, true},
      {"second step too soon", 4, 1000, Never, Never, 0, 1049, false},
      {"second step", 4, 1000, Never, Never, 0, 1050, true},
      {"after a refusal", 3, Never, 1000, Never, 0, 1699, false},
      {"long after a refusal", 3, Never, 1000, Never, 0, 1700, true},
      {"the server is nearly full", 3, Never, Never, 27, 900, 1000, false},
      {"the server has room", 3, Never, Never, 16, 900, 1000, true},
      {"more than half is open: slowly", 4, 1000, Never, 20, 1000, 1199, false},
      {"more than half is open", 4, 1000, Never, 20, 1000, 1200, true},
      {"the count is old", 3, Never, Never, 33, 0, 1000, true},
      {"never beyond the server's limit", 33, Never, Never, Never, 0, 1000,
       false},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    ConnectionShare Share;
    Share.setMaximum(33);
    if (R.GrownAtMs != Never)
      REQUIRE(Share.mayOpen(3, at(R.GrownAtMs)));
    if (R.RefusedAtMs != Never)
      Share.refused(R.Open, at(R.RefusedAtMs));
    if (R.Count != Never)
      Share.observeCount(static_cast<std::size_t>(R.Count), at(R.CountedAtMs));
    CHECK(Share.mayOpen(R.Open, at(R.AtMs)) == R.MayOpen);
  }
}

// Guards against an entry VM that gives up its last connection.
TEST_CASE("a share keeps one connection") {
  ConnectionShare Share;
  Share.setMaximum(33);
  for (int I = 0; I < 10; ++I)
    Share.refused(Share.limit(), at(I));
  CHECK(Share.limit() == 1);
  CHECK(Share.mayOpen(0, at(20)));
}

// Guards against entry VMs that came first and keep all connections: they are
// never refused one, so that only the server's count tells them.
TEST_CASE("a share shrinks while the server is crowded") {
  struct Row {
    const char *Name;
    std::size_t Count;
    int SecondAtMs; ///< Of another report of the same count.
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
    CHECK(Share.limit() == R.Limit);
  }
}

// Guards against a crowd that is never noticed: an entry VM whose statements
// bring all it needs to know would not ask for the server's count.
TEST_CASE("a large share asks for the count") {
  struct Row {
    const char *Name;
    std::size_t Open;
    int CountedAtMs;
    bool Wanted;
  };
  const Row Rows[] = {
      {"the first share", ConnectionShare::InitialShare, 0, false},
      {"more, counted lately", ConnectionShare::InitialShare + 1, 1500, false},
      {"more, counted long ago", ConnectionShare::InitialShare + 1, 0, true},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    ConnectionShare Share;
    Share.setMaximum(33);
    Share.observeCount(5, at(R.CountedAtMs));
    CHECK(Share.wantsCount(R.Open, at(2000)) == R.Wanted);
  }
}

// Guards against idle connections that keep others out for good at a server
// with fewer connections than entry VMs, and against closing those that the
// next statement would use where there is room.
TEST_CASE("idle connections are closed soon while they are scarce") {
  using Share = ConnectionShare;
  struct Row {
    const char *Name;
    std::vector<int> RefusedAtMs;
    std::size_t Count; ///< Reported at the time asked for.
    int AtMs;
    Duration Newest;
    Duration Other;
  };
  const Row Rows[] = {
      {"room", {}, 10, 0, Share::IdleLimit, Share::SurplusIdleLimit},
      {"crowded", {}, 25, 0, Share::ScarceIdleLimit, Share::ScarceIdleLimit},
      {"refused", {0}, 10, 999, Share::ScarceIdleLimit, Share::ScarceIdleLimit},
      {"refused long ago",
       {0},
       10,
       1000,
       Share::IdleLimit,
       Share::SurplusIdleLimit},
      {"refused again soon after",
       {0, 1500},
       10,
       3400,
       Share::ScarceIdleLimit,
       Share::ScarceIdleLimit},
      {"refused again meanwhile",
       {0, 500},
       10,
       1600,
       Share::IdleLimit,
       Share::SurplusIdleLimit},
      {"refused again much later",
       {0, 2500},
       10,
       3600,
       Share::IdleLimit,
       Share::SurplusIdleLimit},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    ConnectionShare S;
    S.setMaximum(33);
    for (const int At : R.RefusedAtMs)
      S.refused(3, at(At));
    S.observeCount(R.Count, at(R.AtMs));
    CHECK(S.idleLimit(true, at(R.AtMs)) == R.Newest);
    CHECK(S.idleLimit(false, at(R.AtMs)) == R.Other);
  }
}
