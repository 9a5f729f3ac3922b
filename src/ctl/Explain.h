// Explains one statement from the collected logs of entry VMs.
//
// Clocks of entry VMs differ. Lines of one process are in the order in which
// they were written; lines of other processes are ordered by the term of the
// service that they speak of, never by their time.
#ifndef AMARANTHSPUR_CTL_EXPLAIN_H
#define AMARANTHSPUR_CTL_EXPLAIN_H

#include "ctl/Report.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace amaranthspur::ctl {

/// One structured line of a log.
struct LogRecord {
  std::string Time; ///< As written, by the clock of its process.
  std::string Process;
  std::string Event;
  std::map<std::string, std::string, std::less<>> Fields;

  /// Returns the field \p Key; empty if the line has none.
  const std::string &field(std::string_view Key) const;
};

/// Reads one line. Words before its time, as collectors add them, are skipped.
/// \returns nothing if \p Line is not a structured line of an entry VM.
std::optional<LogRecord> parseLogLine(std::string_view Line);

/// Returns the records of \p Text in its order; other lines are left out.
std::vector<LogRecord> parseLog(std::string_view Text);

/// Explains the statement \p Id: its outcome, the beliefs that decided it, its
/// transaction, and what changed for its service before it. Linear in the
/// number of \p Records.
/// \param Records in the order of each process.
/// \returns ExitStatus::Refused if no record names \p Id.
Report explain(const std::string &Id, const std::vector<LogRecord> &Records);

} // namespace amaranthspur::ctl

#endif // AMARANTHSPUR_CTL_EXPLAIN_H
