// Time types and clocks.
//
// Code that makes decisions never reads a clock but gets the current time as a
// TimePoint argument. A TimePoint is monotonic and is meaningful only on the
// entry VM that created it, so messages between entry VMs carry a Duration
// instead.
#ifndef AMARANTHSPUR_CORE_CLOCK_H
#define AMARANTHSPUR_CORE_CLOCK_H

#include <chrono>
#include <cstdint>

namespace amaranthspur {

using Duration = std::chrono::microseconds;
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;
using std::chrono::milliseconds;

/// Source of the current time.
class Clock {
public:
  virtual ~Clock() = default;
  /// Returns the current time.
  virtual TimePoint now() const = 0;
};

/// The steady clock of the operating system.
class SteadyClock final : public Clock {
public:
  TimePoint now() const override {
    return std::chrono::time_point_cast<Duration>(
        std::chrono::steady_clock::now());
  }
};

/// A clock for tests that advances only by calls of advance().
class ManualClock final : public Clock {
public:
  TimePoint now() const override { return this->Current; }
  /// Advances the clock by \p By.
  void advance(Duration By) { this->Current += By; }

private:
  TimePoint Current{std::chrono::seconds(1000)};
};

/// Returns \p D in milliseconds, including the fraction.
inline double toMilliseconds(Duration D) {
  return static_cast<double>(D.count()) / 1000.0;
}

} // namespace amaranthspur

#endif // AMARANTHSPUR_CORE_CLOCK_H
