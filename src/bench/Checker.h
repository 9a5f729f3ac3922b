// Checks the history of a run against the final contents of the databases.
//
// The rules can be decided because every write inserts the identifier of its
// operation into a table without a unique key. A lost, duplicated or partly
// applied transaction therefore appears as a wrong number of rows, and the
// sequence numbers of a session show which of its own writes a read returned.
#ifndef AMARANTHSPUR_BENCH_CHECKER_H
#define AMARANTHSPUR_BENCH_CHECKER_H

#include "bench/History.h"

#include <map>
#include <string>
#include <vector>

namespace amaranthspur::bench {

/// The properties that every history must have.
enum class Rule {
  ReadYourWrites,       ///< A read shows all writes of its session that were
                        ///< acknowledged before it.
  NoLostWrite,          ///< An acknowledged write is in the database.
  NoDoubledWrite,       ///< An unrepeatable write is applied at most once.
  NoMixedTransaction,   ///< A transaction leaves both rows or neither, and
                        ///< neither after a rollback.
  AnswerMatchesRequest, ///< An answer carries its request's identifier.
  NotRunAbsent,         ///< An operation reported as "not run" left no row.
  NoUndoneRead,         ///< A write that a read returned is in the database.
};

/// One violation of a rule by one operation.
struct Violation {
  Rule ViolatedRule = Rule::ReadYourWrites;
  std::string Operation; ///< The identifier of the operation.
  std::string Detail;    ///< What was expected and what was found.
};

/// Returns all violations. The time is linear in the operations and rows, up to
/// logarithmic factors.
/// \param Rows the rows of all databases of the run, read after all operations
/// have ended.
std::vector<Violation> check(const History &Run,
                             const std::vector<FinalRow> &Rows);

/// Returns the number of \p Violations for each rule, including rules without
/// any.
std::map<Rule, unsigned> countByRule(const std::vector<Violation> &Violations);

} // namespace amaranthspur::bench

namespace amaranthspur {

template <> struct EnumNames<bench::Rule> {
  static constexpr auto Entries =
      std::to_array<std::pair<bench::Rule, std::string_view>>(
          {{bench::Rule::ReadYourWrites, "read-your-writes"},
           {bench::Rule::NoLostWrite, "no-lost-write"},
           {bench::Rule::NoDoubledWrite, "no-doubled-write"},
           {bench::Rule::NoMixedTransaction, "no-mixed-transaction"},
           {bench::Rule::AnswerMatchesRequest, "answer-matches-request"},
           {bench::Rule::NotRunAbsent, "not-run-absent"},
           {bench::Rule::NoUndoneRead, "no-undone-read"}});
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_BENCH_CHECKER_H
