// Decides until when the statements of one group that need its primary may
// wait for it, and when they are refused immediately.
//
// A takeover takes 1.5 to 2 s, and every other entry VM would refuse meanwhile,
// so a statement waits and is served late. An outage that lasts longer does not
// end by a takeover that is on its way: the statements would wait until their
// deadlines, and the callers would have no time left for another attempt. They
// are then refused as not run until a primary is usable again.
//
// The class sends no messages and reads no clock; times are of the steady
// clock.
#ifndef AMARANTHSPUR_POLICY_PRIMARYWAIT_H
#define AMARANTHSPUR_POLICY_PRIMARYWAIT_H

#include "core/Clock.h"
#include "core/Random.h"
#include "policy/GroupBeliefs.h"
#include "policy/Statement.h"

#include <compare>
#include <optional>

namespace amaranthspur {

/// What a statement needs of the primary. A primary may be usable for one need
/// and not for another one: under an open takeover it runs reads only.
struct PrimaryNeed {
  Access Mode = Access::Read;
  bool KnownTerm = false; ///< Its term must be known, for a proof.

  auto operator<=>(const PrimaryNeed &) const = default;
};

/// The waits of the statements with one need.
class PrimaryWait {
public:
  /// How long an outage may last before statements are refused. A takeover
  /// takes 1.5 to 2 s.
  static constexpr Duration Period = std::chrono::seconds(3);
  /// An outage that no statement has met for this time is forgotten, because
  /// beliefs about an unused group are not refreshed. Callers that were refused
  /// return within MinRetry + RetrySpread.
  static constexpr Duration UnusedLimit = std::chrono::seconds(5);
  /// The shortest time after which a refused caller is told to retry, and the
  /// range of the random time that is added. Statements that have waited are
  /// refused at the same moment and would otherwise return together.
  static constexpr Duration MinRetry = milliseconds(250);
  static constexpr Duration RetrySpread = std::chrono::seconds(1);

  /// Records that a statement found no usable primary.
  /// \param Believed the believed primary, if there is one.
  void observeNeed(const std::optional<BelievedPrimary> &Believed,
                   TimePoint Now);
  /// Records, during an outage, which primary is believed now. Another one, or
  /// a later term, is a sign of a takeover in progress.
  void observeBelief(const std::optional<BelievedPrimary> &Believed,
                     TimePoint Now);
  /// Records a sign of a takeover in progress, for example that a promotion was
  /// ordered. The first one in an outage starts a new period.
  void observeTakeover(TimePoint Now);
  /// Records that \p Leader is usable, which ends an outage.
  void observeUsable(const BelievedPrimary &Leader);
  /// Ends an outage that no statement has met for UnusedLimit.
  void forgetUnused(TimePoint Now);

  /// Returns whether the primary is not usable, as far as was observed.
  bool isOutage() const { return this->Current.has_value(); }
  /// Returns whether statements are refused immediately.
  bool isRefusing(TimePoint Now) const {
    return this->Current && Now >= this->Current->RefuseFrom;
  }

  /// Returns until when a statement whose answer is due by \p Deadline may
  /// wait. Takeovers that end in time are waited for up to that: a shorter wait
  /// would refuse statements that are served late otherwise.
  TimePoint waitUntil(TimePoint Deadline) const;

  /// Returns the time after which a refused caller is told to retry.
  static Duration retryAfter(Random &Rng);

private:
  struct Outage {
    TimePoint RefuseFrom;
    TimePoint LastNeed;
    bool Extended = false; ///< A sign of a takeover has started a new period.
  };

  std::optional<Outage> Current;
  std::optional<BelievedPrimary> Known; ///< The last that was believed.
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_POLICY_PRIMARYWAIT_H
