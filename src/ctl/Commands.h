// Runs the commands of amaranthspurctl.
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

/// The external services and functions that commands use. Tests replace them.
struct CommandContext {
  Platform *Client = nullptr;     ///< Null without --platform-address.
  StatusSource *Status = nullptr; ///< Reads the status of entry VMs.
  /// Reads the file \p Path, or standard input for `-`.
  std::function<Result<std::string>(const std::string &Path)> ReadFile;
  /// Returns the JSON text of the example \p Name, or std::nullopt.
  std::function<std::optional<std::string>(std::string_view Name)> Example;
  /// Prints a message for the operator while the command is still running.
  std::function<void(const std::string &Line)> Notice;
  std::function<std::string()> NewOperationId; ///< Returns a unique identifier.
  std::function<std::string()> CurrentTime;    ///< ISO 8601 in UTC.
};

/// Runs the command of \p O. The report covers every failure; no exception is
/// thrown.
QCoro::Task<Report> runCommand(Options O, CommandContext Context);

} // namespace amaranthspur::ctl

#endif // AMARANTHSPUR_CTL_COMMANDS_H
