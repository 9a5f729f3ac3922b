// The settings of amaranthspurd, from flags and environment variables.
#ifndef AMARANTHSPUR_ROOT_SETTINGS_H
#define AMARANTHSPUR_ROOT_SETTINGS_H

#include "core/Clock.h"
#include "core/Enums.h"
#include "core/Result.h"
#include "policy/Member.h"
#include "root/telemetry/Log.h"
#include "wire/Connection.h"

#include <array>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace amaranthspur {

/// What callers and backend servers speak.
enum class FrontEnd {
  PostgreSql, ///< PostgreSQL's protocol; servers have owners among entry VMs.
  Lines,      ///< The platform's line protocol; every entry VM serves alone.
};

template <> struct EnumNames<FrontEnd> {
  static constexpr auto Entries =
      std::to_array<std::pair<FrontEnd, std::string_view>>(
          {{FrontEnd::PostgreSql, "postgresql"}, {FrontEnd::Lines, "lines"}});
};

/// Checked settings; every value is in its allowed range.
struct Settings {
  FrontEnd Front = FrontEnd::PostgreSql;
  EntryVmId VmId;
  DataCentre Location;
  std::map<DataCentre, Region> Regions; ///< Of the data centres; Lines only.
  Address Callers;                      ///< Listens for callers.
  Address Peers;                        ///< Listens for other entry VMs.
  Address AdvertisedPeers; ///< Where other entry VMs reach this one.
  Address Admin;           ///< Listens for /metrics, /status, /ready.
  Address Readiness;       ///< Listens for /ready as well; Lines only.
  Address Platform;        ///< The platform's service.
  Address Promotions;      ///< Takes orders of promotions; Lines only.
  std::string BindHost; ///< Source address of outgoing connections, or empty.
  std::string DeploymentKey;
  PolicyVariant Variant = PolicyVariant::Amaranthspur;
  std::vector<Member> SeedPeers;
  Duration DrainTimeout{};
  Duration DrainNotice{};
  std::size_t MaxCallers = 0; ///< Caller connections at most.
  LogLevel Least = LogLevel::Info;
};

/// What the command line asks for.
enum class SettingsAction { Run, CheckOnly, ShowHelp, ShowVersion };

template <> struct EnumNames<SettingsAction> {
  static constexpr auto Entries =
      std::to_array<std::pair<SettingsAction, std::string_view>>(
          {{SettingsAction::Run, "run"},
           {SettingsAction::CheckOnly, "check"},
           {SettingsAction::ShowHelp, "help"},
           {SettingsAction::ShowVersion, "version"}});
};

/// The outcome of reading the settings.
struct ParsedSettings {
  SettingsAction Action = SettingsAction::Run;
  Settings Values;
  std::string Text; ///< Help or version, if asked for.
};

/// Reads one environment variable; a parameter, so that tests can replace it.
using Environment =
    std::function<std::optional<std::string>(const std::string &)>;

/// Reads the settings; a flag goes before its environment variable.
/// \returns an error that lists every bad setting with its value and what is
/// allowed.
Result<ParsedSettings> readSettings(const std::vector<std::string> &Arguments,
                                    const Environment &Variables);

} // namespace amaranthspur

#endif // AMARANTHSPUR_ROOT_SETTINGS_H
