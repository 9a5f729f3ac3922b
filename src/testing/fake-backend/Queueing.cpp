#include "testing/fake-backend/Queueing.h"

#include <algorithm>

namespace amaranthspur::fake {

void FifoSemaphore::noteGrant(Duration Wait) {
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

QCoro::Task<bool> FifoSemaphore::acquire(Patience &Caller, TimePoint Deadline) {
  if (this->tryAcquire())
    co_return true;
  Waiter Self{&Caller, steadyNow()};
  this->Waiters.push_back(&Self);
  while (!Self.Granted && !Caller.GivenUp && steadyNow() < Deadline)
    co_await Caller.Point.wait(Deadline);
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
  this->noteGrant(steadyNow() - First->Since);
  First->Caller->Point.wake();
}

Duration FifoSemaphore::waitTime(TimePoint Now) const {
  Duration Wait = Duration::zero();
  if (!this->Waiters.empty())
    Wait = Now - this->Waiters.front()->Since;
  if (Now - this->LastGrant <= RecentTime)
    Wait = std::max(Wait, this->LastWait);
  return Wait;
}

QCoro::Task<bool> WriteLock::acquire(const void *Session, Patience &Caller,
                                     TimePoint Deadline) {
  const bool Granted = co_await this->Queue.acquire(Caller, Deadline);
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
