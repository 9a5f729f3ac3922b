#include "policy/ForwarderChoice.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <tuple>
#include <utility>

namespace amaranthspur {
namespace {

/// FNV-1a. All entry VMs must compute the same values, which std::hash does not
/// promise.
std::uint64_t hashOf(const std::string &A, const std::string &B) {
  constexpr std::uint64_t Basis = 14695981039346656037ULL;
  constexpr std::uint64_t Prime = 1099511628211ULL;
  std::uint64_t Hash = Basis;
  for (const std::string *Text : {&A, &B}) {
    for (const char C : *Text)
      Hash = (Hash ^ static_cast<unsigned char>(C)) * Prime;
    Hash = (Hash ^ 0xffU) * Prime;
  }
  // The last bytes have too little influence on the high bits.
  Hash ^= Hash >> 33U;
  return Hash * 0xff51afd7ed558ccdULL;
}

} // namespace

std::vector<ForwarderVm> chooseForwarders(std::vector<ForwarderVm> Candidates) {
  std::sort(Candidates.begin(), Candidates.end(),
            [](const ForwarderVm &A, const ForwarderVm &B) {
              const std::uint64_t HashA = hashOf(A.Vm.str(), "");
              const std::uint64_t HashB = hashOf(B.Vm.str(), "");
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
      (static_cast<double>(hashOf(F.Vm.str(), Pair)) + 1) / (Range + 2);
  return -std::log(Hash) / std::max(1U, F.CpuPercent);
}

} // namespace

std::vector<ForwarderVm> forwarderOrder(std::vector<ForwarderVm> Forwarders,
                                        const ServiceName &Service,
                                        const WorkspaceName &Of) {
  if (!Of.empty()) {
    const std::string Pair = Service.str() + '\n' + Of.str();
    std::sort(Forwarders.begin(), Forwarders.end(),
              [&Pair](const ForwarderVm &A, const ForwarderVm &B) {
                return std::pair(homeCost(A, Pair), A.Vm) <
                       std::pair(homeCost(B, Pair), B.Vm);
              });
    return Forwarders;
  }
  std::sort(Forwarders.begin(), Forwarders.end(),
            [&Service](const ForwarderVm &A, const ForwarderVm &B) {
              const std::uint64_t HashA = hashOf(A.Vm.str(), Service.str());
              const std::uint64_t HashB = hashOf(B.Vm.str(), Service.str());
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

} // namespace amaranthspur
