#include "core/Async.h"

#include <QCoreApplication>
#include <QEvent>

#include <cassert>

namespace amaranthspur {

TimePoint steadyNow() { return SteadyClock().now(); }

namespace detail {

TaskScheduler &TaskScheduler::instance() {
  static thread_local TaskScheduler Scheduler;
  return Scheduler;
}

TaskScheduler::TaskScheduler() {
  this->Timer.setSingleShot(true);
  this->Timer.setTimerType(Qt::PreciseTimer);
  QObject::connect(&this->Timer, &QTimer::timeout, this,
                   [this] { this->expireDeadlines(); });
}

void TaskScheduler::makeReady(std::coroutine_handle<> Task) {
  this->Ready.push_back(Task);
  if (std::exchange(this->EventPosted, true))
    return;
  QCoreApplication::postEvent(this, new QEvent(QEvent::User));
}

bool TaskScheduler::event(QEvent *E) {
  if (E->type() != QEvent::User)
    return QObject::event(E);
  this->runReady();
  return true;
}

void TaskScheduler::runReady() {
  // Tasks that become ready during this batch run in the next one, so that the
  // event loop can process sockets in between.
  std::vector<std::coroutine_handle<>> Batch;
  Batch.swap(this->Ready);
  this->EventPosted = false;
  for (const std::coroutine_handle<> Task : Batch)
    Task.resume();
}

void TaskScheduler::addDeadline(TimePoint Deadline, WaitPoint *Point) {
  this->Deadlines.emplace(Deadline, Point);
  this->armTimer();
}

void TaskScheduler::removeDeadline(TimePoint Deadline, WaitPoint *Point) {
  // The timer is not changed. An unneeded expiry costs less than restarting the
  // timer for each statement.
  this->Deadlines.erase({Deadline, Point});
}

void TaskScheduler::expireDeadlines() {
  this->TimerExpiry = NoDeadline;
  const TimePoint Now = steadyNow();
  while (!this->Deadlines.empty() && this->Deadlines.begin()->first <= Now)
    this->Deadlines.begin()->second->expire();
  this->armTimer();
}

void TaskScheduler::armTimer() {
  if (this->Deadlines.empty())
    return;
  const TimePoint First = this->Deadlines.begin()->first;
  if (First >= this->TimerExpiry)
    return;
  this->TimerExpiry = First;
  const Duration Delay = std::max(First - steadyNow(), Duration::zero());
  this->Timer.start(std::chrono::ceil<milliseconds>(Delay));
}

} // namespace detail

WaitPoint::~WaitPoint() {
  assert(!this->Waiter && "WaitPoint destroyed while a task waits at it");
  this->clearWaiter();
}

void WaitPoint::wake() {
  if (std::exchange(this->WakePending, true) || !this->Waiter)
    return;
  const std::coroutine_handle<> Task = this->Waiter;
  this->clearWaiter();
  detail::TaskScheduler::instance().makeReady(Task);
}

void WaitPoint::suspend(std::coroutine_handle<> Task, TimePoint Until) {
  assert(!this->Waiter && "two tasks wait at the same WaitPoint");
  this->Waiter = Task;
  this->Deadline = Until;
  if (Until != NoDeadline)
    detail::TaskScheduler::instance().addDeadline(Until, this);
}

void WaitPoint::expire() {
  const std::coroutine_handle<> Task = this->Waiter;
  this->clearWaiter();
  detail::TaskScheduler::instance().makeReady(Task);
}

void WaitPoint::clearWaiter() {
  if (this->Waiter && this->Deadline != NoDeadline)
    detail::TaskScheduler::instance().removeDeadline(this->Deadline, this);
  this->Waiter = nullptr;
}

void Sleep::await_suspend(std::coroutine_handle<> Task) {
  const Duration Delay = std::max(this->Until - steadyNow(), Duration::zero());
  QTimer::singleShot(std::chrono::ceil<milliseconds>(Delay), Qt::PreciseTimer,
                     [Task] { Task.resume(); });
}

QCoro::Task<bool> TaskCondition::wait(TimePoint Deadline) {
  WaitPoint Point;
  this->Waiting.push_back(&Point);
  const bool Woken = co_await Point.wait(Deadline);
  std::erase(this->Waiting, &Point);
  co_return Woken;
}

void TaskCondition::notifyAll() {
  std::vector<WaitPoint *> Woken;
  Woken.swap(this->Waiting);
  for (WaitPoint *Point : Woken)
    Point->wake();
}

QCoro::Task<bool> TaskGroup::waitUntilEmpty(TimePoint Deadline) {
  while (this->Count > 0) {
    const bool Woken = co_await this->BecameEmpty.wait(Deadline);
    if (!Woken)
      co_return this->Count == 0;
  }
  co_return true;
}

} // namespace amaranthspur
