// Child processes for tests and the bench.
//
// Destroying a ChildProcess terminates its process by process ID. The product
// itself never starts processes; only the test tools use this.
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

/// Returns a port that is currently free on \p Host. The port is not reserved,
/// so another process could bind it first. Each process starts at a port
/// derived from its process ID and counts up, so that concurrent tests rarely
/// collide.
std::uint16_t freePort(const std::string &Host = "127.0.0.1");

/// Options for starting a process.
struct ProcessOptions {
  /// Time limit for the process to print the line `ready`.
  Duration ReadyTimeout = std::chrono::seconds(20);
  /// Whether to wait for the line `ready`.
  bool WaitForReady = true;
  /// File that standard error is appended to. If empty, the process inherits
  /// standard error.
  std::string ErrorLog;
  /// Environment variables to set in addition to the inherited ones.
  std::vector<std::pair<std::string, std::string>> Environment;
};

/// A child process. Movable, not copyable.
class ChildProcess {
public:
  /// Starts the program at path \p Program and waits until it prints the line
  /// `ready`, unless \p Options disable that.
  static Result<ChildProcess> start(const std::string &Program,
                                    const std::vector<std::string> &Arguments,
                                    const ProcessOptions &Options = {});

  ChildProcess(ChildProcess &&Other) noexcept;
  ChildProcess &operator=(ChildProcess &&Other) noexcept;
  ChildProcess(const ChildProcess &) = delete;
  ChildProcess &operator=(const ChildProcess &) = delete;
  /// Terminates the process if it is running: sends SIGTERM, and SIGKILL after
  /// one second.
  ~ChildProcess();

  pid_t id() const { return this->Pid; }

  /// Returns whether the process is running.
  bool running();

  /// Sends SIGTERM, and SIGKILL if the process is still running after \p Grace.
  /// A process that pause() has suspended is resumed first.
  /// \returns the exit code, or the negated number of the signal that ended it.
  int terminate(Duration Grace = std::chrono::seconds(5));

  /// Sends SIGKILL and waits for the process to exit.
  void kill();

  /// Sends SIGSTOP. The process is suspended and its connections stay open.
  void pause();
  /// Sends SIGCONT.
  void resume();

  /// Waits for the process to exit.
  /// \returns the exit code, or the negated number of the signal that ended it;
  /// an error if \p Limit passes first.
  Result<int> waitForEnd(Duration Limit);

private:
  ChildProcess(pid_t Pid, int Output) : Pid(Pid), Output(Output) {}

  void closeOutput();
  bool reap(bool Block);
  Result<Success> waitForReady(Duration Limit);

  pid_t Pid = 0;   ///< 0 once the process has been reaped.
  int Output = -1; ///< Read end of the pipe from its standard output.
  int Status = 0;
  bool Suspended = false; ///< By pause().
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_TESTING_PROCESSES_H
