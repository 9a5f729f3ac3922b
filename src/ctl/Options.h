// The command line of amaranthspurctl.
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

enum class CommandKind {
  Init,
  Check,
  Plan,
  Accept,
  History,
  Show,
  Status,
  Drain,
  Undrain,
  Explain,
  Help,
  Version,
};

/// What `drain` and `undrain` apply to.
enum class DrainTarget { BackendServer, EntryVm };

/// Checked options.
struct Options {
  CommandKind Command = CommandKind::Help;
  std::vector<std::string> Arguments; ///< What follows the command.
  DrainTarget Target = DrainTarget::BackendServer;
  std::optional<Address> Platform;
  std::vector<Address> AdminAddresses;
  std::optional<std::uint64_t> FromRevision;
  std::optional<std::uint64_t> Revision;
  std::string Operation; ///< Empty: a new one is made.
  std::string Author;
  std::size_t Limit = 0;
  Duration Timeout{};
  bool Json = false;
  std::string HelpText;
};

/// Reads one environment variable; a parameter, so that tests can replace it.
using Environment =
    std::function<std::optional<std::string>(const std::string &)>;

/// Reads the command line without the program's name; a flag goes before its
/// environment variable.
/// \returns an error that names every bad option.
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
