#include "root/backends/PgBackendServer.h"

#include <cassert>
#include <charconv>
#include <cmath>

namespace amaranthspur {
namespace {

/// Longest frame of an answer to a control statement, in bytes.
constexpr std::size_t MaxControlFrameBytes = 64U << 10U;
/// Longest queueing time that is believed, so that a wrong value cannot
/// overflow the conversion.
constexpr double MaxQueueMs = 3.6e6;

/// The outcome of a call without a value. QCoro 0.8 takes a std::monostate that
/// is returned as such for its own empty state and throws when it is awaited.
Result<Success> done() { return Success(); }

constexpr std::string_view StatusSql = "SELECT * FROM group_status()";

std::string quoted(std::string_view Text) {
  std::string Out = "'";
  for (const char C : Text) {
    if (C == '\'')
      Out += '\'';
    Out += C;
  }
  Out += '\'';
  return Out;
}

/// Takes the columns of one row in turn and remembers the first that does not
/// parse.
class RowReader {
public:
  explicit RowReader(const std::vector<std::optional<std::string>> &Columns)
      : Columns(Columns) {}

  std::string text() {
    if (this->At >= this->Columns.size()) {
      this->Failed = true;
      return {};
    }
    return this->Columns[this->At++].value_or("");
  }

  std::uint64_t number() {
    const std::string Text = this->text();
    std::uint64_t Value = 0;
    const auto [End, Status] =
        std::from_chars(Text.data(), Text.data() + Text.size(), Value);
    if (Status != std::errc() || End != Text.data() + Text.size())
      this->Failed = true;
    return Value;
  }

  Duration milliseconds() {
    const std::string Text = this->text();
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
  std::size_t At = 0;
  bool Failed = false;
};

Result<ServerStatus>
parseStatus(const std::vector<std::optional<std::string>> &Columns) {
  RowReader Reader(Columns);
  ServerStatus Status;
  const std::string RoleText = Reader.text();
  const std::optional<ServerRole> Role = parseName<ServerRole>(RoleText);
  Status.AdoptedTerm = Reader.number();
  Status.LogEnd.TermNumber = Reader.number();
  Status.LogEnd.Index = Reader.number();
  Status.Primary = ServerId(Reader.text());
  Status.QueueTime = Reader.milliseconds();
  Status.Running = static_cast<unsigned>(Reader.number());
  Status.Connections = static_cast<unsigned>(Reader.number());
  if (!Role || Reader.failed())
    return Error{"group_status() returned a malformed row"};
  Status.Role = *Role;
  return Status;
}

} // namespace

PgBackendServer::PgBackendServer(PgServerSettings Settings)
    : Settings(std::move(Settings)) {}

PgBackendServer::~PgBackendServer() {
  assert(!this->Calling && "destroyed during a call");
}

void PgBackendServer::reset() {
  // During a call the connection is closed by the call itself, which is woken.
  if (this->Calling && this->Open)
    this->Open->abort();
  else if (!this->Calling)
    this->Open.reset();
}

QCoro::Task<Result<PgBackendServer::Row>>
PgBackendServer::query(std::string Sql, TimePoint Deadline) {
  assert(!this->Calling && "two calls at a time");
  this->Calling = true;
  if (this->Open && !this->Open->isOpen())
    this->Open.reset();
  std::string Bytes;
  if (!this->Open) {
    this->Open =
        co_await Connection::open(this->Settings.At, MaxControlFrameBytes,
                                  Deadline, this->Settings.BindHost);
    if (!this->Open) {
      this->Calling = false;
      co_return Error{"connection to " + this->Settings.At.str() + " failed"};
    }
    Bytes = pg::buildStartup({{"user", this->Settings.User.str()},
                              {"database", "control"},
                              {"amaranthspur.role", "control"}});
    // The statement goes out with the start-up message to save a round trip,
    // so the first ReadyForQuery is the end of the start-up.
    this->Open->write(Bytes + pg::buildQuery(Sql));
    Result<Row> Started = co_await this->readAnswer(Deadline);
    if (!succeeded(Started)) {
      this->Open.reset();
      this->Calling = false;
      co_return Started;
    }
  } else {
    this->Open->write(pg::buildQuery(Sql));
  }
  Result<Row> Answer = co_await this->readAnswer(Deadline);
  this->Calling = false;
  co_return Answer;
}

QCoro::Task<Result<PgBackendServer::Row>>
PgBackendServer::readAnswer(TimePoint Deadline) {
  Row Last;
  std::optional<Error> Reported;
  for (;;) {
    auto Next = this->Open->reader().next();
    if (!succeeded(Next)) {
      const Error Malformed{errorOf(Next)};
      this->Open.reset();
      co_return Malformed;
    }
    const std::optional<pg::Frame> &Frame = valueOf(Next);
    if (!Frame) {
      const ReadEvent Event = co_await this->Open->readable(Deadline);
      if (Event == ReadEvent::Data)
        continue;
      this->Open.reset();
      if (Reported)
        co_return *Reported;
      co_return Error{Event == ReadEvent::Closed
                          ? "connection to " + this->Settings.At.str() +
                                " was closed"
                          : "no answer from " + this->Settings.At.str()};
    }
    if (Frame->Type == 'E') {
      const pg::ErrorFields Fields = pg::parseError(Frame->Body);
      Reported = Error{std::string(ServerAnswered) + Fields.SqlState + ": " +
                       Fields.Message};
    } else if (Frame->Type == 'D') {
      auto Columns = pg::parseDataRow(Frame->Body);
      if (!succeeded(Columns))
        Reported = Error{errorOf(Columns)};
      else
        Last = std::move(valueOf(Columns));
    } else if (Frame->Type == 'Z') {
      if (Reported)
        co_return *Reported;
      co_return Last;
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
  // The open connection goes first: the server counts control connections
  // against a small limit.
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
  End.TermNumber = Reader.number();
  End.Index = Reader.number();
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
  co_return done();
}

QCoro::Task<Result<Success>> PgBackendServer::follow(Term T, ServerId Primary,
                                                     Address From,
                                                     TimePoint Deadline) {
  const Result<Row> Answer = co_await this->query(
      "SELECT group_follow(" + std::to_string(T) + ", " +
          quoted(Primary.str()) + ", " + quoted(From.str()) + ")",
      Deadline);
  if (!succeeded(Answer))
    co_return Error{errorOf(Answer)};
  co_return done();
}

QCoro::Task<Result<OwnerLease>>
PgBackendServer::acquireOwner(EntryVmId Vm, std::uint64_t Incarnation,
                              Duration Ttl, TimePoint Deadline) {
  const auto TtlMs = std::chrono::duration_cast<milliseconds>(Ttl).count();
  const Result<Row> Answer = co_await this->query(
      "SELECT group_acquire_owner(" + quoted(Vm.str()) + ", " +
          std::to_string(Incarnation) + ", " + std::to_string(TtlMs) + ")",
      Deadline);
  if (!succeeded(Answer))
    co_return Error{errorOf(Answer)};
  RowReader Reader(valueOf(Answer));
  OwnerLease Lease;
  Lease.Holder = EntryVmId(Reader.text());
  Lease.Remaining = Reader.milliseconds();
  if (Reader.failed())
    co_return Error{"group_acquire_owner() returned a malformed row"};
  co_return Lease;
}

} // namespace amaranthspur
