// The order of the steps of one takeover, from the claim to its end.
//
// The caller carries out the step that next() returns and records its result,
// until the takeover has ended. The class sends no messages and reads no clock;
// times are of a clock that also runs during suspension. A step may have taken
// effect although its answer is missing.
#ifndef AMARANTHSPUR_POLICY_TAKEOVERPROCEDURE_H
#define AMARANTHSPUR_POLICY_TAKEOVERPROCEDURE_H

#include "policy/Takeover.h"

#include <map>

namespace amaranthspur {

/// What the caller of a TakeoverProcedure has to do.
enum class TakeoverStep {
  StepDown,    ///< Make the servers step down for NextTerm.
  Adopt,       ///< Make the servers adopt NextTerm.
  Poll,        ///< Request the status of all servers of the group.
  Order,       ///< Order the promotion of the target.
  AwaitEffect, ///< Wait until the target leads.
  Resume,      ///< Undo the adoptions of the servers.
  End,         ///< Nothing; the takeover has ended.
};

template <> struct EnumNames<TakeoverStep> {
  static constexpr auto Entries =
      std::to_array<std::pair<TakeoverStep, std::string_view>>(
          {{TakeoverStep::StepDown, "step-down"},
           {TakeoverStep::Adopt, "adopt"},
           {TakeoverStep::Poll, "poll"},
           {TakeoverStep::Order, "order"},
           {TakeoverStep::AwaitEffect, "await-effect"},
           {TakeoverStep::Resume, "resume"},
           {TakeoverStep::End, "end"}});
};

/// How a takeover has ended.
enum class TakeoverEnd {
  Promoted, ///< The target leads.
  GivenUp,  ///< No order was given that can still take effect.
  Open,     ///< An order may still take effect; the claim must not be released.
};

template <> struct EnumNames<TakeoverEnd> {
  static constexpr auto Entries =
      std::to_array<std::pair<TakeoverEnd, std::string_view>>(
          {{TakeoverEnd::Promoted, "promoted"},
           {TakeoverEnd::GivenUp, "given-up"},
           {TakeoverEnd::Open, "open"}});
};

/// One step, with its arguments.
struct TakeoverAction {
  TakeoverStep Step = TakeoverStep::End;
  std::vector<ServerId> Servers; ///< For StepDown, Adopt and Resume.
  TakeoverEnd End = TakeoverEnd::GivenUp;
  std::string Why; ///< Why the takeover was not completed; for End.
};

/// The reports of servers by id; a server that did not answer has no entry.
using ServerReports = std::map<ServerId, ServerReport>;

/// One takeover by the holder of the claim.
class TakeoverProcedure {
public:
  /// \param Old the old primary, if one is known.
  /// \param SyncReplicas whether a commit is acknowledged only after a replica
  /// holds it.
  /// \param Begun when the claim was begun.
  TakeoverProcedure(TakeoverPlan Plan, std::optional<ServerId> Old,
                    bool SyncReplicas, TimePoint Begun);

  /// Returns the step to carry out now.
  TakeoverAction next(TimePoint Now);

  /// Records the answers to StepDown or Adopt.
  void recordAnswers(const ServerReports &Answers);
  /// Records the answers to Poll.
  /// \param Acknowledged highest position of a commit known to be acknowledged.
  void recordPoll(const ServerReports &Answers, LogPosition Acknowledged);
  /// Records the answer to Order.
  void recordOrder(PromotionOutcome Outcome);
  /// Records whether the target leads, after AwaitEffect.
  void recordEffect(bool Leads);
  /// Records that Resume has been carried out.
  void recordResumed();

  const TakeoverPlan &plan() const { return this->Plan; }

private:
  void fail(std::string Why);

  TakeoverPlan Plan;
  std::optional<ServerId> Old;
  TimePoint Begun;
  TakeoverStep Current;
  std::size_t NextAdopter = 0;
  std::vector<LogPosition> Positions; ///< Of the adopters at their adoptions.
  bool OldStepsDownLast = false;      ///< The promotion has taken effect.
  TakeoverEnd Ended = TakeoverEnd::GivenUp;
  std::string Reason;
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_POLICY_TAKEOVERPROCEDURE_H
