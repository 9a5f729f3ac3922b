// fake-platform: a fake of the platform's service for tests and the benchmark.
#include "testing/fake-platform/PlatformServer.h"
#include "wire/Connection.h"

#include <cxxopts.hpp>

#include <QCoreApplication>
#include <QHostAddress>
#include <QSocketNotifier>

#include <csignal>
#include <cstdio>
#include <iostream>
#include <unistd.h>

namespace {

int TerminatePipe[2];

void onTerminate(int /*Signal*/) {
  const char Byte = 0;
  [[maybe_unused]] const ssize_t Written = write(TerminatePipe[1], &Byte, 1);
}

} // namespace

int main(int argc, char **argv) {
  using namespace amaranthspur;
  cxxopts::Options Options("fake-platform",
                           "Fake of the platform's table, object store "
                           "and VM list (HTTP).");
  Options.add_options()("listen", "address to listen at",
                        cxxopts::value<std::string>(), "HOST:PORT")(
      "seed", "seed of the lost answers",
      cxxopts::value<std::uint64_t>()->default_value("1"),
      "N")("help", "print this text");
  std::string Listen;
  std::uint64_t Seed = 0;
  try {
    const cxxopts::ParseResult Parsed = Options.parse(argc, argv);
    if (Parsed.count("help") > 0) {
      std::cout << Options.help();
      return 0;
    }
    Listen = Parsed["listen"].as<std::string>();
    Seed = Parsed["seed"].as<std::uint64_t>();
  } catch (const cxxopts::exceptions::exception &E) {
    std::cerr << "fake-platform: " << E.what() << "\n";
    return 2;
  }
  const Result<Address> Where = parseAddress(Listen);
  if (!succeeded(Where)) {
    std::cerr << "fake-platform: " << errorOf(Where) << "\n";
    return 2;
  }

  QCoreApplication App(argc, argv);
  if (pipe(TerminatePipe) != 0)
    return 1;
  QSocketNotifier Terminated(TerminatePipe[0], QSocketNotifier::Read);
  QObject::connect(&Terminated, &QSocketNotifier::activated, &App,
                   &QCoreApplication::quit);
  std::signal(SIGTERM, onTerminate);
  std::signal(SIGINT, onTerminate);

  fakeplatform::PlatformStore Store(Seed);
  fakeplatform::PlatformServer Server(Store);
  const Address &At = valueOf(Where);
  const quint16 Port =
      Server.listen(QHostAddress(QString::fromStdString(At.Host)), At.Port);
  if (Port == 0) {
    std::cerr << "fake-platform: cannot listen at " << Listen << "\n";
    return 1;
  }
  std::cout << "ready" << std::endl;
  return QCoreApplication::exec();
}
