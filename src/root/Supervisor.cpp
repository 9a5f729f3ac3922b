#include "root/Supervisor.h"

#include "root/telemetry/Log.h"

#include <algorithm>

namespace amaranthspur {
namespace {

constexpr Duration InitialRestartDelay = milliseconds(100);
constexpr Duration MaxRestartDelay = std::chrono::seconds(5);
/// A child that has run for this long without a failure is restarted with the
/// initial delay again.
constexpr Duration StableRunTime = std::chrono::seconds(30);
/// Time within which a failed child must end its tasks before its restart.
constexpr Duration RestartStopTimeout = std::chrono::seconds(1);

} // namespace

Supervisor::Supervisor(
    std::function<void(std::string_view, const Error &)> OnRestart)
    : OnRestart(std::move(OnRestart)) {}

void Supervisor::add(Child &C) {
  const std::size_t Index = this->Entries.size();
  this->Entries.push_back({&C, InitialRestartDelay, false, {}});
  C.OnFailure = [this, Index](const Error &Reason) {
    this->restart(Index, Reason);
  };
}

QCoro::Task<Result<Success>> Supervisor::start() {
  for (Entry &E : this->Entries) {
    E.LastStart = steadyNow();
    Result<Success> Started = co_await E.C->start();
    if (!succeeded(Started))
      co_return Error{std::string(E.C->name()) + ": " + errorOf(Started)};
  }
  co_return Success();
}

QCoro::Task<> Supervisor::stop(TimePoint Deadline, TimePoint Limit) {
  this->Stopping = true;
  for (std::size_t I = this->Entries.size(); I > 0; --I) {
    Child &C = *this->Entries[I - 1].C;
    const auto Running = std::make_shared<TaskGroup>();
    stopChild(C, Deadline, Running);
    // Each wait takes a turn of the event loop, which is long under load.
    bool Stopped = Running->size() == 0;
    if (!Stopped && steadyNow() < Limit)
      Stopped = co_await Running->waitUntilEmpty(Limit);
    if (!Stopped)
      log(LogLevel::Warning, LogEvent::ChildFailed,
          {{"child", C.name()}, {"error", "did not stop in time"}});
  }
}

QCoro::Task<> Supervisor::stopChild(Child &C, TimePoint Deadline,
                                    std::shared_ptr<TaskGroup> Running) {
  const TaskGroup::Guard Guard(*Running);
  co_await C.stop(Deadline);
}

QCoro::Task<> Supervisor::restart(std::size_t Index, Error Reason) {
  Entry &E = this->Entries[Index];
  if (this->Stopping || std::exchange(E.Restarting, true))
    co_return;
  this->OnRestart(E.C->name(), Reason);
  if (steadyNow() - E.LastStart > StableRunTime)
    E.RestartDelay = InitialRestartDelay;
  co_await E.C->stop(steadyNow() + RestartStopTimeout);
  while (!this->Stopping) {
    co_await sleepFor(E.RestartDelay);
    E.RestartDelay = std::min(E.RestartDelay * 2, MaxRestartDelay);
    if (this->Stopping)
      break;
    E.LastStart = steadyNow();
    const Result<Success> Started = co_await E.C->start();
    if (succeeded(Started))
      break;
    this->OnRestart(E.C->name(), Error{errorOf(Started)});
  }
  E.Restarting = false;
}

} // namespace amaranthspur
