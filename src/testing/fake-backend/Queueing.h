// FIFO queues for execution slots and for the database's write lock.
#ifndef AMARANTHSPUR_TESTING_FAKE_BACKEND_QUEUEING_H
#define AMARANTHSPUR_TESTING_FAKE_BACKEND_QUEUEING_H

#include "core/Async.h"

#include <QCoroTask>

#include <list>

namespace amaranthspur::fake {

/// The wait point of a task and a flag that cancels its wait. Cancelling wakes
/// the wait point.
struct WaitContext {
  WaitPoint Point;
  bool Cancelled = false;

  void cancelWait() {
    this->Cancelled = true;
    this->Point.wake();
  }
};

/// A counting semaphore that serves requests in first-in, first-out order.
class FifoSemaphore {
public:
  explicit FifoSemaphore(unsigned Capacity) : Free(Capacity) {}

  /// Acquires a unit if one is free and no task is waiting.
  bool tryAcquire();

  /// Waits for a unit.
  /// \returns false if \p Deadline passes or \p Context is cancelled first.
  QCoro::Task<bool> acquire(WaitContext &Context, TimePoint Deadline);

  /// Releases a unit and grants it to the task that has waited longest, if any.
  void release();

  /// Returns the current queueing delay: the larger of the longest wait in
  /// progress and the wait before the last grant, if that grant happened within
  /// RecentTime.
  Duration waitTime(TimePoint Now) const;

  unsigned used() const { return this->Used; }

  static constexpr Duration RecentTime = milliseconds(200);

private:
  struct Waiter {
    WaitContext *Context;
    TimePoint Since;
    bool Granted = false;
  };

  void recordGrant(Duration Wait);

  unsigned Free;
  unsigned Used = 0;
  std::list<Waiter *> Waiters;
  Duration LastWait{};
  TimePoint LastGrant{};
};

/// The write lock of the database, held by at most one session. The lock can be
/// revoked; a session detects that with heldBy().
class WriteLock {
public:
  bool heldBy(const void *Session) const { return this->Holder == Session; }

  /// Waits for the lock; see FifoSemaphore::acquire.
  QCoro::Task<bool> acquire(const void *Session, WaitContext &Context,
                            TimePoint Deadline);

  /// Releases the lock if \p Session holds it.
  void release(const void *Session);

  /// Releases the lock on behalf of its holder, if there is one.
  void revoke();

private:
  FifoSemaphore Queue{1};
  const void *Holder = nullptr;
};

} // namespace amaranthspur::fake

#endif // AMARANTHSPUR_TESTING_FAKE_BACKEND_QUEUEING_H
