// Synchronisation of coroutine tasks.
//
// A task is a QCoro::Task<> coroutine that runs on the thread of the event
// loop. It waits with co_await on a WaitPoint, optionally with a deadline. A
// wake-up does not resume the waiting task immediately. It appends the task to
// the ready list, which the event loop processes, so that the code that wakes a
// task is never re-entered.
//
// The classes are not thread-safe; each object is used in one thread only. A
// wake-up costs one list entry. A deadline costs one entry in an ordered set,
// not a timer of its own.
#ifndef AMARANTHSPUR_CORE_ASYNC_H
#define AMARANTHSPUR_CORE_ASYNC_H

#include "core/Clock.h"

#include <coroutine>
#include <cstddef>
#include <deque>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include <QCoroTask>
#include <QObject>
#include <QTimer>

namespace amaranthspur {

/// The deadline of a wait without a time limit.
inline constexpr TimePoint NoDeadline = TimePoint::max();

/// Returns the current time of the steady clock.
TimePoint steadyNow();

class WaitPoint;

namespace detail {

/// Resumes waiting tasks from the event loop of its thread.
class TaskScheduler final : public QObject {
public:
  /// Returns the scheduler of the current thread. The first call creates it.
  static TaskScheduler &instance();

  /// Schedules \p Task to be resumed from the event loop.
  void makeReady(std::coroutine_handle<> Task);
  /// Makes the wait at \p Point end at \p Deadline.
  void addDeadline(TimePoint Deadline, WaitPoint *Point);
  /// Cancels the deadline of a wait that has ended.
  void removeDeadline(TimePoint Deadline, WaitPoint *Point);

protected:
  bool event(QEvent *E) override;

private:
  TaskScheduler();
  void runReady();
  void expireDeadlines();
  void armTimer();

  std::vector<std::coroutine_handle<>> Ready;
  std::set<std::pair<TimePoint, WaitPoint *>> Deadlines;
  QTimer Timer;
  TimePoint TimerExpiry = NoDeadline; ///< Of Timer; NoDeadline if not active.
  bool EventPosted = false; ///< An event to run the ready tasks is queued.
};

} // namespace detail

/// An auto-reset event for one task, which waits until it is woken or until its
/// deadline passes.
///
/// A wake-up while no task waits ends the next wait at once, so no wake-up is
/// lost. Several wake-ups before a wait count as one.
/// Invariant: at most one task waits. The object must outlive the wait.
class WaitPoint {
public:
  WaitPoint() = default;
  WaitPoint(const WaitPoint &) = delete;
  WaitPoint &operator=(const WaitPoint &) = delete;
  ~WaitPoint();

  /// Wakes the waiting task, or ends the next wait if no task is waiting. Never
  /// blocks.
  void wake();

  /// Returns an awaitable whose result is true if the task was woken, and false
  /// if \p Deadline passed first.
  auto wait(TimePoint Deadline = NoDeadline) {
    return Awaiter{*this, Deadline};
  }

private:
  friend class detail::TaskScheduler;

  struct Awaiter {
    WaitPoint &Point;
    TimePoint Deadline;

    bool await_ready() const noexcept { return this->Point.WakePending; }
    void await_suspend(std::coroutine_handle<> Task) {
      this->Point.suspend(Task, this->Deadline);
    }
    bool await_resume() noexcept {
      return std::exchange(this->Point.WakePending, false);
    }
  };

  /// Registers \p Task as the waiting task.
  void suspend(std::coroutine_handle<> Task, TimePoint Until);
  /// Ends the wait because its deadline has passed.
  void expire();
  /// Unregisters the waiting task and its deadline.
  void clearWaiter();

  std::coroutine_handle<> Waiter;
  TimePoint Deadline = NoDeadline;
  bool WakePending = false; ///< A wake-up that no wait has consumed yet.
};

/// Awaitable that resumes the task after a delay.
class Sleep {
public:
  explicit Sleep(Duration Delay) : Until(steadyNow() + Delay) {}
  bool await_ready() const noexcept { return false; }
  void await_suspend(std::coroutine_handle<> Task);
  void await_resume() const noexcept {}

private:
  TimePoint Until;
};

/// Returns an awaitable that resumes the task after \p Delay.
inline Sleep sleepFor(Duration Delay) { return Sleep(Delay); }

/// A condition variable for tasks: any number of tasks wait for the next
/// notifyAll(). A notification while no task waits has no effect.
class TaskCondition {
public:
  /// Waits for the next notifyAll().
  /// \returns false if \p Deadline passed first.
  QCoro::Task<bool> wait(TimePoint Deadline = NoDeadline);

  /// Wakes all tasks that are waiting.
  void notifyAll();

  /// Returns the number of waiting tasks.
  std::size_t waiting() const { return this->Waiting.size(); }

private:
  std::vector<WaitPoint *> Waiting;
};

/// Counts the tasks that use an object, so that the owner can wait until they
/// have ended before it destroys the object. Each task holds a Guard while it
/// runs.
class TaskGroup {
public:
  /// Counts one task for as long as it exists.
  class Guard {
  public:
    explicit Guard(TaskGroup &Group) : Group(Group) { ++this->Group.Count; }
    Guard(const Guard &) = delete;
    Guard &operator=(const Guard &) = delete;
    ~Guard() {
      if (--this->Group.Count == 0)
        this->Group.BecameEmpty.notifyAll();
    }

  private:
    TaskGroup &Group;
  };

  /// Returns the number of tasks in the group.
  std::size_t size() const { return this->Count; }

  /// Waits until no task is in the group.
  /// \returns false if \p Deadline passed first.
  QCoro::Task<bool> waitUntilEmpty(TimePoint Deadline = NoDeadline);

private:
  std::size_t Count = 0;
  TaskCondition BecameEmpty;
};

/// A bounded queue with a single consumer task.
template <typename T> class AsyncQueue {
public:
  /// \param Capacity maximum number of entries.
  explicit AsyncQueue(std::size_t Capacity) : Capacity(Capacity) {}

  /// Appends \p Item. If the queue is full or closed, drops \p Item and returns
  /// false.
  bool push(T Item) {
    if (this->Closed || this->Items.size() >= this->Capacity)
      return false;
    this->Items.push_back(std::move(Item));
    this->Point.wake();
    return true;
  }

  /// Closes the queue. Entries in it can still be removed with tryPop(), but no
  /// entry can be added.
  void close() {
    this->Closed = true;
    this->Point.wake();
  }

  /// Removes and returns the first entry, or returns nothing if the queue is
  /// empty. Never waits.
  std::optional<T> tryPop() {
    if (this->Items.empty())
      return std::nullopt;
    T Item = std::move(this->Items.front());
    this->Items.pop_front();
    return Item;
  }

  /// Returns an awaitable whose result is true when an entry may be available
  /// or the queue was closed, and false if \p Deadline passed first. A wake-up
  /// may be spurious, so call it in a loop with tryPop().
  auto waitReady(TimePoint Deadline = NoDeadline) {
    return this->Point.wait(Deadline);
  }

  bool closed() const { return this->Closed; }
  std::size_t size() const { return this->Items.size(); }

private:
  std::size_t Capacity;
  std::deque<T> Items;
  WaitPoint Point;
  bool Closed = false;
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_CORE_ASYNC_H
