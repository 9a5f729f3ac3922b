#include "root/backends/PgBackendServer.h"

#include <cassert>
#include <charconv>
#include <cmath>

namespace amaranthspur {
namespace {

/// Maximum length in bytes of a frame in the answer to a control statement.
constexpr std::size_t MaxControlFrameBytes = 64U << 10U;
/// Maximum queueing time that is accepted, so that the conversion of a wrong
/// value cannot overflow.
constexpr double MaxQueueMs = 3.6e6;

/// Returns the result of a successful call that has no value. A coroutine must
/// not return a std::monostate for this: QCoro 0.8 would mistake it for its own
/// empty state and throw when the task is awaited.
Result<Success> success() { return Success(); }

constexpr std::string_view StatusSql = "SELECT * FROM group_status()";

/// Returns \p Text as an SQL string literal.
std::string quoteLiteral(std::string_view Text) {
  std::string Out = "'";
  for (const char C : Text) {
    if (C == '\'')
      Out += '\'';
    Out += C;
  }
  Out += '\'';
  return Out;
}

/// Parses the columns of one row, one after the other. failed() returns whether
/// any of them was missing or malformed.
class RowReader {
public:
  explicit RowReader(const std::vector<std::optional<std::string>> &Columns)
      : Columns(Columns) {}

  std::string nextText() {
    if (this->NextColumn >= this->Columns.size()) {
      this->Failed = true;
      return {};
    }
    return this->Columns[this->NextColumn++].value_or("");
  }

  std::uint64_t nextNumber() {
    const std::string Text = this->nextText();
    std::uint64_t Value = 0;
    const auto [End, Status] =
        std::from_chars(Text.data(), Text.data() + Text.size(), Value);
    if (Status != std::errc() || End != Text.data() + Text.size())
      this->Failed = true;
    return Value;
  }

  Duration nextMilliseconds() {
    const std::string Text = this->nextText();
    double Value = 0;
    const auto [End, Status] =
        std::from_chars(Text.data(), Text.data() + Text.size(), Value);
    if (Status != std::errc() || End != Text.data() + Text.size() ||
        !std::isfinite(Value) || Value < 0 || Value > MaxQueueMs) {
      this->Failed = true;
      return {};
    }
    return Duration(static_cast<Duration::rep>(Value * 1000));
  }

