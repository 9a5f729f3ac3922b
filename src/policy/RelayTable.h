// Pings that are made for others.
#ifndef AMARANTHSPUR_POLICY_RELAYTABLE_H
#define AMARANTHSPUR_POLICY_RELAYTABLE_H

#include "core/Clock.h"
#include "core/Types.h"

#include <cstdint>
#include <map>
#include <optional>

namespace amaranthspur {

/// One ping on behalf of Requester, whose own sequence number was Sequence.
struct Relay {
  EntryVmId Requester;
  std::uint64_t Sequence = 0;
  EntryVmId Target;
  TimePoint Until; ///< An answer after this comes too late.
};

/// Bounded by MaxRelays.
class RelayTable {
public:
  /// Notes a ping with \p Sequence; false if there are too many.
  bool add(std::uint64_t Sequence, Relay R) {
    return this->Relays.size() < MaxRelays &&
           this->Relays.emplace(Sequence, std::move(R)).second;
  }

  /// Removes and returns the relay that an answer of \p From belongs to.
  std::optional<Relay> take(std::uint64_t Sequence, const EntryVmId &From) {
    const auto Found = this->Relays.find(Sequence);
    if (Found == this->Relays.end() || Found->second.Target != From)
      return std::nullopt;
    Relay R = std::move(Found->second);
    this->Relays.erase(Found);
    return R;
  }

  void expire(TimePoint Now) {
    std::erase_if(this->Relays, [Now](const auto &Entry) {
      return Entry.second.Until <= Now;
    });
  }

  void clear() { this->Relays.clear(); }

  static constexpr std::size_t MaxRelays = 256;
  static constexpr Duration AnswerTime = std::chrono::milliseconds(500);

private:
  std::map<std::uint64_t, Relay> Relays;
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_POLICY_RELAYTABLE_H
