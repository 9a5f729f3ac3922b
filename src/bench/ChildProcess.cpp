#include "bench/ChildProcess.h"

#include "bench/Failure.h"
#include <csignal>
#include <fstream>
#include <sstream>

#include <sys/prctl.h>
#include <unistd.h>

namespace amaranthspur::bench {
namespace {

constexpr int KillWaitMs = 3000;
constexpr std::string_view ReadyLine = "ready\n";

} // namespace

ChildProcess::ChildProcess(std::string Program,
                           const std::vector<std::string> &Arguments,
                           const std::string &LogFile)
    : Program(std::move(Program)) {
  QStringList List;
  for (const std::string &Argument : Arguments)
    List << QString::fromStdString(Argument);
  this->Process.setProgram(QString::fromStdString(this->Program));
  this->Process.setArguments(List);
  this->Process.setStandardErrorFile(LogFile.empty()
                                         ? QProcess::nullDevice()
                                         : QString::fromStdString(LogFile),
                                     QIODevice::Append);
  // The kernel kills the child when the bench is killed, so that no process is
  // left running.
  this->Process.setChildProcessModifier(
      [] { ::prctl(PR_SET_PDEATHSIG, SIGKILL); });
  QObject::connect(&this->Process, &QProcess::readyReadStandardOutput,
                   &this->Process, [this] {
                     this->Output +=
                         this->Process.readAllStandardOutput().toStdString();
                     this->Changed.wake();
                   });
  QObject::connect(&this->Process, &QProcess::finished, &this->Process,
                   [this] { this->Changed.wake(); });
  QObject::connect(&this->Process, &QProcess::errorOccurred, &this->Process,
                   [this] { this->Changed.wake(); });
}

ChildProcess::~ChildProcess() {
  this->Process.disconnect();
  this->kill();
}

void ChildProcess::launch() {
  this->Output.clear();
  this->Process.start();
}

QCoro::Task<Result<Success>> ChildProcess::start(TimePoint Deadline) {
  this->launch();
  while (!this->ready()) {
    if (this->Process.state() == QProcess::NotRunning)
      co_return failure(" did not start");
    const bool Woken = co_await this->Changed.wait(Deadline);
    if (!Woken)
      co_return failure(" was not ready in time");
  }
  co_return makeSuccess();
}

bool ChildProcess::ready() const {
  return this->Output.find(ReadyLine) != std::string::npos;
}

Error ChildProcess::failure(const char *What) const {
  return Error{this->Program + What};
}

QCoro::Task<> ChildProcess::stop(TimePoint Deadline) {
  this->resume();
  this->Process.terminate();
  co_await this->waitForExit(Deadline);
  this->kill();
}

void ChildProcess::kill() {
  if (this->Process.state() == QProcess::NotRunning)
    return;
  this->Process.kill();
  this->Process.waitForFinished(KillWaitMs);
}

void ChildProcess::pause() { this->signal(SIGSTOP); }

void ChildProcess::resume() { this->signal(SIGCONT); }

void ChildProcess::hangUp() { this->signal(SIGHUP); }

QCoro::Task<std::optional<int>> ChildProcess::waitForExit(TimePoint Deadline) {
  std::optional<int> Status;
  while (this->Process.state() != QProcess::NotRunning) {
    const bool Woken = co_await this->Changed.wait(Deadline);
    if (!Woken)
      co_return Status;
  }
  this->Output += this->Process.readAllStandardOutput().toStdString();
  Status = this->Process.exitStatus() == QProcess::NormalExit
               ? this->Process.exitCode()
               : -1;
  co_return Status;
}

ProcessUsage ChildProcess::usage() const {
  ProcessUsage Usage;
  std::ifstream File("/proc/" + std::to_string(this->Process.processId()) +
                     "/stat");
  std::string Text((std::istreambuf_iterator<char>(File)), {});
  // The second field, the process name, is in parentheses and may contain
  // spaces, so the numbered fields are parsed after the last parenthesis.
  const std::size_t End = Text.rfind(')');
  if (End == std::string::npos)
    return Usage;
  std::istringstream Fields(Text.substr(End + 2));
  constexpr int UserTimeField = 14;
  constexpr int ResidentField = 24;
  std::string Field;
  for (int Number = 3; Number <= ResidentField && Fields >> Field; ++Number) {
    if (Number == UserTimeField || Number == UserTimeField + 1)
      Usage.CpuSeconds +=
          std::stod(Field) / static_cast<double>(::sysconf(_SC_CLK_TCK));
    if (Number == ResidentField)
      Usage.ResidentBytes =
          std::stoull(Field) * static_cast<std::uint64_t>(::getpagesize());
  }
  return Usage;
}

void ChildProcess::signal(int Number) const {
  if (this->running())
    ::kill(static_cast<pid_t>(this->Process.processId()), Number);
}

} // namespace amaranthspur::bench
