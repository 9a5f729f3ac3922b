// Runs statements on the servers of a group: chooses a server, acquires a
// connection, sends the statement, and retries it where a retry cannot apply a
// write twice.
#ifndef AMARANTHSPUR_ROOT_SESSIONS_STATEMENTRUNNER_H
#define AMARANTHSPUR_ROOT_SESSIONS_STATEMENTRUNNER_H

#include "policy/RouteChoice.h"
#include "policy/Statement.h"
#include "root/groups/Group.h"
#include "root/sessions/ForwardedStatement.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace amaranthspur {

/// Owns a connection acquired from a pool and releases it on destruction.
class LinkLease {
public:
  LinkLease() = default;
  LinkLease(ServerId Server, std::shared_ptr<ServerPool> Pool,
            std::unique_ptr<PooledLink> Link)
      : Server(std::move(Server)), Pool(std::move(Pool)),
        Link(std::move(Link)) {}
  LinkLease(LinkLease &&) = default;
  LinkLease &operator=(LinkLease &&Other) noexcept {
    this->release();
    this->Server = std::move(Other.Server);
    this->Pool = std::move(Other.Pool);
    this->Link = std::move(Other.Link);
    return *this;
  }
  ~LinkLease() { this->release(); }

  explicit operator bool() const { return this->Link != nullptr; }
  PooledLink &operator*() const { return *this->Link; }
  ServerLink &link() const { return *this->Link->Link; }
  const ServerId &server() const { return this->Server; }

  /// Closes the connection, which rolls an open transaction back.
  void drop() {
    if (this->Link)
      this->Link->Link->abort();
    this->release();
  }
  void release() {
    if (this->Link)
      this->Pool->release(std::move(this->Link));
  }

private:
  ServerId Server;
  std::shared_ptr<ServerPool> Pool;
  std::unique_ptr<PooledLink> Link;
};

/// The state of one statement, or of the start of one transaction, while it is
/// being run.
struct StatementContext {
  std::shared_ptr<Group> ServerGroup;
  DatabaseRoute Route;
  WorkspaceName Workspace; ///< Of the caller; empty for none.
  SessionSettingValues Values;
  std::optional<PreparedStatement> Prepared; ///< For Execute.
  std::optional<LogPosition> SessionFloor;   ///< Of the session's last commit.
  TimePoint Arrived;     ///< Steady clock, like the deadlines below.
  TimePoint ArrivedBoot; ///< Boot clock (core/BootClock.h).
  TimePoint DispatchBy; ///< The statement is refused if not dispatched by then.
  TimePoint QueuedDispatchBy; ///< Replaces DispatchBy while the pool is active.
  TimePoint Deadline;         ///< Of the answer.
  std::function<bool()> CallerPresent; ///< Whether the caller is connected.
  StatementForwarding *Forwarding = nullptr; ///< Null: all is run here.

  // What has happened to the statement, also for its log line.
  std::uint64_t Transaction = 0; ///< Number in the session; 0 outside one.
  unsigned Attempts = 0;
  bool MayHaveRun = false; ///< A forwarder was asked and gave no answer.
  bool Dispatched = false; ///< Sent to a server that could have run it.
  ServerId LastServer;
  EntryVmId Forwarder; ///< That ran it; empty: run here.
  ServerId
      Holder; ///< Of a commit, besides the primary (policy/CommitHolders.h).
  std::optional<LogPosition> Floor;
  std::string Trail; ///< The server and the result of each failed attempt.
};

/// Subtracted from a route's time limits so that the answer reaches the caller
/// in time. It allows for the network latency to the caller (up to 3 ms) and
/// for a timer that fires late.
inline constexpr Duration AnswerMargin = milliseconds(20);
/// The latency objective divided by this is the time within which a statement
/// is either sent to a server that can run it or refused. A caller that is
/// refused early still has time to try another entry VM.
inline constexpr int DispatchDivisor = 4;
/// Replaces DispatchDivisor for a statement that waits for a connection of an
/// active pool, because it is then likely to be answered within the objective.
inline constexpr int QueuedDispatchDivisor = 2;
/// Subtracted from a staleness bound. It allows for the delay between the
/// arrival of a message and the reading of the clock that records it.
inline constexpr Duration StalenessMargin = milliseconds(20);
/// The delay after which a refused caller is told to retry. A takeover
/// lasts 1.5 to 2 s, part of which has passed by the time of the refusal.
inline constexpr Duration RetryAfter = milliseconds(250);

/// Returns the refusal of a statement that has not run.
Answer refuseNotRun(const std::string &Why,
                    TransactionState State = TransactionState::Idle,
                    Duration After = RetryAfter);

/// Returns the time at which the floor of a read of \p Route counts: it must
/// cover the commits acknowledged before.
/// \param Arrived boot clock; when the read arrived.
inline TimePoint floorTime(const DatabaseRoute &Route, TimePoint Arrived) {
  return Arrived - Route.MaxStaleness + StalenessMargin;
}

/// Returns which servers may run a read of \p E, by the route's consistency and
/// the known floor.
ReadConstraint readConstraintFor(const StatementContext &E);

/// Does the same after a short wait for the relay's evidence, if the read needs
/// a floor and none is known yet.
QCoro::Task<ReadConstraint> awaitReadConstraint(StatementContext &E);

/// Decides what a caller is told of the commit that \p Primary acknowledged
/// with \p A: success if no takeover can lose it as far as is known, otherwise
/// that the outcome is unknown. Waits for the evidence by E.Deadline.
/// \param SentAt boot clock; when the write or COMMIT was sent.
QCoro::Task<Answer> confirmCommit(Answer A, BelievedPrimary Primary,
                                  TimePoint SentAt, StatementContext &E);

/// Runs a read outside a transaction.
QCoro::Task<Answer> runRead(Statement S, StatementContext &E);

/// Runs a read here, whatever E.Forwarding says.
/// \param Constraint which servers may run it.
QCoro::Task<Answer> runReadHere(Statement S, StatementContext &E,
                                ReadConstraint Constraint);

/// Runs a write outside a transaction. It is sent again only after a server or
/// the home has answered that it did not run the write.
QCoro::Task<Answer> runWrite(Statement S, StatementContext &E);

/// Runs a write here, whatever E.Forwarding says.
QCoro::Task<Answer> runWriteHere(Statement S, StatementContext &E);

/// A transaction that has begun on a connection.
struct OpenTransaction {
  LinkLease Link;
  Term LeaderTerm = 0; ///< Of the primary; 0 if it runs on a replica.
  /// Whether its reads are answered only with a proof that the primary still
  /// led when the transaction arrived.
  bool NeedsProof = false;
};

/// Begins a transaction on a server that meets \p Constraint.
/// \param Begin the caller's BEGIN statement.
/// \returns the transaction, or the refusal if no server could begin it.
QCoro::Task<std::variant<OpenTransaction, Answer>>
beginTransaction(Statement Begin, ReadConstraint Constraint,
                 StatementContext &E);

} // namespace amaranthspur

#endif // AMARANTHSPUR_ROOT_SESSIONS_STATEMENTRUNNER_H
