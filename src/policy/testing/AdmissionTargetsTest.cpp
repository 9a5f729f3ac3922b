// Checks the performance targets of the design document, section 1.3, on a
// simulated server. These tests cover only the admission decisions; the
// benchmark measures the whole system.
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

// Guards against lost goodput, unfairness and a queue that remains after a load
// peak. All callers have the same weight. Their demand differs, but each
// demands more than its share of the slots during the peak.
TEST_CASE("a tenfold load peak is served fairly at capacity, then drains") {
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
// statements that get fewer slots than the policy leaves to them.
TEST_CASE("long jobs hardly increase the latency of short statements") {
  struct Row {
    const char *Name;
    double ShortLoad;
    const char *LongClass;
    double LongSlots; ///< Slots that the policy leaves to long work.
  };
  const Row Rows[] = {
      {"load of 5 %, long class", 0.05, "long", 3},
      {"load of 5 %, long work in a short class", 0.05, "hidden", 3},
      {"load of 10 %, long class", 0.1, "long", 3},
      {"load of 10 %, long work in a short class", 0.1, "hidden", 3},
      {"load of 20 %, long class", 0.2, "long", 2},
      {"load of 20 %, long work in a short class", 0.2, "hidden", 2},
      {"load of 40 %, long class", 0.4, "long", 1},
      {"load of 50 %, long class", 0.5, "long", 1},
      {"load of 50 %, long work in a short class", 0.5, "hidden", 1},
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
