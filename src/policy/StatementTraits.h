// Classifies statements by their text.
//
// The classification is a heuristic whose errors are harmless: a write that is
// classified as a read is refused by the replica and then sent to the primary;
// a read that is classified as a write is only sent to the primary without
// need.
#ifndef AMARANTHSPUR_POLICY_STATEMENTTRAITS_H
#define AMARANTHSPUR_POLICY_STATEMENTTRAITS_H

#include "core/Enums.h"
#include "core/Result.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace amaranthspur {

/// The effect of a statement on the transaction or the session.
enum class StatementKind {
  Plain,            ///< Leaves no state in the session.
  Begin,            ///< Opens a transaction: BEGIN, START.
  End,              ///< Ends a transaction: COMMIT, ROLLBACK, END, ABORT.
  SetProxySetting,  ///< Assigns an amaranthspur.* setting with SET.
  ShowProxySetting, ///< Reads an amaranthspur.* setting with SHOW.
  SessionState,     ///< Would leave state in a pooled connection: SET, LISTEN,
                    ///< PREPARE, DECLARE WITH HOLD, temporary tables.
  Empty,            ///< The text contains no statement.
};

template <> struct EnumNames<StatementKind> {
  static constexpr auto Entries =
      std::to_array<std::pair<StatementKind, std::string_view>>(
          {{StatementKind::Plain, "plain"},
           {StatementKind::Begin, "begin"},
           {StatementKind::End, "end"},
           {StatementKind::SetProxySetting, "set-own"},
           {StatementKind::ShowProxySetting, "show-own"},
           {StatementKind::SessionState, "session-state"},
           {StatementKind::Empty, "empty"}});
};

/// An assignment of a setting in a comment before a statement or by SET.
struct SettingAssignment {
  std::string Name; ///< Without the prefix `amaranthspur.`.
  std::string Value;
};

/// The result of classifying the text of a statement.
struct StatementTraits {
  StatementKind Kind = StatementKind::Plain;
  Access InferredAccess = Access::Write;
  std::uint64_t Shape = 0; ///< Hash of the text without the literals.
  bool Multiple = false;   ///< The text contains several statements.
  std::vector<SettingAssignment> Settings; ///< From comments, SET and SHOW.
};

/// Classifies \p Text in time linear in its length. An unknown statement is
/// classified as a plain write.
/// \param Text the statement as the caller sent it, which is untrusted.
StatementTraits classify(std::string_view Text);

} // namespace amaranthspur

#endif // AMARANTHSPUR_POLICY_STATEMENTTRAITS_H