  bool failed() const { return this->Failed; }

private:
  const std::vector<std::optional<std::string>> &Columns;
  std::size_t NextColumn = 0;
  bool Failed = false;
};

Result<ServerStatus>
parseStatus(const std::vector<std::optional<std::string>> &Columns) {
  RowReader Reader(Columns);
  ServerStatus Status;
  const std::string RoleText = Reader.nextText();
  const std::optional<ServerRole> Role = parseName<ServerRole>(RoleText);
  Status.AdoptedTerm = Reader.nextNumber();
  Status.LogEnd.TermNumber = Reader.nextNumber();
  Status.LogEnd.Index = Reader.nextNumber();
  Status.Primary = ServerId(Reader.nextText());
  Status.QueueTime = Reader.nextMilliseconds();
  Status.Running = static_cast<unsigned>(Reader.nextNumber());
  Status.Connections = static_cast<unsigned>(Reader.nextNumber());
  if (!Role || Reader.failed())
    return Error{"group_status() returned a malformed row"};
  Status.Role = *Role;
  return Status;
}

} // namespace

PgBackendServer::PgBackendServer(PgServerSettings Settings)
    : Settings(std::move(Settings)) {}

PgBackendServer::~PgBackendServer() {
  assert(!this->CallInProgress && "destroyed during a call");
}

void PgBackendServer::reset() {
  // abort() wakes a call in progress, and that call destroys the connection.
  if (this->CallInProgress && this->Conn)
    this->Conn->abort();
  else if (!this->CallInProgress)
    this->Conn.reset();
}

QCoro::Task<Result<PgBackendServer::Row>>
PgBackendServer::query(std::string Sql, TimePoint Deadline) {
  assert(!this->CallInProgress && "two calls at a time");
  this->CallInProgress = true;
  if (this->Conn && !this->Conn->isOpen())
    this->Conn.reset();
  std::string Bytes;
  if (!this->Conn) {
    this->Conn =
        co_await Connection::open(this->Settings.Endpoint, MaxControlFrameBytes,
                                  Deadline, this->Settings.BindHost);
    if (!this->Conn) {
      this->CallInProgress = false;
      co_return Error{"connection to " + this->Settings.Endpoint.str() +
                      " failed"};
    }
    Bytes = pg::buildStartup({{"user", this->Settings.User.str()},
                              {"database", "control"},
                              {"amaranthspur.role", "control"}});
    // The statement is sent together with the start-up message to save a round
    // trip. The first ReadyForQuery therefore ends the start-up phase.
    this->Conn->write(Bytes + pg::buildQuery(Sql));
    Result<Row> Started = co_await this->readAnswer(Deadline);
    if (!succeeded(Started)) {
      this->Conn.reset();
      this->CallInProgress = false;
      co_return Started;
    }
  } else {
    this->Conn->write(pg::buildQuery(Sql));
  }
  Result<Row> Answer = co_await this->readAnswer(Deadline);
  this->CallInProgress = false;
  co_return Answer;
}

QCoro::Task<Result<PgBackendServer::Row>>
PgBackendServer::readAnswer(TimePoint Deadline) {
  Row LastRow;
  std::optional<Error> ServerError;
  for (;;) {
    auto Next = this->Conn->reader().next();
    if (!succeeded(Next)) {
      const Error FrameError{errorOf(Next)};
      this->Conn.reset();
      co_return FrameError;
    }
    const std::optional<pg::Frame> &Frame = valueOf(Next);
    if (!Frame) {
      const ReadEvent Event = co_await this->Conn->waitReadable(Deadline);
      if (Event == ReadEvent::Data)
        continue;
      this->Conn.reset();
      if (ServerError)
        co_return *ServerError;
      co_return Error{Event == ReadEvent::Closed
                          ? "connection to " + this->Settings.Endpoint.str() +
                                " was closed"
                          : "no answer from " + this->Settings.Endpoint.str()};
    }
    if (Frame->Type == 'E') {
      const pg::ErrorFields Fields = pg::parseError(Frame->Body);
      ServerError = Error{std::string(ServerAnswered) + Fields.SqlState + ": " +
                          Fields.Message};
    } else if (Frame->Type == 'D') {
      auto Columns = pg::parseDataRow(Frame->Body);
      if (!succeeded(Columns))
        ServerError = Error{errorOf(Columns)};
      else
        LastRow = std::move(valueOf(Columns));
    } else if (Frame->Type == 'Z') {
      if (ServerError)
        co_return *ServerError;
      co_return LastRow;
    }
  }
}

QCoro::Task<Result<ServerStatus>> PgBackendServer::status(TimePoint Deadline) {
  const Result<Row> Answer =
      co_await this->query(std::string(StatusSql), Deadline);
  if (!succeeded(Answer))
    co_return Error{errorOf(Answer)};
  co_return parseStatus(valueOf(Answer));
}

QCoro::Task<Result<ServerStatus>>
PgBackendServer::probeFresh(TimePoint Deadline) {
  // The previous connection is closed first, because the server has a small
  // limit for control connections.
  this->reset();
  co_return co_await this->status(Deadline);
}

QCoro::Task<Result<LogPosition>>
PgBackendServer::adoptTerm(Term T, TimePoint Deadline) {
  const Result<Row> Answer = co_await this->query(
      "SELECT group_adopt_term(" + std::to_string(T) + ")", Deadline);
  if (!succeeded(Answer))
    co_return Error{errorOf(Answer)};
  RowReader Reader(valueOf(Answer));
  LogPosition End;
  End.TermNumber = Reader.nextNumber();
  End.Index = Reader.nextNumber();
  if (Reader.failed())
    co_return Error{"group_adopt_term() returned a malformed row"};
  co_return End;
}

QCoro::Task<Result<Success>> PgBackendServer::promote(Term T,
                                                      TimePoint Deadline) {
  const Result<Row> Answer = co_await this->query(
      "SELECT group_promote(" + std::to_string(T) + ")", Deadline);
  if (!succeeded(Answer))
    co_return Error{errorOf(Answer)};
  co_return success();
}

QCoro::Task<Result<Success>> PgBackendServer::follow(Term T, ServerId Primary,
                                                     Address From,
                                                     TimePoint Deadline) {
  const Result<Row> Answer = co_await this->query(
      "SELECT group_follow(" + std::to_string(T) + ", " +
          quoteLiteral(Primary.str()) + ", " + quoteLiteral(From.str()) + ")",
      Deadline);
  if (!succeeded(Answer))
    co_return Error{errorOf(Answer)};
  co_return success();
}

QCoro::Task<Result<OwnerLease>>
PgBackendServer::acquireOwner(EntryVmId Vm, std::uint64_t Incarnation,
                              Duration Ttl, TimePoint Deadline) {
  const auto TtlMs = std::chrono::duration_cast<milliseconds>(Ttl).count();
  const Result<Row> Answer = co_await this->query(
      "SELECT group_acquire_owner(" + quoteLiteral(Vm.str()) + ", " +
          std::to_string(Incarnation) + ", " + std::to_string(TtlMs) + ")",
      Deadline);
  if (!succeeded(Answer))
    co_return Error{errorOf(Answer)};
  RowReader Reader(valueOf(Answer));
  OwnerLease Lease;
  Lease.Holder = EntryVmId(Reader.nextText());
  Lease.Remaining = Reader.nextMilliseconds();
  if (Reader.failed())
    co_return Error{"group_acquire_owner() returned a malformed row"};
  co_return Lease;
}

} // namespace amaranthspur
