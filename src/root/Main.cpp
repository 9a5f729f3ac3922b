// amaranthspurd: the daemon of an entry VM.
//
// Exit status: 0 after a graceful stop or if --check finds no error, 1 if a
// component could not start, 2 if a setting is invalid.
#include "core/ProcessSignals.h"
#include "root/Daemon.h"
#include "root/LineDaemon.h"
#include "root/Settings.h"
#include "root/relay/RelayCodec.h"
#include "root/telemetry/Log.h"

#include <QCoreApplication>

#include <cstdio>
#include <cstdlib>

namespace {

using namespace amaranthspur;

constexpr int ExitFailure = 1;
constexpr int ExitInvalidSettings = 2;

std::optional<std::string> environmentVariable(const std::string &Name) {
  const char *Value = std::getenv(Name.c_str());
  if (!Value)
    return std::nullopt;
  return std::string(Value);
}

template <typename Root> QCoro::Task<> runDaemon(Root &Tree) {
  const Result<Success> Started = co_await Tree.start();
  if (!succeeded(Started)) {
    std::fprintf(stderr, "amaranthspurd: %s\n", errorOf(Started).c_str());
    std::_Exit(ExitFailure);
  }
  log(LogLevel::Info, LogEvent::Ready);
  std::puts("ready");
  std::fflush(stdout);
}

template <typename Root> QCoro::Task<> stopDaemon(Root &Tree, TimePoint Since) {
  log(LogLevel::Info, LogEvent::Stopping,
      {{"since_signal_ms",
        static_cast<std::uint64_t>((steadyNow() - Since) / milliseconds(1))}});
  co_await Tree.stop(Since);
  log(LogLevel::Info, LogEvent::Stopped);
  // Coroutines can still be suspended in library calls. They hold no state that
  // has to be saved, so the process exits without waiting for them.
  std::fflush(stdout);
  std::_Exit(EXIT_SUCCESS);
}

/// Runs a daemon of type \p Root until a termination signal arrives.
template <typename Root> int serve(const Settings &Values) {
  Root Tree(Values);
  onTerminationSignal([&Tree](TimePoint At) { stopDaemon(Tree, At); });
  if (Values.Stop.Exit > Duration::zero())
    limitTermination(Values.Stop.Exit);
  onReloadSignal([&Tree] { Tree.reload(); });
  runDaemon(Tree);
  return QCoreApplication::exec();
}

} // namespace

int main(int Count, char **Arguments) {
  const Result<ParsedSettings> Parsed =
      readSettings({Arguments + 1, Arguments + Count}, environmentVariable);
  if (!succeeded(Parsed)) {
    std::fprintf(stderr, "%s", errorOf(Parsed).c_str());
    return ExitInvalidSettings;
  }
  switch (valueOf(Parsed).Action) {
  case SettingsAction::ShowHelp:
  case SettingsAction::ShowVersion:
    std::printf("%s", valueOf(Parsed).Text.c_str());
    return EXIT_SUCCESS;
  case SettingsAction::CheckOnly:
    std::puts("settings are valid");
    return EXIT_SUCCESS;
  case SettingsAction::Run:
    break;
  }
  QCoreApplication Application(Count, Arguments);
  const Settings &Values = valueOf(Parsed).Values;
  startLog(Values.MaxLogLevel, Values.VmId.str());
  silenceProtobufLog();
  log(LogLevel::Info, LogEvent::Starting,
      {{"front_end", nameOf(Values.Front)},
       {"data_centre", Values.Location.str()},
       {"platform", Values.Platform.str()}});
  if (Values.Front == FrontEnd::Lines)
    return serve<LineDaemon>(Values);
  return serve<Daemon>(Values);
}
