// Orders the servers that may run a read by a weighted random choice.
//
// All entry VMs choose at the same time, with evidence that is always old. If
// each of them took the server that appears least loaded, all would take the
// same one, overload it until newer evidence arrives, and then overload the
// next one (M. Mitzenmacher, "How useful is old information?", IEEE TPDS 11(1),
// 2000). A choice whose probabilities follow the capacities spreads them. The
// difference between servers must then come from what an entry VM measures
// itself: the latency of its own statements, which includes the queue of the
// server, its own statements in flight and refusals, as in C3 (L. Suresh et
// al., NSDI 2015) and Prequal (B. Wydrowski et al., NSDI 2024); unlike these,
// no probes are sent. With old evidence the weights approach the capacities.
#ifndef AMARANTHSPUR_POLICY_SERVERSELECTION_H
#define AMARANTHSPUR_POLICY_SERVERSELECTION_H

#include "core/Clock.h"
#include "core/Random.h"
#include "core/Types.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace amaranthspur {

/// What is known of one server that may run a read.
struct SelectionCandidate {
  ServerId Id;
  unsigned Slots = 1;    ///< Statements that it runs at the same time.
  unsigned InFlight = 0; ///< Statements of this entry VM.
  Duration Latency{};    ///< Of its statements; the prior one if unknown.
  /// Time since its last refusal for lack of a slot; nothing if there was none.
  std::optional<Duration> RefusalAge;
  /// Slots in use by a report, and the age of the report.
  std::optional<unsigned> Busy;
  Duration BusyAge{};
  Duration Cost{}; ///< Of the distance, of a connection to be opened and of
                   ///< using a server that is kept for other statements.
};

/// Latency that is assumed for a server before any observation: the mean
/// service time of the statement classes of the deployments, 28 ms. A longer
/// latency is taken as waiting time.
inline constexpr Duration PriorLatency = milliseconds(28);

/// Difference of costs at which a server is chosen 2.7 times less often than a
/// cheaper one without a queue. A server of another data centre of the region
/// costs 3 ms more, the primary or another region 40 ms.
inline constexpr Duration CostScale = milliseconds(4);

/// Cost of the servers that the hash of a workspace does not prefer. Another
/// one of the same region is chosen in 5 of 100 cases, and as soon as the
/// preferred one lets its statements wait this long.
inline constexpr Duration AffinityCost = milliseconds(12);
/// The hash chooses among the servers that cost at most this much more than the
/// cheapest one: those of the region, without the primary.
inline constexpr Duration AffinityRange = milliseconds(5);

/// Waiting time that a refusal stands for, halved in RefusalHalfLife. A full
/// queue of 32 statements of 28 ms at 4 slots takes 220 ms.
inline constexpr Duration RefusalWait = milliseconds(200);
inline constexpr Duration RefusalHalfLife = milliseconds(250);

/// Age of a report of busy slots at which half of its effect is left. Of the
/// statements that ran then, most have ended.
inline constexpr Duration BusyHalfLife = milliseconds(50);

/// Returns the servers in the order in which they should be tried.
/// \param Choosers number of entry VMs that use the servers; 0: not known.
std::vector<ServerId>
selectionOrder(const std::vector<SelectionCandidate> &Candidates,
               std::size_t Choosers, Random &Rng);

/// Adds AffinityCost to all servers but the one that a hash of \p Of prefers,
/// so that the connections of a workspace are opened at one server.
void preferByHash(std::vector<SelectionCandidate> &Candidates,
                  const WorkspaceName &Of);

/// Returns the weights with which selectionOrder() chooses the first server.
std::vector<double>
selectionWeights(const std::vector<SelectionCandidate> &Candidates,
                 std::size_t Choosers);

} // namespace amaranthspur

#endif // AMARANTHSPUR_POLICY_SERVERSELECTION_H
