#include "root/Settings.h"

#include <catch2/catch.hpp>

#include <map>

using namespace amaranthspur;

namespace {

using Values = std::map<std::string, std::string>;

Values validValues() {
  return {{"--vm-id", "vm-1"},
          {"--data-centre", "joburg-a"},
          {"--caller-address", "127.0.1.1:5432"},
          {"--peer-address", "127.0.1.1:7000"},
          {"--admin-address", "127.0.1.1:9000"},
          {"--platform-address", "127.0.9.1:8000"},
          {"--deployment-key", "twelve-bytes"}};
}

Result<ParsedSettings> read(const Values &Flags, const Values &Variables = {}) {
  std::vector<std::string> Arguments;
  Arguments.reserve(Flags.size());
  for (const auto &[Flag, Value] : Flags)
    Arguments.push_back(std::string(Flag).append("=").append(Value));
  return readSettings(
      Arguments,
      [&Variables](const std::string &Name) -> std::optional<std::string> {
        const auto Found = Variables.find(Name);
        if (Found == Variables.end())
          return std::nullopt;
        return Found->second;
      });
}

} // namespace

// Guards against a daemon that starts with an invalid setting, and against an
// error message without the setting, its value or the allowed values.
TEST_CASE(
    "an error names the invalid setting, its value and the allowed values") {
  struct Row {
    const char *Flag;
    const char *Value;
    const char *Expected;
  };
  const Row Rows[] = {
      {"--vm-id", "", "1 to 64 letters"},
      {"--vm-id", "a b", "\"a b\"; allowed: 1 to 64"},
      {"--caller-address", "localhost:5432", "numeric host:port"},
      {"--caller-address", "127.0.0.1:0", "1 to 65535"},
      {"--peer-address", "127.0.0.1", "numeric host:port"},
      {"--bind-address", "here", "numeric address"},
      {"--deployment-key", "short", "8 bytes or more"},
      {"--policy-variant", "best", "allowed: amaranthspur, naive"},
      {"--seed-peers", "vm-2", "id=host:port@data-centre"},
      {"--drain-timeout-ms", "1s", "0 to 3600000"},
      {"--drain-timeout-ms", "-1", "0 to 3600000"},
      {"--log-level", "loud", "error, warning, info, debug"},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Flag, R.Value);
    Values Flags = validValues();
    Flags[R.Flag] = R.Value;
    const auto Parsed = read(Flags);
    REQUIRE_FALSE(succeeded(Parsed));
    CHECK(errorOf(Parsed).find(R.Flag) != std::string::npos);
    CHECK(errorOf(Parsed).find(R.Expected) != std::string::npos);
  }
}

// Guards against a line front end that starts with a relay setting which its
// polls and timeouts cannot keep to, or that needs one to start at all, and
// against one with an unusable grace time.
TEST_CASE("the settings of the line front end are checked") {
  struct Row {
    const char *Flag;
    const char *Value;
    const char *Expected; ///< Empty if the value is valid.
  };
  const Row Rows[] = {
      {"--relay-address", "10.1.0.8:7440", ""},
      {"--relay-address", "", ""},
      {"--relay-address", "10.1.0.8", "numeric host:port"},
      {"--relay-address", "10.1.0.8:70000", "1 to 65535"},
      {"--cpu-share", "0.12", ""},
      {"--cpu-share", "0", "a number above 0"},
      {"--cpu-share", "-1", "a number above 0"},
      {"--cpu-share", "nan", "a number above 0"},
      {"--cpu-share", "half", "a number above 0"},
      {"--cpu-share", "1e999", "a number above 0"},
      {"--configuration-bound-ms", "2000", ""},
      {"--configuration-bound-ms", "1999", "2000 to 600000"},
      {"--configuration-bound-ms", "3s", "2000 to 600000"},
      {"--quota-tolerance", "", ""},
      {"--quota-tolerance", "5,0.1,20", ""},
      {"--quota-tolerance", ",,", ""},
      {"--quota-tolerance", "5,0.1", "window,excess,slack"},
      {"--quota-tolerance", "5,0.1,20,1", "window,excess,slack"},
      {"--quota-tolerance", "0,0.1,20", "window,excess,slack"},
      {"--quota-tolerance", "5,-0.1,20", "window,excess,slack"},
      {"--quota-tolerance", "5,nan,20", "window,excess,slack"},
      {"--quota-tolerance", "5,0.1,1e999", "window,excess,slack"},
      {"--quota-tolerance", "5s,0.1,20", "window,excess,slack"},
      {"--grace-seconds", "6", ""},
      {"--grace-seconds", "0", "a number above 0"},
      {"--grace-seconds", "3601", "up to 3600"},
      {"--grace-seconds", "6s", "a number above 0"},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Flag, R.Value);
    Values Flags = validValues();
    Flags["--front-end"] = "lines";
    Flags["--readiness-address"] = "127.0.1.1:9001";
    Flags["--promotion-address"] = "127.0.9.1:8001";
    Flags["--regions"] = "joburg-a=gauteng";
    Flags[R.Flag] = R.Value;
    const auto Parsed = read(Flags);
    const std::string Expected = R.Expected;
    REQUIRE(succeeded(Parsed) == Expected.empty());
    if (!Expected.empty())
      CHECK(errorOf(Parsed).find(Expected) != std::string::npos);
  }
}

