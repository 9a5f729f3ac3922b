#include "core/ProcessSignals.h"

#include <QCoreApplication>
#include <QSocketNotifier>

#include <csignal>
#include <cstdlib>
#include <fcntl.h>
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

void handleTermination(int /*Number*/) { Termination.notify(); }
void handleReload(int /*Number*/) { Reload.notify(); }

void install(int Number, void (*Handler)(int)) {
  struct sigaction Action = {};
  Action.sa_handler = Handler;
  Action.sa_flags = SA_RESTART;
  sigaction(Number, &Action, nullptr);
}

} // namespace

void onTerminationSignal(std::function<void()> OnSignal) {
  Termination.open();
  auto *Notifier = new QSocketNotifier(
      Termination.Ends[0], QSocketNotifier::Read, QCoreApplication::instance());
  QObject::connect(Notifier, &QSocketNotifier::activated, Notifier,
                   [Notifier, OnSignal = std::move(OnSignal)] {
                     Notifier->setEnabled(false);
                     OnSignal();
                   });
  install(SIGTERM, handleTermination);
  install(SIGINT, handleTermination);
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
