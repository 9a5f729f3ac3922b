// An explorer of takeovers: a model of the servers, the claim row and the
// promotions of one group, with entry VMs that run takeovers against it, and a
// search for an order of events that breaks an invariant.
//
// The model follows the rules of the platform (docs/platform.md). A step is
// decided by one event and carried out by another, so an entry VM can be
// suspended between them. Replication to each server is an event.
//
// A server that joins is not registered at first. It can receive commits all
// the same; a later event registers it. Takeovers find registered servers only.
// A primary that has crashed may come back under another id, which is a new
// server with its log.
//
// One more entry VM, the observer, has sent every commit. It reaches every
// server, hears late of registrations, asks servers for their reports and
// passes an acknowledgement on to its caller when its rule allows that. The
// proofs of leadership of the other entry VMs reach it at once.
//
// A call that is held up on its way arrives at any later time, unless its
// sender has reset the connection. An order that has arrived takes effect
// within 1 s, unless the options allow more, if its target runs then.
//
// Invariants:
//  - LOST: a promoted log holds each commit whose acknowledgement has been
//    passed on to a caller, except those that an earlier promotion has removed.
//    No acknowledgement of a commit that a promotion has removed is passed on.
//  - ONE: no superseded primary acknowledges a commit after a promotion, unless
//    the entry VM that ordered the promotion could not reach it. What it
//    acknowledges with a server that is not registered, or under another id
//    than before, counts when the acknowledgement is passed on.
//  - CLAIM: orders under one version of the claim row are of one entry VM.
//  - FENCE: no order arrives after one with a higher fence.
//  - TURN: orders of two entry VMs arrive at least the lease apart, whether or
//    not one of them was suspended, cut off or ended in between.
//  - STRANDED: when a takeover has ended with a promotion, no server that its
//    holder reaches is kept from the new primary by a term that it holds.
//  - LIVE: an acknowledgement is passed on within a bounded time after a
//    step-down.
//  - STALE: no server is proved to lead whose log lacked an acknowledged commit
//    when the proof began. A commit that was acknowledged with a server that
//    was not registered counts when its acknowledgement has been passed on.
#ifndef AMARANTHSPUR_POLICY_TESTING_TAKEOVEREXPLORER_H
#define AMARANTHSPUR_POLICY_TESTING_TAKEOVEREXPLORER_H

