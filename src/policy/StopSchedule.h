// Decides what a session does with a statement during a planned stop.
//
// The platform kills a process at the end of the grace time, so whatever still
// runs then gets no answer. A stop therefore has three parts:
//  - Until the end of the notice the load balancer may still choose this entry
//    VM. Everything is served, but no statement has more time than the stop.
//  - Until the end of the transactions' time, idle sessions are closed. Open
//    transactions may go on.
//  - After that nothing is passed on to a server. A statement is refused with a
//    promise that nothing of it is kept, an open transaction is rolled back.
//    What a server is running is waited for.
//
// Invariant: once a statement of a transaction has been refused for the stop,
// no later statement of it is served, because time does not run backwards.
//
// The class reads no clock.
#ifndef AMARANTHSPUR_POLICY_STOPSCHEDULE_H
#define AMARANTHSPUR_POLICY_STOPSCHEDULE_H

#include "core/Clock.h"
#include "core/Enums.h"
#include "policy/Statement.h"

#include <array>

namespace amaranthspur {

/// What a session does with a statement that it has read.
enum class StopAction {
  Serve,            ///< Handle it as at any other time.
  Refuse,           ///< Refuse it as not run.
  AbortTransaction, ///< Roll the transaction back and say so.
};

template <> struct EnumNames<StopAction> {
  static constexpr auto Entries =
      std::to_array<std::pair<StopAction, std::string_view>>(
          {{StopAction::Serve, "serve"},
           {StopAction::Refuse, "refuse"},
           {StopAction::AbortTransaction, "abort-transaction"}});
};

/// How long the parts of a stop last, from its start.
struct StopLimits {
  Duration Notice{};       ///< Until idle sessions are closed.
  Duration Transactions{}; ///< Until open transactions are rolled back.
  Duration End{};          ///< Until all sessions have ended.
  /// Until the process exits, whatever still runs; 0 if nothing kills it.
  Duration Exit{};
};

/// Returns the limits of a stop after which the process is killed.
/// \param Grace time from the start of the stop to the kill.
/// \param Notice time that the load balancer needs.
StopLimits stopLimitsFor(Duration Grace, Duration Notice);

/// The times of one stop.
class StopSchedule {
public:
  /// Time between the last moment at which a statement may end and the end of
  /// the stop. The answer is sent within it.
  static constexpr Duration AnswerTime = milliseconds(100);
  /// A statement is not passed on if less time than this is left to it.
  static constexpr Duration MinRunTime = milliseconds(250);
  /// Time between the end of the stop and the kill, in which the other parts of
  /// the process stop.
  static constexpr Duration ExitTime = milliseconds(800);
  /// Part of the exit time after which the process exits without waiting any
  /// longer. The rest allows for a signal that is delivered late.
  static constexpr double ForcedExitPart = 0.6;
  /// The exit time is at most the grace time divided by this, as a server that
  /// still works in the last sixth of it is no fault of the stop.
  static constexpr int MaxExitDivisor = 6;

  /// \param Start when the stop began.
  /// \param End by when all sessions must have ended, if that is sooner than
  /// the limits say.
  StopSchedule(const StopLimits &Limits, TimePoint Start, TimePoint End);

  /// Returns when idle sessions are closed.
  TimePoint noticeEnd() const { return this->NoticeEnd; }
  /// Returns when open transactions are rolled back.
  TimePoint transactionsEnd() const { return this->TransactionsEnd; }
  /// Returns by when a statement must have ended.
  TimePoint statementsEnd() const { return this->StatementsEnd; }

  /// Decides about a statement.
  /// \param State state of the session before the statement.
  StopAction decide(StatementVerb Kind, TransactionState State,
                    TimePoint Now) const;

private:
  TimePoint NoticeEnd;
  TimePoint TransactionsEnd;
  TimePoint StatementsEnd;
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_POLICY_STOPSCHEDULE_H
