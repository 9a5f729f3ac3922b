// Groups of fake-backends as real processes, for integration tests.
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

/// Upper bound for waits; a test that works never waits so long.
inline constexpr Duration GenerousLimit = std::chrono::seconds(30);

/// Waits until \p Condition holds; returns whether it did in time.
inline bool eventually(const std::function<bool()> &Condition) {
  const TimePoint Deadline = SteadyClock().now() + GenerousLimit;
  while (!Condition()) {
    if (SteadyClock().now() > Deadline)
      return false;
    std::this_thread::sleep_for(milliseconds(5));
  }
  return true;
}

/// A program of this project that must end without an error: one that crashed
/// or leaked during the test fails it.
struct CheckedProcess {
  ChildProcess Process;

  explicit CheckedProcess(ChildProcess Started) : Process(std::move(Started)) {}
  CheckedProcess(CheckedProcess &&) = default;
  CheckedProcess &operator=(CheckedProcess &&) = delete;
  CheckedProcess(const CheckedProcess &) = delete;
  CheckedProcess &operator=(const CheckedProcess &) = delete;
  ~CheckedProcess() {
    if (this->Process.id() != 0)
      CHECK(this->Process.terminate(GenerousLimit) == 0);
  }

  ChildProcess *operator->() { return &this->Process; }
};

/// Starts a program of this project; fails the test if it cannot.
inline CheckedProcess startProgram(const std::string &Name,
                                   const std::vector<std::string> &Arguments) {
  const auto Program = findProgram(Name);
  INFO((succeeded(Program) ? Name : errorOf(Program)));
  REQUIRE(succeeded(Program));
  auto Started = ChildProcess::start(valueOf(Program), Arguments);
  INFO((succeeded(Started) ? Name : errorOf(Started)));
  REQUIRE(succeeded(Started));
  return CheckedProcess(valueOf(std::move(Started)));
}

/// One running fake-backend.
struct TestBackend {
  std::string Id;
  std::uint16_t Port = 0;
  CheckedProcess Process;

  std::string address() const {
    return "127.0.0.1:" + std::to_string(this->Port);
  }

  /// Connects; a control connection has \p Role "control".
  Result<PgClient> tryConnect(const std::string &Role = "work") const {
    PgTarget Target;
    Target.Port = this->Port;
    if (Role != "work")
      Target.Parameters["amaranthspur.role"] = Role;
    return PgClient::connect(Target);
  }

  PgClient connect(const std::string &Role = "work") const {
    auto Client = this->tryConnect(Role);
    INFO((succeeded(Client) ? this->Id : errorOf(Client)));
    REQUIRE(succeeded(Client));
    return valueOf(std::move(Client));
  }

  /// Runs one statement over a control connection of its own.
  PgAnswer control(const std::string &Sql) const {
    return this->connect("control").query(Sql, GenerousLimit);
  }

  std::string position() const {
    const PgAnswer Status = this->control("SELECT * FROM group_status()");
    return Status.value("log_term") + "/" + Status.value("log_index");
  }
};

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
      std::vector<std::string> Own = Arguments;
      if (I == 0)
        Own.insert(Own.end(), {"--role", "primary"});
      else
        Own.insert(Own.end(),
                   {"--primary", "a=" + this->Servers.front().address()});
      this->Servers.push_back(
          startBackend(std::string(1, static_cast<char>('a' + I)), Own));
    }
  }

  TestBackend &operator[](std::size_t I) { return this->Servers[I]; }

  /// Waits until all servers in \p Which have the position of the first.
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
