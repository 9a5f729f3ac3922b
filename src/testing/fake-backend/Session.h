// A client session of the fake-backend.
//
// Reads outside a write transaction see the latest committed state, including
// reads between BEGIN and the first write (READ COMMITTED). The first write of
// a transaction acquires the write lock of the whole database and holds it
// until the transaction ends. The statements of one Query message, and the
// statements up to a Sync message, form one implicit transaction.
#ifndef AMARANTHSPUR_TESTING_FAKE_BACKEND_SESSION_H
#define AMARANTHSPUR_TESTING_FAKE_BACKEND_SESSION_H

#include "testing/fake-backend/AnswerEncoder.h"
#include "testing/fake-backend/ServerState.h"
#include "testing/fake-backend/Statement.h"
#include "wire/Connection.h"

#include <map>

namespace amaranthspur::fake {

/// The error for a statement in a failed transaction.
inline const SqlError FailedTransactionError{
    "25P02", "transaction has failed; statements are ignored until it ends"};

/// The session identification that BackendKeyData sends.
struct SessionKey {
  std::uint32_t ProcessId = 0;
  std::uint32_t Secret = 0;
};

/// Serves one connection after its start-up message.
///
/// In the coroutines of this class, co_await of a task is either a statement or
/// the initialiser of a variable. When co_await is an operand of a condition,
/// GCC 12 destroys the task twice.
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

  /// Makes the running statement fail with SQLSTATE 57014. This has no effect
  /// if no statement is running or if its commit has begun.
  void cancel();

  /// Ends the connection with SQLSTATE 57P01.
  void terminate();

private:
  /// A prepared statement of the extended protocol.
  struct PreparedStatement {
    std::string Text;
    std::vector<std::string> Columns; ///< Empty if it returns no rows.
    std::size_t ParameterCount = 0;
  };
  /// A portal of the extended protocol: a statement with bound parameters.
  struct Portal {
    std::string Statement; ///< The SQL text.
    std::vector<std::string> Columns;
    Parameters Values;
  };

  void sendStartupResponse();
  QCoro::Task<bool> serveFrames();
  bool handleWithoutWaiting(const pg::Frame &F);
  QCoro::Task<> handle(const pg::Frame &F);
  QCoro::Task<> handleQuery(std::string_view Body);
  QCoro::Task<> handleExecute(std::string_view Body);
  void handleParse(std::string_view Body);
  void handleBind(std::string_view Body);
  void handleDescribe(std::string_view Body);
  void handleClose(std::string_view Body);
  SqlResult<PreparedStatement> describeStatement(std::string_view Text);

  QCoro::Task<bool> execute(const Statement &S, const Parameters &Values);
  QCoro::Task<bool> executeRead(const Statement &S, const Parameters &Values);
  QCoro::Task<bool> executeWrite(const Statement &S, const Parameters &Values);
  QCoro::Task<std::optional<SqlError>> lockForWriting();
  QCoro::Task<bool> acquireSlot();
  void releaseSlot();
  QCoro::Task<bool> simulateWork(Duration Time);
  std::optional<SqlError> runWrite(const Statement &S, const Parameters &Values,
                                   ExecutionResult &Done);
  bool executeEnd(const Statement &S);
  bool executeControl(const Statement &S);

  std::optional<SqlError> commitWrites();
  void rollBackWrites();
  void finishQueryCycle();
  bool fail(const SqlError &E);
  void fatal(const SqlError &E);
  void skipToSync(const SqlError &E);
  QCoro::Task<> flush();
  void recordPosition() { this->ObservedPosition = this->Server.Member.end(); }

  ServerState &Server;
  Connection &Link;
  SessionKind Kind;
  SessionKey Key;
  AnswerEncoder Answer;
  WaitContext StatementWait;
  TransactionState State = TransactionState::Idle;
  /// Whether the session acquired the write lock, which may have been revoked
  /// since.
  bool InWriteTransaction = false;
  /// The write statements of the open transaction.
  std::vector<std::string> WriteStatements;
  /// The log position that the last statement observed.
  LogPosition ObservedPosition;
  std::optional<LogPosition> ReportedPosition;
  std::map<std::string, PreparedStatement, std::less<>> PreparedStatements;
  std::map<std::string, Portal, std::less<>> Portals;
  bool SkippingToSync = false;
  bool Terminated = false; ///< Set by terminate() from another task.
  bool Ended = false;
};

} // namespace amaranthspur::fake

#endif // AMARANTHSPUR_TESTING_FAKE_BACKEND_SESSION_H
