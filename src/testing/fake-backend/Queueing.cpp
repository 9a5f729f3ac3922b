#include "testing/fake-backend/Queueing.h"

#include <algorithm>

namespace amaranthspur::fake {

void FifoSemaphore::recordGrant(Duration Wait) {
  this->LastWait = Wait;
  this->LastGrant = steadyNow();
}

bool FifoSemaphore::tryAcquire() {
  if (this->Free == 0 || !this->Waiters.empty())
    return false;
  --this->Free;
  ++this->Used;
  this->LastWait = Duration::zero();
  return true;
}

QCoro::Task<bool> FifoSemaphore::acquire(WaitContext &Context,
                                         TimePoint Deadline) {
  if (this->tryAcquire())
    co_return true;
  Waiter Self{&Context, steadyNow()};
  this->Waiters.push_back(&Self);
  while (!Self.Granted && !Context.Cancelled && steadyNow() < Deadline)
    co_await Context.Point.wait(Deadline);
  if (Self.Granted)
    co_return true;
  this->Waiters.remove(&Self);
  co_return false;
}

void FifoSemaphore::release() {
  if (this->Waiters.empty()) {
    ++this->Free;
    --this->Used;
    return;
  }
  Waiter *First = this->Waiters.front();
  this->Waiters.pop_front();
  First->Granted = true;
  this->recordGrant(steadyNow() - First->Since);
  First->Context->Point.wake();
}

Duration FifoSemaphore::waitTime(TimePoint Now) const {
  Duration Wait = Duration::zero();
  if (!this->Waiters.empty())
    Wait = Now - this->Waiters.front()->Since;
  if (Now - this->LastGrant <= RecentTime)
    Wait = std::max(Wait, this->LastWait);
  return Wait;
}

QCoro::Task<bool> WriteLock::acquire(const void *Session, WaitContext &Context,
                                     TimePoint Deadline) {
  const bool Granted = co_await this->Queue.acquire(Context, Deadline);
  if (Granted)
    this->Holder = Session;
  co_return Granted;
}

void WriteLock::release(const void *Session) {
  if (this->Holder == Session)
    this->revoke();
}

void WriteLock::revoke() {
  if (std::exchange(this->Holder, nullptr) != nullptr)
    this->Queue.release();
}

} // namespace amaranthspur::fake
