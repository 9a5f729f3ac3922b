// The next step of a promotion.
//
// A watcher calls step() in a loop with what it has observed, carries out the
// action that is returned, and passes the outcome in with the next call. The
// class decides; it sends nothing and reads no clock.
//
// Invariants of the majority failover:
//  - a server is promoted in a term only after a majority adopted that term
//    for this watcher, and it is the server with the highest log end of them;
//  - a watcher promotes at most once in a term, whatever the outcome;
//  - an adoption by a server that lost its log is not counted, since its
//  promise
//    to refuse lower terms and its log were lost together.
#ifndef AMARANTHSPUR_POLICY_FAILOVER_H
#define AMARANTHSPUR_POLICY_FAILOVER_H

#include "core/Names.h"
#include "core/Random.h"
#include "policy/GroupView.h"

#include <array>
#include <memory>
#include <optional>
#include <vector>

namespace amaranthspur {

/// Silence of the primary on the open connection before a probe is made. Three
/// polls at the idle interval of 200 ms.
inline constexpr Duration SilenceLimit = milliseconds(600);
/// Time that a probe over a fresh connection is given.
inline constexpr Duration ProbeLimit = milliseconds(300);
/// Head start of each watcher over the one of the next rank. Longer than an
/// undisturbed promotion takes across regions (six round trips of 16 ms).
inline constexpr Duration RankDelay = milliseconds(250);
/// A longer gap between two steps means that this process was paused.
inline constexpr Duration PauseLimit = milliseconds(250);
/// Time that the platform's table is given for the claim.
inline constexpr Duration ClaimLimit = milliseconds(300);
/// Time that one control call of a promotion is given.
inline constexpr Duration CallLimit = milliseconds(300);
/// Time for which a term that some servers adopted may stay without a primary.
/// Two calls of a promoter that is still at work.
inline constexpr Duration StrandedLimit = milliseconds(600);
/// Bounds of the random delay after a promotion that was refused.
inline constexpr Duration MinBackOff = milliseconds(300);
inline constexpr Duration MaxBackOff = milliseconds(600);
/// Shortest time between two planned switches of a group.
inline constexpr Duration SwitchInterval = std::chrono::seconds(2);
/// A follow that had no effect on the status is repeated after this time.
inline constexpr Duration FollowInterval = milliseconds(400);

/// What a watcher does next.
enum class FailoverStep { Wait, ProbeFresh, Claim, Adopt, Promote, Follow };

template <> struct EnumNames<FailoverStep> {
  static constexpr auto Entries =
      std::to_array<std::pair<FailoverStep, std::string_view>>(
          {{FailoverStep::Wait, "wait"},
           {FailoverStep::ProbeFresh, "probe-fresh"},
           {FailoverStep::Claim, "claim"},
           {FailoverStep::Adopt, "adopt"},
           {FailoverStep::Promote, "promote"},
           {FailoverStep::Follow, "follow"}});
};

/// Why a group needs a promotion.
enum class Trouble {
  None,
  Silent,   ///< The primary has not answered for SilenceLimit.
  Stranded, ///< Servers adopted a term that got no primary.
  LostRole, ///< The primary answers as a replica.
  LostLog,  ///< The primary came back without its log.
  Leaving,  ///< The primary is to be drained and another can take over.
};

template <> struct EnumNames<Trouble> {
  static constexpr auto Entries =
      std::to_array<std::pair<Trouble, std::string_view>>(
          {{Trouble::None, "none"},
           {Trouble::Silent, "silent"},
           {Trouble::Stranded, "stranded"},
           {Trouble::LostRole, "lost-role"},
           {Trouble::LostLog, "lost-log"},
           {Trouble::Leaving, "leaving"}});
};

/// Where a watcher is in a promotion.
enum class FailoverPhase {
  Watching,
  Probing,  ///< The primary is silent; a fresh connection is tried.
  Delaying, ///< The group needs a promotion; lower ranks go first.
  Claiming,
  Adopting,
  Promoting,
  BackingOff,
};

template <> struct EnumNames<FailoverPhase> {
  static constexpr auto Entries =
      std::to_array<std::pair<FailoverPhase, std::string_view>>(
          {{FailoverPhase::Watching, "watching"},
           {FailoverPhase::Probing, "probing"},
           {FailoverPhase::Delaying, "delaying"},
           {FailoverPhase::Claiming, "claiming"},
           {FailoverPhase::Adopting, "adopting"},
           {FailoverPhase::Promoting, "promoting"},
           {FailoverPhase::BackingOff, "backing-off"}});
};

/// How an action ended.
enum class ActionResult {
  Succeeded,
  Refused,  ///< The other side answered that it will not.
  NoAnswer, ///< It may have taken effect or not.
};

template <> struct EnumNames<ActionResult> {
  static constexpr auto Entries =
      std::to_array<std::pair<ActionResult, std::string_view>>(
          {{ActionResult::Succeeded, "succeeded"},
           {ActionResult::Refused, "refused"},
           {ActionResult::NoAnswer, "no-answer"}});
};

/// A step with its arguments.
struct FailoverAction {
  FailoverStep Step = FailoverStep::Wait;
  Term TermNumber = 0;            ///< Of Claim, Adopt, Promote, Follow.
  ServerId Server;                ///< Target of ProbeFresh, Promote, Follow.
  ServerId Primary;               ///< Whom to follow.
  std::vector<ServerId> Adopters; ///< Targets of Adopt.
  std::size_t Needed = 0; ///< Adoptions after which the others may be left.
};

/// One server that adopted a term, with the end of its log.
struct Adoption {
  ServerId Server;
  LogPosition LogEnd;
};

/// The outcome of the last action other than Wait.
struct FailoverOutcome {
  FailoverStep Step = FailoverStep::Wait;
  ActionResult Result = ActionResult::NoAnswer;
  Term TermNumber = 0;             ///< Claim: the term that the row holds now.
  std::vector<Adoption> Adoptions; ///< Adopt: the servers that adopted.
};

/// What a watcher knows of one server.
struct ServerObservation {
  ServerId Id;
  bool Leaving = false;
  std::optional<ServerStatus> Status; ///< Last answer.
  TimePoint AnsweredAt{};             ///< When Status arrived.
};

/// What a watcher knows of its group.
struct GroupObservation {
  std::vector<ServerObservation> Servers; ///< All servers of the group.
  unsigned Rank = 0;                      ///< Of this watcher; 0 acts first.
  std::optional<FailoverOutcome> Outcome; ///< Of the action returned last.
};

/// Decides about promotions in one group.
class Failover {
public:
  virtual ~Failover() = default;

  /// Returns the next action. To be called at least every 50 ms while no action
  /// runs, and once with the outcome when an action ends. Linear in the
  /// servers.
  virtual FailoverAction step(const GroupObservation &Seen, TimePoint Now) = 0;

  /// Returns where the watcher is, for logs and metrics.
  virtual FailoverPhase phase() const = 0;

  /// Returns why a promotion is or was last under way.
  virtual Trouble trouble() const = 0;
};

/// Promotes with the agreement of a majority.
/// \param Rng outlives the result.
std::unique_ptr<Failover> makeMajorityFailover(Random &Rng);

/// The naive failover: after the same detection it promotes the first reachable
/// replica in the next term, without a majority and without fencing.
std::unique_ptr<Failover> makeNaiveFailover(Random &Rng);

} // namespace amaranthspur

#endif // AMARANTHSPUR_POLICY_FAILOVER_H