#include "core/Names.h"
#include "policy/AccessPlan.h"
#include "policy/LeadershipProof.h"
#include "policy/TakeoverProcedure.h"

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace amaranthspur::testing {

/// The decisions of one takeover, as TakeoverProcedure makes them. Some
/// implementations are wrong on purpose.
class TakeoverLogic {
public:
  virtual ~TakeoverLogic() = default;
  virtual std::unique_ptr<TakeoverLogic> clone() const = 0;
  virtual TakeoverAction next(TimePoint Now) = 0;
  virtual void recordAnswers(const ServerReports &Answers, TimePoint Now) = 0;
  virtual void
  recordServers(const std::optional<std::vector<TakeoverServer>> &Listed) = 0;
  virtual void recordClaim(ClaimCheck Result) = 0;
  virtual void recordOrder(PromotionOutcome Outcome) = 0;
  virtual void recordEffect(std::optional<Term> Leading) = 0;
  virtual void recordResumed() = 0;
  /// Returns the term of the old primary, as far as it is known.
  virtual Term oldTerm() const = 0;
};

using TakeoverFactory = std::function<std::unique_ptr<TakeoverLogic>(
    std::vector<TakeoverServer>, std::optional<ServerId>, TimePoint)>;

/// The evidence that a server leads, as LeadershipProof weighs it. Some
/// implementations are wrong on purpose.
class ProofLogic {
public:
  virtual ~ProofLogic() = default;
  virtual std::unique_ptr<ProofLogic> clone() const = 0;
  virtual void recordReport(const ServerId &Id, const ServerReport &Report) = 0;
  virtual void recordSilence(const ServerId &Id) = 0;
  virtual void recordClaim(const ClaimRow &Row) = 0;
  virtual ProofState state(const std::vector<ServerId> &Others) const = 0;
};

/// Makes the evidence for a primary of a term.
using ProofFactory = std::function<std::unique_ptr<ProofLogic>(Term)>;

/// The rule by which an entry VM may claim a takeover. Some implementations are
/// wrong on purpose.
class ClaimRule {
public:
  virtual ~ClaimRule() = default;
  /// \param Seen the claim as the entry VM has observed it.
  /// \param Row the content of the row.
  virtual bool mayClaim(const TakeoverClaim &Seen, const ClaimRow &Row,
                        ClaimPurpose Purpose, TimePoint Now) const = 0;
};

/// The rule by which the observer passes acknowledgements on, as CommitHolders
/// has it. Some implementations are wrong on purpose.
class AcknowledgementRule {
public:
  virtual ~AcknowledgementRule() = default;
  virtual std::unique_ptr<AcknowledgementRule> clone() const = 0;
  virtual void setServers(const std::vector<RegisteredServer> &Servers,
                          TimePoint Now) = 0;
  virtual void recordReport(const ServerId &Id, const ServerReport &Report) = 0;
  /// Records that the primary of \p T had not been superseded at \p At.
  virtual void recordProof(Term T, TimePoint At) = 0;
  /// Returns the server by which the acknowledgement may be passed on, or
  /// nothing if it may not. \p Primary stands for the replica that the primary
  /// acknowledged the commit with, which the entry VM does not know.
  virtual std::optional<ServerId> holderOf(LogPosition Commit,
                                           const ServerId &Primary) const = 0;
};

using AcknowledgementFactory =
    std::function<std::unique_ptr<AcknowledgementRule>()>;

/// What happens in one event; A and B are its operands.
enum class ExplorerEventKind {
  Plan,       ///< Entry VM A polls the servers and begins a takeover.
  Undo,       ///< Entry VM A begins to undo adoptions that look stranded.
  Step,       ///< Entry VM A carries out its step, a call at server B.
  LoseAnswer, ///< The same, but the answer is lost.
  LoseCall,   ///< The step has neither an effect nor an answer.
  HoldUp,     ///< The same, but the call is held up and arrives later.
  Arrive,     ///< The held-up call A arrives.
  GiveUp,     ///< Entry VM A gives up the call that is held up.
  Die,        ///< Entry VM A is killed and restarts.
  Cut,        ///< The link of entry VM A and server B is cut, or restored.
  Commit,     ///< Primary A appends a commit.
  Deliver,    ///< Server B receives the log of primary A.
  Join,       ///< A new server starts with the log of primary A.
  Register,   ///< The registration of server A appears in the store.
  Drain,      ///< Replica A announces that it leaves.
  Leave,      ///< Replica A ends, and its log with it.
  Restart,    ///< Server A restarts with its log.
  Crash,      ///< Server A stops, or runs again with its log.
  Return,     ///< Primary A, which has crashed, runs again under another id.
  Deafen,     ///< Server A stops receiving, or receives again.
  Effect,     ///< The order A takes effect.
  Prove,      ///< Entry VM A begins to prove that server B leads.
  Ask,        ///< Server B, or the claim row if it is none, is asked for that.
  Hear,       ///< The observer hears of the registration of server A.
  Report,     ///< The observer receives a report of server A.
  Wait,       ///< A milliseconds pass.
};

struct ExplorerEvent {
  ExplorerEventKind Kind = ExplorerEventKind::Wait;
  std::size_t A = 0;
  std::size_t B = 0;
};

/// Cases that the platform gives no means to prevent. A history that breaks an
/// invariant in such a case ends without a violation and is counted.
enum class TakeoverGap {
  /// An order that arrives later than the time limit of its call, because the
  /// sender was suspended and its kernel had not yet given the connection up.
  /// Or an order that takes effect after its holder has stopped waiting: a
  /// second one for the same target may be pending while that target leads.
  /// The platform does not check the fence of an order.
  LateOrder,
  /// The holder had no answer of the old primary. The server by which the
  /// acknowledgement was passed on restarted or was resumed after the holder's
  /// last read of the registrations, and the holder has heard nothing of it
  /// since it received the commit. A registration tells neither of the two in
  /// time.
  UnreachablePrimary,
  /// The old primary restarted after it had stepped down, leads its term again
  /// until it hears of the promotion, and acknowledged the commit with a server
  /// that the holder has heard nothing of since then.
  RestartedPrimary,
  /// The holder had no answer of the old primary, and the server by which the
  /// acknowledgement was passed on has left. The successor with its log is not
  /// registered. The old primary fell silent before it reported its end again.
  HolderLeft,
  /// Only the old primary, of the registered servers, has the commit, which was
  /// acknowledged in an earlier
  /// term with a server that has left, and the holder had no answer of it.
  SoleHolder,
  /// The promoted log holds a commit that a superseded primary, which the
  /// holder of that promotion could not reach, replicated afterwards. By its
  /// term the log looks longer than that of the later primary.
  StrayCommit,
};

/// Faults that the search has found (issue 37). A search that skips one goes on
/// to look for others, and counts it. ReceivedAfterPromotion is not mended yet
/// (KNOWN-RED.txt).
enum class FoundFault {
  /// A commit whose acknowledgement waits for a holder is received by an
  /// established server after the promotion that has removed it: the promotion
  /// ends the adoption of the server, which follows the old primary again.
  ReceivedAfterPromotion,
  /// A server counts for a commit of an earlier term than that of the primary
  /// whose proof has established it. It was registered before the proof, and
  /// after the takeover of the earlier term had read the registrations.
  EstablishedInLaterTerm,
  /// The server by which the acknowledgement was passed on has left, and the
  /// successor with its log is not registered. The old primary has stepped down
  /// and reports the commit, but a shorter log is promoted, since no registered
  /// server has that end. The holder has to require the end of the log of the
  /// old primary while it has no report of that since a server left
  /// (Group::isLossCovered()).
  DepartureForgotten,
  /// A primary has crashed, is back under another id and steps down. It counts
  /// as a replica for the commits that it acknowledged under its earlier id: an
  /// entry VM that has not seen a report of it as a primary does not know that
  /// it led, and it is established by a proof of another entry VM.
  ReturnedPrimaryCounts,
};

/// How the sender of a call ends its connection when it gives the call up.
enum class CallEnd {
  Closed, ///< What was sent still arrives when the path is back.
  Reset,  ///< What has not arrived never does.
};

/// What a history may break; see the head of this file.
enum class Invariant { Lost, One, Claim, Fence, Turn, Stranded, Stale, Live };

struct ExplorerOptions {
  TakeoverFactory Make;
  AcknowledgementFactory MakeAcknowledgement;
  ProofFactory MakeProof;            ///< Not needed without a limit for Prove.
  const ClaimRule *Claims = nullptr; ///< TakeoverClaim's rule if it is null.
  std::size_t Vms = 2;
  std::size_t Servers = 3;
  /// Maximum numbers of events of each kind; none for a missing kind, except
  /// Plan, Step, Arrive, GiveUp, Deliver, Effect, Ask, Register, Hear and
  /// Report, which are unlimited. With a limit of 0 for Register, a server is
  /// registered when it joins.
  std::map<ExplorerEventKind, unsigned> Limits;
  std::vector<ExplorerEvent> First; ///< Events that exploreAll() begins with.
  std::vector<std::size_t> Waits = {1000, 4000};
  bool PrimaryHidden = false; ///< No entry VM reaches the first primary.
  CallEnd GivenUp = CallEnd::Reset;
  /// The observer hears of registrations and receives reports at once, and not
  /// by events.
  bool ObservesAtOnce = true;
  /// Longest time between the arrival of an order and its effect.
  Duration LongestEffect = std::chrono::seconds(1);
  /// The only step whose calls meet with the kind of fault (LoseAnswer,
  /// LoseCall or HoldUp); any step for a missing kind.
  std::map<ExplorerEventKind, TakeoverStep> FaultySteps;
  std::set<Invariant> Unchecked; ///< Invariants that may be broken.
  std::set<FoundFault> Skipped;
};

/// The first violation that was found.
struct ExplorerResult {
  std::string Violation; ///< Empty if there is none.
  std::vector<std::string> History;
  std::uint64_t Events = 0;                  ///< Events that were carried out.
  std::uint64_t Takeovers = 0;               ///< Promotions that took effect.
  std::map<std::string, std::uint64_t> Gaps; ///< And skipped faults, by name.
  /// Time from the step-down to the first commit that was acknowledged
  /// afterwards; zero if no primary stepped down. Of exploreFairly().
  Duration Outage = Duration::zero();

  std::string text() const;
};

/// Explores all orders of at most \p Depth events after Options.First, shortest
/// first, until a violation. One event is enough for all calls of a poll.
ExplorerResult exploreAll(const ExplorerOptions &Options, std::size_t Depth);

/// Explores \p Length random events. A history with a violation is shortened.
ExplorerResult exploreRandomly(const ExplorerOptions &Options,
                               std::uint64_t Seed, std::size_t Length);

/// Explores random events until the group has no primary, at most \p Length,
/// and then a fair schedule until a primary acknowledges a new commit. It is a
/// violation (LIVE) if that takes longer than \p Bound.
///
/// In the fair schedule, each entry VM but at most one carries out a step every
/// 100 ms, calls in flight are lost, calls reach the servers and the store, and
/// an order takes effect after 600 ms. It assumes that no further server leaves
/// or fails, and that the events before let all servers answer.
/// \param Stopped whether the entry VM that made the primary step down does
/// nothing more.
ExplorerResult exploreFairly(const ExplorerOptions &Options, std::uint64_t Seed,
                             std::size_t Length, Duration Bound, bool Stopped);

} // namespace amaranthspur::testing

