// Messages between entry VMs, and who the other entry VMs are.
#ifndef AMARANTHSPUR_ROOT_PEERS_PEERNETWORK_H
#define AMARANTHSPUR_ROOT_PEERS_PEERNETWORK_H

#include "core/Types.h"
#include "peer.pb.h"
#include "policy/Member.h"

#include <functional>
#include <vector>

namespace amaranthspur {

/// Sends messages to other entry VMs and hands received ones to their handlers.
/// Queues are bounded; a message that finds its queue full is dropped and
/// counted, and send() says so.
class PeerNetwork {
public:
  using Handler =
      std::function<void(const EntryVmId &From, peer::Envelope &Message)>;

  virtual ~PeerNetwork() = default;

  /// Queues \p Message for \p To. The sender's fields are filled in.
  /// \returns false if \p To is unknown or its queue is full; then no byte of
  /// the message is sent.
  virtual bool send(const EntryVmId &To, peer::Envelope Message) = 0;

  /// Sets the handler of one kind of message. A handler does not block.
  virtual void handle(peer::Envelope::BodyCase Kind, Handler H) = 0;

  /// Returns what this entry VM believes of all entry VMs, itself included.
  virtual const std::vector<Member> &members() const = 0;

  /// Calls \p Listener after every change of members().
  virtual void listen(std::function<void()> Listener) = 0;

  /// Marks this entry VM as leaving: others give it no new work.
  virtual void leave() = 0;
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_ROOT_PEERS_PEERNETWORK_H
