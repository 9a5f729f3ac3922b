// amaranthspurd: the daemon of an entry VM.
//
// Exit status: 0 after a graceful stop or a check without mistakes, 1 if a part
// could not start, 2 if a setting is wrong.
#include "root/Daemon.h"
#include "root/Settings.h"
#include "root/telemetry/Log.h"
#include "testing/TerminationSignal.h"

#include <QCoreApplication>

#include <cstdio>
#include <cstdlib>

namespace {

using namespace amaranthspur;

constexpr int ExitFailure = 1;
constexpr int ExitBadSettings = 2;

std::optional<std::string> environmentVariable(const std::string &Name) {
  const char *Value = std::getenv(Name.c_str());
  if (!Value)
    return std::nullopt;
  return std::string(Value);
}

QCoro::Task<> runDaemon(Daemon &Root) {
  const Result<Success> Started = co_await Root.start();
  if (!succeeded(Started)) {
    std::fprintf(stderr, "amaranthspurd: %s\n", errorOf(Started).c_str());
    std::_Exit(ExitFailure);
  }
  log(LogLevel::Info, LogEvent::Ready);
  std::puts("ready");
  std::fflush(stdout);
}

QCoro::Task<> stopDaemon(Daemon &Root) {
  co_await Root.stop();
  // Tasks of the libraries may still wait; nothing of theirs is kept.
  std::fflush(stdout);
  std::_Exit(EXIT_SUCCESS);
}

} // namespace

int main(int Count, char **Arguments) {
  const Result<ParsedSettings> Parsed =
      readSettings({Arguments + 1, Arguments + Count}, environmentVariable);
  if (!succeeded(Parsed)) {
    std::fprintf(stderr, "%s", errorOf(Parsed).c_str());
    return ExitBadSettings;
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
  startLog(Values.Least, Values.VmId.str());
  Daemon Root(Values);
  onTerminationSignal([&Root] { stopDaemon(Root); });
  runDaemon(Root);
  return QCoreApplication::exec();
}
