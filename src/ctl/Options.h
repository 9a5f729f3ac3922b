// Parses the command line of amaranthspurctl.
#ifndef AMARANTHSPUR_CTL_OPTIONS_H
#define AMARANTHSPUR_CTL_OPTIONS_H

#include "core/Clock.h"
#include "core/Names.h"
#include "core/Result.h"
#include "wire/Connection.h"

#include <array>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace amaranthspur::ctl {

/// The commands of amaranthspurctl.
enum class CommandKind {
  Init,
  Check,
  Plan,
  Accept,
  History,
  Show,
  Status,
  Route,
  Drain,
  Undrain,
  Explain,
  Help,
  Version,
};

/// The kinds of target of `drain` and `undrain`.
enum class DrainTarget { BackendServer, EntryVm };

/// The validated options of one command.
struct Options {
  CommandKind Command = CommandKind::Help;
  std::vector<std::string> Arguments; ///< The arguments after the command.
  DrainTarget Target = DrainTarget::BackendServer;
  std::optional<Address> Platform;
  std::vector<Address> AdminAddresses;
  std::optional<std::uint64_t> FromRevision;
  std::optional<std::uint64_t> Revision;
  std::string Operation; ///< If empty, a new identifier is created.
  std::string Author;
  std::size_t Limit = 0;
  Duration Timeout{};
  bool Json = false;
  std::string HelpText;
};

/// Returns the value of an environment variable. Tests pass their own function.
using Environment =
    std::function<std::optional<std::string>(const std::string &)>;

/// Parses \p Arguments, the command line without the name of the program. A
/// flag overrides its environment variable.
/// \returns an error that lists every invalid option.
Result<Options> readOptions(const std::vector<std::string> &Arguments,
                            const Environment &Variables);

} // namespace amaranthspur::ctl

namespace amaranthspur {

template <> struct EnumNames<ctl::CommandKind> {
  static constexpr auto Entries =
      std::to_array<std::pair<ctl::CommandKind, std::string_view>>(
          {{ctl::CommandKind::Init, "init"},
           {ctl::CommandKind::Check, "check"},
           {ctl::CommandKind::Plan, "plan"},
           {ctl::CommandKind::Accept, "accept"},
           {ctl::CommandKind::History, "history"},
           {ctl::CommandKind::Show, "show"},
           {ctl::CommandKind::Status, "status"},
           {ctl::CommandKind::Route, "route"},
           {ctl::CommandKind::Drain, "drain"},
           {ctl::CommandKind::Undrain, "undrain"},
           {ctl::CommandKind::Explain, "explain"},
           {ctl::CommandKind::Help, "help"},
           {ctl::CommandKind::Version, "version"}});
};

template <> struct EnumNames<ctl::DrainTarget> {
  static constexpr auto Entries =
      std::to_array<std::pair<ctl::DrainTarget, std::string_view>>(
          {{ctl::DrainTarget::BackendServer, "backend-server"},
           {ctl::DrainTarget::EntryVm, "entry-vm"}});
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_CTL_OPTIONS_H
