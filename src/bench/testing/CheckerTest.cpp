#include "bench/Checker.h"

#include <catch2/catch.hpp>

using namespace amaranthspur;
using namespace amaranthspur::bench;

namespace {

/// Returns an operation of session "s".
/// \param Number the sequence number that a write has or that a read returned.
Operation makeOperation(std::string Id, OperationKind Kind,
                        OperationOutcome End, std::uint64_t Number) {
  Operation Op;
  Op.Id = std::move(Id);
  Op.Session = std::string("s"); // GCC 12 gives a false warning for = "s".
  Op.Kind = Kind;
  Op.Outcome = End;
  Op.Sequence = Kind == OperationKind::Read ? 0 : Number;
  Op.SeenSequence = Kind == OperationKind::Read ? Number : 0;
  if (End == OperationOutcome::Acknowledged)
    Op.Echoes = {Op.Id};
  return Op;
}

Operation onEntryVm(Operation Op, std::string EntryVm) {
  Op.EntryVm = std::move(EntryVm);
  return Op;
}

Operation repeatable(Operation Op) {
  Op.Repeatability = Repeatable::On;
  return Op;
}

Operation withEchoes(Operation Op, std::vector<std::string> Echoes) {
  Op.Echoes = std::move(Echoes);
  return Op;
}

constexpr auto Read = OperationKind::Read;
constexpr auto Write = OperationKind::Write;
constexpr auto Transaction = OperationKind::Transaction;
constexpr auto Rollback = OperationKind::Rollback;
constexpr auto Acknowledged = OperationOutcome::Acknowledged;
constexpr auto RolledBack = OperationOutcome::RolledBack;
constexpr auto NotRun = OperationOutcome::NotRun;
constexpr auto Unknown = OperationOutcome::Unknown;

struct Row {
  const char *Name;
  std::vector<Operation> Operations;
  std::vector<FinalRow> Rows;
  std::vector<Rule> Broken; ///< Rules of the expected violations, in order.
};

const std::vector<Row> Table = {
    {"a correct history of every kind passes",
     {makeOperation("w1", Write, Acknowledged, 1),
      makeOperation("r1", Read, Acknowledged, 1),
      makeOperation("t2", Transaction, Acknowledged, 2),
      onEntryVm(makeOperation("r2", Read, Acknowledged, 2), "other"),
      makeOperation("b3", Rollback, RolledBack, 3),
      makeOperation("n4", Write, NotRun, 4),
      makeOperation("u5", Write, Unknown, 5),
      makeOperation("u6", Write, Unknown, 6)},
     {{"w1", "s", 1, 0},
      {"t2", "s", 2, 1},
      {"t2", "s", 2, 2},
      {"u5", "s", 5, 0}},
     {}},
    {"read-your-writes: a read on the same entry VM misses a write",
     {makeOperation("w1", Write, Acknowledged, 1),
      makeOperation("r1", Read, Acknowledged, 0)},
     {{"w1", "s", 1, 0}},
     {Rule::ReadYourWrites}},
    {"read-your-writes: a read after roaming misses a transaction",
     {makeOperation("w1", Write, Acknowledged, 1),
      makeOperation("t2", Transaction, Acknowledged, 2),
      onEntryVm(makeOperation("r1", Read, Acknowledged, 1), "other")},
     {{"w1", "s", 1, 0}, {"t2", "s", 2, 1}, {"t2", "s", 2, 2}},
     {Rule::ReadYourWrites}},
    {"read-your-writes: a write of unknown outcome need not be seen",
     {makeOperation("u1", Write, Unknown, 1),
      makeOperation("r1", Read, Acknowledged, 0)},
     {{"u1", "s", 1, 0}},
     {}},
    {"no-lost-write: an acknowledged write is absent",
     {makeOperation("w1", Write, Acknowledged, 1)},
     {},
     {Rule::NoLostWrite}},
    {"no-lost-write: an acknowledged transaction is absent",
     {makeOperation("t1", Transaction, Acknowledged, 1)},
     {},
     {Rule::NoLostWrite}},
    {"no-doubled-write: an acknowledged write is in the database twice",
     {makeOperation("w1", Write, Acknowledged, 1)},
     {{"w1", "s", 1, 0}, {"w1", "s", 1, 0}},
     {Rule::NoDoubledWrite}},
    {"no-doubled-write: a write of unknown outcome is in the database twice",
     {makeOperation("u1", Write, Unknown, 1)},
     {{"u1", "s", 1, 0}, {"u1", "s", 1, 0}},
     {Rule::NoDoubledWrite}},
    {"no-doubled-write: a repeatable write may be in the database twice",
     {repeatable(makeOperation("w1", Write, Acknowledged, 1))},
     {{"w1", "s", 1, 0}, {"w1", "s", 1, 0}},
     {}},
    {"no-doubled-write: a transaction is in the database twice",
     {makeOperation("t1", Transaction, Acknowledged, 1)},
     {{"t1", "s", 1, 1},
      {"t1", "s", 1, 2},
      {"t1", "s", 1, 1},
      {"t1", "s", 1, 2}},
     {Rule::NoDoubledWrite}},
    {"no-mixed-transaction: half of a transaction is in the database",
     {makeOperation("t1", Transaction, Acknowledged, 1)},
     {{"t1", "s", 1, 2}},
     {Rule::NoMixedTransaction}},
    {"no-mixed-transaction: half of an unknown transaction is in the database",
     {makeOperation("t1", Transaction, Unknown, 1)},
     {{"t1", "s", 1, 1}},
     {Rule::NoMixedTransaction}},
    {"no-mixed-transaction: a transaction that was rolled back is in the "
     "database",
     {makeOperation("b1", Rollback, RolledBack, 1)},
     {{"b1", "s", 1, 1}, {"b1", "s", 1, 2}},
     {Rule::NoMixedTransaction}},
    {"answer-matches-request: another request's answer",
     {withEchoes(makeOperation("r1", Read, Acknowledged, 0), {"r9"})},
     {},
     {Rule::AnswerMatchesRequest}},
    {"answer-matches-request: a transaction gets an answer of another",
     {withEchoes(makeOperation("t1", Transaction, Acknowledged, 1),
                 {"t1", "t9"})},
     {{"t1", "s", 1, 1}, {"t1", "s", 1, 2}},
     {Rule::AnswerMatchesRequest}},
    {"answer-matches-request: an answer without an identifier",
     {withEchoes(makeOperation("r1", Read, Acknowledged, 0), {})},
     {},
     {Rule::AnswerMatchesRequest}},
    {"not-run-absent: a refused write is in the database",
     {makeOperation("n1", Write, NotRun, 1)},
     {{"n1", "s", 1, 0}},
     {Rule::NotRunAbsent}},
    {"not-run-absent: a refused transaction is in the database",
     {makeOperation("n1", Transaction, NotRun, 1)},
     {{"n1", "s", 1, 1}, {"n1", "s", 1, 2}},
     {Rule::NotRunAbsent}},
    {"no-undone-read: a read returned a write that is not in the database",
     {makeOperation("u1", Write, Unknown, 1),
      makeOperation("r1", Read, Acknowledged, 1)},
     {},
     {Rule::NoUndoneRead}},
};

} // namespace

