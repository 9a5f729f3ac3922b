#include "root/Settings.h"

#include <cxxopts.hpp>

#include <QHostAddress>

#include <algorithm>
#include <array>
#include <charconv>
#include <map>

namespace amaranthspur {
namespace {

/// Which front ends a setting is for.
enum class SettingScope { All, PostgreSql, Lines };

/// One setting: its flag, its default and its help text.
struct SettingInfo {
  const char *Flag;
  const char *Default; ///< Null: the setting is required where it applies.
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
    {"promotion-address", nullptr, "host:port that takes orders of promotions",
     SettingScope::Lines},
    {"regions", nullptr,
     "region of each data centre, data-centre=region, separated by commas",
     SettingScope::Lines},
    {"bind-address", "", "source address of outgoing connections"},
    {"deployment-key", nullptr,
     "secret that all entry VMs of the deployment share; at least 8 bytes",
     SettingScope::PostgreSql},
    {"policy-variant", "amaranthspur",
     "policies in use; all but the default are for tests"},
    {"seed-peers", "",
     "entry VMs to start from, id=host:port@data-centre, separated by commas",
     SettingScope::PostgreSql},
    {"drain-timeout-ms", "10000",
     "longest time for open requests after SIGTERM"},
    {"drain-notice-ms", "1000",
     "time between failing readiness and closing idle callers"},
    {"max-callers", "20000", "caller connections at most"},
    {"log-level", "info", "error, warning, info or debug"},
});

std::string environmentName(std::string Flag) {
  for (char &C : Flag)
    C = C == '-' ? '_' : static_cast<char>(std::toupper(C));
  return "AMARANTHSPUR_" + Flag;
}

/// Collects values and every mistake in them.
class Reader {
public:
  explicit Reader(std::map<std::string, std::string> Values)
      : Values(std::move(Values)) {}

  const std::string &text(const std::string &Flag) {
    return this->Values[Flag];
  }

  void mistake(const std::string &Flag, const std::string &Allowed) {
    this->Mistakes += "--" + Flag + " (" + environmentName(Flag) + ") is \"" +
                      this->text(Flag) + "\"; allowed: " + Allowed + "\n";
  }

  std::string name(const std::string &Flag) {
    const std::string &Text = this->text(Flag);
    const bool Good =
        !Text.empty() && Text.size() <= 64 &&
        std::all_of(Text.begin(), Text.end(), [](unsigned char C) {
          return std::isalnum(C) != 0 || C == '.' || C == '-';
        });
    if (!Good)
      this->mistake(Flag, "1 to 64 letters, digits, '.' or '-'");
    return Text;
  }

  Address address(const std::string &Flag) {
    Result<Address> Parsed = parseAddress(this->text(Flag));
    if (succeeded(Parsed))
      return valueOf(std::move(Parsed));
    this->mistake(Flag, "numeric host:port with a port from 1 to 65535");
    return {};
  }

  std::uint64_t number(const std::string &Flag, std::uint64_t Lowest,
                       std::uint64_t Highest) {
    const std::string &Text = this->text(Flag);
    std::uint64_t Number = 0;
    const char *End = Text.data() + Text.size();
    const auto [Rest, Status] = std::from_chars(Text.data(), End, Number);
    if (Status != std::errc() || Rest != End || Number < Lowest ||
        Number > Highest)
      this->mistake(Flag,
                    std::to_string(Lowest) + " to " + std::to_string(Highest));
    return Number;
  }

  template <typename E> E choice(const std::string &Flag) {
    if (const std::optional<E> Parsed = parseName<E>(this->text(Flag)))
      return *Parsed;
    this->mistake(Flag, allNames<E>());
    return E{};
  }

