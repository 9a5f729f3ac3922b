// The child that shares what entry VMs of one data centre read and observe.
//
// One entry VM of the data centre is the relay (policy/RelayElection.h). It
// follows the platform's tables, samples the groups' primaries and answers the
// others, the followers, over ZeroMQ. A follower asks at a fixed interval; the
// reply holds the changed rows and the evidence about the groups that it reads
// from. Without a usable relay every entry VM does all of this itself, so a
// relay that stops, is suspended or is cut off costs calls and breaks nothing.
//
// When the store comes back from an older copy, an earlier relay's row may
// stand there again, or none. The relay then grants no quotas until it has read
// the row of the present era.
//
// One task runs the election and follows the relay; one task per proof and per
// forwarded statement serves other entry VMs. Requests must carry the token of
// the relay's row, which only entry VMs of the deployment can read.
#ifndef AMARANTHSPUR_ROOT_RELAY_RELAY_H
#define AMARANTHSPUR_ROOT_RELAY_RELAY_H

#include "core/Random.h"
#include "policy/RelayElection.h"
#include "policy/RequestDelays.h"
#include "policy/quotas/QuotaAllocator.h"
#include "root/Supervisor.h"
#include "root/directory/StoreReturns.h"
#include "root/relay/EvidenceBoard.h"
#include "root/relay/QuotaBoard.h"
#include "root/relay/RelayLink.h"
#include "root/relay/RelayListener.h"
#include "root/relay/RelayPeers.h"
#include "root/relay/RelayedFeed.h"
#include "root/relay/StatementForwarder.h"
#include "root/telemetry/Metrics.h"

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace amaranthspur {

/// The settings of the relay.
struct RelayOptions {
  EntryVmId Self;
  DataCentre Location;
  std::string ListenAddress; ///< host:port for followers; empty: no relay.
  double CpuShare = 0;       ///< Part of a core that this entry VM has.
  Duration MaxContactAge{};  ///< See RelayElection.
  std::size_t DataCentres = 1;
  std::map<DataCentre, Region> Regions; ///< The region of each data centre.
};

/// Runs the election, serves followers and follows the relay.
class Relay final : public Child, public EvidenceSource, public QuotaSource {
public:
  /// Interval between two requests of a follower. It bounds the delay of a
  /// configuration change, which must be in force within 3 s, and the age of
  /// log positions, which reads use up to an age of 1.5 s.
  static constexpr Duration SyncInterval = milliseconds(400);
  /// Shortest time between two requests while news are awaited.
  static constexpr Duration MinSyncSpacing = milliseconds(150);
  /// Shortest time between two requests while an operation waits for a lease.
  /// It waits for at most a quarter of the latency objective, which is 62 ms
  /// for the shortest one.
  static constexpr Duration LeaseSpacing = milliseconds(40);
  /// After a follower has vanished, the relay reads its row with each update of
  /// the followers for this time, since the follower may have become the relay.
  static constexpr Duration SilencePeriod = std::chrono::seconds(8);
  /// Time limit of one request; a round trip takes 2 ms within a data centre.
  static constexpr Duration SyncTimeout = milliseconds(500);
  /// Time limit of a claim or of a read of the relay's row.
  static constexpr Duration ClaimTimeout = milliseconds(1200);
  /// A follower that has not asked for this long is not counted any more.
  static constexpr Duration FollowerTimeout = std::chrono::seconds(3);
  /// Interval at which a relay updates the number of followers.
  static constexpr Duration RelayInterval = std::chrono::seconds(1);
  /// Most services in one request, and most proofs and statements served at
  /// once.
  static constexpr int MaxServices = 512;
  static constexpr std::size_t MaxServed = 1000;
  /// A write that was under way for longer than this is refused as not run. An
  /// entry VM that was suspended finds older ones in its socket, which their
  /// senders may have given up.
  static constexpr Duration MaxWriteDelay = milliseconds(250);
  /// A follower that has not asked for this long is not a forwarder. It asks
  /// every SyncInterval.
  static constexpr Duration ForwarderTimeout = milliseconds(1200);
  /// Most followers that are counted. More are served, but not counted.
  static constexpr std::size_t MaxFollowers = 10000;

  /// After a return of the store, a relay whose row was lost may have granted
  /// quotas until it learned of the return, which takes a poll of the store and
  /// a retry. Its grants have ended after this time.
  static constexpr Duration LostRelayPeriod =
      std::chrono::seconds(4) + QuotaAllocator::TakeoverTime;

  /// All referenced objects must outlive the relay.
  /// \param Returns is told of the eras in the replies of the relay.
  Relay(RelayOptions Options, Platform &Store, RelayedFeed &Feed, Random &Rng,
        Metrics &Counters, StoreReturns &Returns);
  ~Relay() override;

  /// Sets the groups whose evidence is exchanged.
  /// \pre start() has not been called.
  void setBoard(EvidenceBoard &Groups) { this->Board = &Groups; }
  /// Sets the quotas that are exchanged.
  /// \pre start() has not been called.
  void setQuotas(QuotaBoard &Shared) {
    this->Quotas = &Shared;
    this->Peers.setQuotas(Shared);
  }
  /// Sets what tells whether the configuration in force has workspaces. Without
  /// them nothing is exchanged with other data centres.
  /// \pre start() has not been called.
  void setWorkspaceCheck(std::function<bool()> HasWorkspaces) {
    this->HasWorkspaces = std::move(HasWorkspaces);
  }
  /// Sets what runs the statements that other entry VMs forward to this one.
  /// \pre start() has not been called.
  void setStatementRunner(ForwardedStatementRunner &Runner) {
    this->Statements = &Runner;
  }
  /// Returns the forwarding of this entry VM's own statements.
  StatementForwarding &forwarding() { return this->OwnStatements; }

  std::string_view name() const override { return "relay"; }
  QCoro::Task<Result<Success>> start() override;
  QCoro::Task<> stop(TimePoint Deadline) override;

  /// Tells followers that this entry VM is about to stop, so that another one
  /// becomes the relay while this one still answers.
  void leave();

  /// Records that the store has come back from an older copy.
  void observeReturn();

  RelayRole role() const { return this->Election.role(); }
  std::size_t followers() const { return this->Followers.size(); }
  const RelayRow &row() const { return this->Election.row(); }

  // EvidenceSource.
  bool isAvailable() const override;
  bool isRelay() const override { return this->role() == RelayRole::Relay; }
  QCoro::Task<bool> prove(ServiceName Service, Term T,
                          TimePoint Deadline) override;
  void refreshSoon() override;

  // QuotaSource.
  bool isUsed() const override { return !this->Options.ListenAddress.empty(); }
  void requestLeases() override;

private:
  /// The tables whose rows are passed on.
  static constexpr std::array<WatchedTable, 2> Tables = {WatchedTable::Operator,
                                                         WatchedTable::Servers};

  QCoro::Task<> run();
  /// Claims the relay's row, or learns who holds it.
  QCoro::Task<> claim();
  /// Reads the relay's row again.
  QCoro::Task<> readRow();
  /// Returns whether the known row may have been lost with a return of the
  /// store.
  bool isRowOutdated() const {
    return this->row().Version.era() < this->Returns.history().era();
  }
  /// Returns whether a relay that the store has lost may still grant quotas.
  bool mayMissRelay() const;
  void observeRow(const TableRow &Seen);
  void observeRow(RelayRow Row);
  /// Tells the relay of \p Former that this entry VM has replaced it, since it
  /// may be unable to read the row.
  QCoro::Task<> announceReplacement(RelayRow Former);
  /// Makes the listener and the link match the role.
  void applyRole();
  /// Sends one request to the relay and applies the reply.
  QCoro::Task<> synchronise();
  void applyReply(const relay::SyncReply &Reply, TimePoint SentAt);
  /// Returns a request to the relay of \p To, without a body.
  relay::Request makeRequest(const RelayRow &To) const;
  relay::Request makeSyncRequest();
  void updateSource();
  /// Hands the forwarders of the deployment to the forwarding of this entry VM
  /// and to its groups.
  void applyForwarders(std::vector<ForwarderVm> Own,
                       std::vector<RemoteForwarders> Others);
  /// Starts or ends the exchange with other data centres with the role.
  void updateExchange();
  /// Starts or ends the allocation of quotas with the role.
  void updateAllocation();
  /// Confirms to the quotas that this entry VM still is the relay. Reads the
  /// row if a follower is silent, which may have become the relay.
  QCoro::Task<> confirmAuthority();
  QCoro::Task<> wakeForLeases();
  void updateFollowers();
  /// Chooses the forwarders among the followers.
  void updateForwarders();
  void listen();

  void onRequest(const RelayListener::Peer &From, const relay::Request &Asked);
  /// Returns whether \p Message names another relay in a later row than the
  /// known one, which it then replaces.
  bool observeReplacement(const relay::Replacement &Message);
  relay::Replacement makeReplacement() const;
  relay::NotRelay makeRejection(const std::string &Token) const;
  relay::SyncReply makeSyncReply(const relay::SyncRequest &Asked);
  void addEvidence(relay::SyncReply &Reply, const ServiceName &Service,
                   TimePoint ReceivedAt);
  void addChanges(relay::SyncReply &Reply, WatchedTable Table,
                  const relay::TablePosition *Held, TimePoint ReceivedAt);
  QCoro::Task<> serveProof(RelayListener::Peer From, std::uint64_t Correlation,
                           relay::ProofRequest Asked);

  /// An entry VM that has asked this relay.
  struct FollowerState {
    TimePoint LastRequest;
    ForwarderVm Self; ///< Without an address if it cannot be a forwarder.
  };

  /// A row as it is sent to followers.
  struct EncodedRow {
    StoreVersion Version;
    relay::Row Message;
  };

  /// Answers the relay of another data centre.
  void answerExchange(const RelayListener::Peer &From,
                      const relay::Request &Asked);
  /// Runs or refuses the statement in \p Asked.
  /// \returns false if it is malformed or not accepted now.
  bool acceptStatement(const RelayListener::Peer &From,
                       const relay::Request &Asked);
  QCoro::Task<> serveStatement(RelayListener::Peer From,
                               std::uint64_t Correlation,
                               ForwardedStatement Asked);

  RelayOptions Options;
  Platform &Store;
  RelayedFeed &Feed;
  Random &Rng;
  Metrics &Counters;
  StoreReturns &Returns;
  EvidenceBoard *Board = nullptr;
  QuotaBoard *Quotas = nullptr;
  bool Allocates = false;              ///< The quotas, as the relay.
  std::set<std::string> ClaimedTokens; ///< Of this process.
  bool RowWasNew = false;              ///< No relay was before this one.
  TimePoint RowAskedAt{};              ///< Boot clock; last claim or read.
  TimePoint SilentUntil{};             ///< Steady clock; see SilencePeriod.
  bool LeasesRequested = false;        ///< A task waits to wake the follower.
  RelayElection Election;
  std::unique_ptr<zmq::context_t> Context; ///< Created at the start.
  RelayListener Listener;
  bool Listening = false;
  std::shared_ptr<RelayLink> Link;
  RelayRow LinkedRow; ///< The row that Link was opened for.
  RelayRow ServedRow; ///< The last row that named this entry VM.
  std::map<std::string, FollowerState> Followers; ///< By name.
  std::vector<ForwarderVm> Forwarders; ///< Of the data centre, as the relay.
  RelayPeers Peers;                    ///< Of the other data centres.
  std::function<bool()> HasWorkspaces = [] { return false; };
  StatementForwarder OwnStatements;
  ForwardedStatementRunner *Statements = nullptr;
  /// Encoded rows with long values, by table and key: one compression serves
  /// all followers.
  std::map<std::pair<WatchedTable, std::string>, EncodedRow> EncodedRows;
  RequestDelays Delays; ///< Of forwarded statements.
  std::uint64_t Operations = 0;
  TimePoint LastSync{};
  WaitPoint Wake;
  TaskGroup Tasks;
  bool Leaving = false;
  bool Stopping = false;
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_ROOT_RELAY_RELAY_H
