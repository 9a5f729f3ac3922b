#include "testing/fake-backend/Database.h"

#include <catch2/catch.hpp>

using namespace amaranthspur;
using namespace amaranthspur::fake;

namespace {

/// Stores the first value of the last row.
class FirstValue final : public RowSink {
public:
  std::string Value;

  void columns(const std::vector<std::string> & /*Names*/) override {}
  void
  row(const std::vector<std::optional<std::string_view>> &Values) override {
    this->Value = Values[0].value_or("");
  }
};

std::string queryValue(Database &Storage, Image Where, const std::string &Sql) {
  auto Prepared = Storage.prepare(Where, Sql);
  REQUIRE(errorIn(Prepared) == nullptr);
  FirstValue First;
  const auto Outcome = Storage.run(std::get<PreparedSql>(Prepared), {}, First);
  REQUIRE(errorIn(Outcome) == nullptr);
  return First.Value;
}

std::string entry(std::uint64_t Index) {
  return Index == 1 ? "CREATE TABLE t (v)"
                    : "INSERT INTO t VALUES (" + std::to_string(Index) + ")";
}

} // namespace

// Guards against a wrong state after the log is truncated: after a restore and
// a replay, Committed must contain exactly the entries up to the truncation
// index.
TEST_CASE("a database is restored from a snapshot and the log") {
  constexpr std::uint64_t Interval = Database::SnapshotInterval;
  struct Row {
    std::uint64_t Applied;
    std::uint64_t TruncatedTo;
    std::uint64_t Restored; ///< Index of the snapshot used.
  };
  const Row Rows[] = {
      {10, 7, 0},
      {Interval, Interval - 1, 0},
      {Interval, Interval, Interval},
      {Interval + 10, Interval + 7, Interval},
      {3 * Interval + 1, 2 * Interval, 2 * Interval},
      {5 * Interval + 1, 2 * Interval + 1, 0}, // Before the oldest snapshot.
      {5 * Interval + 1, 0, 0},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Applied, R.TruncatedTo);
    Database Storage;
    for (std::uint64_t Index = 1; Index <= R.Applied; ++Index) {
      Storage.apply(Image::Committed, entry(Index));
      Storage.recordApplied(Index);
    }
    const std::uint64_t Restored = Storage.restore(R.TruncatedTo);
    CHECK(Restored == R.Restored);
    std::vector<std::string> Statements;
    for (std::uint64_t Index = Restored + 1; Index <= R.TruncatedTo; ++Index)
      Statements.push_back(entry(Index));
    std::vector<const std::string *> Pointers;
    Pointers.reserve(Statements.size());
    for (const std::string &Sql : Statements)
      Pointers.push_back(&Sql);
    Storage.replay(Pointers);
    Storage.copyToWorking();
    for (const Image Where : {Image::Committed, Image::Working}) {
      const std::string Tables =
          queryValue(Storage, Where, "SELECT count(*) FROM sqlite_schema");
      CHECK(Tables == (R.TruncatedTo == 0 ? "0" : "1"));
      if (R.TruncatedTo > 0)
        CHECK(queryValue(Storage, Where, "SELECT count(*) + 1 FROM t") ==
              std::to_string(R.TruncatedTo));
    }
  }
}

// Guards against reads that see an uncommitted transaction, and against a
// commit that changes only one of the two images.
TEST_CASE("uncommitted writes are visible only in the working image") {
  struct Row {
    const char *Name;
    bool Commit;
    const char *Committed;
    const char *Working;
  };
  const Row Rows[] = {{"commit", true, "1", "1"},
                      {"rollback", false, "0", "0"}};
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    Database Storage;
    for (const Image Where : {Image::Committed, Image::Working})
      Storage.apply(Where, "CREATE TABLE t (v)");
    Storage.begin();
    queryValue(Storage, Image::Working, "INSERT INTO t VALUES (5)");
    const std::string Count = "SELECT count(*) FROM t";
    CHECK(queryValue(Storage, Image::Committed, Count) == "0");
    CHECK(queryValue(Storage, Image::Working, Count) == "1");
    if (R.Commit) {
      REQUIRE(errorIn(Storage.commit()) == nullptr);
      Storage.apply(Image::Committed, "INSERT INTO t VALUES (5)");
    } else {
      Storage.rollback();
    }
    CHECK(queryValue(Storage, Image::Committed, Count) == R.Committed);
    CHECK(queryValue(Storage, Image::Working, Count) == R.Working);
  }
}
