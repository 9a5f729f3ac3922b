#include "policy/SessionSettings.h"

#include <catch2/catch.hpp>

using namespace amaranthspur;

// Guards against an invalid value that is accepted, and against an error
// message that does not name the allowed values.
TEST_CASE("settings accept valid values and reject others") {
  struct Row {
    const char *Name;
    const char *Value;
    const char *Problem; ///< Part of the message; null: valid.
  };
  const Row Rows[] = {
      {"class", "check", nullptr},
      {"class", "", "allowed"},
      {"max_staleness_ms", "0", nullptr},
      {"max_staleness_ms", "86400000", nullptr},
      {"max_staleness_ms", "86400001", "0 to 86400000"},
      {"max_staleness_ms", "-1", "0 to 86400000"},
      {"max_staleness_ms", "1s", "0 to 86400000"},
      {"deadline_ms", "1", nullptr},
      {"deadline_ms", "0", "1 to 86400000"},
      {"repeatable", "on", nullptr},
      {"repeatable", "true", "on, off"},
      {"access", "read", nullptr},
      {"access", "both", "read, write"},
      {"session", "anything", nullptr},
      {"sesion", "x", "does not exist"},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name, R.Value);
    SessionSettings Settings;
    const Result<Success> Applied = Settings.apply(R.Name, R.Value);
    REQUIRE(succeeded(Applied) == (R.Problem == nullptr));
    if (R.Problem) {
      CHECK(errorOf(Applied).find(R.Problem) != std::string::npos);
    } else {
      const Result<std::string> Shown = Settings.show(R.Name);
      REQUIRE(succeeded(Shown));
      CHECK(valueOf(Shown) == R.Value);
    }
  }
}

// Guards against settings from a client library that are lost, and against an
// unsupported option that is ignored although the caller relies on it.
TEST_CASE("settings are parsed from the start-up options") {
  struct Row {
    const char *Options;
    int Settings; ///< Number of settings; -1: refused.
    const char *LastValue;
  };
  const Row Rows[] = {
      {"", 0, ""},
      {"-c amaranthspur.class=check", 1, "check"},
      {"-camaranthspur.class=check", 1, "check"},
      {"--amaranthspur.class=check", 1, "check"},
      {"  -c amaranthspur.class=a  -c amaranthspur.access=read ", 2, "read"},
      {"-c amaranthspur.class=a\\ b", 1, "a b"},
      {"-c search_path=x", -1, ""},
      {"-c", -1, ""},
      {"-c amaranthspur.class", -1, ""},
      {"-d 3", -1, ""},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Options);
    const auto Settings = settingsFromOptions(R.Options);
    REQUIRE(succeeded(Settings) == (R.Settings >= 0));
    if (R.Settings < 0)
      continue;
    REQUIRE(valueOf(Settings).size() == static_cast<std::size_t>(R.Settings));
    if (R.Settings > 0)
      CHECK(valueOf(Settings).back().Value == R.LastValue);
  }
}

// Guards against a fallback to the wrong class, and against sending a statement
// of an open transaction to a replica.
TEST_CASE("settings of a statement are resolved with their defaults") {
  ServiceConfig Service;
  Service.Name = ServiceName("orders-1");
  Service.Classes = {
      {ClassName("order"), milliseconds(1000), milliseconds(5), {}},
      {ClassName("proof"), milliseconds(500), milliseconds(5),
       milliseconds(2000), Repeatable::On}};
  struct Row {
    const char *Name;
    const char *DefaultClass;
    const char *SetClass;
    std::optional<Access> SetAccess;
    bool InTransaction;
    const char *Class; ///< Null: refused.
    Access Wants;
  };
  const Row Rows[] = {
      {"first class", "", nullptr, {}, false, "order", Access::Read},
      {"default class", "proof", nullptr, {}, false, "proof", Access::Read},
      {"class set by the caller",
       "proof",
       "order",
       {},
       false,
       "order",
       Access::Read},
      {"unknown class", "proof", "gold", {}, false, nullptr, Access::Read},
      {"access set by the caller", "", nullptr, Access::Write, false, "order",
       Access::Write},
      {"access set in a transaction", "", nullptr, Access::Read, true, "order",
       Access::Write},
  };
  StatementTraits Traits;
  Traits.InferredAccess = Access::Read;
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    CallerConfig Caller;
    Caller.DefaultClass = ClassName(R.DefaultClass);
    SessionSettings Settings;
    if (R.SetClass)
      Settings.Class = ClassName(R.SetClass);
    Settings.RequestedAccess = R.SetAccess;
    const auto Effective =
        resolveSettings(Settings, Traits, Service, Caller, R.InTransaction);
    REQUIRE(succeeded(Effective) == (R.Class != nullptr));
    if (!R.Class)
      continue;
    CHECK(valueOf(Effective).Class.str() == R.Class);
    CHECK(valueOf(Effective).RequestedAccess == R.Wants);
  }
}
