#include "bench/Scenario.h"

namespace amaranthspur::bench {
namespace {

constexpr auto Table = std::to_array<Scenario>({
    {ScenarioName::Overhead, "cost of the proxy next to a direct connection", 1,
     runOverhead},
    // The variant amaranthspur needs the time of 20 promotions; the naive
    // variant needs less.
    {ScenarioName::Failover, "primaries killed, isolated and paused", 3,
     runFailover},
    {ScenarioName::ReplicaReads, "reads that tolerate stale data", 1,
     runReplicaReads},
    {ScenarioName::Crest, "demand times 10 for 10 s", 1, runCrest},
    {ScenarioName::ShortBehindLong, "short statements beside long ones", 1,
     runShortBehindLong},
    {ScenarioName::Handover, "entry VMs that own servers killed", 1,
     runHandover},
    {ScenarioName::Config, "configuration changes with a failing store", 1,
     runConfig},
    {ScenarioName::ControlCost, "an idle node among a growing number of peers",
     1, runControlCost},
    {ScenarioName::Faults, "a sequence of faults, each checked", 2, runFaults},
});

} // namespace

std::span<const Scenario> scenarios() { return Table; }

} // namespace amaranthspur::bench
