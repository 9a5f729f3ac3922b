// Counters of the peer network, which the metrics and the `status` command
// report.
#ifndef AMARANTHSPUR_ROOT_PEERS_PEERNETWORKSTATS_H
#define AMARANTHSPUR_ROOT_PEERS_PEERNETWORKSTATS_H

#include "core/Names.h"

#include <array>
#include <cstdint>

namespace amaranthspur {

/// The reason why a message was dropped.
enum class PeerDropReason {
  SendQueueFull,    ///< The peer's outgoing queue was full.
  SendExpired,      ///< It waited too long for a connection.
  TooLarge,         ///< It is larger than MaxPeerMessageBytes.
  ReceiveQueueFull, ///< The peer's or the membership queue was full.
  Malformed,        ///< It cannot be parsed, or a field is out of bounds.
  Implausible,      ///< Its sender is unknown or its incarnation invalid.
  Unhandled,        ///< Its kind has no handler.
};

template <> struct EnumNames<PeerDropReason> {
  static constexpr auto Entries =
      std::to_array<std::pair<PeerDropReason, std::string_view>>(
          {{PeerDropReason::SendQueueFull, "send-queue-full"},
           {PeerDropReason::SendExpired, "send-expired"},
           {PeerDropReason::TooLarge, "too-large"},
           {PeerDropReason::ReceiveQueueFull, "receive-queue-full"},
           {PeerDropReason::Malformed, "malformed"},
           {PeerDropReason::Implausible, "implausible"},
           {PeerDropReason::Unhandled, "unhandled"}});
};

/// Counters of the peer network since the process started.
struct PeerNetworkStats {
  std::uint64_t MessagesSent = 0;
  std::uint64_t BytesSent = 0;
  std::uint64_t MessagesReceived = 0;
  std::uint64_t BytesReceived = 0;
  std::uint64_t LinksOpened = 0;
  std::uint64_t LinksReset = 0; ///< Reset because the peer did not answer.
  std::size_t Links = 0;        ///< Number of current links.
  std::array<std::uint64_t, EnumNames<PeerDropReason>::Entries.size()>
      Dropped{};

  void countDrop(PeerDropReason Reason) {
    ++this->Dropped[static_cast<std::size_t>(Reason)];
  }
  std::uint64_t dropped(PeerDropReason Reason) const {
    return this->Dropped[static_cast<std::size_t>(Reason)];
  }
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_ROOT_PEERS_PEERNETWORKSTATS_H
