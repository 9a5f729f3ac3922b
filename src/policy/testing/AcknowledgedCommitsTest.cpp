#include "policy/AcknowledgedCommits.h"

#include <catch2/catch.hpp>

#include <functional>
#include <string>
#include <vector>

using namespace amaranthspur;

namespace {

/// Returns what a warning would tell, or an empty string.
std::string describe(const std::optional<MissingCommit> &Missing) {
  if (!Missing)
    return "";
  return Missing->Known.Primary.str() + " of " +
         std::to_string(Missing->Known.TermNumber) + " at " +
         positionText(Missing->Known.Position) + " lacks " +
         positionText(Missing->Commit.Position) + " held by " +
         Missing->Commit.Holder.str();
}

/// An entry VM, and the warnings that it would give.
struct Fixture {
  void commit(LogPosition Position, const char *Holder = "h") {
    this->add(this->Commits.recordCommit(
        {Position, ServerId(Holder), TimePoint(std::chrono::seconds(7))}));
  }
  void primary(const char *Id, Term T, LogPosition Position) {
    this->add(this->Commits.observePrimary(
        {ServerId(Id), T, Position, PositionSource::Report}));
  }
  void target(const char *Id, Term T, LogPosition Position) {
    this->add(this->Commits.compareTarget(
        {ServerId(Id), T, Position, PositionSource::Order}));
  }
  void add(const std::optional<MissingCommit> &Missing) {
    if (Missing)
      this->Warnings.push_back(describe(Missing));
  }

  AcknowledgedCommits Commits;
  std::vector<std::string> Warnings;
};

} // namespace

// Guards against a lost commit that is not noticed, and against an alarm for a
// log that may hold the commit.
TEST_CASE("a known position of a log tells whether it lacks a commit") {
  struct Row {
    const char *Name;
    LogPosition Position;
    LogPosition Commit;
    bool Lacks;
  };
  const Row Rows[] = {
      {"it ends at the commit", {2, 9}, {2, 9}, false},
      {"it ends after the commit", {2, 10}, {2, 9}, false},
      {"it ends before the commit", {2, 8}, {2, 9}, true},
      {"it ends in an earlier term", {1, 12}, {2, 9}, true},
      {"an entry of a later term has the number of the commit",
       {3, 9},
       {2, 9},
       true},
      {"an entry of a later term has a lower number", {3, 8}, {2, 9}, true},
      {"an entry of a later term has the next number", {3, 10}, {2, 9}, false},
      {"it is empty", {0, 0}, {1, 1}, true},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    CHECK(lacksCommit(R.Position, R.Commit) == R.Lacks);
  }
}

// Guards against an alarm that is given late, twice or for the wrong primary.
TEST_CASE("a primary that lacks a reported commit is found once") {
  struct Row {
    const char *Name;
    std::function<void(Fixture &)> Events;
    std::vector<std::string> Warnings;
  };
  const Row Rows[] = {
      {"the next primary holds the commit",
       [](Fixture &F) {
         F.commit({1, 9});
         F.primary("b", 2, {1, 9});
         F.primary("b", 2, {2, 10});
       },
       {}},
      {"the next primary lacks it",
       [](Fixture &F) {
         F.commit({1, 8}, "b");
         F.commit({1, 9}, "c");
         F.primary("b", 2, {1, 8});
         F.primary("b", 2, {2, 9});
       },
       {"b of 2 at 1.8 lacks 1.9 held by c"}},
      {"its own term has taken the number",
       [](Fixture &F) {
         F.commit({1, 9});
         F.primary("b", 2, {2, 9});
       },
       {"b of 2 at 2.9 lacks 1.9 held by h"}},
      {"an earlier position comes after a later one",
       [](Fixture &F) {
         F.commit({1, 9});
         F.primary("b", 2, {2, 12});
         F.primary("b", 2, {1, 8});
       },
       {"b of 2 at 1.8 lacks 1.9 held by h"}},
      {"the commit is reported after the next primary leads",
       [](Fixture &F) {
         F.primary("b", 2, {1, 8});
         F.commit({2, 9});
         F.commit({1, 9});
         F.commit({1, 10});
       },
       {"b of 2 at 1.8 lacks 1.9 held by h"}},
      {"a commit of the primary's own term is no commit of an earlier one",
       [](Fixture &F) {
         F.commit({2, 9});
         F.primary("b", 2, {2, 8});
       },
       {}},
      {"an outdated report of the old primary",
       [](Fixture &F) {
         F.commit({1, 9});
         F.primary("b", 3, {3, 12});
         F.primary("a", 2, {1, 7});
       },
       {}},
      {"the commits of the present term do not hide an earlier one",
       [](Fixture &F) {
         F.commit({1, 9});
         F.commit({2, 10});
         F.primary("b", 2, {1, 8});
       },
       {"b of 2 at 1.8 lacks 1.9 held by h"}},
      {"two primaries lack it",
       [](Fixture &F) {
         F.commit({1, 9});
         F.primary("b", 2, {1, 8});
         F.primary("c", 3, {1, 8});
         F.primary("b", 2, {1, 7});
       },
       {"b of 2 at 1.8 lacks 1.9 held by h",
        "c of 3 at 1.8 lacks 1.9 held by h"}},
      {"the target of an order lacks it, and then leads",
       [](Fixture &F) {
         F.commit({1, 9});
         F.target("b", 2, {1, 8});
         F.primary("b", 2, {1, 8});
       },
       {"b of 2 at 1.8 lacks 1.9 held by h"}},
      {"an order without effect, and the old primary goes on",
       [](Fixture &F) {
         F.commit({1, 9});
         F.target("b", 2, {1, 9});
         F.commit({1, 10});
       },
       {}},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    Fixture F;
    R.Events(F);
    CHECK(F.Warnings == R.Warnings);
  }
}

// Guards against memory that grows with the number of terms.
TEST_CASE("the commits of the newest terms are kept") {
  Fixture F;
  for (Term T = 1; T <= 2 * AcknowledgedCommits::MaxTerms; ++T)
    F.commit({T, 10 + T});
  F.primary("b", AcknowledgedCommits::MaxTerms + 1, {1, 3});
  CHECK(F.Warnings.empty());
  F.primary("b", 2 * AcknowledgedCommits::MaxTerms, {1, 3});
  CHECK(F.Warnings ==
        std::vector<std::string>{"b of 8 at 1.3 lacks 7.17 held by h"});
}
