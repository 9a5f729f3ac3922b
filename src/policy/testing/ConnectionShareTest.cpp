#include "policy/ConnectionShare.h"

#include <catch2/catch.hpp>

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
