#include "policy/Retry.h"

#include <algorithm>
#include <array>

namespace amaranthspur {
namespace {

constexpr Duration FirstDelay = milliseconds(10);
constexpr Duration MaxDelay = milliseconds(250);
/// Bounds the load that one statement with a distant deadline can cause. The
/// delays between this many attempts add up to 1.3 s, which is longer than the
/// median time without a primary during a failover.
constexpr unsigned MaxAttempts = 10;

struct ReasonRetryability {
  RefusalReason Reason;
  Retryability RetryClass;
};

constexpr auto RetryabilityTable = std::to_array<ReasonRetryability>({
    {RefusalReason::UnknownService, Retryability::Final},
    {RefusalReason::UnknownCaller, Retryability::Final},
    // A retry would add to the overload.
    {RefusalReason::Overloaded, Retryability::Final},
    {RefusalReason::DeadlineUnreachable, Retryability::Final},
    {RefusalReason::DeadlineExpired, Retryability::Final},
    {RefusalReason::NoPrimary, Retryability::Later},
    {RefusalReason::NoMajority, Retryability::Later},
    {RefusalReason::NotPrimary, Retryability::Later},
    {RefusalReason::ReadOnlyServer, Retryability::Redirect},
    {RefusalReason::PrimarySuperseded, Retryability::Later},
    {RefusalReason::TooStale, Retryability::Redirect},
    {RefusalReason::InvalidToken, Retryability::Final},
    {RefusalReason::InvalidSetting, Retryability::Final},
    {RefusalReason::Unsupported, Retryability::Final},
    {RefusalReason::OwnerUnreachable, Retryability::Later},
    {RefusalReason::NotOwner, Retryability::Later},
    {RefusalReason::ConnectionLimit, Retryability::Later},
    {RefusalReason::ConnectionLost, Retryability::Later},
    {RefusalReason::NotConfirmed, Retryability::Later},
    // An entry VM that shuts down hands over its servers to another one.
    {RefusalReason::ShuttingDown, Retryability::Later},
    {RefusalReason::MessageTooLarge, Retryability::Final},
    {RefusalReason::Cancelled, Retryability::Final},
});
static_assert(RetryabilityTable.size() == detail::RefusalReasons.size(),
              "every refusal reason has an entry");

Duration delayAfter(unsigned Attempts) {
  Duration Delay = FirstDelay;
  for (unsigned I = 1; I < Attempts && Delay < MaxDelay; ++I)
    Delay *= 2;
  return std::min(Delay, MaxDelay);
}

/// Applies the rules that both policies share: no retry within a transaction,
/// no retry that cannot succeed, a bounded number of attempts, and no attempt
/// after the deadline. Returns the delay until the next attempt, or nothing.
std::optional<RetryDecision> scheduleRetry(const RetryRequest &Question,
                                           TimePoint Now) {
  const Retryability RetryClass = retryabilityOf(Question.Failure.Reason);
  if (Question.InTransaction || RetryClass == Retryability::Final ||
      Question.Attempts >= MaxAttempts)
    return std::nullopt;
  const Duration Delay = RetryClass == Retryability::Redirect
                             ? Duration::zero()
                             : delayAfter(Question.Attempts);
  if (Question.Deadline - Now <= Delay)
    return std::nullopt;
  return RetryDecision{Delay};
}

class BudgetedRetry final : public Retry {
public:
  std::optional<RetryDecision> decide(const RetryRequest &Question,
                                      RetryBudget &Budget,
                                      TimePoint Now) const override {
    const bool KnownNotRun = Question.Failure.Kind == RefusalKind::NotRun;
    const bool MayRunTwice = Question.RequestedAccess == Access::Read ||
                             Question.Repeatability == Repeatable::On;
    if (!KnownNotRun && !MayRunTwice)
      return std::nullopt;
    const auto Scheduled = scheduleRetry(Question, Now);
    if (!Scheduled)
      return std::nullopt;
    // Redirects end at the primary, so their number is bounded without the
    // budget: each one only corrects a routing decision.
    const bool ExemptFromBudget =
        KnownNotRun &&
        retryabilityOf(Question.Failure.Reason) == Retryability::Redirect;
    if (!ExemptFromBudget && !Budget.take())
      return std::nullopt;
    return Scheduled;
  }
};

class BlindRetry final : public Retry {
public:
  std::optional<RetryDecision> decide(const RetryRequest &Question,
                                      RetryBudget &,
                                      TimePoint Now) const override {
    return scheduleRetry(Question, Now);
  }
};

} // namespace

Retryability retryabilityOf(RefusalReason Reason) {
  for (const ReasonRetryability &Row : RetryabilityTable)
    if (Row.Reason == Reason)
      return Row.RetryClass;
  return Retryability::Final;
}

void RetryBudget::onRequest() {
  this->Tokens = std::min(this->Tokens + TokensPerRequest, MaxTokens);
}

bool RetryBudget::take() {
  // TokensPerRequest has no exact binary representation: the sum of ten of them
  // is slightly less than one.
  constexpr double RoundingError = 1e-9;
  if (this->Tokens + RoundingError < 1)
    return false;
  this->Tokens = std::max(this->Tokens - 1, 0.0);
  return true;
}

std::unique_ptr<Retry> makeBudgetedRetry() {
  return std::make_unique<BudgetedRetry>();
}

std::unique_ptr<Retry> makeBlindRetry() {
  return std::make_unique<BlindRetry>();
}

} // namespace amaranthspur
