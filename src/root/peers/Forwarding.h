// Forwards statements between entry VMs.
//
// Forwarder is the sending side: it provides executors that run statements at
// another entry VM, the owner of the server. ForwardingService is the receiving
// side.
//
// Invariants:
// - An incarnation of a sender never uses a correlation identifier twice.
// - An answer with an unknown correlation or from a VM other than the owner is
//   dropped and counted. An answer out of sequence is dropped and ends its
//   request. Neither reaches a caller.
// - A request that send() rejects has not been run. Once send() has accepted a
//   request, only the owner can report that the statement was not run.
// - At most AnswerWindowBytes of an answer are in transit or queued for the
//   caller.
#ifndef AMARANTHSPUR_ROOT_PEERS_FORWARDING_H
#define AMARANTHSPUR_ROOT_PEERS_FORWARDING_H

#include "core/Async.h"
#include "policy/GroupView.h"
#include "root/backends/StatementExecutor.h"
#include "root/peers/PeerNetwork.h"
#include "root/telemetry/Metrics.h"

#include <functional>
#include <map>
#include <memory>

namespace amaranthspur {

/// The flow control window: number of bytes of one answer that may be sent
/// without credit.
inline constexpr std::size_t AnswerWindowBytes = 256U << 10U;

/// Sends statements to other entry VMs and receives their answers.
class Forwarder {
public:
  /// All references must outlive the forwarder.
  /// \param Incarnation start time of this process in µs. Correlation
  /// identifiers count up from it, so that an answer to an earlier incarnation
  /// matches no request.
  Forwarder(PeerNetwork &Network, Metrics &Counters, std::uint64_t Incarnation);

  /// Returns an executor whose statements run at \p Owner.
  std::shared_ptr<StatementExecutor> executorAt(const EntryVmId &Owner);

  /// Ends all requests to \p Dead with an unknown outcome.
  void failRequestsTo(const EntryVmId &Dead);

  /// Ends all writes to \p View's service that wait for a server which is no
  /// longer the primary. The server can no longer confirm them, so waiting
  /// until their deadline would only lengthen the failover gap.
  void failSuperseded(const GroupView &View);

  /// Returns the number of requests without a complete answer.
  std::size_t pending() const { return this->Requests.size(); }

private:
  friend class RemoteExecutor;

  /// A request without a complete answer.
  struct Request {
    EntryVmId Owner;
    StreamId Stream;
    ServiceName Service;
    ServerId Server;
    Access RequestedAccess = Access::Write;
    AsyncQueue<peer::StatementAnswer> Answers{4096};
    std::uint32_t NextSequence = 0;
  };

  QCoro::Task<StatementResult> execute(EntryVmId Owner, ExecuteRequest Order,
                                       AnswerSink &Sink);
  QCoro::Task<StatementResult> receiveAnswer(Request &Entry,
                                             std::uint64_t Correlation,
                                             TimePoint Until, AnswerSink &Sink);
  void closeStream(const EntryVmId &Owner, const StreamId &Stream);
  void cancel(const EntryVmId &Owner, const StreamId &Stream);
  void onAnswer(const EntryVmId &From, peer::StatementAnswer &Answer);

  PeerNetwork &Network;
  Metrics &Counters;
  std::map<std::uint64_t, Request *> Requests;
  std::uint64_t NextCorrelation;
};

/// Runs the statements that other entry VMs forward to this one.
class ForwardingService {
public:
  /// Returns the executor of a server that this entry VM owns, or null.
  using Lookup =
      std::function<std::shared_ptr<StatementExecutor>(const ServerId &)>;

  /// All references must outlive the service.
  ForwardingService(PeerNetwork &Network, Lookup FindOwned);

  /// Waits until no forwarded statement runs or \p Deadline has passed.
  QCoro::Task<bool> waitUntilIdle(TimePoint Deadline) {
    return this->Tasks.waitUntilEmpty(Deadline);
  }

private:
  friend class PeerAnswerSink;

  using AnswerKey = std::pair<EntryVmId, std::uint64_t>;

  /// The flow control state of one answer.
  struct FlowControl {
    std::size_t Window = AnswerWindowBytes; ///< Bytes that may be sent now.
    WaitPoint Credited;                     ///< Woken when credit arrives.
    StreamId Stream;
    ServerId Server;
  };

  QCoro::Task<> serve(EntryVmId From, peer::StatementRequest Request);
  void closeStream(const EntryVmId &From, std::uint64_t Number);
  void cancel(const EntryVmId &From, std::uint64_t Correlation);

  PeerNetwork &Network;
  Lookup FindOwned;
  TaskGroup Tasks;
  std::map<AnswerKey, FlowControl *> Flows;
  /// The server on which a stream has an open transaction.
  std::map<StreamId, ServerId> StreamServers;
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_ROOT_PEERS_FORWARDING_H
