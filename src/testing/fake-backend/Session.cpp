#include "testing/fake-backend/Session.h"

#include "testing/fake-backend/ControlStatements.h"

#include <algorithm>

namespace amaranthspur::fake {
namespace {

/// Maximum number of bytes per write to the connection.
constexpr std::size_t ChunkBytes = 64U << 10U;

const SqlError CancelledError{"57014", "statement was cancelled"};
const SqlError FencedError{
    "57P04", "primary was superseded; the transaction did not commit"};

/// Returns whether CommandComplete has a row count after \p Tag.
bool hasCount(std::string_view Tag) {
  return Tag == "SELECT" || Tag == "INSERT 0" || Tag == "UPDATE" ||
         Tag == "DELETE";
}

} // namespace

Session::Session(ServerState &Server, Connection &Link, SessionKind Kind,
                 SessionKey Key)
    : Server(Server), Link(Link), Kind(Kind), Key(Key) {
  this->Server.Sessions.emplace(this->Key.ProcessId, this);
}

Session::~Session() {
  this->rollBackWrites();
  this->Server.Sessions.erase(this->Key.ProcessId);
}

void Session::cancel() { this->StatementWait.cancelWait(); }

void Session::terminate() {
  this->Terminated = true;
  this->StatementWait.cancelWait();
  this->Link.interrupt();
  // A task that waits for a client to read wakes only when the connection ends.
  if (this->Link.queuedBytes() > Connection::WriteBufferBytes)
    this->Link.abort();
}

QCoro::Task<> Session::run() {
  this->sendStartupResponse();
  bool More = true;
  while (More)
    More = co_await this->serveFrames();
  this->rollBackWrites();
  if (this->Terminated)
    this->fatal({"57P01", "connection terminated by the server"});
  co_await this->flush();
  this->Link.close();
}

void Session::sendStartupResponse() {
  this->Answer.add(pg::buildAuthenticationOk());
  const std::pair<std::string_view, std::string_view> Parameters[] = {
      {"server_version", "15.0"},  {"server_encoding", "UTF8"},
      {"client_encoding", "UTF8"}, {"DateStyle", "ISO, MDY"},
      {"integer_datetimes", "on"}, {"standard_conforming_strings", "on"}};
  for (const auto &[Name, Value] : Parameters)
    this->Answer.add(pg::buildParameterStatus(Name, Value));
  this->Answer.add(
      pg::buildBackendKeyData(this->Key.ProcessId, this->Key.Secret));
  this->recordPosition();
  this->finishQueryCycle();
}

/// Handles the received messages and waits for more data.
/// \returns false when the session must end.
QCoro::Task<bool> Session::serveFrames() {
  while (!this->Ended && !this->Terminated) {
    const auto Next = this->Link.reader().next();
    if (!succeeded(Next))
      this->fatal({"08P01", errorOf(Next)});
    if (this->Ended || !valueOf(Next))
      break;
    const pg::Frame F = *valueOf(Next);
    if (!this->handleWithoutWaiting(F))
      co_await this->handle(F);
    if (this->Answer.bytes().size() > ChunkBytes)
      co_await this->flush();
  }
  co_await this->flush();
  if (this->Ended || this->Terminated)
    co_return false;
  const bool Idle = this->State == TransactionState::Idle;
  const TimePoint Deadline =
      Idle ? NoDeadline
           : steadyNow() + this->Server.Config.IdleInTransactionTimeout;
  const ReadEvent Event = co_await this->Link.waitReadable(Deadline);
  if (Event == ReadEvent::TimedOut && !this->Terminated)
    this->fatal({"25P03", "idle-in-transaction timeout"});
  co_return Event == ReadEvent::Data;
}

/// Handles a message that never blocks.
/// \returns false if \p F needs handle(), which can block.
bool Session::handleWithoutWaiting(const pg::Frame &F) {
  if (F.Type == 'S') {
    this->SkippingToSync = false;
    this->finishQueryCycle();
    return true;
  }
  if (F.Type == 'X') {
    this->Ended = true;
    return true;
  }
  if (this->SkippingToSync)
    return true;
  switch (F.Type) {
  case 'P':
    this->handleParse(F.Body);
    return true;
  case 'B':
    this->handleBind(F.Body);
    return true;
  case 'D':
    this->handleDescribe(F.Body);
    return true;
  case 'C':
    this->handleClose(F.Body);
    return true;
  default:
    return false;
  }
}

QCoro::Task<> Session::handle(const pg::Frame &F) {
  if (F.Type == 'Q')
    co_await this->handleQuery(F.Body);
  else if (F.Type == 'E')
    co_await this->handleExecute(F.Body);
  else if (F.Type == 'H')
    co_await this->flush();
  else
    this->fatal({"08P01", "message type is not supported"});
}

QCoro::Task<> Session::handleQuery(std::string_view Body) {
  const auto Text = pg::parseQuery(Body);
  if (!succeeded(Text)) {
    this->fatal({"08P01", errorOf(Text)});
    co_return;
  }
  this->Answer.DescribeRows = true;
  this->StatementWait.Cancelled = false;
  std::string_view Rest = valueOf(Text);
  bool HasStatement = false;
  bool Succeeded = true;
  while (Succeeded && !Rest.empty()) {
    const Statement S = parseStatement(consumeStatement(Rest));
    if (S.Form == StatementForm::Empty)
      continue;
    HasStatement = true;
    static const Parameters NoValues;
    Succeeded = co_await this->execute(S, NoValues);
  }
  if (!HasStatement)
    this->Answer.add(pg::buildFrame('I', ""));
  if (!this->Ended)
    this->finishQueryCycle();
}

/// Finishes a Query or Sync message: commits an implicit transaction, reports a
/// changed log position and sends ReadyForQuery.
void Session::finishQueryCycle() {
  if (this->State == TransactionState::Idle && this->InWriteTransaction) {
    if (const auto Failure = this->commitWrites()) {
      this->Answer.dropCompletion();
      this->fail(*Failure);
    }
  }
  if (this->ObservedPosition != this->ReportedPosition) {
    this->ReportedPosition = this->ObservedPosition;
    this->Answer.add(pg::buildParameterStatus(
        "group.position", std::to_string(this->ObservedPosition.TermNumber) +
                              "/" +
                              std::to_string(this->ObservedPosition.Index)));
  }
  this->Answer.add(pg::buildReadyForQuery(this->State));
}

QCoro::Task<bool> Session::execute(const Statement &S,
                                   const Parameters &Values) {
  const bool Ends =
      S.Form == StatementForm::Commit || S.Form == StatementForm::Rollback;
  if (this->State == TransactionState::Failed && !Ends)
    co_return this->fail(FailedTransactionError);
  switch (S.Form) {
  case StatementForm::Empty:
    this->Answer.add(pg::buildFrame('I', ""));
    co_return true;
  case StatementForm::Begin:
    this->State = TransactionState::InTransaction;
    [[fallthrough]];
  case StatementForm::Setting:
    this->Answer.complete(S.Tag, std::nullopt);
    co_return true;
  case StatementForm::Commit:
  case StatementForm::Rollback:
    co_return this->executeEnd(S);
  case StatementForm::Control:
    co_return this->executeControl(S);
  case StatementForm::Read:
  case StatementForm::Write:
    ++this->Server.count(BackendCounter::Statements);
    break;
  }
  bool Succeeded = false;
  if (S.Form == StatementForm::Read && !this->InWriteTransaction)
    Succeeded = co_await this->executeRead(S, Values);
  else
    Succeeded = co_await this->executeWrite(S, Values);
  co_return Succeeded;
}

bool Session::executeEnd(const Statement &S) {
  const bool Commits = S.Form == StatementForm::Commit &&
                       this->State != TransactionState::Failed;
  this->State = TransactionState::Idle;
  if (!Commits) {
    this->rollBackWrites();
    this->Answer.complete("ROLLBACK", std::nullopt);
    return true;
  }
  if (this->InWriteTransaction)
    if (const auto Failure = this->commitWrites())
      return this->fail(*Failure);
  this->Answer.complete(S.Tag, std::nullopt);
  return true;
}

bool Session::executeControl(const Statement &S) {
  const auto Outcome = runControl(this->Server, S.Call, this->Answer);
  this->recordPosition();
  if (errorIn(Outcome) != nullptr)
    return this->fail(*errorIn(Outcome));
  this->Answer.complete(S.Tag, 1);
  return true;
}

/// Runs a statement outside a write transaction. If SQLite reports that the
/// statement writes (WITH ... INSERT), it is passed to executeWrite().
QCoro::Task<bool> Session::executeRead(const Statement &S,
                                       const Parameters &Values) {
  const bool HasSlot = co_await this->acquireSlot();
  if (!HasSlot)
    co_return this->fail(CancelledError);
  std::optional<SqlResult<ExecutionResult>> Outcome;
  {
    auto Sql = this->Server.Storage.prepare(Image::Committed, S.Text);
    if (errorIn(Sql) != nullptr)
      Outcome = *errorIn(Sql);
    else if (auto &Prepared = std::get<PreparedSql>(Sql); !Prepared.isWrite())
      Outcome = this->Server.Storage.run(Prepared, Values, this->Answer);
  }
  this->recordPosition();
  if (!Outcome) {
    this->releaseSlot();
    const bool Written = co_await this->executeWrite(S, Values);
    co_return Written;
  }
  if (errorIn(*Outcome) != nullptr) {
    this->releaseSlot();
    co_return this->fail(*errorIn(*Outcome));
  }
  const auto &Done = std::get<ExecutionResult>(*Outcome);
  bool Completed = true;
  if (Done.SimulatedWork > Duration::zero())
    Completed = co_await this->simulateWork(Done.SimulatedWork);
  this->releaseSlot();
  if (!Completed)
    co_return this->fail(CancelledError);
  this->Answer.complete(S.Tag, hasCount(S.Tag) ? std::optional(Done.Rows)
                                               : std::nullopt);
  co_return true;
}

QCoro::Task<bool> Session::executeWrite(const Statement &S,
                                        const Parameters &Values) {
  if (!this->InWriteTransaction) {
    const std::optional<SqlError> Failure = co_await this->lockForWriting();
    if (Failure)
      co_return this->fail(*Failure);
  }
  // Acquire the lock before the slot. Sessions that wait for the lock then hold
  // no slot, so the next statement of the lock holder can always get one.
  const bool HasSlot = co_await this->acquireSlot();
  if (!HasSlot)
    co_return this->fail(CancelledError);
  ExecutionResult Done;
  if (const auto Failure = this->runWrite(S, Values, Done)) {
    this->releaseSlot();
    co_return this->fail(*Failure);
  }
  bool Completed = true;
  if (Done.SimulatedWork > Duration::zero())
    Completed = co_await this->simulateWork(Done.SimulatedWork);
  this->releaseSlot();
  if (!Completed)
    co_return this->fail(CancelledError);
  this->Answer.complete(S.Tag, hasCount(S.Tag) ? std::optional(Done.Rows)
                                               : std::nullopt);
  co_return true;
}

QCoro::Task<std::optional<SqlError>> Session::lockForWriting() {
  const std::optional<SqlError> ReadOnly =
      SqlError{"25006", "server is a replica"};
  if (!this->Server.Member.isPrimary())
    co_return ReadOnly;
  const TimePoint Deadline = steadyNow() + this->Server.Config.LockTimeout;
  const bool Locked = co_await this->Server.WriterLock.acquire(
      this, this->StatementWait, Deadline);
  if (!Locked) {
    std::optional<SqlError> Failure = CancelledError;
    if (!this->StatementWait.Cancelled)
      Failure = SqlError{"55P03", "timed out waiting for the write lock"};
    co_return Failure;
  }
  if (!this->Server.Member.isPrimary()) {
    this->Server.WriterLock.release(this);
    co_return ReadOnly;
  }
  this->Server.Storage.begin();
  this->InWriteTransaction = true;
  co_return std::optional<SqlError>();
}

/// Runs a statement in the open write transaction.
/// \returns the error, if any.
std::optional<SqlError> Session::runWrite(const Statement &S,
                                          const Parameters &Values,
                                          ExecutionResult &Done) {
  if (!this->Server.WriterLock.heldBy(this))
    return FencedError;
  auto Sql = this->Server.Storage.prepare(Image::Working, S.Text);
  if (errorIn(Sql) != nullptr)
    return *errorIn(Sql);
  auto &Prepared = std::get<PreparedSql>(Sql);
  const bool Writes = Prepared.isWrite();
  if (Writes && !Prepared.isDeterministic())
    return SqlError{"0A000", "a write must not call a function whose value "
                             "differs between servers"};
  const auto Outcome = this->Server.Storage.run(Prepared, Values, this->Answer);
  if (errorIn(Outcome) != nullptr)
    return *errorIn(Outcome);
  Done = std::get<ExecutionResult>(Outcome);
  if (Writes)
    this->WriteStatements.push_back(Values.empty() ? std::string(S.Text)
                                                   : Prepared.expanded());
  this->recordPosition();
  return std::nullopt;
}

std::optional<SqlError> Session::commitWrites() {
  if (!this->Server.WriterLock.heldBy(this)) {
    this->rollBackWrites();
    return FencedError;
  }
  const auto Committed = this->Server.Member.commit(this->WriteStatements);
  this->WriteStatements.clear();
  this->InWriteTransaction = false;
  this->Server.WriterLock.release(this);
  if (errorIn(Committed) != nullptr)
    return *errorIn(Committed);
  ++this->Server.count(BackendCounter::Commits);
  this->recordPosition();
  return std::nullopt;
}

void Session::rollBackWrites() {
  this->WriteStatements.clear();
  this->InWriteTransaction = false;
  if (!this->Server.WriterLock.heldBy(this))
    return;
  this->Server.Storage.rollback();
  this->Server.WriterLock.release(this);
}

QCoro::Task<bool> Session::acquireSlot() {
  if (this->Kind == SessionKind::Control)
    co_return true;
  const bool Taken =
      co_await this->Server.Slots.acquire(this->StatementWait, NoDeadline);
  if (Taken && this->StatementWait.Cancelled)
    this->releaseSlot();
  co_return Taken && !this->StatementWait.Cancelled;
}

void Session::releaseSlot() {
  if (this->Kind != SessionKind::Control)
    this->Server.Slots.release();
}

/// Waits for the duration that sim_work requested.
/// \returns false if the statement is cancelled.
QCoro::Task<bool> Session::simulateWork(Duration Time) {
  const TimePoint End = steadyNow() + Time;
  while (!this->StatementWait.Cancelled && steadyNow() < End)
    co_await this->StatementWait.Point.wait(End);
  co_return !this->StatementWait.Cancelled;
}

/// Reports an error, rolls back the writes and marks an explicit transaction as
/// failed. Always returns false.
bool Session::fail(const SqlError &E) {
  this->rollBackWrites();
  if (this->State == TransactionState::InTransaction)
    this->State = TransactionState::Failed;
  if (!this->Ended)
    this->Answer.error(E);
  return false;
}

void Session::fatal(const SqlError &E) {
  if (!std::exchange(this->Ended, true))
    this->Answer.error(E, "FATAL");
}

QCoro::Task<> Session::flush() {
  std::string_view Rest = this->Answer.bytes();
  while (!Rest.empty() && this->Link.isOpen()) {
    this->Link.write(Rest.substr(0, ChunkBytes));
    Rest.remove_prefix(std::min(Rest.size(), ChunkBytes));
    if (this->Link.queuedBytes() <= Connection::WriteBufferBytes)
      continue;
    // A client that does not read must not hold the write lock indefinitely.
    const TimePoint Deadline =
        this->State == TransactionState::Idle
            ? NoDeadline
            : steadyNow() + this->Server.Config.IdleInTransactionTimeout;
    const bool Taken = co_await this->Link.waitWritable(Deadline);
    if (!Taken) {
      this->Ended = true;
      this->Link.abort();
    }
  }
  this->Answer.clear();
}

} // namespace amaranthspur::fake
