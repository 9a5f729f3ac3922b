#include "testing/fake-backend/Database.h"

#include <catch2/catch.hpp>

using namespace amaranthspur;
using namespace amaranthspur::fake;

namespace {

/// Keeps the first value of an answer.
class FirstValue final : public RowSink {
public:
  std::string Value;

  void columns(const std::vector<std::string> & /*Names*/) override {}
  void
  row(const std::vector<std::optional<std::string_view>> &Values) override {
    this->Value = Values[0].value_or("");
  }
};

std::string ask(Database &Storage, Image Where, const std::string &Sql) {
  auto Prepared = Storage.prepare(Where, Sql);
  REQUIRE(errorIn(Prepared) == nullptr);
  FirstValue First;
  const auto Ran = Storage.run(std::get<PreparedSql>(Prepared), {}, First);
  REQUIRE(errorIn(Ran) == nullptr);
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
  constexpr std::uint64_t Step = Database::SnapshotInterval;
  struct Row {
    std::uint64_t Applied;
    std::uint64_t Cut;
    std::uint64_t Restored; ///< Index of the snapshot used.
  };
  const Row Rows[] = {
      {10, 7, 0},
      {Step, Step - 1, 0},
      {Step, Step, Step},
      {Step + 10, Step + 7, Step},
      {3 * Step + 1, 2 * Step, 2 * Step},
      {5 * Step + 1, 2 * Step + 1, 0}, // Older than all snapshots.
      {5 * Step + 1, 0, 0},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Applied, R.Cut);
    Database Storage;
    for (std::uint64_t Index = 1; Index <= R.Applied; ++Index) {
      Storage.apply(Image::Committed, entry(Index));
      Storage.recordApplied(Index);
    }
    const std::uint64_t Restored = Storage.restore(R.Cut);
    CHECK(Restored == R.Restored);
    std::vector<std::string> Rest;
    for (std::uint64_t Index = Restored + 1; Index <= R.Cut; ++Index)
      Rest.push_back(entry(Index));
    std::vector<const std::string *> Pointers;
    Pointers.reserve(Rest.size());
    for (const std::string &Sql : Rest)
      Pointers.push_back(&Sql);
    Storage.replay(Pointers);
    Storage.copyToWorking();
    for (const Image Where : {Image::Committed, Image::Working}) {
      const std::string Tables =
          ask(Storage, Where, "SELECT count(*) FROM sqlite_schema");
      CHECK(Tables == (R.Cut == 0 ? "0" : "1"));
      if (R.Cut > 0)
        CHECK(ask(Storage, Where, "SELECT count(*) + 1 FROM t") ==
              std::to_string(R.Cut));
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
    ask(Storage, Image::Working, "INSERT INTO t VALUES (5)");
    const std::string Count = "SELECT count(*) FROM t";
    CHECK(ask(Storage, Image::Committed, Count) == "0");
    CHECK(ask(Storage, Image::Working, Count) == "1");
    if (R.Commit) {
      REQUIRE(errorIn(Storage.commit()) == nullptr);
      Storage.apply(Image::Committed, "INSERT INTO t VALUES (5)");
    } else {
      Storage.rollback();
    }
    CHECK(ask(Storage, Image::Committed, Count) == R.Committed);
    CHECK(ask(Storage, Image::Working, Count) == R.Working);
  }
}