// Guards against a stop that ends after the process is killed, and against a
// flag that no longer has an effect.
TEST_CASE("the limits of a stop follow from the settings") {
  struct Row {
    const char *Name;
    Values Flags;
    int NoticeMs;
    int TransactionsMs;
    int EndMs;
  };
  const Row Rows[] = {
      {"defaults", {}, 1000, 5000, 10000},
      {"both drain flags",
       {{"--drain-notice-ms", "2200"}, {"--drain-timeout-ms", "5200"}},
       2200,
       2600,
       5200},
      {"the grace time replaces the timeout",
       {{"--grace-seconds", "6"},
        {"--drain-notice-ms", "2200"},
        {"--drain-timeout-ms", "9000"}},
       2200,
       3000,
       5200},
      {"a grace time with a fraction",
       {{"--grace-seconds", "1.5"}},
       1000,
       750,
       1250},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    Values Flags = validValues();
    Flags["--front-end"] = "lines";
    Flags["--readiness-address"] = "127.0.1.1:9001";
    Flags["--promotion-address"] = "127.0.9.1:8001";
    Flags["--regions"] = "joburg-a=gauteng";
    for (const auto &[Flag, Value] : R.Flags)
      Flags[Flag] = Value;
    const auto Parsed = read(Flags);
    REQUIRE(succeeded(Parsed));
    const StopLimits &Stop = valueOf(Parsed).Values.Stop;
    CHECK(Stop.Notice == milliseconds(R.NoticeMs));
    CHECK(Stop.Transactions == milliseconds(R.TransactionsMs));
    CHECK(Stop.End == milliseconds(R.EndMs));
  }
}

// Guards against an error that hides further ones.
TEST_CASE("all invalid settings are reported together") {
  Values Flags = validValues();
  Flags["--log-level"] = "loud";
  Flags["--peer-address"] = "x";
  const auto Parsed = read(Flags);
  REQUIRE_FALSE(succeeded(Parsed));
  CHECK(errorOf(Parsed).find("--log-level") != std::string::npos);
  CHECK(errorOf(Parsed).find("--peer-address") != std::string::npos);
}

// Guards against an environment variable that overrides a flag or is ignored.
TEST_CASE("a flag takes precedence over its environment variable") {
  struct Row {
    bool Flag;
    bool Variable;
    const char *Expected; ///< Null if the setting is missing.
  };
  const Row Rows[] = {{true, true, "flag"},
                      {true, false, "flag"},
                      {false, true, "variable"},
                      {false, false, nullptr}};
  for (const Row &R : Rows) {
    CAPTURE(R.Flag, R.Variable);
    Values Flags = validValues();
    Flags.erase("--vm-id");
    if (R.Flag)
      Flags["--vm-id"] = "flag";
    Values Variables;
    if (R.Variable)
      Variables["AMARANTHSPUR_VM_ID"] = "variable";
    const auto Parsed = read(Flags, Variables);
    REQUIRE(succeeded(Parsed) == (R.Expected != nullptr));
    if (R.Expected)
      CHECK(valueOf(Parsed).Values.VmId.str() == R.Expected);
    else
      CHECK(errorOf(Parsed).find("--vm-id (AMARANTHSPUR_VM_ID) is missing") !=
            std::string::npos);
  }
}

// Guards against a daemon that starts although only a check, the help or the
// version was requested.
TEST_CASE("the command line selects the action") {
  struct Row {
    std::vector<std::string> Arguments;
    bool Succeeds;
    SettingsAction Action;
  };
  const auto NoVariables =
      [](const std::string &) -> std::optional<std::string> {
    return std::nullopt;
  };
  const Row Rows[] = {
      {{"--help"}, true, SettingsAction::ShowHelp},
      {{"--version"}, true, SettingsAction::ShowVersion},
      {{"--check"}, false, SettingsAction::CheckOnly},
      {{"--no-such-flag"}, false, SettingsAction::Run},
      {{"stray"}, false, SettingsAction::Run},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Arguments);
    const auto Parsed = readSettings(R.Arguments, NoVariables);
    REQUIRE(succeeded(Parsed) == R.Succeeds);
    if (R.Succeeds)
      CHECK(valueOf(Parsed).Action == R.Action);
  }
}

// Guards against a tolerance that is applied to the wrong window, and against
// one where none is configured.
TEST_CASE("the tolerance of quotas") {
  struct Row {
    const char *Value;
    QuotaTolerance Tolerance;
  };
  const Row Rows[] = {
      {"", {std::chrono::seconds(5), 0, 0}},
      {",,", {std::chrono::seconds(5), 0, 0}},
      {"5,0.1,20", {std::chrono::seconds(5), 0.1, 20}},
      {"2.5,,7", {milliseconds(2500), 0, 7}},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Value);
    Values Flags = validValues();
    Flags["--front-end"] = "lines";
    Flags["--readiness-address"] = "127.0.1.1:9001";
    Flags["--promotion-address"] = "127.0.9.1:8001";
    Flags["--regions"] = "joburg-a=gauteng";
    Flags["--quota-tolerance"] = R.Value;
    const auto Parsed = read(Flags);
    REQUIRE(succeeded(Parsed));
    CHECK(valueOf(Parsed).Values.Quotas == R.Tolerance);
  }
}
