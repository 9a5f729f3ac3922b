#include "bench/ServerProbe.h"

#include "bench/CallerConnection.h"
#include "bench/Failure.h"
#include "bench/LoadClient.h"

#include <charconv>

namespace amaranthspur::bench {
namespace {

std::uint64_t parseNumber(const std::string &Text) {
  std::uint64_t Value = 0;
  std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  return Value;
}

std::map<std::string, std::string> probeParameters(const std::string &Service) {
  // This is not a control connection: a server has four of those, and the
  // daemon's watchers use them all.
  return {{"user", "bench"}, {"database", Service}};
}

Error queryError(const Address &At, const Answer &Reply) {
  return Error{At.str() + ": " + std::string(nameOf(Reply.End)) + " " +
               Reply.Refusal.SqlState + " " + Reply.Refusal.Message};
}

} // namespace

QCoro::Task<Result<std::map<std::string, std::string>>>
queryRow(Address At, std::string Service, std::string Sql, TimePoint Deadline) {
  using Row = std::map<std::string, std::string>;
  auto Opened = co_await CallerConnection::open(
      At, {}, probeParameters(Service), Deadline);
  if (!succeeded(Opened))
    co_return makeError(errorOf(Opened));
  const Answer Reply = co_await valueOf(Opened)->query(Sql, Deadline);
  if (Reply.End != AnswerEnd::Complete || Reply.Rows.empty())
    co_return queryError(At, Reply);
  Row Read;
  for (std::size_t I = 0; I < Reply.Columns.size(); ++I)
    Read[Reply.Columns[I]] = Reply.Rows.front()[I].value_or("");
  co_return std::move(Read);
}

QCoro::Task<Result<ServerReport>> queryStatus(Address At, std::string Service,
                                              TimePoint Deadline) {
  auto Row =
      co_await queryRow(At, Service, "SELECT * FROM group_status()", Deadline);
  if (!succeeded(Row))
    co_return makeError(errorOf(Row));
  auto &Columns = valueOf(Row);
  ServerReport Report;
  Report.Role =
      parseName<ServerRole>(Columns["role"]).value_or(ServerRole::Replica);
  Report.AdoptedTerm = parseNumber(Columns["adopted_term"]);
  Report.LogEnd = {parseNumber(Columns["log_term"]),
                   parseNumber(Columns["log_index"])};
  co_return Report;
}

QCoro::Task<Result<Success>> runStatements(Address At, std::string Service,
                                           std::vector<std::string> Statements,
                                           TimePoint Deadline) {
  auto Opened = co_await CallerConnection::open(
      At, {}, probeParameters(Service), Deadline);
  if (!succeeded(Opened))
    co_return makeError(errorOf(Opened));
  for (const std::string &Sql : Statements) {
    const Answer Reply = co_await valueOf(Opened)->query(Sql, Deadline);
    if (Reply.End != AnswerEnd::Complete)
      co_return queryError(At, Reply);
  }
  co_return makeSuccess();
}

QCoro::Task<Result<std::vector<FinalRow>>>
readFinalRows(Address At, std::string Service, TimePoint Deadline) {
  using Rows = std::vector<FinalRow>;
  auto Opened = co_await CallerConnection::open(
      At, {}, probeParameters(Service), Deadline);
  if (!succeeded(Opened))
    co_return makeError(errorOf(Opened));
  const Answer Reply =
      co_await valueOf(Opened)->query(FinalRowsStatement, Deadline);
  if (Reply.End != AnswerEnd::Complete)
    co_return queryError(At, Reply);
  Rows Read;
  Read.reserve(Reply.Rows.size());
  for (const auto &Row : Reply.Rows)
    if (Row.size() == 4)
      Read.push_back({Row[0].value_or(""), Row[1].value_or(""),
                      parseNumber(Row[2].value_or("")),
                      static_cast<unsigned>(parseNumber(Row[3].value_or("")))});
  co_return std::move(Read);
}

} // namespace amaranthspur::bench
