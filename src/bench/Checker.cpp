#include "bench/Checker.h"

#include <algorithm>
#include <set>
#include <unordered_map>
#include <utility>

namespace amaranthspur::bench {
namespace {

constexpr std::size_t Parts = 3; ///< Values of FinalRow::Part.

/// How often each part of one operation is in the database.
using PartCounts = std::array<unsigned, Parts>;

/// The final contents, ready for look-ups.
class Contents {
public:
  explicit Contents(const std::vector<FinalRow> &Rows) {
    for (const FinalRow &Row : Rows) {
      ++this->Counts[Row.Operation][std::min<std::size_t>(Row.Part, Parts - 1)];
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

/// Goes through the operations in order and collects violations.
class Inspection {
public:
  explicit Inspection(const std::vector<FinalRow> &Rows) : Held(Rows) {}

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
    if (Op.End == OperationEnd::Acknowledged && Op.Echoes.empty())
      this->report(Rule::AnswerMatchesRequest, Op,
                   "the answer carries no identifier");
  }

  void inspectRead(const Operation &Op) {
    if (Op.End != OperationEnd::Acknowledged)
      return;
    const std::uint64_t Floor = this->LastAcknowledged[Op.Session];
    if (Op.SeenSequence < Floor)
      this->report(Rule::ReadYourWrites, Op,
                   "read " + std::to_string(Op.SeenSequence) +
                       " after the session had written " +
                       std::to_string(Floor));
    if (Op.SeenSequence > 0 && !this->Held.holds(Op.Session, Op.SeenSequence))
      this->report(Rule::NoUndoneRead, Op,
                   "read " + std::to_string(Op.SeenSequence) +
                       ", which the database does not hold");
  }

  void inspectWrite(const Operation &Op) {
    const PartCounts Counts = this->Held.countsOf(Op.Id);
    const unsigned Total = Counts[0] + Counts[1] + Counts[2];
    // A write marked repeatable may run again after an unknown outcome.
    if (Op.Mark == Repeatable::Off &&
        std::ranges::any_of(Counts, [](unsigned N) { return N > 1; }))
      this->report(Rule::NoDoubledWrite, Op,
                   "a row is there " +
                       std::to_string(*std::ranges::max_element(Counts)) +
                       " times");
    if (Op.Kind != OperationKind::Write && (Counts[1] > 0) != (Counts[2] > 0))
      this->report(Rule::NoMixedTransaction, Op,
                   "one of its two rows is there");
    this->inspectEnd(Op, Total);
  }

  void inspectEnd(const Operation &Op, unsigned Total) {
    switch (Op.End) {
    case OperationEnd::Acknowledged:
      if (Total == 0)
        this->report(Rule::NoLostWrite, Op, "acknowledged, but not there");
      this->LastAcknowledged[Op.Session] =
          std::max(this->LastAcknowledged[Op.Session], Op.Sequence);
      break;
    case OperationEnd::RolledBack:
      if (Total > 0)
        this->report(Rule::NoMixedTransaction, Op, "rolled back, but there");
      break;
    case OperationEnd::NotRun:
      if (Total > 0)
        this->report(Rule::NotRunAbsent, Op, "\"not run\", but there");
      break;
    case OperationEnd::Unknown:
    case OperationEnd::Failed:
    case OperationEnd::NotSent:
      break;
    }
  }

  Contents Held;
  std::unordered_map<std::string, std::uint64_t> LastAcknowledged;
  std::vector<Violation> Found;
};

} // namespace

std::vector<Violation> check(const History &Run,
                             const std::vector<FinalRow> &Rows) {
  Inspection Work(Rows);
  for (const Operation &Op : Run.Operations)
    Work.inspect(Op);
  return Work.take();
}

std::map<Rule, unsigned> countByRule(const std::vector<Violation> &Violations) {
  std::map<Rule, unsigned> Counts;
  for (const auto &[Value, Name] : EnumNames<Rule>::Entries)
    Counts[Value] = 0;
  for (const Violation &V : Violations)
    ++Counts[V.Broken];
  return Counts;
}

} // namespace amaranthspur::bench
