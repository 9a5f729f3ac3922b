#include "policy/quotas/QuotaBucket.h"

#include <catch2/catch.hpp>

using namespace amaranthspur;

namespace {

TimePoint at(int Ms) { return TimePoint(milliseconds(10000 + Ms)); }

unsigned spendAll(QuotaBucket &Bucket, TimePoint Now) {
  unsigned Spent = 0;
  while (Bucket.spend(Now))
    ++Spent;
  return Spent;
}

} // namespace

// Guards against operations that a change of the capacity adds: a lease that
// moves between entry VMs would then allow a burst at each move.
TEST_CASE("a change of the capacity adds no tokens") {
  struct Row {
    const char *Name;
    QuotaAmount First;
    int ChangeMs;
    QuotaAmount Second;
    int SpendMs;
    unsigned Spent;
  };
  const Row Rows[] = {
      {"a new bucket is empty", {10, 5}, 0, {10, 5}, 0, 0},
      {"fills at its rate", {10, 5}, 0, {10, 5}, 300, 3},
      {"up to the burst", {10, 5}, 0, {10, 5}, 5000, 5},
      {"added burst is empty", {10, 5}, 1000, {10, 50}, 1000, 5},
      {"added rate counts from the change", {1, 50}, 1000, {10, 50}, 2000, 11},
      {"tokens above a lowered burst are lost",
       {10, 5},
       1000,
       {10, 2},
       1000,
       2},
      {"also after it is raised again", {10, 5}, 1000, {0, 0}, 1000, 0},
      {"a burst below one operation allows none",
       {10, 0.9},
       0,
       {10, 0.9},
       9000,
       0},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    QuotaBucket Bucket;
    Bucket.resize(R.First, at(0));
    Bucket.resize(R.Second, at(R.ChangeMs));
    CHECK(spendAll(Bucket, at(R.SpendMs)) == R.Spent);
  }
}

// Guards against a bucket that fills while a request is under way: the reply
// would add tokens to more than the reported ones.
TEST_CASE("a paused bucket does not fill") {
  QuotaBucket Bucket;
  Bucket.resize({10, 10}, at(0));
  Bucket.pause(at(200));
  CHECK(Bucket.tokens(at(700)) == Approx(2));
  CHECK(Bucket.resume(at(700)) == Approx(5));
  CHECK(Bucket.resume(at(700)) == 0);
  CHECK(Bucket.tokens(at(800)) == Approx(3));
}

// Guards against a retry time that is too short, so that the caller is refused
// again, and against a time for a bucket that never has a token.
TEST_CASE("the time until the next operation") {
  struct Row {
    const char *Name;
    QuotaAmount Amount;
    int AtMs;
    std::optional<Duration> Wait;
  };
  const Row Rows[] = {
      {"empty", {4, 5}, 0, milliseconds(250)},
      {"partly filled", {4, 5}, 100, milliseconds(150)},
      {"ready", {4, 5}, 250, Duration::zero()},
      {"no rate", {0, 5}, 250, std::nullopt},
      {"burst below one operation", {4, 0.5}, 250, std::nullopt},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    QuotaBucket Bucket;
    Bucket.resize(R.Amount, at(0));
    CHECK(Bucket.untilNext(at(R.AtMs)) == R.Wait);
  }
}
