#include "policy/testing/TakeoverModel.h"

#include "core/Random.h"

namespace amaranthspur::testing {
namespace {

using detail::Kind;
using detail::TakeoverModel;

constexpr Duration Tick = milliseconds(100);
constexpr Duration EffectTime = milliseconds(600);

/// A schedule in which the entry VMs make progress at the same rate.
class FairSchedule {
public:
  FairSchedule(TakeoverModel &M, ExplorerResult &R) : M(&M), R(&R) {}

  /// Lets each entry VM but \p Stopped carry out a step, and time advance.
  void runTick(std::optional<std::size_t> Stopped, Random &Rng) {
    const std::size_t First = Rng.below(this->M->vms());
    for (std::size_t I = 0; I < this->M->vms(); ++I) {
      const std::size_t V = (First + I) % this->M->vms();
      if (Stopped != V)
        this->runVm(V);
    }
    this->runServers();
    this->apply({Kind::Wait, static_cast<std::size_t>(detail::inMs(Tick)), 0});
  }

private:
  void runVm(std::size_t V) {
    if (this->applyFirst(Kind::GiveUp, V))
      return;
    // The calls of a step are sent at the same time.
    std::size_t Calls = 0;
    for (const ExplorerEvent &E : this->M->enabled(false))
      Calls += E.Kind == Kind::Step && E.A == V;
    for (std::size_t I = 0; I < Calls; ++I)
      this->applyFirst(Kind::Step, V);
    if (Calls == 0 && !this->M->isLed())
      this->applyFirst(Kind::Plan, V);
    else if (Calls == 0)
      this->applyFirst(Kind::Undo, V);
  }

  void runServers() {
    for (const ExplorerEvent &E : this->M->enabled(false))
      if (E.Kind == Kind::Effect && this->M->pendingFor(E.A) >= EffectTime)
        this->apply(E);
    if (this->M->isLed() && !this->Committed) {
      this->Committed = true;
      this->apply({Kind::Commit, this->M->leader(), 0});
    }
    for (const ExplorerEvent &E : this->M->enabled(false))
      if ((E.Kind == Kind::Deliver || E.Kind == Kind::Register) &&
          this->M->isEnabled(E))
        this->apply(E);
  }

  bool applyFirst(Kind K, std::size_t V) {
    for (const ExplorerEvent &E : this->M->enabled(false))
      if (E.Kind == K && E.A == V) {
        this->apply(E);
        return true;
      }
    return false;
  }

  void apply(const ExplorerEvent &E) {
    if (!this->M->Violation.empty())
      return;
    this->R->History.push_back(this->M->describe(E));
    this->M->apply(E, false);
    ++this->R->Events;
  }

  TakeoverModel *M;
  ExplorerResult *R;
  bool Committed = false;
};

/// Runs random events until the group has no primary.
/// \returns the entry VM that carried out the last one, if it was one.
std::optional<std::size_t> stopPrimary(TakeoverModel &M, Random &Rng,
                                       std::size_t Length, ExplorerResult &R) {
  std::optional<std::size_t> By;
  for (std::size_t I = 0; I < Length && M.isLed(); ++I) {
    const std::vector<ExplorerEvent> Events = M.enabled(false);
    if (Events.empty())
      break;
    const ExplorerEvent E = Events[Rng.below(Events.size())];
    By.reset();
    if (E.Kind == Kind::Step || E.Kind == Kind::LoseAnswer)
      By = E.A;
    R.History.push_back(M.describe(E));
    M.apply(E, false);
    ++R.Events;
  }
  return By;
}

} // namespace

ExplorerResult exploreFairly(const ExplorerOptions &Options, std::uint64_t Seed,
                             std::size_t Length, Duration Bound, bool Stopped) {
  Random Rng(Seed);
  ExplorerResult R;
  TakeoverModel M(Options);
  const std::optional<std::size_t> By = stopPrimary(M, Rng, Length, R);
  if (M.isLed() || !M.Violation.empty())
    return R;
  const TimePoint Since = M.now();
  FairSchedule Fair(M, R);
  do {
    Fair.runTick(Stopped ? By : std::nullopt, Rng);
  } while (M.Violation.empty() && !(M.isLed() && M.isLastPassed()) &&
           M.now() - Since <= Bound);
  R.Outage = M.now() - Since;
  R.Takeovers = M.Takeovers;
  if (M.isBroken())
    R.Violation = M.Violation;
  else if (M.Violation.empty() && R.Outage > Bound)
    R.Violation = std::string(nameOf(Invariant::Live)) +
                  ": no primary acknowledges within " +
                  std::to_string(detail::inMs(Bound)) + " ms";
  return R;
}

} // namespace amaranthspur::testing
