// The order of the steps of one takeover, from the claim to its end.
//
// The caller carries out the step that next() returns and records its result,
// until the takeover has ended. The class sends no messages and reads no clock;
// times are of a clock that also runs during suspension. A step may have taken
// effect although its answer is missing. The number of steps is bounded by the
// claim's promotion window.
//
// Invariant: when an order is given, the log of its target holds every commit
// of an earlier term that has been or will be acknowledged. It is established
// in one of two ways.
//
//  1. The old primary has stepped down, no server reports a later term, and the
//     target's log reaches the end of the old primary's log and of each log
//     that was reported since the claim. A commit is in the primary's log
//     before it is acknowledged, and a server that has stepped down
//     acknowledges none. So it does not matter which servers have joined, left,
//     restarted or been resumed: none of them can add a commit. The other
//     servers adopt the next term as well where they answer. This covers an old
//     primary that restarts and leads its term again: what it acknowledges with
//     a server before the adoption is in the log that the server reports. If no
//     other server can be promoted, the old primary leads again, after a poll
//     has shown that its log is still complete.
//  2. The old primary does not answer, or it has stepped down and no log
//     reaches the end of its log. Every other server that is registered, by a
//     read of the registrations after the last adoption, has adopted the next
//     term and still holds it in a later poll, and the target's log reaches the
//     required end: that of each log that was reported since the claim or in an
//     earlier attempt of any holder, and that of the old primary's log as it
//     was reported after the last server had left the group or restarted, or as
//     it was at the step-down if there is no such report. A
//     commit is held by a replica when it is acknowledged. If that replica has
//     left or restarted since, the commit lies below the required end;
//     otherwise it is in a reported log. After the adoptions the old primary
//     has no replica with which it could acknowledge. Commits of terms before
//     the old primary's are in each log that has an entry of its term. If it
//     has stepped down and no log has one, it leads again.
//
// Gaps that the platform gives no means to close:
//  - In the second way, an old primary that this entry VM cannot reach
//    acknowledges commits with a server that joins, restarts or is resumed
//    after the read of the registrations, or after its poll, and before the
//    promotion takes effect. While it awaits the effect, the caller makes each
//    server that it comes to know adopt the term or step down, which leaves the
//    time of one call.
//  - In the second way, a replica leaves with its log, or loses it, and the old
//    primary falls silent before it has reported the end of its log again; or
//    the old primary is the only server left with a commit of an earlier term.
//  - An old primary that restarts after its step-down does so with a server
//    that joins or restarts then, or that did not answer the adoption. Whether
//    a step-down outlasts a restart is not known.
//  - The target restarts and loses its log between the order and its effect.
//  - An order takes effect after another entry VM has claimed the takeover. The
//    platform does not check the fence.
//  - An old primary that could not be reached replicates an entry to a server
//    after the promotion. By its term, that log then looks longer than the log
//    of a later primary that has no entry of its own term yet.
//
// What is required outlasts a takeover that does not promote its target: the
// server that reported a log may have left when the next holder asks, and may
// have been the only one besides the old primary with an acknowledged commit.
// The claim row therefore carries the required end on, with the term of the old
// primary (policy/ClaimRow.h). Each later holder requires it until a promotion
// to a later term has taken effect, since that target has reached it. A holder
// that loses its claim, or ends, before it confirms or releases it passes on
// only what it has read.
//
// Only commits that a caller was told of need to be in the target's log. Each
// is held by a replica that the entry VM did not know to be leaving, unless all
// others were (policy/CommitHolders.h). Of the log of a leaving server, the
// part that it had when the last entry VM learned of the leaving is therefore
// required (policy/LeavingLogs.h). The rest is required only while the server
// reports it. The end of an unregistered server is never seen. Any other end
// that was reported may be that of the only server with an acknowledged commit,
// so it is required until a log reaches it, however long that takes: after the
// old primary has fallen silent for good and, with it, a replica that has not
// left by plan, or one that has left before its part was known. The group has
// no primary then until one of them returns with its log.
//
// An order is given only within the promotion window of the claim, and after
// the claim row has been confirmed with the target in it. A takeover that
// follows an unfinished one prefers its target. In the first way the row is
// confirmed before the old primary steps down, so that a holder that is
// suspended or ends while the store answers leaves a primary that still leads.
//
// A server that holds a term receives only from primaries of later terms, until
// a promotion to that term or a resume. The platform counts the terms that were
// led, so after a takeover that adopted a term and ended before its order, the
// servers hold a later term than the next target leads. The holder then resumes
// them as soon as the target leads. They do not hold the led term instead: an
// order of the earlier holder that takes effect late would end their pauses,
// and its target would acknowledge commits that the next target lacks.
//
// A holder may be suspended at any moment and wake after another entry VM has
// claimed the takeover. Each step that changes a server therefore has a time by
// which its calls must have been sent. It is checked when the connection is
// open, so a late holder changes no server: the next holder's adoptions stay,
// and no primary of a later term steps down. What remains is a suspension
// between that check and the sending.
#ifndef AMARANTHSPUR_POLICY_TAKEOVERPROCEDURE_H
#define AMARANTHSPUR_POLICY_TAKEOVERPROCEDURE_H

