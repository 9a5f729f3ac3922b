#include "bench/History.h"

#include <algorithm>

namespace amaranthspur::bench {
namespace {

constexpr std::string_view NotRunPrefix = "not run:";
/// The SQLSTATE of an unknown outcome.
constexpr std::string_view OutcomeUnknownState = "08007";
/// The SQLSTATEs with which a backend server itself reports that the statement
/// had no effect (docs/design.md, section 6).
constexpr auto NotRunStates =
    std::to_array<std::string_view>({"25006", "57P04", "53300"});

} // namespace

OperationOutcome outcomeOfRefusal(std::string_view SqlState,
                                  std::string_view Message) {
  if (SqlState == OutcomeUnknownState)
    return OperationOutcome::Unknown;
  if (Message.starts_with(NotRunPrefix))
    return OperationOutcome::NotRun;
  if (std::ranges::find(NotRunStates, SqlState) != NotRunStates.end())
    return OperationOutcome::NotRun;
  return OperationOutcome::Failed;
}

} // namespace amaranthspur::bench
