#include "root/Settings.h"

#include <cxxopts.hpp>

#include <QHostAddress>

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <map>

namespace amaranthspur {
namespace {

/// The front ends to which a setting applies.
enum class SettingScope { All, PostgreSql, Lines };

/// One setting: its flag, its default and its help text.
struct SettingInfo {
  const char *Flag;
  const char *Default; ///< Null if the setting is required where it applies.
  const char *Help;
  SettingScope Scope = SettingScope::All;
};

constexpr auto SettingTable = std::to_array<SettingInfo>({
    {"front-end", "postgresql",
     "postgresql, or lines for the platform's line protocol"},
    {"vm-id", nullptr, "name of this entry VM; letters, digits, '.', '-'"},
    {"data-centre", nullptr, "data centre that this entry VM is in"},
    {"caller-address", nullptr, "host:port on which callers are served"},
    {"peer-address", nullptr, "host:port on which other entry VMs are served",
     SettingScope::PostgreSql},
    {"advertised-peer-address", "",
     "host:port at which other entry VMs reach this one; default: "
     "peer-address",
     SettingScope::PostgreSql},
    {"admin-address", nullptr,
     "host:port of /metrics, /status and /ready over HTTP"},
    {"readiness-address", nullptr, "host:port of /ready for the balancer",
     SettingScope::Lines},
    {"platform-address", nullptr, "host:port of the platform's service"},
    {"promotion-address", nullptr, "host:port that accepts promotion requests",
     SettingScope::Lines},
    {"regions", nullptr,
     "region of each data centre, as a comma-separated list of "
     "data-centre=region",
     SettingScope::Lines},
    {"relay-address", "",
     "host:port on which this entry VM serves others of its data centre; "
     "default: each entry VM reads the platform's tables itself",
     SettingScope::Lines},
    {"cpu-share", "0.25",
     "part of a core that this entry VM has; larger entry VMs become relays",
     SettingScope::Lines},
    {"configuration-bound-ms", "3000",
     "time within which an accepted configuration must be in force",
     SettingScope::Lines},
    {"quota-tolerance", "",
     "by how much the quota of a workspace may be exceeded, as "
     "window in s,part,operations (for example 5,0.1,20); empty parts mean "
     "5,0,0",
     SettingScope::Lines},
    {"bind-address", "", "source address of outgoing connections"},
    {"deployment-key", nullptr,
     "secret that all entry VMs of the deployment share; at least 8 bytes",
     SettingScope::PostgreSql},
    {"policy-variant", "amaranthspur",
     "set of policies; all values but the default are for tests"},
    {"seed-peers", "",
     "entry VMs to contact at start, as a comma-separated list of "
     "id=host:port@data-centre",
     SettingScope::PostgreSql},
    {"grace-seconds", "",
     "time between SIGTERM and SIGKILL; replaces drain-timeout-ms, and open "
     "transactions have the first half of it; default: drain-timeout-ms is "
     "used, of which they have half",
     SettingScope::Lines},
    {"drain-timeout-ms", "10000", "time limit for open requests after SIGTERM"},
    {"drain-notice-ms", "1000",
     "time between the failure of /ready and the closing of idle callers"},
    {"max-callers", "20000", "maximum number of caller connections"},
    {"log-level", "info", "error, warning, info or debug"},
});

std::string environmentName(std::string Flag) {
  for (char &C : Flag)
    C = C == '-' ? '_' : static_cast<char>(std::toupper(C));
  return "AMARANTHSPUR_" + Flag;
}

/// Parses the values of settings and collects an error for each invalid one.
class ValueParser {
public:
  explicit ValueParser(std::map<std::string, std::string> Values)
      : Values(std::move(Values)) {}

  const std::string &text(const std::string &Flag) {
    return this->Values[Flag];
  }

  void addError(const std::string &Flag, const std::string &Allowed) {
    this->Errors += "--" + Flag + " (" + environmentName(Flag) + ") is \"" +
                    this->text(Flag) + "\"; allowed: " + Allowed + "\n";
  }

  std::string name(const std::string &Flag) {
    const std::string &Text = this->text(Flag);
    const bool Valid =
        !Text.empty() && Text.size() <= 64 &&
        std::all_of(Text.begin(), Text.end(), [](unsigned char C) {
          return std::isalnum(C) != 0 || C == '.' || C == '-';
        });
    if (!Valid)
      this->addError(Flag, "1 to 64 letters, digits, '.' or '-'");
    return Text;
  }