#include "policy/Takeover.h"

#include <algorithm>

namespace amaranthspur {

/// What the caller of a TakeoverProcedure has to do.
enum class TakeoverStep {
  Poll,        ///< Request the status of the servers.
  StepDown,    ///< Make the old primary step down for the next term.
  Adopt,       ///< Make the servers adopt the next term.
  ReadServers, ///< Read the group's registrations from the store.
  Confirm,     ///< Write the target to the claim row.
  Order,       ///< Order the promotion of the target.
  AwaitEffect, ///< Wait until the target leads.
  Resume,      ///< Let the servers receive again, whatever term they hold.
  End,         ///< Nothing; the takeover has ended.
};

template <> struct EnumNames<TakeoverStep> {
  static constexpr auto Entries =
      std::to_array<std::pair<TakeoverStep, std::string_view>>(
          {{TakeoverStep::Poll, "poll"},
           {TakeoverStep::StepDown, "step-down"},
           {TakeoverStep::Adopt, "adopt"},
           {TakeoverStep::ReadServers, "read-servers"},
           {TakeoverStep::Confirm, "confirm"},
           {TakeoverStep::Order, "order"},
           {TakeoverStep::AwaitEffect, "await-effect"},
           {TakeoverStep::Resume, "resume"},
           {TakeoverStep::End, "end"}});
};

/// How a takeover has ended.
enum class TakeoverEnd {
  Promoted, ///< The target leads.
  GivenUp,  ///< No order was given that can still take effect.
  Open,     ///< An order may still take effect, or the claim was lost; the
            ///< claim must not be released.
};

template <> struct EnumNames<TakeoverEnd> {
  static constexpr auto Entries =
      std::to_array<std::pair<TakeoverEnd, std::string_view>>(
          {{TakeoverEnd::Promoted, "promoted"},
           {TakeoverEnd::GivenUp, "given-up"},
           {TakeoverEnd::Open, "open"}});
};

/// The result of confirming the claim.
enum class ClaimCheck {
  Held,    ///< The row has the target now.
  Lost,    ///< Another entry VM has claimed the takeover.
  Unknown, ///< The store gave no answer.
};

template <> struct EnumNames<ClaimCheck> {
  static constexpr auto Entries =
      std::to_array<std::pair<ClaimCheck, std::string_view>>(
          {{ClaimCheck::Held, "held"},
           {ClaimCheck::Lost, "lost"},
           {ClaimCheck::Unknown, "unknown"}});
};

/// Why the log of the target has to reach an end.
enum class EndSource {
  None,           ///< No end is known yet.
  Reported,       ///< A server has reported it since the claim.
  OldPrimary,     ///< The old primary reported it when it had stepped down.
  AfterLoss,      ///< The old primary reported it after the last loss of a log.
  EarlierAttempt, ///< It was required in a takeover that failed.
  ClaimRow,       ///< An earlier holder has required it.
  Acknowledged,   ///< The entry VM has reported a commit to a caller there.
};

template <> struct EnumNames<EndSource> {
  static constexpr auto Entries =
      std::to_array<std::pair<EndSource, std::string_view>>(
          {{EndSource::None, "none"},
           {EndSource::Reported, "reported"},
           {EndSource::OldPrimary, "old-primary"},
           {EndSource::AfterLoss, "after-loss"},
           {EndSource::EarlierAttempt, "earlier-attempt"},
           {EndSource::ClaimRow, "claim-row"},
           {EndSource::Acknowledged, "acknowledged"}});
};

/// The end of a log that a target has to reach.
struct RequiredEnd {
  LogPosition Position;
  EndSource Source = EndSource::None;
  ServerId Server; ///< That reported it; for Reported and OldPrimary.

