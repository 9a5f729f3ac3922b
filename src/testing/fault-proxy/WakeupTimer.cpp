#include "testing/fault-proxy/WakeupTimer.h"

#include <sys/timerfd.h>
#include <unistd.h>

#include <cstdint>
#include <cstdlib>

namespace amaranthspur::fault {

WakeupTimer::WakeupTimer()
    : Timer(timerfd_create(CLOCK_MONOTONIC, TFD_CLOEXEC | TFD_NONBLOCK)) {
  if (this->Timer < 0)
    std::abort();
  this->Notifier =
      std::make_unique<QSocketNotifier>(this->Timer, QSocketNotifier::Read);
  QObject::connect(this->Notifier.get(), &QSocketNotifier::activated,
                   this->Notifier.get(), [this] { this->onExpired(); });
}

WakeupTimer::~WakeupTimer() {
  this->Notifier.reset();
  close(this->Timer);
}

void WakeupTimer::wakeAt(TimePoint Due, WaitPoint *Point) {
  this->Pending.emplace(Due, Point);
  this->arm();
}

void WakeupTimer::cancel(WaitPoint *Point) {
  std::erase_if(this->Pending,
                [Point](const auto &Entry) { return Entry.second == Point; });
}

void WakeupTimer::onExpired() {
  std::uint64_t Expirations = 0;
  [[maybe_unused]] const ssize_t Count =
      read(this->Timer, &Expirations, sizeof(Expirations));
  this->ArmedFor = NoDeadline;
  const TimePoint Now = steadyNow();
  while (!this->Pending.empty() && this->Pending.begin()->first <= Now) {
    WaitPoint *Point = this->Pending.begin()->second;
    this->Pending.erase(this->Pending.begin());
    Point->wake();
  }
  this->arm();
}

void WakeupTimer::arm() {
  if (this->Pending.empty() || this->Pending.begin()->first >= this->ArmedFor)
    return;
  this->ArmedFor = this->Pending.begin()->first;
  // The steady clock is CLOCK_MONOTONIC on this platform. The time is at least
  // 1 µs because a zero time would disarm the timerfd.
  constexpr std::int64_t MicrosecondsPerSecond = 1000000;
  const std::int64_t At =
      std::max<std::int64_t>(this->ArmedFor.time_since_epoch().count(), 1);
  itimerspec Time = {};
  Time.it_value.tv_sec = At / MicrosecondsPerSecond;
  Time.it_value.tv_nsec = At % MicrosecondsPerSecond * 1000;
  timerfd_settime(this->Timer, TFD_TIMER_ABSTIME, &Time, nullptr);
}

} // namespace amaranthspur::fault
