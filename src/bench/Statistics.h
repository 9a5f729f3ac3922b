// Statistics computed from a history.
#ifndef AMARANTHSPUR_BENCH_STATISTICS_H
#define AMARANTHSPUR_BENCH_STATISTICS_H

#include "bench/History.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace amaranthspur::bench {

/// Selects operations of a history.
using OperationFilter = std::function<bool(const Operation &)>;

/// Returns the quantile of \p Values at \p Share (0 to 1) by the nearest-rank
/// method; 0 if there are no values.
double quantile(std::vector<double> Values, double Share);

/// Returns the latencies in ms, from the intended send time to the answer, of
/// the acknowledged operations that \p Wanted selects.
std::vector<double> latenciesMs(const History &Run,
                                const OperationFilter &Wanted);

/// Returns the number of operations that \p Wanted selects.
std::size_t countOf(const History &Run, const OperationFilter &Wanted);

/// Returns the sorted answer times of the acknowledged writes of \p Service.
std::vector<TimePoint> writeTimes(const History &Run,
                                  const ServiceName &Service);

/// Returns the median interval between consecutive \p Times that lie between
/// \p From and \p Until; zero if there are fewer than two.
Duration medianInterval(const std::vector<TimePoint> &Times, TimePoint From,
                        TimePoint Until);

/// Returns the longest interval between consecutive \p Times that overlaps the
/// window from \p From to \p Until, minus \p Usual. If no time lies after
/// \p From, the gap lasts until \p Until.
Duration longestGap(const std::vector<TimePoint> &Times, TimePoint From,
                    TimePoint Until, Duration Usual);

/// Returns the ratio between the largest and the smallest number of operations
/// of a caller that \p Wanted selects; 0 if a caller of \p Callers has none.
double fairnessRatio(const History &Run, const std::vector<CallerName> &Callers,
                     const OperationFilter &Wanted);

} // namespace amaranthspur::bench

#endif // AMARANTHSPUR_BENCH_STATISTICS_H
