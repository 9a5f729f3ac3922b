#include "policy/PathHealth.h"

#include <catch2/catch.hpp>

#include <functional>
#include <string>
#include <vector>

using namespace amaranthspur;

namespace {

constexpr TimePoint Start{std::chrono::seconds(100)};

TimePoint at(int Ms) { return Start + milliseconds(Ms); }

} // namespace

// Guards against a silent connection that is never replaced, against replacing
// the connections to a server that is down, and against probing a path that
// works.
TEST_CASE("path health probes, replaces or reports a path") {
  struct Row {
    const char *Name;
    std::function<void(PathHealth &, std::vector<PathAction> &)> Run;
    std::vector<PathAction> Expected;
  };
  using Actions = std::vector<PathAction>;
  const Row Rows[] = {
      {"no request",
       [](PathHealth &P, Actions &A) {
         A = {P.step(at(0)), P.step(at(9000))};
       },
       {PathAction::None, PathAction::None}},
      {"answered in time",
       [](PathHealth &P, Actions &A) {
         P.requestSent(at(0));
         A.push_back(P.step(at(599)));
         P.progressed();
         A.push_back(P.step(at(5000)));
       },
       {PathAction::None, PathAction::None}},
      {"further requests do not extend the time limit",
       [](PathHealth &P, Actions &A) {
         P.requestSent(at(0));
         P.requestSent(at(500));
         A.push_back(P.step(at(600)));
       },
       {PathAction::ProbeOverNewConnection}},
      {"silent connection",
       [](PathHealth &P, Actions &A) {
         P.requestSent(at(0));
         A.push_back(P.step(at(600)));
         A.push_back(P.step(at(610)));
         P.probeFinished(true, at(620));
         A.push_back(P.step(at(620)));
         A.push_back(P.step(at(9000)));
       },
       {PathAction::ProbeOverNewConnection, PathAction::None,
        PathAction::ReplaceAll, PathAction::None}},
      {"unreachable server is reported once and probed again",
       [](PathHealth &P, Actions &A) {
         P.requestSent(at(0));
         A.push_back(P.step(at(600)));
         P.probeFinished(false, at(900));
         A.push_back(P.step(at(900)));
         A.push_back(P.step(at(1399)));
         A.push_back(P.step(at(1400)));
         P.probeFinished(true, at(1410));
         A.push_back(P.step(at(1410)));
       },
       {PathAction::ProbeOverNewConnection, PathAction::ReportUnreachable,
        PathAction::None, PathAction::ProbeOverNewConnection,
        PathAction::ReplaceAll}},
      {"slow server answers during the probe",
       [](PathHealth &P, Actions &A) {
         P.requestSent(at(0));
         A.push_back(P.step(at(600)));
         P.progressed();
         P.probeFinished(true, at(700));
         A.push_back(P.step(at(700)));
       },
       {PathAction::ProbeOverNewConnection, PathAction::None}},
      {"replaced by its owner",
       [](PathHealth &P, Actions &A) {
         P.requestSent(at(0));
         P.replaced();
         A.push_back(P.step(at(9000)));
       },
       {PathAction::None}},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    PathHealth Path;
    Actions Taken;
    R.Run(Path, Taken);
    std::string Text;
    std::string Expected;
    for (const PathAction Action : Taken)
      Text += std::string(nameOf(Action)) + " ";
    for (const PathAction Action : R.Expected)
      Expected += std::string(nameOf(Action)) + " ";
    CHECK(Text == Expected);
  }
}

// Guards against an owner that calls step() too late, or so early that there is
// no action: step() returns an action at the time that wakeAt() returns, and
// not before.
TEST_CASE("path health returns the time of its next step") {
  PathHealth Path;
  CHECK_FALSE(Path.wakeAt());
  Path.requestSent(at(0));
  REQUIRE(Path.wakeAt());
  CHECK(*Path.wakeAt() == at(600));
  CHECK(Path.step(*Path.wakeAt()) == PathAction::ProbeOverNewConnection);
  CHECK_FALSE(Path.wakeAt());
  Path.probeFinished(false, at(900));
  CHECK(*Path.wakeAt() <= at(900));
  CHECK(Path.step(at(900)) == PathAction::ReportUnreachable);
  CHECK(*Path.wakeAt() == at(1400));
}