  /// Returns the higher of the two ends; this one if they are equal.
  RequiredEnd raisedTo(const RequiredEnd &Other) const {
    return this->Position < Other.Position ? Other : *this;
  }
};

/// One step, with its arguments.
struct TakeoverAction {
  TakeoverStep Step = TakeoverStep::End;
  std::vector<ServerId> Servers; ///< For Poll, StepDown, Adopt and Resume.
  Term TermNumber = 0;           ///< For StepDown and Adopt.
  ServerId Target;               ///< For Confirm, Order and AwaitEffect.
  RequiredEnd Required;  ///< That Target had to reach; for Confirm and Order.
  LogPosition TargetEnd; ///< That Target reported last; for the same steps.
  /// The calls of the step, or its order, must not be sent later. A holder that
  /// was suspended after next() would otherwise send them when it wakes, while
  /// another entry VM takes over.
  TimePoint SendBy = TimePoint::max();
  TakeoverEnd End = TakeoverEnd::GivenUp;
  std::string Why; ///< Why the takeover was not completed; for End.
};

/// One takeover by the holder of the claim.
class TakeoverProcedure {
public:
  /// Time from the claim in which the old primary must answer and step down.
  /// Leaves the rest of the promotion window for the adoptions and the order.
  static constexpr Duration StepDownLimit = milliseconds(800);

  /// \param Servers the known servers, with the reports of the plan. Of these
  /// only the old primary's is used: whether it answered.
  /// \param KnownTerm the term of the last known primary; 0 if unknown.
  /// \param Required the end of a log that the target has to reach in any case;
  /// zero if there is none.
  /// \param Preferred the target of an earlier takeover that was not finished.
  /// \param Begun when the claim was begun.
  TakeoverProcedure(std::vector<TakeoverServer> Servers, Term KnownTerm,
                    RequiredEnd Required, std::optional<ServerId> Preferred,
                    TimePoint Begun);

  /// Returns the step to carry out now.
  TakeoverAction next(TimePoint Now);

  /// Records the answers to Poll, StepDown or Adopt.
  /// \param Acknowledged highest position of a commit known to be acknowledged.
  void recordAnswers(const ServerReports &Answers, LogPosition Acknowledged,
                     TimePoint Now);
  /// Requires that the log of the target reaches \p End. Must be called before
  /// the answers are recorded from which \p End is known.
  void require(const RequiredEnd &End) {
    this->Required = this->Required.raisedTo(End);
  }
  /// Records the registered servers, or that they could not be read.
  void recordServers(const std::optional<std::vector<TakeoverServer>> &Listed);
  /// Records whether the claim is still held.
  void recordClaim(ClaimCheck Result);
  /// Records the answer to Order.
  void recordOrder(PromotionOutcome Outcome);
  /// Records the term that the target leads, after AwaitEffect; nothing if it
  /// does not lead yet.
  void recordEffect(std::optional<Term> Leading);
  /// Records that the target has been replaced by another server at its address
  /// before it led. Its order cannot take effect any more.
  void recordLostTarget();
  /// Records that Resume has been carried out.
  void recordResumed();

