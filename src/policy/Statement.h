// Statements of a caller's session and their answers, independent of the wire
// protocol.
#ifndef AMARANTHSPUR_POLICY_STATEMENT_H
#define AMARANTHSPUR_POLICY_STATEMENT_H

#include "core/Enums.h"
#include "core/Names.h"
#include "core/Types.h"

#include <array>
#include <optional>
#include <string>
#include <vector>

namespace amaranthspur {

/// The kind of a statement.
enum class StatementVerb {
  Begin,
  Commit,
  Rollback,
  Read,
  Write,
  Set,
  Prepare,
  Execute,
  Deallocate,
};

template <> struct EnumNames<StatementVerb> {
  static constexpr auto Entries =
      std::to_array<std::pair<StatementVerb, std::string_view>>(
          {{StatementVerb::Begin, "begin"},
           {StatementVerb::Commit, "commit"},
           {StatementVerb::Rollback, "rollback"},
           {StatementVerb::Read, "read"},
           {StatementVerb::Write, "write"},
           {StatementVerb::Set, "set"},
           {StatementVerb::Prepare, "prepare"},
           {StatementVerb::Execute, "execute"},
           {StatementVerb::Deallocate, "deallocate"}});
};

/// One statement of a caller.
struct Statement {
  std::string Id;
  StatementVerb Kind = StatementVerb::Read;
  /// Prepare: access of the prepared statement. Begin: Read for a read-only
  /// transaction.
  Access Mode = Access::Write;
  std::string Name; ///< Set: name of the setting. Prepare, Execute,
                    ///< Deallocate: name of the prepared statement.
  std::string Body; ///< Set: the value. Prepare: the shape of the statement.
                    ///< Execute: the text after the name.
  std::string Text; ///< As the caller sent it.
};

/// The reason why a statement has no result.
enum class AnswerCode {
  Busy,
  Lagging,
  ReadOnly,
  WrongServer,
  TooManyConnections,
  Failed,
  UnknownStatement,
  Timeout,
  NotAuthorised,
  UnknownDatabase,
  TooBig,
  Malformed,
  Aborted,
  OutcomeUnknown,
};

template <> struct EnumNames<AnswerCode> {
  static constexpr auto Entries =
      std::to_array<std::pair<AnswerCode, std::string_view>>(
          {{AnswerCode::Busy, "busy"},
           {AnswerCode::Lagging, "lagging"},
           {AnswerCode::ReadOnly, "read-only"},
           {AnswerCode::WrongServer, "wrong-server"},
           {AnswerCode::TooManyConnections, "too-many-connections"},
           {AnswerCode::Failed, "failed"},
           {AnswerCode::UnknownStatement, "unknown-statement"},
           {AnswerCode::Timeout, "timeout"},
           {AnswerCode::NotAuthorised, "not-authorised"},
           {AnswerCode::UnknownDatabase, "unknown-database"},
           {AnswerCode::TooBig, "too-big"},
           {AnswerCode::Malformed, "malformed"},
           {AnswerCode::Aborted, "aborted"},
           {AnswerCode::OutcomeUnknown, "outcome-unknown"}});
};

/// The answer to one statement.
struct Answer {
  std::vector<std::string> Rows;
  std::optional<AnswerCode> Code; ///< Nothing if the statement succeeded.
  std::string Detail; ///< Success: the server's digest, or "-". Otherwise a
                      ///< description of the error.
  TransactionState State = TransactionState::Idle;
  std::optional<LogPosition> Position; ///< End of the server's log.

  bool succeeded() const { return !this->Code; }
};

/// Creates an answer with an error.
inline Answer failure(AnswerCode Code, std::string Detail,
                      TransactionState State = TransactionState::Idle) {
  Answer A;
  A.Code = Code;
  A.Detail = std::move(Detail);
  A.State = State;
  return A;
}

/// Creates the answer to a statement that the proxy executes itself.
inline Answer success(TransactionState State) {
  Answer A;
  A.Detail = "-";
  A.State = State;
  return A;
}

/// Returns whether an error from a backend server means that the server did not
/// start the statement, so that it had no effect.
constexpr bool isNotRun(AnswerCode Code) {
  switch (Code) {
  case AnswerCode::Busy:
  case AnswerCode::Lagging:
  case AnswerCode::ReadOnly:
  case AnswerCode::WrongServer:
  case AnswerCode::TooManyConnections:
  case AnswerCode::UnknownStatement:
    return true;
  default:
    return false;
  }
}

/// Returns whether an error from a backend server means that the server is not
/// able to run the statement: it lags, has another role, is a different server,
/// has no connection left or does not know the prepared statement. A busy
/// server is able to.
constexpr bool isUnable(AnswerCode Code) {
  return isNotRun(Code) && Code != AnswerCode::Busy;
}

} // namespace amaranthspur

#endif // AMARANTHSPUR_POLICY_STATEMENT_H
