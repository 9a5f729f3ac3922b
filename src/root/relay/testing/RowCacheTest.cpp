#include "root/relay/RowCache.h"

#include "core/Random.h"

#include <catch2/catch.hpp>

#include <map>
#include <string>
#include <vector>

using namespace amaranthspur;

namespace {

WatchedRow row(const char *Key, std::uint64_t Version, bool Removed = false) {
  return {Key, Removed ? "" : "v" + std::to_string(Version), Version, Removed};
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
                             this->Version, Rng.below(3) == 0});
    if (this->Changes.back().Removed)
      this->Changes.back().Value.clear();
  }

  /// Returns the whole table as of \p At.
  WatchedRows tableAt(std::uint64_t At) const {
    std::map<std::string, WatchedRow> Present;
    for (const WatchedRow &Row : this->Changes)
      if (Row.Version <= At)
        Present[Row.Key] = Row;
    WatchedRows Out;
    Out.Version = At;
    for (const auto &[Key, Row] : Present)
      if (!Row.Removed)
        Out.Rows.push_back(Row);
    return Out;
  }

  WatchedRows changesBetween(std::uint64_t After, std::uint64_t To) const {
    WatchedRows Out;
    Out.Version = To;
    for (const WatchedRow &Row : this->Changes)
      if (Row.Version > After && Row.Version <= To)
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
       {{{{row("a", 1)}, 1}, true}, {{{row("a", 2)}, 2}, true}},
       "a=v2 "},
      {"an older table",
       {{{{row("a", 2)}, 2}, true}, {{{row("a", 1)}, 1}, true}},
       "a=v2 "},
      {"a row is missing in a newer table",
       {{{{row("a", 1), row("b", 2)}, 2}, true}, {{{row("b", 2)}, 3}, true}},
       "b=v2 "},
      {"a row is missing in an older table",
       {{{{row("a", 1), row("b", 4)}, 4}, true}, {{{row("a", 1)}, 3}, true}},
       "a=v1 b=v4 "},
      {"a removal",
       {{{{row("a", 1)}, 1}, true}, {{{row("a", 2, true)}, 2}, false}},
       ""},
      {"an older table has a removed row",
       {{{{row("a", 1)}, 1}, true},
        {{{row("a", 3, true)}, 3}, false},
        {{{row("a", 2)}, 2}, true}},
       ""},
      {"a row comes back",
       {{{{row("a", 1)}, 1}, true},
        {{{row("a", 2, true)}, 2}, false},
        {{{row("a", 3)}, 3}, false}},
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
        const std::uint64_t From = Reader.version();
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
      CAPTURE(Step, Relay.version(), Follower.version());
      REQUIRE(Follower.version() >= Relay.version());
      REQUIRE(textOf(Follower.all()) ==
              textOf(Store.tableAt(Follower.version())));
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
    Cache.apply({{{Key, "v", Version + 1, false}}, Version + 1}, false);
    Cache.apply({{{Key, "", Version + 2, true}}, Version + 2}, false);
    Version += 2;
  }
  CHECK(Cache.all().Rows.empty());
  CHECK(Cache.changesAfter(0).HistoryLost);
  const WatchedRows Recent = Cache.changesAfter(Version - 10);
  CHECK_FALSE(Recent.HistoryLost);
  CHECK(Recent.Rows.size() == 5);
}