  Address address(const std::string &Flag) {
    Result<Address> Parsed = parseAddress(this->text(Flag));
    if (succeeded(Parsed))
      return valueOf(std::move(Parsed));
    this->addError(Flag, "numeric host:port with a port from 1 to 65535");
    return {};
  }

  std::uint64_t number(const std::string &Flag, std::uint64_t Lowest,
                       std::uint64_t Highest) {
    const std::string &Text = this->text(Flag);
    std::uint64_t Number = 0;
    const char *End = Text.data() + Text.size();
    const auto [ParsedEnd, Status] = std::from_chars(Text.data(), End, Number);
    if (Status != std::errc() || ParsedEnd != End || Number < Lowest ||
        Number > Highest)
      this->addError(Flag,
                     std::to_string(Lowest) + " to " + std::to_string(Highest));
    return Number;
  }

  double fraction(const std::string &Flag, double Highest) {
    const std::string &Text = this->text(Flag);
    double Number = 0;
    const char *End = Text.data() + Text.size();
    const auto [ParsedEnd, Status] = std::from_chars(Text.data(), End, Number);
    // The negated comparison also refuses a value that is not a number.
    if (Status != std::errc() || ParsedEnd != End ||
        !(Number > 0 && Number <= Highest))
      this->addError(Flag, "a number above 0, up to " +
                               std::to_string(std::llround(Highest)));
    return Number;
  }

  template <typename E> E enumerator(const std::string &Flag) {
    if (const std::optional<E> Parsed = parseName<E>(this->text(Flag)))
      return *Parsed;
    this->addError(Flag, allNames<E>());
    return E{};
  }

