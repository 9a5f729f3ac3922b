#include "bench/Statistics.h"

#include <algorithm>
#include <cmath>

namespace amaranthspur::bench {

double quantile(std::vector<double> Values, double Share) {
  if (Values.empty())
    return 0;
  const auto Rank = static_cast<std::size_t>(
      std::ceil(Share * static_cast<double>(Values.size())));
  const std::size_t Index =
      std::min(Rank == 0 ? 0 : Rank - 1, Values.size() - 1);
  std::nth_element(Values.begin(),
                   Values.begin() + static_cast<std::ptrdiff_t>(Index),
                   Values.end());
  return Values[Index];
}

std::vector<double> latenciesMs(const History &Run,
                                const OperationFilter &Wanted) {
  std::vector<double> Values;
  for (const Operation &Op : Run.Operations)
    if (Op.Outcome == OperationOutcome::Acknowledged && Wanted(Op))
      Values.push_back(toMilliseconds(Op.Answered - Op.Intended));
  return Values;
}

std::size_t countOf(const History &Run, const OperationFilter &Wanted) {
  return static_cast<std::size_t>(
      std::ranges::count_if(Run.Operations, Wanted));
}

std::vector<TimePoint> writeTimes(const History &Run,
                                  const ServiceName &Service) {
  std::vector<TimePoint> Times;
  for (const Operation &Op : Run.Operations)
    if (Op.Service == Service && writesRows(Op.Kind) &&
        Op.Outcome == OperationOutcome::Acknowledged)
      Times.push_back(Op.Answered);
  std::ranges::sort(Times);
  return Times;
}

Duration medianInterval(const std::vector<TimePoint> &Times, TimePoint From,
                        TimePoint Until) {
  std::vector<double> Intervals;
  for (std::size_t I = 1; I < Times.size(); ++I)
    if (Times[I - 1] >= From && Times[I] <= Until)
      Intervals.push_back(
          static_cast<double>((Times[I] - Times[I - 1]).count()));
  return Duration(static_cast<std::int64_t>(quantile(Intervals, 0.5)));
}

Duration longestGap(const std::vector<TimePoint> &Times, TimePoint From,
                    TimePoint Until, Duration Usual) {
  Duration Longest{};
  // The first interval starts at the last write not after From.
  auto At = std::ranges::upper_bound(Times, From);
  TimePoint Previous = At == Times.begin() ? From : *(At - 1);
  for (; At != Times.end() && Previous < Until; ++At) {
    Longest = std::max(Longest, *At - Previous);
    Previous = *At;
  }
  if (Previous < Until)
    Longest = std::max(Longest, Until - Previous);
  return std::max(Longest - Usual, Duration::zero());
}

double fairnessRatio(const History &Run, const std::vector<CallerName> &Callers,
                     const OperationFilter &Wanted) {
  std::map<CallerName, double> Counts;
  for (const CallerName &Caller : Callers)
    Counts[Caller] = 0;
  for (const Operation &Op : Run.Operations)
    if (Counts.contains(Op.Caller) && Wanted(Op))
      ++Counts[Op.Caller];
  double Fewest = -1;
  double Most = 0;
  for (const auto &[Caller, Count] : Counts) {
    Fewest = Fewest < 0 ? Count : std::min(Fewest, Count);
    Most = std::max(Most, Count);
  }
  return Fewest > 0 ? Most / Fewest : 0;
}

} // namespace amaranthspur::bench
