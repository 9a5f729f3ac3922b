// Wake-ups with the precision of microseconds.
//
// Qt's timers count milliseconds, which is too coarse for delays of 1 ms.
#ifndef AMARANTHSPUR_TESTING_FAULT_PROXY_ALARM_H
#define AMARANTHSPUR_TESTING_FAULT_PROXY_ALARM_H

#include "core/Async.h"

#include <QSocketNotifier>

#include <memory>
#include <set>
#include <utility>

namespace amaranthspur::fault {

/// Wakes wait points at given times, by one timerfd. Used by one thread.
class Alarm {
public:
  Alarm();
  Alarm(const Alarm &) = delete;
  Alarm &operator=(const Alarm &) = delete;
  ~Alarm();

  /// Wakes \p Point once at \p Due; forget() must be called before it ends.
  void wakeAt(TimePoint Due, WaitPoint *Point);

  /// Takes back all wake-ups of \p Point.
  void forget(WaitPoint *Point);

private:
  void ring();
  void arm();

  int Timer;
  std::unique_ptr<QSocketNotifier> Notifier;
  std::set<std::pair<TimePoint, WaitPoint *>> Pending;
  TimePoint ArmedFor = NoDeadline;
};

} // namespace amaranthspur::fault

#endif // AMARANTHSPUR_TESTING_FAULT_PROXY_ALARM_H
