// One caller's session: one task from its first message to its end.
//
// Invariants:
//  - settings and prepared names are the session's own and are brought to each
//    connection before a statement uses it;
//  - a transaction keeps its connection from its first statement to its end;
//  - nothing is sent to a server for a caller that has left, and a COMMIT only
//    if the caller sent one.
#ifndef AMARANTHSPUR_ROOT_SESSIONS_SESSION_H
#define AMARANTHSPUR_ROOT_SESSIONS_SESSION_H

#include "root/directory/PlatformDirectory.h"
#include "root/groups/GroupRegistry.h"
#include "root/sessions/CallerStream.h"
#include "root/sessions/StatementRunner.h"
#include "root/telemetry/Metrics.h"

#include <map>
#include <memory>
#include <optional>
#include <string>

namespace amaranthspur {

/// What all sessions share. References outlive them.
struct SessionDependencies {
  const PlatformDirectory &Directory;
  const GroupRegistry &Groups;
  Metrics &Counters;
};

/// A session.
class Session {
public:
  /// Time for the first message; callers send it at once.
  static constexpr Duration GreetingLimit = std::chrono::seconds(5);
  /// Time for which a new session waits for the first configuration; callers
  /// give up after 2 s.
  static constexpr Duration PlanLimit = milliseconds(1500);
  /// Time for rolling back what a caller left behind.
  static constexpr Duration RollbackLimit = milliseconds(500);
  /// Time for a caller to take an answer before it counts as gone.
  static constexpr Duration SendLimit = std::chrono::seconds(10);

  /// Time for what was sent to leave before the connection is dropped.
  static constexpr Duration FinishLimit = std::chrono::seconds(1);

  /// \param Number identifies the session in the log of this process.
  Session(const SessionDependencies &Dependencies,
          std::unique_ptr<CallerStream> Caller, std::uint64_t Number);

  /// Serves the caller until it leaves or finish() takes effect.
  QCoro::Task<> run();

  /// Ends the session when it is next idle outside a transaction.
  void finish();
  /// Ends the session now.
  void abort();
  /// Returns whether a transaction is open.
  bool inTransaction() const { return this->State != TransactionState::Idle; }

private:
  QCoro::Task<bool> open();
  QCoro::Task<> serve();
  QCoro::Task<Answer> handle(Statement S);
  Answer handleFailed(const Statement &S);
  Answer handleBegin(const Statement &S);
  QCoro::Task<Answer> handleSet(Statement S);
  Answer handlePrepare(const Statement &S);
  Answer handleDeallocate(const Statement &S);
  QCoro::Task<Answer> handleSingle(Statement S);
  QCoro::Task<Answer> handleInTransaction(Statement S);
  QCoro::Task<Answer> handleCommit(Statement S);
  QCoro::Task<Answer> handleRollback(Statement S);

  QCoro::Task<std::optional<Answer>> openTransaction(StatementContext &E);
  /// Rolls the transaction back, if one has begun on a server.
  /// \param Rollback the caller's statement, or nothing.
  QCoro::Task<> leaveTransaction(std::optional<Statement> Rollback);
  /// Fills in the route and its group; returns the refusal if there is none.
  std::optional<Answer> findRoute(StatementContext &E) const;
  std::optional<Answer> prepareContext(const Statement &S, StatementContext &E);
  bool writes(const Statement &S) const;
  Answer failTransaction(Answer A);
  void endTransaction();
  TimePoint nextDeadline() const;
  /// Logs \p A for a statement that is refused before it is routed.
  Answer refuse(const Statement &S, const StatementContext &E, Answer A);
  void note(const Statement &S, const StatementContext &E, const Answer &A,
            Duration Took);
  void observeTime(const StatementContext &E, Duration Took);

  const SessionDependencies &Dependencies;
  std::unique_ptr<CallerStream> Caller;
  std::string Database;
  SessionValues Values;
  std::map<std::string, PreparedStatement> Prepared;
  std::optional<LogPosition> Floor; ///< Of the session's commits.
  ServiceName FloorService;         ///< Whose log Floor is of.

  TransactionState State = TransactionState::Idle;
  Statement TransactionBegin; ///< Sent before its first statement.
  TimePoint TransactionArrived;
  TimePoint TransactionArrivedBoot;
  std::shared_ptr<Group> TransactionGroup;
  DatabaseRoute TransactionRoute;
  std::optional<OpenTransaction> Transaction; ///< After its first statement.
  bool TransactionWrote = false;
  std::uint64_t TransactionNumber = 0; ///< Of the last one that began.
  std::uint64_t Number;
  bool Finishing = false;
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_ROOT_SESSIONS_SESSION_H
