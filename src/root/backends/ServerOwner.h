// Runs statements on the backend server that this entry VM owns. Manages the
// ownership lease, the work connections and the queue of statements.
//
// Invariants:
// - Work connections are opened and statements are sent only while the
//   ownership lease is held. The lease counts from the time before its last
//   renewal was sent.
// - At most WorkConnections connections are open or being opened.
// - A connection is used by one stream at a time. It becomes idle only after a
//   ReadyForQuery that reports the idle state, when no received data is unread.
// - The answer to a write is delivered only after its position was confirmed.
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

/// The configuration of a ServerOwner.
struct ServerOwnerSetup {
  EntryVmId Self;
  std::uint64_t Incarnation = 0;
  ServiceName Service;
  ServerConfig Server;
  unsigned WorkConnections = 1;
  std::string BindHost; ///< Source address; if empty, the system chooses it.
  PolicyVariant Variant = PolicyVariant::Amaranthspur;
  bool NeedsLease = true;
};

/// The owner of one backend server.
class ServerOwner final : public StatementExecutor {
public:
  /// \param Control calls that acquire the lease; used only by this owner.
  /// \param Durable confirms the group's positions; must outlive the owner.
  /// \param Views must outlive the owner.
  ServerOwner(ServerOwnerSetup Setup, std::unique_ptr<Admission> Queue,
              std::unique_ptr<BackendServer> Control, Confirmations &Durable,
              ViewTable &Views);
  ~ServerOwner() override;

  /// Starts the tasks that maintain the lease, expire queued statements and
  /// open the first connections.
  void start();

  /// Refuses new statements and waits until \p Deadline for open transactions
  /// to end. Running statements may continue until their own deadlines. Then
  /// closes all connections and releases the lease.
  QCoro::Task<> stop(TimePoint Deadline);

  /// Ends the running statements. Their outcome is unknown.
  void abandonRunning();

  QCoro::Task<StatementResult> execute(ExecuteRequest Request,
                                       AnswerSink &Sink) override;
  void closeStream(const StreamId &Stream) override;
  void cancel(const StreamId &Stream) override;

  /// Ends the open transactions of all streams of the failed entry VM \p Dead.
  void closeStreamsOf(const EntryVmId &Dead);

  /// Ends the running writes if another server has become the primary.
  void onViewChanged();

  /// Applies a changed configuration.
  void configure(const ServiceConfig &Service, const ServerConfig &Server,
                 unsigned WorkConnections);

  const ServiceName &service() const { return this->Setup.Service; }
  const ServerConfig &server() const { return this->Setup.Server; }
  AdmissionStats queueStats() const { return this->Queue->stats(); }
  std::size_t openConnections() const { return this->OpenConnections; }
  std::size_t openTransactions() const {
    return this->TransactionConnections.size();
  }
  bool holdsLease() const;

private:
  using Conn = std::unique_ptr<ServerConnection>;

  /// A statement that waits in the queue for a slot.
  struct QueuedStatement {
    WaitPoint Wake;
    bool Started = false;
    std::optional<Refusal> Refused;
  };

  /// A statement that has been sent to the server.
  struct RunningStatement {
    ServerConnection *Connection = nullptr;
    Access RequestedAccess = Access::Write;
    bool Abandoned = false;  ///< Its stream was closed.
    bool Superseded = false; ///< The server is no longer the primary.
  };

  /// The part of an answer that has been read.
  struct Answer {
    std::string Frames; ///< Frames that may be delivered at once.
    /// The frames from the first CommandComplete on. They are held back until
    /// the position is confirmed.
    std::string HeldFrames;
    bool HoldingBack = false; ///< A CommandComplete has been read.
    bool Delivered = false;   ///< Some frames have been delivered.
    bool Copy = false;
    std::optional<TransactionState> Ready; ///< Reported by ReadyForQuery.
    std::string FirstError; ///< SQLSTATE of the first ErrorResponse.
    /// The server was the primary when the statement was sent. The answer then
    /// needs confirmation even if another server is the primary by now.
    bool SentToPrimary = false;
  };

