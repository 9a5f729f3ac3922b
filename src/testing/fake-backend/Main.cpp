// A fake backend server of a database group.
#include "core/ProcessSignals.h"
#include "testing/fake-backend/Server.h"

#include <QCoreApplication>

#include <cstdio>
#include <string_view>

using namespace amaranthspur;

namespace {

/// Time limit for closing connections after SIGTERM.
constexpr Duration StopTimeout = std::chrono::seconds(1);

QCoro::Task<> stopAndQuit(fake::Server &Backend) {
  co_await Backend.stop(steadyNow() + StopTimeout);
  QCoreApplication::quit();
}

} // namespace

int main(int Argc, char **Argv) {
  QCoreApplication App(Argc, Argv);
  if (Argc > 1 && std::string_view(Argv[1]) == "--help") {
    std::fputs(fake::settingsHelp().c_str(), stdout);
    return 0;
  }
  const auto Config = fake::parseSettings(Argc, Argv);
  if (!succeeded(Config)) {
    std::fprintf(stderr, "fake-backend: %s\n", errorOf(Config).c_str());
    return 2;
  }
  fake::Server Backend(valueOf(Config));
  const auto Started = Backend.start();
  if (!succeeded(Started)) {
    std::fprintf(stderr, "fake-backend: %s\n", errorOf(Started).c_str());
    return 1;
  }
  onTerminationSignal([&Backend](TimePoint) { stopAndQuit(Backend); });
  std::puts("ready");
  std::fflush(stdout);
  return QCoreApplication::exec();
}
