// Splits SQL text into statements and recognises those that SQLite does not
// parse: transaction control, session settings and the group_* functions.
#ifndef AMARANTHSPUR_TESTING_FAKE_BACKEND_STATEMENT_H
#define AMARANTHSPUR_TESTING_FAKE_BACKEND_STATEMENT_H

#include "core/Names.h"

#include <array>
#include <string>
#include <string_view>
#include <vector>

namespace amaranthspur::fake {

/// The kinds of statements that are executed differently.
enum class StatementForm {
  Empty,
  Begin,
  Commit,
  Rollback,
  Setting, ///< SET, RESET, DISCARD, DEALLOCATE; accepted and ignored.
  Control, ///< A call of a group_* function.
  Read,    ///< Presumably a read; SQLite decides when it prepares it.
  Write,   ///< A write, recognised by its first keyword.
};

/// The functions of section 6 of the design, and Counters and SetLag for tests.
enum class ControlFunction {
  Status,
  AdoptTerm,
  Promote,
  Follow,
  AcquireOwner,
  Counters, ///< Returns the counters of the server.
  SetLag,   ///< Sets the replication lag in ms.
};

/// A call of a control function. The arguments have no quotes.
struct ControlCall {
  ControlFunction Function = ControlFunction::Status;
  std::vector<std::string> Arguments;
};

/// A classified statement. Text refers to the parsed string.
struct Statement {
  StatementForm Form = StatementForm::Empty;
  std::string_view Text; ///< Without leading comments and whitespace.
  std::string Tag;       ///< Tag of CommandComplete without the row count.
  ControlCall Call;      ///< Set for StatementForm::Control.
};

/// Removes the first statement from \p Rest and returns it without the
/// semicolon that ends it. Semicolons in quotes and comments are ignored.
/// CREATE TRIGGER consumes all of \p Rest, because its body contains
/// semicolons.
std::string_view consumeStatement(std::string_view &Rest);

/// Classifies a statement that consumeStatement returned, in linear time.
Statement parseStatement(std::string_view Text);

} // namespace amaranthspur::fake

namespace amaranthspur {

template <> struct EnumNames<fake::ControlFunction> {
  static constexpr auto Entries =
      std::to_array<std::pair<fake::ControlFunction, std::string_view>>(
          {{fake::ControlFunction::Status, "group_status"},
           {fake::ControlFunction::AdoptTerm, "group_adopt_term"},
           {fake::ControlFunction::Promote, "group_promote"},
           {fake::ControlFunction::Follow, "group_follow"},
           {fake::ControlFunction::AcquireOwner, "group_acquire_owner"},
           {fake::ControlFunction::Counters, "group_counters"},
           {fake::ControlFunction::SetLag, "group_set_lag"}});
};

template <> struct EnumNames<fake::StatementForm> {
  static constexpr auto Entries =
      std::to_array<std::pair<fake::StatementForm, std::string_view>>(
          {{fake::StatementForm::Empty, "empty"},
           {fake::StatementForm::Begin, "begin"},
           {fake::StatementForm::Commit, "commit"},
           {fake::StatementForm::Rollback, "rollback"},
           {fake::StatementForm::Setting, "setting"},
           {fake::StatementForm::Control, "control"},
           {fake::StatementForm::Read, "read"},
           {fake::StatementForm::Write, "write"}});
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_TESTING_FAKE_BACKEND_STATEMENT_H
