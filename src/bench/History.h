// The operations of the callers of a run and the answers they received.
//
// Every operation has a unique identifier that its statements write or return,
// so that the checker can find it in answers and in the databases. All times
// are read from the steady clock of the benchmark process.
#ifndef AMARANTHSPUR_BENCH_HISTORY_H
#define AMARANTHSPUR_BENCH_HISTORY_H

#include "core/Clock.h"
#include "core/Enums.h"
#include "core/Types.h"

#include <array>
#include <cstdint>
#include <string>
#include <vector>

namespace amaranthspur::bench {

/// The kind of an operation.
enum class OperationKind {
  Read,        ///< Returns the largest sequence number of its session.
  Write,       ///< Inserts one row.
  Transaction, ///< Inserts two rows and commits.
  Rollback,    ///< Inserts two rows and rolls back.
  Work,        ///< Occupies a slot for a given time without writing.
};

/// The outcome of an operation as its caller observed it.
enum class OperationOutcome {
  Acknowledged, ///< Answered completely; a transaction was committed.
  RolledBack,   ///< The caller rolled back or never sent the COMMIT.
  NotRun,       ///< Refused with a guarantee that it had no effect.
  Unknown,      ///< Sent, but answered with 08007 or not at all, or the
                ///< connection was lost.
  Failed,       ///< Refused by the server for another reason.
  NotSent,      ///< Abandoned before any byte was sent.
};

/// One operation of a session.
struct Operation {
  std::string Id; ///< Unique in the run.
  CallerName Caller;
  ServiceName Service;
  std::string Session;
  std::string EntryVm; ///< The entry VM that it was sent to.
  OperationKind Kind = OperationKind::Read;
  OperationOutcome Outcome = OperationOutcome::NotSent;
  Repeatable Repeatability = Repeatable::Off;
  TimePoint Intended{};
  TimePoint Sent{};
  TimePoint Answered{};
  std::string Statement; ///< The last statement that was sent.
  std::string SqlState;  ///< SQLSTATE of the refusal; empty if there was none.
  std::string Message;   ///< Message of the refusal.
  std::uint64_t Sequence = 0; ///< Number of a write in its session, from 1.
  /// The identifiers in the answers, one for each answered statement that
  /// returns an identifier; all must equal Id.
  std::vector<std::string> Echoes;
  std::uint64_t SeenSequence = 0; ///< The sequence number that a read returned.
  unsigned Statements = 0; ///< Number of statements answered without an error.
};

/// All operations of a run. Those of one session are in the order in which they
/// were sent.
struct History {
  std::vector<Operation> Operations;
};

/// One row that a database contains at the end of a run.
struct FinalRow {
  std::string Operation;
  std::string Session;
  std::uint64_t Sequence = 0;
  unsigned Part = 0; ///< 0: single write; 1, 2: row of a transaction.
};

/// Returns whether an operation of \p Kind inserts rows and may commit them.
inline bool writesRows(OperationKind Kind) {
  return Kind == OperationKind::Write || Kind == OperationKind::Transaction;
}

/// Returns the outcome of an operation whose statement was refused.
/// \param SqlState the SQLSTATE of the refusal.
/// \param Message the message of the refusal.
OperationOutcome outcomeOfRefusal(std::string_view SqlState,
                                  std::string_view Message);

} // namespace amaranthspur::bench

namespace amaranthspur {

template <> struct EnumNames<bench::OperationKind> {
  static constexpr auto Entries =
      std::to_array<std::pair<bench::OperationKind, std::string_view>>(
          {{bench::OperationKind::Read, "read"},
           {bench::OperationKind::Write, "write"},
           {bench::OperationKind::Transaction, "transaction"},
           {bench::OperationKind::Rollback, "rollback"},
           {bench::OperationKind::Work, "work"}});
};

template <> struct EnumNames<bench::OperationOutcome> {
  static constexpr auto Entries =
      std::to_array<std::pair<bench::OperationOutcome, std::string_view>>(
          {{bench::OperationOutcome::Acknowledged, "acknowledged"},
           {bench::OperationOutcome::RolledBack, "rolled-back"},
           {bench::OperationOutcome::NotRun, "not-run"},
           {bench::OperationOutcome::Unknown, "unknown"},
           {bench::OperationOutcome::Failed, "failed"},
           {bench::OperationOutcome::NotSent, "not-sent"}});
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_BENCH_HISTORY_H
