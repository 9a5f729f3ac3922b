#include "policy/SessionSettings.h"

#include <catch2/catch.hpp>

using namespace amaranthspur;

// Guards against a bad value that is taken, or an error that does not say what
// is allowed.
TEST_CASE("values of settings") {
  struct Row {
    const char *Name;
    const char *Value;
    const char *Problem; ///< Null: the value is good.
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

// Guards against a fall-back to the wrong class, and against a statement of a
// transaction that is sent to a replica.
TEST_CASE("what holds for a statement") {
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
      {"set class", "proof", "order", {}, false, "order", Access::Read},
      {"unknown class", "proof", "gold", {}, false, nullptr, Access::Read},
      {"access set", "", nullptr, Access::Write, false, "order", Access::Write},
      {"in transaction", "", nullptr, Access::Read, true, "order",
       Access::Write},
  };
  StatementTraits Traits;
  Traits.Guess = Access::Read;
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    CallerConfig Caller;
    Caller.DefaultClass = ClassName(R.DefaultClass);
    SessionSettings Settings;
    if (R.SetClass)
      Settings.Class = ClassName(R.SetClass);
    Settings.Wants = R.SetAccess;
    const auto Effective =
        resolveSettings(Settings, Traits, Service, Caller, R.InTransaction);
    REQUIRE(succeeded(Effective) == (R.Class != nullptr));
    if (!R.Class)
      continue;
    CHECK(valueOf(Effective).Class.str() == R.Class);
    CHECK(valueOf(Effective).Wants == R.Wants);
  }
}
