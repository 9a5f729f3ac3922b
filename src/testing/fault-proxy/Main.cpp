// fault-proxy: forwards TCP links and delays, cuts, silences or drops them as
// commanded on its control port.
#include "core/ProcessSignals.h"
#include "testing/fault-proxy/FaultProxy.h"

#include <QCoreApplication>

#include <cstdio>

using namespace amaranthspur;

namespace {

/// Time allowed for closing connections after SIGTERM.
constexpr Duration StopTime = std::chrono::seconds(1);

QCoro::Task<> stopAndQuit(fault::FaultProxy &Proxy) {
  co_await Proxy.stop(steadyNow() + StopTime);
  QCoreApplication::quit();
}

} // namespace

int main(int Argc, char **Argv) {
  const QCoreApplication App(Argc, Argv);
  const auto Config = fault::parseProxySettings(Argc, Argv);
  if (!succeeded(Config)) {
    std::fprintf(stderr, "fault-proxy: %s\n", errorOf(Config).c_str());
    return 2;
  }
  fault::FaultProxy Proxy(valueOf(Config));
  const auto Started = Proxy.start();
  if (!succeeded(Started)) {
    std::fprintf(stderr, "fault-proxy: %s\n", errorOf(Started).c_str());
    return 1;
  }
  onTerminationSignal([&Proxy](TimePoint) { stopAndQuit(Proxy); });
  std::puts("ready");
  std::fflush(stdout);
  return QCoreApplication::exec();
}
