// A process that the bench starts and ends.
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

/// What the system counts of a process.
struct ProcessUsage {
  double CpuSeconds = 0; ///< User and system time so far.
  std::uint64_t ResidentBytes = 0;
};

/// One process; it is killed when this object or the bench ends.
class ChildProcess {
public:
  /// \param Program path of the executable.
  /// \param LogFile where its standard error goes; empty: nowhere.
  ChildProcess(std::string Program, const std::vector<std::string> &Arguments,
               const std::string &LogFile);
  ChildProcess(const ChildProcess &) = delete;
  ChildProcess &operator=(const ChildProcess &) = delete;
  ~ChildProcess();

  /// Starts it and waits for its line `ready`.
  QCoro::Task<Result<Success>> start(TimePoint Deadline);

  /// Starts it without waiting.
  void launch();

  /// Sends SIGTERM, and SIGKILL at \p Deadline; returns when it has ended.
  QCoro::Task<> stop(TimePoint Deadline);

  /// Sends SIGKILL and waits for the end.
  void kill();
  /// Sends SIGSTOP.
  void pause();
  /// Sends SIGCONT.
  void resume();

  /// Waits until it ends by itself; returns its exit status, or nothing if
  /// \p Deadline passed first.
  QCoro::Task<std::optional<int>> ended(TimePoint Deadline);

  /// Returns what it has written to standard output so far.
  const std::string &output() const { return this->Output; }

  bool running() const { return this->Process.state() == QProcess::Running; }

  /// Returns what the system counts of it; zeros if it has ended.
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
