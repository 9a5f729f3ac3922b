// The enumerations that several modules share, each with its table of names.
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

/// Whether a statement only reads.
enum class Access { Read, Write };

template <> struct EnumNames<Access> {
  static constexpr auto Entries =
      std::to_array<std::pair<Access, std::string_view>>(
          {{Access::Read, "read"}, {Access::Write, "write"}});
};

/// Whether a statement may be run again after an unknown outcome.
enum class Repeatable { On, Off };

template <> struct EnumNames<Repeatable> {
  static constexpr auto Entries =
      std::to_array<std::pair<Repeatable, std::string_view>>(
          {{Repeatable::On, "on"}, {Repeatable::Off, "off"}});
};

/// State of a connection's transaction, as ReadyForQuery reports it.
enum class TransactionState { Idle, InTransaction, Failed };

template <> struct EnumNames<TransactionState> {
  static constexpr auto Entries =
      std::to_array<std::pair<TransactionState, std::string_view>>(
          {{TransactionState::Idle, "idle"},
           {TransactionState::InTransaction, "in-transaction"},
           {TransactionState::Failed, "failed"}});
};

/// The set of policies a daemon runs with. All but the first exist for
/// comparison and for proving that the history checker finds violations.
enum class PolicyVariant {
  Amaranthspur,
  Naive,
  NoQuorumWait,
  BlindRetry,
  TokenIgnored,
  EarlyReturn,
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
