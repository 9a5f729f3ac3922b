// The decisions of a takeover: whether a group needs another primary, which
// server it is, and when it may be promoted.
//
// Invariants that the caller upholds with these functions:
//  - all servers of the group but the old primary and the target have adopted
//    the next term, and there is at least one of them;
//  - the target's log reaches at least as far as the log of each of them did
//    when it adopted.
// Then every commit that was acknowledged before the promotion takes effect is
// in the target's log: an earlier one is on the target or on a server that
// adopted, and a later one can only be acknowledged through the target. This
// holds where a commit is acknowledged after one replica holds it.
#ifndef AMARANTHSPUR_POLICY_TAKEOVER_H
#define AMARANTHSPUR_POLICY_TAKEOVER_H

#include "policy/GroupBeliefs.h"

#include <array>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace amaranthspur {

/// Why a group needs another primary.
enum class TakeoverReason {
  None,
  PrimaryUnreachable,
  PrimaryLeaving,
  PrimaryIsolated, ///< No replica receives what it commits.
  PrimaryMissing,  ///< No server of the group leads.
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

/// One server of a group as a takeover sees it.
struct TakeoverServer {
  ServerId Id;
  bool Draining = false;
  bool OldPrimary = false;
  Distance Away = Distance::SameDataCentre;
  std::optional<ServerReport> Report; ///< Nothing: it did not answer.
};

/// What is to be done.
struct TakeoverPlan {
  ServerId Target;
  std::vector<ServerId> Adopters; ///< Adopt Next before the promotion.
  Term Next = 0;                  ///< Above every term that was seen.
};

/// Why nothing is to be done now.
struct TakeoverHold {
  std::string Why;
};

/// Plans a takeover from fresh reports.
std::variant<TakeoverPlan, TakeoverHold>
planTakeover(const std::vector<TakeoverServer> &Servers);

/// Returns why \p Target may not be promoted after the adopters' logs ended at
/// \p Adopted, or nothing if it may.
/// \param Acknowledged highest position of a commit known to be acknowledged.
std::optional<std::string> refuseTarget(const ServerReport &Target,
                                        const std::vector<LogPosition> &Adopted,
                                        LogPosition Acknowledged);

/// The claim on a group's takeover, as one entry VM sees it.
///
/// A claim is a row that is advanced by compare-and-set. Whoever has advanced
/// it may promote for a while; others leave it alone until they have seen it
/// unchanged for longer than that. Times are of a clock that counts suspension.
class TakeoverClaim {
public:
  /// Time for which others respect a claim that they have seen. The holder's
  /// window, a promotion's own time (up to 1 s) and two slow calls.
  static constexpr Duration Lease = std::chrono::seconds(4);
  /// Time after the start of its claim in which the holder may promote.
  static constexpr Duration PromotionWindow = milliseconds(1500);

  /// The row was seen with \p Version; 0 if it does not exist.
  /// \param Finished whether its holder has declared the takeover over.
  void observe(std::uint64_t Version, bool Finished, TimePoint Now);

  /// Returns whether the row may be advanced.
  bool mayClaim(TimePoint Now) const;

  std::uint64_t version() const { return this->Version; }

  /// Returns whether a claim that was begun at \p Begun still allows a
  /// promotion.
  static bool mayPromote(TimePoint Begun, TimePoint Now) {
    return Now - Begun < PromotionWindow;
  }

private:
  std::uint64_t Version = 0;
  bool Finished = true;
  TimePoint SeenSince{};
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_POLICY_TAKEOVER_H
