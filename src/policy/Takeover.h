// The decisions of a takeover: why a group needs another primary, which server
// becomes the primary, and until when the holder of the claim may act. The
// order of the steps and the argument for their safety are in
// policy/TakeoverProcedure.h.
#ifndef AMARANTHSPUR_POLICY_TAKEOVER_H
#define AMARANTHSPUR_POLICY_TAKEOVER_H

#include "core/StoreVersion.h"
#include "policy/ClaimRow.h"
#include "policy/GroupBeliefs.h"
#include "policy/StoreClock.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
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

/// The reports of servers by id; a server that did not answer has no entry.
using ServerReports = std::map<ServerId, ServerReport>;

/// One server of a group, as input to a takeover.
struct TakeoverServer {
  ServerId Id;
  bool Draining = false;
  bool OldPrimary = false;
  std::int64_t StartedAtMs = 0; ///< Differs after a restart.
  Distance DistanceFromHere = Distance::SameDataCentre; ///< From this entry VM.
  std::optional<ServerReport> Report; ///< Nothing if it did not answer.
  /// The part of its log that counts (policy/LeavingLogs.h); nothing if all of
  /// it does.
  std::optional<LogPosition> CountedEnd = {};
};

/// Returns the term of the next primary: one above all terms in the reports.
Term nextTerm(const std::vector<TakeoverServer> &Servers);

/// Returns why no takeover is possible by the reports in \p Servers, or nothing
/// if one is.
std::optional<std::string>
reasonAgainstTakeover(const std::vector<TakeoverServer> &Servers);

/// Returns the best target among the servers whose log reaches \p End, or
/// nothing if there is none. The old primary is not a candidate.
/// \param Preferred target of an earlier order that may still take effect. It
/// is chosen if its log reaches \p End, because an order for another server
/// could supersede it after it has acknowledged commits.
std::optional<ServerId> chooseTarget(const std::vector<TakeoverServer> &Servers,
                                     LogPosition End,
                                     const std::optional<ServerId> &Preferred);

/// Returns whether a server that reports \p Report receives nothing from the
/// primary of \p Leading because it has adopted that term or a later one
/// without following its primary. A takeover that has ended without undoing its
/// adoptions leaves such servers.
bool isStranded(const ServerReport &Report, Term Leading);

/// Returns the servers of \p Reports that are stranded under \p Leader; none
/// unless that server reports to be a primary.
std::vector<ServerId> strandedServers(const ServerReports &Reports,
                                      const ServerId &Leader);

/// What an entry VM claims a group's takeover for.
enum class ClaimPurpose {
  Order, ///< To order a promotion.
  Undo,  ///< To undo adoptions; no order is given.
};

template <> struct EnumNames<ClaimPurpose> {
  static constexpr auto Entries =
      std::to_array<std::pair<ClaimPurpose, std::string_view>>(
          {{ClaimPurpose::Order, "order"}, {ClaimPurpose::Undo, "undo"}});
};

/// The claim on a group's takeover, as observed by one entry VM.
///
/// The claim is a row whose version is incremented by compare-and-set. The
/// entry VM that incremented it may promote during the promotion window. Other
/// entry VMs do not claim until they have seen the row unchanged for the lease,
/// which is longer. Times are taken from a clock that also runs during
/// suspension.
///
/// The orders of two entry VMs are at least the lease apart, whether or not the
/// claim has been released in between:
///  - The holder abandons an order without an answer when OrderSpan has passed
///    since it began to write the row that it last changed: the claim or the
///    confirmation. An entry VM that has seen that row for OrderSpan and the
///    lease therefore claims a lease after the order.
///  - A row that was released after an order was written when the order had
///    been answered or had taken effect, and names the entry VM that gave it.
///    The others claim when they have seen the row for the lease.
///  - A claim without an order confirms no row, and its release names the order
///    before.
/// Where the row tells from which moment of the store's clock the wait counts,
/// an entry VM that has not seen the row before knows whether the lease has
/// passed since. The holder writes an upper bound of the last moment at which
/// its order can be under way: the end of OrderSpan before the order, and later
/// the end of the call. The others compare it with a lower bound of the present
/// moment (policy/StoreClock.h). If the store's clock is not known to either
/// of them, the wait counts from the first sight of the row, which is later.
///
/// The entry VM that gave the last order may claim at once, as its orders are
/// no change of turn. So may an entry VM that still holds the claim, if no
/// order that it has given can take effect any more: nothing else acts under
/// that claim, and the row names the target that the next takeover prefers. It
/// has given none if its claim was written without an answer. A claim to undo
/// adoptions is excepted: it may have replaced a row that names the turn of
/// another entry VM.
///
/// When the store comes back from an older copy, the row may be that of an
/// earlier holder, or gone, while a later holder goes on until it learns of the
/// return. Nobody claims until that one's lease would have ended, had it
/// written the row just before the return.
///
/// Gaps remain: an entry VM that starts after a return of the store and does
/// not know of it; a holder that is suspended between the check of the time and
/// the sending of its order, alone or with its machine; a row of an earlier
/// version, which tells no turn or not the end of an order; and a holder to
/// which the store gives no answer to the confirmation. That holder orders
/// within the windows below, so that a silent store does not leave the group
/// without a primary, and another entry VM may order 2.1 s after it (Lease and
/// OrderSpan less ReturnWindow and the call).
class TakeoverClaim {
public:
  /// Time for which other entry VMs respect an unchanged claim. Covers the
  /// promotion window, the promotion itself (up to 1 s) and two slow calls.
  /// Also the least time between the orders of two entry VMs.
  static constexpr Duration Lease = std::chrono::seconds(4);
  /// Time after the start of a claim within which its holder may promote.
  static constexpr Duration PromotionWindow = milliseconds(1500);
  /// The same for an order that returns the lead to the old primary. With the
  /// call (0.7 s) and the effect (1 s) it ends within the lease.
  static constexpr Duration ReturnWindow = milliseconds(2000);
  /// Time after the start of a claim within which its holder may undo what it
  /// has done. Leaves time for calls that are under way when the lease ends.
  static constexpr Duration UndoWindow = milliseconds(3000);
  /// Time from the start of the confirmation to when an order without an answer
  /// has been abandoned. The confirmation and the calls between it and the
  /// order take some 10 ms each; after slower ones the holder confirms again.
  static constexpr Duration OrderSpan = milliseconds(800);
  /// Least part of OrderSpan that is left when an order is given.
  static constexpr Duration LeastOrderTime = milliseconds(300);