  std::string Errors;

private:
  std::map<std::string, std::string> Values;
};

std::optional<Member> parseSeed(std::string_view Text) {
  const std::size_t Equals = Text.find('=');
  const std::size_t AtSign = Text.find('@');
  if (Equals == std::string_view::npos || AtSign == std::string_view::npos ||
      AtSign < Equals || Equals == 0 || AtSign + 1 == Text.size())
    return std::nullopt;
  Member Seed;
  Seed.Id = EntryVmId(std::string(Text.substr(0, Equals)));
  Seed.PeerAddress = Text.substr(Equals + 1, AtSign - Equals - 1);
  Seed.Location = DataCentre(std::string(Text.substr(AtSign + 1)));
  if (!succeeded(parseAddress(Seed.PeerAddress)))
    return std::nullopt;
  return Seed;
}

std::vector<Member> parseSeeds(ValueParser &Parser) {
  std::vector<Member> Seeds;
  std::string_view Remaining = Parser.text("seed-peers");
  while (!Remaining.empty()) {
    const std::size_t Comma = std::min(Remaining.find(','), Remaining.size());
    const std::optional<Member> Seed = parseSeed(Remaining.substr(0, Comma));
    if (!Seed) {
      Parser.addError("seed-peers",
                      "id=host:port@data-centre, separated by commas");
      break;
    }
    Seeds.push_back(*Seed);
    Remaining.remove_prefix(std::min(Comma + 1, Remaining.size()));
  }
  return Seeds;
}

std::map<DataCentre, Region> parseRegions(ValueParser &Parser) {
  std::map<DataCentre, Region> Regions;
  std::string_view Remaining = Parser.text("regions");
  while (!Remaining.empty()) {
    const std::size_t Comma = std::min(Remaining.find(','), Remaining.size());
    const std::string_view Entry = Remaining.substr(0, Comma);
    const std::size_t Equals = Entry.find('=');
    if (Equals == std::string_view::npos || Equals == 0 ||
        Equals + 1 == Entry.size()) {
      Parser.addError("regions", "data-centre=region, separated by commas");
      break;
    }
    Regions.insert_or_assign(DataCentre(std::string(Entry.substr(0, Equals))),
                             Region(std::string(Entry.substr(Equals + 1))));
    Remaining.remove_prefix(std::min(Comma + 1, Remaining.size()));
  }
  return Regions;
}

/// Parses one part of the tolerance of quotas; returns whether it is valid.
bool parseTolerancePart(std::string_view Text, double Lowest, double Highest,
                        double &Out) {
  if (Text.empty())
    return true;
  const char *End = Text.data() + Text.size();
  const auto [ParsedEnd, Status] = std::from_chars(Text.data(), End, Out);
  // The comparisons also refuse a value that is not a number.
  return Status == std::errc() && ParsedEnd == End && Out >= Lowest &&
         Out <= Highest;
}

QuotaTolerance parseQuotaTolerance(ValueParser &Parser) {
  constexpr double MinWindowSeconds = 0.1;
  constexpr double MaxWindowSeconds = 3600;
  constexpr double MaxExcess = 10;
  constexpr double MaxSlack = 1000000;
  QuotaTolerance Out;
  const std::string_view Text = Parser.text("quota-tolerance");
  if (Text.empty())
    return Out;
  const std::size_t First = std::min(Text.find(','), Text.size());
  const std::size_t Second = std::min(Text.find(',', First + 1), Text.size());
  const bool HasThree = Second < Text.size();
  double Seconds = std::chrono::duration<double>(Out.Window).count();
  const bool IsValid =
      HasThree &&
      parseTolerancePart(Text.substr(0, First), MinWindowSeconds,
                         MaxWindowSeconds, Seconds) &&
      parseTolerancePart(Text.substr(First + 1, Second - First - 1), 0,
                         MaxExcess, Out.Excess) &&
      parseTolerancePart(Text.substr(Second + 1), 0, MaxSlack, Out.Slack);
  if (!IsValid)
    Parser.addError("quota-tolerance",
                    "window,excess,slack: 0.1 to 3600, 0 to 10, 0 to 1000000");
  else
    Out.Window = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(Seconds));
  return Out;
}

/// Reads the settings of the PostgreSQL front end.
void parsePostgreSqlValues(ValueParser &Parser, Settings &Out) {
  constexpr std::size_t MinKeyBytes = 8;
  Out.Peers = Parser.address("peer-address");
  Out.AdvertisedPeers = Parser.text("advertised-peer-address").empty()
                            ? Out.Peers
                            : Parser.address("advertised-peer-address");
  Out.DeploymentKey = Parser.text("deployment-key");
  if (Out.DeploymentKey.size() < MinKeyBytes)
    Parser.Errors += "--deployment-key (" + environmentName("deployment-key") +
                     ") has " + std::to_string(Out.DeploymentKey.size()) +
                     " bytes; allowed: 8 bytes or more\n";
  Out.SeedPeers = parseSeeds(Parser);
}

/// Reads the settings of the front end for the line protocol.
void parseLineValues(ValueParser &Parser, Settings &Out) {
  constexpr double MaxCpuShare = 1024;
  // A follower needs 0.9 s to find that its relay does not answer.
  constexpr std::uint64_t MinConfigurationBoundMs = 2000;
  constexpr std::uint64_t MaxBoundMs = 600ULL * 1000;
  Out.Readiness = Parser.address("readiness-address");
  Out.Promotions = Parser.address("promotion-address");
  Out.Regions = parseRegions(Parser);
  if (!Parser.text("relay-address").empty())
    Out.RelayListener = Parser.address("relay-address");
  Out.CpuShare = Parser.fraction("cpu-share", MaxCpuShare);
  Out.ConfigurationBound = milliseconds(Parser.number(
      "configuration-bound-ms", MinConfigurationBoundMs, MaxBoundMs));
  Out.Quotas = parseQuotaTolerance(Parser);
}

/// Reads the limits of a planned stop.
StopLimits parseStopLimits(ValueParser &Parser, FrontEnd Front) {
  constexpr std::uint64_t MaxDrainTimeMs = 3600ULL * 1000;
  constexpr double MaxGraceSeconds = 3600;
  StopLimits Limits;
  Limits.End =
      milliseconds(Parser.number("drain-timeout-ms", 0, MaxDrainTimeMs));
  Limits.Notice =
      milliseconds(Parser.number("drain-notice-ms", 0, MaxDrainTimeMs));
  Limits.Transactions = Limits.End / 2;
  if (Front == FrontEnd::PostgreSql || Parser.text("grace-seconds").empty())
    return Limits;
  const std::chrono::duration<double> Grace(
      Parser.fraction("grace-seconds", MaxGraceSeconds));
  return stopLimitsFor(std::chrono::duration_cast<Duration>(Grace),
                       Limits.Notice);
}

Settings parseValues(ValueParser &Parser) {
  Settings Out;
  Out.Front = Parser.enumerator<FrontEnd>("front-end");
  Out.VmId = EntryVmId(Parser.name("vm-id"));
  Out.Location = DataCentre(Parser.name("data-centre"));
  Out.Callers = Parser.address("caller-address");
  Out.Admin = Parser.address("admin-address");
  Out.Platform = Parser.address("platform-address");
  Out.BindHost = Parser.text("bind-address");
  if (!Out.BindHost.empty() &&
      QHostAddress(QString::fromStdString(Out.BindHost)).isNull())
    Parser.addError("bind-address", "a numeric address, or nothing");
  Out.Variant = Parser.enumerator<PolicyVariant>("policy-variant");
  if (Out.Front == FrontEnd::PostgreSql)
    parsePostgreSqlValues(Parser, Out);
  else
    parseLineValues(Parser, Out);
  Out.Stop = parseStopLimits(Parser, Out.Front);
  Out.MaxCallers = Parser.number("max-callers", 1, 1000000);
  Out.MaxLogLevel = Parser.enumerator<LogLevel>("log-level");
  return Out;
}

cxxopts::Options makeOptions() {
  cxxopts::Options Options(
      "amaranthspurd",
      "Database proxy with session consistency: the daemon of an entry VM.\n"
      "Each flag has an environment variable, for example "
      "AMARANTHSPUR_VM_ID for --vm-id; the flag takes precedence.\n");
  auto Add = Options.add_options();
  for (const SettingInfo &Info : SettingTable) {
    std::string Help = Info.Help;
    if (!Info.Default)
      Help += Info.Scope == SettingScope::All ? " (required)"
              : Info.Scope == SettingScope::PostgreSql
                  ? " (required, postgresql)"
                  : " (required, lines)";
    else if (*Info.Default)
      Help += " (default: " + std::string(Info.Default) + ")";
    Add(Info.Flag, Help, cxxopts::value<std::string>());
  }
  Add("check", "check the settings and exit");
  Add("help", "show this text and exit");
  Add("version", "show the version and exit");
  return Options;
}

} // namespace

