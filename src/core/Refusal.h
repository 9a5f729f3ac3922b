// Refusals: why a statement was not answered, and whether it may have run.
#ifndef AMARANTHSPUR_CORE_REFUSAL_H
#define AMARANTHSPUR_CORE_REFUSAL_H

#include "core/Names.h"

#include <array>
#include <string>

namespace amaranthspur {

/// Whether a refused statement may have run.
enum class RefusalKind {
  NotRun,         ///< It certainly did not run: no byte of it was sent to a
                  ///< server, or the server said so.
  OutcomeUnknown, ///< It was sent to a server and may have run.
};

template <> struct EnumNames<RefusalKind> {
  static constexpr auto Entries =
      std::to_array<std::pair<RefusalKind, std::string_view>>(
          {{RefusalKind::NotRun, "not run"},
           {RefusalKind::OutcomeUnknown, "outcome unknown"}});
};

/// Why a statement was refused.
enum class RefusalReason {
  UnknownService,
  UnknownCaller,
  Overloaded,
  DeadlineUnreachable,
  DeadlineExpired,
  NoPrimary,
  NoMajority,
  NotPrimary,
  ReadOnlyServer,
  PrimarySuperseded,
  TooStale,
  InvalidToken,
  InvalidSetting,
  Unsupported,
  OwnerUnreachable,
  NotOwner,
  ConnectionLimit,
  ConnectionLost,
  NotConfirmed,
  ShuttingDown,
  MessageTooLarge,
  Cancelled,
};

/// Name and SQLSTATE of a refusal reason.
struct RefusalReasonInfo {
  RefusalReason Reason;
  std::string_view Name;
  std::string_view SqlState; ///< Five characters; see PostgreSQL, appendix A.
};

namespace detail {
inline constexpr auto RefusalReasons = std::to_array<RefusalReasonInfo>({
    {RefusalReason::UnknownService, "unknown service", "3D000"},
    {RefusalReason::UnknownCaller, "unknown caller", "28000"},
    {RefusalReason::Overloaded, "overloaded", "53000"},
    {RefusalReason::DeadlineUnreachable, "deadline cannot be met", "57014"},
    {RefusalReason::DeadlineExpired, "deadline expired", "57014"},
    {RefusalReason::NoPrimary, "no primary is known", "57P03"},
    {RefusalReason::NoMajority, "no majority of the group answers", "57P03"},
    {RefusalReason::NotPrimary, "server is not the primary", "57P03"},
    {RefusalReason::ReadOnlyServer, "server is a replica", "25006"},
    {RefusalReason::PrimarySuperseded, "primary was superseded", "57P04"},
    {RefusalReason::TooStale, "no server is fresh enough", "57P03"},
    {RefusalReason::InvalidToken, "invalid session token", "22023"},
    {RefusalReason::InvalidSetting, "invalid setting", "22023"},
    {RefusalReason::Unsupported, "not supported", "0A000"},
    {RefusalReason::OwnerUnreachable, "owner is unreachable", "08006"},
    {RefusalReason::NotOwner, "entry VM does not own the server", "57P03"},
    {RefusalReason::ConnectionLimit, "connection limit reached", "53300"},
    {RefusalReason::ConnectionLost, "connection to server lost", "08006"},
    {RefusalReason::NotConfirmed, "write was not confirmed in time", "08007"},
    {RefusalReason::ShuttingDown, "entry VM is shutting down", "57P01"},
    {RefusalReason::MessageTooLarge, "message is too large", "54000"},
    {RefusalReason::Cancelled, "cancelled by the caller", "57014"},
});
} // namespace detail

template <> struct EnumNames<RefusalReason> {
  static constexpr auto Entries = [] {
    std::array<std::pair<RefusalReason, std::string_view>,
               detail::RefusalReasons.size()>
        Names{};
    for (std::size_t I = 0; I < Names.size(); ++I)
      Names[I] = {detail::RefusalReasons[I].Reason,
                  detail::RefusalReasons[I].Name};
    return Names;
  }();
};

/// The refusal of a statement. Invariant: Kind is NotRun only if it is certain
/// that the statement did not run.
struct Refusal {
  RefusalKind Kind = RefusalKind::OutcomeUnknown;
  RefusalReason Reason = RefusalReason::ConnectionLost;
  std::string Detail; ///< Description of the cause; may be empty.
};

/// Creates a refusal of a statement that certainly did not run.
inline Refusal notRun(RefusalReason Reason, std::string Detail = {}) {
  return {RefusalKind::NotRun, Reason, std::move(Detail)};
}

/// Creates a refusal of a statement that may have run.
inline Refusal outcomeUnknown(RefusalReason Reason, std::string Detail = {}) {
  return {RefusalKind::OutcomeUnknown, Reason, std::move(Detail)};
}

/// Returns the SQLSTATE that a caller receives for a refusal. It is always
/// 08007 (transaction resolution unknown) for an unknown outcome, so that a
/// caller can distinguish the two kinds by the SQLSTATE alone.
constexpr std::string_view sqlState(RefusalKind Kind, RefusalReason Reason) {
  if (Kind == RefusalKind::OutcomeUnknown)
    return "08007";
  for (const RefusalReasonInfo &Info : detail::RefusalReasons)
    if (Info.Reason == Reason)
      return Info.SqlState;
  return "XX000";
}

/// Returns the error message that a caller receives, for example
/// "not run: overloaded (queue of caller bench is full)".
inline std::string message(const Refusal &R) {
  std::string Text(nameOf(R.Kind));
  Text += ": ";
  Text += nameOf(R.Reason);
  if (!R.Detail.empty())
    Text += " (" + R.Detail + ")";
  return Text;
}

} // namespace amaranthspur

#endif // AMARANTHSPUR_CORE_REFUSAL_H
