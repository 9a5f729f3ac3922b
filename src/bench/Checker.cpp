#include "bench/Checker.h"

#include <algorithm>
#include <set>
#include <unordered_map>
#include <utility>

namespace amaranthspur::bench {
namespace {

/// Number of values of FinalRow::Part.
constexpr std::size_t PartKinds = 3;

/// The number of rows in the database for each part of one operation.
using PartCounts = std::array<unsigned, PartKinds>;

/// An index of the final rows of all databases.
class FinalContents {
public:
  explicit FinalContents(const std::vector<FinalRow> &Rows) {
    for (const FinalRow &Row : Rows) {
      ++this->Counts[Row.Operation]
                    [std::min<std::size_t>(Row.Part, PartKinds - 1)];
      this->Sequences.emplace(Row.Session, Row.Sequence);
    }
  }

  PartCounts countsOf(const std::string &Operation) const {
    const auto Found = this->Counts.find(Operation);
    return Found == this->Counts.end() ? PartCounts{} : Found->second;
  }

  bool holds(const std::string &Session, std::uint64_t Sequence) const {
    return this->Sequences.contains({Session, Sequence});
  }

private:
  std::unordered_map<std::string, PartCounts> Counts;
  std::set<std::pair<std::string, std::uint64_t>> Sequences;
};

/// Checks operations in the order of the history and collects violations.
class HistoryChecker {
public:
  explicit HistoryChecker(const std::vector<FinalRow> &Rows)
      : FinalState(Rows) {}

  void inspect(const Operation &Op) {
    this->inspectEchoes(Op);
    if (Op.Kind == OperationKind::Read)
      this->inspectRead(Op);
    if (writesRows(Op.Kind) || Op.Kind == OperationKind::Rollback)
      this->inspectWrite(Op);
  }

  std::vector<Violation> take() { return std::move(this->Found); }

private:
  void report(Rule Broken, const Operation &Op, std::string Detail) {
    this->Found.push_back({Broken, Op.Id, std::move(Detail)});
  }

  void inspectEchoes(const Operation &Op) {
    for (const std::string &Echo : Op.Echoes)
      if (Echo != Op.Id)
        this->report(Rule::AnswerMatchesRequest, Op,
                     "the answer carries \"" + Echo + "\"");
    if (Op.Outcome == OperationOutcome::Acknowledged && Op.Echoes.empty())
      this->report(Rule::AnswerMatchesRequest, Op,
                   "the answer carries no identifier");
  }

  void inspectRead(const Operation &Op) {
    if (Op.Outcome != OperationOutcome::Acknowledged)
      return;
    const std::uint64_t Floor = this->LastAcknowledged[Op.Session];
    if (Op.SeenSequence < Floor)
      this->report(Rule::ReadYourWrites, Op,
                   "read " + std::to_string(Op.SeenSequence) +
                       " after the session had written " +
                       std::to_string(Floor));
    if (Op.SeenSequence > 0 &&
        !this->FinalState.holds(Op.Session, Op.SeenSequence))
      this->report(Rule::NoUndoneRead, Op,
                   "read " + std::to_string(Op.SeenSequence) +
                       ", which the database does not hold");
  }

  void inspectWrite(const Operation &Op) {
    const PartCounts Counts = this->FinalState.countsOf(Op.Id);
    const unsigned Total = Counts[0] + Counts[1] + Counts[2];
    // A write marked as repeatable may be run again after an unknown outcome.
    if (Op.Repeatability == Repeatable::Off &&
        std::ranges::any_of(Counts, [](unsigned N) { return N > 1; }))
      this->report(Rule::NoDoubledWrite, Op,
                   "a row is in the database " +
                       std::to_string(*std::ranges::max_element(Counts)) +
                       " times");
    if (Op.Kind != OperationKind::Write && (Counts[1] > 0) != (Counts[2] > 0))
      this->report(Rule::NoMixedTransaction, Op,
                   "only one of its two rows is in the database");
    this->inspectEnd(Op, Total);
  }

  void inspectEnd(const Operation &Op, unsigned Total) {
    switch (Op.Outcome) {
    case OperationOutcome::Acknowledged:
      if (Total == 0)
        this->report(Rule::NoLostWrite, Op,
                     "acknowledged, but not in the database");
      this->LastAcknowledged[Op.Session] =
          std::max(this->LastAcknowledged[Op.Session], Op.Sequence);
      break;
    case OperationOutcome::RolledBack:
      if (Total > 0)
        this->report(Rule::NoMixedTransaction, Op,
                     "rolled back, but in the database");
      break;
    case OperationOutcome::NotRun:
      if (Total > 0)
        this->report(Rule::NotRunAbsent, Op,
                     "reported as \"not run\", but in the database");
      break;
    case OperationOutcome::Unknown:
    case OperationOutcome::Failed:
    case OperationOutcome::NotSent:
      break;
    }
  }

  FinalContents FinalState;
  std::unordered_map<std::string, std::uint64_t> LastAcknowledged;
  std::vector<Violation> Found;
};

} // namespace

std::vector<Violation> check(const History &Run,
                             const std::vector<FinalRow> &Rows) {
  HistoryChecker Checker(Rows);
  for (const Operation &Op : Run.Operations)
    Checker.inspect(Op);
  return Checker.take();
}

std::map<Rule, unsigned> countByRule(const std::vector<Violation> &Violations) {
  std::map<Rule, unsigned> Counts;
  for (const auto &[Value, Name] : EnumNames<Rule>::Entries)
    Counts[Value] = 0;
  for (const Violation &V : Violations)
    ++Counts[V.ViolatedRule];
  return Counts;
}

} // namespace amaranthspur::bench
