// A work or control connection to a backend server, without its wire.
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

/// The answer to a status call: a report, or why there is none.
using StatusAnswer = std::variant<ServerReport, Answer>;

/// One connection, used by one task at a time.
///
/// Every call sends one message and waits for its answer. It fails if the
/// connection is lost or \p Deadline passes first; the message may then have
/// had its effect, and the link is of no further use: isUsable() is false.
class ServerLink {
public:
  virtual ~ServerLink() = default;

  /// Runs a caller's statement.
  /// \param Floor of a read or of a transaction that begins, or nothing.
  /// \param PreparedName name on this connection, for Execute.
  virtual QCoro::Task<Result<Answer>> run(Statement S,
                                          std::optional<LogPosition> Floor,
                                          std::string PreparedName,
                                          TimePoint Deadline) = 0;
  /// Rolls back what a caller left open.
  virtual QCoro::Task<Result<Answer>> rollback(TimePoint Deadline) = 0;
  virtual QCoro::Task<Result<Answer>> set(std::string Name, std::string Value,
                                          TimePoint Deadline) = 0;
  virtual QCoro::Task<Result<Answer>> prepare(std::string Name, Access Mode,
                                              std::string Shape,
                                              TimePoint Deadline) = 0;
  /// Clears settings and prepared statements of the connection.
  virtual QCoro::Task<Result<Answer>> reset(TimePoint Deadline) = 0;

  virtual QCoro::Task<Result<StatusAnswer>> status(TimePoint Deadline) = 0;
  /// Makes a replica take nothing from primaries of terms below \p T.
  virtual QCoro::Task<Result<StatusAnswer>> pause(Term T,
                                                  TimePoint Deadline) = 0;
  /// Lets a paused replica receive again.
  virtual QCoro::Task<Result<StatusAnswer>> resume(TimePoint Deadline) = 0;
  /// Makes a primary of a term below \p T a replica.
  virtual QCoro::Task<Result<StatusAnswer>> stepDown(Term T,
                                                     TimePoint Deadline) = 0;

  /// Returns whether the connection is open and no answer is outstanding.
  virtual bool isUsable() const = 0;

  /// Ends the connection; a call that waits fails at once.
  virtual void abort() = 0;
};

/// Why a connection was not opened.
struct OpenFailure {
  bool Reached = false;           ///< The server accepted the connection.
  std::optional<AnswerCode> Code; ///< What it answered, if it did.
  std::string Detail;
};

using OpenedLink = std::variant<std::unique_ptr<ServerLink>, OpenFailure>;

/// Opens connections to backend servers.
class ServerConnector {
public:
  virtual ~ServerConnector() = default;

  /// Opens a connection to \p Server, which refuses if it is another one.
  virtual QCoro::Task<OpenedLink> open(RegisteredServer Server,
                                       TimePoint Deadline) = 0;
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_ROOT_GROUPS_SERVERLINK_H
