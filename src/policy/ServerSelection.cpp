#include "policy/ServerSelection.h"

#include "policy/StableHash.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace amaranthspur {
namespace {

double microseconds(Duration D) { return static_cast<double>(D.count()); }

/// Returns the effect that is left of an observation.
double remaining(Duration Age, Duration HalfLife) {
  return std::exp2(-microseconds(Age) / microseconds(HalfLife));
}

/// Returns the time that a statement would wait at the server.
double expectedWait(const SelectionCandidate &C) {
  const double Slots = C.Slots;
  double Wait = std::max(0.0, microseconds(C.Latency - PriorLatency));
  // The statements of this entry VM alone fill the slots.
  Wait +=
      microseconds(C.Latency) * std::max(0.0, C.InFlight + 1.0 - Slots) / Slots;
  if (C.RefusalAge)
    Wait +=
        microseconds(RefusalWait) * remaining(*C.RefusalAge, RefusalHalfLife);
  return Wait;
}

/// Returns the estimated free capacity, in statements per microsecond.
double freeCapacity(const SelectionCandidate &C, std::size_t Choosers) {
  const double Slots = C.Slots;
  // One statement of this entry VM stands for those of the others, up to one
  // slot's worth each: if there are more entry VMs than slots, a second
  // statement of the same one would mostly find the slots in use.
  const double Share =
      std::clamp(static_cast<double>(Choosers), 1.0, Slots) / Slots;
  double Capacity =
      Slots / std::max(microseconds(C.Latency), 1.0) / (1 + Share * C.InFlight);
  if (C.RefusalAge)
    Capacity /= 1 + 4 * remaining(*C.RefusalAge, RefusalHalfLife);
  if (C.Busy)
    Capacity /=
        1 + std::min(*C.Busy / Slots, 1.0) * remaining(C.BusyAge, BusyHalfLife);
  return Capacity;
}

} // namespace

std::vector<double>
selectionWeights(const std::vector<SelectionCandidate> &Candidates,
                 std::size_t Choosers) {
  // A server costs as much as the best one once the wait at the cheaper ones is
  // as long as the difference.
  double Least = std::numeric_limits<double>::infinity();
  for (const SelectionCandidate &C : Candidates)
    Least = std::min(Least, microseconds(C.Cost) + expectedWait(C));
  std::vector<double> Weights;
  Weights.reserve(Candidates.size());
  for (const SelectionCandidate &C : Candidates) {
    const double Excess = std::max(0.0, microseconds(C.Cost) - Least);
    Weights.push_back(freeCapacity(C, Choosers) *
                      std::exp(-Excess / microseconds(CostScale)));
  }
  return Weights;
}

std::vector<ServerId>
selectionOrder(const std::vector<SelectionCandidate> &Candidates,
               std::size_t Choosers, Random &Rng) {
  const std::vector<double> Weights = selectionWeights(Candidates, Choosers);
  // Exponential variables with these rates: each server precedes the rest with
  // a probability in proportion to its weight.
  std::vector<std::pair<double, std::size_t>> Keys;
  for (std::size_t I = 0; I < Candidates.size(); ++I)
    Keys.emplace_back(-std::log1p(-Rng.unit()) / std::max(Weights[I], 1e-300),
                      I);
  std::sort(Keys.begin(), Keys.end());
  std::vector<ServerId> Order;
  Order.reserve(Keys.size());
  for (const auto &[Key, I] : Keys)
    Order.push_back(Candidates[I].Id);
  return Order;
}

void preferByHash(std::vector<SelectionCandidate> &Candidates,
                  const WorkspaceName &Of) {
  if (Candidates.size() < 2)
    return;
  const auto ByCost = [](const auto &A, const auto &B) {
    return A.Cost < B.Cost;
  };
  const Duration Limit =
      std::min_element(Candidates.begin(), Candidates.end(), ByCost)->Cost +
      AffinityRange;
  const SelectionCandidate *Preferred = nullptr;
  std::uint64_t Least = 0;
  for (const SelectionCandidate &C : Candidates) {
    const std::uint64_t Hash = stableHash(C.Id.str(), Of.str());
    if (C.Cost > Limit || (Preferred && Hash >= Least))
      continue;
    Preferred = &C;
    Least = Hash;
  }
  for (SelectionCandidate &C : Candidates)
    if (&C != Preferred)
      C.Cost += AffinityCost;
}

} // namespace amaranthspur
