#include "policy/StoreHistory.h"

#include <algorithm>

namespace amaranthspur {

bool StoreHistory::observe(StoreVersion Seen, TimePoint Now) {
  if (this->Known && Seen.era() < this->era())
    return false;
  const bool Returned = this->Known && Seen.era() > this->era();
  this->Known = true;
  this->Newest = std::max(this->Newest, Seen);
  if (Returned) {
    this->ReturnedAt = Now;
    this->FirstSinceReturn.reset();
  }
  if (this->ReturnedAt && !this->FirstSinceReturn && Seen.exists())
    this->FirstSinceReturn = Seen;
  return Returned;
}

bool StoreHistory::isSinceReturn(StoreVersion Version) const {
  if (!this->ReturnedAt)
    return true;
  return this->FirstSinceReturn && Version > *this->FirstSinceReturn &&
         Version.era() == this->era();
}

} // namespace amaranthspur
