// What the callers of a run did and what they were told.
//
// Every operation carries a unique identifier that its statements write or
// return, so that the checker can find it in answers and in the databases.
// All times are on the bench's one steady clock.
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

/// What an operation does.
enum class OperationKind {
  Read,        ///< Returns the largest sequence of its session.
  Write,       ///< Inserts one row.
  Transaction, ///< Inserts two rows and commits.
  Rollback,    ///< Inserts two rows and rolls back.
  Work,        ///< Occupies a slot for a given time and changes nothing.
};

/// How an operation ended, as far as its caller knows.
enum class OperationEnd {
  Acknowledged, ///< Complete answer; a transaction was committed.
  RolledBack,   ///< The caller rolled back or never sent the COMMIT.
  NotRun,       ///< Refused with the promise that it had no effect.
  Unknown,      ///< Sent, but 08007, a lost connection or no answer.
  Failed,       ///< Refused by the server for another reason.
  NotSent,      ///< Given up before a byte was sent.
};

/// One operation of a session.
struct Operation {
  std::string Id; ///< Unique in the run.
  CallerName Caller;
  ServiceName Service;
  std::string Session;
  std::string EntryVm; ///< Through which it was sent.
  OperationKind Kind = OperationKind::Read;
  OperationEnd End = OperationEnd::NotSent;
  Repeatable Mark = Repeatable::Off;
  TimePoint Intended{};
  TimePoint Sent{};
  TimePoint Answered{};
  std::string Statement;      ///< The last one that was sent.
  std::string SqlState;       ///< Of the refusal, empty if there was none.
  std::string Message;        ///< Of the refusal.
  std::uint64_t Sequence = 0; ///< Of a write within its session, from 1.
  /// Identifiers that came back, one for each answered statement that returns
  /// one; all must equal Id.
  std::vector<std::string> Echoes;
  std::uint64_t SeenSequence = 0; ///< What a read returned.
  unsigned Statements = 0;        ///< Statements answered without an error.
};

/// All operations of a run, each session's in the order in which it sent them.
struct History {
  std::vector<Operation> Operations;
};

/// One row that a database holds at the end.
struct FinalRow {
  std::string Operation;
  std::string Session;
  std::uint64_t Sequence = 0;
  unsigned Part = 0; ///< 0: single write; 1 or 2: half of a transaction.
};

/// Returns whether \p Kind inserts rows that may remain.
inline bool writesRows(OperationKind Kind) {
  return Kind == OperationKind::Write || Kind == OperationKind::Transaction;
}

/// Returns how an operation ended whose statement was refused.
/// \param SqlState of the refusal.
/// \param Message of the refusal.
OperationEnd endOfRefusal(std::string_view SqlState, std::string_view Message);

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

template <> struct EnumNames<bench::OperationEnd> {
  static constexpr auto Entries =
      std::to_array<std::pair<bench::OperationEnd, std::string_view>>(
          {{bench::OperationEnd::Acknowledged, "acknowledged"},
           {bench::OperationEnd::RolledBack, "rolled-back"},
           {bench::OperationEnd::NotRun, "not-run"},
           {bench::OperationEnd::Unknown, "unknown"},
           {bench::OperationEnd::Failed, "failed"},
           {bench::OperationEnd::NotSent, "not-sent"}});
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_BENCH_HISTORY_H
