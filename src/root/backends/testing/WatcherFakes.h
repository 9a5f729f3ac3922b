// Test doubles for GroupWatcher: the servers of a group and the Qt application
// whose event loop runs the tasks.
#ifndef AMARANTHSPUR_ROOT_BACKENDS_TESTING_WATCHERFAKES_H
#define AMARANTHSPUR_ROOT_BACKENDS_TESTING_WATCHERFAKES_H

#include "core/Async.h"
#include "policy/testing/GroupModel.h"
#include "root/backends/BackendServer.h"

#include <QCoreApplication>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

namespace amaranthspur::testing {

/// Returns the Qt application that all tests of a program share. There is only
/// one, because the scheduler of a thread outlives each single test.
inline QCoreApplication &application() {
  static int Argc = 1;
  static char Name[] = "test";
  static char *Argv[] = {Name, nullptr};
  static QCoreApplication App(Argc, Argv);
  return App;
}

/// How a fake server responds to calls.
enum class FakeMode {
  Answering,
  Refusing, ///< Connections are refused.
  Silent,   ///< Calls on the open and on a new connection get no answer.
  SilentAtConnectionLimit, ///< Calls on the open connection get no answer, and
                           ///< the connection limit prevents a second
                           ///< connection.
  OpenConnectionSilent, ///< Calls on the open connection get no answer; a new
                        ///< connection works.
};

/// The servers of one fake group. Every write reaches the replicas at once,
/// unless ReplicationEnabled is false.
struct FakeGroup {
  struct Server {
    ModelServer State;
    FakeMode Mode = FakeMode::Answering;
    unsigned Calls = 0;    ///< Calls in progress, from all watchers.
    unsigned Statuses = 0; ///< Answered status calls.
    unsigned Probes = 0;
  };

  explicit FakeGroup(std::size_t Count) {
    for (std::size_t I = 0; I < Count; ++I) {
      Server New;
      New.State.Id = ServerId("s" + std::to_string(I));
      New.State.AdoptedTerm = 1;
      New.State.Primary = ServerId("s0");
      this->Servers.push_back(std::move(New));
    }
    this->Servers[0].State.promote(1, 1);
    this->replicate();
  }

  /// Appends an entry at the primary \p S and returns its position.
  LogPosition write(std::size_t S) {
    ModelServer &Primary = this->Servers[S].State;
    Primary.Log.push_back({Primary.AdoptedTerm, ++this->NextEntry});
    if (this->ReplicationEnabled)
      this->replicate();
    return Primary.logEnd();
  }

  /// Copies the log of each primary to the replicas that follow it in its term.
  void replicate() {
    for (Server &To : this->Servers)
      for (const Server &From : this->Servers)
        if (From.State.Role == ServerRole::Primary &&
            To.State.Role == ServerRole::Replica &&
            To.State.Primary == From.State.Id &&
            To.State.AdoptedTerm == From.State.AdoptedTerm)
          To.State.Log = From.State.Log;
  }

  std::vector<Server> Servers;
  bool ReplicationEnabled = true;
  std::uint64_t NextEntry = 1;
};

/// Control operations on one server of a FakeGroup.
class FakeBackendServer final : public BackendServer {
public:
  FakeBackendServer(FakeGroup &Group, ServerId Id)
      : Group(Group), Id(std::move(Id)) {}

  const ServerId &id() const override { return this->Id; }

  QCoro::Task<Result<ServerStatus>> status(TimePoint Deadline) override {
    const std::string Failure =
        co_await this->simulateRoundTrip(Deadline, false);
    if (!Failure.empty())
      co_return Error{Failure};
    ++this->server().Statuses;
    co_return this->server().State.status();
  }

  QCoro::Task<Result<ServerStatus>> probeFresh(TimePoint Deadline) override {
    ++this->server().Probes;
    const std::string Failure =
        co_await this->simulateRoundTrip(Deadline, true);
    if (!Failure.empty())
      co_return Error{Failure};
    co_return this->server().State.status();
  }

  QCoro::Task<Result<LogPosition>> adoptTerm(Term T,
                                             TimePoint Deadline) override {
    const std::string Failure =
        co_await this->simulateRoundTrip(Deadline, false);
    if (!Failure.empty())
      co_return Error{Failure};
    if (!this->server().State.adopt(T))
      co_return Error{"server answered 55000"};
    co_return this->server().State.logEnd();
  }

  QCoro::Task<Result<Success>> promote(Term T, TimePoint Deadline) override {
    const std::string Failure =
        co_await this->simulateRoundTrip(Deadline, false);
    if (!Failure.empty())
      co_return Error{Failure};
    if (!this->server().State.promote(T, ++this->Group.NextEntry))
      co_return Error{"server answered 55000"};
    co_return Result<Success>(Success());
  }

  QCoro::Task<Result<Success>> follow(Term T, ServerId Primary, Address,
                                      TimePoint Deadline) override {
    const std::string Failure =
        co_await this->simulateRoundTrip(Deadline, false);
    if (!Failure.empty())
      co_return Error{Failure};
    if (!this->server().State.follow(T, Primary))
      co_return Error{"server answered 55000"};
    this->Group.replicate();
    co_return Result<Success>(Success());
  }

  QCoro::Task<Result<OwnerLease>>
  acquireOwner(EntryVmId Vm, std::uint64_t, Duration Ttl, TimePoint) override {
    co_return OwnerLease{std::move(Vm), Ttl};
  }

  void reset() override {
    this->ConnectionReplaced = true;
    this->ResetCalled.wake();
  }

  /// Highest number of calls in progress at a time on any object of this class.
  /// The interface allows one.
  static inline unsigned MaxConcurrentCalls = 0;

private:
  FakeGroup::Server &server() {
    for (FakeGroup::Server &S : this->Group.Servers)
      if (S.State.Id == this->Id)
        return S;
    std::abort();
  }

  /// Waits for the time of a round trip, according to the server's mode.
  /// \returns the error if the call gets no answer, else an empty string.
  QCoro::Task<std::string> simulateRoundTrip(TimePoint Deadline, bool Fresh) {
    ++this->CallsInProgress;
    MaxConcurrentCalls = std::max(MaxConcurrentCalls, this->CallsInProgress);
    std::string Failure;
    const FakeMode Mode = this->server().Mode;
    const bool OpenSilent = Mode == FakeMode::OpenConnectionSilent ||
                            Mode == FakeMode::SilentAtConnectionLimit;
    const bool Hangs = Mode == FakeMode::Silent ||
                       (OpenSilent && !Fresh && !this->ConnectionReplaced);
    if (Fresh)
      this->ConnectionReplaced = true;
    if (Hangs) {
      co_await this->ResetCalled.wait(Deadline);
      Failure = "no answer";
    } else if (Mode == FakeMode::SilentAtConnectionLimit && Fresh) {
      Failure = "server answered 53300: too many connections";
    } else if (Mode == FakeMode::Refusing) {
      Failure = "connection refused";
    } else {
      co_await sleepFor(milliseconds(1));
      if (this->server().Mode != Mode)
        Failure = "connection lost";
    }
    --this->CallsInProgress;
    co_return Failure;
  }

  FakeGroup &Group;
  ServerId Id;
  WaitPoint ResetCalled;
  unsigned CallsInProgress = 0;
  bool ConnectionReplaced = false; ///< A new connection has replaced the first.
};

} // namespace amaranthspur::testing

#endif // AMARANTHSPUR_ROOT_BACKENDS_TESTING_WATCHERFAKES_H
