// What a statement's text asks the stand-in to do, as far as SQLite does not
// parse it: transaction control, session settings and the group_* functions.
#ifndef AMARANTHSPUR_TESTING_FAKE_BACKEND_STATEMENT_H
#define AMARANTHSPUR_TESTING_FAKE_BACKEND_STATEMENT_H

#include "core/Names.h"

#include <array>
#include <string>
#include <string_view>
#include <vector>

namespace amaranthspur::fake {

/// How a statement is carried out.
enum class StatementForm {
  Empty,
  Begin,
  Commit,
  Rollback,
  Setting, ///< SET, RESET, DISCARD, DEALLOCATE: accepted without effect.
  Control, ///< A group_* function.
  Read,    ///< Probably reads; SQLite decides.
  Write,   ///< Certainly writes, by its first word.
};

/// The functions of section 6 of the design, and two for tests.
enum class ControlFunction {
  Status,
  AdoptTerm,
  Promote,
  Follow,
  AcquireOwner,
  Counters, ///< Counts of refused connections and the like.
  SetLag,   ///< Sets the replication lag in ms.
};

/// One call of a control function; arguments without quotes.
struct ControlCall {
  ControlFunction Function = ControlFunction::Status;
  std::vector<std::string> Arguments;
};

/// One statement. Text is a view into what was parsed.
struct Statement {
  StatementForm Form = StatementForm::Empty;
  std::string_view Text; ///< Without leading comments and blanks.
  std::string Tag;       ///< Words of CommandComplete, without counts.
  ControlCall Call;      ///< Of StatementForm::Control.
};

/// Takes the first statement off \p Rest, up to a semicolon outside quotes and
/// comments, without it. A CREATE TRIGGER takes everything, because its body
/// has semicolons.
std::string_view takeStatement(std::string_view &Rest);

/// Classifies one statement as takeStatement returns it. Linear.
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
