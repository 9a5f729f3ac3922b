#include "testing/PgClient.h"

#include <libpq-fe.h>
#include <poll.h>

#include <algorithm>

namespace amaranthspur {
namespace {

TimePoint now() { return SteadyClock().now(); }

/// Waits until the socket is ready. Returns false if \p Deadline passes first.
bool waitForSocket(PGconn *Handle, short Events, TimePoint Deadline) {
  const Duration Left = std::max(Deadline - now(), Duration::zero());
  pollfd Wait = {PQsocket(Handle), Events, 0};
  const auto Timeout = std::chrono::ceil<milliseconds>(Left).count();
  return poll(&Wait, 1, static_cast<int>(Timeout)) > 0;
}

std::string toString(const char *Text) { return Text == nullptr ? "" : Text; }

/// Escapes a value for the start-up parameter `options`.
std::string escapeOption(const std::string &Value) {
  std::string Escaped;
  for (const char C : Value) {
    if (C == ' ' || C == '\\')
      Escaped += '\\';
    Escaped += C;
  }
  return Escaped;
}

PgAnswer toAnswer(PGresult *Raw) {
  PgAnswer Answer;
  Answer.Tag = toString(PQcmdStatus(Raw));
  const ExecStatusType Status = PQresultStatus(Raw);
  if (Status == PGRES_FATAL_ERROR || Status == PGRES_BAD_RESPONSE) {
    Answer.SqlState = toString(PQresultErrorField(Raw, PG_DIAG_SQLSTATE));
    Answer.Message = toString(PQresultErrorMessage(Raw));
    if (Answer.SqlState.empty())
      Answer.SqlState = "08006";
    return Answer;
  }
  for (int Column = 0; Column < PQnfields(Raw); ++Column)
    Answer.Columns.push_back(toString(PQfname(Raw, Column)));
  for (int Row = 0; Row < PQntuples(Raw); ++Row) {
    auto &Values = Answer.Rows.emplace_back();
    for (int Column = 0; Column < PQnfields(Raw); ++Column)
      if (PQgetisnull(Raw, Row, Column) != 0)
        Values.emplace_back();
      else
        Values.emplace_back(std::string(
            PQgetvalue(Raw, Row, Column),
            static_cast<std::size_t>(PQgetlength(Raw, Row, Column))));
  }
  return Answer;
}

std::vector<const char *>
toPointers(const std::vector<std::optional<std::string>> &Values) {
  std::vector<const char *> Pointers;
  Pointers.reserve(Values.size());
  for (const auto &Value : Values)
    Pointers.push_back(Value ? Value->c_str() : nullptr);
  return Pointers;
}

} // namespace

std::string PgAnswer::value(const std::string &Column) const {
  const auto Found =
      std::find(this->Columns.begin(), this->Columns.end(), Column);
  if (Found == this->Columns.end() || this->Rows.empty())
    return {};
  const auto Index = static_cast<std::size_t>(Found - this->Columns.begin());
  return this->Rows.front()[Index].value_or("");
}

std::string PgAnswer::value() const {
  if (this->Rows.empty() || this->Rows.front().empty())
    return {};
  return this->Rows.front().front().value_or("");
}

void PgClient::Finish::operator()(pg_conn *Handle) const { PQfinish(Handle); }

Result<PgClient> PgClient::connect(const PgTarget &Target) {
  // libpq cannot send custom start-up parameters, but it passes
  // `-c name=value` in the parameter `options`.
  std::string Options;
  for (const auto &[Name, Value] : Target.Parameters)
    Options += "-c " + Name + "=" + escapeOption(Value) + " ";
  const std::string Port = std::to_string(Target.Port);
  const char *Names[] = {"hostaddr", "port",    "user",       "dbname",
                         "options",  "sslmode", "gssencmode", nullptr};
  const char *Values[] = {Target.Host.c_str(), Port.c_str(),
                          Target.User.c_str(), Target.Database.c_str(),
                          Options.c_str(),     "disable",
                          "disable",           nullptr};
  PgClient Client(PQconnectStartParams(Names, Values, 0));
  PGconn *Handle = Client.Handle.get();
  const TimePoint Deadline = now() + Target.ConnectTimeout;
  PostgresPollingStatusType Next = PGRES_POLLING_WRITING;
  while (PQstatus(Handle) != CONNECTION_BAD && Next != PGRES_POLLING_OK) {
    const short Events = Next == PGRES_POLLING_READING ? POLLIN : POLLOUT;
    if (!waitForSocket(Handle, Events, Deadline))
      return Error{"timed out opening the connection"};
    Next = PQconnectPoll(Handle);
    if (Next == PGRES_POLLING_FAILED)
      break;
  }
  if (PQstatus(Handle) != CONNECTION_OK)
    return Error{toString(PQerrorMessage(Handle))};
  return Client;
}

PgAnswer PgClient::connectionFailure() const {
  PgAnswer Answer;
  Answer.SqlState = "08006";
  Answer.Message = toString(PQerrorMessage(this->Handle.get()));
  return Answer;
}

PgAnswer PgClient::query(const std::string &Sql, Duration Limit) {
  if (!this->send(Sql))
    return this->connectionFailure();
  return this->receive(Limit);
}

PgAnswer PgClient::query(const std::string &Sql,
                         const std::vector<std::optional<std::string>> &Values,
                         Duration Limit) {
  if (PQsendQueryParams(this->Handle.get(), Sql.c_str(),
                        static_cast<int>(Values.size()), nullptr,
                        toPointers(Values).data(), nullptr, nullptr, 0) == 0)
    return this->connectionFailure();
  return this->receive(Limit);
}

PgAnswer PgClient::prepare(const std::string &Name, const std::string &Sql,
                           Duration Limit) {
  if (PQsendPrepare(this->Handle.get(), Name.c_str(), Sql.c_str(), 0,
                    nullptr) == 0)
    return this->connectionFailure();
  return this->receive(Limit);
}

PgAnswer
PgClient::execute(const std::string &Name,
                  const std::vector<std::optional<std::string>> &Values,
                  Duration Limit) {
  if (PQsendQueryPrepared(this->Handle.get(), Name.c_str(),
                          static_cast<int>(Values.size()),
                          toPointers(Values).data(), nullptr, nullptr, 0) == 0)
    return this->connectionFailure();
  return this->receive(Limit);
}

bool PgClient::send(const std::string &Sql) {
  return PQsendQuery(this->Handle.get(), Sql.c_str()) != 0;
}

PgAnswer PgClient::receive(Duration Limit) {
  const TimePoint Deadline = now() + Limit;
  PGconn *Connection = this->Handle.get();
  std::optional<PgAnswer> Last;
  for (;;) {
    while (PQisBusy(Connection) != 0) {
      if (!waitForSocket(Connection, POLLIN, Deadline))
        return this->connectionFailure();
      if (PQconsumeInput(Connection) == 0)
        return Last && !Last->good() ? *Last : this->connectionFailure();
    }
    PGresult *Raw = PQgetResult(Connection);
    if (Raw == nullptr)
      break;
    if (!Last || Last->good())
      Last = toAnswer(Raw);
    PQclear(Raw);
  }
  return Last ? *Last : this->connectionFailure();
}

bool PgClient::cancel() {
  PGcancel *Request = PQgetCancel(this->Handle.get());
  if (Request == nullptr)
    return false;
  char Message[256];
  const bool Sent = PQcancel(Request, Message, sizeof(Message)) != 0;
  PQfreeCancel(Request);
  return Sent;
}

std::string PgClient::parameter(const std::string &Name) const {
  return toString(PQparameterStatus(this->Handle.get(), Name.c_str()));
}

bool PgClient::open() const {
  return PQstatus(this->Handle.get()) == CONNECTION_OK;
}

char PgClient::transaction() const {
  switch (PQtransactionStatus(this->Handle.get())) {
  case PQTRANS_IDLE:
    return 'I';
  case PQTRANS_INTRANS:
    return 'T';
  case PQTRANS_INERROR:
    return 'E';
  default:
    return '?';
  }
}

} // namespace amaranthspur
