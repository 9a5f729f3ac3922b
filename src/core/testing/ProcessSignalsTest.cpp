#include "core/ProcessSignals.h"
#include "testing/TaskRunner.h"

#include <catch2/catch.hpp>

#include <csignal>
#include <sys/wait.h>
#include <unistd.h>

using namespace amaranthspur;

namespace {

/// What a process does after the termination signal.
enum class AfterSignal { Blocks, Spins, Suspended };

/// Installs the handlers and never handles the signal in an event loop.
[[noreturn]] void runProcess(AfterSignal Kind, int Ready) {
  onTerminationSignal([](TimePoint) {});
  limitTermination(milliseconds(300));
  const char Byte = 0;
  if (write(Ready, &Byte, 1) != 1)
    _exit(1);
  volatile unsigned Turns = 0;
  while (true) {
    if (Kind != AfterSignal::Spins)
      pause();
    Turns = Turns + 1;
  }
}

} // namespace

// Guards against a process that is killed at the end of its grace time because
// its event loop does not get to its stop.
TEST_CASE("a process exits at the limit of its termination") {
  struct Row {
    const char *Name;
    AfterSignal Kind;
  };
  const Row Rows[] = {
      {"the event loop is blocked", AfterSignal::Blocks},
      {"the event loop is busy", AfterSignal::Spins},
      {"suspended for longer than the limit", AfterSignal::Suspended}};
  testApplication();
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    int Ends[2];
    REQUIRE(pipe(Ends) == 0);
    const pid_t Child = fork();
    REQUIRE(Child >= 0);
    if (Child == 0)
      runProcess(R.Kind, Ends[1]);
    char Byte = 0;
    REQUIRE(read(Ends[0], &Byte, 1) == 1);
    const TimePoint SentAt = SteadyClock().now();
    kill(Child, SIGTERM);
    // A second signal does not begin the time again.
    usleep(100 * 1000);
    kill(Child, SIGTERM);
    if (R.Kind == AfterSignal::Suspended) {
      kill(Child, SIGSTOP);
      usleep(500 * 1000);
      kill(Child, SIGCONT);
    }
    int Status = 0;
    pid_t Ended = 0;
    while (Ended == 0 &&
           SteadyClock().now() < SentAt + std::chrono::seconds(5)) {
      usleep(5 * 1000);
      Ended = waitpid(Child, &Status, WNOHANG);
    }
    const Duration Taken = SteadyClock().now() - SentAt;
    CHECK(Ended == Child);
    if (Ended != Child) {
      kill(Child, SIGKILL);
      waitpid(Child, &Status, 0);
    }
    CHECK(WIFEXITED(Status));
    CHECK(WEXITSTATUS(Status) == 0);
    CHECK(Taken >= milliseconds(300));
    CHECK(Taken < std::chrono::seconds(2));
    close(Ends[0]);
    close(Ends[1]);
  }
}
