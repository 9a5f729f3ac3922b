// Explains the outcome of one statement from the collected logs of entry VMs.
//
// The clocks of entry VMs differ. Lines of one process keep the order in which
// they were written. Lines of different processes are ordered by the term of
// the service that they report, never by their timestamps.
#ifndef AMARANTHSPUR_CTL_EXPLAIN_H
#define AMARANTHSPUR_CTL_EXPLAIN_H

#include "ctl/Report.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace amaranthspur::ctl {

/// One structured log line.
struct LogRecord {
  std::string Time; ///< The timestamp, from the clock of its process.
  std::string Process;
  std::string Event;
  std::map<std::string, std::string, std::less<>> Fields;

  /// Returns the value of the field \p Key, or an empty string if there is no
  /// such field.
  const std::string &field(std::string_view Key) const;
};

/// Parses one line. Any text before the timestamp is skipped, because log
/// collectors add prefixes.
/// \returns std::nullopt if \p Line is not a structured line of an entry VM.
std::optional<LogRecord> parseLogLine(std::string_view Line);

/// Returns the records of \p Text in the order of its lines. Lines that are not
/// structured are skipped.
std::vector<LogRecord> parseLog(std::string_view Text);

/// Explains the statement \p Id: its outcome, the configuration and the primary
/// that the entry VM assumed, the servers tried, its transaction, and the
/// earlier changes to its service. For a commit, also its holder, and what the
/// later takeovers required of their targets. The time is linear in the size of
/// \p Records.
/// \param Records are the records of all processes. Those of one process are in
/// the order in which they were written.
/// \returns a report with ExitStatus::Refused if no record names \p Id.
Report explain(const std::string &Id, const std::vector<LogRecord> &Records);

} // namespace amaranthspur::ctl

#endif // AMARANTHSPUR_CTL_EXPLAIN_H
