// Which revision of the configuration to take, from whom, and when to look.
//
// Two entry VMs per data centre read the head of the configuration in the
// platform's table; the others hear of newer revisions from heartbeats and
// fetch them from the peer that has them. The revision in force never goes
// back.
#ifndef AMARANTHSPUR_POLICY_CONFIGADOPTION_H
#define AMARANTHSPUR_POLICY_CONFIGADOPTION_H

#include "core/Clock.h"
#include "core/Names.h"
#include "core/Types.h"
#include "policy/Member.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace amaranthspur {

/// Where the content of a revision is fetched from.
enum class ConfigSource { Store, Peer };

template <> struct EnumNames<ConfigSource> {
  static constexpr auto Entries =
      std::to_array<std::pair<ConfigSource, std::string_view>>(
          {{ConfigSource::Store, "store"}, {ConfigSource::Peer, "peer"}});
};

/// One fetch of content.
struct ConfigFetchChoice {
  ConfigSource From = ConfigSource::Store;
  EntryVmId Peer;             ///< If From is Peer.
  std::uint64_t Revision = 0; ///< Expected; 0 if the peer's is not known.
  std::string Hash;           ///< If From is Store.
};

/// What is done with a revision that was received.
enum class AdoptionVerdict { Adopt, NotNewer, HashConflict };

template <> struct EnumNames<AdoptionVerdict> {
  static constexpr auto Entries =
      std::to_array<std::pair<AdoptionVerdict, std::string_view>>(
          {{AdoptionVerdict::Adopt, "adopt"},
           {AdoptionVerdict::NotNewer, "not newer"},
           {AdoptionVerdict::HashConflict, "hash conflict"}});
};

/// Decides on the adoption of revisions on one entry VM. Deterministic. Memory
/// is linear in the members.
class ConfigAdoption {
public:
  /// Entry VMs per data centre that read the head.
  static constexpr std::size_t ReadersPerDataCentre = 2;
  static constexpr Duration HeadInterval = milliseconds(250);
  /// Interval of the other entry VMs, for the case that no heartbeat comes
  /// through; at 3,400 nodes this costs the table 57 reads/s.
  static constexpr Duration SlowHeadInterval = std::chrono::seconds(60);
  /// Interval of an entry VM that has not yet read the head since its start.
  static constexpr Duration StartHeadInterval = std::chrono::seconds(1);
  /// A source that gave nothing is left out for this long.
  static constexpr Duration SourceRetry = std::chrono::seconds(1);
  /// Peers that a starting entry VM asks, besides the store.
  static constexpr unsigned PeersAskedAtStart = 3;

  ConfigAdoption(EntryVmId Self, DataCentre Here);

  /// Returns whether this entry VM is one of the readers of its data centre.
  bool isReader(const std::vector<Member> &Members) const;

  /// Returns how long to wait after one read of the head until the next.
  Duration headInterval(const std::vector<Member> &Members) const;

  /// Notes what the platform's table names as the newest revision.
  void onHead(std::uint64_t Revision, std::string Hash);

  /// Notes that \p Peer has \p Revision in force. Lower figures than known for
  /// the peer are ignored, except 0 for a peer that has none.
  void onPeerRevision(const EntryVmId &Peer, std::uint64_t Revision);

  /// Returns the next fetch, or nothing if there is nothing to fetch now.
  std::optional<ConfigFetchChoice>
  chooseFetch(const std::vector<Member> &Members, TimePoint Now) const;

  /// Returns when chooseFetch can give another result without a new
  /// observation; TimePoint::max() if never.
  TimePoint nextChange(TimePoint Now) const;

  /// Notes that the fetch \p Choice gave nothing that was adopted.
  void onFetchFailed(const ConfigFetchChoice &Choice, TimePoint Now);

  /// Decides on a revision that was received and verified.
  AdoptionVerdict judge(std::uint64_t Revision, const std::string &Hash) const;

  /// Notes that \p Revision is in force. \pre judge(Revision) is Adopt.
  void onAdopted(std::uint64_t Revision);

  std::uint64_t inForce() const { return this->InForce; }
  bool headRead() const { return this->HeadRead; }

private:
  std::optional<ConfigFetchChoice>
  choosePeer(const std::vector<Member> &Members, TimePoint Now) const;
  bool rests(const EntryVmId &Peer, TimePoint Now) const;

  EntryVmId Self;
  DataCentre Here;
  std::uint64_t InForce = 0;
  bool HeadRead = false;
  std::uint64_t HeadRevision = 0;
  std::string HeadHash;
  TimePoint StoreRestsUntil{};
  std::map<EntryVmId, std::uint64_t> PeerRevisions;
  std::map<EntryVmId, TimePoint> PeerRestsUntil;
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_POLICY_CONFIGADOPTION_H
