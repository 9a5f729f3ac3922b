#include "policy/StoreHistory.h"

#include <catch2/catch.hpp>

#include <vector>

using namespace amaranthspur;

namespace {

constexpr TimePoint Start{std::chrono::hours(1)};

struct Answer {
  std::int64_t AtMs;
  StoreVersion Newest;
  bool Returns;
};

} // namespace

// Guards against a return that goes unnoticed, and against one that is counted
// because an answer of the former era arrives late.
TEST_CASE("a return of the store is a rise of its era") {
  struct Row {
    const char *Name;
    std::vector<Answer> Answers;
    std::optional<std::int64_t> ReturnedMs;
    StoreVersion Newest;
  };
  const Row Rows[] = {
      {"no era",
       {{0, StoreVersion(5), false}, {1, StoreVersion(4), false}},
       std::nullopt,
       StoreVersion(5)},
      {"the first era is known from the first answer",
       {{0, StoreVersion(5, 3), false}, {1, StoreVersion(6, 3), false}},
       std::nullopt,
       StoreVersion(6, 3)},
      {"the era rises while the number falls",
       {{0, StoreVersion(9, 1), false}, {7, StoreVersion(4, 2), true}},
       7,
       StoreVersion(4, 2)},
      {"an answer of the former era arrives late",
       {{0, StoreVersion(9, 1), false},
        {7, StoreVersion(4, 2), true},
        {8, StoreVersion(10, 1), false}},
       7,
       StoreVersion(4, 2)},
      {"two returns",
       {{0, StoreVersion(9, 1), false},
        {7, StoreVersion(4, 2), true},
        {9, StoreVersion(3, 3), true}},
       9,
       StoreVersion(3, 3)},
      {"several returns between two answers",
       {{0, StoreVersion(9, 1), false}, {7, StoreVersion(0, 4), true}},
       7,
       StoreVersion(0, 4)},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    StoreHistory History;
    for (const Answer &A : R.Answers) {
      CAPTURE(A.AtMs);
      CHECK(History.observe(A.Newest, Start + milliseconds(A.AtMs)) ==
            A.Returns);
    }
    CHECK(History.newest() == R.Newest);
    REQUIRE(History.returnedAt().has_value() == R.ReturnedMs.has_value());
    if (R.ReturnedMs)
      CHECK(*History.returnedAt() == Start + milliseconds(*R.ReturnedMs));
  }
}

// Guards against a row of the copy that is taken for the last one, although a
// later one was lost with the return.
TEST_CASE("only a row that was written since the return is the last one") {
  struct Row {
    const char *Name;
    std::vector<StoreVersion> Answers;
    StoreVersion Version; ///< Of the row.
    bool SinceReturn;
  };
  const std::vector<StoreVersion> Returned = {
      StoreVersion(9, 1), StoreVersion(0, 2), StoreVersion(5, 2)};
  const Row Rows[] = {
      {"no return", {StoreVersion(9, 1)}, StoreVersion(3, 1), true},
      {"no return, no row", {StoreVersion(9, 1)}, StoreVersion(0, 1), true},
      {"in the copy", Returned, StoreVersion(5, 2), false},
      {"written since", Returned, StoreVersion(6, 2), true},
      {"no row", Returned, StoreVersion(0, 2), false},
      {"of the former era", Returned, StoreVersion(8, 1), false},
      {"no version was told since",
       {StoreVersion(9, 1), StoreVersion(0, 2)},
       StoreVersion(6, 2),
       false},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    StoreHistory History;
    for (const StoreVersion Newest : R.Answers)
      History.observe(Newest, Start);
    CHECK(History.isSinceReturn(R.Version) == R.SinceReturn);
  }
}
