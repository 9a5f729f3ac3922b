// Checks a history against the final contents of the databases.
//
// The rules are decidable because every write inserts its operation identifier
// into a table without a unique key: a lost, doubled or half transaction shows
// as a wrong number of rows, and a session's sequence numbers show how much of
// its own writing a read saw.
#ifndef AMARANTHSPUR_BENCH_CHECKER_H
#define AMARANTHSPUR_BENCH_CHECKER_H

#include "bench/History.h"

#include <map>
#include <string>
#include <vector>

namespace amaranthspur::bench {

/// What must hold for every history.
enum class Rule {
  ReadYourWrites,       ///< A read shows all acknowledged writes before it.
  NoLostWrite,          ///< An acknowledged write is in the database.
  NoDoubledWrite,       ///< An unrepeatable write is there at most once.
  NoMixedTransaction,   ///< Both rows or none; none after a rollback.
  AnswerMatchesRequest, ///< An answer carries its request's identifier.
  NotRunAbsent,         ///< What was reported "not run" left no row.
  NoUndoneRead,         ///< What a read showed is in the database.
};

/// One broken rule.
struct Violation {
  Rule Broken = Rule::ReadYourWrites;
  std::string Operation; ///< Identifier of the operation.
  std::string Detail;    ///< What was expected and what was found.
};

/// Returns all violations. Linear in operations and rows, up to logarithms.
/// \param Rows of all databases of the run, read when nothing runs any more.
std::vector<Violation> check(const History &Run,
                             const std::vector<FinalRow> &Rows);

/// Returns how many of \p Violations break each rule; every rule has an entry.
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
