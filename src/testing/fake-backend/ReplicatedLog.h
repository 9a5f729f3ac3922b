// The log of a database group: SQL texts of committed transactions.
#ifndef AMARANTHSPUR_TESTING_FAKE_BACKEND_REPLICATEDLOG_H
#define AMARANTHSPUR_TESTING_FAKE_BACKEND_REPLICATEDLOG_H

#include "core/Result.h"
#include "core/Types.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace amaranthspur::fake {

/// The statements of one committed transaction; none for a promotion.
struct LogEntry {
  Term TermNumber = 0;
  std::string Sql;
};

/// The last position of each term of a log, in ascending order.
using TermEnds = std::vector<LogPosition>;

/// Most terms that formatTermEnds writes, the latest ones; this keeps a
/// start-up message below PostgreSQL's limit of 10,000 bytes.
inline constexpr std::size_t MaxFormattedTerms = 150;

/// Returns the text form `term/index,term/index,...`.
std::string formatTermEnds(const TermEnds &Ends);

/// Parses the text form.
Result<TermEnds> parseTermEnds(std::string_view Text);

/// Entries with the indices 1, 2, 3, ... in non-descending terms.
///
/// Invariant of a group: a term's entries are all appended by its one primary,
/// so two logs that both hold (term, index) are equal up to there.
class ReplicatedLog {
public:
  /// Returns the position of the last entry, {0, 0} of an empty log.
  LogPosition end() const {
    return this->Ends.empty() ? LogPosition{} : this->Ends.back();
  }

  /// Appends an entry. \pre T is not below the last entry's term.
  void append(Term T, std::string Sql);

  /// Returns the entry at \p Index. \pre 1 <= Index <= end().Index.
  const LogEntry &at(std::uint64_t Index) const {
    return this->Entries[Index - 1];
  }

  const TermEnds &termEnds() const { return this->Ends; }

  /// Returns the highest index up to which this log and the one that \p Other
  /// describes are equal.
  std::uint64_t commonIndex(const TermEnds &Other) const;

  /// Drops the entries after \p Last.
  void truncate(std::uint64_t Last);

private:
  std::vector<LogEntry> Entries;
  TermEnds Ends;
};

} // namespace amaranthspur::fake

#endif // AMARANTHSPUR_TESTING_FAKE_BACKEND_REPLICATEDLOG_H
