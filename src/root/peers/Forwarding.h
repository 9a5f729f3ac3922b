// Statements between entry VMs.
//
// Forwarder is the sending side: an executor whose statements run at another
// entry VM, the owner of the server. ForwardingService is the receiving side.
//
// Invariants:
// - A correlation identifier is never used twice by one incarnation of a
// sender.
// - An answer with an unknown correlation, from another VM than was asked, or
//   out of sequence is dropped and counted; it never reaches a caller.
// - A request that send() did not take was not run. After send() took it, only
//   the owner can say "not run".
// - At most WindowBytes of an answer are on the way or queued for a caller.
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

/// Bytes of one answer that may be sent without credit.
inline constexpr std::size_t WindowBytes = 256U << 10U;

/// Sends statements to other entry VMs and takes their answers.
class Forwarder {
public:
  /// All references outlive the forwarder.
  /// \param Incarnation start time of this process in µs; correlations count up
  /// from it, so that an answer to an earlier incarnation matches none.
  Forwarder(PeerNetwork &Network, Metrics &Counters, std::uint64_t Incarnation);

  /// Returns an executor whose statements run at \p Owner.
  std::shared_ptr<StatementExecutor> executorAt(const EntryVmId &Owner);

  /// Ends all requests to \p Dead: their outcome is unknown.
  void failRequestsTo(const EntryVmId &Dead);

  /// Ends all writes of \p View's service that wait for a server which is no
  /// longer the primary: the server cannot confirm them any more, so waiting
  /// for their deadline would only lengthen the failover gap.
  void failSuperseded(const GroupView &View);

  /// Returns how many requests have no complete answer yet.
  std::size_t pending() const { return this->Requests.size(); }

private:
  friend class RemoteExecutor;

  /// A request without a complete answer.
  struct Request {
    EntryVmId Owner;
    StreamId Stream;
    ServiceName Service;
    ServerId Server;
    Access Wants = Access::Write;
    AsyncQueue<peer::StatementAnswer> Answers{4096};
    std::uint32_t NextSequence = 0;
  };

  QCoro::Task<StatementResult> execute(EntryVmId Owner, StatementOrder Order,
                                       AnswerSink &Sink);
  QCoro::Task<StatementResult> takeAnswer(Request &Entry,
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

/// Runs statements that other entry VMs have sent.
class ForwardingService {
public:
  /// Finds the executor of an owned server, or null.
  using Lookup =
      std::function<std::shared_ptr<StatementExecutor>(const ServerId &)>;

  /// All references outlive the service.
  ForwardingService(PeerNetwork &Network, Lookup FindOwned);

  /// Waits until no forwarded statement runs.
  QCoro::Task<bool> idle(TimePoint Deadline) {
    return this->Tasks.empty(Deadline);
  }

private:
  friend class PeerSink;

  using AnswerKey = std::pair<EntryVmId, std::uint64_t>;

  /// Flow control of one answer.
  struct Flow {
    std::size_t Window = WindowBytes;
    WaitPoint Credited;
    StreamId Stream;
    ServerId Server;
  };

  QCoro::Task<> serve(EntryVmId From, peer::StatementRequest Request);
  void closeStream(const EntryVmId &From, std::uint64_t Number);
  void cancel(const EntryVmId &From, std::uint64_t Correlation);

  PeerNetwork &Network;
  Lookup FindOwned;
  TaskGroup Tasks;
  std::map<AnswerKey, Flow *> Flows;
  /// Servers that hold a transaction of a stream.
  std::map<StreamId, ServerId> StreamServers;
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_ROOT_PEERS_FORWARDING_H
