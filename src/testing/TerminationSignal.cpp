#include "testing/TerminationSignal.h"

#include <QCoreApplication>
#include <QSocketNotifier>

#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <unistd.h>

namespace amaranthspur {
namespace {

// A signal handler may do little more than write to a pipe.
int SignalPipe[2];

void handleSignal(int /*Number*/) {
  const char Byte = 0;
  [[maybe_unused]] const ssize_t Written = write(SignalPipe[1], &Byte, 1);
}

} // namespace

void onTerminationSignal(std::function<void()> OnSignal) {
  if (pipe2(SignalPipe, O_CLOEXEC | O_NONBLOCK) != 0)
    std::abort();
  auto *Notifier = new QSocketNotifier(SignalPipe[0], QSocketNotifier::Read,
                                       QCoreApplication::instance());
  QObject::connect(Notifier, &QSocketNotifier::activated, Notifier,
                   [Notifier, OnSignal = std::move(OnSignal)] {
                     Notifier->setEnabled(false);
                     OnSignal();
                   });
  struct sigaction Action = {};
  Action.sa_handler = handleSignal;
  sigaction(SIGTERM, &Action, nullptr);
  sigaction(SIGINT, &Action, nullptr);
}

} // namespace amaranthspur
