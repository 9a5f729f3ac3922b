// Enumerations that several modules share, each with its table of names.
#ifndef AMARANTHSPUR_CORE_ENUMS_H
#define AMARANTHSPUR_CORE_ENUMS_H

#include "core/Names.h"
#include "core/Types.h"

#include <array>

namespace amaranthspur {

template <> struct EnumNames<ServerRole> {
  static constexpr auto Entries =
      std::to_array<std::pair<ServerRole, std::string_view>>(
          {{ServerRole::Primary, "primary"}, {ServerRole::Replica, "replica"}});
};

/// Whether a statement only reads data or may also write it.
enum class Access { Read, Write };

template <> struct EnumNames<Access> {
  static constexpr auto Entries =
      std::to_array<std::pair<Access, std::string_view>>(
          {{Access::Read, "read"}, {Access::Write, "write"}});
};

/// Whether a statement may be retried when its outcome is unknown.
enum class Repeatable { On, Off };

template <> struct EnumNames<Repeatable> {
  static constexpr auto Entries =
      std::to_array<std::pair<Repeatable, std::string_view>>(
          {{Repeatable::On, "on"}, {Repeatable::Off, "off"}});
};

/// Transaction state of a connection, as PostgreSQL's ReadyForQuery message
/// reports it.
enum class TransactionState { Idle, InTransaction, Failed };

template <> struct EnumNames<TransactionState> {
  static constexpr auto Entries =
      std::to_array<std::pair<TransactionState, std::string_view>>(
          {{TransactionState::Idle, "idle"},
           {TransactionState::InTransaction, "in-transaction"},
           {TransactionState::Failed, "failed"}});
};

/// The set of policies that a daemon uses. All but the first exist only for
/// comparisons and to test that the history checker detects violations.
enum class PolicyVariant {
  Amaranthspur, ///< The policies for production.
  Naive,        ///< Simple baseline that is compared with Amaranthspur.
  NoQuorumWait, ///< Acknowledges a write before replicas have confirmed it.
  BlindRetry,   ///< Retries even statements that are not repeatable.
  TokenIgnored, ///< Ignores how recent the data of a read must be.
  EarlyReturn,  ///< Returns connections to the pool within a transaction.
};

template <> struct EnumNames<PolicyVariant> {
  static constexpr auto Entries =
      std::to_array<std::pair<PolicyVariant, std::string_view>>(
          {{PolicyVariant::Amaranthspur, "amaranthspur"},
           {PolicyVariant::Naive, "naive"},
           {PolicyVariant::NoQuorumWait, "no-quorum-wait"},
           {PolicyVariant::BlindRetry, "blind-retry"},
           {PolicyVariant::TokenIgnored, "token-ignored"},
           {PolicyVariant::EarlyReturn, "early-return"}});
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_CORE_ENUMS_H
