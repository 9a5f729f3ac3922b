// The commands of amaranthspurctl.
#ifndef AMARANTHSPUR_CTL_COMMANDS_H
#define AMARANTHSPUR_CTL_COMMANDS_H

#include "core/Clock.h"
#include "ctl/Options.h"
#include "ctl/Report.h"
#include "ctl/StatusQuery.h"
#include "platform/Platform.h"

#include <functional>
#include <string>

namespace amaranthspur::ctl {

/// What commands reach outside of themselves.
struct Surroundings {
  Platform *Service = nullptr; ///< Null if no address was given.
  StatusSource *Status = nullptr;
  /// Reads a file, or standard input for `-`.
  std::function<Result<std::string>(const std::string &Path)> ReadFile;
  /// Returns the text of the example named \p Name, or nothing.
  std::function<std::optional<std::string>(std::string_view Name)> Example;
  /// Tells the operator something before a command ends.
  std::function<void(const std::string &Line)> Notice;
  std::function<std::string()> NewOperation; ///< A unique identifier.
  std::function<std::string()> TimeOfDay;    ///< ISO 8601 in UTC.
};

/// Runs the command of \p O. The report is complete: nothing is thrown.
QCoro::Task<Report> runCommand(Options O, Surroundings Around);

} // namespace amaranthspur::ctl

#endif // AMARANTHSPUR_CTL_COMMANDS_H
