// The session of one caller's connection, from the start-up message until the
// connection is closed.
//
// Invariants:
// - One statement runs at a time; its whole answer is written before the next
//   statement is read.
// - While a transaction is open, all statements go to the same executor.
// - After a refusal inside a transaction, the session stays in the failed state
//   until the caller ends the transaction, as it does after an error that the
//   server reported.
#ifndef AMARANTHSPUR_ROOT_CALLERS_CALLERSESSION_H
#define AMARANTHSPUR_ROOT_CALLERS_CALLERSESSION_H

#include "policy/SessionSettings.h"
#include "root/callers/StatementRouter.h"
#include "root/telemetry/Metrics.h"
#include "wire/Connection.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace amaranthspur {

/// The components that all sessions of an entry VM share. It outlives the
/// sessions.
struct SessionContext {
  EntryVmId Self;
  std::string DeploymentKey;
  PolicyVariant Variant = PolicyVariant::Amaranthspur;
  Directory &Config;
  ViewTable &Views;
  StatementRouter &Router;
  ExecutorLookup &Executors;
  Metrics &Counters;
  /// Called whenever a caller opens a session or runs a statement on a service.
  std::function<void(const ServiceName &)> OnServiceUse;
  /// Retry budgets by service and caller. The number of entries is bounded by
  /// the services and callers in the configuration.
  std::map<std::pair<ServiceName, CallerName>, RetryBudget> RetryBudgets;
};

/// The key that a caller presents in a PostgreSQL cancel request; it is sent to
/// the caller in BackendKeyData.
struct CancelKey {
  std::uint32_t ProcessId = 0;
  std::uint32_t SecretKey = 0;

  auto operator<=>(const CancelKey &) const = default;
};

/// Serves one caller's connection; run() is the session's task.
class CallerSession {
public:
  /// \param Number number of the session on this entry VM; numbers are never
  /// reused.
  /// \param OnCancel called with the key from the request if the connection
  /// carries a cancel request instead of a session.
  CallerSession(SessionContext &Context, std::unique_ptr<Connection> Wire,
                std::uint64_t Number, CancelKey Key,
                std::function<void(CancelKey)> OnCancel);

  /// Serves the connection until either side closes it.
  QCoro::Task<> run();

  /// Ends the session without interrupting a request: at once if the session is
  /// idle, otherwise after the running statement or the open transaction.
  void finish();

  /// Closes the connection at once.
  void abort();

  /// Asks the server to cancel the statement that the session is running.
  void cancel();

  /// Returns the key with which this session's statements can be cancelled.
  const CancelKey &key() const { return this->Key; }
  /// Returns whether a statement is being served.
  bool busy() const { return this->Busy; }

private:
  /// The caller's frames up to and including Query, Sync or FunctionCall.
  struct Batch {
    std::string Frames;
    std::string Types; ///< Type bytes of the frames, in order.
    StatementTraits Traits;
    bool Simple = true;
    bool HasStatement = false;
    /// Set if the batch must not be run.
    std::optional<Refusal> Refused;
  };

  /// Handles the start-up phase of the protocol; false if no session began.
  QCoro::Task<bool> startUp();
  QCoro::Task<bool> beginSession(pg::Startup Start);
  /// Validates the start-up parameters and applies the settings among them.
  std::optional<Refusal> applyStartup(const pg::Startup &Start);
  /// Reads the next batch; nothing if the session is to end.
  QCoro::Task<std::optional<Batch>> readBatch();
  void addToBatch(const pg::Frame &F, Batch &B) const;
  void addStatement(std::string_view Sql, Batch &B) const;
  QCoro::Task<> serve(Batch B);
  QCoro::Task<> serveStatement(Batch B);
  QCoro::Task<StatementResult> runInTransaction(ExecuteRequest Request,
                                                AnswerSink &Sink);
  QCoro::Task<RoutedResult> runOutsideTransaction(RoutedStatement Statement,
                                                  AnswerSink &Sink);
  /// Makes sure that Floor is known before a read is routed.
  QCoro::Task<std::optional<Refusal>> prepareFloor(TimePoint Deadline);
  /// Verifies the token that the caller has set and raises Floor to its
  /// position.
  QCoro::Task<std::optional<Refusal>> checkToken(TimePoint Deadline);
  /// Answers \p B if no server is needed for that.
  /// \returns false if the batch has to be run on a server.
  bool serveLocally(const Batch &B);
  std::optional<Refusal> applySettings(const StatementTraits &Traits,
                                       SessionSettings &To) const;
  /// Writes the answer of a statement that no server has run.
  /// \param Tag command tag; empty for an empty query.
  void answerLocally(const Batch &B, std::string_view Tag,
                     const std::vector<std::string> &Columns = {},
                     const std::vector<std::optional<std::string>> &Row = {});
  void answerRefusal(const Refusal &R);
  /// Updates the session's state by \p Result and ends the answer to \p B.
  void handleResult(const StatementResult &Result, const Batch &B);
  /// Raises Floor to \p Position and sends the caller a new token, unless Floor
  /// is already as high.
  void raiseFloor(LogPosition Position);
  void writeReady();
  /// Reports a fatal error to the caller and closes the connection.
  QCoro::Task<> closeWithError(std::string_view SqlState,
                               std::string_view Message);
  const CallerConfig *findCaller(const ServiceConfig &Service) const;

  SessionContext &Context;
  std::unique_ptr<Connection> Wire;
  StreamId Stream;
  CancelKey Key;
  std::function<void(CancelKey)> OnCancel;

  ServiceName Service;
  CallerName Caller;
  SessionSettings Settings;
  /// Lowest log position that a server must have applied to serve the session's
  /// reads.
  LogPosition Floor;
  bool FloorKnown = false; ///< Whether Floor is valid.
  /// False until a token that the caller has set is verified.
  bool TokenChecked = true;
  /// Whether the open transaction, or the last statement outside of one, may
  /// have written.
  bool Wrote = false;
  TransactionState State = TransactionState::Idle;
  /// Where the last statement ran; while InServerTransaction is set, where the
  /// open transaction runs.
  TransactionBinding Binding;
  /// Whether a server holds an open transaction of this session.
  bool InServerTransaction = false;
  /// Whether the caller's transaction has failed in this entry VM while no
  /// server holds it any more.
  bool TransactionAborted = false;
  bool Busy = false;
  bool Finishing = false;
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_ROOT_CALLERS_CALLERSESSION_H