  /// Runs \p Request for execute(), which ends the transaction after a refusal.
  QCoro::Task<StatementResult> runStatement(ExecuteRequest Request,
                                            AnswerSink &Sink);
  /// Task that renews the lease until the owner stops.
  QCoro::Task<> maintainLease();
  /// Task that refuses queued statements whose deadline cannot be met.
  QCoro::Task<> expireQueue();
  /// Opens connections ahead of demand, up to one for each slot.
  QCoro::Task<> openIdleConnections();
  QCoro::Task<bool> waitForLease(TimePoint Deadline);
  QCoro::Task<std::optional<Refusal>>
  waitUntilFresh(const ExecuteRequest &Request);
  /// Queues \p Request and waits until it may start.
  QCoro::Task<std::optional<Refusal>> admit(const ExecuteRequest &Request,
                                            WorkId Id);
  /// Returns the connection of the stream's open transaction, an idle one or a
  /// new one. Waits for one if the limit is reached.
  QCoro::Task<std::variant<Conn, Refusal>>
  acquireConnection(const ExecuteRequest &Request);
  QCoro::Task<std::variant<Conn, Refusal>> openConnection(TimePoint Deadline);
  /// Checks with an empty query whether the server still answers on \p C.
  QCoro::Task<bool> validate(ServerConnection &C);
  QCoro::Task<StatementResult> runOnConnection(Conn C, ExecuteRequest &Request,
                                               AnswerSink &Sink, WorkId Id);
  QCoro::Task<std::optional<Refusal>>
  readAnswer(ServerConnection &C, RunningStatement &Statement, Answer &A,
             const ExecuteRequest &Request, AnswerSink &Sink);
  /// Adds the frame \p F to \p A. Returns a refusal if the answer cannot be
  /// used.
  std::optional<Refusal> processFrame(const pg::Frame &F, ServerConnection &C,
                                      Answer &A);
  /// Waits for confirmation if the answer needs it, and delivers the remaining
  /// frames.
  QCoro::Task<StatementResult> finishAnswer(Answer &A, LogPosition Position,
                                            const ExecuteRequest &Request,
                                            AnswerSink &Sink);

  /// Returns a refusal if \p Request cannot be run in the present state.
  std::optional<Refusal>
  checkPreconditions(const ExecuteRequest &Request) const;
  bool isFreshEnough(const ExecuteRequest &Request, TimePoint Now) const;
  bool isPrimary() const;
  /// Starts the queued statements for which a slot is free.
  void dispatch();
  void finishWork(WorkId Id);
  /// Stores a connection that a statement no longer uses as idle or for the
  /// open transaction; closes it if it cannot be used again.
  void releaseConnection(Conn C, const ExecuteRequest &Request,
                         TransactionState State);
  void closeConnection(Conn C);
  void closeIdleConnections();
  void closeTransactionConnections();
  /// Returns whether a transaction is open or a statement is running.
  bool hasWork() const;
  void cancelRunning(const ServerConnection &C);

  ServerOwnerSetup Setup;
  std::unique_ptr<Admission> Queue;
  std::unique_ptr<BackendServer> Control;
  Confirmations &Durable;
  ViewTable &Views;

  TaskGroup Tasks;
  std::map<WorkId, QueuedStatement *> QueuedStatements;
  std::map<StreamId, RunningStatement *> RunningStatements;
  /// Connections of open transactions.
  std::map<StreamId, Conn> TransactionConnections;
  std::vector<Conn> IdleConnections;
  TaskCondition
      ConnectionFreed; ///< Also notified when a connection was closed.
  TaskCondition LeaseChanged;
  TaskCondition StopRequested;
  TimePoint LeaseUntil{};   ///< End of the lease, less the safety margin.
  LogPosition LastPosition; ///< Highest position that the server reported.
  std::size_t OpenConnections = 0;
  WorkId NextWorkId = 1;
  bool Stopping = false;
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_ROOT_BACKENDS_SERVEROWNER_H
