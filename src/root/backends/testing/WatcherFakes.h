// Fakes at the interfaces of the group watcher: servers, platform, event loop.
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

/// Returns the application that all tests of a program share. There is one,
/// since the scheduler of a thread outlives any single test.
inline QCoreApplication &application() {
  static int Argc = 1;
  static char Name[] = "test";
  static char *Argv[] = {Name, nullptr};
  static QCoreApplication App(Argc, Argv);
  return App;
}

/// How a fake server treats calls.
enum class FakeMode {
  Answering,
  Refusing,   ///< Connections are refused.
  Silent,     ///< Neither the open nor a fresh connection answers.
  SilentFull, ///< The open connection is silent, and there is no room beside
              ///< it.
  SilentConnection, ///< The open connection is silent, a fresh one works.
};

/// The servers of one fake group. Every write reaches the replicas at once,
/// unless replication is held back.
struct FakeGroup {
  struct Server {
    ModelServer State;
    FakeMode Mode = FakeMode::Answering;
    unsigned Calls = 0;    ///< That run now, over all watchers.
    unsigned Statuses = 0; ///< Answered.
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
    if (this->Replicating)
      this->replicate();
    return Primary.logEnd();
  }

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
  bool Replicating = true;
  std::uint64_t NextEntry = 1;
};

/// The control side of one server of a FakeGroup.
class FakeBackendServer final : public BackendServer {
public:
  FakeBackendServer(FakeGroup &Group, ServerId Id)
      : Group(Group), Id(std::move(Id)) {}

  const ServerId &id() const override { return this->Id; }

  QCoro::Task<Result<ServerStatus>> status(TimePoint Deadline) override {
    const std::string Failure = co_await this->begin(Deadline, false);
    if (!Failure.empty())
      co_return Error{Failure};
    ++this->server().Statuses;
    co_return this->server().State.status();
  }

  QCoro::Task<Result<ServerStatus>> probeFresh(TimePoint Deadline) override {
    ++this->server().Probes;
    const std::string Failure = co_await this->begin(Deadline, true);
    if (!Failure.empty())
      co_return Error{Failure};
    co_return this->server().State.status();
  }

  QCoro::Task<Result<LogPosition>> adoptTerm(Term T,
                                             TimePoint Deadline) override {
    const std::string Failure = co_await this->begin(Deadline, false);
    if (!Failure.empty())
      co_return Error{Failure};
    if (!this->server().State.adopt(T))
      co_return Error{"server answered 55000"};
    co_return this->server().State.logEnd();
  }

  QCoro::Task<Result<Success>> promote(Term T, TimePoint Deadline) override {
    const std::string Failure = co_await this->begin(Deadline, false);
    if (!Failure.empty())
      co_return Error{Failure};
    if (!this->server().State.promote(T, ++this->Group.NextEntry))
      co_return Error{"server answered 55000"};
    co_return Result<Success>(Success());
  }

  QCoro::Task<Result<Success>> follow(Term T, ServerId Primary, Address,
                                      TimePoint Deadline) override {
    const std::string Failure = co_await this->begin(Deadline, false);
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
    this->Replaced = true;
    this->Reset.wake();
  }

  /// Most calls that ran at a time on any fake; the interface allows one.
  static inline unsigned MostCalls = 0;

private:
  FakeGroup::Server &server() {
    for (FakeGroup::Server &S : this->Group.Servers)
      if (S.State.Id == this->Id)
        return S;
    std::abort();
  }

  /// Passes the time of a round trip; returns why there is no answer, if so.
  QCoro::Task<std::string> begin(TimePoint Deadline, bool Fresh) {
    ++this->Running;
    MostCalls = std::max(MostCalls, this->Running);
    std::string Failure;
    const FakeMode Mode = this->server().Mode;
    const bool OpenSilent =
        Mode == FakeMode::SilentConnection || Mode == FakeMode::SilentFull;
    const bool Hangs =
        Mode == FakeMode::Silent || (OpenSilent && !Fresh && !this->Replaced);
    if (Fresh)
      this->Replaced = true;
    if (Hangs) {
      co_await this->Reset.wait(Deadline);
      Failure = "no answer";
    } else if (Mode == FakeMode::SilentFull && Fresh) {
      Failure = "server answered 53300: too many connections";
    } else if (Mode == FakeMode::Refusing) {
      Failure = "connection refused";
    } else {
      co_await sleepFor(milliseconds(1));
      if (this->server().Mode != Mode)
        Failure = "connection lost";
    }
    --this->Running;
    co_return Failure;
  }

  FakeGroup &Group;
  ServerId Id;
  WaitPoint Reset;
  unsigned Running = 0;
  bool Replaced = false; ///< The connection was replaced by a fresh one.
};

} // namespace amaranthspur::testing

#endif // AMARANTHSPUR_ROOT_BACKENDS_TESTING_WATCHERFAKES_H
