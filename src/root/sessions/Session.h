// One caller's session, served by one task from its first message to its end.
//
// Invariants:
//  - Settings and prepared statements belong to the session. They are applied
//    to each connection before a statement uses it.
//  - A transaction keeps its connection from its first statement to its end.
//  - No statement is sent to a server for a caller that has disconnected, and a
//    COMMIT only if the caller sent one.
//  - The key of the caller is checked against the plan in force with each
//    statement that needs a server. A transaction whose key has been withdrawn
//    is rolled back, so that nothing is kept that the operator no longer
//    allows.
#ifndef AMARANTHSPUR_ROOT_SESSIONS_SESSION_H
#define AMARANTHSPUR_ROOT_SESSIONS_SESSION_H

#include "policy/StopSchedule.h"
#include "root/directory/PlatformDirectory.h"
#include "root/groups/GroupRegistry.h"
#include "root/quotas/OperationQuota.h"
#include "root/sessions/CallerStream.h"
#include "root/sessions/StatementRunner.h"
#include "root/telemetry/Metrics.h"

#include <map>
#include <memory>
#include <optional>
#include <string>

namespace amaranthspur {

/// The objects that all sessions share. They must outlive the sessions.
struct SessionDependencies {
  const PlatformDirectory &Directory;
  const GroupRegistry &Groups;
  Metrics &Counters;
  StatementForwarding *Forwarding = nullptr; ///< Null: all is run here.
  OperationQuota *Quota = nullptr;           ///< Null: no workspace is limited.
};

/// One caller's session.
class Session {
public:
  /// Time to wait for the first message. Callers send it at once.
  static constexpr Duration GreetingTimeout = std::chrono::seconds(5);
  /// Time for which a new session waits for the first configuration. It is
  /// shorter than 2 s, after which callers give up.
  static constexpr Duration PlanTimeout = milliseconds(1500);
  /// Time to roll back a transaction that a caller left open.
  static constexpr Duration RollbackTimeout = milliseconds(500);
  /// A caller that does not read an answer within this time counts as
  /// disconnected.
  static constexpr Duration SendTimeout = std::chrono::seconds(10);
  /// Time to write pending output before the connection is dropped.
  static constexpr Duration FinishTimeout = std::chrono::seconds(1);
  /// Time in which a session that ends reads once more. A message that has
  /// arrived by then is answered. Without this, the kernel would also discard
  /// the answer to the message before it.
  static constexpr Duration LastReadTimeout = milliseconds(5);
  /// Time in which a new session that ends waits for the session request. It
  /// allows for the network latency to the caller.
  static constexpr Duration LastGreetingTimeout = milliseconds(100);

  /// \param Number identifies the session in this process's log.
  Session(const SessionDependencies &Dependencies,
          std::unique_ptr<CallerStream> Caller, std::uint64_t Number);

  /// Serves the caller until it disconnects or finish() takes effect.
  QCoro::Task<> run();

  /// Follows \p Schedule from now on. It replaces no earlier schedule, because
  /// a transaction that was rolled back must not go on.
  void followStop(const StopSchedule &Schedule);
  /// Ends the session when it is next idle outside a transaction.
  void finish();
  /// Ends the session now.
  void abort();
  /// Returns whether a transaction is open.
  bool inTransaction() const { return this->State != TransactionState::Idle; }

private:
  /// Receives the session request; returns whether the session was accepted.
  QCoro::Task<bool> open();
  /// Counts an operation of the workspace of \p E; returns the refusal if it is
  /// not within the quota.
  QCoro::Task<std::optional<Answer>> admitOperation(const StatementContext &E);
  /// Counts the session as a reader of the group that \p Route leads to, if
  /// its reads need a floor.
  void countReader(const DatabaseRoute &Route);
  /// Receives and answers statements until the session ends.
  QCoro::Task<> serve();
  QCoro::Task<Answer> handle(Statement S);
  /// Receives the next message. finish() interrupts the wait.
  QCoro::Task<CallerMessage> receive();
  /// Ends the transaction's part at the server if it was idle for too long or
  /// its time in a planned stop is over.
  QCoro::Task<> endLateTransaction();
  /// Returns what a planned stop, if there is one, allows for \p S.
  StopAction stopAction(const Statement &S) const;
  /// Refuses a statement because of a planned stop.
  Answer refuseForStop(const Statement &S);
  /// Rolls the transaction back because of a planned stop, and answers \p S.
  QCoro::Task<Answer> abortForStop(Statement S);
  /// Returns \p Limit, or the time by which a planned stop requires statements
  /// to have ended if that is sooner.
  TimePoint stopLimited(TimePoint Limit) const;
  /// Returns whether the caller may still use the workspace for which the
  /// transaction began.
  bool mayContinueTransaction() const;
  /// Rolls the transaction back because its key is no longer valid, and answers
  /// \p S.
  QCoro::Task<Answer> abortForKey(Statement S);
  /// Rolls the transaction back and answers \p S, a statement of it.
  QCoro::Task<Answer> abortTransaction(Statement S, std::string Why);
  /// Answers a statement after the transaction has failed.
  Answer handleInFailedTransaction(const Statement &S);
  QCoro::Task<Answer> handleBegin(Statement S);
  QCoro::Task<Answer> handleSet(Statement S);
  Answer handlePrepare(const Statement &S);
  Answer handleDeallocate(const Statement &S);
  /// Runs a statement outside a transaction.
  QCoro::Task<Answer> handleAutocommit(Statement S);
  QCoro::Task<Answer> handleInTransaction(Statement S);
  QCoro::Task<Answer> handleCommit(Statement S);
  QCoro::Task<Answer> handleRollback(Statement S);

