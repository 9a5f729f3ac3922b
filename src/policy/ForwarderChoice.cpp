#include "policy/ForwarderChoice.h"

#include <algorithm>
#include <cstdint>
#include <tuple>

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

std::vector<ForwarderVm> forwarderOrder(std::vector<ForwarderVm> Forwarders,
                                        const ServiceName &Service) {
  std::sort(Forwarders.begin(), Forwarders.end(),
            [&Service](const ForwarderVm &A, const ForwarderVm &B) {
              const std::uint64_t HashA = hashOf(A.Vm.str(), Service.str());
              const std::uint64_t HashB = hashOf(B.Vm.str(), Service.str());
              return std::tie(HashA, A.Vm) < std::tie(HashB, B.Vm);
            });
  return Forwarders;
}

} // namespace amaranthspur
