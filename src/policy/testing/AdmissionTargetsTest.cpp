// The targets of the design page, section 1.3, on a simulated server. They are
// about the decisions alone; the bench measures the system.
#include "policy/testing/AdmissionSimulation.h"

#include <catch2/catch.hpp>

using namespace amaranthspur;
using namespace amaranthspur::testing;
using std::chrono::seconds;

namespace {

constexpr unsigned Slots = 5;

ServiceConfig service() {
  ServiceConfig Service;
  Service.Classes.push_back({ClassName("short"), seconds(2), milliseconds(5)});
  Service.Classes.push_back(
      {ClassName("long"), seconds(60), milliseconds(500)});
  Service.Classes.push_back(
      {ClassName("hidden"), seconds(60), milliseconds(5)});
  return Service;
}

std::unique_ptr<Admission> fair() {
  AdmissionLimits Limits;
  Limits.Slots = Slots;
  return makeFairAdmission(service(), Limits);
}

} // namespace

// Guards against lost goodput, unfairness and a queue that outlives a crest.
// Callers have the same weight and different demand, all of it above their
// share of the slots.
TEST_CASE("a tenfold crest is served at capacity, fairly, and settles") {
  struct Row {
    const char *Name;
    Duration Deadline;
    int Callers;
    std::uint64_t Seed;
  };
  const Row Rows[] = {
      {"tight deadline", milliseconds(50), 5, 1},
      {"tight deadline, many callers", milliseconds(50), 40, 2},
      {"moderate deadline", milliseconds(200), 5, 3},
      {"moderate deadline, many callers", milliseconds(200), 40, 4},
      {"lenient deadline", seconds(5), 5, 5},
      {"lenient deadline, many callers", seconds(5), 40, 6},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    const auto Policy = fair();
    AdmissionSimulation Server(*Policy, R.Seed);
    const double PerSecond = 0.5 * Slots / 0.005;
    for (int C = 0; C < R.Callers; ++C) {
      const double Share =
          0.5 / R.Callers + (C + 1.0) / (R.Callers * (R.Callers + 1.0));
      Server.add({"caller-" + std::to_string(C), "short",
                  1 + static_cast<std::uint64_t>(C), PerSecond * Share,
                  milliseconds(2), milliseconds(8), R.Deadline, 10, seconds(5),
                  seconds(15)});
    }
    Server.run(seconds(25));
    CHECK(Server.MaxRunning == Slots);
    CHECK(Server.usedShare("short", seconds(5), seconds(15), Slots) >= 0.9);
    CHECK(Server.callerRatio(seconds(6), seconds(15)) <= 1.25);
    const Duration Before =
        Server.latency("short", 0.99, seconds(0), seconds(5));
    const Duration After =
        Server.latency("short", 0.99, seconds(17), seconds(25));
    CHECK(After <= Before * 3 / 2);
  }
}

// Guards against short statements that wait for long ones, and against long
// ones that get less than the policy leaves to them.
TEST_CASE("short statements hardly notice long jobs") {
  struct Row {
    const char *Name;
    double ShortLoad;
    const char *LongClass;
    double LongSlots; ///< What the design leaves to long work.
  };
  const Row Rows[] = {
      {"light, declared", 0.05, "long", 3},
      {"light, hidden in a short class", 0.05, "hidden", 3},
      {"tenth, declared", 0.1, "long", 3},
      {"tenth, hidden in a short class", 0.1, "hidden", 3},
      {"fifth, declared", 0.2, "long", 2},
      {"fifth, hidden in a short class", 0.2, "hidden", 2},
      {"two fifths, declared", 0.4, "long", 1},
      {"half, declared", 0.5, "long", 1},
      {"half, hidden in a short class", 0.5, "hidden", 1},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    Duration Without{};
    Duration With{};
    for (const bool LongJobs : {false, true}) {
      const auto Policy = fair();
      AdmissionSimulation Server(*Policy, 7);
      const double PerSecond = R.ShortLoad * Slots / 0.005 / 4;
      for (int C = 0; C < 4; ++C)
        Server.add({"caller-" + std::to_string(C), "short",
                    1 + static_cast<std::uint64_t>(C), PerSecond,
                    milliseconds(2), milliseconds(8), seconds(2)});
      if (LongJobs)
        for (int C = 0; C < 2; ++C)
          Server.add({"job-" + std::to_string(C), R.LongClass, 100, 8,
                      milliseconds(200), milliseconds(1000), seconds(20)});
      Server.run(seconds(60));
      (LongJobs ? With : Without) = Server.latency("short", 0.99, seconds(2));
      if (LongJobs)
        CHECK(Server.usedShare(R.LongClass, seconds(2), seconds(58),
                               R.LongSlots, false) >= 0.8);
    }
    CAPTURE(Without.count(), With.count());
    CHECK(With * 2 <= Without * 3);
  }
}
