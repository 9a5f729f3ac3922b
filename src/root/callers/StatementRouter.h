// From a caller's statement to a server: routing, owners, retries.
#ifndef AMARANTHSPUR_ROOT_CALLERS_STATEMENTROUTER_H
#define AMARANTHSPUR_ROOT_CALLERS_STATEMENTROUTER_H

#include "policy/Ownership.h"
#include "policy/Retry.h"
#include "policy/Routing.h"
#include "root/ViewTable.h"
#include "root/backends/StatementExecutor.h"
#include "root/directory/Directory.h"

#include <memory>
#include <optional>

namespace amaranthspur {

/// Finds the executor that leads to an owner.
class ExecutorLookup {
public:
  virtual ~ExecutorLookup() = default;

  /// Returns the executor for \p Server at its owner \p Owner, or null if there
  /// is no way to it now.
  virtual std::shared_ptr<StatementExecutor>
  executorFor(const EntryVmId &Owner, const ServerId &Server) = 0;

  /// Returns the owner of \p Server as this entry VM sees it, or nothing.
  virtual std::optional<EntryVmId> ownerOf(const ServerConfig &Server) = 0;

  /// Returns the end of the log that a majority held at a moment after this
  /// call, so that everything acknowledged before the call is at or below it.
  virtual QCoro::Task<std::optional<LogPosition>>
  currentFloor(ServiceName Service, TimePoint Deadline) = 0;
};

/// The server and owner that a transaction is bound to.
struct TransactionBinding {
  ServerId Server;
  std::shared_ptr<StatementExecutor> Executor;
};

/// One statement of a session, before a server is chosen.
struct RoutedStatement {
  StatementOrder Order; ///< Server is filled in here.
  Repeatable Mark = Repeatable::Off;
  /// The caller has said that it only reads; else it was guessed from the text,
  /// and a SELECT may have effects on a primary.
  bool DeclaredRead = false;
  RetryBudget *Budget = nullptr; ///< Of the caller; outlives the call.
};

/// What became of a routed statement.
struct RoutedResult {
  StatementResult Result;
  bool FromReplica = false;
  unsigned Attempts = 0;
  TransactionBinding Binding; ///< Set if the server holds a transaction now.
};

/// Runs statements outside of a transaction: chooses the server, finds its
/// owner, and tries again where that is allowed. Has no state of a session.
class StatementRouter {
public:
  /// All references outlive the router.
  StatementRouter(Directory &Config, ViewTable &Views,
                  ExecutorLookup &Executors, std::unique_ptr<Routing> Routes,
                  std::unique_ptr<Retry> Retries, DataCentre Location);

  /// Runs \p Statement and delivers its answer to \p Sink.
  QCoro::Task<RoutedResult> run(RoutedStatement Statement, AnswerSink &Sink);

private:
  struct Attempt {
    std::optional<Refusal> Refused;
    ServerId Server;
    ServerRole As = ServerRole::Primary;
    std::shared_ptr<StatementExecutor> Executor;
  };

  QCoro::Task<Attempt> choose(const RoutedStatement &Statement,
                              const std::set<ServerId> &Excluded);
  Route routeOnce(const RoutedStatement &Statement,
                  const std::set<ServerId> &Excluded, Duration Waited) const;

  Directory &Config;
  ViewTable &Views;
  ExecutorLookup &Executors;
  std::unique_ptr<Routing> Routes;
  std::unique_ptr<Retry> Retries;
  DataCentre Location;
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_ROOT_CALLERS_STATEMENTROUTER_H