Result<ParsedSettings> readSettings(const std::vector<std::string> &Arguments,
                                    const Environment &Variables) {
  cxxopts::Options Options = makeOptions();
  std::vector<const char *> Pointers{"amaranthspurd"};
  for (const std::string &Argument : Arguments)
    Pointers.push_back(Argument.c_str());
  ParsedSettings Out;
  try {
    const auto Parsed =
        Options.parse(static_cast<int>(Pointers.size()), Pointers.data());
    if (Parsed.count("help") > 0) {
      Out.Action = SettingsAction::ShowHelp;
      Out.Text = Options.help();
      return Out;
    }
    if (Parsed.count("version") > 0) {
      Out.Action = SettingsAction::ShowVersion;
      Out.Text = "amaranthspurd 0.1.0\n";
      return Out;
    }
    if (!Parsed.unmatched().empty())
      return Error{"unexpected argument \"" + Parsed.unmatched().front() +
                   "\"; settings are given as flags\n"};
    if (Parsed.count("check") > 0)
      Out.Action = SettingsAction::CheckOnly;
    std::map<std::string, std::string> Values;
    std::string Missing;
    SettingScope Front = SettingScope::PostgreSql;
    for (const SettingInfo &Info : SettingTable) {
      std::string &Value = Values[Info.Flag];
      const auto Variable = Variables(environmentName(Info.Flag));
      if (Parsed.count(Info.Flag) > 0)
        Value = Parsed[Info.Flag].as<std::string>();
      else if (Variable)
        Value = *Variable;
      else if (Info.Default)
        Value = Info.Default;
      else if (Info.Scope == SettingScope::All || Info.Scope == Front)
        Missing += "--" + std::string(Info.Flag) + " (" +
                   environmentName(Info.Flag) + ") is missing; " + Info.Help +
                   "\n";
      // The table's first row is front-end, which decides which of the other
      // settings are required.
      if (Values.size() == 1 && Value == nameOf(FrontEnd::Lines))
        Front = SettingScope::Lines;
    }
    if (!Missing.empty())
      return Error{Missing};
    ValueParser Parser(std::move(Values));
    Out.Values = parseValues(Parser);
    if (!Parser.Errors.empty())
      return Error{Parser.Errors};
    return Out;
  } catch (const std::exception &E) {
    // cxxopts throws an exception if the command line is invalid. The exception
    // is converted here, since the rest of the daemon reports errors as values.
    return Error{std::string(E.what()) + "\n"};
  }
}

} // namespace amaranthspur
