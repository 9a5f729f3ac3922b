// Whether a statement without an answer may be sent again.
#ifndef AMARANTHSPUR_POLICY_RETRY_H
#define AMARANTHSPUR_POLICY_RETRY_H

#include "core/Clock.h"
#include "core/Enums.h"
#include "core/Outcome.h"

#include <memory>
#include <optional>

namespace amaranthspur {

/// What another attempt can achieve after a refusal.
enum class RetryProspect {
  Final,    ///< It meets the same refusal or makes things worse.
  Redirect, ///< Another server can answer at once.
  Later,    ///< The condition passes.
};

template <> struct EnumNames<RetryProspect> {
  static constexpr auto Entries =
      std::to_array<std::pair<RetryProspect, std::string_view>>(
          {{RetryProspect::Final, "final"},
           {RetryProspect::Redirect, "redirect"},
           {RetryProspect::Later, "later"}});
};

/// Returns the prospect of a statement that was refused for \p Reason.
RetryProspect prospectOf(RefusalReason Reason);

/// What is known when a statement has failed.
struct RetryQuestion {
  Refusal Failure;
  Access Wants = Access::Write;
  Repeatable Mark = Repeatable::Off;
  bool InTransaction =
      false;             ///< A statement of a transaction is never re-sent.
  unsigned Attempts = 1; ///< Sent or refused so far.
  TimePoint Deadline;
};

/// Send it again after Delay.
struct RetryAfter {
  Duration Delay{};
};

/// One caller's budget for retries: a share of its requests.
class RetryBudget {
public:
  /// Takes in one request of the caller.
  void onRequest();
  /// Takes one retry out of the budget; false if none is left.
  bool take();

private:
  double Tokens = InitialTokens;
  static constexpr double InitialTokens = 10;
  static constexpr double TokensPerRequest = 0.1;
  static constexpr double MaxTokens = 100;
};

/// Decides about retries.
class Retry {
public:
  virtual ~Retry() = default;

  /// Returns when to send again, or nothing if the failure is final.
  /// \param Budget of the caller; one retry is taken out if one is granted.
  virtual std::optional<RetryAfter> decide(const RetryQuestion &Question,
                                           RetryBudget &Budget,
                                           TimePoint Now) const = 0;
};

/// Retries what is known not to have run, and reads and repeatable writes.
std::unique_ptr<Retry> makeBudgetedRetry();

/// Retries everything, also unrepeatable writes with an unknown outcome. Broken
/// on purpose, to prove that the history checker finds it.
std::unique_ptr<Retry> makeBlindRetry();

} // namespace amaranthspur

#endif // AMARANTHSPUR_POLICY_RETRY_H
