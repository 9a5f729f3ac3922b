#include "testing/fake-platform/PlatformStore.h"

#include <catch2/catch.hpp>

using namespace amaranthspur;
using namespace amaranthspur::fakeplatform;

// Guards against a fake that accepts writes which the platform refuses. Such a
// fake would hide lost updates and writes that are applied twice.
TEST_CASE("a conditional write applies only from the expected version") {
  struct Step {
    const char *Name;
    std::uint64_t Expected;
    const char *Operation;
    bool Applied;
    std::uint64_t VersionAfter;
  };
  const Step Steps[] = {
      {"first write expects no row", 1, "a", false, 0},
      {"first write", 0, "a", true, 1},
      {"same operation again", 0, "a", false, 1},
      {"loser of a race", 0, "b", false, 1},
      {"next write", 1, "c", true, 2},
      {"overwritten operation again", 0, "a", false, 2},
  };
  PlatformStore Store(1);
  for (const Step &S : Steps) {
    CAPTURE(S.Name);
    const WriteOutcome Outcome =
        Store.writeRow("key", S.Expected, S.Operation, S.Operation);
    CHECK(Outcome.Applied == S.Applied);
    CHECK(Outcome.Present.Version == S.VersionAfter);
    CHECK(Store.readRow("key").Version == S.VersionAfter);
  }
}

// Guards against a VM list that shows changes immediately, which the platform's
// list does not.
TEST_CASE("the VM list shows changes after its lag") {
  const TimePoint Start{std::chrono::seconds(100)};
  PlatformStore Store(1);
  Faults F;
  F.ListLag = milliseconds(500);
  Store.setFaults(F, std::nullopt);
  Store.putVm({"vm-1", "127.0.1.1:7000", "", "joburg-a", false}, Start);
  Store.putVm({"vm-1", "127.0.1.1:7000", "", "joburg-a", true},
              Start + milliseconds(100));
  Store.removeVm("vm-1", Start + milliseconds(200));
  struct Row {
    int AtMs;
    std::size_t Size;
    bool Leaving;
  };
  const Row Rows[] = {
      {0, 0, false},   {499, 0, false}, {500, 1, false},
      {599, 1, false}, {600, 1, true},  {700, 0, false},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.AtMs);
    const std::vector<Vm> List = Store.listVms(Start + milliseconds(R.AtMs));
    REQUIRE(List.size() == R.Size);
    if (!List.empty())
      CHECK(List[0].Leaving == R.Leaving);
  }
}

// Guards against injected faults that have no effect, which would let tests of
// fault handling pass without a fault.
TEST_CASE("outage and rate limits refuse requests") {
  struct Row {
    const char *Name;
    Faults F;
    RequestKind Kind;
    unsigned Admitted; ///< Out of 10 requests at the same time.
    Admission Refusal;
  };
  Faults Outage;
  Outage.Outage = true;
  Faults Limited;
  Limited.ReadsPerSecond = 3;
  const Row Rows[] = {
      {"no fault", {}, RequestKind::Read, 10, Admission::Admitted},
      {"outage", Outage, RequestKind::Read, 0, Admission::Outage},
      {"limited reads", Limited, RequestKind::Read, 3, Admission::RateLimited},
      {"writes have a limit of their own", Limited, RequestKind::Write, 10,
       Admission::Admitted},
  };
  const TimePoint Now{std::chrono::seconds(100)};
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    PlatformStore Store(1);
    Store.setFaults(R.F, std::nullopt);
    unsigned Admitted = 0;
    for (int I = 0; I < 10; ++I) {
      const Admission A = Store.admit(R.Kind, Now);
      CAPTURE(nameOf(A));
      if (A == Admission::Admitted)
        ++Admitted;
      else
        CHECK(A == R.Refusal);
    }
    CHECK(Admitted == R.Admitted);
  }
}

// Guards against runs that cannot be reproduced from their seed.
TEST_CASE("lost answers follow the seed") {
  const auto Draws = [](std::uint64_t Seed) {
    PlatformStore Store(7);
    Faults F;
    F.LoseAnswers = 0.5;
    Store.setFaults(F, Seed);
    std::string Text;
    for (int I = 0; I < 64; ++I)
      Text += Store.drawAnswerLoss() ? 'l' : '.';
    return Text;
  };
  CHECK(Draws(1) == Draws(1));
  CHECK(Draws(1) != Draws(2));
  CHECK(Draws(1).find('l') != std::string::npos);
  CHECK(Draws(1).find('.') != std::string::npos);
}
