#include "bench/History.h"

#include <algorithm>

namespace amaranthspur::bench {
namespace {

constexpr std::string_view NotRunPrefix = "not run:";
constexpr std::string_view UnknownState = "08007";
/// With these a backend server itself says that the statement had no effect
/// (design, section 6).
constexpr auto NotRunStates =
    std::to_array<std::string_view>({"25006", "57P04", "53300"});

} // namespace

OperationEnd endOfRefusal(std::string_view SqlState, std::string_view Message) {
  if (SqlState == UnknownState)
    return OperationEnd::Unknown;
  if (Message.starts_with(NotRunPrefix))
    return OperationEnd::NotRun;
  if (std::ranges::find(NotRunStates, SqlState) != NotRunStates.end())
    return OperationEnd::NotRun;
  return OperationEnd::Failed;
}

} // namespace amaranthspur::bench
