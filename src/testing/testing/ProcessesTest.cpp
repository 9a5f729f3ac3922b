// Tests of ChildProcess with a shell as the child.
#include "testing/testing/TestGroup.h"

using namespace amaranthspur;

namespace {

/// A shell script that runs until SIGTERM and then for another 200 ms. Its exit
/// status tells whether it has received SIGCONT.
constexpr const char *ReportSigcont =
    "Continued=0; Terminated=0\n"
    "trap 'Continued=1' CONT\n"
    "trap 'Terminated=1' TERM\n"
    "echo ready\n"
    "while [ $Terminated = 0 ]; do sleep 0.01; done\n"
    "sleep 0.2\n"
    "exit $Continued\n";

} // namespace

// Guards against a process that is not terminated because it is suspended, and
// against a SIGCONT to a process that runs. The latter can arrive during the
// leak check of a process that is exiting, which then never ends.
TEST_CASE("only a suspended process is resumed when it is terminated") {
  struct Row {
    const char *Name;
    bool Pauses;
    bool Resumes;
    int Status; ///< 1 if the process has received SIGCONT.
  };
  const Row Rows[] = {
      {"running", false, false, 0},
      {"suspended", true, false, 1},
      {"suspended and resumed", true, true, 1},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    auto Started = ChildProcess::start("/bin/sh", {"-c", ReportSigcont});
    REQUIRE(succeeded(Started));
    ChildProcess Process = valueOf(std::move(Started));
    if (R.Pauses)
      Process.pause();
    if (R.Resumes)
      Process.resume();
    CHECK(Process.terminate(TestTimeout) == R.Status);
  }
}
