#include "testing/Processes.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <thread>

extern "C" char **environ; // NOLINT(readability-identifier-naming)

namespace amaranthspur {
namespace {

/// Interval at which to check whether a process has exited.
constexpr Duration EndPollInterval = milliseconds(2);
/// Time between SIGTERM and SIGKILL in the destructor.
constexpr Duration DestructorGrace = std::chrono::seconds(1);
/// Number of parent directories of the executable that findProgram searches.
constexpr int MaxParents = 6;
/// The range of ports that freePort returns. It is below the ephemeral port
/// range, whose ports outgoing connections can take at any time.
constexpr std::uint32_t FirstPort = 10000;
constexpr std::uint32_t PortCount = 20000;

bool isExecutable(const std::filesystem::path &Path) {
  return access(Path.c_str(), X_OK) == 0 &&
         std::filesystem::is_regular_file(Path);
}

TimePoint now() { return SteadyClock().now(); }

int pollTimeout(TimePoint Deadline) {
  const Duration Left = std::max(Deadline - now(), Duration::zero());
  return static_cast<int>(std::chrono::ceil<milliseconds>(Left).count());
}

/// Returns whether a socket can listen on \p Port.
bool isFree(const std::string &Host, std::uint16_t Port) {
  const int Probe = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int On = 1;
  setsockopt(Probe, SOL_SOCKET, SO_REUSEADDR, &On, sizeof(On));
  sockaddr_in At = {};
  At.sin_family = AF_INET;
  At.sin_port = htons(Port);
  inet_pton(AF_INET, Host.c_str(), &At.sin_addr);
  const bool Free =
      bind(Probe, reinterpret_cast<sockaddr *>(&At), sizeof(At)) == 0 &&
      listen(Probe, 1) == 0;
  close(Probe);
  return Free;
}

/// Returns the environment of this process with the variables of \p Options
/// added or replaced, for posix_spawn.
std::vector<std::string> makeEnvironment(const ProcessOptions &Options) {
  std::vector<std::string> Variables;
  for (char **Variable = environ; *Variable != nullptr; ++Variable)
    Variables.emplace_back(*Variable);
  for (const auto &[Name, Value] : Options.Environment) {
    const std::string Start = Name + "=";
    std::erase_if(Variables, [&Start](const std::string &Variable) {
      return Variable.starts_with(Start);
    });
    Variables.push_back(Start + Value);
  }
  return Variables;
}

std::vector<char *> toPointers(std::vector<std::string> &Texts) {
  std::vector<char *> Pointers;
  Pointers.reserve(Texts.size() + 1);
  for (std::string &Text : Texts)
    Pointers.push_back(Text.data());
  Pointers.push_back(nullptr);
  return Pointers;
}

/// Starts a process whose standard output is the descriptor \p OutputEnd.
/// \returns the process ID, or the negated error number.
pid_t spawn(const std::string &Program,
            const std::vector<std::string> &Arguments,
            const ProcessOptions &Options, int OutputEnd) {
  std::vector<std::string> Texts = {Program};
  Texts.insert(Texts.end(), Arguments.begin(), Arguments.end());
  std::vector<std::string> Variables = makeEnvironment(Options);
  posix_spawn_file_actions_t Actions;
  posix_spawn_file_actions_init(&Actions);
  posix_spawn_file_actions_adddup2(&Actions, OutputEnd, STDOUT_FILENO);
  if (!Options.ErrorLog.empty())
    posix_spawn_file_actions_addopen(&Actions, STDERR_FILENO,
                                     Options.ErrorLog.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0644);
  pid_t Pid = 0;
  const int Failure =
      posix_spawn(&Pid, Program.c_str(), &Actions, nullptr,
                  toPointers(Texts).data(), toPointers(Variables).data());
  posix_spawn_file_actions_destroy(&Actions);
  return Failure == 0 ? Pid : -Failure;
}

} // namespace

Result<std::string> findProgram(const std::string &Name) {
  namespace fs = std::filesystem;
  if (const char *Directory = std::getenv("AMARANTHSPUR_BIN");
      Directory != nullptr)
    if (const fs::path Path = fs::path(Directory) / Name; isExecutable(Path))
      return Path.string();
  std::error_code Ignored;
  fs::path Directory = fs::read_symlink("/proc/self/exe", Ignored);
  Directory = Directory.parent_path();
  if (const fs::path Path = Directory / Name; isExecutable(Path))
    return Path.string();
  for (int I = 0; I < MaxParents; ++I) {
    Directory = Directory.parent_path();
    if (const fs::path Path = Directory / "bin" / Name; isExecutable(Path))
      return Path.string();
  }
  return Error{"program " + Name +
               " was not found; set AMARANTHSPUR_BIN to its directory"};
}

std::uint16_t freePort(const std::string &Host) {
  static std::uint32_t Next = static_cast<std::uint32_t>(getpid()) * 61U;
  for (std::uint32_t I = 0; I < PortCount; ++I) {
    const auto Port =
        static_cast<std::uint16_t>(FirstPort + Next++ % PortCount);
    if (isFree(Host, Port))
      return Port;
  }
  std::abort();
}

Result<ChildProcess>
ChildProcess::start(const std::string &Program,
                    const std::vector<std::string> &Arguments,
                    const ProcessOptions &Options) {
  int Pipe[2];
  if (pipe2(Pipe, O_CLOEXEC) != 0)
    return Error{"cannot create a pipe for " + Program};
  const pid_t Pid = spawn(Program, Arguments, Options, Pipe[1]);
  close(Pipe[1]);
  if (Pid < 0) {
    close(Pipe[0]);
    return Error{"cannot start " + Program + ": " + std::strerror(-Pid)};
  }
  ChildProcess Started(Pid, Pipe[0]);
  if (Options.WaitForReady) {
    const auto Ready = Started.waitForReady(Options.ReadyTimeout);
    if (!succeeded(Ready))
      return Error{Program + ": " + errorOf(Ready)};
  }
  return Started;
}

Result<Success> ChildProcess::waitForReady(Duration Limit) {
  const TimePoint Deadline = now() + Limit;
  std::string Text;
  while (now() < Deadline) {
    pollfd Wait = {this->Output, POLLIN, 0};
    if (poll(&Wait, 1, pollTimeout(Deadline)) <= 0)
      continue;
    char Buffer[256];
    const ssize_t Count = read(this->Output, Buffer, sizeof(Buffer));
    if (Count < 0 && errno == EINTR)
      continue;
    if (Count <= 0)
      return Error{"process exited before it was ready"};
    Text.append(Buffer, static_cast<std::size_t>(Count));
    if (("\n" + Text).find("\nready\n") != std::string::npos)
      return Success();
  }
  return Error{"timed out waiting for the process to be ready"};
}

ChildProcess::ChildProcess(ChildProcess &&Other) noexcept
    : Pid(std::exchange(Other.Pid, 0)), Output(std::exchange(Other.Output, -1)),
      Status(Other.Status), Suspended(Other.Suspended) {}

ChildProcess &ChildProcess::operator=(ChildProcess &&Other) noexcept {
  if (this == &Other)
    return *this;
  this->terminate(DestructorGrace);
  this->closeOutput();
  this->Pid = std::exchange(Other.Pid, 0);
  this->Output = std::exchange(Other.Output, -1);
  this->Status = Other.Status;
  this->Suspended = Other.Suspended;
  return *this;
}

ChildProcess::~ChildProcess() {
  this->terminate(DestructorGrace);
  this->closeOutput();
}

void ChildProcess::closeOutput() {
  if (this->Output >= 0)
    close(std::exchange(this->Output, -1));
}

/// Reaps the process if it has exited, or waits for its exit if \p Block is
/// set. \returns whether the process has exited.
bool ChildProcess::reap(bool Block) {
  if (this->Pid == 0)
    return true;
  int Raw = 0;
  pid_t Done = 0;
  do
    Done = waitpid(this->Pid, &Raw, Block ? 0 : WNOHANG);
  while (Done < 0 && errno == EINTR);
  if (Done == 0)
    return false;
  this->Pid = 0;
  this->Status = WIFEXITED(Raw) ? WEXITSTATUS(Raw) : -WTERMSIG(Raw);
  return true;
}

bool ChildProcess::running() { return !this->reap(false); }

Result<int> ChildProcess::waitForEnd(Duration Limit) {
  const TimePoint Deadline = now() + Limit;
  while (!this->reap(false)) {
    if (now() >= Deadline)
      return Error{"process is still running"};
    std::this_thread::sleep_for(EndPollInterval);
  }
  return this->Status;
}

int ChildProcess::terminate(Duration Grace) {
  if (this->reap(false))
    return this->Status;
  // A suspended process does not handle SIGTERM until it is resumed. SIGCONT is
  // sent neither after SIGTERM nor to a running process: it discards a pending
  // SIGSTOP, also the one with which LeakSanitizer's tracer suspends the
  // process at its exit. The tracer then waits for it without a limit.
  if (this->Suspended)
    this->resume();
  ::kill(this->Pid, SIGTERM);
  if (!succeeded(this->waitForEnd(Grace)))
    this->kill();
  return this->Status;
}

void ChildProcess::kill() {
  if (this->reap(false))
    return;
  ::kill(this->Pid, SIGKILL);
  this->reap(true);
}

void ChildProcess::pause() {
  if (!this->running())
    return;
  ::kill(this->Pid, SIGSTOP);
  this->Suspended = true;
}

void ChildProcess::resume() {
  if (!this->running())
    return;
  ::kill(this->Pid, SIGCONT);
  this->Suspended = false;
}

} // namespace amaranthspur
