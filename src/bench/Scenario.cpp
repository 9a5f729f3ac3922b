#include "bench/Scenario.h"

namespace amaranthspur::bench {
namespace {

constexpr auto Table = std::to_array<Scenario>({
    {ScenarioName::Overhead, "cost of the proxy next to a direct connection",
     runOverhead},
});

} // namespace

std::span<const Scenario> scenarios() { return Table; }

} // namespace amaranthspur::bench
