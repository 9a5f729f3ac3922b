// The failover state machine of one database group.
//
// A watcher observes the servers of one group from one entry VM. It calls
// step() in a loop with its observations, executes the action that is returned,
// and passes the outcome to the next call. The state machine only decides: it
// sends no messages and reads no clock. A server that adopts a term promises to
// refuse requests of lower terms; a server that is promoted in a term becomes
// its primary.
//
// Invariants of the majority failover:
//  - A server is promoted in a term only after a majority has adopted that term
//    at the request of this watcher. The promoted server has the highest log
//    end of these servers, or of those that are not leaving if they are a
//    majority.
//  - A watcher promotes at most once in a term, whatever the outcome.
//  - An adoption by a server that lost its log is not counted, because the
//    server lost its promise to refuse lower terms together with the log.
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

/// Time without an answer from the primary on the open connection after which
/// it is probed over a new connection. Three polls at the idle interval of
/// 200 ms.
inline constexpr Duration SilenceLimit = milliseconds(600);
/// Time limit of a probe over a new connection.
inline constexpr Duration ProbeLimit = milliseconds(300);
/// Delay per rank before a watcher starts a promotion, so that the watchers do
/// not compete. Longer than an undisturbed promotion takes across regions (six
/// round trips of 16 ms).
inline constexpr Duration RankDelay = milliseconds(250);
/// A longer gap between two calls of step() means that this process was paused.
inline constexpr Duration PauseLimit = milliseconds(250);
/// Time limit of the claim of a term in the platform's table.
inline constexpr Duration ClaimLimit = milliseconds(300);
/// Time limit of one control call (adopt, promote or follow) to a server.
inline constexpr Duration CallLimit = milliseconds(300);
/// Time for which a term that some servers have adopted may stay without a
/// primary before a new promotion starts. Covers two control calls of a watcher
/// that is still promoting.
inline constexpr Duration TermWithoutPrimaryLimit = milliseconds(600);
/// Bounds of the random delay after a failed promotion.
inline constexpr Duration MinBackOff = milliseconds(300);
inline constexpr Duration MaxBackOff = milliseconds(600);
/// Shortest time between two planned switches of the primary of a group.
inline constexpr Duration SwitchInterval = std::chrono::seconds(2);
/// A follow command that had no effect on the status of the server is repeated
/// after this time.
inline constexpr Duration FollowInterval = milliseconds(400);

/// The next action of a watcher.
enum class FailoverStep {
  Wait,                   ///< Take no action.
  ProbeOverNewConnection, ///< Probe the primary over a new connection.
  Claim,                  ///< Claim a term in the platform's table.
  Adopt,                  ///< Request the adoption of a term from the servers.
  Promote,                ///< Promote a server in a term.
  Follow                  ///< Make a server replicate from the primary.
};

template <> struct EnumNames<FailoverStep> {
  static constexpr auto Entries =
      std::to_array<std::pair<FailoverStep, std::string_view>>(
          {{FailoverStep::Wait, "wait"},
           {FailoverStep::ProbeOverNewConnection, "probe-fresh"},
           {FailoverStep::Claim, "claim"},
           {FailoverStep::Adopt, "adopt"},
           {FailoverStep::Promote, "promote"},
           {FailoverStep::Follow, "follow"}});
};

/// The reason why a group needs a promotion.
enum class FailoverReason {
  None,
  Silent,             ///< The primary has not answered for SilenceLimit.
  TermWithoutPrimary, ///< Servers adopted a term that got no primary.
  LostRole,           ///< The primary reports the role of a replica.
  LostLog,            ///< The primary restarted without its log.
  Leaving, ///< The primary is being drained and another server can take over.
};

template <> struct EnumNames<FailoverReason> {
  static constexpr auto Entries =
      std::to_array<std::pair<FailoverReason, std::string_view>>(
          {{FailoverReason::None, "none"},
           {FailoverReason::Silent, "silent"},
           {FailoverReason::TermWithoutPrimary, "stranded"},
           {FailoverReason::LostRole, "lost-role"},
           {FailoverReason::LostLog, "lost-log"},
           {FailoverReason::Leaving, "leaving"}});
};

/// The phase of a promotion that a watcher is in.
enum class FailoverPhase {
  Watching,   ///< No promotion; the primary is monitored.
  Probing,    ///< The primary is silent; it is probed over a new connection.
  Delaying,   ///< The group needs a promotion; lower ranks start before.
  Claiming,   ///< The claim of the next term is in progress.
  Adopting,   ///< Servers were asked to adopt the term.
  Promoting,  ///< The chosen server was asked to become the primary.
  BackingOff, ///< Random delay after a failed promotion.
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
  Refused,  ///< The other side refused the action.
  NoAnswer, ///< The action may or may not have taken effect.
};

template <> struct EnumNames<ActionResult> {
  static constexpr auto Entries =
      std::to_array<std::pair<ActionResult, std::string_view>>(
          {{ActionResult::Succeeded, "succeeded"},
           {ActionResult::Refused, "refused"},
           {ActionResult::NoAnswer, "no-answer"}});
};

/// The next action with its arguments.
struct FailoverAction {
  FailoverStep Step = FailoverStep::Wait;
  Term TermNumber = 0; ///< Set for Claim, Adopt, Promote, Follow.
  ServerId Server;     ///< Target of ProbeOverNewConnection, Promote, Follow.
  ServerId Primary;    ///< Set for Follow: the server to replicate from.
  std::vector<ServerId> Adopters; ///< Targets of Adopt.
  std::size_t Needed = 0; ///< Number of adoptions that is enough for Adopt.
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
  Term TermNumber = 0;             ///< Claim: the term in the claim row now.
  std::vector<Adoption> Adoptions; ///< Adopt: the servers that adopted.
};

/// The observations of a watcher about one server.
struct ServerObservation {
  ServerId Id;
  bool Leaving = false;
  std::optional<ServerStatus> Status; ///< From the last answer.
  TimePoint AnsweredAt{};             ///< When Status arrived.
};

/// The observations of a watcher about its group.
struct GroupObservation {
  std::vector<ServerObservation> Servers; ///< All servers of the group.
  unsigned Rank = 0; ///< Of this watcher; rank 0 acts first.
  std::optional<FailoverOutcome> Outcome; ///< Of the last action, if it ended.
};

/// Decides on promotions in one group.
class Failover {
public:
  virtual ~Failover() = default;

  /// Returns the next action. The caller calls this at least every 50 ms while
  /// no action runs, and once with the outcome when an action ends. Takes time
  /// linear in the number of servers.
  virtual FailoverAction step(const GroupObservation &Seen, TimePoint Now) = 0;

  /// Returns the current phase, for logs and metrics.
  virtual FailoverPhase phase() const = 0;

  /// Returns the reason of the current or last promotion.
  virtual FailoverReason reason() const = 0;
};

/// Creates a failover that promotes only with the agreement of a majority.
/// \param Rng must outlive the result.
std::unique_ptr<Failover> makeMajorityFailover(Random &Rng);

/// Creates the naive failover, the baseline of comparisons: after the same
/// failure detection, it promotes the first reachable replica in the next term,
/// without a majority and without fencing the old primary.
std::unique_ptr<Failover> makeNaiveFailover(Random &Rng);

} // namespace amaranthspur

#endif // AMARANTHSPUR_POLICY_FAILOVER_H
