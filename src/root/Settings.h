// The settings of amaranthspurd, which are given by flags and environment
// variables.
#ifndef AMARANTHSPUR_ROOT_SETTINGS_H
#define AMARANTHSPUR_ROOT_SETTINGS_H

#include "core/Clock.h"
#include "core/Enums.h"
#include "core/Result.h"
#include "policy/Member.h"
#include "policy/StopSchedule.h"
#include "policy/quotas/QuotaAmount.h"
#include "root/telemetry/Log.h"
#include "wire/Connection.h"

#include <array>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace amaranthspur {

/// The protocol that callers and backend servers use.
enum class FrontEnd {
  /// PostgreSQL's protocol. Each backend server is owned by one entry VM.
  PostgreSql,
  /// The platform's line protocol. Each entry VM connects to the backend
  /// servers independently of the others.
  Lines,
};

template <> struct EnumNames<FrontEnd> {
  static constexpr auto Entries =
      std::to_array<std::pair<FrontEnd, std::string_view>>(
          {{FrontEnd::PostgreSql, "postgresql"}, {FrontEnd::Lines, "lines"}});
};

/// Validated settings; every value is within its allowed range.
struct Settings {
  FrontEnd Front = FrontEnd::PostgreSql;
  EntryVmId VmId;
  DataCentre Location;
  /// Region of each data centre; Lines only.
  std::map<DataCentre, Region> Regions;
  Address Callers;         ///< Address on which callers are served.
  Address Peers;           ///< Address on which peers are served.
  Address AdvertisedPeers; ///< Address that other entry VMs connect to.
  Address Admin;      ///< Address that serves /metrics, /status and /ready.
  Address Readiness;  ///< Additional address that serves /ready; Lines only.
  Address Platform;   ///< Address of the platform's service.
  Address Promotions; ///< Address that accepts promotion requests; Lines only.
  /// Address on which this entry VM serves others of its data centre as their
  /// relay; no host: no relay is used. Lines only.
  Address RelayListener;
  double CpuShare = 0; ///< Part of a core that this entry VM has; Lines only.
  /// Time within which a configuration must be in force; Lines only.
  Duration ConfigurationBound{};
  /// By how much the quota of a workspace may be exceeded; Lines only.
  QuotaTolerance Quotas;
  std::string BindHost; ///< Source address of outgoing connections; empty: any.
  std::string DeploymentKey;
  PolicyVariant Variant = PolicyVariant::Amaranthspur;
  std::vector<Member> SeedPeers;
  /// The parts of a planned stop.
  StopLimits Stop;
  std::size_t MaxCallers = 0; ///< Maximum number of caller connections.
  /// Most verbose level of log lines that are written.
  LogLevel MaxLogLevel = LogLevel::Info;
};

/// The action that the command line requests.
enum class SettingsAction { Run, CheckOnly, ShowHelp, ShowVersion };

template <> struct EnumNames<SettingsAction> {
  static constexpr auto Entries =
      std::to_array<std::pair<SettingsAction, std::string_view>>(
          {{SettingsAction::Run, "run"},
           {SettingsAction::CheckOnly, "check"},
           {SettingsAction::ShowHelp, "help"},
           {SettingsAction::ShowVersion, "version"}});
};

/// The result of reading the settings.
struct ParsedSettings {
  SettingsAction Action = SettingsAction::Run;
  Settings Values;
  std::string Text; ///< The help or version text, if requested.
};

/// Looks up one environment variable. It is a parameter of readSettings() so
/// that tests can replace the environment.
using Environment =
    std::function<std::optional<std::string>(const std::string &)>;

/// Reads the settings. A flag takes precedence over its environment variable.
/// \returns the settings, or an error that lists every invalid setting with its
/// value and the allowed values.
Result<ParsedSettings> readSettings(const std::vector<std::string> &Arguments,
                                    const Environment &Variables);

} // namespace amaranthspur

#endif // AMARANTHSPUR_ROOT_SETTINGS_H
