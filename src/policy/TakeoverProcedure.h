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
//  1. The old primary has stepped down, and the target's log reaches the end
//     of the old primary's log and of each log that was reported since the
//     claim. A commit is in the primary's log before it is
//     acknowledged, and a server that has stepped down acknowledges none. So it
//     does not matter which servers have joined, left, restarted or been
//     resumed: none of them can add a commit. The other servers adopt the next
//     term as well where they answer. This covers an old primary that restarts
//     and leads its term again before the promotion takes effect: what it
//     acknowledges with a server before the adoption is in the log that the
//     server reports.
//  2. The old primary does not answer, or it has stepped down and no log
//     reaches the end of its log. Every other server that is registered, by a
//     read of the registrations after the last adoption, has adopted the next
//     term and still holds it in a later poll, and the target's log reaches as
//     far as each log that was reported since the claim. An acknowledged commit
//     of the old primary's term is held by a replica. Those commits that were
//     acknowledged before the adoptions are in a reported log; later ones
//     cannot be acknowledged by a server that has adopted the term. Commits of
//     earlier terms may have been acknowledged with a server that has left
//     since. They are in each log that has an entry of the old primary's term.
//     So if the old primary has stepped down and no log has one, the old
//     primary gets the lead back.
//
// Gaps remain that the platform gives no means to close:
//  - An old primary that this entry VM cannot reach acknowledges commits with a
//    server that joins, restarts or is resumed after the read of the
//    registrations, or after its poll, and before the promotion takes effect.
//  - An old primary that restarts after its step-down does so with a server
//    that joins or restarts then, or that did not answer the adoption.
//  - An old primary that does not answer is the only server left with a commit
//    of an earlier term.
//  - An order takes effect after another entry VM has claimed the takeover.
//  - An old primary that could not be reached replicates an entry to a server
//    after the promotion. By its term, that log then looks longer than the log
//    of a later primary that has no entry of its own term yet.
//
// An order is given only after the claim row, with the target in it, has been
// confirmed. A takeover that follows an unfinished one prefers its target.
#ifndef AMARANTHSPUR_POLICY_TAKEOVERPROCEDURE_H
#define AMARANTHSPUR_POLICY_TAKEOVERPROCEDURE_H

#include "policy/Takeover.h"

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
  Resume,      ///< Undo the adoptions of the servers.
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

/// One step, with its arguments.
struct TakeoverAction {
  TakeoverStep Step = TakeoverStep::End;
  std::vector<ServerId> Servers; ///< For Poll, StepDown, Adopt and Resume.
  ServerId Target;               ///< For Confirm, Order and AwaitEffect.
  TakeoverEnd End = TakeoverEnd::GivenUp;
  std::string Why; ///< Why the takeover was not completed; for End.
};

/// One takeover by the holder of the claim.
class TakeoverProcedure {
public:
  /// Time from the claim in which the old primary must answer and step down.
  static constexpr Duration StepDownLimit = milliseconds(700);

  /// \param Servers the known servers, with the reports of the plan. Of these
  /// only the old primary's is used: whether it answered.
  /// \param Preferred the target of an earlier takeover that was not finished.
  /// \param Begun when the claim was begun.
  TakeoverProcedure(std::vector<TakeoverServer> Servers,
                    std::optional<ServerId> Preferred, TimePoint Begun);

  /// Returns the step to carry out now.
  TakeoverAction next(TimePoint Now);

  /// Records the answers to Poll, StepDown or Adopt.
  /// \param Acknowledged highest position of a commit known to be acknowledged.
  void recordAnswers(const ServerReports &Answers, LogPosition Acknowledged,
                     TimePoint Now);
  /// Records the registered servers, or that they could not be read.
  void recordServers(const std::optional<std::vector<TakeoverServer>> &Listed);
  /// Records whether the claim is still held.
  void recordClaim(ClaimCheck Result);
  /// Records the answer to Order.
  void recordOrder(PromotionOutcome Outcome);
  /// Records whether the target leads, after AwaitEffect.
  void recordEffect(bool Leads);
  /// Records that Resume has been carried out.
  void recordResumed();

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
    Confirm,
    Order, ///< The last phase that the promotion window limits.
    AwaitEffect,
    StepDownLast, ///< The target leads; the old primary may not know it yet.
    Resume,
    End,
  };

  void survey(TimePoint Now);
  void recordStepDown(TimePoint Now);
  /// Chooses a target that reaches the end of the old primary's log.
  void secure();
  void freeze();
  void verify();
  void promote(const ServerId &Id);
  /// Gives up, or returns the lead to the old primary if that has stepped down.
  void fail(std::string Why);
  void end(TakeoverEnd How, std::string Why);
  /// Returns the ids of the servers other than the old primary.
  std::vector<ServerId> others() const;
  /// Returns those of others() that have not adopted the term.
  std::vector<ServerId> unadopted() const;
  const TakeoverServer *old() const;
  /// Returns the first server that reports to be the primary of a term later
  /// than the old primary's, or null.
  const TakeoverServer *successor() const;

  std::vector<TakeoverServer> Servers; ///< With their latest reports.
  std::optional<ServerId> Preferred;
  TimePoint Begun;
  bool OldWasSilent = true; ///< It gave no report for the plan.
  Phase Current = Phase::Survey;
  Term NextTerm = 0;
  Term OldTerm = 0;                  ///< Of the old primary in the first poll.
  std::optional<LogPosition> OldEnd; ///< Set once it has stepped down.
  LogPosition Required; ///< Highest end of a log reported since the claim.
  ServerId Target;
  bool Returning = false; ///< The old primary is to lead again.
  TakeoverEnd Ended = TakeoverEnd::GivenUp;
  std::string Reason;
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_POLICY_TAKEOVERPROCEDURE_H
