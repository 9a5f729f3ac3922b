// Child processes of tests and of the bench.
//
// Everything started is ended, by its process identifier, when its object is
// destroyed. These are tools: no process of the product starts another.
#ifndef AMARANTHSPUR_TESTING_PROCESSES_H
#define AMARANTHSPUR_TESTING_PROCESSES_H

#include "core/Clock.h"
#include "core/Result.h"

#include <sys/types.h>

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace amaranthspur {

/// Finds a program of this project: in the directory AMARANTHSPUR_BIN, next to
/// the running executable, or in a directory `bin` above it.
Result<std::string> findProgram(const std::string &Name);

/// Returns a port that is free on \p Host at the moment. It is not reserved:
/// another process could take it before it is used. Processes start at
/// different ports and count up, so that those of one test run rarely meet.
std::uint16_t freePort(const std::string &Host = "127.0.0.1");

/// How a process is started.
struct ProcessOptions {
  /// Longest wait for the line `ready`.
  Duration ReadyTimeout = std::chrono::seconds(20);
  /// Whether to wait for it.
  bool WaitForReady = true;
  /// File for standard error; empty: that of this process.
  std::string ErrorLog;
  /// Variables added to the environment.
  std::vector<std::pair<std::string, std::string>> Environment;
};

/// A started process. Movable, not copyable.
class ChildProcess {
public:
  /// Starts \p Program (a path) and waits for its line `ready`.
  static Result<ChildProcess> start(const std::string &Program,
                                    const std::vector<std::string> &Arguments,
                                    const ProcessOptions &Options = {});

  ChildProcess(ChildProcess &&Other) noexcept;
  ChildProcess &operator=(ChildProcess &&Other) noexcept;
  ChildProcess(const ChildProcess &) = delete;
  ChildProcess &operator=(const ChildProcess &) = delete;
  /// Ends the process if it runs: SIGTERM, and SIGKILL after one second.
  ~ChildProcess();

  pid_t id() const { return this->Pid; }

  /// Returns whether the process runs.
  bool running();

  /// Sends SIGTERM, and SIGKILL after \p Grace.
  /// \returns the exit code, or minus the number of the signal that ended it.
  int terminate(Duration Grace = std::chrono::seconds(5));

  /// Sends SIGKILL.
  void kill();

  /// Sends SIGSTOP; the process and its connections stay as they are.
  void pause();
  /// Sends SIGCONT.
  void resume();

  /// Waits until the process ends by itself.
  /// \returns the exit code, or minus the number of the signal that ended it;
  /// an error if \p Limit passes first.
  Result<int> waitForEnd(Duration Limit);

private:
  ChildProcess(pid_t Pid, int Output) : Pid(Pid), Output(Output) {}

  void closeOutput();
  bool reap(bool Block);
  Result<Success> waitForReady(Duration Limit);

  pid_t Pid = 0;   ///< 0 once the process has been reaped.
  int Output = -1; ///< Reading end of its standard output.
  int Status = 0;
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_TESTING_PROCESSES_H
