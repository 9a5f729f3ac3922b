#include "policy/Ownership.h"

#include <algorithm>
#include <limits>
#include <string_view>

namespace amaranthspur {
namespace {

constexpr std::uint64_t FnvOffset = 14695981039346656037ULL;
constexpr std::uint64_t FnvPrime = 1099511628211ULL;

/// Continues the FNV-1a hash \p Hash with the bytes of \p Text.
std::uint64_t updateFnv1a(std::uint64_t Hash, std::string_view Text) {
  for (const char C : Text)
    Hash = (Hash ^ static_cast<unsigned char>(C)) * FnvPrime;
  return Hash;
}

/// The finaliser of SplitMix64 (Steele, Lea, Flood 2014). With FNV-1a alone, VM
/// names that differ only in the last digit have nearly the same order for
/// every key, so a few members would own most servers.
std::uint64_t finalise(std::uint64_t Z) {
  Z = (Z ^ (Z >> 30U)) * 0xbf58476d1ce4e5b9ULL;
  Z = (Z ^ (Z >> 27U)) * 0x94d049bb133111ebULL;
  return Z ^ (Z >> 31U);
}

bool isDrained(const Configuration &Config, const EntryVmId &Vm) {
  return std::find(Config.DrainedEntryVms.begin(), Config.DrainedEntryVms.end(),
                   Vm) != Config.DrainedEntryVms.end();
}

/// Returns the latency from the data centre \p Origin to \p To, or the maximum
/// if it is not configured. The latency within a data centre is the minimum.
Duration latencyBetween(const DataCentreConfig *From, const DataCentre &Origin,
                        const DataCentre &To) {
  if (Origin == To)
    return Duration::min();
  if (!From)
    return Duration::max();
  const auto Found = From->LatencyTo.find(To);
  return Found == From->LatencyTo.end() ? Duration::max() : Found->second;
}

} // namespace

std::uint64_t rendezvousWeight(std::string_view Key, const EntryVmId &Vm) {
  const std::uint64_t KeyHash = updateFnv1a(FnvOffset, Key);
  const std::uint64_t VmHash = updateFnv1a(FnvOffset, Vm.str());
  return finalise(finalise(KeyHash) ^ VmHash);
}

std::optional<EntryVmId> RendezvousOwnership::ownerOf(
    const ServerConfig &Server, const Configuration &Config,
    const EntryVmId & /*Self*/, const std::vector<Member> &Members) const {
  const DataCentreConfig *Home = Config.findDataCentre(Server.Location);
  const Member *Best = nullptr;
  Duration BestLatency = Duration::max();
  std::uint64_t BestWeight = 0;
  for (const Member &M : Members) {
    if (!acceptsWork(M) || isDrained(Config, M.Id))
      continue;
    const Duration Latency = latencyBetween(Home, Server.Location, M.Location);
    if (Best && Latency > BestLatency)
      continue;
    const std::uint64_t Weight = rendezvousWeight(Server.Id.str(), M.Id);
    // Data centres with equal latency are ordered by name, so that all servers
    // of one data centre have their owners in the same data centre.
    if (Best && Latency == BestLatency) {
      if (M.Location > Best->Location)
        continue;
      if (M.Location == Best->Location &&
          (Weight < BestWeight || (Weight == BestWeight && M.Id > Best->Id)))
        continue;
    }
    Best = &M;
    BestLatency = Latency;
    BestWeight = Weight;
  }
  if (!Best)
    return std::nullopt;
  return Best->Id;
}

unsigned RendezvousOwnership::workConnections(
    const ServerConfig &Server, const std::vector<Member> & /*Members*/) const {
  if (Server.ConnectionLimit <= ControlConnections)
    return 1;
  return Server.ConnectionLimit - ControlConnections;
}

std::optional<EntryVmId> StaticShareOwnership::ownerOf(
    const ServerConfig & /*Server*/, const Configuration & /*Config*/,
    const EntryVmId &Self, const std::vector<Member> & /*Members*/) const {
  return Self;
}

unsigned StaticShareOwnership::workConnections(
    const ServerConfig &Server, const std::vector<Member> &Members) const {
  const auto SharingMembers = static_cast<unsigned>(
      std::count_if(Members.begin(), Members.end(), acceptsWork));
  const unsigned Work = Server.ConnectionLimit > ControlConnections
                            ? Server.ConnectionLimit - ControlConnections
                            : 1;
  return std::max(1U, Work / std::max(1U, SharingMembers));
}

} // namespace amaranthspur
