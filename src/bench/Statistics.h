// Figures drawn from a history.
#ifndef AMARANTHSPUR_BENCH_STATISTICS_H
#define AMARANTHSPUR_BENCH_STATISTICS_H

#include "bench/History.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace amaranthspur::bench {

/// Chooses operations of a history.
using OperationFilter = std::function<bool(const Operation &)>;

/// Returns the \p Share quantile (0 to 1) of \p Values by nearest rank; 0 if
/// there are none.
double quantile(std::vector<double> Values, double Share);

/// Returns the latencies in ms, from the intended time, of the acknowledged
/// operations that \p Wanted chooses.
std::vector<double> latenciesMs(const History &Run,
                                const OperationFilter &Wanted);

/// Counts the operations that \p Wanted chooses.
std::size_t countOf(const History &Run, const OperationFilter &Wanted);

/// Returns when each acknowledged write of \p Service was answered, in order.
std::vector<TimePoint> writeTimes(const History &Run,
                                  const ServiceName &Service);

/// Returns the median time between neighbours of \p Times that lie between
/// \p From and \p Until; zero if there are fewer than two.
Duration usualInterval(const std::vector<TimePoint> &Times, TimePoint From,
                       TimePoint Until);

/// Returns the longest time between neighbours of \p Times that touches the
/// time from \p From to \p Until, less \p Usual. If no time comes after
/// \p From, the gap lasts to \p Until.
Duration longestGap(const std::vector<TimePoint> &Times, TimePoint From,
                    TimePoint Until, Duration Usual);

/// Returns the largest count of operations that \p Wanted chooses of one caller
/// over the smallest; 0 if a caller of \p Callers has none.
double fairnessRatio(const History &Run, const std::vector<CallerName> &Callers,
                     const OperationFilter &Wanted);

} // namespace amaranthspur::bench

#endif // AMARANTHSPUR_BENCH_STATISTICS_H
