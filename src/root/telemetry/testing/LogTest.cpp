#include "root/telemetry/Log.h"

#include <catch2/catch.hpp>

using namespace amaranthspur;

// Guards against a value from an untrusted client that forges a line or a
// field.
TEST_CASE("ambiguous values are quoted and escaped") {
  struct Row {
    std::string Name;
    std::string Value;
    std::string Line;
  };
  const Row Rows[] = {
      {"plain", "paarl-a", "event=ready vm=paarl-a"},
      {"address", "127.0.1.2:6000", "event=ready vm=127.0.1.2:6000"},
      {"empty", "", "event=ready vm=\"\""},
      {"space", "a b", "event=ready vm=\"a b\""},
      {"equals sign", "a=b", "event=ready vm=\"a=b\""},
      {"quote", "a\"b", "event=ready vm=\"a\\\"b\""},
      {"backslash", "a\\b", "event=ready vm=\"a\\\\b\""},
      {"new line", "a\nevent=x", "event=ready vm=\"a\\x0aevent=x\""},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    CHECK(formatLogLine(LogEvent::Ready, {{"vm", R.Value}}) == R.Line);
  }
}

// Guards against two events with the same name, and against an event without a
// name.
TEST_CASE("every log event has a unique name") {
  for (const auto &[Event, Name] : EnumNames<LogEvent>::Entries) {
    CAPTURE(Name);
    CHECK(parseName<LogEvent>(Name) == Event);
    CHECK(formatLogLine(Event, {{"n", 7}}) ==
          "event=" + std::string(Name) + " n=7");
  }
}
