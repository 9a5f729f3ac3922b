// Bounds of the store's clock, which every answer about rows tells.
//
// The store's clock is steady and the same for all entry VMs. An answer was
// made between the sending of its request and its receipt, so at a later local
// time the store's clock shows at least its `now` plus the time since the
// receipt, and at most its `now` plus the time since the sending. Local times
// are of the boot clock (core/BootClock.h): after a suspension both bounds have
// advanced by its length. A slow answer only widens the bounds. The rates of
// the two clocks are taken to be the same, so an answer is used for a minute: a
// difference of 100 ppm adds 6 ms in that time.
#ifndef AMARANTHSPUR_POLICY_STORECLOCK_H
#define AMARANTHSPUR_POLICY_STORECLOCK_H

#include "core/Clock.h"

#include <cstdint>
#include <optional>

namespace amaranthspur {

/// What one entry VM knows of the store's clock.
class StoreClock {
public:
  /// Age from which an answer is not used any more.
  static constexpr Duration MaxAge = std::chrono::minutes(1);

  /// Records the answer to a request that was sent at \p SentAt.
  /// \param StoreMs the store's clock in the answer.
  void observe(std::int64_t StoreMs, TimePoint SentAt, TimePoint ReceivedAt) {
    this->Last = Answer{StoreMs, SentAt, ReceivedAt};
  }

  /// Returns what the store's clock shows at least at \p Now, or nothing if it
  /// is not known.
  std::optional<std::int64_t> earliest(TimePoint Now) const {
    if (!this->isKnown(Now))
      return std::nullopt;
    return this->Last->StoreMs +
           (Now - this->Last->ReceivedAt) / milliseconds(1);
  }

  /// Returns what the store's clock shows at most at \p Now, or nothing if it
  /// is not known.
  std::optional<std::int64_t> latest(TimePoint Now) const {
    // Both the clock of the answer and the quotient may be rounded down.
    constexpr std::int64_t Rounding = 2;
    if (!this->isKnown(Now))
      return std::nullopt;
    return this->Last->StoreMs + (Now - this->Last->SentAt) / milliseconds(1) +
           Rounding;
  }

private:
  bool isKnown(TimePoint Now) const {
    return this->Last && Now - this->Last->SentAt < MaxAge;
  }

  struct Answer {
    std::int64_t StoreMs = 0;
    TimePoint SentAt;
    TimePoint ReceivedAt;
  };
  std::optional<Answer> Last;
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_POLICY_STORECLOCK_H
