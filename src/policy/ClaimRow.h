// The row of the store that holds the claim on a group's takeover: its key, and
// the forms of its value.
//
//   <turn> <term>           claimed
//   <turn> <term> <target>  confirmed before an order is given
//   <turn> undo             claimed to undo adoptions
//   finished <term> <turn>  released after an order; <term> is 0 if unknown
//   finished [<term>]       released; no order that others wait for is known
//
// Each form may have one more word at its end, `end=<term>:<position>`: the log
// of the server that succeeds the primary of <term> has to reach the position
// (RequiredLog). A holder writes what it knows when it confirms or releases the
// claim, and keeps what it has read until a promotion to a later term has taken
// effect. policy/TakeoverProcedure.h says which positions are required.
//
// <turn> is `<vm>@<ms>`: the entry VM that holds the claim or, in a row that is
// finished, gave the last order, and from when the others' wait counts
// (ClaimTurn). TakeoverClaim decides by it who may claim when.
//
// Rows of earlier versions have `<vm>` instead of <turn> and, after the target,
// the version of the row when it was claimed; a finished row tells no turn. An
// earlier version reads a confirmed row with its target, and counts its lease
// from that row, so that its order follows at least Lease - OrderSpan after
// this version's. It has no form for a finished row with a turn and respects it
// as a claim for its lease. The same holds for each row with a required log,
// but that of a claim: there it takes the word for a target, which no server
// is. What it writes in turn has no required log.
//
// `finished T` states that no promotion to a term later than T has taken effect
// and that none will before the row is claimed again. An entry VM that reads it
// therefore knows that the primary of T has not been superseded
// (policy/LeadershipProof.h). The statement holds because orders are given by
// the holder of the claim only, and each holder writes it only in these cases:
//
//  - It has given an order, its target leads, and T is the highest term that it
//    knows. The claim before was released, not expired.
//  - It has given no order, and the row before was `finished T`. A row that
//    does not exist stands for the term in which servers start.
//
// Otherwise it writes `finished`. A row that may have been followed by others
// before the store came back from a copy states nothing (withoutStatement()).
// In particular, an order that was given under
// a claim that expired may still take effect. As everywhere in the takeover, an
// order is taken to have its effect within TakeoverClaim::Lease or never.
#ifndef AMARANTHSPUR_POLICY_CLAIMROW_H
#define AMARANTHSPUR_POLICY_CLAIMROW_H

#include "core/Enums.h"
#include "core/Names.h"
#include "core/StoreVersion.h"
#include "core/Types.h"

#include <cstdint>
#include <optional>
#include <string>

namespace amaranthspur {

/// The state of a claim row.
enum class ClaimState {
  Missing,  ///< The row was never written.
  Held,     ///< A takeover is under way, or its holder's claim has expired.
  Finished, ///< The last takeover has been finished.
  Unknown,  ///< The value has no known form. It is respected as a claim.
};

template <> struct EnumNames<ClaimState> {
  static constexpr auto Entries =
      std::to_array<std::pair<ClaimState, std::string_view>>(
          {{ClaimState::Missing, "missing"},
           {ClaimState::Held, "held"},
           {ClaimState::Finished, "finished"},
           {ClaimState::Unknown, "unknown"}});
};

/// An entry VM's turn to order the promotions of a group.
struct ClaimTurn {
  EntryVmId Holder;
  /// From when the others' wait counts, in ms of the store's clock; 0 if that
  /// is not known. They then count from their first sight of the row.
  std::int64_t WaitFromMs = 0;

  bool operator==(const ClaimTurn &) const = default;
};

/// How far the log of the next primary has to reach.
struct RequiredLog {
  Term Of = 0; ///< Of the primary that is to be succeeded.
  LogPosition End;

  bool operator==(const RequiredLog &) const = default;
};

/// The term of the first primary of a group.
inline constexpr Term FirstTerm = 1;

/// The content of a claim row.
struct ClaimRow {
  ClaimState State = ClaimState::Missing;
  std::optional<ServerId> Target; ///< Of an order under a claim that is held.
  Term LastTerm = 0; ///< T of `finished T`, or FirstTerm if the row is missing;
                     ///< 0 if not known.
  std::uint64_t ClaimedAs = 0; ///< The version of the row when it was claimed,
                               ///< if it has been confirmed since; only
                               ///< written by earlier versions.
  /// Of the holder or, if the row is finished, of the last order. Nothing in
  /// rows of earlier versions, and in finished rows without a known order.
  std::optional<ClaimTurn> Turn = {};
  bool Undoing = false;                     ///< It is held to undo adoptions.
  std::optional<RequiredLog> Required = {}; ///< Nothing if none is known.

  bool operator==(const ClaimRow &) const = default;
};

/// What the holder of a claim knows when it finishes the takeover.
struct ClaimOutcome {
  ClaimRow Before;       ///< The row that the claim has replaced.
  bool Ordered = false;  ///< An order was given under the claim.
  bool Promoted = false; ///< The target of the only order leads.
  Term Highest = 0;      ///< Highest term of a primary that the holder knows.
  /// Of the holder; replaces that of the row before if it gave an order.
  ClaimTurn Turn = {};
  /// What the next holder has to require if the target does not lead.
  std::optional<RequiredLog> Required = {};
};

/// Returns the fencing token of the holder of the claim row with \p Version. It
/// is higher than that of each earlier holder, also after the store has come
/// back from an older copy and gives its numbers out again. In decimal, it is
/// the era followed by twelve digits of the number; without an era, the number.
/// A store with 400 writes per second takes 79 years to exceed twelve digits.
/// \pre the era of \p Version is at most MaxEra (platform/StoreEra.h).
std::uint64_t fencingToken(StoreVersion Version);

/// Returns the key of the claim row of \p Service.
std::string claimKey(const ServiceName &Service);

/// Returns the service whose claim is kept under \p Key, or an empty string if
/// it is the key of another row.
std::string serviceOfClaimKey(std::string_view Key);

/// Returns the content of a row with \p Version, which is 0 if the row does not
/// exist, and \p Value.
ClaimRow parseClaimRow(std::uint64_t Version, const std::string &Value);

/// Returns \p Row without its statement that no later term has been led. A row
/// that does not exist makes that statement for FirstTerm.
ClaimRow withoutStatement(ClaimRow Row);

/// Returns \p Required unless a promotion to a later term has taken effect.
/// \param Led the latest term that a primary is known to have led.
std::optional<RequiredLog>
stillRequired(const std::optional<RequiredLog> &Required, Term Led);

/// Returns the value with which a takeover to term \p T is claimed.
/// \param Required as in the row that the claim replaces, if it still applies.
std::string takeoverClaimValue(const ClaimTurn &Turn, Term T,
                               const std::optional<RequiredLog> &Required = {});

/// Returns the value with which a claim is confirmed.
/// \param Target the server whose promotion is about to be ordered.
/// \param Required what the next holder has to require.
std::string
confirmedClaimValue(const ClaimTurn &Turn, Term T, const ServerId &Target,
                    const std::optional<RequiredLog> &Required = {});

/// Returns the value with which the undoing of adoptions is claimed.
/// \param Required as in the row that the claim replaces, if it still applies.
std::string undoClaimValue(const ClaimTurn &Turn,
                           const std::optional<RequiredLog> &Required = {});

/// Returns the value with which a claim is released.
std::string finishedClaimValue(const ClaimOutcome &Outcome);

} // namespace amaranthspur

#endif // AMARANTHSPUR_POLICY_CLAIMROW_H
