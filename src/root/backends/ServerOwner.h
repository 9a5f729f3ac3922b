// The owner's side of one backend server: its lease, connections and queue.
//
// Invariants:
// - Work connections are opened and statements sent only while the ownership
//   lease is held, counted from before its last renewal was sent.
// - At most WorkConnections connections are open or being opened.
// - A connection is used by one stream at a time; it goes back to the idle ones
//   only after ReadyForQuery said idle and nothing is left unread.
// - A write's answer is delivered only after its position was confirmed.
#ifndef AMARANTHSPUR_ROOT_BACKENDS_SERVEROWNER_H
#define AMARANTHSPUR_ROOT_BACKENDS_SERVEROWNER_H

#include "core/Async.h"
#include "policy/Admission.h"
#include "policy/Configuration.h"
#include "root/ViewTable.h"
#include "root/backends/BackendServer.h"
#include "root/backends/Confirmations.h"
#include "root/backends/ServerConnection.h"
#include "root/backends/StatementExecutor.h"

#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace amaranthspur {

/// What an owner is made from.
struct ServerOwnerSetup {
  EntryVmId Self;
  std::uint64_t Incarnation = 0;
  ServiceName Service;
  ServerConfig Server;
  unsigned WorkConnections = 1;
  std::string BindHost;
  PolicyVariant Variant = PolicyVariant::Amaranthspur;
  bool NeedsLease = true;
};

/// Owns one backend server.
class ServerOwner final : public StatementExecutor {
public:
  /// \param Control connection for the lease; used by nobody else.
  /// \param Durable confirmation of the group's positions; outlives the owner.
  /// \param Views outlives the owner.
  ServerOwner(ServerOwnerSetup Setup, std::unique_ptr<Admission> Queue,
              std::unique_ptr<BackendServer> Control, Confirmations &Durable,
              ViewTable &Views);
  ~ServerOwner() override;

  /// Starts the lease and the warm-up of connections.
  void start();

  /// Refuses new work and lets open transactions end until \p Deadline;
  /// statements that still run end by their own deadlines. Gives back the lease
  /// and closes all connections.
  QCoro::Task<> stop(TimePoint Deadline);

  /// Ends the statements that run, with an unknown outcome.
  void abandonRunning();

  QCoro::Task<StatementResult> execute(StatementOrder Order,
                                       AnswerSink &Sink) override;
  void closeStream(const StreamId &Stream) override;
  void cancel(const StreamId &Stream) override;

  /// Ends the transactions of all streams of an entry VM that has died.
  void closeStreamsOf(const EntryVmId &Dead);

  /// Ends writes that run here although another server is the primary now.
  void onViewChanged();

  /// Takes in a change of configuration.
  void configure(const ServiceConfig &Service, const ServerConfig &Server,
                 unsigned WorkConnections);

  const ServiceName &service() const { return this->Setup.Service; }
  const ServerConfig &server() const { return this->Setup.Server; }
  AdmissionStats queueStats() const { return this->Queue->stats(); }
  std::size_t openConnections() const { return this->OpenConnections; }
  std::size_t openTransactions() const { return this->Held.size(); }
  bool holdsLease() const;

private:
  using Conn = std::unique_ptr<ServerConnection>;

  /// A statement that waits in the queue.
  struct Queued {
    WaitPoint Wake;
    bool Started = false;
    std::optional<Refusal> Refused;
  };

  /// A statement that runs.
  struct Running {
    ServerConnection *On = nullptr;
    Access Wants = Access::Write;
    bool Abandoned = false;  ///< Its stream was closed meanwhile.
    bool Superseded = false; ///< The server has lost its role meanwhile.
  };

  /// What has been read of an answer.
  struct Answer {
    std::string Frames; ///< May be delivered at once.
    std::string Tail;   ///< From the first CommandComplete on; held back.
    bool Holding = false;
    bool Delivered = false;
    bool Copy = false;
    std::optional<TransactionState> Ready;
    std::string FirstError; ///< SQLSTATE of the first ErrorResponse.
    /// The server was the primary when the statement was sent. Its answer then
    /// needs confirmation even if another server leads by now.
    bool FromPrimary = false;
  };

  QCoro::Task<StatementResult> runOrder(StatementOrder Order, AnswerSink &Sink);
  QCoro::Task<> keepLease();
  QCoro::Task<> expireQueue();
  QCoro::Task<> warmUp();
  QCoro::Task<bool> waitLease(TimePoint Deadline);
  QCoro::Task<std::optional<Refusal>> waitFresh(const StatementOrder &Order);
  QCoro::Task<std::optional<Refusal>> admit(const StatementOrder &Order,
                                            WorkId Id);
  QCoro::Task<std::variant<Conn, Refusal>>
  takeConnection(const StatementOrder &Order);
  QCoro::Task<std::variant<Conn, Refusal>> openConnection(TimePoint Deadline);
  QCoro::Task<bool> validate(ServerConnection &C);
  QCoro::Task<StatementResult> runOn(Conn C, StatementOrder &Order,
                                     AnswerSink &Sink, WorkId Id);
  QCoro::Task<std::optional<Refusal>> readAnswer(ServerConnection &C,
                                                 Running &Entry, Answer &A,
                                                 const StatementOrder &Order,
                                                 AnswerSink &Sink);
  std::optional<Refusal> takeFrame(const pg::Frame &F, ServerConnection &C,
                                   Answer &A);
  QCoro::Task<StatementResult> finishAnswer(Answer &A, LogPosition Position,
                                            const StatementOrder &Order,
                                            AnswerSink &Sink);

  std::optional<Refusal> refuseAtOnce(const StatementOrder &Order) const;
  bool freshEnough(const StatementOrder &Order, TimePoint Now) const;
  bool isPrimary() const;
  void dispatch();
  void finishWork(WorkId Id);
  void giveBack(Conn C, const StatementOrder &Order, TransactionState State);
  void discard(Conn C);
  void discardIdle();
  void discardHeld();
  bool hasWork() const;
  void cancelOn(const ServerConnection &On);

  ServerOwnerSetup Setup;
  std::unique_ptr<Admission> Queue;
  std::unique_ptr<BackendServer> Control;
  Confirmations &Durable;
  ViewTable &Views;

  TaskGroup Tasks;
  std::map<WorkId, Queued *> Waiting;
  std::map<StreamId, Running *> RunningStreams;
  std::map<StreamId, Conn> Held; ///< Open transactions.
  std::vector<Conn> Idle;
  Signal ConnectionFreed;
  Signal LeaseChanged;
  Signal StopRequested;
  TimePoint LeaseUntil{};
  LogPosition LastPosition; ///< Last reported by the server itself.
  std::size_t OpenConnections = 0;
  WorkId NextWork = 1;
  bool Stopping = false;
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_ROOT_BACKENDS_SERVEROWNER_H
