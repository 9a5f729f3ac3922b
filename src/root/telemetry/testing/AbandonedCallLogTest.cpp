#include "root/telemetry/AbandonedCallLog.h"

#include <catch2/catch.hpp>

using namespace amaranthspur;

// Guards against a call that is given up without a trace: whether it can still
// be executed cannot be told from the outcome alone.
TEST_CASE("calls that were given up are counted by kind") {
  Metrics Counters;
  AbandonedCallLog Log(Counters);
  for (const auto &[Kind, Name] : EnumNames<CallKind>::Entries) {
    CAPTURE(Name);
    AbandonedCall Call;
    Call.Subject = {Kind, "ledger", "b", 2, 7};
    Log.recordAbandoned(Call);
    const std::string Line = "amaranthspur_calls_abandoned_total{call=\"" +
                             std::string(Name) + "\"} 1";
    CHECK(Counters.serialise().find(Line) != std::string::npos);
  }
}
