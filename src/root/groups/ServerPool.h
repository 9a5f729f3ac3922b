// The pool of connections from this entry VM to one backend server.
//
// Connections are opened on demand and closed when they have been idle for too
// long. All entry VMs share the server's connection limit, so
// policy/ConnectionShare.h decides how many connections this pool may have.
// Settings and prepared statements stay on a connection after its use; the next
// session that acquires it replaces them by its own (see applySessionState).
#ifndef AMARANTHSPUR_ROOT_GROUPS_SERVERPOOL_H
#define AMARANTHSPUR_ROOT_GROUPS_SERVERPOOL_H

#include "core/Async.h"
#include "policy/ConnectionShare.h"
#include "policy/WaitingTurns.h"
#include "root/groups/ServerLink.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace amaranthspur {

/// A statement that a session has prepared.
struct PreparedStatement {
  Access Mode = Access::Read;
  std::string Shape;

  auto operator<=>(const PreparedStatement &) const = default;
};

/// Settings of a session by name.
using SessionSettingValues = std::map<std::string, std::string>;

/// What a task needs of a connection.
struct LinkRequest {
  /// The workspace that the connection must be for; empty for none. Nothing:
  /// any connection will do, for statements of the proxy itself.
  std::optional<WorkspaceName> For;
  SessionSettingValues Values; ///< Preferred settings.
  unsigned Urgency = 0;        ///< 0 is the most urgent.
  /// When the task must go on, even if that is before MinOpenWait is over.
  TimePoint LatestEnd = NoDeadline;
};

/// A connection with its settings and prepared statements.
struct PooledLink {
  std::unique_ptr<ServerLink> Link;
  WorkspaceName For; ///< It runs the statements of this workspace only.
  SessionSettingValues Values;
  std::set<std::string> Prepared; ///< By preparedStatementName().
  TimePoint IdleSince{};
  /// Whether a statement of the proxy itself uses it. It then returns to its
  /// place among the idle ones, as if it had not been used.
  bool IsBorrowed = false;
};

/// Returns the name under which \p Statement is prepared on every connection.
/// Sessions that prepare the same statement use the same name.
std::string preparedStatementName(const PreparedStatement &Statement);

/// Applies the settings \p Values to \p Link and prepares \p Needed on it.
/// Only what differs is sent. Settings that the session does not have are
/// cleared by a reset of the connection.
/// \returns nothing on success. After an error the caller must drop the link.
QCoro::Task<std::optional<Error>>
applySessionState(PooledLink &Link, SessionSettingValues Values,
                  std::optional<PreparedStatement> Needed, TimePoint Deadline);

/// The result of acquiring a connection.
using AcquiredLink = std::variant<std::unique_ptr<PooledLink>, OpenFailure>;

/// Connections to one server.
///
/// Invariants: a connection is opened only while the number that are open or
/// being opened is below the pool's share. Waiting tasks are served by urgency,
/// then in turn among the workspaces, then in order of arrival. A connection
/// runs the statements of one workspace from its opening to its end.
///
/// A connection that is being opened belongs to the pool, not to the task that
/// asked for it: if that task gives up, the connection is kept for the next
/// one. The slot time of the server that the opening takes is then not lost.
/// The pool must therefore be owned by a shared pointer.
class ServerPool : public std::enable_shared_from_this<ServerPool> {
public:
  /// Timeout for opening a connection. It costs 12 ms of a server slot, which
  /// may have to wait behind a full queue.
  static constexpr Duration OpenTimeout = milliseconds(800);
  /// Least time that a task waits for the connection that is opened for it,
  /// even if its own deadline is sooner, unless LinkRequest::LatestEnd is.
  /// Opening one in another region takes three round trips of 16 ms and 12 ms
  /// of a server slot. If the task gave up sooner, a healthy server would be
  /// taken for an unreachable one.
  static constexpr Duration MinOpenWait = milliseconds(80);
  /// The pool counts as active if a connection was acquired within this time.
  /// Statements take 28 ms on average and seldom more than 100 ms.
  static constexpr Duration ActiveWindow = milliseconds(150);

  /// \param Connector must outlive the pool.
  ServerPool(ServerConnector &Connector, RegisteredServer Server)
      : Connector(Connector), Server(std::move(Server)) {}

  /// Returns the server as it was registered when the pool was created.
  const RegisteredServer &server() const { return this->Server; }
  ConnectionShare &share() { return this->Share; }

  /// Acquires an idle connection of the workspace, preferably one with the same
  /// settings, or opens one. If the share allows none more, the idle connection
  /// of another workspace that was unused for longest is closed for it. Waits
  /// while the pool's whole share is in use.
  QCoro::Task<AcquiredLink> acquire(LinkRequest Wanted, TimePoint Deadline);

  /// Waits until no connection is being opened.
  QCoro::Task<> finishOpening() {
    co_await this->OpeningTasks.waitUntilEmpty();
  }

  /// Returns a connection to the pool. It is closed if it is unusable or beyond
  /// the share.
  void release(std::unique_ptr<PooledLink> Link);

  /// Closes unusable connections, those that were idle for too long, and at a
  /// home those beyond the share.
  void closeIdle(TimePoint Now);

  /// Returns whether a connection was acquired recently, so that a waiting task
  /// is likely to get one soon.
  bool isActive(TimePoint Now) const {
    return Now - this->LastAcquired < ActiveWindow;
  }

  /// Returns when the next idle connection is due to be closed.
  TimePoint nextClose(TimePoint Now) const;

  /// Returns whether a connection of workspace \p For is idle.
  bool hasIdle(const WorkspaceName &For) const;

  /// Returns how many connections are open or being opened.
  std::size_t open() const { return this->InUse + this->Idle.size(); }

private:
  /// A connection that is being opened and the task that waits for it.
  struct Opening {
    std::optional<AcquiredLink> Result;
    WaitPoint Finished;
    bool Abandoned = false; ///< The task has given up.
  };

  /// Opens a connection and hands it to the waiting task, or keeps it as an
  /// idle one if the task has given up.
  QCoro::Task<> openLink(WorkspaceName For, std::shared_ptr<Opening> Asked);

  /// Waits until \p Self is first in line and a connection is available.
  /// \returns an idle connection, null if one may be opened, or nothing if
  /// \p Deadline passes first.
  QCoro::Task<std::optional<std::unique_ptr<PooledLink>>>
  waitForTurn(LinkRequest Wanted, WaitingTurn Self, TimePoint Deadline);
  Duration idleTimeout(const PooledLink &Link, TimePoint Now) const;
  std::unique_ptr<PooledLink> takeIdle(const LinkRequest &Wanted);
  /// Takes an idle connection for a statement of the proxy itself: not one that
  /// a workspace is likely to need next.
  std::unique_ptr<PooledLink> borrowIdle();
  /// Returns whether a connection may be opened. Closes an idle one first if
  /// that is needed.
  bool makeRoom();

  ServerConnector &Connector;
  RegisteredServer Server;
  ConnectionShare Share;
  std::size_t InUse = 0; ///< Acquired or being opened.
  std::vector<std::unique_ptr<PooledLink>> Idle;
  WaitingTurns Waiting;
  TimePoint LastAcquired{};
  TaskCondition Released;
  TaskGroup OpeningTasks;
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_ROOT_GROUPS_SERVERPOOL_H
