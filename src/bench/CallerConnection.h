// A caller's connection to an entry VM or directly to a backend server.
#ifndef AMARANTHSPUR_BENCH_CALLERCONNECTION_H
#define AMARANTHSPUR_BENCH_CALLERCONNECTION_H

#include "core/Async.h"
#include "core/Result.h"
#include "wire/Connection.h"

#include <QCoroTask>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace amaranthspur::bench {

/// The outcome of waiting for an answer.
enum class AnswerEnd {
  Complete, ///< ReadyForQuery arrived without an ErrorResponse before it.
  Refused,  ///< An ErrorResponse arrived.
  Closed,   ///< The connection closed before the answer was complete.
  TimedOut, ///< The deadline passed; the connection cannot be used again.
};

/// The server's answer to one statement.
struct Answer {
  AnswerEnd End = AnswerEnd::Closed;
  std::vector<std::vector<std::optional<std::string>>> Rows;
  std::vector<std::string> Columns; ///< Column names of the RowDescription.
  std::string Tag;                  ///< Of the last CommandComplete.
  pg::ErrorFields Refusal;          ///< Of the first ErrorResponse.
  TransactionState State = TransactionState::Idle;
};

/// An open connection that has completed its start-up exchange. It runs one
/// statement at a time.
class CallerConnection {
public:
  /// Connects and exchanges the start-up messages.
  /// \param BindHost numeric source address; empty if the system chooses.
  /// \param Parameters parameters of the start-up message.
  /// \returns the connection, or the server's refusal or the reason of the
  /// failure.
  static QCoro::Task<Result<std::unique_ptr<CallerConnection>>>
  open(Address To, std::string BindHost,
       std::map<std::string, std::string> Parameters, TimePoint Deadline);

  /// Sends \p Sql as a simple query and waits for ReadyForQuery.
  QCoro::Task<Answer> query(std::string Sql, TimePoint Deadline);

  /// Returns the latest session token that the entry VM sent, or an empty
  /// string.
  const std::string &token() const { return this->Token; }

  /// Returns whether another statement can be sent.
  bool usable() const { return !this->Broken && this->Conn->isOpen(); }

  void close() { this->Conn->close(); }

private:
  explicit CallerConnection(std::unique_ptr<Connection> Conn)
      : Conn(std::move(Conn)) {}

  QCoro::Task<Answer> receive(TimePoint Deadline);
  /// Adds the content of one frame to \p Into and returns whether the answer is
  /// complete.
  bool handleFrame(const pg::Frame &F, Answer &Into);

  std::unique_ptr<Connection> Conn;
  std::string Token;
  bool Broken = false;
};

} // namespace amaranthspur::bench

namespace amaranthspur {

template <> struct EnumNames<bench::AnswerEnd> {
  static constexpr auto Entries =
      std::to_array<std::pair<bench::AnswerEnd, std::string_view>>(
          {{bench::AnswerEnd::Complete, "complete"},
           {bench::AnswerEnd::Refused, "refused"},
           {bench::AnswerEnd::Closed, "closed"},
           {bench::AnswerEnd::TimedOut, "timed-out"}});
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_BENCH_CALLERCONNECTION_H