  TakeoverClaim() = default;
  /// \param Self the entry VM that observes the claim.
  explicit TakeoverClaim(EntryVmId Self) : Self(std::move(Self)) {}

  /// Records that the row was read with \p Version and the content \p Row. A
  /// row of an earlier era of the store than the known one is ignored.
  /// \param Own whether this process has written it.
  void observe(StoreVersion Version, const ClaimRow &Row, TimePoint Now,
               bool Own = false);

  /// Records that this entry VM gives an order, which ends and takes effect
  /// before \p EffectBy or never.
  /// \param Answered whether the platform has answered it. If it has not, this
  /// entry VM may have lost its link to it, while it still reaches the store.
  /// It then leaves the next turn to the others.
  void recordOrder(TimePoint EffectBy, bool Answered) {
    this->RenewAfter = Answered ? EffectBy : EffectBy + Lease;
  }

  /// Records that the store came back from an older copy.
  /// \param At when this entry VM has first seen it.
  void observeReturn(TimePoint At);

  /// Returns whether claims of other entry VMs that were lost when the store
  /// came back may still be held.
  bool mayMissClaim(TimePoint Now) const {
    return this->ReturnedAt && Now - *this->ReturnedAt < Lease + OrderSpan;
  }

  /// Records an answer of the store; see StoreClock.
  void observeClock(std::int64_t StoreMs, TimePoint SentAt,
                    TimePoint ReceivedAt) {
    this->Clock.observe(StoreMs, SentAt, ReceivedAt);
  }

  /// Returns whether the store's clock is known.
  bool knowsClock(TimePoint Now) const {
    return this->Clock.latest(Now).has_value();
  }

  /// Returns the turn of this entry VM, for a row that others wait for from
  /// \p End on.
  ClaimTurn turnUntil(TimePoint End) const {
    return {this->Self, this->Clock.latest(End).value_or(0)};
  }

  /// Returns whether this entry VM may claim the takeover.
  bool mayClaim(TimePoint Now,
                ClaimPurpose Purpose = ClaimPurpose::Order) const;

  /// Returns whether the claim is released and the last order was given by this
  /// entry VM.
  bool hasLastOrder() const;

  /// Returns the version that was read last.
  StoreVersion version() const { return this->Version; }
  /// Returns the content that was read last.
  const ClaimRow &row() const { return this->Row; }

  /// Returns whether the holder of a claim started at \p Begun may still
  /// promote.
  static bool mayPromote(TimePoint Begun, TimePoint Now) {
    return Now - Begun < PromotionWindow;
  }
  /// Returns whether the holder of a claim started at \p Begun may still order
  /// that the old primary leads again.
  static bool mayReturn(TimePoint Begun, TimePoint Now) {
    return Now - Begun < ReturnWindow;
  }
  /// Returns whether the holder of a claim started at \p Begun may still undo
  /// adoptions. Later they may belong to the takeover of another entry VM.
  static bool mayUndo(TimePoint Begun, TimePoint Now) {
    return Now - Begun < UndoWindow;
  }

private:
  /// Returns whether the wait for the row has ended.
  bool hasWaited(TimePoint Now) const;

  EntryVmId Self;
  StoreClock Clock;
  StoreVersion Version;
  ClaimRow Row = parseClaimRow(0, {});
  StoreVersion Start;                  ///< Version from which the wait counts.
  bool Own = false;                    ///< This process has written the row.
  std::optional<TimePoint> ReturnedAt; ///< Last return of the store.
  TimePoint RenewAfter{}; ///< When an own claim may be claimed again.
  TimePoint SeenSince{};  ///< When that version or a later one was first read.
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_POLICY_TAKEOVER_H
