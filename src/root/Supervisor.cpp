#include "root/Supervisor.h"

#include <algorithm>

namespace amaranthspur {
namespace {

constexpr Duration FirstDelay = milliseconds(100);
constexpr Duration MaxDelay = std::chrono::seconds(5);
/// A child that served this long starts again with the first delay.
constexpr Duration SteadyTime = std::chrono::seconds(30);
/// Time that a failed child has for ending its tasks.
constexpr Duration RestartStopTime = std::chrono::seconds(1);

} // namespace

Supervisor::Supervisor(
    std::function<void(std::string_view, const Error &)> OnRestart)
    : OnRestart(std::move(OnRestart)) {}

void Supervisor::add(Child &C) {
  const std::size_t Index = this->Entries.size();
  this->Entries.push_back({&C, FirstDelay, false, {}});
  C.Failed = [this, Index](const Error &Reason) {
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

QCoro::Task<> Supervisor::stop(TimePoint Deadline) {
  this->Stopping = true;
  for (std::size_t I = this->Entries.size(); I > 0; --I)
    co_await this->Entries[I - 1].C->stop(Deadline);
}

QCoro::Task<> Supervisor::restart(std::size_t Index, Error Reason) {
  Entry &E = this->Entries[Index];
  if (this->Stopping || std::exchange(E.Restarting, true))
    co_return;
  this->OnRestart(E.C->name(), Reason);
  if (steadyNow() - E.LastStart > SteadyTime)
    E.Delay = FirstDelay;
  co_await E.C->stop(steadyNow() + RestartStopTime);
  while (!this->Stopping) {
    co_await sleepFor(E.Delay);
    E.Delay = std::min(E.Delay * 2, MaxDelay);
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
