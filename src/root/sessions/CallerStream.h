// The interface of a caller's connection, independent of the wire protocol.
#ifndef AMARANTHSPUR_ROOT_SESSIONS_CALLERSTREAM_H
#define AMARANTHSPUR_ROOT_SESSIONS_CALLERSTREAM_H

#include "core/Async.h"
#include "policy/Statement.h"

#include <QCoroTask>
#include <QTcpSocket>

#include <memory>
#include <string>
#include <variant>

namespace amaranthspur {

/// The caller asks for a session on a database.
struct SessionRequest {
  std::string Database;
  std::string Key; ///< Identifies the workspace; must not be logged.
};
/// The caller ends its session, or its connection is gone.
struct CallerDisconnected {};
/// The caller sent a message that cannot be decoded.
struct MalformedMessage {
  AnswerCode Code = AnswerCode::Malformed;
  std::string Why;
};
/// No message came by the deadline, or the wait was interrupted.
struct NoMessage {};

/// The result of waiting for a caller's message.
using CallerMessage =
    std::variant<SessionRequest, Statement, CallerDisconnected,
                 MalformedMessage, NoMessage>;

/// One caller's connection. It is used by one task.
class CallerStream {
public:
  virtual ~CallerStream() = default;

  /// Waits for the next message.
  virtual QCoro::Task<CallerMessage> receive(TimePoint Deadline) = 0;

  /// Tells the caller that its session is open.
  virtual void greet() = 0;
  /// Refuses the session. The caller of this function then calls finish().
  virtual void reject(AnswerCode Code, std::string Why) = 0;
  /// Answers a statement.
  virtual void send(const Answer &A) = 0;

  /// Waits until the caller has read enough of what was sent.
  /// \returns false if it has not done so by \p Deadline or has disconnected.
  virtual QCoro::Task<bool> flushed(TimePoint Deadline) = 0;

  /// Makes a pending or the next receive() return NoMessage.
  virtual void interrupt() = 0;
  /// Closes the connection after all pending output has been written. Returns
  /// when that is done or \p Deadline has passed.
  virtual QCoro::Task<> finish(TimePoint Deadline) = 0;
  /// Closes the connection at once.
  virtual void abort() = 0;
  virtual bool isOpen() const = 0;
};

/// Creates the stream of an accepted connection.
class CallerStreamFactory {
public:
  virtual ~CallerStreamFactory() = default;
  virtual std::unique_ptr<CallerStream> make(QTcpSocket *Accepted) = 0;
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_ROOT_SESSIONS_CALLERSTREAM_H
