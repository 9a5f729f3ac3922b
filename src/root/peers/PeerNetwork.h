// Interface for sending messages between entry VMs and for listing the known
// entry VMs.
#ifndef AMARANTHSPUR_ROOT_PEERS_PEERNETWORK_H
#define AMARANTHSPUR_ROOT_PEERS_PEERNETWORK_H

#include "core/Types.h"
#include "peer.pb.h"
#include "policy/Member.h"

#include <functional>
#include <vector>

namespace amaranthspur {

/// Sends messages to other entry VMs and passes received messages to the
/// registered handlers. Queues are bounded: a message for a full queue is
/// dropped and counted, and send() returns false.
class PeerNetwork {
public:
  using Handler =
      std::function<void(const EntryVmId &From, peer::Envelope &Message)>;

  virtual ~PeerNetwork() = default;

  /// Queues \p Message for \p To and sets its sender fields.
  /// \returns false if \p To is unknown or its queue is full. In that case no
  /// byte of the message is sent.
  virtual bool send(const EntryVmId &To, peer::Envelope Message) = 0;

  /// Sets the handler for messages of \p Kind. A handler must not block.
  virtual void setHandler(peer::Envelope::BodyCase Kind, Handler H) = 0;

  /// Returns this entry VM's view of all known entry VMs, including itself.
  virtual const std::vector<Member> &members() const = 0;

  /// Adds a listener that is called after every change of members().
  virtual void addListener(std::function<void()> Listener) = 0;

  /// Marks this entry VM as leaving, so that other entry VMs assign no new work
  /// to it.
  virtual void leave() = 0;
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_ROOT_PEERS_PEERNETWORK_H
