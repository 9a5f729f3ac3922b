#include "testing/fault-proxy/Alarm.h"

#include <sys/timerfd.h>
#include <unistd.h>

#include <cstdint>
#include <cstdlib>

namespace amaranthspur::fault {

Alarm::Alarm()
    : Timer(timerfd_create(CLOCK_MONOTONIC, TFD_CLOEXEC | TFD_NONBLOCK)) {
  if (this->Timer < 0)
    std::abort();
  this->Notifier =
      std::make_unique<QSocketNotifier>(this->Timer, QSocketNotifier::Read);
  QObject::connect(this->Notifier.get(), &QSocketNotifier::activated,
                   this->Notifier.get(), [this] { this->ring(); });
}

Alarm::~Alarm() {
  this->Notifier.reset();
  close(this->Timer);
}

void Alarm::wakeAt(TimePoint Due, WaitPoint *Point) {
  this->Pending.emplace(Due, Point);
  this->arm();
}

void Alarm::forget(WaitPoint *Point) {
  std::erase_if(this->Pending,
                [Point](const auto &Entry) { return Entry.second == Point; });
}

void Alarm::ring() {
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

void Alarm::arm() {
  if (this->Pending.empty() || this->Pending.begin()->first >= this->ArmedFor)
    return;
  this->ArmedFor = this->Pending.begin()->first;
  // The steady clock is CLOCK_MONOTONIC here. A zero time would disarm.
  constexpr std::int64_t MicrosecondsPerSecond = 1000000;
  const std::int64_t At =
      std::max<std::int64_t>(this->ArmedFor.time_since_epoch().count(), 1);
  itimerspec Time = {};
  Time.it_value.tv_sec = At / MicrosecondsPerSecond;
  Time.it_value.tv_nsec = At % MicrosecondsPerSecond * 1000;
  timerfd_settime(this->Timer, TFD_TIMER_ABSTIME, &Time, nullptr);
}

} // namespace amaranthspur::fault
