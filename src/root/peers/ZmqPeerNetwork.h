// Implements the peer network with ZeroMQ.
//
// One ROUTER socket receives the messages of all peers. For each peer, a DEALER
// socket is opened when there is a message to send and closed when it is idle.
// Every connection is encrypted and authenticated with CURVE.
//
// Tasks: one task for each peer passes its messages to their handlers. One more
// task runs the membership protocol and maintains the links. Received
// membership messages bypass the queues of the peers, so that a peer that sends
// many messages is not declared dead.
#ifndef AMARANTHSPUR_ROOT_PEERS_ZMQPEERNETWORK_H
#define AMARANTHSPUR_ROOT_PEERS_ZMQPEERNETWORK_H

#include "policy/Membership.h"
#include "root/Supervisor.h"
#include "root/peers/PeerLink.h"
#include "root/peers/PeerNetwork.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <QObject>

namespace amaranthspur {

/// Settings of the peer network.
struct PeerNetworkOptions {
  EntryVmId Self;
  DataCentre Location;
  std::string ListenAddress; ///< `host:port` to bind.
  std::string PeerAddress;   ///< `host:port` that peers connect to.
  std::string BindHost;      ///< Local address of connections; empty for any.
  std::string DeploymentKey;
  std::uint64_t Incarnation = 0; ///< Start time of the process in µs.
  /// Returns the configuration revision that this entry VM uses.
  std::function<std::uint64_t()> OwnRevision = [] { return 0; };
};

/// The peer network of one entry VM over ZeroMQ.
class ZmqPeerNetwork final : public Child, public PeerNetwork {
public:
  explicit ZmqPeerNetwork(PeerNetworkOptions Options);
  /// \pre stop() has returned, if start() was called.
  ~ZmqPeerNetwork() override;

  // Child. The list of members is kept when the supervisor restarts the
  // network.
  std::string_view name() const override { return "peers"; }
  QCoro::Task<Result<Success>> start() override;
  QCoro::Task<> stop(TimePoint Deadline) override;

  // PeerNetwork. A message to a dead member or to this VM itself is not sent.
  bool send(const EntryVmId &To, peer::Envelope Message) override;
  void setHandler(peer::Envelope::BodyCase Kind, Handler H) override;
  const std::vector<Member> &members() const override;
  void addListener(std::function<void()> Listener) override;
  void leave() override;

  /// Adds the members that the settings list.
  void addSeeds(const std::vector<ListedMember> &Seeds);

  /// Sets the platform's list of entry VMs.
  void setListed(const std::vector<ListedMember> &List);

  /// Adds a listener that is called with each revision that a peer reports.
  void onPeerRevision(
      std::function<void(const EntryVmId &, std::uint64_t)> Listener);

  PeerNetworkStats stats() const;
  MembershipStats membershipStats() const { return this->Swim->stats(); }

private:
  bool bind(std::string &ErrorText);
  void drain();
  bool receiveOne();
  void onPayload(std::string_view Bytes);
  void deliver(const EntryVmId &From, peer::Envelope &Message);

  QCoro::Task<> membershipTask();
  void onMembershipMessage(const peer::Envelope &Envelope);
  void tickMembership(TimePoint Now);
  void sendMembership(const std::vector<OutgoingMembershipMessage> &Messages);
  void notifyListeners();
  void maintainLinks(TimePoint Now, bool WasPaused);

  const Member *findMember(const EntryVmId &Id) const;
  PeerLink *linkTo(const EntryVmId &Id, const std::string &Address);
  bool transmit(PeerLink &Link, peer::Envelope &Message, PeerTraffic Kind);

  PeerNetworkOptions Options;
  PeerNetworkStats Stats;
  zmq::context_t Context;
  PeerTransport Transport;
  std::unique_ptr<Membership> Swim;
  Random Rng;
  std::uint64_t NotifiedVersion = 0;

  std::optional<zmq::socket_t> Router;
  SocketNotifierPointer Notifier;
  QObject QueuedCallContext; ///< Cancels queued calls when it is destroyed.
  bool DrainScheduled = false;

  std::unique_ptr<AsyncQueue<peer::Envelope>> MembershipQueue;
  std::map<EntryVmId, std::unique_ptr<PeerLink>> Links;
  /// Closed links whose tasks have not ended yet.
  std::vector<std::unique_ptr<PeerLink>> Closing;
  std::map<peer::Envelope::BodyCase, Handler> Handlers;
  std::vector<std::function<void()>> Listeners;
  std::vector<std::function<void(const EntryVmId &, std::uint64_t)>>
      RevisionListeners;

  bool Running = false;
  bool MembershipTaskEnded = true;
  WaitPoint TaskEnded;
  TimePoint LastLinkCheck{};
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_ROOT_PEERS_ZMQPEERNETWORK_H
