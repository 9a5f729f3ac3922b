#include "root/backends/ServerOwner.h"

#include <algorithm>

namespace amaranthspur {
namespace {

/// Duration of the ownership lease.
constexpr Duration LeaseTtl = milliseconds(900);
/// Interval between renewals of the lease.
constexpr Duration LeaseRenewal = milliseconds(300);
/// The holder stops using the lease this long before the server may grant it to
/// another entry VM.
constexpr Duration LeaseMargin = milliseconds(100);
/// Timeout of a call that renews or releases the lease.
constexpr Duration LeaseCallTimeout = milliseconds(250);
/// Interval between checks of the queue for statements whose deadline can no
/// longer be met.
constexpr Duration ExpiryInterval = milliseconds(10);
/// Maximum time that a read waits for the replica to become fresh enough.
constexpr Duration CatchUpTimeout = milliseconds(50);
/// Interval between requests for the replica's position during that time.
constexpr Duration CatchUpPollInterval = milliseconds(5);
/// A connection that was idle for longer than this is validated before it is
/// used, since a device on the network path may have dropped its state.
constexpr Duration ValidateAfter = milliseconds(1000);
constexpr Duration ValidationTimeout = milliseconds(250);
/// Timeout for opening a connection, which normally takes about 12 ms.
constexpr Duration ConnectTimeout = milliseconds(1000);
/// How long after a statement's deadline its answer may still arrive.
constexpr Duration AnswerGrace = milliseconds(200);
/// Approximate size of the chunks in which an answer is delivered.
constexpr std::size_t DeliveryChunkBytes = 32U << 10U;
/// Maximum number of bytes of an answer that are held back until its position
/// is confirmed.
constexpr std::size_t MaxHeldBytes = 16U << 20U;

/// Maps an SQLSTATE which reports that the statement had no effect because of
/// the server's role to a refusal reason. Returns nothing for any other
/// SQLSTATE.
std::optional<RefusalReason> reasonForRoleError(std::string_view SqlState) {
  if (SqlState == "25006")
    return RefusalReason::ReadOnlyServer;
  if (SqlState == "57P04")
    return RefusalReason::PrimarySuperseded;
  return std::nullopt;
}

} // namespace

ServerOwner::ServerOwner(ServerOwnerSetup Setup,
                         std::unique_ptr<Admission> Queue,
                         std::unique_ptr<BackendServer> Control,
                         Confirmations &Durable, ViewTable &Views)
    : Setup(std::move(Setup)), Queue(std::move(Queue)),
      Control(std::move(Control)), Durable(Durable), Views(Views) {}

ServerOwner::~ServerOwner() {
  assert(this->Tasks.size() == 0 && "an owner is destroyed while it is used");
}

void ServerOwner::start() {
  if (this->Setup.NeedsLease)
    this->maintainLease();
  else
    this->LeaseUntil = NoDeadline;
  this->expireQueue();
  this->openIdleConnections();
}

QCoro::Task<> ServerOwner::stop(TimePoint Deadline) {
  this->Stopping = true;
  this->StopRequested.notifyAll();
  this->LeaseChanged.notifyAll();
  while (this->hasWork() && steadyNow() < Deadline)
    co_await this->ConnectionFreed.wait(Deadline);
  this->closeTransactionConnections();
  // The lease must be kept until the running statements have ended: when
  // another owner acquires it, the server closes this owner's connections.
  while (!this->RunningStatements.empty()) {
    co_await this->ConnectionFreed.wait();
    this->closeTransactionConnections();
  }
  this->closeIdleConnections();
  co_await this->Tasks.waitUntilEmpty();
  this->closeIdleConnections();
  if (this->Setup.NeedsLease && this->holdsLease())
    co_await this->Control->acquireOwner(
        this->Setup.Self, this->Setup.Incarnation, Duration::zero(),
        steadyNow() + LeaseCallTimeout);
  this->LeaseUntil = {};
}

void ServerOwner::abandonRunning() {
  for (auto &[Stream, Statement] : this->RunningStatements) {
    Statement->Abandoned = true;
    Statement->Connection->Wire->interrupt();
  }
}

bool ServerOwner::hasWork() const {
  return !this->TransactionConnections.empty() ||
         !this->RunningStatements.empty();
}

bool ServerOwner::holdsLease() const { return steadyNow() < this->LeaseUntil; }

QCoro::Task<> ServerOwner::maintainLease() {
  const TaskGroup::Guard Guard(this->Tasks);
  while (!this->Stopping || this->hasWork()) {
    // The lease counts from the time before the request is sent, because the
    // server cannot grant it earlier than that.
    const TimePoint SentAt = steadyNow();
    const Result<OwnerLease> Lease = co_await this->Control->acquireOwner(
        this->Setup.Self, this->Setup.Incarnation, LeaseTtl,
        SentAt + LeaseCallTimeout);
    const bool HadLease = this->holdsLease();
    if (succeeded(Lease))
      this->LeaseUntil = SentAt + LeaseTtl - LeaseMargin;
    if (!HadLease && this->holdsLease()) {
      this->LeaseChanged.notifyAll();
      this->openIdleConnections();
    }
    const Duration Pause =
        succeeded(Lease) ? LeaseRenewal
                         : std::min(LeaseRenewal, Duration(milliseconds(50)));
    co_await this->StopRequested.wait(SentAt + Pause);
    if (this->Stopping && this->hasWork())
      co_await sleepFor(milliseconds(50));
  }
}

QCoro::Task<bool> ServerOwner::waitForLease(TimePoint Deadline) {
  bool InTime = true;
  while (!this->holdsLease() && !this->Stopping && InTime)
    InTime = co_await this->LeaseChanged.wait(Deadline);
  co_return this->holdsLease() && !this->Stopping;
}

QCoro::Task<> ServerOwner::expireQueue() {
  const TaskGroup::Guard Guard(this->Tasks);
  while (!this->Stopping || !this->QueuedStatements.empty()) {
    const bool Busy = !this->QueuedStatements.empty();
    co_await this->StopRequested.wait(
        steadyNow() + (Busy ? ExpiryInterval : 10 * ExpiryInterval));
    if (this->Stopping)
      co_await sleepFor(ExpiryInterval);
    for (const ExpiredWork &Expired : this->Queue->expire(steadyNow())) {
      const auto Found = this->QueuedStatements.find(Expired.Id);
      if (Found == this->QueuedStatements.end())
        continue;
      Found->second->Refused = notRun(Expired.Reason);
      Found->second->Wake.wake();
    }
    this->dispatch();
  }
}

QCoro::Task<> ServerOwner::openIdleConnections() {
  const TaskGroup::Guard Guard(this->Tasks);
  // One connection for each slot is opened ahead of demand, because opening one
  // takes longer than most statements.
  const std::size_t Wanted = std::min<std::size_t>(this->Setup.Server.Slots,
                                                   this->Setup.WorkConnections);
  const bool Leased = co_await this->waitForLease(steadyNow() + ConnectTimeout);
  if (!Leased)
    co_return;
  while (this->OpenConnections < Wanted && !this->Stopping) {
    std::variant<Conn, Refusal> Opened =
        co_await this->openConnection(steadyNow() + ConnectTimeout);
    auto *C = std::get_if<Conn>(&Opened);
    if (!C)
      co_return;
    (*C)->IdleSince = steadyNow();
    this->IdleConnections.push_back(std::move(*C));
    this->ConnectionFreed.notifyAll();
  }
}

bool ServerOwner::isPrimary() const {
  const GroupView *View = this->Views.find(this->Setup.Service);
  return View && View->Primary == this->Setup.Server.Id;
}

std::optional<Refusal>
ServerOwner::checkPreconditions(const ExecuteRequest &Request) const {
  if (Request.InTransaction) {
    if (!this->TransactionConnections.contains(Request.Stream) &&
        this->Setup.Variant != PolicyVariant::EarlyReturn)
      return notRun(RefusalReason::ConnectionLost,
                    "the transaction's connection is gone; the server has "
                    "rolled it back");
    return std::nullopt;
  }
  if (this->Stopping)
    return notRun(RefusalReason::NotOwner);
  if (Request.BeginsTransaction &&
      this->TransactionConnections.size() + this->Setup.Server.Slots >=
          this->Setup.WorkConnections)
    return notRun(RefusalReason::Overloaded, "too many open transactions");
  if (Request.RequestedAccess == Access::Read)
    return std::nullopt;
  if (!this->isPrimary())
    return notRun(RefusalReason::NotPrimary);
  if (!this->Durable.acceptsWrites(steadyNow()))
    return notRun(RefusalReason::NoMajority);
  return std::nullopt;
}

bool ServerOwner::isFreshEnough(const ExecuteRequest &Request,
                                TimePoint Now) const {
  const GroupView *View = this->Views.find(this->Setup.Service);
  if (!View)
    return false;
  if (this->Setup.Variant == PolicyVariant::TokenIgnored)
    return true;
  if (View->Primary == this->Setup.Server.Id)
    return this->Durable.acceptsWrites(Now);
  const ServerView *Server = View->find(this->Setup.Server.Id);
  if (!Server)
    return false;
  const LogPosition Known = std::max(this->LastPosition, Server->Held);
  if (Known < Request.Floor || !Server->Age)
    return false;
  return *Server->Age + (Now - View->Taken) <= Request.MaxStaleness;
}

QCoro::Task<std::optional<Refusal>>
ServerOwner::waitUntilFresh(const ExecuteRequest &Request) {
  const TimePoint Until =
      std::min(steadyNow() + CatchUpTimeout, Request.Deadline);
  WaitPoint Updated;
  while (!this->isFreshEnough(Request, steadyNow())) {
    // The replica may have caught up since the last poll.
    this->Durable.refresh();
    this->Views.wakeOnUpdate(this->Setup.Service, &Updated);
    co_await Updated.wait(std::min(Until, steadyNow() + CatchUpPollInterval));
    this->Views.cancelWake(&Updated);
    if (steadyNow() >= Until)
      co_return notRun(RefusalReason::TooStale);
  }
  co_return std::nullopt;
}

QCoro::Task<StatementResult> ServerOwner::execute(ExecuteRequest Request,
                                                  AnswerSink &Sink) {
  const TaskGroup::Guard Guard(this->Tasks);
  const StreamId Stream = Request.Stream;
  const bool RefusalEndsTransaction =
      Request.InTransaction || Request.BeginsTransaction;
  StatementResult Result =
      co_await this->runStatement(std::move(Request), Sink);
  // A refused statement ends its transaction. The owner ends it at once instead
  // of waiting for closeStream(), because an open transaction holds locks for
  // which all other writers wait.
  if (Result.Refused && RefusalEndsTransaction)
    this->closeStream(Stream);
  co_return Result;
}

QCoro::Task<StatementResult> ServerOwner::runStatement(ExecuteRequest Request,
                                                       AnswerSink &Sink) {
  if (!Request.InTransaction) {
    const bool Leased = co_await this->waitForLease(Request.Deadline);
    if (!Leased)
      co_return makeRefusedResult(notRun(RefusalReason::NotOwner));
  }
  if (std::optional<Refusal> R = this->checkPreconditions(Request))
    co_return makeRefusedResult(std::move(*R));
  if (Request.RequestedAccess == Access::Read && !Request.InTransaction &&
      !this->isFreshEnough(Request, steadyNow()))
    if (std::optional<Refusal> R = co_await this->waitUntilFresh(Request))
      co_return makeRefusedResult(std::move(*R));
  const WorkId Id = this->NextWorkId++;
  if (std::optional<Refusal> R = co_await this->admit(Request, Id))
    co_return makeRefusedResult(std::move(*R));
  std::variant<Conn, Refusal> Acquired =
      co_await this->acquireConnection(Request);
  if (auto *R = std::get_if<Refusal>(&Acquired)) {
    this->finishWork(Id);
    co_return makeRefusedResult(std::move(*R));
  }
  // Waiting for a slot and a connection may have taken long, so the lease and
  // the preconditions are checked again before the first byte is sent.
  std::optional<Refusal> LateRefusal;
  if (!this->holdsLease())
    LateRefusal = notRun(RefusalReason::NotOwner);
  else if (!Request.InTransaction)
    LateRefusal = this->checkPreconditions(Request);
  if (LateRefusal) {
    this->finishWork(Id);
    this->releaseConnection(std::move(std::get<Conn>(Acquired)), Request,
                            Request.InTransaction
                                ? TransactionState::InTransaction
                                : TransactionState::Idle);
    co_return makeRefusedResult(std::move(*LateRefusal));
  }
  co_return co_await this->runOnConnection(std::move(std::get<Conn>(Acquired)),
                                           Request, Sink, Id);
}

QCoro::Task<std::optional<Refusal>>
ServerOwner::admit(const ExecuteRequest &Request, WorkId Id) {
  WorkItem Item;
  Item.Id = Id;
  Item.Caller = Request.Caller;
  Item.Class = Request.Class;
  Item.Shape = Request.Shape;
  Item.Deadline = Request.Deadline;
  Item.Bytes = Request.Frames.size();
  Item.InTransaction = Request.InTransaction;
  if (std::optional<Refusal> R = this->Queue->submit(Item, steadyNow()))
    co_return R;
  QueuedStatement Statement;
  this->QueuedStatements.emplace(Id, &Statement);
  this->dispatch();
  while (!Statement.Started && !Statement.Refused) {
    const bool Woken = co_await Statement.Wake.wait(Request.Deadline);
    if (Woken || Statement.Started)
      continue;
    this->Queue->withdraw(Id);
    Statement.Refused = notRun(RefusalReason::DeadlineExpired);
  }
  this->QueuedStatements.erase(Id);
  co_return Statement.Refused;
}

void ServerOwner::dispatch() {
  while (const std::optional<WorkId> Id = this->Queue->next(steadyNow())) {
    const auto Found = this->QueuedStatements.find(*Id);
    if (Found == this->QueuedStatements.end()) {
      this->Queue->finished(*Id, steadyNow());
      continue;
    }
    Found->second->Started = true;
    Found->second->Wake.wake();
  }
}

void ServerOwner::finishWork(WorkId Id) {
  this->Queue->finished(Id, steadyNow());
  this->dispatch();
}

QCoro::Task<std::variant<ServerOwner::Conn, Refusal>>
ServerOwner::openConnection(TimePoint Deadline) {
  ++this->OpenConnections;
  // This is a named variable because g++ 12 destroys an aggregate twice if it
  // is created in the arguments of an awaited call.
  const Address To{this->Setup.Server.Host, this->Setup.Server.Port};
  auto Opened = co_await openServerConnection(To, this->Setup.BindHost,
                                              this->Setup.Self.str(), Deadline);
  if (auto *C = std::get_if<Conn>(&Opened))
    co_return std::move(*C);
  --this->OpenConnections;
  this->ConnectionFreed.notifyAll();
  const ConnectFailure &Failure = std::get<ConnectFailure>(Opened);
  co_return notRun(Failure.SqlState == "53300" ? RefusalReason::ConnectionLimit
                                               : RefusalReason::ConnectionLost,
                   Failure.Message);
}

QCoro::Task<bool> ServerOwner::validate(ServerConnection &C) {
  if (!C.Wire->isOpen())
    co_return false;
  const TimePoint Until = steadyNow() + ValidationTimeout;
  C.Wire->write(pg::buildQuery(""));
  for (;;) {
    const Result<std::optional<pg::Frame>> Next = C.Wire->reader().next();
    if (!succeeded(Next))
      co_return false;
    if (!valueOf(Next)) {
      const ReadEvent Event = co_await C.Wire->waitReadable(Until);
      if (Event != ReadEvent::Data)
        co_return false;
      continue;
    }
    if (valueOf(Next)->Type == 'S')
      parsePositionParameter(valueOf(Next)->Body, C.Position);
    if (valueOf(Next)->Type == 'Z')
      co_return true;
  }
}

QCoro::Task<std::variant<ServerOwner::Conn, Refusal>>
ServerOwner::acquireConnection(const ExecuteRequest &Request) {
  if (Request.InTransaction) {
    const auto Found = this->TransactionConnections.find(Request.Stream);
    if (Found != this->TransactionConnections.end()) {
      Conn C = std::move(Found->second);
      this->TransactionConnections.erase(Found);
      co_return C;
    }
    if (this->Setup.Variant != PolicyVariant::EarlyReturn)
      co_return notRun(RefusalReason::ConnectionLost);
  }
  for (;;) {
    if (!this->IdleConnections.empty()) {
      Conn C = std::move(this->IdleConnections.back());
      this->IdleConnections.pop_back();
      const bool Stale = steadyNow() - C->IdleSince > ValidateAfter;
      bool Usable = C->Wire->isOpen();
      if (Usable && Stale)
        Usable = co_await this->validate(*C);
      if (Usable)
        co_return C;
      // Whatever made this connection unusable has probably affected the others
      // that were idle for as long, so all idle connections are replaced.
      this->closeConnection(std::move(C));
      if (Stale)
        this->closeIdleConnections();
      continue;
    }
    if (this->OpenConnections < this->Setup.WorkConnections)
      co_return co_await this->openConnection(
          std::min(Request.Deadline, steadyNow() + ConnectTimeout));
    const bool Freed = co_await this->ConnectionFreed.wait(Request.Deadline);
    if (!Freed)
      co_return notRun(RefusalReason::DeadlineExpired,
                       "no connection became free");
  }
}

QCoro::Task<StatementResult>
ServerOwner::runOnConnection(Conn C, ExecuteRequest &Request, AnswerSink &Sink,
                             WorkId Id) {
  RunningStatement Statement;
  Statement.Connection = C.get();
  Statement.RequestedAccess = Request.RequestedAccess;
  this->RunningStatements[Request.Stream] = &Statement;
  Answer A;
  A.SentToPrimary = this->isPrimary();
  C->Wire->write(Request.Frames);
  const std::optional<Refusal> Failure =
      co_await this->readAnswer(*C, Statement, A, Request, Sink);
  this->RunningStatements.erase(Request.Stream);
  this->finishWork(Id);
  const LogPosition Position = C->Position;
  this->LastPosition = std::max(this->LastPosition, Position);
  if (Failure) {
    // The server may still be running the statement. A cancel request makes it
    // stop sooner.
    if (C->Wire->isOpen())
      this->cancelRunning(*C);
    this->closeConnection(std::move(C));
    co_return makeRefusedResult(*Failure);
  }
  if (Statement.Abandoned)
    this->closeConnection(std::move(C));
  else
    this->releaseConnection(std::move(C), Request, *A.Ready);
  co_return co_await this->finishAnswer(A, Position, Request, Sink);
}

QCoro::Task<std::optional<Refusal>>
ServerOwner::readAnswer(ServerConnection &C, RunningStatement &Statement,
                        Answer &A, const ExecuteRequest &Request,
                        AnswerSink &Sink) {
  const TimePoint Until = Request.Deadline + AnswerGrace;
  while (!A.Ready) {
    const Result<std::optional<pg::Frame>> Next = C.Wire->reader().next();
    if (!succeeded(Next))
      co_return outcomeUnknown(RefusalReason::ConnectionLost, errorOf(Next));
    if (valueOf(Next)) {
      if (std::optional<Refusal> R = this->processFrame(*valueOf(Next), C, A))
        co_return R;
      continue;
    }
    if (A.Frames.size() >= DeliveryChunkBytes) {
      A.Delivered = true;
      const bool Accepted = co_await Sink.deliver(std::exchange(A.Frames, {}));
      if (!Accepted)
        co_return outcomeUnknown(RefusalReason::ConnectionLost,
                                 "the caller is gone");
    }
    const ReadEvent Event = co_await C.Wire->waitReadable(Until);
    if (Statement.Superseded)
      co_return outcomeUnknown(RefusalReason::PrimarySuperseded);
    if (Statement.Abandoned)
      co_return outcomeUnknown(RefusalReason::ConnectionLost,
                               "the caller's session has ended");
    if (Event == ReadEvent::Closed)
      co_return outcomeUnknown(RefusalReason::ConnectionLost,
                               "the server closed the connection");
    if (Event == ReadEvent::TimedOut && steadyNow() >= Until)
      co_return outcomeUnknown(RefusalReason::DeadlineExpired,
                               "the server has not answered in time");
  }
  co_return std::nullopt;
}

std::optional<Refusal>
ServerOwner::processFrame(const pg::Frame &F, ServerConnection &C, Answer &A) {
  switch (F.Type) {
  case 'S':
    parsePositionParameter(F.Body, C.Position);
    return std::nullopt;
  case 'Z': {
    const Result<TransactionState> State = pg::parseReadyForQuery(F.Body);
    if (!succeeded(State))
      return outcomeUnknown(RefusalReason::ConnectionLost, errorOf(State));
    A.Ready = valueOf(State);
    return std::nullopt;
  }
  case 'G':
  case 'W':
    return outcomeUnknown(RefusalReason::Unsupported,
                          "COPY is not supported; the connection was closed "
                          "before any data was sent");
  case 'E':
    if (A.FirstError.empty())
      A.FirstError = pg::parseError(F.Body).SqlState;
    break;
  case 'C':
    A.HoldingBack = true;
    break;
  default:
    break;
  }
  std::string &Out = A.HoldingBack ? A.HeldFrames : A.Frames;
  Out += F.Whole;
  if (A.HeldFrames.size() > MaxHeldBytes)
    return outcomeUnknown(RefusalReason::MessageTooLarge,
                          "the answer is too large to be held until the write "
                          "is confirmed");
  return std::nullopt;
}

QCoro::Task<StatementResult>
ServerOwner::finishAnswer(Answer &A, LogPosition Position,
                          const ExecuteRequest &Request, AnswerSink &Sink) {
  StatementResult Result;
  Result.Position = Position;
  Result.State = *A.Ready;
  const std::optional<RefusalReason> RoleReason =
      reasonForRoleError(A.FirstError);
  if (RoleReason && !A.Delivered)
    co_return makeRefusedResult(notRun(*RoleReason));
  // Results of the primary, both reads and writes, are delivered only after
  // their position is confirmed, so that a failover cannot undo them. The
  // primary is the server that led when the statement was sent or leads now. In
  // addition, every write needs confirmation, because a COMMIT may reach a
  // former primary that the view no longer shows as the primary.
  const bool NeedsConfirmation = Request.RequestedAccess == Access::Write ||
                                 A.SentToPrimary || this->isPrimary();
  if (*A.Ready == TransactionState::Idle && NeedsConfirmation) {
    const bool Confirmed = co_await this->Durable.waitConfirmed(
        Position, std::max(Request.Deadline, steadyNow() + AnswerGrace));
    if (!Confirmed)
      co_return makeRefusedResult(outcomeUnknown(RefusalReason::NotConfirmed));
  }
  A.Frames += A.HeldFrames;
  bool Accepted = true;
  if (!A.Frames.empty())
    Accepted = co_await Sink.deliver(std::move(A.Frames));
  if (!Accepted)
    co_return makeRefusedResult(
        outcomeUnknown(RefusalReason::ConnectionLost, "the caller is gone"));
  co_return Result;
}

void ServerOwner::releaseConnection(Conn C, const ExecuteRequest &Request,
                                    TransactionState State) {
  const bool Clean = C->Wire->isOpen() && C->Wire->reader().buffered() == 0;
  const bool EarlyReturn = this->Setup.Variant == PolicyVariant::EarlyReturn;
  if (!Clean) {
    this->closeConnection(std::move(C));
  } else if (State == TransactionState::Idle || EarlyReturn) {
    C->IdleSince = steadyNow();
    this->IdleConnections.push_back(std::move(C));
  } else {
    this->TransactionConnections[Request.Stream] = std::move(C);
  }
  this->ConnectionFreed.notifyAll();
}

void ServerOwner::closeConnection(Conn C) {
  C->Wire->abort();
  C.reset();
  --this->OpenConnections;
  this->ConnectionFreed.notifyAll();
}

void ServerOwner::closeIdleConnections() {
  while (!this->IdleConnections.empty()) {
    Conn C = std::move(this->IdleConnections.back());
    this->IdleConnections.pop_back();
    this->closeConnection(std::move(C));
  }
}

void ServerOwner::closeTransactionConnections() {
  while (!this->TransactionConnections.empty()) {
    Conn C = std::move(this->TransactionConnections.begin()->second);
    this->TransactionConnections.erase(this->TransactionConnections.begin());
    this->closeConnection(std::move(C));
  }
}

void ServerOwner::onViewChanged() {
  const GroupView *View = this->Views.find(this->Setup.Service);
  if (!View || !View->Primary || *View->Primary == this->Setup.Server.Id)
    return;
  for (auto &[Stream, Statement] : this->RunningStatements) {
    if (Statement->RequestedAccess != Access::Write || Statement->Superseded)
      continue;
    Statement->Superseded = true;
    Statement->Connection->Wire->interrupt();
  }
}

void ServerOwner::closeStream(const StreamId &Stream) {
  if (const auto Found = this->RunningStatements.find(Stream);
      Found != this->RunningStatements.end()) {
    Found->second->Abandoned = true;
    Found->second->Connection->Wire->interrupt();
  }
  const auto Found = this->TransactionConnections.find(Stream);
  if (Found == this->TransactionConnections.end())
    return;
  Conn C = std::move(Found->second);
  this->TransactionConnections.erase(Found);
  this->closeConnection(std::move(C));
}

void ServerOwner::closeStreamsOf(const EntryVmId &Dead) {
  std::vector<StreamId> Streams;
  for (const auto &[Stream, C] : this->TransactionConnections)
    if (Stream.EntryVm == Dead)
      Streams.push_back(Stream);
  for (const StreamId &Stream : Streams)
    this->closeStream(Stream);
}

void ServerOwner::cancel(const StreamId &Stream) {
  const auto Found = this->RunningStatements.find(Stream);
  if (Found == this->RunningStatements.end())
    return;
  this->cancelRunning(*Found->second->Connection);
}

void ServerOwner::cancelRunning(const ServerConnection &C) {
  sendCancel({this->Setup.Server.Host, this->Setup.Server.Port},
             this->Setup.BindHost, C.ProcessId, C.SecretKey,
             steadyNow() + ConnectTimeout);
}

void ServerOwner::configure(const ServiceConfig &Service,
                            const ServerConfig &Server,
                            unsigned WorkConnections) {
  this->Setup.Server = Server;
  this->Setup.WorkConnections = WorkConnections;
  AdmissionLimits Limits;
  Limits.Slots = Server.Slots;
  this->Queue->configure(Service, Limits);
}

} // namespace amaranthspur
