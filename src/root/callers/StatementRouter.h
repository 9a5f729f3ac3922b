// Sends a caller's statement to a server: chooses the server, finds the entry
// VM that owns it, and retries where a retry is allowed.
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

/// Finds owners of servers and the executors that reach them.
class ExecutorLookup {
public:
  virtual ~ExecutorLookup() = default;

  /// Returns the executor that runs statements on \p Server through its owner
  /// \p Owner, or null if the owner cannot be reached at present.
  virtual std::shared_ptr<StatementExecutor>
  executorFor(const EntryVmId &Owner, const ServerId &Server) = 0;

  /// Returns the owner of \p Server as far as this entry VM knows, or nothing.
  virtual std::optional<EntryVmId> ownerOf(const ServerConfig &Server) = 0;

  /// Returns a log position that a majority of the group held at some time
  /// after the call began, or nothing if no majority answered by \p Deadline.
  /// Every write that was acknowledged before the call is at or below the
  /// position.
  virtual QCoro::Task<std::optional<LogPosition>>
  currentFloor(ServiceName Service, TimePoint Deadline) = 0;
};

/// The server that holds a transaction, and the executor that reaches it.
struct TransactionBinding {
  ServerId Server;
  std::shared_ptr<StatementExecutor> Executor;
};

/// One statement of a session before a server has been chosen for it.
struct RoutedStatement {
  ExecuteRequest Order; ///< The router fills in the field Server.
  Repeatable Repeatability = Repeatable::Off;
  /// Whether the caller has declared the statement as a read. Otherwise its
  /// access mode was guessed from its text, and even a SELECT may have effects
  /// on a primary.
  bool DeclaredRead = false;
  RetryBudget *Budget = nullptr; ///< The caller's; outlives the call.
};

/// The outcome of a routed statement.
struct RoutedResult {
  StatementResult Result;
  bool FromReplica = false;
  unsigned Attempts = 0;
  TransactionBinding Binding; ///< Where the statement was last sent, if it was.
};

/// Runs statements outside of a transaction: chooses the server, finds its
/// owner, and retries where that is allowed. It keeps no state of a session.
class StatementRouter {
public:
  /// All references outlive the router.
  StatementRouter(Directory &Config, ViewTable &Views,
                  ExecutorLookup &Executors,
                  std::unique_ptr<Routing> RoutingPolicy,
                  std::unique_ptr<Retry> RetryPolicy, DataCentre Location);

  /// Runs \p Statement and delivers its answer to \p Sink.
  QCoro::Task<RoutedResult> run(RoutedStatement Statement, AnswerSink &Sink);

private:
  /// The server for one attempt, or the reason why there is none.
  struct ServerChoice {
    std::optional<Refusal> Refused;
    ServerId Server;
    ServerRole Role = ServerRole::Primary;
    std::shared_ptr<StatementExecutor> Executor;
  };

  /// Chooses a server for \p Statement; waits for new views until one is
  /// available or the statement's deadline has passed.
  QCoro::Task<ServerChoice> chooseServer(const RoutedStatement &Statement,
                                         const std::set<ServerId> &Excluded);
  /// Asks the routing policy once, without waiting.
  /// \param Waited time that choosing the server has taken so far.
  Route routeOnce(const RoutedStatement &Statement,
                  const std::set<ServerId> &Excluded, Duration Waited) const;

  Directory &Config;
  ViewTable &Views;
  ExecutorLookup &Executors;
  std::unique_ptr<Routing> RoutingPolicy;
  std::unique_ptr<Retry> RetryPolicy;
  DataCentre Location;
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_ROOT_CALLERS_STATEMENTROUTER_H
