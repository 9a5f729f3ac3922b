// Decides which revision of the configuration to adopt, which source to fetch
// it from, and when to check for newer revisions.
//
// In each data centre, two entry VMs read the head row of the configuration in
// the platform's table. The other entry VMs learn of newer revisions from
// heartbeats and fetch them from a peer that has them. The revision in force
// never decreases.
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

/// A fetch of the content of a revision.
struct ConfigFetchChoice {
  ConfigSource From = ConfigSource::Store;
  EntryVmId Peer; ///< Only set if From is Peer.
  /// The expected revision, or 0 if the revision of the peer is not known.
  std::uint64_t Revision = 0;
  std::string Hash; ///< Only set if From is Store.
};

/// Whether a received revision is adopted, or why it is not.
enum class AdoptionVerdict { Adopt, NotNewer, HashConflict };

template <> struct EnumNames<AdoptionVerdict> {
  static constexpr auto Entries =
      std::to_array<std::pair<AdoptionVerdict, std::string_view>>(
          {{AdoptionVerdict::Adopt, "adopt"},
           {AdoptionVerdict::NotNewer, "not newer"},
           {AdoptionVerdict::HashConflict, "hash conflict"}});
};

/// Decides on the adoption of revisions on one entry VM. It is deterministic,
/// and its memory is linear in the number of members.
class ConfigAdoption {
public:
  /// Number of entry VMs per data centre that read the head row frequently.
  static constexpr std::size_t ReadersPerDataCentre = 2;
  /// Interval of these readers between two reads.
  static constexpr Duration HeadInterval = milliseconds(250);
  /// Interval of the other entry VMs, in case they receive no heartbeats. With
  /// 3,400 entry VMs, this amounts to 57 reads/s of the table.
  static constexpr Duration SlowHeadInterval = std::chrono::seconds(60);
  /// Interval of an entry VM that has not read the head row since its start.
  static constexpr Duration StartHeadInterval = std::chrono::seconds(1);
  /// Delay before a source is tried again after a failed fetch.
  static constexpr Duration SourceRetry = std::chrono::seconds(1);
  /// Number of peers that a starting entry VM asks in addition to the store.
  static constexpr unsigned MaxPeersAskedAtStart = 3;

  ConfigAdoption(EntryVmId Self, DataCentre OwnDataCentre);

  /// Returns whether this entry VM is one of the readers of its data centre.
  bool isReader(const std::vector<Member> &Members) const;

  /// Returns the interval between two reads of the head row.
  Duration headInterval(const std::vector<Member> &Members) const;

  /// Records the newest revision according to the platform's table.
  void onHead(std::uint64_t Revision, std::string Hash);

  /// Records that \p Peer has \p Revision in force. A lower revision than the
  /// one known for the peer is ignored, except 0, which means that it has none.
  void onPeerRevision(const EntryVmId &Peer, std::uint64_t Revision);

  /// Returns the next fetch to make, or nothing if no fetch is due.
  std::optional<ConfigFetchChoice>
  chooseFetch(const std::vector<Member> &Members, TimePoint Now) const;

  /// Returns the time at which the result of chooseFetch() may change without a
  /// call of another function, or TimePoint::max() if it cannot.
  TimePoint nextChange(TimePoint Now) const;

  /// Records that the fetch \p Choice did not lead to an adopted revision.
  void onFetchFailed(const ConfigFetchChoice &Choice, TimePoint Now);

  /// Decides whether to adopt a received revision.
  AdoptionVerdict checkRevision(std::uint64_t Revision,
                                const std::string &Hash) const;

  /// Records that \p Revision is in force.
  /// \pre checkRevision() returned Adopt for the revision.
  void onAdopted(std::uint64_t Revision);

  std::uint64_t inForce() const { return this->InForce; }
  bool headRead() const { return this->HeadRead; }

private:
  std::optional<ConfigFetchChoice>
  choosePeer(const std::vector<Member> &Members, TimePoint Now) const;
  bool isBackingOff(const EntryVmId &Peer, TimePoint Now) const;

  EntryVmId Self;
  DataCentre OwnDataCentre;
  std::uint64_t InForce = 0;
  bool HeadRead = false;
  std::uint64_t HeadRevision = 0;
  std::string HeadHash;
  TimePoint StoreRetryAt{};
  std::map<EntryVmId, std::uint64_t> PeerRevisions;
  std::map<EntryVmId, TimePoint> PeerRetryAt;
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_POLICY_CONFIGADOPTION_H
