// A member of the deployment: one entry VM as the other entry VMs see it.
#ifndef AMARANTHSPUR_POLICY_MEMBER_H
#define AMARANTHSPUR_POLICY_MEMBER_H

#include "core/Names.h"
#include "core/Types.h"

#include <array>
#include <cstdint>
#include <string>

namespace amaranthspur {

/// The state of an entry VM as the other members see it.
enum class MemberState { Live, Suspect, Dead, Leaving };

template <> struct EnumNames<MemberState> {
  static constexpr auto Entries =
      std::to_array<std::pair<MemberState, std::string_view>>(
          {{MemberState::Live, "live"},
           {MemberState::Suspect, "suspect"},
           {MemberState::Dead, "dead"},
           {MemberState::Leaving, "leaving"}});
};

/// One entry VM.
struct Member {
  EntryVmId Id;
  std::string PeerAddress; ///< `host:port` of its ZeroMQ socket.
  DataCentre Location;
  std::uint64_t Incarnation = 0; ///< Start time in µs, plus one per refutation.
  MemberState State = MemberState::Live;

  bool operator==(const Member &) const = default;
};

/// Returns whether \p M may own servers and receive new work.
inline bool acceptsWork(const Member &M) {
  return M.State == MemberState::Live || M.State == MemberState::Suspect;
}

} // namespace amaranthspur

#endif // AMARANTHSPUR_POLICY_MEMBER_H
