// A hash that is the same on every machine, which std::hash does not promise.
// Entry VMs that choose by it make the same choice.
#ifndef AMARANTHSPUR_POLICY_STABLEHASH_H
#define AMARANTHSPUR_POLICY_STABLEHASH_H

#include <cstdint>
#include <string>

namespace amaranthspur {

/// Returns a hash of \p A and \p B: FNV-1a with a final mixing step.
inline std::uint64_t stableHash(const std::string &A, const std::string &B) {
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

} // namespace amaranthspur

#endif // AMARANTHSPUR_POLICY_STABLEHASH_H
