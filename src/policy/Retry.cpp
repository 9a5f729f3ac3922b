#include "policy/Retry.h"

#include <algorithm>
#include <array>

namespace amaranthspur {
namespace {

constexpr Duration FirstDelay = milliseconds(10);
constexpr Duration MaxDelay = milliseconds(250);
/// Bounds the work that one statement causes if its deadline is far away. The
/// delays up to here add up to 1.3 s, longer than the median failover gap.
constexpr unsigned MaxAttempts = 10;

struct ReasonProspect {
  RefusalReason Reason;
  RetryProspect Prospect;
};

constexpr auto Prospects = std::to_array<ReasonProspect>({
    {RefusalReason::UnknownService, RetryProspect::Final},
    {RefusalReason::UnknownCaller, RetryProspect::Final},
    // A retry under overload adds to it.
    {RefusalReason::Overloaded, RetryProspect::Final},
    {RefusalReason::DeadlineUnreachable, RetryProspect::Final},
    {RefusalReason::DeadlineExpired, RetryProspect::Final},
    {RefusalReason::NoPrimary, RetryProspect::Later},
    {RefusalReason::NoMajority, RetryProspect::Later},
    {RefusalReason::NotPrimary, RetryProspect::Later},
    {RefusalReason::ReadOnlyServer, RetryProspect::Redirect},
    {RefusalReason::PrimarySuperseded, RetryProspect::Later},
    {RefusalReason::TooStale, RetryProspect::Redirect},
    {RefusalReason::InvalidToken, RetryProspect::Final},
    {RefusalReason::InvalidSetting, RetryProspect::Final},
    {RefusalReason::Unsupported, RetryProspect::Final},
    {RefusalReason::OwnerUnreachable, RetryProspect::Later},
    {RefusalReason::NotOwner, RetryProspect::Later},
    {RefusalReason::ConnectionLimit, RetryProspect::Later},
    {RefusalReason::ConnectionLost, RetryProspect::Later},
    {RefusalReason::NotConfirmed, RetryProspect::Later},
    // The owner that shuts down hands its servers to another entry VM.
    {RefusalReason::ShuttingDown, RetryProspect::Later},
    {RefusalReason::MessageTooLarge, RetryProspect::Final},
    {RefusalReason::Cancelled, RetryProspect::Final},
});
static_assert(Prospects.size() == detail::RefusalReasons.size(),
              "every refusal reason has a prospect");

Duration delayAfter(unsigned Attempts) {
  Duration Delay = FirstDelay;
  for (unsigned I = 1; I < Attempts && Delay < MaxDelay; ++I)
    Delay *= 2;
  return std::min(Delay, MaxDelay);
}

/// What both policies agree on: nothing within a transaction, nothing that
/// cannot succeed, a bounded number of attempts, and none past the deadline.
std::optional<RetryAfter> planRetry(const RetryQuestion &Question,
                                    TimePoint Now) {
  const RetryProspect Prospect = prospectOf(Question.Failure.Reason);
  if (Question.InTransaction || Prospect == RetryProspect::Final ||
      Question.Attempts >= MaxAttempts)
    return std::nullopt;
  const Duration Delay = Prospect == RetryProspect::Redirect
                             ? Duration::zero()
                             : delayAfter(Question.Attempts);
  if (Question.Deadline - Now <= Delay)
    return std::nullopt;
  return RetryAfter{Delay};
}

class BudgetedRetry final : public Retry {
public:
  std::optional<RetryAfter> decide(const RetryQuestion &Question,
                                   RetryBudget &Budget,
                                   TimePoint Now) const override {
    const bool CertainlyNotRun = Question.Failure.Kind == RefusalKind::NotRun;
    const bool MayRunTwice =
        Question.Wants == Access::Read || Question.Mark == Repeatable::On;
    if (!CertainlyNotRun && !MayRunTwice)
      return std::nullopt;
    const auto Plan = planRetry(Question, Now);
    if (!Plan)
      return std::nullopt;
    // A redirect corrects a routing decision and ends at the primary, so it is
    // bounded without the budget.
    const bool Free = CertainlyNotRun && prospectOf(Question.Failure.Reason) ==
                                             RetryProspect::Redirect;
    if (!Free && !Budget.take())
      return std::nullopt;
    return Plan;
  }
};

class BlindRetry final : public Retry {
public:
  std::optional<RetryAfter> decide(const RetryQuestion &Question, RetryBudget &,
                                   TimePoint Now) const override {
    return planRetry(Question, Now);
  }
};

} // namespace

RetryProspect prospectOf(RefusalReason Reason) {
  for (const ReasonProspect &Row : Prospects)
    if (Row.Reason == Reason)
      return Row.Prospect;
  return RetryProspect::Final;
}

void RetryBudget::onRequest() {
  this->Tokens = std::min(this->Tokens + TokensPerRequest, MaxTokens);
}

bool RetryBudget::take() {
  // The share is not a binary fraction; ten of them add up to just below one.
  constexpr double Rounding = 1e-9;
  if (this->Tokens + Rounding < 1)
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
