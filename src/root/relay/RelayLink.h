// The connection of an entry VM to the relay of its data centre.
#ifndef AMARANTHSPUR_ROOT_RELAY_RELAYLINK_H
#define AMARANTHSPUR_ROOT_RELAY_RELAYLINK_H

#include "core/Async.h"
#include "relay.pb.h"
#include "root/relay/ZmqEndpoint.h"

#include <map>
#include <memory>
#include <optional>

namespace amaranthspur {

/// Which requests a link accepts.
enum class LinkQueueing {
  Always,        ///< Also before the connection exists; sent when it does.
  WhenConnected, ///< Only over an existing connection, so that a request to a
                 ///< machine that is gone is known not to have been sent.
};

/// Sends requests to one relay and matches the replies to them.
///
/// A malformed or unexpected reply is dropped; its request then ends at its
/// deadline. A request is never sent twice. The link must outlive its requests.
class RelayLink {
public:
  /// \param Context of the ZeroMQ socket; must outlive the link.
  /// \param Address host:port of the relay.
  RelayLink(zmq::context_t &Context, const std::string &Address,
            LinkQueueing Queueing = LinkQueueing::Always);

  /// Returns whether a request can be queued now.
  bool canSend() const { return this->Endpoint && this->Endpoint->canSend(); }

  /// Sends \p Message and waits for the reply.
  /// \returns nothing if there is no reply by \p Deadline.
  QCoro::Task<std::optional<relay::Reply>> request(relay::Request Message,
                                                   TimePoint Deadline);

  /// Does the same, but gives up at once if the message cannot be sent, and
  /// after \p Patience without a reply to any request of the link.
  QCoro::Task<std::optional<relay::Reply>>
  requestPatiently(relay::Request Message, TimePoint Deadline,
                   Duration Patience);

  /// Ends all requests without a reply and refuses further ones.
  void close();

private:
  struct PendingRequest {
    WaitPoint Answered;
    std::optional<relay::Reply> Reply;
  };

  /// Sends \p Message for \p Self; returns whether it was queued.
  bool send(relay::Request &Message, PendingRequest &Self);
  void onMessage(const ZmqEndpoint::Parts &Message);

  std::unique_ptr<ZmqEndpoint> Endpoint;
  std::map<std::uint64_t, PendingRequest *> Pending; ///< By correlation.
  std::uint64_t LastCorrelation = 0;
  TimePoint LastReplyAt{};
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_ROOT_RELAY_RELAYLINK_H
