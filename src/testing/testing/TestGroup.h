// Fixtures for integration tests that run groups of fake-backend processes.
#ifndef AMARANTHSPUR_TESTING_TESTING_TESTGROUP_H
#define AMARANTHSPUR_TESTING_TESTING_TESTGROUP_H

#include "testing/PgClient.h"
#include "testing/Processes.h"

#include <catch2/catch.hpp>

#include <functional>
#include <string>
#include <thread>
#include <vector>

namespace amaranthspur {

/// Upper bound for waits. A passing test never waits this long.
inline constexpr Duration TestTimeout = std::chrono::seconds(30);

/// Waits until \p Condition holds. Returns false if it does not hold within
/// TestTimeout.
inline bool eventually(const std::function<bool()> &Condition) {
  const TimePoint Deadline = SteadyClock().now() + TestTimeout;
  while (!Condition()) {
    if (SteadyClock().now() > Deadline)
      return false;
    std::this_thread::sleep_for(milliseconds(5));
  }
  return true;
}

/// A process of this project that must exit with status 0 when it is
/// terminated. The test fails if the process crashed or leaked memory.
struct CheckedProcess {
  std::string Name; ///< Of the program; shown when the check fails.
  ChildProcess Process;

  CheckedProcess(std::string Name, ChildProcess Started)
      : Name(std::move(Name)), Process(std::move(Started)) {}
  CheckedProcess(CheckedProcess &&) = default;
  CheckedProcess &operator=(CheckedProcess &&) = delete;
  CheckedProcess(const CheckedProcess &) = delete;
  CheckedProcess &operator=(const CheckedProcess &) = delete;
  ~CheckedProcess() {
    if (this->Process.id() == 0)
      return;
    CAPTURE(this->Name);
    CHECK(this->Process.terminate(TestTimeout) == 0);
  }

  ChildProcess *operator->() { return &this->Process; }
};

/// Starts a program of this project. The test fails if it does not start.
inline CheckedProcess startProgram(const std::string &Name,
                                   const std::vector<std::string> &Arguments) {
  const auto Program = findProgram(Name);
  INFO((succeeded(Program) ? Name : errorOf(Program)));
  REQUIRE(succeeded(Program));
  auto Started = ChildProcess::start(valueOf(Program), Arguments);
  INFO((succeeded(Started) ? Name : errorOf(Started)));
  REQUIRE(succeeded(Started));
  return {Name, valueOf(std::move(Started))};
}

/// A running fake-backend.
struct TestBackend {
  std::string Id;
  std::uint16_t Port = 0;
  CheckedProcess Process;

  std::string address() const {
    return "127.0.0.1:" + std::to_string(this->Port);
  }

  /// Opens a work connection, or a control connection if \p Role is "control".
  Result<PgClient> tryConnect(const std::string &Role = "work") const {
    PgTarget Target;
    Target.Port = this->Port;
    if (Role != "work")
      Target.Parameters["amaranthspur.role"] = Role;
    return PgClient::connect(Target);
  }

  /// Opens a connection. The test fails if the server refuses it.
  PgClient connect(const std::string &Role = "work") const {
    auto Client = this->tryConnect(Role);
    INFO((succeeded(Client) ? this->Id : errorOf(Client)));
    REQUIRE(succeeded(Client));
    return valueOf(std::move(Client));
  }

  /// Runs one statement over a new control connection.
  PgAnswer control(const std::string &Sql) const {
    return this->connect("control").query(Sql, TestTimeout);
  }

  /// Returns the position of the last log entry as `term/index`.
  std::string position() const {
    const PgAnswer Status = this->control("SELECT * FROM group_status()");
    return Status.value("log_term") + "/" + Status.value("log_index");
  }
};

/// Starts a fake-backend on a free port.
inline TestBackend startBackend(const std::string &Id,
                                std::vector<std::string> Arguments) {
  const std::uint16_t Port = freePort();
  Arguments.insert(Arguments.end(), {"--id", Id, "--listen",
                                     "127.0.0.1:" + std::to_string(Port)});
  return {Id, Port, startProgram("fake-backend", Arguments)};
}

/// A primary "a" in term 1 and replicas "b", "c", ... that follow it.
struct TestGroup {
  std::vector<TestBackend> Servers;

  explicit TestGroup(std::size_t Count,
                     const std::vector<std::string> &Arguments = {}) {
    for (std::size_t I = 0; I < Count; ++I) {
      std::vector<std::string> ServerArguments = Arguments;
      if (I == 0)
        ServerArguments.insert(ServerArguments.end(), {"--role", "primary"});
      else
        ServerArguments.insert(
            ServerArguments.end(),
            {"--primary", "a=" + this->Servers.front().address()});
      this->Servers.push_back(startBackend(
          std::string(1, static_cast<char>('a' + I)), ServerArguments));
    }
  }

  TestBackend &operator[](std::size_t I) { return this->Servers[I]; }

  /// Waits until the logs of all servers in \p Which end at the same position.
  bool converged(const std::vector<std::size_t> &Which) {
    return eventually([this, &Which] {
      const std::string First = this->Servers[Which.front()].position();
      for (const std::size_t I : Which)
        if (this->Servers[I].position() != First)
          return false;
      return true;
    });
  }
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_TESTING_TESTING_TESTGROUP_H
