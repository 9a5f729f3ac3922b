// Interface for running a statement on a backend server, whether this entry VM
// or another one owns the server.
#ifndef AMARANTHSPUR_ROOT_BACKENDS_STATEMENTEXECUTOR_H
#define AMARANTHSPUR_ROOT_BACKENDS_STATEMENTEXECUTOR_H

#include "core/Clock.h"
#include "core/Enums.h"
#include "core/Refusal.h"
#include "core/Types.h"

#include <QCoroTask>

#include <cstdint>
#include <optional>
#include <string>
#include <utility>

namespace amaranthspur {

/// Identifies one caller's session on one entry VM. Unique while the session
/// and the entry VM exist.
struct StreamId {
  EntryVmId EntryVm;
  std::uint64_t Number = 0;

  auto operator<=>(const StreamId &) const = default;
};

/// A request to run one statement.
struct ExecuteRequest {
  ServiceName Service;
  ServerId Server;
  StreamId Stream;
  CallerName Caller;
  ClassName Class;
  std::uint64_t Shape = 0; ///< Run times are estimated for each shape.
  Access RequestedAccess = Access::Write;
  bool InTransaction = false;     ///< Continues the stream's open transaction.
  bool BeginsTransaction = false; ///< Opens a transaction.
  LogPosition Floor;       ///< For reads: lowest acceptable log position.
  Duration MaxStaleness{}; ///< For reads on replicas: maximum age of the data.
  TimePoint Deadline;
  std::string Frames; ///< The caller's frames up to Query or Sync, inclusive.
};

/// The result of a statement.
struct StatementResult {
  std::optional<Refusal> Refused; ///< Set if there is no complete answer.
  /// Log position of the server after the statement. For a write, the position
  /// of its commit.
  LogPosition Position;
  TransactionState State = TransactionState::Idle;
};

/// Makes the result of a statement that was refused.
inline StatementResult makeRefusedResult(Refusal R) {
  StatementResult Result;
  Result.Refused = std::move(R);
  return Result;
}

/// Receives the frames of an answer, except for ReadyForQuery.
class AnswerSink {
public:
  virtual ~AnswerSink() = default;

  /// Accepts one or more whole frames. Returns when the receiver is ready for
  /// more.
  /// \returns false if the receiver has disconnected.
  virtual QCoro::Task<bool> deliver(std::string Frames) = 0;
};

/// Runs the statements of callers' sessions.
class StatementExecutor {
public:
  virtual ~StatementExecutor() = default;

  /// Runs \p Request and delivers its answer to \p Sink, which must outlive the
  /// call. Frames may be delivered before the result turns out to be a refusal;
  /// they are then not a complete answer.
  virtual QCoro::Task<StatementResult> execute(ExecuteRequest Request,
                                               AnswerSink &Sink) = 0;

  /// Ends the stream's open transaction, if there is one, by closing its
  /// connection. The server then rolls the transaction back.
  virtual void closeStream(const StreamId &Stream) = 0;

  /// Asks the server to cancel the statement that the stream is running, if
  /// any.
  virtual void cancel(const StreamId &Stream) = 0;
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_ROOT_BACKENDS_STATEMENTEXECUTOR_H