namespace amaranthspur {

template <> struct EnumNames<testing::ExplorerEventKind> {
  using Kind = testing::ExplorerEventKind;
  static constexpr auto Entries =
      std::to_array<std::pair<Kind, std::string_view>>(
          {{Kind::Plan, "plan"},
           {Kind::Undo, "undo"},
           {Kind::Step, "step"},
           {Kind::LoseAnswer, "lose-answer"},
           {Kind::LoseCall, "lose-call"},
           {Kind::HoldUp, "hold-up"},
           {Kind::Arrive, "arrive"},
           {Kind::GiveUp, "give-up"},
           {Kind::Die, "die"},
           {Kind::Cut, "cut"},
           {Kind::Commit, "commit"},
           {Kind::Deliver, "deliver"},
           {Kind::Join, "join"},
           {Kind::Register, "register"},
           {Kind::Drain, "drain"},
           {Kind::Leave, "leave"},
           {Kind::Restart, "restart"},
           {Kind::Crash, "crash"},
           {Kind::Return, "return"},
           {Kind::Deafen, "deafen"},
           {Kind::Effect, "effect"},
           {Kind::Prove, "prove"},
           {Kind::Ask, "ask"},
           {Kind::Hear, "hear"},
           {Kind::Report, "report"},
           {Kind::Wait, "wait"}});
};

template <> struct EnumNames<testing::CallEnd> {
  using End = testing::CallEnd;
  static constexpr auto Entries =
      std::to_array<std::pair<End, std::string_view>>(
          {{End::Closed, "closed"}, {End::Reset, "reset"}});
};

template <> struct EnumNames<testing::Invariant> {
  using What = testing::Invariant;
  static constexpr auto Entries =
      std::to_array<std::pair<What, std::string_view>>(
          {{What::Lost, "LOST"},
           {What::One, "ONE"},
           {What::Claim, "CLAIM"},
           {What::Fence, "FENCE"},
           {What::Turn, "TURN"},
           {What::Stranded, "STRANDED"},
           {What::Stale, "STALE"},
           {What::Live, "LIVE"}});
};

template <> struct EnumNames<testing::FoundFault> {
  using Fault = testing::FoundFault;
  static constexpr auto Entries =
      std::to_array<std::pair<Fault, std::string_view>>(
          {{Fault::ReceivedAfterPromotion, "received-after-promotion"},
           {Fault::EstablishedInLaterTerm, "established-in-later-term"},
           {Fault::DepartureForgotten, "departure-forgotten"},
           {Fault::ReturnedPrimaryCounts, "returned-primary-counts"}});
};

template <> struct EnumNames<testing::TakeoverGap> {
  using Gap = testing::TakeoverGap;
  static constexpr auto Entries =
      std::to_array<std::pair<Gap, std::string_view>>(
          {{Gap::LateOrder, "late-order"},
           {Gap::UnreachablePrimary, "unreachable-primary"},
           {Gap::RestartedPrimary, "restarted-primary"},
           {Gap::HolderLeft, "holder-left"},
           {Gap::SoleHolder, "sole-holder"},
           {Gap::StrayCommit, "stray-commit"}});
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_POLICY_TESTING_TAKEOVEREXPLORER_H
