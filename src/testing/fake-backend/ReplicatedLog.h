// The replicated log of a database group: the SQL of committed transactions.
#ifndef AMARANTHSPUR_TESTING_FAKE_BACKEND_REPLICATEDLOG_H
#define AMARANTHSPUR_TESTING_FAKE_BACKEND_REPLICATEDLOG_H

#include "core/Result.h"
#include "core/Types.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace amaranthspur::fake {

/// The statements of one committed transaction. A promotion appends an entry
/// without statements.
struct LogEntry {
  Term TermNumber = 0;
  std::string Sql;
};

/// The last position of each term of a log, in ascending order.
using TermEnds = std::vector<LogPosition>;

/// Maximum number of terms that formatTermEnds writes; it keeps the latest
/// ones. This keeps a start-up message below PostgreSQL's limit of 10,000
/// bytes.
inline constexpr std::size_t MaxFormattedTerms = 150;

/// Formats \p Ends as `term/index,term/index,...`.
std::string formatTermEnds(const TermEnds &Ends);

/// Parses the format that formatTermEnds writes.
Result<TermEnds> parseTermEnds(std::string_view Text);

/// Log entries with consecutive indices from 1, in non-decreasing terms.
///
/// Only the single primary of a term creates entries of that term. Two logs
/// that both contain an entry (term, index) are therefore equal up to that
/// index.
class ReplicatedLog {
public:
  /// Returns the position of the last entry, or {0, 0} if the log is empty.
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

  /// Returns the length of the longest common prefix of this log and the log
  /// whose term ends are \p Other.
  std::uint64_t commonIndex(const TermEnds &Other) const;

  /// Removes the entries after \p Last.
  void truncate(std::uint64_t Last);

private:
  std::vector<LogEntry> Entries;
  TermEnds Ends;
};

} // namespace amaranthspur::fake

#endif // AMARANTHSPUR_TESTING_FAKE_BACKEND_REPLICATEDLOG_H
