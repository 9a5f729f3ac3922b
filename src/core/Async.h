// Waiting in tasks.
//
// A task is a QCoro::Task<> coroutine on the thread of the event loop. It waits
// by co_await on a WaitPoint, with a deadline. Waking is never immediate: the
// waiter is put on the ready list and resumed from the event loop, so that the
// code that wakes it is not re-entered.
//
// Everything here belongs to one thread and is not thread-safe. Waking costs a
// list entry; a deadline costs one entry in an ordered tree, not a timer.
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

/// A deadline that never comes.
inline constexpr TimePoint NoDeadline = TimePoint::max();

/// Returns the current time of the steady clock.
TimePoint steadyNow();

class WaitPoint;

namespace detail {

/// Resumes waiting tasks from the event loop of its thread.
class TaskScheduler final : public QObject {
public:
  /// Returns the scheduler of this thread; made at the first call.
  static TaskScheduler &instance();

  void makeReady(std::coroutine_handle<> Task);
  void addDeadline(TimePoint Deadline, WaitPoint *Point);
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
  TimePoint ArmedFor = NoDeadline;
  bool Posted = false;
};

} // namespace detail

/// A place where one task waits until it is woken or its deadline passes.
///
/// A wake-up while no task waits is kept for the next wait, so none is lost.
/// Invariant: at most one task waits. The point outlives the wait.
class WaitPoint {
public:
  WaitPoint() = default;
  WaitPoint(const WaitPoint &) = delete;
  WaitPoint &operator=(const WaitPoint &) = delete;
  ~WaitPoint();

  /// Wakes the waiting task, or the next one that waits. Never blocks.
  void wake();

  /// Awaitable: true if woken, false if \p Deadline passed first.
  auto wait(TimePoint Deadline = NoDeadline) {
    return Awaiter{*this, Deadline};
  }

private:
  friend class detail::TaskScheduler;

  struct Awaiter {
    WaitPoint &Point;
    TimePoint Deadline;

    bool await_ready() const noexcept { return this->Point.Pending; }
    void await_suspend(std::coroutine_handle<> Task) {
      this->Point.suspend(Task, this->Deadline);
    }
    bool await_resume() noexcept {
      return std::exchange(this->Point.Pending, false);
    }
  };

  void suspend(std::coroutine_handle<> Task, TimePoint Until);
  void expire();
  void release();

  std::coroutine_handle<> Waiter;
  TimePoint Deadline = NoDeadline;
  bool Pending = false;
};

/// Awaitable that resumes the task after \p Delay.
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

/// A place where any number of tasks wait for the next notifyAll().
class Signal {
public:
  /// Waits for the next notifyAll(); false if \p Deadline passed first.
  QCoro::Task<bool> wait(TimePoint Deadline = NoDeadline);

  /// Wakes all tasks that wait now.
  void notifyAll();

  /// Returns how many tasks wait.
  std::size_t waiting() const { return this->Waiting.size(); }

private:
  std::vector<WaitPoint *> Waiting;
};

/// Counts the tasks that use an object, so that the object can be kept until
/// they have ended. A task holds a Guard while it runs.
class TaskGroup {
public:
  class Guard {
  public:
    explicit Guard(TaskGroup &Group) : Group(Group) { ++this->Group.Count; }
    Guard(const Guard &) = delete;
    Guard &operator=(const Guard &) = delete;
    ~Guard() {
      if (--this->Group.Count == 0)
        this->Group.Ended.notifyAll();
    }

  private:
    TaskGroup &Group;
  };

  std::size_t size() const { return this->Count; }

  /// Waits until no task is in the group; false if \p Deadline passed first.
  QCoro::Task<bool> empty(TimePoint Deadline = NoDeadline);

private:
  std::size_t Count = 0;
  Signal Ended;
};

/// A bounded queue with one task that takes from it.
template <typename T> class AsyncQueue {
public:
  /// \param Capacity most entries that are held.
  explicit AsyncQueue(std::size_t Capacity) : Capacity(Capacity) {}

  /// Appends \p Item; returns false and drops it if the queue is full or
  /// closed.
  bool push(T Item) {
    if (this->Closed || this->Items.size() >= this->Capacity)
      return false;
    this->Items.push_back(std::move(Item));
    this->Point.wake();
    return true;
  }

  /// Ends the queue: what is queued can still be taken, then pop gives nothing.
  void close() {
    this->Closed = true;
    this->Point.wake();
  }

  /// Returns the first entry without waiting, or nothing.
  std::optional<T> tryPop() {
    if (this->Items.empty())
      return std::nullopt;
    T Item = std::move(this->Items.front());
    this->Items.pop_front();
    return Item;
  }

  /// Awaitable that returns when an entry may be there, the queue was closed
  /// (true), or the deadline passed (false). Call tryPop in a loop around it.
  auto ready(TimePoint Deadline = NoDeadline) {
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
