// A clock that counts the time for which the machine was suspended.
#ifndef AMARANTHSPUR_CORE_BOOTCLOCK_H
#define AMARANTHSPUR_CORE_BOOTCLOCK_H

#include "core/Clock.h"

#include <ctime>

namespace amaranthspur {

/// Returns the time since boot, suspension included (CLOCK_BOOTTIME).
///
/// Ages that bound what a caller may see are taken from this clock: after a
/// suspension the steady clock would make old knowledge look fresh. Its time
/// points are not to be mixed with those of steadyNow().
inline TimePoint bootNow() {
  timespec Now{};
  clock_gettime(CLOCK_BOOTTIME, &Now);
  return TimePoint(std::chrono::seconds(Now.tv_sec) +
                   std::chrono::duration_cast<Duration>(
                       std::chrono::nanoseconds(Now.tv_nsec)));
}

} // namespace amaranthspur

#endif // AMARANTHSPUR_CORE_BOOTCLOCK_H
