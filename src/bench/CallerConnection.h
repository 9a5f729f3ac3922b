// One caller's connection to an entry VM, or straight to a backend server.
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

/// How the wait for an answer ended.
enum class AnswerEnd {
  Complete, ///< ReadyForQuery came, without an error before it.
  Refused,  ///< An ErrorResponse came.
  Closed,   ///< The connection closed before the answer was complete.
  TimedOut, ///< The deadline passed; the connection cannot be used further.
};

/// What came back for one statement.
struct Answer {
  AnswerEnd End = AnswerEnd::Closed;
  std::vector<std::vector<std::optional<std::string>>> Rows;
  std::vector<std::string> Columns; ///< Names of the row description.
  std::string Tag;                  ///< Of the last CommandComplete.
  pg::ErrorFields Refusal;          ///< Of the first ErrorResponse.
  TransactionState State = TransactionState::Idle;
};

/// A connection after its start-up exchange. One statement at a time.
class CallerConnection {
public:
  /// Connects and exchanges the start-up messages.
  /// \param BindHost numeric source address; empty: the system chooses.
  /// \param Parameters of the start-up message.
  /// \returns the connection, or the server's refusal or what failed.
  static QCoro::Task<Result<std::unique_ptr<CallerConnection>>>
  open(Address To, std::string BindHost,
       std::map<std::string, std::string> Parameters, TimePoint Deadline);

  /// Sends \p Sql as a simple query and waits for ReadyForQuery.
  QCoro::Task<Answer> query(std::string Sql, TimePoint Deadline);

  /// Returns the last session token that the entry VM sent; may be empty.
  const std::string &token() const { return this->Token; }

  /// Returns whether another statement can be sent.
  bool usable() const { return !this->Broken && this->Wire->isOpen(); }

  void close() { this->Wire->close(); }

private:
  explicit CallerConnection(std::unique_ptr<Connection> Wire)
      : Wire(std::move(Wire)) {}

  QCoro::Task<Answer> receive(TimePoint Deadline);
  /// Takes one frame into \p Into; returns whether the answer is complete.
  bool take(const pg::Frame &F, Answer &Into);

  std::unique_ptr<Connection> Wire;
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
