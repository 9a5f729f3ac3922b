// Counts of the peer network, for metrics and `status`.
#ifndef AMARANTHSPUR_ROOT_PEERS_PEERNETWORKSTATS_H
#define AMARANTHSPUR_ROOT_PEERS_PEERNETWORKSTATS_H

#include "core/Names.h"

#include <array>
#include <cstdint>

namespace amaranthspur {

/// Why a message was dropped.
enum class PeerDrop {
  SendQueueFull,    ///< The peer's outgoing queue was full.
  SendExpired,      ///< Waited too long for a connection.
  TooLarge,         ///< Larger than MaxPeerMessageBytes.
  ReceiveQueueFull, ///< The peer's task or membership is behind.
  Malformed,        ///< Not a message, or a field out of bounds.
  Implausible,      ///< Unknown sender, or an earlier process of it.
  Unhandled,        ///< No handler for its kind.
};

template <> struct EnumNames<PeerDrop> {
  static constexpr auto Entries =
      std::to_array<std::pair<PeerDrop, std::string_view>>(
          {{PeerDrop::SendQueueFull, "send-queue-full"},
           {PeerDrop::SendExpired, "send-expired"},
           {PeerDrop::TooLarge, "too-large"},
           {PeerDrop::ReceiveQueueFull, "receive-queue-full"},
           {PeerDrop::Malformed, "malformed"},
           {PeerDrop::Implausible, "implausible"},
           {PeerDrop::Unhandled, "unhandled"}});
};

/// Counts since the start of the process.
struct PeerNetworkStats {
  std::uint64_t MessagesSent = 0;
  std::uint64_t BytesSent = 0;
  std::uint64_t MessagesReceived = 0;
  std::uint64_t BytesReceived = 0;
  std::uint64_t LinksOpened = 0;
  std::uint64_t LinksReset = 0; ///< Replaced because they were silent.
  std::size_t Links = 0;        ///< Open at present.
  std::array<std::uint64_t, EnumNames<PeerDrop>::Entries.size()> Dropped{};

  void drop(PeerDrop Reason) {
    ++this->Dropped[static_cast<std::size_t>(Reason)];
  }
  std::uint64_t dropped(PeerDrop Reason) const {
    return this->Dropped[static_cast<std::size_t>(Reason)];
  }
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_ROOT_PEERS_PEERNETWORKSTATS_H
