// Work connections of this entry VM to one backend server.
//
// Connections are opened when they are needed and kept while they are in use
// now and then. How many there may be is found by policy/ConnectionShare.h,
// since all entry VMs share the server's limit. Settings and prepared names
// stay on a connection after its use; whoever takes it next brings it to its
// own session (see prepareFor).
#ifndef AMARANTHSPUR_ROOT_GROUPS_SERVERPOOL_H
#define AMARANTHSPUR_ROOT_GROUPS_SERVERPOOL_H

#include "core/Async.h"
#include "policy/ConnectionShare.h"
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
using SessionValues = std::map<std::string, std::string>;

/// A connection and what is set on it.
struct PooledLink {
  std::unique_ptr<ServerLink> Link;
  SessionValues Values;
  std::set<std::string> Prepared; ///< Names, which derive from the statements.
  TimePoint IdleSince{};
};

/// Returns the name under which \p Statement is prepared on every connection.
/// Sessions that prepare the same thing share it.
std::string sharedName(const PreparedStatement &Statement);

/// Brings \p Link to the settings \p Values, with \p Needed prepared.
/// \returns nothing if that is so; otherwise the link is to be dropped.
QCoro::Task<std::optional<Error>>
prepareFor(PooledLink &Link, SessionValues Values,
           std::optional<PreparedStatement> Needed, TimePoint Deadline);

/// The result of taking a connection.
using TakenLink = std::variant<std::unique_ptr<PooledLink>, OpenFailure>;

/// Connections to one server.
///
/// Invariants: a connection is opened only while fewer are open or being opened
/// than the share allows; of the tasks that wait, the one with the most urgent
/// work is served first, and of equals the one that came first.
class ServerPool {
public:
  /// Time for opening a connection: 12 ms of a slot behind a full queue.
  static constexpr Duration OpenLimit = milliseconds(800);
  /// Connections are handed out if one was taken within this time; statements
  /// take 28 ms on average and seldom more than 100 ms.
  static constexpr Duration MovingFor = milliseconds(150);

  /// \param Connector outlives the pool.
  ServerPool(ServerConnector &Connector, RegisteredServer Server)
      : Connector(Connector), Server(std::move(Server)) {}

  /// Returns the server as it was registered when the pool was made.
  const RegisteredServer &server() const { return this->Server; }
  ConnectionShare &share() { return this->Share; }

  /// Takes an idle connection, preferably one with \p Values, or opens one;
  /// waits for one while the share is in use.
  /// \param Urgency of the work, 0 being the most urgent.
  QCoro::Task<TakenLink> take(SessionValues Values, unsigned Urgency,
                              TimePoint Deadline);

  /// Gives a connection back; one that is of no use is dropped.
  void giveBack(std::unique_ptr<PooledLink> Link);

  /// Closes connections that were idle for too long.
  void closeIdle(TimePoint Now);

  /// Returns whether a connection was taken lately, so that a task that waits
  /// for one is likely to get it.
  bool isMoving(TimePoint Now) const {
    return Now - this->LastTake < MovingFor;
  }

  /// Returns when the next idle connection is to be closed.
  TimePoint nextClose(TimePoint Now) const;

  std::size_t open() const { return this->InUse + this->Idle.size(); }

private:
  /// A task that waits for a connection.
  struct Waiter {
    unsigned Urgency = 0;
    std::uint64_t Number = 0; ///< Rises with each task.

    auto operator<=>(const Waiter &) const = default;
  };
  using Waiters = std::set<Waiter>;

  /// Waits until \p Self is first and a connection is idle (returned) or may be
  /// opened (null); returns nothing if \p Deadline passes first.
  QCoro::Task<std::optional<std::unique_ptr<PooledLink>>>
  waitForTurn(SessionValues Values, Waiter Self, TimePoint Deadline);
  Duration idleLimit(const PooledLink &Link, TimePoint Now) const;
  std::unique_ptr<PooledLink> takeIdle(const SessionValues &Values);

  ServerConnector &Connector;
  RegisteredServer Server;
  ConnectionShare Share;
  std::size_t InUse = 0; ///< Taken, or being opened.
  std::vector<std::unique_ptr<PooledLink>> Idle;
  Waiters Waiting;
  std::uint64_t LastWaiter = 0;
  TimePoint LastTake{};
  Signal GivenBack;
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_ROOT_GROUPS_SERVERPOOL_H
