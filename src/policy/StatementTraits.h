// What a statement's text tells about it, without running it.
//
// The classification is a guess that is safe to get wrong: a write that is
// taken for a read is refused by the replica and goes to the primary; a read
// that is taken for a write only costs a trip to the primary.
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

/// What a statement does to the transaction or the session.
enum class StatementKind {
  Plain,        ///< Runs and leaves no state behind.
  Begin,        ///< Opens a transaction.
  End,          ///< COMMIT, ROLLBACK, END, ABORT.
  SetOwn,       ///< SET of an amaranthspur.* setting.
  ShowOwn,      ///< SHOW of an amaranthspur.* setting.
  SessionState, ///< Would leave state on a pooled connection: SET, LISTEN,
                ///< PREPARE, DECLARE WITH HOLD, temporary tables.
  Empty,        ///< No statement.
};

template <> struct EnumNames<StatementKind> {
  static constexpr auto Entries =
      std::to_array<std::pair<StatementKind, std::string_view>>(
          {{StatementKind::Plain, "plain"},
           {StatementKind::Begin, "begin"},
           {StatementKind::End, "end"},
           {StatementKind::SetOwn, "set-own"},
           {StatementKind::ShowOwn, "show-own"},
           {StatementKind::SessionState, "session-state"},
           {StatementKind::Empty, "empty"}});
};

/// A setting given in a leading comment or by SET.
struct SettingAssignment {
  std::string Name; ///< Without the prefix `amaranthspur.`.
  std::string Value;
};

/// The traits of one statement text.
struct StatementTraits {
  StatementKind Kind = StatementKind::Plain;
  Access Guess = Access::Write;
  std::uint64_t Shape = 0; ///< Hash of the text with literals left out.
  bool Multiple = false;   ///< More than one statement in the text.
  std::vector<SettingAssignment> Settings; ///< From comments, or of SetOwn.
};

/// Classifies \p Text. Linear in its length; never fails: what it does not know
/// is a plain write.
/// \param Text the statement as the caller sent it, untrusted.
StatementTraits classify(std::string_view Text);

} // namespace amaranthspur

#endif // AMARANTHSPUR_POLICY_STATEMENTTRAITS_H
