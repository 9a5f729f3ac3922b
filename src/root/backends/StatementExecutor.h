// Running one statement on one backend server, near or far.
#ifndef AMARANTHSPUR_ROOT_BACKENDS_STATEMENTEXECUTOR_H
#define AMARANTHSPUR_ROOT_BACKENDS_STATEMENTEXECUTOR_H

#include "core/Clock.h"
#include "core/Enums.h"
#include "core/Outcome.h"
#include "core/Types.h"

#include <QCoroTask>

#include <cstdint>
#include <optional>
#include <string>
#include <utility>

namespace amaranthspur {

/// Names one caller's session on one entry VM, for as long as both live.
struct StreamId {
  EntryVmId EntryVm;
  std::uint64_t Number = 0;

  auto operator<=>(const StreamId &) const = default;
};

/// One statement to be run.
struct StatementOrder {
  ServiceName Service;
  ServerId Server;
  StreamId Stream;
  CallerName Caller;
  ClassName Class;
  std::uint64_t Shape = 0;
  Access Wants = Access::Write;
  bool InTransaction = false; ///< Goes on with the stream's open transaction.
  bool Begins = false;        ///< Opens a transaction.
  LogPosition Floor;          ///< For reads: lowest position that will do.
  Duration MaxStaleness{};    ///< For reads on replicas.
  TimePoint Deadline;
  std::string Frames; ///< The caller's frames, up to Query or Sync.
};

/// What became of a statement.
struct StatementResult {
  std::optional<Refusal> Refused;
  /// Position of the server after the statement; of its commit for a write.
  LogPosition Position;
  TransactionState State = TransactionState::Idle;
};

/// Makes the result of a statement that was refused.
inline StatementResult refusedWith(Refusal R) {
  StatementResult Result;
  Result.Refused = std::move(R);
  return Result;
}

/// Takes an answer's frames. ReadyForQuery is never among them.
class AnswerSink {
public:
  virtual ~AnswerSink() = default;

  /// Takes whole frames; returns when more can be taken, false if the receiver
  /// is gone.
  virtual QCoro::Task<bool> deliver(std::string Frames) = 0;
};

/// Runs statements.
class StatementExecutor {
public:
  virtual ~StatementExecutor() = default;

  /// Runs \p Order and delivers its answer to \p Sink, which outlives the call.
  /// If the result is a refusal, frames may have been delivered before; they
  /// are not a complete answer.
  virtual QCoro::Task<StatementResult> execute(StatementOrder Order,
                                               AnswerSink &Sink) = 0;

  /// Ends the stream's open transaction, if there is one: its connection is
  /// closed, so that the server rolls back.
  virtual void closeStream(const StreamId &Stream) = 0;

  /// Asks the server to cancel what the stream runs at present.
  virtual void cancel(const StreamId &Stream) = 0;
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_ROOT_BACKENDS_STATEMENTEXECUTOR_H
