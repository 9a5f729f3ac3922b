#include "root/relay/RowCache.h"

#include "core/Random.h"

#include <catch2/catch.hpp>

#include <map>
#include <string>
#include <vector>

using namespace amaranthspur;

namespace {

WatchedRow row(const char *Key, std::uint64_t Version, bool Removed = false) {
  return {Key, Removed ? "" : "v" + std::to_string(Version),
          StoreVersion(Version), Removed};
}

WatchedRows rows(std::vector<WatchedRow> Rows, std::uint64_t Version) {
  return {std::move(Rows), StoreVersion(Version)};
}

/// The present rows as `key=value` words.
std::string textOf(const WatchedRows &Rows) {
  std::string Text;
  for (const WatchedRow &Row : Rows.Rows)
    Text += Row.Key + (Row.Removed ? "-" : "=" + Row.Value) + " ";
  return Text;
}

/// The tables of a store, by version.
class StoreModel {
public:
  void change(Random &Rng) {
    const std::string Key(1, static_cast<char>('a' + Rng.below(6)));
    ++this->Version;
    this->Changes.push_back({Key, "v" + std::to_string(this->Version),
                             StoreVersion(this->Version), Rng.below(3) == 0});
    if (this->Changes.back().Removed)
      this->Changes.back().Value.clear();
  }

  /// Returns the whole table as of \p At.
  WatchedRows tableAt(std::uint64_t At) const {
    std::map<std::string, WatchedRow> Present;
    for (const WatchedRow &Row : this->Changes)
      if (Row.Version.number() <= At)
        Present[Row.Key] = Row;
    WatchedRows Out;
    Out.Version = StoreVersion(At);
    for (const auto &[Key, Row] : Present)
      if (!Row.Removed)
        Out.Rows.push_back(Row);
    return Out;
  }

  WatchedRows changesBetween(std::uint64_t After, std::uint64_t To) const {
    WatchedRows Out;
    Out.Version = StoreVersion(To);
    for (const WatchedRow &Row : this->Changes)
      if (Row.Version.number() > After && Row.Version.number() <= To)
        Out.Rows.push_back(Row);
    return Out;
  }

  std::uint64_t Version = 0;

private:
  std::vector<WatchedRow> Changes;
};

} // namespace

// Guards against a server that has left, or a configuration that was replaced,
// coming into use again because an older answer arrives later.
TEST_CASE("a cached row is replaced only by a newer version") {
  struct Row {
    const char *Name;
    std::vector<std::pair<WatchedRows, bool>> Answers; ///< Rows, complete.
    std::string Present;
  };
  const Row Rows[] = {
      {"a newer table",
       {{rows({row("a", 1)}, 1), true}, {rows({row("a", 2)}, 2), true}},
       "a=v2 "},
      {"an older table",
       {{rows({row("a", 2)}, 2), true}, {rows({row("a", 1)}, 1), true}},
       "a=v2 "},
      {"a row is missing in a newer table",
       {{rows({row("a", 1), row("b", 2)}, 2), true},
        {rows({row("b", 2)}, 3), true}},
       "b=v2 "},
      {"a row is missing in an older table",
       {{rows({row("a", 1), row("b", 4)}, 4), true},
        {rows({row("a", 1)}, 3), true}},
       "a=v1 b=v4 "},
      {"a removal",
       {{rows({row("a", 1)}, 1), true}, {rows({row("a", 2, true)}, 2), false}},
       ""},
      {"an older table has a removed row",
       {{rows({row("a", 1)}, 1), true},
        {rows({row("a", 3, true)}, 3), false},
        {rows({row("a", 2)}, 2), true}},
       ""},
      {"a row comes back",
       {{rows({row("a", 1)}, 1), true},
        {rows({row("a", 2, true)}, 2), false},
        {rows({row("a", 3)}, 3), false}},
       "a=v3 "},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    RowCache Cache;
    for (const auto &[Answer, Complete] : R.Answers)
      Cache.apply(Answer, Complete);
    CHECK(textOf(Cache.all()) == R.Present);
  }
}

