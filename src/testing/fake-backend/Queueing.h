// FIFO queues for execution slots and for the database's write lock.
#ifndef AMARANTHSPUR_TESTING_FAKE_BACKEND_QUEUEING_H
#define AMARANTHSPUR_TESTING_FAKE_BACKEND_QUEUEING_H

#include "core/Async.h"

#include <QCoroTask>

#include <list>

namespace amaranthspur::fake {

/// What a task waits with: its wait point, which is also woken to make it give
/// up, and the mark that says so.
struct Patience {
  WaitPoint Point;
  bool GivenUp = false;

  void giveUp() {
    this->GivenUp = true;
    this->Point.wake();
  }
};

/// A counting semaphore that is granted in the order of the requests.
class FifoSemaphore {
public:
  explicit FifoSemaphore(unsigned Capacity) : Free(Capacity) {}

  /// Takes a unit if one is free and no task waits.
  bool tryAcquire();

  /// Waits for a unit.
  /// \returns false if \p Deadline passes or \p Caller gives up first.
  QCoro::Task<bool> acquire(Patience &Caller, TimePoint Deadline);

  /// Gives a unit back, to the task that has waited longest.
  void release();

  /// Returns how long units are waited for: the larger of the longest wait that
  /// is going on and the wait of the last grant, if that was within
  /// RecentTime.
  Duration waitTime(TimePoint Now) const;

  unsigned used() const { return this->Used; }

  static constexpr Duration RecentTime = milliseconds(200);

private:
  struct Waiter {
    Patience *Caller;
    TimePoint Since;
    bool Granted = false;
  };

  void noteGrant(Duration Wait);

  unsigned Free;
  unsigned Used = 0;
  std::list<Waiter *> Waiters;
  Duration LastWait{};
  TimePoint LastGrant{};
};

/// The write lock of the database, which one session holds at a time. It can be
/// taken away from its holder, who notices by heldBy().
class WriteLock {
public:
  bool heldBy(const void *Session) const { return this->Holder == Session; }

  /// Waits for the lock; see FifoSemaphore::acquire.
  QCoro::Task<bool> acquire(const void *Session, Patience &Caller,
                            TimePoint Deadline);

  /// Gives the lock back if \p Session holds it.
  void release(const void *Session);

  /// Takes the lock from its holder, if there is one.
  void revoke();

private:
  FifoSemaphore Queue{1};
  const void *Holder = nullptr;
};

} // namespace amaranthspur::fake

#endif // AMARANTHSPUR_TESTING_FAKE_BACKEND_QUEUEING_H