  /// Begins the transaction on a server, unless that has been done; returns the
  /// refusal if no server could begin it.
  QCoro::Task<std::optional<Answer>> openTransaction(StatementContext &E);
  /// Rolls the transaction back if it has begun on a server.
  /// \param Rollback the caller's ROLLBACK statement, or nothing if the caller
  /// sent none.
  QCoro::Task<> abandonTransaction(std::optional<Statement> Rollback);
  /// Sets the route, the workspace and the group of \p E; returns the refusal
  /// if there is no route or no group, or if the key is not valid.
  std::optional<Answer> findRoute(StatementContext &E) const;
  /// Sets the deadlines, the settings and the prepared statement of \p E;
  /// returns the refusal if the prepared statement is unknown.
  std::optional<Answer> prepareContext(const Statement &S, StatementContext &E);
  /// Returns whether \p S, or the prepared statement that it executes, writes.
  bool writes(const Statement &S) const;
  /// Marks the transaction as failed; returns \p A with that state.
  Answer failTransaction(Answer A);
  void endTransaction();
  /// Returns until when to wait for a message, or NoDeadline.
  TimePoint nextDeadline() const;
  /// Logs and returns \p A, the refusal of a statement that is not sent to any
  /// server.
  Answer refuse(const Statement &S, const StatementContext &E, Answer A);
  /// Updates the metrics and writes the log line of a statement.
  void recordStatement(const Statement &S, const StatementContext &E,
                       const Answer &A, Duration Elapsed);
  void recordLatency(const StatementContext &E, Duration Elapsed);

  const SessionDependencies &Dependencies;
  std::unique_ptr<CallerStream> Caller;
  std::string Database;
  std::string Key; ///< Must not be logged.
  std::unique_ptr<ReaderCount> Reader;
  std::unique_ptr<QuotaSession> Counted; ///< In the quota of its workspace.
  SessionSettingValues Values;
  std::map<std::string, PreparedStatement> Prepared;
  std::optional<LogPosition> Floor; ///< Position of the session's last commit.
  ServiceName FloorService;         ///< The service whose log Floor refers to.

  TransactionState State = TransactionState::Idle;
  Statement TransactionBegin;       ///< Sent just before the first statement.
  TimePoint TransactionArrived;     ///< Steady clock.
  TimePoint TransactionArrivedBoot; ///< Boot clock (core/BootClock.h).
  std::shared_ptr<Group> TransactionGroup;
  DatabaseRoute TransactionRoute;
  WorkspaceName TransactionWorkspace;
  std::optional<OpenTransaction> Transaction; ///< Set by the first statement.
  bool TransactionWrote = false;
  std::uint64_t TransactionNumber = 0; ///< Of the current or last transaction.
  std::uint64_t Number;                ///< Of this session.
  std::optional<StopSchedule> Stop;    ///< Set while the process stops.
  bool Finishing = false;
  bool Receiving = false; ///< The session waits for a message.
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_ROOT_SESSIONS_SESSION_H
