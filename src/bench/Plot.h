// Plots runs over time as SVG.
#ifndef AMARANTHSPUR_BENCH_PLOT_H
#define AMARANTHSPUR_BENCH_PLOT_H

#include "bench/History.h"

#include <string>
#include <vector>

namespace amaranthspur::bench {

/// An event that is marked in a plot.
struct PlotMark {
  TimePoint At;
  std::string Text;
};

/// One run to plot: its operations, from which the rates of answers and
/// refusals and the latencies are computed, and the events during it.
struct PlotRun {
  std::string Title;
  TimePoint Start;
  std::vector<Operation> Operations;
  std::vector<PlotMark> Marks;
};

/// Returns an SVG document with the plots of \p Runs below each other. The time
/// is linear in the number of operations.
std::string drawSvg(const std::vector<PlotRun> &Runs);

} // namespace amaranthspur::bench

#endif // AMARANTHSPUR_BENCH_PLOT_H
