#include "policy/StopSchedule.h"

#include <algorithm>

namespace amaranthspur {
namespace {

/// Returns whether the session itself carries the statement out if no
/// transaction is open.
bool isLocal(StatementVerb Kind) {
  switch (Kind) {
  case StatementVerb::Set:
  case StatementVerb::Prepare:
  case StatementVerb::Deallocate:
  case StatementVerb::Commit:
  case StatementVerb::Rollback:
    return true;
  case StatementVerb::Begin:
  case StatementVerb::Read:
  case StatementVerb::Write:
  case StatementVerb::Execute:
    return false;
  }
  return false;
}

} // namespace

StopLimits stopLimitsFor(Duration Grace, Duration Notice) {
  StopLimits Limits;
  Limits.Notice = Notice;
  Limits.Transactions = Grace / 2;
  const Duration ExitTime =
      std::min(StopSchedule::ExitTime, Grace / StopSchedule::MaxExitDivisor);
  Limits.End = Grace - ExitTime;
  Limits.Exit = Limits.End + std::chrono::duration_cast<Duration>(
                                 ExitTime * StopSchedule::ForcedExitPart);
  return Limits;
}

StopSchedule::StopSchedule(const StopLimits &Limits, TimePoint Start,
                           TimePoint End) {
  End = std::min(End, Start + Limits.End);
  this->NoticeEnd = std::min(Start + Limits.Notice, End);
  this->StatementsEnd = std::max(Start, End - AnswerTime);
  // A balancer that needs longer than the transactions have still gets its
  // callers served.
  this->TransactionsEnd =
      std::min(std::max(Start + Limits.Transactions, this->NoticeEnd),
               this->StatementsEnd - MinRunTime);
}

StopAction StopSchedule::decide(StatementVerb Kind, TransactionState State,
                                TimePoint Now) const {
  if (Now < this->TransactionsEnd)
    return StopAction::Serve;
  switch (State) {
  case TransactionState::Failed:
    return StopAction::Serve; // Only its end is still carried out.
  case TransactionState::InTransaction:
    return Kind == StatementVerb::Rollback ? StopAction::Serve
                                           : StopAction::AbortTransaction;
  case TransactionState::Idle:
    return isLocal(Kind) ? StopAction::Serve : StopAction::Refuse;
  }
  return StopAction::Serve;
}

} // namespace amaranthspur
