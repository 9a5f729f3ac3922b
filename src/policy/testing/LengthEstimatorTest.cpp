#include "policy/LengthEstimator.h"
#include "policy/ShortReserve.h"

#include <catch2/catch.hpp>

using namespace amaranthspur;

namespace {

ServiceConfig service() {
  ServiceConfig Service;
  Service.Classes.push_back(
      {ClassName("quick"), std::chrono::seconds(2), milliseconds(5)});
  Service.Classes.push_back(
      {ClassName("report"), std::chrono::seconds(60), milliseconds(500)});
  return Service;
}

} // namespace

// Guards against estimates that ignore the observed lengths, and against one
// outlier that turns a short shape into a long one.
TEST_CASE("lengths are learned per shape, with the class as the prior") {
  struct Row {
    const char *Name;
    const char *Class;
    std::vector<int> SamplesMs;
    int MeanFromMs;
    int MeanToMs;
    WorkLength Length;
  };
  const Row Rows[] = {
      {"prior of a short class", "quick", {}, 5, 5, WorkLength::Short},
      {"prior of a long class", "report", {}, 500, 500, WorkLength::Long},
      {"an unknown class uses the prior of the first class",
       "none",
       {},
       5,
       5,
       WorkLength::Short},
      {"one sample outweighs the prior",
       "report",
       {3},
       3,
       3,
       WorkLength::Short},
      {"long statement in a short class",
       "quick",
       {400},
       400,
       400,
       WorkLength::Long},
      {"one outlier after short samples",
       "quick",
       {2, 2, 2, 2, 2, 2, 2, 2, 400},
       40,
       60,
       WorkLength::Short},
      {"a permanent change",
       "quick",
       {2, 2, 2, 2, 2, 2, 2, 2, 400, 400, 400, 400, 400, 400, 400, 400},
       200,
       400,
       WorkLength::Long},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    LengthEstimator Estimator(service());
    for (const int Sample : R.SamplesMs)
      Estimator.finished(ClassName(R.Class), 1, milliseconds(Sample), false);
    const LengthEstimate E = Estimator.estimate(ClassName(R.Class), 1);
    CHECK(E.Mean >= milliseconds(R.MeanFromMs));
    CHECK(E.Mean <= milliseconds(R.MeanToMs));
    CHECK(E.Length == R.Length);
  }
}

// Guards against long statements of a new shape that occupy all slots before
// the first of them has ended.
TEST_CASE("an overrun counts before the statement ends, and only once") {
  LengthEstimator Estimator(service());
  const ClassName Class("quick");
  Estimator.overran(Class, 1);
  CHECK(Estimator.estimate(Class, 1).Length == WorkLength::Long);
  CHECK(Estimator.estimate(Class, 1).Mean >= LongWorkThreshold);
  CHECK(Estimator.estimate(Class, 2).Length == WorkLength::Short);
  for (int I = 0; I < 8; ++I)
    Estimator.finished(Class, 2, milliseconds(2), false);
  for (int I = 0; I < 5; ++I) {
    Estimator.overran(Class, 2);
    Estimator.finished(Class, 2, milliseconds(60), true);
    CHECK(Estimator.estimate(Class, 2).Length == WorkLength::Short);
  }
  Estimator.overran(Class, 2);
  CHECK(Estimator.estimate(Class, 2).Length == WorkLength::Long);
}

// Guards against memory use that grows with the number of statement shapes.
TEST_CASE("the least recently used shape is evicted") {
  LengthEstimator Estimator(service());
  const ClassName Class("quick");
  for (std::uint64_t Shape = 1; Shape <= LengthEstimator::MaxShapes; ++Shape)
    Estimator.finished(Class, Shape, milliseconds(20), false);
  Estimator.finished(Class, 1, milliseconds(20), false);
  Estimator.finished(Class, 1000000, milliseconds(20), false);
  CHECK(Estimator.estimate(Class, 1).Mean == milliseconds(20));
  CHECK(Estimator.estimate(Class, 2).Mean == milliseconds(5));
}

// Guards against too few slots for short work under load, and against slots
// reserved without need.
TEST_CASE("the slots for long work depend on the load of short work") {
  struct Row {
    const char *Name;
    unsigned Slots;
    double Load; ///< Slots held by short work; -1: none arrived.
    unsigned Expected;
  };
  const Row Rows[] = {
      {"no short work", 5, -1, 4},
      {"little short work", 5, 0.1, 3},
      {"half a slot of short work", 5, 0.5, 3},
      {"one slot of short work", 5, 1.0, 2},
      {"two slots of short work", 5, 2.0, 1},
      {"overload", 5, 5.0, 1},
      {"one slot in total", 1, 0, 1},
      {"two slots in total", 2, 0.1, 1},
      {"many slots", 50, 5, 30},
      {"many slots, high load", 50, 40, 7},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    ShortReserve Reserve;
    TimePoint Now{std::chrono::seconds(1000)};
    constexpr Duration Length = milliseconds(5);
    if (R.Load >= 0)
      Reserve.arrived(Now);
    if (R.Load > 0) {
      const Duration Gap(static_cast<Duration::rep>(5000 / R.Load));
      for (Duration Past{}; Past < std::chrono::seconds(10); Past += Gap) {
        Now += Gap;
        Reserve.arrived(Now);
        Reserve.finished(Length, Now);
      }
    }
    CHECK(Reserve.longLimit(R.Slots, Now) == R.Expected);
    if (R.Load >= 0)
      CHECK(Reserve.longLimit(R.Slots, Now + std::chrono::seconds(2)) >=
            R.Expected);
  }
}
