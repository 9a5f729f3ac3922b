// Clock that also advances while the machine is suspended.
#ifndef AMARANTHSPUR_CORE_BOOTCLOCK_H
#define AMARANTHSPUR_CORE_BOOTCLOCK_H

#include "core/Clock.h"

#include <ctime>

namespace amaranthspur {

/// Returns the time since boot, suspension included (CLOCK_BOOTTIME).
///
/// Staleness bounds are measured with this clock. The steady clock stops during
/// a suspension, so that outdated information would appear fresh afterwards.
/// Time points of this clock must not be mixed with those of steadyNow().
inline TimePoint bootNow() {
  timespec Now{};
  clock_gettime(CLOCK_BOOTTIME, &Now);
  return TimePoint(std::chrono::seconds(Now.tv_sec) +
                   std::chrono::duration_cast<Duration>(
                       std::chrono::nanoseconds(Now.tv_nsec)));
}

} // namespace amaranthspur

#endif // AMARANTHSPUR_CORE_BOOTCLOCK_H
