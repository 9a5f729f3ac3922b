// Decides whether a statement that was refused or lost is sent again.
#ifndef AMARANTHSPUR_POLICY_RETRY_H
#define AMARANTHSPUR_POLICY_RETRY_H

#include "core/Clock.h"
#include "core/Enums.h"
#include "core/Refusal.h"

#include <memory>
#include <optional>

namespace amaranthspur {

/// Whether another attempt can succeed after a refusal.
enum class Retryability {
  Final,    ///< It is refused again or adds to an overload.
  Redirect, ///< It can succeed at another server without delay.
  Later,    ///< It can succeed later, as the cause is temporary.
};

template <> struct EnumNames<Retryability> {
  static constexpr auto Entries =
      std::to_array<std::pair<Retryability, std::string_view>>(
          {{Retryability::Final, "final"},
           {Retryability::Redirect, "redirect"},
           {Retryability::Later, "later"}});
};

/// Returns whether a statement that was refused for \p Reason can be retried.
Retryability retryabilityOf(RefusalReason Reason);

/// A failed statement, for which a retry is considered.
struct RetryRequest {
  Refusal Failure;
  Access RequestedAccess = Access::Write;
  Repeatable Repeatability = Repeatable::Off;
  /// A statement of an open transaction is never sent again.
  bool InTransaction = false;
  unsigned Attempts = 1; ///< Attempts so far, including refused ones.
  TimePoint Deadline;
};

/// The decision to send a statement again after Delay.
struct RetryDecision {
  Duration Delay{};
};

/// The retry budget of one caller: a token bucket that each request refills by
/// a tenth of a retry, so that retries do not multiply the load.
class RetryBudget {
public:
  /// Records one request of the caller, which adds to the budget.
  void onRequest();
  /// Takes one retry from the budget. Returns false if none is left.
  bool take();

private:
  double Tokens = InitialTokens;
  static constexpr double InitialTokens = 10;
  static constexpr double TokensPerRequest = 0.1;
  static constexpr double MaxTokens = 100;
};

/// Decides whether and when failed statements are retried.
class Retry {
public:
  virtual ~Retry() = default;

  /// Returns the delay until the next attempt, or nothing if the statement is
  /// not retried.
  /// \param Budget the retry budget of the caller, which is charged for a
  /// granted retry.
  virtual std::optional<RetryDecision> decide(const RetryRequest &Question,
                                              RetryBudget &Budget,
                                              TimePoint Now) const = 0;
};

/// Creates the policy that retries statements that are known not to have run,
/// reads, and writes that are marked as repeatable, within the caller's budget.
std::unique_ptr<Retry> makeBudgetedRetry();

/// Creates a policy that also retries unrepeatable writes whose outcome is
/// unknown, without a budget. It violates the guarantees on purpose, in order
/// to test that the history checker detects doubled writes.
std::unique_ptr<Retry> makeBlindRetry();

} // namespace amaranthspur

#endif // AMARANTHSPUR_POLICY_RETRY_H