// Guards against a configuration that never comes into force because the store
// gave it a lower number after it came back from a copy (review case 7), and
// against rows of the lost era that come back with a late answer.
TEST_CASE("a table of a later era replaces the one of an earlier era") {
  const auto In = [](std::uint64_t Era, WatchedRows Rows) {
    Rows.Version = StoreVersion(Rows.Version.number(), Era);
    for (WatchedRow &Row : Rows.Rows)
      Row.Version = StoreVersion(Row.Version.number(), Era);
    return Rows;
  };
  const WatchedRows Before = In(1, rows({row("a", 8), row("b", 9)}, 9));
  struct Row {
    const char *Name;
    std::vector<std::pair<WatchedRows, bool>> Answers; ///< After Before.
    bool Applied;                                      ///< The last of them.
    std::string Present;
    StoreVersion Version;
  };
  const Row Rows[] = {
      {"lower numbers",
       {{In(2, rows({row("a", 3)}, 4)), true}},
       true,
       "a=v3 ",
       StoreVersion(4, 2)},
      {"the same number for another row",
       {{In(2, rows({row("c", 8)}, 9)), true}},
       true,
       "c=v8 ",
       StoreVersion(9, 2)},
      {"changes without the table",
       {{In(2, rows({row("a", 12)}, 12)), false}},
       false,
       "a=v8 b=v9 ",
       StoreVersion(9, 1)},
      {"changes after the table",
       {{In(2, rows({row("a", 3)}, 4)), true},
        {In(2, rows({row("b", 5)}, 5)), false}},
       true,
       "a=v3 b=v5 ",
       StoreVersion(5, 2)},
      {"a late table of the earlier era",
       {{In(2, rows({row("a", 3)}, 4)), true},
        {In(1, rows({row("b", 20)}, 20)), true}},
       false,
       "a=v3 ",
       StoreVersion(4, 2)},
      {"late changes of the earlier era",
       {{In(2, rows({row("a", 3)}, 4)), true},
        {In(1, rows({row("a", 20, true)}, 20)), false}},
       false,
       "a=v3 ",
       StoreVersion(4, 2)},
      {"two returns",
       {{In(2, rows({row("a", 3)}, 4)), true},
        {In(3, rows({row("b", 2)}, 2)), true}},
       true,
       "b=v2 ",
       StoreVersion(2, 3)},
      {"a relay that knows no era",
       {{In(0, rows({row("a", 30)}, 30)), true}},
       false,
       "a=v8 b=v9 ",
       StoreVersion(9, 1)},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    RowCache Cache;
    CHECK(Cache.apply(Before, true));
    bool Applied = false;
    for (const auto &[Answer, Complete] : R.Answers)
      Applied = Cache.apply(Answer, Complete);
    CHECK(Applied == R.Applied);
    CHECK(textOf(Cache.all()) == R.Present);
    CHECK(Cache.version() == R.Version);
    // A position of another era tells nothing about what is missing.
    for (const std::uint64_t Era : {R.Version.era() - 1, R.Version.era() + 1})
      CHECK(Cache.changesAfter(StoreVersion(R.Version.number(), Era))
                .HistoryLost);
    CHECK_FALSE(Cache.changesAfter(R.Version).HistoryLost);
  }
}

// Guards against a follower that misses a change, whatever mixture of answers
// of the store and of relays it has seen. The reference is the store's table.
TEST_CASE("a chain of caches ends with the rows of the store") {
  for (std::uint64_t Seed = 1; Seed <= 300; ++Seed) {
    CAPTURE(Seed);
    Random Rng(Seed);
    StoreModel Store;
    RowCache Relay;
    RowCache Follower;
    for (int Step = 0; Step < 60; ++Step) {
      Store.change(Rng);
      RowCache &Reader = Rng.below(2) == 0 ? Relay : Follower;
      if (!Reader.isKnown() || Rng.below(5) == 0) {
        const std::uint64_t At = Store.Version - Rng.below(Store.Version);
        Reader.apply(Store.tableAt(At), true);
      } else if (Rng.below(2) == 0) {
        const std::uint64_t From = Reader.version().number();
        Reader.apply(Store.changesBetween(From, std::max(From, Store.Version)),
                     false);
      }
      if (!Relay.isKnown() || Rng.below(2) == 0)
        continue;
      WatchedRows Passed;
      Passed.HistoryLost = true;
      if (Follower.isKnown())
        Passed = Relay.changesAfter(Follower.version());
      const bool Complete = Passed.HistoryLost;
      Follower.apply(Complete ? Relay.all() : Passed, Complete);
      CAPTURE(Step, Relay.version().str(), Follower.version().str());
      REQUIRE(Follower.version() >= Relay.version());
      REQUIRE(textOf(Follower.all()) ==
              textOf(Store.tableAt(Follower.version().number())));
    }
  }
}

// Guards against memory that grows with each server that has ever left.
TEST_CASE("a cache remembers a bounded number of removals") {
  RowCache Cache;
  Cache.apply({}, true);
  std::uint64_t Version = 0;
  for (std::size_t I = 0; I < 3 * RowCache::MaxRemovals; ++I) {
    const std::string Key = "k" + std::to_string(I);
    Cache.apply(
        rows({{Key, "v", StoreVersion(Version + 1), false}}, Version + 1),
        false);
    Cache.apply(rows({{Key, "", StoreVersion(Version + 2), true}}, Version + 2),
                false);
    Version += 2;
  }
  CHECK(Cache.all().Rows.empty());
  CHECK(Cache.changesAfter({}).HistoryLost);
  const WatchedRows Recent = Cache.changesAfter(StoreVersion(Version - 10));
  CHECK_FALSE(Recent.HistoryLost);
  CHECK(Recent.Rows.size() == 5);
}
