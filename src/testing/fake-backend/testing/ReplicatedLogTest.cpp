#include "testing/fake-backend/ReplicatedLog.h"

#include "core/Random.h"

#include <catch2/catch.hpp>

using namespace amaranthspur;
using namespace amaranthspur::fake;

namespace {

/// Builds a log from the terms of its entries, for example "1123".
ReplicatedLog logOf(const std::string &Terms) {
  ReplicatedLog Log;
  for (const char C : Terms)
    Log.append(static_cast<Term>(C - '0'), std::string(1, C));
  return Log;
}

} // namespace

// Guards against a replica that keeps entries that its primary does not have,
// or removes entries that both have.
TEST_CASE("the common prefix of two logs") {
  struct Row {
    std::string Own;
    std::string Other;
    std::uint64_t Common;
  };
  const Row Rows[] = {
      {"", "", 0},
      {"1", "", 0},
      {"", "1", 0},
      {"111", "111", 3},
      {"111", "11", 2},
      {"11", "111", 2},
      {"1112", "111", 3},
      {"1112", "11111", 3},
      {"11122", "1113", 3},
      {"1122", "1122", 4},
      {"112244", "11224", 5},
      {"11334", "11222", 2},
      {"11224", "112233", 4},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Own, R.Other);
    const ReplicatedLog Own = logOf(R.Own);
    const ReplicatedLog Other = logOf(R.Other);
    CHECK(Own.commonIndex(Other.termEnds()) == R.Common);
    CHECK(Other.commonIndex(Own.termEnds()) == R.Common);
  }
}

// Guards against an end position or term ends that do not match the entries
// after a sequence of appends and truncations.
TEST_CASE("a truncated log equals a log without the removed entries") {
  Random Chance(7);
  for (int Round = 0; Round < 200; ++Round) {
    std::string Terms;
    char Highest = '1';
    const std::uint64_t Length = Chance.below(12);
    for (std::uint64_t I = 0; I < Length; ++I) {
      Highest = static_cast<char>(Highest + (Chance.below(3) == 0 ? 1 : 0));
      Terms += Highest;
    }
    ReplicatedLog Log = logOf(Terms);
    const std::uint64_t Last = Chance.below(Length + 2);
    CAPTURE(Terms, Last);
    Log.truncate(Last);
    const ReplicatedLog Expected = logOf(Terms.substr(0, Last));
    CHECK(Log.end() == Expected.end());
    CHECK(Log.termEnds() == Expected.termEnds());
  }
}

// Guards against accepting malformed term ends.
TEST_CASE("parsing and formatting of term ends") {
  struct Row {
    std::string Text;
    bool Good;
  };
  const Row Rows[] = {
      {"", true},         {"1/5", true},      {"1/5,3/9", true},
      {"1/5,", true},     {"1", false},       {"1/", false},
      {"/5", false},      {"1/5;2/6", false}, {"2/5,1/6", false},
      {"1/5,2/5", false}, {"x/5", false},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Text);
    const auto Parsed = parseTermEnds(R.Text);
    CHECK(succeeded(Parsed) == R.Good);
    if (R.Good && !R.Text.ends_with(","))
      CHECK(formatTermEnds(valueOf(Parsed)) == R.Text);
  }
  // If there are too many terms, only the latest ones are formatted.
  TermEnds Many;
  for (std::uint64_t I = 1; I <= 2 * MaxFormattedTerms; ++I)
    Many.push_back({I, I});
  const auto Described = parseTermEnds(formatTermEnds(Many));
  REQUIRE(succeeded(Described));
  CHECK(valueOf(Described).size() == MaxFormattedTerms);
  CHECK(valueOf(Described).back() == Many.back());
}