  std::string Mistakes;

private:
  std::map<std::string, std::string> Values;
};

std::optional<Member> parseSeed(std::string_view Text) {
  const std::size_t Equals = Text.find('=');
  const std::size_t At = Text.find('@');
  if (Equals == std::string_view::npos || At == std::string_view::npos ||
      At < Equals || Equals == 0 || At + 1 == Text.size())
    return std::nullopt;
  Member Seed;
  Seed.Id = EntryVmId(std::string(Text.substr(0, Equals)));
  Seed.PeerAddress = Text.substr(Equals + 1, At - Equals - 1);
  Seed.Location = DataCentre(std::string(Text.substr(At + 1)));
  if (!succeeded(parseAddress(Seed.PeerAddress)))
    return std::nullopt;
  return Seed;
}

std::vector<Member> readSeeds(Reader &In) {
  std::vector<Member> Seeds;
  std::string_view Rest = In.text("seed-peers");
  while (!Rest.empty()) {
    const std::size_t Comma = std::min(Rest.find(','), Rest.size());
    const std::optional<Member> Seed = parseSeed(Rest.substr(0, Comma));
    if (!Seed) {
      In.mistake("seed-peers", "id=host:port@data-centre, separated by commas");
      break;
    }
    Seeds.push_back(*Seed);
    Rest.remove_prefix(std::min(Comma + 1, Rest.size()));
  }
  return Seeds;
}

std::map<DataCentre, Region> readRegions(Reader &In) {
  std::map<DataCentre, Region> Regions;
  std::string_view Rest = In.text("regions");
  while (!Rest.empty()) {
    const std::size_t Comma = std::min(Rest.find(','), Rest.size());
    const std::string_view Entry = Rest.substr(0, Comma);
    const std::size_t Equals = Entry.find('=');
    if (Equals == std::string_view::npos || Equals == 0 ||
        Equals + 1 == Entry.size()) {
      In.mistake("regions", "data-centre=region, separated by commas");
      break;
    }
    Regions.insert_or_assign(DataCentre(std::string(Entry.substr(0, Equals))),
                             Region(std::string(Entry.substr(Equals + 1))));
    Rest.remove_prefix(std::min(Comma + 1, Rest.size()));
  }
  return Regions;
}

/// Reads what only the PostgreSQL front end has.
void readPeerValues(Reader &In, Settings &Out) {
  constexpr std::size_t MinKeyBytes = 8;
  Out.Peers = In.address("peer-address");
  Out.AdvertisedPeers = In.text("advertised-peer-address").empty()
                            ? Out.Peers
                            : In.address("advertised-peer-address");
  Out.DeploymentKey = In.text("deployment-key");
  if (Out.DeploymentKey.size() < MinKeyBytes)
    In.Mistakes += "--deployment-key (" + environmentName("deployment-key") +
                   ") has " + std::to_string(Out.DeploymentKey.size()) +
                   " bytes; allowed: 8 bytes or more\n";
  Out.SeedPeers = readSeeds(In);
}

/// Reads what only the line front end has.
void readLineValues(Reader &In, Settings &Out) {
  Out.Readiness = In.address("readiness-address");
  Out.Promotions = In.address("promotion-address");
  Out.Regions = readRegions(In);
}

Settings readValues(Reader &In) {
  constexpr std::uint64_t MaxTimeMs = 3600ULL * 1000;
  Settings Out;
  Out.Front = In.choice<FrontEnd>("front-end");
  Out.VmId = EntryVmId(In.name("vm-id"));
  Out.Location = DataCentre(In.name("data-centre"));
  Out.Callers = In.address("caller-address");
  Out.Admin = In.address("admin-address");
  Out.Platform = In.address("platform-address");
  Out.BindHost = In.text("bind-address");
  if (!Out.BindHost.empty() &&
      QHostAddress(QString::fromStdString(Out.BindHost)).isNull())
    In.mistake("bind-address", "a numeric address, or nothing");
  Out.Variant = In.choice<PolicyVariant>("policy-variant");
  if (Out.Front == FrontEnd::PostgreSql)
    readPeerValues(In, Out);
  else
    readLineValues(In, Out);
  Out.DrainTimeout = milliseconds(In.number("drain-timeout-ms", 0, MaxTimeMs));
  Out.DrainNotice = milliseconds(In.number("drain-notice-ms", 0, MaxTimeMs));
  Out.MaxCallers = In.number("max-callers", 1, 1000000);
  Out.Least = In.choice<LogLevel>("log-level");
  return Out;
}

cxxopts::Options makeOptions() {
  cxxopts::Options Options(
      "amaranthspurd",
      "Database proxy with session consistency: the daemon of an entry VM.\n"
      "Each flag has an environment variable, for example "
      "AMARANTHSPUR_VM_ID for --vm-id; a flag goes before it.\n");
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
                   "\"; settings are flags\n"};
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
      // The first row of the table decides which others are needed.
      if (Values.size() == 1 && Value == nameOf(FrontEnd::Lines))
        Front = SettingScope::Lines;
    }
    if (!Missing.empty())
      return Error{Missing};
    Reader In(std::move(Values));
    Out.Values = readValues(In);
    if (!In.Mistakes.empty())
      return Error{In.Mistakes};
    return Out;
  } catch (const std::exception &E) {
    // cxxopts reports mistakes by exceptions; they end here.
    return Error{std::string(E.what()) + "\n"};
  }
}

} // namespace amaranthspur
