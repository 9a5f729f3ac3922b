#include "policy/ForwarderChoice.h"

#include "policy/StableHash.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <tuple>
#include <utility>

namespace amaranthspur {

std::vector<ForwarderVm> chooseForwarders(std::vector<ForwarderVm> Candidates) {
  std::sort(Candidates.begin(), Candidates.end(),
            [](const ForwarderVm &A, const ForwarderVm &B) {
              const std::uint64_t HashA = stableHash(A.Vm.str(), "");
              const std::uint64_t HashB = stableHash(B.Vm.str(), "");
              return std::tie(B.CpuPercent, HashA, A.Vm) <
                     std::tie(A.CpuPercent, HashB, B.Vm);
            });
  const std::size_t Wanted =
      std::max(MinForwarders, Candidates.size() / EntryVmsPerForwarder);
  Candidates.resize(std::min(Candidates.size(), Wanted));
  return Candidates;
}

namespace {

/// Returns the cost of \p F as the home of \p Pair; the lowest is preferred.
/// Weighted rendezvous hashing: with a uniform hash in (0, 1), -log(hash) /
/// weight is lowest for each entry VM with a probability proportional to its
/// weight. Rounding may differ between machines; entry VMs that disagree break
/// nothing.
double homeCost(const ForwarderVm &F, const std::string &Pair) {
  constexpr double Range = 18446744073709551616.0; // 2 to the power of 64.
  const double Hash =
      (static_cast<double>(stableHash(F.Vm.str(), Pair)) + 1) / (Range + 2);
  return -std::log(Hash) / std::max(1U, F.CpuPercent);
}

/// Returns the first \p Count of \p Forwarders in the order of preference for a
/// pair of workspace and service. Takes O(n) time for a constant count.
std::vector<const ForwarderVm *>
firstHomes(const std::vector<ForwarderVm> &Forwarders,
           const ServiceName &Service, const WorkspaceName &Of,
           std::size_t Count) {
  const std::string Pair = Service.str() + '\n' + Of.str();
  std::vector<std::pair<double, const ForwarderVm *>> Costs;
  Costs.reserve(Forwarders.size());
  for (const ForwarderVm &F : Forwarders)
    Costs.emplace_back(homeCost(F, Pair), &F);
  const auto End = Costs.begin() +
                   static_cast<std::ptrdiff_t>(std::min(Count, Costs.size()));
  std::partial_sort(Costs.begin(), End, Costs.end(),
                    [](const auto &A, const auto &B) {
                      return std::tie(A.first, A.second->Vm) <
                             std::tie(B.first, B.second->Vm);
                    });
  std::vector<const ForwarderVm *> First;
  for (auto At = Costs.begin(); At != End; ++At)
    First.push_back(At->second);
  return First;
}

} // namespace

std::vector<ForwarderVm> forwarderOrder(std::vector<ForwarderVm> Forwarders,
                                        const ServiceName &Service,
                                        const WorkspaceName &Of) {
  if (!Of.empty()) {
    std::vector<ForwarderVm> Order;
    Order.reserve(Forwarders.size());
    for (const ForwarderVm *F :
         firstHomes(Forwarders, Service, Of, Forwarders.size()))
      Order.push_back(*F);
    return Order;
  }
  std::sort(Forwarders.begin(), Forwarders.end(),
            [&Service](const ForwarderVm &A, const ForwarderVm &B) {
              const std::uint64_t HashA = stableHash(A.Vm.str(), Service.str());
              const std::uint64_t HashB = stableHash(B.Vm.str(), Service.str());
              return std::tie(HashA, A.Vm) < std::tie(HashB, B.Vm);
            });
  return Forwarders;
}

std::size_t countForwarders(std::size_t Own,
                            const std::vector<RemoteForwarders> &Others,
                            std::size_t DataCentres) {
  std::size_t Count = Own;
  for (const RemoteForwarders &R : Others)
    Count += R.Forwarders.size();
  const std::size_t Known = Others.size() + 1;
  return Count + (DataCentres > Known ? (DataCentres - Known) * Own : 0);
}

// --- HomeChoice --------------------------------------------------------------

void HomeChoice::setOwn(std::vector<ForwarderVm> Forwarders) {
  this->Own = std::move(Forwarders);
  this->update();
}

void HomeChoice::setRemote(std::vector<RemoteForwarders> Others) {
  this->Remote = std::move(Others);
  std::erase_if(this->Remote, [this](const RemoteForwarders &R) {
    return R.Location == this->Where.Here;
  });
  this->update();
}

void HomeChoice::update() {
  this->Near.clear();
  std::vector<DataCentre> Places = {this->Where.Here};
  for (const auto &[Place, Of] : this->Where.Regions)
    if (Place != this->Where.Here)
      Places.push_back(Place);
  for (const DataCentre &Place : Places) {
    std::vector<ForwarderVm> &List = this->Near[Place];
    if (this->Where.isSameRegion(Place, this->Where.Here))
      List = this->Own;
    for (const RemoteForwarders &R : this->Remote)
      if (this->Where.isSameRegion(Place, R.Location))
        List.insert(List.end(), R.Forwarders.begin(), R.Forwarders.end());
  }
}

std::vector<EntryVmId> HomeChoice::candidates(const HomeQuery &Query) const {
  std::vector<EntryVmId> Order;
  // Without a workspace a connection serves all callers, so that the forwarders
  // of one data centre suffice.
  if (!Query.Of.empty()) {
    const auto List = this->Near.find(
        Query.Role == HomeRole::Primary ? Query.Primary : this->Where.Here);
    if (List != this->Near.end())
      for (const ForwarderVm *F :
           firstHomes(List->second, Query.Service, Query.Of, MaxCandidates))
        Order.push_back(F->Vm);
  }
  std::size_t Considered = 0;
  for (const ForwarderVm &F :
       forwarderOrder(this->Own, Query.Service, Query.Of)) {
    if (F.Vm == this->Self || Considered < MaxCandidates)
      Order.push_back(F.Vm);
    if (F.Vm == this->Self || ++Considered > MaxCandidates)
      break;
  }
  return Order;
}

} // namespace amaranthspur
