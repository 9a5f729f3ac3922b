#include "policy/Freshness.h"

#include "core/Random.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <vector>

using namespace amaranthspur;

namespace {

TimePoint at(int Ms) { return TimePoint(milliseconds(10000 + Ms)); }

/// One observation or query of a script.
struct Step {
  enum class Kind { Report, Proof, Floor, Proved };
  Kind Type;
  Term TermNumber;
  std::uint64_t Index; ///< Report: its position. Floor: expected, or 0.
  int AtMs;
  bool Expected = false; ///< Proved: the expected result.
};

Step report(Term T, std::uint64_t Index, int AtMs) {
  return {Step::Kind::Report, T, Index, AtMs};
}
Step proof(Term T, int AtMs) { return {Step::Kind::Proof, T, 0, AtMs}; }
Step floorIs(std::uint64_t Index, int SinceMs) {
  return {Step::Kind::Floor, 0, Index, SinceMs};
}
Step provedIs(Term T, int SinceMs, bool Expected) {
  return {Step::Kind::Proved, T, 0, SinceMs, Expected};
}

struct Script {
  const char *Name;
  std::vector<Step> Steps;
};

} // namespace

// Guards against a floor from a primary that had been superseded. A read could
// then miss commits within its staleness bound.
TEST_CASE("a report counts only with a proof for its term and time") {
  const Script Scripts[] = {
      {"nothing is known", {floorIs(0, 0), provedIs(1, 0, false)}},
      {"a report without a proof", {report(1, 5, 100), floorIs(0, 0)}},
      {"proof for a time before the report",
       {report(1, 5, 100), proof(1, 99), floorIs(0, 0)}},
      {"proof for a time after the report",
       {report(1, 5, 100), proof(1, 150), floorIs(5, 100), floorIs(0, 101)}},
      {"proof observed before the report",
       {proof(1, 150), report(1, 5, 100), floorIs(5, 0)}},
      {"the oldest report in the bound is the floor",
       {report(1, 5, 100), report(1, 6, 200), report(1, 7, 300), proof(1, 300),
        floorIs(5, 50), floorIs(6, 150), floorIs(7, 250), floorIs(0, 301)}},
      {"proof of another term",
       {report(1, 5, 100), proof(2, 200), floorIs(0, 0)}},
      {"a proved report stays usable after its term",
       {report(1, 5, 100), proof(1, 100), proof(2, 200), floorIs(5, 50),
        provedIs(1, 100, false), provedIs(2, 200, true)}},
      {"a late proof of an earlier term",
       {proof(2, 200), report(1, 9, 100), proof(1, 300), floorIs(0, 0),
        provedIs(1, 0, false), provedIs(2, 201, false)}},
      {"a new term does not inherit a later proof",
       {proof(1, 500), proof(2, 200), provedIs(2, 300, false)}},
      {"term 0 is never proved", {proof(0, 100), provedIs(0, 50, false)}},
      {"answers out of order",
       {report(1, 7, 200), report(1, 5, 100), proof(1, 300), floorIs(7, 50)}},
      {"an earlier report that is proved narrows the floor",
       {report(1, 9, 400), proof(1, 250), floorIs(0, 50), report(1, 5, 100),
        floorIs(5, 50), floorIs(0, 101)}},
      {"an earlier report close to a usable one is not kept",
       {report(1, 9, 400), proof(1, 250), report(1, 5, 100), report(1, 4, 80),
        floorIs(5, 50)}},
  };
  for (const Script &S : Scripts) {
    CAPTURE(S.Name);
    Freshness Known;
    for (const Step &Next : S.Steps) {
      CAPTURE(Next.AtMs, Next.Index, Next.TermNumber);
      switch (Next.Type) {
      case Step::Kind::Report:
        Known.observeReport(Next.TermNumber, {Next.TermNumber, Next.Index},
                            at(Next.AtMs));
        break;
      case Step::Kind::Proof:
        Known.observeProof(Next.TermNumber, at(Next.AtMs));
        break;
      case Step::Kind::Floor: {
        const std::optional<LogPosition> Floor = Known.floorAsOf(at(Next.AtMs));
        CHECK((Floor ? Floor->Index : 0) == Next.Index);
        break;
      }
      case Step::Kind::Proved:
        CHECK(Known.provedSince(Next.TermNumber, at(Next.AtMs)) ==
              Next.Expected);
        break;
      }
    }
  }
}

// Guards against a floor that misses a commit because of the order in which
// answers arrive. The test compares the floors with the history of commits.
TEST_CASE("floors cover the commits acknowledged before the bound") {
  for (std::uint64_t Seed = 1; Seed <= 200; ++Seed) {
    CAPTURE(Seed);
    Random Rng(Seed);
    Freshness Known;
    std::vector<std::pair<int, std::uint64_t>> Commits; // Time, index.
    std::uint64_t Index = 0;
    Term T = 1;
    for (int Ms = 0; Ms < 3000; Ms += 1 + static_cast<int>(Rng.below(20))) {
      if (Rng.below(2) == 0)
        Commits.emplace_back(Ms, ++Index);
      if (Rng.below(100) == 0)
        ++T;
      if (Rng.below(3) == 0)
        Known.observeReport(T, {T, Index}, at(Ms));
      // A relay's report arrives later than the own reports that follow it. It
      // covers at least what was committed when it was requested.
      if (Rng.below(3) == 0)
        Known.observeReport(T, {T, Index},
                            at(Ms - static_cast<int>(Rng.below(400))));
      if (Rng.below(3) == 0)
        Known.observeProof(T, at(Ms - static_cast<int>(Rng.below(30))));
      const int Since = Ms - static_cast<int>(Rng.below(1000));
      const std::optional<LogPosition> Floor = Known.floorAsOf(at(Since));
      if (!Floor)
        continue;
      std::uint64_t Needed = 0;
      for (const auto &[When, Committed] : Commits)
        if (When < Since)
          Needed = std::max(Needed, Committed);
      CAPTURE(Ms, Since, Floor->Index, Needed);
      REQUIRE(Floor->Index >= Needed);
    }
  }
}
