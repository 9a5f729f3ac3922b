#include "bench/CallerConnection.h"

#include "bench/Failure.h"
#include <algorithm>
#include <utility>

namespace amaranthspur::bench {
namespace {

constexpr std::string_view TokenParameter = "amaranthspur.session";

/// Returns the column names of a RowDescription. Each column is a
/// zero-terminated name and 18 bytes of type information.
std::vector<std::string> columnNames(std::string_view Body) {
  constexpr std::size_t CountBytes = 2;
  constexpr std::size_t TypeBytes = 18;
  std::vector<std::string> Names;
  Body.remove_prefix(std::min(CountBytes, Body.size()));
  while (!Body.empty()) {
    const std::size_t End = Body.find('\0');
    if (End == std::string_view::npos || Body.size() < End + 1 + TypeBytes)
      break;
    Names.emplace_back(Body.substr(0, End));
    Body.remove_prefix(End + 1 + TypeBytes);
  }
  return Names;
}

} // namespace

QCoro::Task<Result<std::unique_ptr<CallerConnection>>>
CallerConnection::open(Address To, std::string BindHost,
                       std::map<std::string, std::string> Parameters,
                       TimePoint Deadline) {
  std::unique_ptr<Connection> Conn = co_await Connection::open(
      To, pg::MaxServerFrameBytes, Deadline, std::move(BindHost));
  if (!Conn)
    co_return makeError("cannot connect to " + To.str());
  Conn->write(pg::buildStartup(Parameters));
  std::unique_ptr<CallerConnection> Client(
      new CallerConnection(std::move(Conn)));
  const Answer Greeting = co_await Client->receive(Deadline);
  if (Greeting.End == AnswerEnd::Refused)
    co_return makeError(To.str() +
                        " refused the session: " + Greeting.Refusal.SqlState +
                        " " + Greeting.Refusal.Message);
  if (Greeting.End != AnswerEnd::Complete)
    co_return makeError(To.str() + " did not complete the start-up: " +
                        std::string(nameOf(Greeting.End)));
  co_return std::move(Client);
}

QCoro::Task<Answer> CallerConnection::query(std::string Sql,
                                            TimePoint Deadline) {
  this->Conn->write(pg::buildQuery(Sql));
  Answer Received = co_await this->receive(Deadline);
  co_return Received;
}

QCoro::Task<Answer> CallerConnection::receive(TimePoint Deadline) {
  Answer Received;
  for (;;) {
    const auto Next = this->Conn->reader().next();
    if (!succeeded(Next))
      break;
    if (valueOf(Next)) {
      if (this->handleFrame(*valueOf(Next), Received))
        co_return Received;
      continue;
    }
    const ReadEvent Event = co_await this->Conn->waitReadable(Deadline);
    if (Event == ReadEvent::Data)
      continue;
    if (Event == ReadEvent::TimedOut)
      Received.End = AnswerEnd::TimedOut;
    break;
  }
  this->Broken = true;
  co_return Received;
}

bool CallerConnection::handleFrame(const pg::Frame &F, Answer &Into) {
  switch (F.Type) {
  case 'S': {
    const auto Status = pg::parseParameterStatus(F.Body);
    if (succeeded(Status) && valueOf(Status).Name == TokenParameter)
      this->Token = valueOf(Status).Value;
    return false;
  }
  case 'T':
    Into.Columns = columnNames(F.Body);
    return false;
  case 'D': {
    auto Row = pg::parseDataRow(F.Body);
    if (succeeded(Row))
      Into.Rows.push_back(valueOf(std::move(Row)));
    return false;
  }
  case 'C':
    Into.Tag = F.Body.substr(0, F.Body.find('\0'));
    return false;
  case 'E':
    if (Into.End != AnswerEnd::Refused)
      Into.Refusal = pg::parseError(F.Body);
    Into.End = AnswerEnd::Refused;
    return false;
  case 'Z': {
    const auto State = pg::parseReadyForQuery(F.Body);
    if (succeeded(State))
      Into.State = valueOf(State);
    if (Into.End != AnswerEnd::Refused)
      Into.End = AnswerEnd::Complete;
    return true;
  }
  default:
    return false;
  }
}

} // namespace amaranthspur::bench
