// A drawing of a run over time, as SVG.
#ifndef AMARANTHSPUR_BENCH_PLOT_H
#define AMARANTHSPUR_BENCH_PLOT_H

#include "bench/History.h"

#include <string>
#include <vector>

namespace amaranthspur::bench {

/// An event that is marked in a drawing.
struct PlotMark {
  TimePoint At;
  std::string Text;
};

/// One run: answers and refusals a second, latency, and what happened to it.
struct PlotRun {
  std::string Title;
  TimePoint Start;
  std::vector<Operation> Operations;
  std::vector<PlotMark> Marks;
};

/// Draws \p Runs below each other. Linear in the operations.
std::string drawSvg(const std::vector<PlotRun> &Runs);

} // namespace amaranthspur::bench

#endif // AMARANTHSPUR_BENCH_PLOT_H
