// One client connection of the stand-in.
//
// Transactions: reads outside a write transaction see the latest committed
// state, also between BEGIN and the first write (READ COMMITTED). The first
// write of a transaction takes the write lock of the whole database and keeps
// it to the end. Several statements in one Query, and the statements up to a
// Sync, form one implicit transaction.
#ifndef AMARANTHSPUR_TESTING_FAKE_BACKEND_SESSION_H
#define AMARANTHSPUR_TESTING_FAKE_BACKEND_SESSION_H

#include "testing/fake-backend/AnswerEncoder.h"
#include "testing/fake-backend/ServerState.h"
#include "testing/fake-backend/Statement.h"
#include "wire/Connection.h"

#include <map>

namespace amaranthspur::fake {

/// The answer to a statement in a transaction that has failed.
inline const SqlError FailedTransactionError{
    "25P02", "transaction has failed; statements are ignored until its end"};

/// How BackendKeyData names a session.
struct SessionKey {
  std::uint32_t ProcessId = 0;
  std::uint32_t Secret = 0;
};

/// Serves one connection after its start-up message.
///
/// In its coroutines co_await of a task always stands alone or initialises a
/// variable: as an operand of a condition, GCC 12 destroys the task twice.
class Session {
public:
  Session(ServerState &Server, Connection &Link, SessionKind Kind,
          SessionKey Key);
  Session(const Session &) = delete;
  Session &operator=(const Session &) = delete;
  ~Session();

  SessionKind kind() const { return this->Kind; }
  const SessionKey &key() const { return this->Key; }

  /// Serves until the client or the server ends the connection.
  QCoro::Task<> run();

  /// Makes the running statement fail with SQLSTATE 57014; no effect if none
  /// runs, or once its commit has begun.
  void cancel();

  /// Ends the connection with SQLSTATE 57P01.
  void terminate();

private:
  /// A prepared statement of the extended protocol.
  struct NamedStatement {
    std::string Text;
    std::vector<std::string> Columns; ///< Empty if it returns no rows.
    std::size_t ParameterCount = 0;
  };
  /// A portal: a statement and its parameters.
  struct Portal {
    std::string Statement; ///< Its text.
    std::vector<std::string> Columns;
    Parameters Values;
  };

  void greet();
  QCoro::Task<bool> serveFrames();
  bool handleAtOnce(const pg::Frame &F);
  QCoro::Task<> handle(const pg::Frame &F);
  QCoro::Task<> handleQuery(std::string_view Body);
  QCoro::Task<> handleExecute(std::string_view Body);
  void handleParse(std::string_view Body);
  void handleBind(std::string_view Body);
  void handleDescribe(std::string_view Body);
  void handleClose(std::string_view Body);
  SqlResult<NamedStatement> inspect(std::string_view Text);

  QCoro::Task<bool> execute(const Statement &S, const Parameters &Values);
  QCoro::Task<bool> executeRead(const Statement &S, const Parameters &Values);
  QCoro::Task<bool> executeWrite(const Statement &S, const Parameters &Values);
  QCoro::Task<std::optional<SqlError>> lockForWriting();
  QCoro::Task<bool> takeSlot();
  void giveSlot();
  QCoro::Task<bool> work(Duration Time);
  std::optional<SqlError> runWrite(const Statement &S, const Parameters &Values,
                                   Effect &Done);
  bool executeEnd(const Statement &S);
  bool executeControl(const Statement &S);

  std::optional<SqlError> commitWrites();
  void rollBackWrites();
  void endUnit();
  bool fail(const SqlError &E);
  void fatal(const SqlError &E);
  void skipToSync(const SqlError &E);
  QCoro::Task<> flush();
  void noteSeen() { this->Seen = this->Server.Members.end(); }

  ServerState &Server;
  Connection &Link;
  SessionKind Kind;
  SessionKey Key;
  AnswerEncoder Answer;
  Patience Waiting;
  TransactionState State = TransactionState::Idle;
  bool Writing = false; ///< Took the write lock; it may have been revoked.
  std::vector<std::string> Statements; ///< Writes of this transaction.
  LogPosition Seen; ///< Position of the state that the last statement saw.
  std::optional<LogPosition> Reported;
  std::map<std::string, NamedStatement, std::less<>> Named;
  std::map<std::string, Portal, std::less<>> Portals;
  bool SkippingToSync = false;
  bool Terminated = false; ///< By the server, from outside this task.
  bool Ended = false;
};

} // namespace amaranthspur::fake

#endif // AMARANTHSPUR_TESTING_FAKE_BACKEND_SESSION_H
