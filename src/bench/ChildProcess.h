// A child process of the bench.
#ifndef AMARANTHSPUR_BENCH_CHILDPROCESS_H
#define AMARANTHSPUR_BENCH_CHILDPROCESS_H

#include "core/Async.h"
#include "core/Result.h"

#include <QCoroTask>
#include <QProcess>

#include <cstdint>
#include <string>
#include <vector>

namespace amaranthspur::bench {

/// Resource usage of a process.
struct ProcessUsage {
  double CpuSeconds = 0; ///< User and system CPU time since the start.
  std::uint64_t ResidentBytes = 0;
};

/// A child process that is killed when this object is destroyed or the bench
/// exits.
class ChildProcess {
public:
  /// \param Program path of the executable.
  /// \param Arguments command-line arguments, without the program's name.
  /// \param LogFile file that its standard error is appended to; empty if it is
  /// discarded.
  ChildProcess(std::string Program, const std::vector<std::string> &Arguments,
               const std::string &LogFile);
  ChildProcess(const ChildProcess &) = delete;
  ChildProcess &operator=(const ChildProcess &) = delete;
  ~ChildProcess();

  /// Starts the process and waits until it prints the line `ready`.
  QCoro::Task<Result<Success>> start(TimePoint Deadline);

  /// Starts the process without waiting for its `ready` line.
  void launch();

  /// Sends SIGTERM, then SIGKILL if the process is still running at \p
  /// Deadline, and waits until it has exited.
  QCoro::Task<> stop(TimePoint Deadline);

  /// Sends SIGKILL and waits until the process has exited.
  void kill();
  /// Sends SIGSTOP.
  void pause();
  /// Sends SIGCONT.
  void resume();
  /// Sends SIGHUP.
  void hangUp();

  /// Waits until the process exits by itself.
  /// \returns its exit status, -1 if a signal ended it, or nothing if \p
  /// Deadline passes first.
  QCoro::Task<std::optional<int>> waitForExit(TimePoint Deadline);

  /// Returns the text that the process has written to standard output so far.
  const std::string &output() const { return this->Output; }

  /// Returns the process ID, or 0 if the process has exited.
  std::int64_t processId() const { return this->Process.processId(); }

  bool running() const { return this->Process.state() == QProcess::Running; }

  /// Returns the resource usage of the process, or zeros if it has exited.
  ProcessUsage usage() const;

private:
  void signal(int Number) const;
  bool ready() const;
  Error failure(const char *What) const;

  QProcess Process;
  std::string Program;
  std::string Output;
  WaitPoint Changed;
};

} // namespace amaranthspur::bench

#endif // AMARANTHSPUR_BENCH_CHILDPROCESS_H