  /// Returns whether the old primary has been ordered to lead again.
  bool hasReturnedLead() const { return this->ReturnOrdered; }

  /// Returns the highest end of a log that the target has to reach in any case,
  /// also if the server that reported it has left.
  LogPosition requiredEnd() const { return this->Required.Position; }

  /// Returns whether \p Server, as it is registered, is not one of the servers
  /// of the takeover yet, or has restarted.
  bool isNew(const TakeoverServer &Server) const;

  /// Returns the term of the old primary, as far as it is known.
  Term oldTerm() const { return this->OldTerm; }

  /// Returns the term that the servers adopt; 0 before the first poll.
  Term term() const { return this->NextTerm; }

private:
  /// What the next answers are used for.
  enum class Phase {
    Survey,   ///< The first poll after the claim.
    StepDown, ///< The old primary is to step down.
    Secure,   ///< It has; the other servers are to adopt the term.
    Freeze,   ///< All other servers must adopt the term.
    Register, ///< The registrations are to be read.
    Verify,   ///< All adoptions must still hold.
    CheckOld, ///< The old primary is to lead again, if its log is complete.
    Confirm,
    Order, ///< The last phase that a window limits.
    AwaitEffect,
    Release,      ///< The target leads; servers hold a later term than it does.
    StepDownLast, ///< The target leads; the old primary may not know it yet.
    Resume,
    End,
  };

  void survey(TimePoint Now);
  void recordStepDown();
  /// Chooses a target that reaches the end of the old primary's log.
  void secure();
  void freeze();
  void verify();
  void checkOld(const ServerReports &Answers);
  /// Makes \p Id the target, and confirms the claim unless the row names it.
  /// \param Reached the end that its log had to reach.
  void promote(const ServerId &Id, const RequiredEnd &Reached);
  /// Returns the end that a target has to reach if no commit can be added to
  /// the log of the old primary, which has stepped down.
  RequiredEnd endWithOldPrimary() const;
  /// Gives up, or returns the lead to the old primary if that has stepped down.
  void fail(std::string Why);
  /// Gives up, and leaves the lead where it is.
  void giveUp(std::string Why);
  /// Ends the takeover after the target leads and no server is kept from it.
  void finish();
  void end(TakeoverEnd How, std::string Why);
  /// Returns the ids of the servers other than the old primary.
  std::vector<ServerId> others() const;
  /// Returns those of others() that have not adopted the term.
  std::vector<ServerId> unadopted() const;
  const TakeoverServer *old() const;
  /// Returns whether the old primary has stepped down, or does not answer.
  bool mayOrder() const;
  /// Returns the highest of Required and the ends of the logs that the other
  /// servers report.
  RequiredEnd longestLog() const;
  /// Returns until when the order of this takeover may be given.
  TimePoint orderBy() const;
  /// Returns the first server that reports to be the primary of a term later
  /// than the old primary's, or null.
  const TakeoverServer *successor() const;
  /// Returns whether a server other than the old primary reports a later term.
  bool isSuperseded() const;

  std::vector<TakeoverServer> Servers; ///< With their latest reports.
  std::optional<ServerId> Preferred;
  TimePoint Begun;
  bool OldWasSilent = true; ///< It gave no report for the plan.
  Phase Current = Phase::Survey;
  Term NextTerm = 0;
  Term OldTerm = 0;                  ///< Of the old primary in the first poll.
  Term LedTerm = 0;                  ///< Of the target, once it leads.
  std::optional<LogPosition> OldEnd; ///< Set once it has stepped down.
  RequiredEnd Required;              ///< See requiredEnd().
  ServerId Target;
  RequiredEnd TargetRequired; ///< What Target had to reach when it was chosen.
  ServerId Confirmed;         ///< The target in the claim row.
  bool Returning = false;     ///< The old primary is to lead again.
  bool ReturnOrdered = false;
  TakeoverEnd Ended = TakeoverEnd::GivenUp;
  std::string Reason;
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_POLICY_TAKEOVERPROCEDURE_H
