#include "core/ProcessSignals.h"

#include <QCoreApplication>
#include <QSocketNotifier>

#include <atomic>
#include <csignal>
#include <cstdlib>
#include <ctime>
#include <fcntl.h>
#include <poll.h>
#include <string_view>
#include <sys/time.h>
#include <unistd.h>

namespace amaranthspur {
namespace {

/// A pipe from a signal handler to the event loop (the self-pipe technique). A
/// handler may only call async-signal-safe functions, and write() is one.
struct SignalPipe {
  int Ends[2] = {-1, -1};

  void open() {
    if (pipe2(this->Ends, O_CLOEXEC | O_NONBLOCK) != 0)
      std::abort();
  }
  void notify() const {
    const char Byte = 0;
    // If the pipe is full, it already holds a notification.
    [[maybe_unused]] const ssize_t Written = write(this->Ends[1], &Byte, 1);
  }
  void drain() const {
    char Bytes[16];
    while (read(this->Ends[0], Bytes, sizeof(Bytes)) > 0)
      ;
  }
};

SignalPipe Termination;
SignalPipe Reload;

/// When the first termination signal was delivered, in TimePoint's unit.
std::atomic<Duration::rep> TerminatedAt{0};
static_assert(std::atomic<Duration::rep>::is_always_lock_free);
/// Time from the signal to SIGALRM, if it is limited.
itimerval TerminationLimit = {};
std::atomic<bool> IsLimited{false};

// The handlers call only async-signal-safe functions.

void handleTermination(int /*Number*/) {
  timespec Now = {};
  clock_gettime(CLOCK_MONOTONIC, &Now);
  const Duration At = std::chrono::duration_cast<Duration>(
      std::chrono::seconds(Now.tv_sec) + std::chrono::nanoseconds(Now.tv_nsec));
  Duration::rep NotTerminated = 0;
  const bool First =
      TerminatedAt.compare_exchange_strong(NotTerminated, At.count());
  if (First && IsLimited)
    setitimer(ITIMER_REAL, &TerminationLimit, nullptr);
  Termination.notify();
}

void handleLimit(int /*Number*/) {
  constexpr std::string_view Line =
      "event=exit-forced why=\"the stop took too long\"\n";
  pollfd Output{STDOUT_FILENO, POLLOUT, 0};
  if (poll(&Output, 1, 0) == 1 && (Output.revents & POLLOUT) != 0) {
    [[maybe_unused]] const ssize_t Written =
        write(STDOUT_FILENO, Line.data(), Line.size());
  }
  _exit(EXIT_SUCCESS);
}
void handleReload(int /*Number*/) { Reload.notify(); }

void install(int Number, void (*Handler)(int)) {
  struct sigaction Action = {};
  Action.sa_handler = Handler;
  Action.sa_flags = SA_RESTART;
  sigaction(Number, &Action, nullptr);
}

} // namespace

void onTerminationSignal(std::function<void(TimePoint)> OnSignal) {
  Termination.open();
  auto *Notifier = new QSocketNotifier(
      Termination.Ends[0], QSocketNotifier::Read, QCoreApplication::instance());
  QObject::connect(Notifier, &QSocketNotifier::activated, Notifier,
                   [Notifier, OnSignal = std::move(OnSignal)] {
                     Notifier->setEnabled(false);
                     OnSignal(TimePoint(Duration(TerminatedAt.load())));
                   });
  install(SIGTERM, handleTermination);
  install(SIGINT, handleTermination);
}

void limitTermination(Duration Limit) {
  const auto Seconds = std::chrono::floor<std::chrono::seconds>(Limit);
  TerminationLimit.it_value = {
      static_cast<time_t>(Seconds.count()),
      static_cast<suseconds_t>((Limit - Seconds).count())};
  // The users' platform has no timer_create(), and may refuse this one too.
  const itimerval Disarmed = {};
  if (setitimer(ITIMER_REAL, &Disarmed, nullptr) != 0)
    return;
  install(SIGALRM, handleLimit);
  IsLimited = true;
}

void onReloadSignal(std::function<void()> OnSignal) {
  Reload.open();
  auto *Notifier = new QSocketNotifier(Reload.Ends[0], QSocketNotifier::Read,
                                       QCoreApplication::instance());
  QObject::connect(Notifier, &QSocketNotifier::activated, Notifier,
                   [OnSignal = std::move(OnSignal)] {
                     Reload.drain();
                     OnSignal();
                   });
  install(SIGHUP, handleReload);
}

} // namespace amaranthspur
