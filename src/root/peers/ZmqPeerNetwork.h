// The peer network over ZeroMQ.
//
// One ROUTER socket receives from all peers; one DEALER socket per peer is
// opened when there is something to send and closed when idle. Every
// connection is encrypted and authenticated with CURVE.
//
// Tasks: one for each peer, which hands its messages to their handlers, and one
// for membership, which also looks after the links. Messages of membership do
// not pass through the peers' queues, so a peer that sends much is not taken
// for dead.
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
  std::string ListenAddress; ///< `host:port` that is bound.
  std::string PeerAddress;   ///< `host:port` that others connect to.
  std::string BindHost;      ///< Source of connections; empty: any.
  std::string DeploymentKey;
  std::uint64_t Incarnation = 0; ///< Start time of the process in µs.
  /// Returns the configuration revision in force.
  std::function<std::uint64_t()> OwnRevision = [] { return 0; };
};

class ZmqPeerNetwork final : public Child, public PeerNetwork {
public:
  explicit ZmqPeerNetwork(PeerNetworkOptions Options);
  /// \pre stop() has returned, if start() was called.
  ~ZmqPeerNetwork() override;

  // Child. The view of the members outlives a restart by the supervisor.
  std::string_view name() const override { return "peers"; }
  QCoro::Task<Result<Success>> start() override;
  QCoro::Task<> stop(TimePoint Deadline) override;

  // PeerNetwork. A message to a dead member or to this VM itself is not sent.
  bool send(const EntryVmId &To, peer::Envelope Message) override;
  void handle(peer::Envelope::BodyCase Kind, Handler H) override;
  const std::vector<Member> &members() const override;
  void listen(std::function<void()> Listener) override;
  void leave() override;

  /// Takes in members from settings.
  void addSeeds(const std::vector<ListedMember> &Seeds);

  /// Takes in the platform's list of entry VMs.
  void setListed(const std::vector<ListedMember> &List);

  /// Calls \p Listener with each revision that a peer reports.
  void onPeerRevision(
      std::function<void(const EntryVmId &, std::uint64_t)> Listener);

  PeerNetworkStats stats() const;
  MembershipStats membershipStats() const { return this->Swim->stats(); }

private:
  bool bind(std::string &Why);
  void drain();
  bool receiveOne();
  void onPayload(std::string_view Bytes);
  void deliver(const EntryVmId &From, peer::Envelope &Message);

  QCoro::Task<> membershipTask();
  void onMembershipMessage(const peer::Envelope &Envelope);
  void tickMembership(TimePoint Now);
  void sendMembership(const std::vector<OutgoingMembershipMessage> &Messages);
  void tellListeners();
  void lookAfterLinks(TimePoint Now, bool WasPaused);

  const Member *findMember(const EntryVmId &Id) const;
  PeerLink *linkTo(const EntryVmId &Id, const std::string &Address);
  bool transmit(PeerLink &Link, peer::Envelope &Message, PeerTraffic Kind);

  PeerNetworkOptions Options;
  PeerNetworkStats Stats;
  zmq::context_t Context;
  PeerTransport Transport;
  std::unique_ptr<Membership> Swim;
  Random Rng;
  std::uint64_t KnownVersion = 0;

  std::optional<zmq::socket_t> Router;
  SocketNotifierPointer Notifier;
  QObject Guard; ///< Calls that are queued for it end with this object.
  bool DrainScheduled = false;

  std::unique_ptr<AsyncQueue<peer::Envelope>> Inbox; ///< Of membership.
  std::map<EntryVmId, std::unique_ptr<PeerLink>> Links;
  std::vector<std::unique_ptr<PeerLink>> Closing; ///< Their tasks are ending.
  std::map<peer::Envelope::BodyCase, Handler> Handlers;
  std::vector<std::function<void()>> Listeners;
  std::vector<std::function<void(const EntryVmId &, std::uint64_t)>>
      RevisionListeners;

  bool Running = false;
  bool MembershipTaskEnded = true;
  WaitPoint TaskEnded;
  TimePoint LastLook{};
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_ROOT_PEERS_ZMQPEERNETWORK_H