// Guards against a checker that misses a violation or reports one in a correct
// history. All reported numbers of violations depend on the checker.
TEST_CASE("the checker decides each rule") {
  for (const Row &R : Table) {
    CAPTURE(R.Name);
    std::vector<Rule> Broken;
    for (const Violation &V : check({R.Operations}, R.Rows))
      Broken.push_back(V.ViolatedRule);
    CHECK(Broken == R.Broken);
  }
}

// Guards against a rule that no row of the table above violates alone.
TEST_CASE("every rule has a history that violates it") {
  for (const auto &[Value, Name] : EnumNames<Rule>::Entries) {
    CAPTURE(Name);
    bool Covered = false;
    for (const Row &R : Table)
      Covered = Covered || (R.Broken.size() == 1 && R.Broken.front() == Value);
    CHECK(Covered);
  }
}

// Guards against a count that omits the rules without violations.
TEST_CASE("violations are counted for every rule") {
  const auto Counts = countByRule({{Rule::NoLostWrite, "w1", ""}});
  CHECK(Counts.size() == EnumNames<Rule>::Entries.size());
  CHECK(Counts.at(Rule::NoLostWrite) == 1);
  CHECK(Counts.at(Rule::NoDoubledWrite) == 0);
}

// Guards against interpreting a refusal as a stronger or weaker guarantee than
// the one that was given.
TEST_CASE("the outcome of a refusal follows from SQLSTATE and message") {
  struct RefusalRow {
    const char *SqlState;
    const char *Message;
    OperationOutcome End;
  };
  const RefusalRow Rows[] = {
      {"08007", "outcome unknown: write was not confirmed", Unknown},
      {"08007", "not run: contradicts its code", Unknown},
      {"53000", "not run: overloaded", NotRun},
      {"57P03", "not run: no primary is known", NotRun},
      {"25006", "cannot write on a replica", NotRun},
      {"57P04", "fenced", NotRun},
      {"53300", "too many connections", NotRun},
      {"42P01", "no such table", OperationOutcome::Failed},
  };
  for (const RefusalRow &R : Rows) {
    CAPTURE(R.SqlState, R.Message);
    CHECK(outcomeOfRefusal(R.SqlState, R.Message) == R.End);
  }
}
