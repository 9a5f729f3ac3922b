// A timer that wakes tasks with microsecond precision.
//
// Qt's timers have a resolution of 1 ms, which is too coarse for the delays of
// about 1 ms that links have.
#ifndef AMARANTHSPUR_TESTING_FAULT_PROXY_WAKEUPTIMER_H
#define AMARANTHSPUR_TESTING_FAULT_PROXY_WAKEUPTIMER_H

#include "core/Async.h"

#include <QSocketNotifier>

#include <memory>
#include <set>
#include <utility>

namespace amaranthspur::fault {

/// Wakes wait points at given times by means of one timerfd. Not thread-safe.
class WakeupTimer {
public:
  WakeupTimer();
  WakeupTimer(const WakeupTimer &) = delete;
  WakeupTimer &operator=(const WakeupTimer &) = delete;
  ~WakeupTimer();

  /// Wakes \p Point once at \p Due. The caller must call cancel() before
  /// \p Point is destroyed.
  void wakeAt(TimePoint Due, WaitPoint *Point);

  /// Cancels all pending wake-ups of \p Point.
  void cancel(WaitPoint *Point);

private:
  void onExpired();
  /// Arms the timerfd for the earliest pending wake-up.
  void arm();

  int Timer;
  std::unique_ptr<QSocketNotifier> Notifier;
  std::set<std::pair<TimePoint, WaitPoint *>> Pending;
  TimePoint ArmedFor = NoDeadline;
};

} // namespace amaranthspur::fault

#endif // AMARANTHSPUR_TESTING_FAULT_PROXY_WAKEUPTIMER_H
