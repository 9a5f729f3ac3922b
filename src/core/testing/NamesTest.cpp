#include "core/Enums.h"
#include "core/Refusal.h"

#include <catch2/catch.hpp>

#include <set>

using namespace amaranthspur;

namespace {

template <typename E> void requireUniqueNames() {
  std::set<std::string_view> Names;
  for (const auto &[Value, Name] : EnumNames<E>::Entries) {
    CAPTURE(Name);
    CHECK(Names.insert(Name).second);
    CHECK(parseName<E>(Name) == Value);
    CHECK(nameOf(Value) == Name);
  }
}

} // namespace

// Guards against two values of an enumeration with the same name, which would
// make a setting or a metric label ambiguous.
TEST_CASE("names of an enumeration are unique and parse back") {
  requireUniqueNames<ServerRole>();
  requireUniqueNames<Access>();
  requireUniqueNames<Repeatable>();
  requireUniqueNames<TransactionState>();
  requireUniqueNames<PolicyVariant>();
  requireUniqueNames<RefusalKind>();
  requireUniqueNames<RefusalReason>();
}

// Guards against refusals of both kinds with the same SQLSTATE. A caller could
// then mistake an unknown outcome for "not run" and repeat a write.
TEST_CASE("the SQLSTATE distinguishes the two kinds of refusal") {
  for (const auto &[Reason, Name] : EnumNames<RefusalReason>::Entries) {
    CAPTURE(Name);
    CHECK(sqlState(RefusalKind::OutcomeUnknown, Reason) == "08007");
    CHECK(sqlState(RefusalKind::NotRun, Reason).size() == 5);
    if (Reason != RefusalReason::NotConfirmed)
      CHECK(sqlState(RefusalKind::NotRun, Reason) != "08007");
  }
}
