// The token bucket of one entry VM for one workspace.
//
// The bucket fills at a rate up to a burst; an operation takes one token
// (J. Turner, "New directions in communications", IEEE Communications Magazine
// 24(10), 1986). Both numbers change while it is in use. Capacity that is added
// starts empty, and tokens above a lowered capacity are discarded, so a change
// never adds operations.
#ifndef AMARANTHSPUR_POLICY_QUOTAS_QUOTABUCKET_H
#define AMARANTHSPUR_POLICY_QUOTAS_QUOTABUCKET_H

#include "policy/quotas/QuotaAmount.h"

#include <optional>

namespace amaranthspur {

/// A token bucket whose rate and burst change. All times are of one clock.
class QuotaBucket {
public:
  /// Sets rate and burst, and discards tokens above the burst.
  /// \returns how many were discarded.
  double resize(const QuotaAmount &Amount, TimePoint Now);
  /// Adds tokens, up to the burst.
  void add(double Tokens, TimePoint Now);
  /// Takes up to \p Tokens; returns how many were there.
  double take(double Tokens, TimePoint Now);
  /// Takes a token for one operation; returns whether there was one.
  bool spend(TimePoint Now);
  /// Stops the filling.
  void pause(TimePoint Now);
  /// Resumes the filling, if it was stopped.
  /// \returns the tokens that the time in between would have added to a bucket
  /// without a bound.
  double resume(TimePoint Now);

  double tokens(TimePoint Now) const;
  const QuotaAmount &capacity() const { return this->Capacity; }
  /// Returns the time until the next operation may run, or nothing if that
  /// never happens with the present capacity.
  std::optional<Duration> untilNext(TimePoint Now) const;

private:
  void fill(TimePoint Now);

  QuotaAmount Capacity;
  double Tokens = 0;
  std::optional<TimePoint> FilledAt;
  bool Paused = false;
  TimePoint PausedAt{};
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_POLICY_QUOTAS_QUOTABUCKET_H
