// The interface of a connection to a backend server, independent of the wire
// protocol.
#ifndef AMARANTHSPUR_ROOT_GROUPS_SERVERLINK_H
#define AMARANTHSPUR_ROOT_GROUPS_SERVERLINK_H

#include "core/Clock.h"
#include "core/Result.h"
#include "policy/GroupBeliefs.h"
#include "policy/Statement.h"

#include <QCoroTask>

#include <memory>
#include <optional>
#include <string>
#include <variant>

namespace amaranthspur {

/// The answer to a status call: a report, or the answer that refuses it.
using StatusAnswer = std::variant<ServerReport, Answer>;

/// One connection, used by one task at a time.
///
/// Every call sends one message and waits for its answer. A call fails if the
/// connection is lost or \p Deadline passes first. The server may nevertheless
/// have carried out the message, and the link cannot be used again: isUsable()
/// returns false.
class ServerLink {
public:
  virtual ~ServerLink() = default;

  /// Runs a caller's statement.
  /// \param Floor lowest log position at which the server may run a read or
  /// begin a transaction, or nothing.
  /// \param PreparedName name of the prepared statement on this connection, for
  /// Execute.
  virtual QCoro::Task<Result<Answer>> run(Statement S,
                                          std::optional<LogPosition> Floor,
                                          std::string PreparedName,
                                          TimePoint Deadline) = 0;
  /// Rolls back a transaction that a caller left open.
  virtual QCoro::Task<Result<Answer>> rollback(TimePoint Deadline) = 0;
  /// Sets a session setting on the connection.
  virtual QCoro::Task<Result<Answer>> set(std::string Name, std::string Value,
                                          TimePoint Deadline) = 0;
  /// Prepares the statement \p Shape under \p Name.
  virtual QCoro::Task<Result<Answer>> prepare(std::string Name, Access Mode,
                                              std::string Shape,
                                              TimePoint Deadline) = 0;
  /// Clears the settings and prepared statements of the connection.
  virtual QCoro::Task<Result<Answer>> reset(TimePoint Deadline) = 0;

  /// Requests a status report.
  virtual QCoro::Task<Result<StatusAnswer>> status(TimePoint Deadline) = 0;
  /// Makes a replica adopt term \p T, so that it accepts no log records from
  /// primaries of lower terms.
  virtual QCoro::Task<Result<StatusAnswer>> pause(Term T,
                                                  TimePoint Deadline) = 0;
  /// Lets a paused replica receive log records again.
  virtual QCoro::Task<Result<StatusAnswer>> resume(TimePoint Deadline) = 0;
  /// Turns a primary of a term below \p T into a replica.
  virtual QCoro::Task<Result<StatusAnswer>> stepDown(Term T,
                                                     TimePoint Deadline) = 0;

  /// Returns whether the connection is open and no answer is outstanding.
  virtual bool isUsable() const = 0;

  /// Closes the connection at once; a pending call fails.
  virtual void abort() = 0;
};

/// Why a connection was not opened.
struct OpenFailure {
  bool Reached = false;           ///< The server accepted the connection.
  std::optional<AnswerCode> Code; ///< The server's answer, if it sent one.
  std::string Detail;
  /// The task had no time left to wait, which says nothing about the server.
  bool GivenUp = false;
};

/// The result of opening a connection.
using OpenedLink = std::variant<std::unique_ptr<ServerLink>, OpenFailure>;

/// Opens connections to backend servers.
class ServerConnector {
public:
  virtual ~ServerConnector() = default;

  /// Opens a connection to \p Server. The server at that address refuses the
  /// connection if it is not the one that was registered.
  /// \param For the workspace whose statements the connection runs; empty for
  /// none.
  virtual QCoro::Task<OpenedLink>
  open(RegisteredServer Server, WorkspaceName For, TimePoint Deadline) = 0;
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_ROOT_GROUPS_SERVERLINK_H
