// Rules that a soak must not break.
#ifndef AMARANTHSPUR_BENCH_SOAK_JUDGE_H
#define AMARANTHSPUR_BENCH_SOAK_JUDGE_H

#include "bench/soak/History.h"

#include <string>
#include <vector>

namespace amaranthspur::bench::soak {

/// The rules, named as on the users' pages.
enum class Rule {
  Lost,
  One,
  Stale,
  Twice,
  Refused,
  Pinned,
  Drain,
  Config,
  Unasked,
  Route,
  Quota,
};

/// One broken rule.
struct Violation {
  Rule Broken = Rule::Lost;
  std::string Text; ///< What is needed to trace it, on one line.
};

/// Longest age of a read on a route that allows stale reads, in ms. The
/// configuration of the soak uses the same value.
inline constexpr int MaxStalenessMs = 1500;

/// Returns everything in \p Seen that breaks a rule.
std::vector<Violation> judge(const History &Seen);

/// Returns the longest time without an acknowledged write for a group, in ms,
/// from its first acknowledged write to its last.
double longestWriteGap(const History &Seen, unsigned Group);

} // namespace amaranthspur::bench::soak

namespace amaranthspur {

template <> struct EnumNames<bench::soak::Rule> {
  using Kind = bench::soak::Rule;
  static constexpr auto Entries =
      std::to_array<std::pair<Kind, std::string_view>>(
          {{Kind::Lost, "LOST"},
           {Kind::One, "ONE"},
           {Kind::Stale, "STALE"},
           {Kind::Twice, "TWICE"},
           {Kind::Refused, "REFUSED"},
           {Kind::Pinned, "PINNED"},
           {Kind::Drain, "DRAIN"},
           {Kind::Config, "CONFIG"},
           {Kind::Unasked, "UNASKED"},
           {Kind::Route, "ROUTE"},
           {Kind::Quota, "QUOTA"}});
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_BENCH_SOAK_JUDGE_H
