#include "policy/Retry.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <vector>

using namespace amaranthspur;

namespace {

constexpr TimePoint Start{std::chrono::seconds(100)};

/// Returns a budget with \p Left retries.
RetryBudget budgetWith(unsigned Left) {
  RetryBudget Budget;
  while (Budget.take())
    continue;
  for (unsigned I = 0; I < Left * 10; ++I)
    Budget.onRequest();
  return Budget;
}

unsigned retriesLeft(RetryBudget Budget) {
  unsigned Count = 0;
  while (Budget.take())
    ++Count;
  return Count;
}

/// Reference implementation: checks the rules of the design document, section
/// 8.4, one after another.
bool referenceDecision(const RetryRequest &Q, unsigned Left, TimePoint Now) {
  using R = RefusalReason;
  const std::vector<R> NotRetryable = {
      R::UnknownService,  R::UnknownCaller,
      R::Overloaded,      R::DeadlineUnreachable,
      R::DeadlineExpired, R::InvalidToken,
      R::InvalidSetting,  R::Unsupported,
      R::MessageTooLarge, R::Cancelled};
  const std::vector<R> Redirected = {R::ReadOnlyServer, R::TooStale};
  const auto IsIn = [&Q](const std::vector<R> &Reasons) {
    return std::find(Reasons.begin(), Reasons.end(), Q.Failure.Reason) !=
           Reasons.end();
  };
  if (Q.InTransaction)
    return false;
  if (IsIn(NotRetryable))
    return false;
  if (Q.Attempts >= 10)
    return false;
  if (Q.Failure.Kind == RefusalKind::OutcomeUnknown &&
      Q.RequestedAccess == Access::Write && Q.Repeatability == Repeatable::Off)
    return false;
  Duration Delay{};
  if (!IsIn(Redirected)) {
    Delay = milliseconds(10);
    for (unsigned I = 1; I < Q.Attempts; ++I)
      Delay = std::min<Duration>(Delay * 2, milliseconds(250));
  }
  if (Now + Delay >= Q.Deadline)
    return false;
  const bool ExemptFromBudget =
      IsIn(Redirected) && Q.Failure.Kind == RefusalKind::NotRun;
  return ExemptFromBudget || Left > 0;
}

} // namespace

// Guards against an unrepeatable write that is sent twice (promise P6 of the
// design document), against a retry after the deadline or beyond the budget,
// and against a refusal reason without a rule. The test enumerates all
// combinations of refusal reason, statement, deadline and budget.
TEST_CASE("budgeted retry agrees with the reference implementation") {
  const auto Retry = makeBudgetedRetry();
  for (const auto &Info : detail::RefusalReasons)
    for (const auto Kind : {RefusalKind::NotRun, RefusalKind::OutcomeUnknown})
      for (const auto Wants : {Access::Read, Access::Write})
        for (const auto Mark : {Repeatable::On, Repeatable::Off})
          for (const bool InTransaction : {false, true})
            for (const unsigned Attempts : {1U, 2U, 5U, 9U, 10U})
              for (const int Remaining : {-1, 0, 10, 11, 200, 5000})
                for (const unsigned Left : {0U, 1U, 3U}) {
                  RetryRequest Q;
                  Q.Failure = {Kind, Info.Reason, {}};
                  Q.RequestedAccess = Wants;
                  Q.Repeatability = Mark;
                  Q.InTransaction = InTransaction;
                  Q.Attempts = Attempts;
                  Q.Deadline = Start + milliseconds(Remaining);
                  RetryBudget Budget = budgetWith(Left);
                  const auto Decision = Retry->decide(Q, Budget, Start);
                  CAPTURE(nameOf(Info.Reason), nameOf(Kind), nameOf(Wants),
                          nameOf(Mark), InTransaction, Attempts, Remaining,
                          Left);
                  REQUIRE(Decision.has_value() ==
                          referenceDecision(Q, Left, Start));
                  REQUIRE((!Decision || Start + Decision->Delay < Q.Deadline));
                  const bool Charged =
                      Decision &&
                      (Kind == RefusalKind::OutcomeUnknown ||
                       retryabilityOf(Info.Reason) == Retryability::Later);
                  REQUIRE(retriesLeft(Budget) == Left - (Charged ? 1 : 0));
                }
}

// Guards against retries that multiply the load: in the long run, at most a
// tenth of the requests may be retried.
TEST_CASE("the budget is a tenth of the requests") {
  struct Row {
    unsigned Requests;
    unsigned Retries;
  };
  const Row Rows[] = {{0, 10}, {9, 10}, {10, 11}, {100, 20}, {5000, 100}};
  for (const Row &R : Rows) {
    CAPTURE(R.Requests);
    RetryBudget Budget;
    for (unsigned I = 0; I < R.Requests; ++I)
      Budget.onRequest();
    CHECK(retriesLeft(Budget) == R.Retries);
  }
}

// Guards against a blind-retry variant that sends no write twice, in which case
// the test of the history checker would prove nothing.
TEST_CASE("blind retry sends an unrepeatable write again") {
  RetryRequest Q;
  Q.Failure = outcomeUnknown(RefusalReason::ConnectionLost);
  Q.Deadline = Start + std::chrono::seconds(5);
  RetryBudget Budget;
  CHECK(makeBlindRetry()->decide(Q, Budget, Start));
  CHECK_FALSE(makeBudgetedRetry()->decide(Q, Budget, Start));
}
