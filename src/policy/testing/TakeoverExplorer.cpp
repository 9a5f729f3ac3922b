#include "policy/testing/TakeoverExplorer.h"

#include "policy/testing/TakeoverModel.h"

#include "core/Random.h"

#include <algorithm>
#include <unordered_set>

namespace amaranthspur::testing {
namespace {

using detail::Kind;
using detail::TakeoverModel;

/// Returns whether \p K is an event of a takeover. An order that may take
/// effect late mostly does not do so before other events.
bool isStep(Kind K, const ExplorerOptions &Options) {
  return K == Kind::Step || K == Kind::Plan || K == Kind::GiveUp ||
         (K == Kind::Effect &&
          Options.LongestEffect <= std::chrono::seconds(1));
}

/// Returns whether \p K is an event of the observer.
bool isObservation(Kind K) { return K == Kind::Hear || K == Kind::Report; }

/// Returns the name of the gap or the skipped fault in which \p M broke.
std::string exclusionOf(const TakeoverModel &M) {
  return std::string(M.Gap ? nameOf(*M.Gap) : nameOf(*M.Fault));
}

/// Carries out those of \p Events that are enabled.
ExplorerResult replay(const ExplorerOptions &Options,
                      const std::vector<ExplorerEvent> &Events, bool Coarse) {
  ExplorerResult R;
  TakeoverModel M(Options);
  for (const ExplorerEvent &E : Events) {
    if (!M.isEnabled(E))
      continue;
    R.History.push_back(M.describe(E));
    M.apply(E, Coarse);
    if (M.Violation.empty())
      continue;
    if (M.isBroken())
      R.Violation = M.Violation;
    break;
  }
  return R;
}

} // namespace

std::string ExplorerResult::text() const {
  std::string Text = this->Violation;
  for (const std::string &Line : this->History)
    Text += "\n  " + Line;
  return Text;
}

ExplorerResult exploreAll(const ExplorerOptions &Options, std::size_t Depth) {
  struct Node {
    std::size_t Parent;
    ExplorerEvent Event;
  };
  ExplorerResult R;
  std::vector<Node> Nodes = {{0, {}}};
  std::vector<std::pair<std::size_t, TakeoverModel>> Frontier = {
      {0, TakeoverModel(Options)}};
  for (const ExplorerEvent &E : Options.First)
    Frontier.front().second.apply(E, true);
  std::unordered_set<std::size_t> Seen;
  for (std::size_t Level = 0; Level < Depth; ++Level) {
    std::vector<std::pair<std::size_t, TakeoverModel>> Next;
    for (const auto &[Index, M] : Frontier)
      for (const ExplorerEvent &E : M.enabled(true)) {
        TakeoverModel Copy = M;
        Copy.apply(E, true);
        ++R.Events;
        if (!Copy.Violation.empty() && !Copy.isBroken()) {
          ++R.Gaps[exclusionOf(Copy)];
          continue;
        }
        if (Copy.Violation.empty() && !Seen.insert(Copy.hash()).second)
          continue;
        R.Takeovers += Copy.Takeovers != M.Takeovers;
        Nodes.push_back({Index, E});
        if (!Copy.Violation.empty()) {
          std::vector<ExplorerEvent> Path;
          for (std::size_t I = Nodes.size() - 1; I != 0; I = Nodes[I].Parent)
            Path.push_back(Nodes[I].Event);
          std::reverse(Path.begin(), Path.end());
          Path.insert(Path.begin(), Options.First.begin(), Options.First.end());
          const ExplorerResult Found = replay(Options, Path, true);
          R.Violation = Copy.Violation;
          R.History = Found.History;
          return R;
        }
        // No event follows a state of the last level.
        if (Level + 1 < Depth)
          Next.emplace_back(Nodes.size() - 1, std::move(Copy));
      }
    Frontier = std::move(Next);
  }
  return R;
}

ExplorerResult exploreRandomly(const ExplorerOptions &Options,
                               std::uint64_t Seed, std::size_t Length) {
  Random Rng(Seed);
  ExplorerResult R;
  TakeoverModel M(Options);
  std::vector<ExplorerEvent> Path;
  for (std::size_t I = 0; I < Length && M.Violation.empty(); ++I) {
    const std::vector<ExplorerEvent> Events = M.enabled(false);
    // Most events are steps, so that takeovers come to their end.
    const bool Step = Rng.below(3) != 0;
    const bool Observation =
        !Step && !Options.ObservesAtOnce && Rng.below(2) == 0;
    std::vector<ExplorerEvent> Some;
    for (const ExplorerEvent &E : Events)
      if (Step == isStep(E.Kind, Options) &&
          Observation == isObservation(E.Kind))
        Some.push_back(E);
    if (Some.empty())
      continue;
    Path.push_back(Some[Rng.below(Some.size())]);
    M.apply(Path.back(), false);
    ++R.Events;
  }
  R.Takeovers = M.Takeovers;
  if (!M.Violation.empty() && !M.isBroken())
    ++R.Gaps[exclusionOf(M)];
  if (!M.isBroken())
    return R;
  // Leaves out each event without which a violation remains.
  for (std::size_t I = Path.size(); I-- != 0;) {
    std::vector<ExplorerEvent> Shorter = Path;
    Shorter.erase(Shorter.begin() + static_cast<std::ptrdiff_t>(I));
    if (!replay(Options, Shorter, false).Violation.empty())
      Path = Shorter;
  }
  const ExplorerResult Found = replay(Options, Path, false);
  R.Violation = Found.Violation;
  R.History = Found.History;
  return R;
}

} // namespace amaranthspur::testing
