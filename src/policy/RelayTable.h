// Pings that this member sends on behalf of other members (indirect probes).
#ifndef AMARANTHSPUR_POLICY_RELAYTABLE_H
#define AMARANTHSPUR_POLICY_RELAYTABLE_H

#include "core/Clock.h"
#include "core/Types.h"

#include <cstdint>
#include <map>
#include <optional>

namespace amaranthspur {

/// A ping on behalf of Requester. Sequence is the number in its PingRequest.
struct RelayedPing {
  EntryVmId Requester;
  std::uint64_t Sequence = 0;
  EntryVmId Target;
  TimePoint Deadline; ///< Later answers are not forwarded.
};

/// The relayed pings that have not been answered yet, at most MaxRelays.
class RelayTable {
public:
  /// Adds a relayed ping that was sent with the number \p Sequence. Returns
  /// false if the table is full.
  bool add(std::uint64_t Sequence, RelayedPing R) {
    return this->Relays.size() < MaxRelays &&
           this->Relays.emplace(Sequence, std::move(R)).second;
  }

  /// Removes and returns the relayed ping that \p From answered with the number
  /// \p Sequence, or returns nothing.
  std::optional<RelayedPing> take(std::uint64_t Sequence,
                                  const EntryVmId &From) {
    const auto Found = this->Relays.find(Sequence);
    if (Found == this->Relays.end() || Found->second.Target != From)
      return std::nullopt;
    RelayedPing R = std::move(Found->second);
    this->Relays.erase(Found);
    return R;
  }

  /// Removes the relayed pings whose time limit has passed.
  void expire(TimePoint Now) {
    std::erase_if(this->Relays, [Now](const auto &Entry) {
      return Entry.second.Deadline <= Now;
    });
  }

  void clear() { this->Relays.clear(); }

  static constexpr std::size_t MaxRelays = 256;
  static constexpr Duration RelayTimeout = std::chrono::milliseconds(500);

private:
  std::map<std::uint64_t, RelayedPing> Relays;
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_POLICY_RELAYTABLE_H
