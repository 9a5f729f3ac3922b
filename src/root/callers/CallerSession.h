// One caller's connection, from start-up to its end.
//
// Invariants:
// - One statement runs at a time; its answer is written whole before the next
//   one is read.
// - While a transaction is open all statements go to the same executor.
// - After a refusal inside a transaction the session is in the failed state
//   until the caller ends the transaction, as with an error of the server.
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

/// What all sessions of an entry VM share; outlives them.
struct SessionContext {
  EntryVmId Self;
  std::string DeploymentKey;
  PolicyVariant Variant = PolicyVariant::Amaranthspur;
  Directory &Config;
  ViewTable &Views;
  StatementRouter &Router;
  ExecutorLookup &Executors;
  Metrics &Counters;
  /// Called when a caller uses a service.
  std::function<void(const ServiceName &)> OnUse;
  /// Budgets of retries by service and caller; bounded by the configuration.
  std::map<std::pair<ServiceName, CallerName>, RetryBudget> Budgets;
};

/// What a caller needs to cancel its statement.
struct CancelKey {
  std::uint32_t ProcessId = 0;
  std::uint32_t SecretKey = 0;

  auto operator<=>(const CancelKey &) const = default;
};

/// Serves one caller. run() is the session's task.
class CallerSession {
public:
  /// \param Number of the session on this entry VM, never used twice.
  /// \param OnCancel called with the key of a cancel request that this
  /// connection turned out to be.
  CallerSession(SessionContext &Context, std::unique_ptr<Connection> Wire,
                std::uint64_t Number, CancelKey Key,
                std::function<void(CancelKey)> OnCancel);

  /// Serves the connection until either side closes it.
  QCoro::Task<> run();

  /// Ends the session at the next moment at which no request is cut off: at
  /// once when idle, else after the running statement or transaction.
  void finish();

  /// Ends the session now.
  void abort();

  /// Cancels what the session runs at present.
  void cancel();

  const CancelKey &key() const { return this->Key; }
  bool busy() const { return this->Busy; }

private:
  /// The caller's frames up to Query or Sync.
  struct Batch {
    std::string Frames;
    std::string Types; ///< Type bytes of the frames, in order.
    StatementTraits Traits;
    bool Simple = true;
    bool HasStatement = false;
    std::optional<Refusal> Refused;
  };

  QCoro::Task<bool> startUp();
  QCoro::Task<bool> beginSession(pg::Startup Start);
  std::optional<Refusal> applyStartup(const pg::Startup &Start);
  QCoro::Task<std::optional<Batch>> readBatch();
  void addToBatch(const pg::Frame &F, Batch &B) const;
  void addStatement(std::string_view Sql, Batch &B) const;
  QCoro::Task<> serve(Batch B);
  QCoro::Task<> serveStatement(Batch B);
  QCoro::Task<StatementResult> runInTransaction(StatementOrder Order,
                                                AnswerSink &Sink);
  QCoro::Task<RoutedResult> runOutside(RoutedStatement Statement,
                                       AnswerSink &Sink);
  QCoro::Task<std::optional<Refusal>> prepareFloor(TimePoint Deadline);
  QCoro::Task<std::optional<Refusal>> checkToken(TimePoint Deadline);
  bool serveLocally(const Batch &B);
  std::optional<Refusal> applySettings(const StatementTraits &Traits,
                                       SessionSettings &To) const;
  void answerLocally(const Batch &B, std::string_view Tag,
                     const std::vector<std::string> &Columns = {},
                     const std::vector<std::optional<std::string>> &Row = {});
  void answerRefusal(const Refusal &R);
  void takeResult(const StatementResult &Result, const Batch &B);
  void raiseFloor(LogPosition Position);
  void writeReady();
  QCoro::Task<> closePolitely(std::string_view SqlState,
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
  LogPosition Floor;
  bool FloorKnown = false;
  bool TokenChecked = true; ///< False after the caller has set a token.
  bool Wrote = false; ///< The open transaction has run something but reads.
  TransactionState State = TransactionState::Idle;
  TransactionBinding Binding; ///< Valid while a server holds a transaction.
  bool Bound = false;
  bool TransactionLost = false; ///< Failed here; the server knows of none.
  bool Busy = false;
  bool Finishing = false;
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_ROOT_CALLERS_CALLERSESSION_H
