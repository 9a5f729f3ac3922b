// The decisions of a takeover: why a group needs another primary, which server
// becomes the primary, and when it may be promoted.
//
// The caller maintains these invariants with the functions below:
//  - All servers of the group except the old primary and the target have
//    adopted the next term, and there is at least one such server.
//  - The target's log reaches at least as far as the log of each of these
//    servers did at its adoption.
// Every commit that is acknowledged before the promotion takes effect is then
// in the target's log. If it was acknowledged before the adoptions, the target
// or an adopter holds it; after the adoptions, only the target can still
// receive and acknowledge commits of the old primary. This requires that a
// commit is acknowledged only after one replica holds it.
#ifndef AMARANTHSPUR_POLICY_TAKEOVER_H
#define AMARANTHSPUR_POLICY_TAKEOVER_H

#include "policy/GroupBeliefs.h"

#include <array>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace amaranthspur {

/// The reason why a group needs another primary.
enum class TakeoverReason {
  None,
  PrimaryUnreachable,
  PrimaryLeaving,
  PrimaryIsolated, ///< No replica receives the commits of the primary.
  PrimaryMissing,  ///< No server of the group is the primary.
};

template <> struct EnumNames<TakeoverReason> {
  static constexpr auto Entries =
      std::to_array<std::pair<TakeoverReason, std::string_view>>(
          {{TakeoverReason::None, "none"},
           {TakeoverReason::PrimaryUnreachable, "primary-unreachable"},
           {TakeoverReason::PrimaryLeaving, "primary-leaving"},
           {TakeoverReason::PrimaryIsolated, "primary-isolated"},
           {TakeoverReason::PrimaryMissing, "primary-missing"}});
};

/// The result of a promotion request.
enum class PromotionOutcome {
  Accepted, ///< The target will soon be the primary of the next term.
  Refused,  ///< No effect; for example, the target is not running.
  NotDone,  ///< Refused temporarily, without effect; may be retried.
  Unknown,  ///< No response; it may have had or may still have an effect.
};

template <> struct EnumNames<PromotionOutcome> {
  static constexpr auto Entries =
      std::to_array<std::pair<PromotionOutcome, std::string_view>>(
          {{PromotionOutcome::Accepted, "accepted"},
           {PromotionOutcome::Refused, "refused"},
           {PromotionOutcome::NotDone, "not-done"},
           {PromotionOutcome::Unknown, "unknown"}});
};

/// One server of a group, as input to planTakeover().
struct TakeoverServer {
  ServerId Id;
  bool Draining = false;
  bool OldPrimary = false;
  Distance DistanceFromHere = Distance::SameDataCentre; ///< From this entry VM.
  std::optional<ServerReport> Report; ///< Nothing if it did not answer.
};

/// The steps of a takeover.
struct TakeoverPlan {
  ServerId Target;                ///< The server to promote in NextTerm.
  std::vector<ServerId> Adopters; ///< Have to adopt NextTerm beforehand.
  Term NextTerm = 0;              ///< The next term, above all reported ones.
};

/// The reason why a takeover is not possible now.
struct TakeoverRefusal {
  std::string Reason;
};

/// Plans a takeover from reports that have just been requested.
std::variant<TakeoverPlan, TakeoverRefusal>
planTakeover(const std::vector<TakeoverServer> &Servers);

/// Returns the reason why \p Target must not be promoted, or nothing if it may
/// be promoted.
/// \param Adopted log ends of the adopters at their adoptions.
/// \param Acknowledged highest position of a commit known to be acknowledged.
std::optional<std::string>
reasonAgainstTarget(const ServerReport &Target,
                    const std::vector<LogPosition> &Adopted,
                    LogPosition Acknowledged);

/// The claim on a group's takeover, as observed by one entry VM.
///
/// The claim is a row whose version is incremented by compare-and-set. The
/// entry VM that incremented it may promote during the promotion window. Other
/// entry VMs do not claim until they have seen the row unchanged for the lease,
/// which is longer. Times are taken from a clock that also runs during
/// suspension.
class TakeoverClaim {
public:
  /// Time for which other entry VMs respect an unchanged claim. Covers the
  /// promotion window, the promotion itself (up to 1 s) and two slow calls.
  static constexpr Duration Lease = std::chrono::seconds(4);
  /// Time after the start of a claim within which its holder may promote.
  static constexpr Duration PromotionWindow = milliseconds(1500);

  /// Records that the row was read with \p Version; 0 if it does not exist.
  /// \param Finished whether the holder has marked the takeover as finished.
  void observe(std::uint64_t Version, bool Finished, TimePoint Now);

  /// Returns whether this entry VM may claim the takeover.
  bool mayClaim(TimePoint Now) const;

  /// Returns the version that was read last.
  std::uint64_t version() const { return this->Version; }

  /// Returns whether the holder of a claim started at \p Begun may still
  /// promote.
  static bool mayPromote(TimePoint Begun, TimePoint Now) {
    return Now - Begun < PromotionWindow;
  }

private:
  std::uint64_t Version = 0;
  bool Finished = true;
  TimePoint SeenSince{}; ///< When Version was first read.
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_POLICY_TAKEOVER_H
