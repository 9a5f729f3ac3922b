// Time as an argument.
//
// Decisions never read a clock; they take a TimePoint. Time is steady (it never
// goes back) and has a meaning on one entry VM alone: what crosses the wire is
// a Duration.
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

/// A clock for tests that moves only when it is told to.
class ManualClock final : public Clock {
public:
  TimePoint now() const override { return this->Current; }
  void advance(Duration By) { this->Current += By; }

private:
  TimePoint Current{std::chrono::seconds(1000)};
};

/// Returns \p D in milliseconds with fractions.
inline double toMilliseconds(Duration D) {
  return static_cast<double>(D.count()) / 1000.0;
}

} // namespace amaranthspur

#endif // AMARANTHSPUR_CORE_CLOCK_H
