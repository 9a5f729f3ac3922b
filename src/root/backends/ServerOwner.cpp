#include "root/backends/ServerOwner.h"

#include <algorithm>

namespace amaranthspur {
namespace {

/// Length of the ownership lease, and how often it is renewed.
constexpr Duration LeaseTtl = milliseconds(900);
constexpr Duration LeaseRenewal = milliseconds(300);
/// The holder stops this much before the server may grant the lease to another.
constexpr Duration LeaseMargin = milliseconds(100);
/// Time that a renewal has for its answer.
constexpr Duration LeaseCallTime = milliseconds(250);
/// How often queued work is checked for deadlines that can no longer be met.
constexpr Duration ExpiryInterval = milliseconds(10);
/// Longest wait of a read for the replica to catch up.
constexpr Duration CatchUpTime = milliseconds(50);
/// How often the replica's position is asked for in that time.
constexpr Duration CatchUpPoll = milliseconds(5);
/// A connection that was idle longer is tested before it is used: something on
/// the path may have lost track of it.
constexpr Duration ValidateAfter = milliseconds(1000);
constexpr Duration ValidationTime = milliseconds(250);
/// Time for a new connection, which takes about 12 ms to make.
constexpr Duration ConnectTime = milliseconds(1000);
/// A statement may overrun its deadline by this while its answer is on the way.
constexpr Duration AnswerGrace = milliseconds(200);
/// Answers are passed on in pieces of about this size.
constexpr std::size_t PieceBytes = 32U << 10U;
/// Most bytes of an answer that are held back until it is confirmed.
constexpr std::size_t MaxHeldBytes = 16U << 20U;

/// Returns the refusal that \p SqlState stands for if it says that the
/// statement took no effect because of the server's role.
std::optional<RefusalReason> roleRefusal(std::string_view SqlState) {
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
    this->keepLease();
  else
    this->LeaseUntil = NoDeadline;
  this->expireQueue();
  this->warmUp();
}

QCoro::Task<> ServerOwner::stop(TimePoint Deadline) {
  this->Stopping = true;
  this->StopRequested.notifyAll();
  this->LeaseChanged.notifyAll();
  while (this->hasWork() && steadyNow() < Deadline)
    co_await this->ConnectionFreed.wait(Deadline);
  this->discardHeld();
  // The next owner waits for them: the server closes the connections of an
  // owner whose lease another one has taken.
  while (!this->RunningStreams.empty()) {
    co_await this->ConnectionFreed.wait();
    this->discardHeld();
  }
  this->discardIdle();
  co_await this->Tasks.empty();
  this->discardIdle();
  if (this->Setup.NeedsLease && this->holdsLease())
    co_await this->Control->acquireOwner(
        this->Setup.Self, this->Setup.Incarnation, Duration::zero(),
        steadyNow() + LeaseCallTime);
  this->LeaseUntil = {};
}

void ServerOwner::abandonRunning() {
  for (auto &[Stream, Entry] : this->RunningStreams) {
    Entry->Abandoned = true;
    Entry->On->Wire->interrupt();
  }
}

bool ServerOwner::hasWork() const {
  return !this->Held.empty() || !this->RunningStreams.empty();
}

bool ServerOwner::holdsLease() const { return steadyNow() < this->LeaseUntil; }

QCoro::Task<> ServerOwner::keepLease() {
  const TaskGroup::Guard Guard(this->Tasks);
  while (!this->Stopping || this->hasWork()) {
    // The lease counts from before the request was sent: the server cannot have
    // granted it earlier than that.
    const TimePoint SentAt = steadyNow();
    const Result<OwnerLease> Lease = co_await this->Control->acquireOwner(
        this->Setup.Self, this->Setup.Incarnation, LeaseTtl,
        SentAt + LeaseCallTime);
    const bool Had = this->holdsLease();
    if (succeeded(Lease))
      this->LeaseUntil = SentAt + LeaseTtl - LeaseMargin;
    if (!Had && this->holdsLease()) {
      this->LeaseChanged.notifyAll();
      this->warmUp();
    }
    const Duration Pause =
        succeeded(Lease) ? LeaseRenewal
                         : std::min(LeaseRenewal, Duration(milliseconds(50)));
    co_await this->StopRequested.wait(SentAt + Pause);
    if (this->Stopping && this->hasWork())
      co_await sleepFor(milliseconds(50));
  }
}

QCoro::Task<bool> ServerOwner::waitLease(TimePoint Deadline) {
  bool InTime = true;
  while (!this->holdsLease() && !this->Stopping && InTime)
    InTime = co_await this->LeaseChanged.wait(Deadline);
  co_return this->holdsLease() && !this->Stopping;
}

QCoro::Task<> ServerOwner::expireQueue() {
  const TaskGroup::Guard Guard(this->Tasks);
  while (!this->Stopping || !this->Waiting.empty()) {
    const bool Busy = !this->Waiting.empty();
    co_await this->StopRequested.wait(
        steadyNow() + (Busy ? ExpiryInterval : 10 * ExpiryInterval));
    if (this->Stopping)
      co_await sleepFor(ExpiryInterval);
    for (const ExpiredWork &Expired : this->Queue->expire(steadyNow())) {
      const auto Found = this->Waiting.find(Expired.Id);
      if (Found == this->Waiting.end())
        continue;
      Found->second->Refused = notRun(Expired.Reason);
      Found->second->Wake.wake();
    }
    this->dispatch();
  }
}

QCoro::Task<> ServerOwner::warmUp() {
  const TaskGroup::Guard Guard(this->Tasks);
  // One connection for each slot is kept open ahead of demand, since a new one
  // takes longer than most statements.
  const std::size_t Wanted = std::min<std::size_t>(this->Setup.Server.Slots,
                                                   this->Setup.WorkConnections);
  const bool Leased = co_await this->waitLease(steadyNow() + ConnectTime);
  if (!Leased)
    co_return;
  while (this->OpenConnections < Wanted && !this->Stopping) {
    std::variant<Conn, Refusal> Opened =
        co_await this->openConnection(steadyNow() + ConnectTime);
    auto *C = std::get_if<Conn>(&Opened);
    if (!C)
      co_return;
    (*C)->IdleSince = steadyNow();
    this->Idle.push_back(std::move(*C));
    this->ConnectionFreed.notifyAll();
  }
}

bool ServerOwner::isPrimary() const {
  const GroupView *View = this->Views.find(this->Setup.Service);
  return View && View->Primary == this->Setup.Server.Id;
}

std::optional<Refusal>
ServerOwner::refuseAtOnce(const StatementOrder &Order) const {
  if (Order.InTransaction) {
    if (!this->Held.contains(Order.Stream) &&
        this->Setup.Variant != PolicyVariant::EarlyReturn)
      return notRun(RefusalReason::ConnectionLost,
                    "the transaction's connection is gone; the server has "
                    "rolled it back");
    return std::nullopt;
  }
  if (this->Stopping)
    return notRun(RefusalReason::NotOwner);
  if (Order.Begins && this->Held.size() + this->Setup.Server.Slots >=
                          this->Setup.WorkConnections)
    return notRun(RefusalReason::Overloaded, "too many open transactions");
  if (Order.Wants == Access::Read)
    return std::nullopt;
  if (!this->isPrimary())
    return notRun(RefusalReason::NotPrimary);
  if (!this->Durable.acceptsWrites(steadyNow()))
    return notRun(RefusalReason::NoMajority);
  return std::nullopt;
}

bool ServerOwner::freshEnough(const StatementOrder &Order,
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
  if (Known < Order.Floor || !Server->Age)
    return false;
  return *Server->Age + (Now - View->Taken) <= Order.MaxStaleness;
}

QCoro::Task<std::optional<Refusal>>
ServerOwner::waitFresh(const StatementOrder &Order) {
  const TimePoint Until = std::min(steadyNow() + CatchUpTime, Order.Deadline);
  WaitPoint Updated;
  while (!this->freshEnough(Order, steadyNow())) {
    // The last poll may be older than the catching up.
    this->Durable.refresh();
    this->Views.wakeOnUpdate(this->Setup.Service, &Updated);
    co_await Updated.wait(std::min(Until, steadyNow() + CatchUpPoll));
    this->Views.forget(&Updated);
    if (steadyNow() >= Until)
      co_return notRun(RefusalReason::TooStale);
  }
  co_return std::nullopt;
}

QCoro::Task<StatementResult> ServerOwner::execute(StatementOrder Order,
                                                  AnswerSink &Sink) {
  const TaskGroup::Guard Guard(this->Tasks);
  const StreamId Stream = Order.Stream;
  const bool EndsWithRefusal = Order.InTransaction || Order.Begins;
  StatementResult Result = co_await this->runOrder(std::move(Order), Sink);
  // A refused statement ends its transaction. The owner does not wait to be
  // told: an open transaction holds locks that all other writers wait for.
  if (Result.Refused && EndsWithRefusal)
    this->closeStream(Stream);
  co_return Result;
}

QCoro::Task<StatementResult> ServerOwner::runOrder(StatementOrder Order,
                                                   AnswerSink &Sink) {
  if (!Order.InTransaction) {
    const bool Leased = co_await this->waitLease(Order.Deadline);
    if (!Leased)
      co_return refusedWith(notRun(RefusalReason::NotOwner));
  }
  if (std::optional<Refusal> R = this->refuseAtOnce(Order))
    co_return refusedWith(std::move(*R));
  if (Order.Wants == Access::Read && !Order.InTransaction &&
      !this->freshEnough(Order, steadyNow()))
    if (std::optional<Refusal> R = co_await this->waitFresh(Order))
      co_return refusedWith(std::move(*R));
  const WorkId Id = this->NextWork++;
  if (std::optional<Refusal> R = co_await this->admit(Order, Id))
    co_return refusedWith(std::move(*R));
  std::variant<Conn, Refusal> Taken = co_await this->takeConnection(Order);
  if (auto *R = std::get_if<Refusal>(&Taken)) {
    this->finishWork(Id);
    co_return refusedWith(std::move(*R));
  }
  // The wait for a slot and a connection may have been long: look again before
  // the first byte is sent.
  std::optional<Refusal> Late;
  if (!this->holdsLease())
    Late = notRun(RefusalReason::NotOwner);
  else if (!Order.InTransaction)
    Late = this->refuseAtOnce(Order);
  if (Late) {
    this->finishWork(Id);
    this->giveBack(std::move(std::get<Conn>(Taken)), Order,
                   Order.InTransaction ? TransactionState::InTransaction
                                       : TransactionState::Idle);
    co_return refusedWith(std::move(*Late));
  }
  co_return co_await this->runOn(std::move(std::get<Conn>(Taken)), Order, Sink,
                                 Id);
}

QCoro::Task<std::optional<Refusal>>
ServerOwner::admit(const StatementOrder &Order, WorkId Id) {
  WorkItem Item;
  Item.Id = Id;
  Item.Caller = Order.Caller;
  Item.Class = Order.Class;
  Item.Shape = Order.Shape;
  Item.Deadline = Order.Deadline;
  Item.Bytes = Order.Frames.size();
  Item.InTransaction = Order.InTransaction;
  if (std::optional<Refusal> R = this->Queue->submit(Item, steadyNow()))
    co_return R;
  Queued Entry;
  this->Waiting.emplace(Id, &Entry);
  this->dispatch();
  while (!Entry.Started && !Entry.Refused) {
    const bool Woken = co_await Entry.Wake.wait(Order.Deadline);
    if (Woken || Entry.Started)
      continue;
    this->Queue->withdraw(Id);
    Entry.Refused = notRun(RefusalReason::DeadlineExpired);
  }
  this->Waiting.erase(Id);
  co_return Entry.Refused;
}

void ServerOwner::dispatch() {
  while (const std::optional<WorkId> Id = this->Queue->next(steadyNow())) {
    const auto Found = this->Waiting.find(*Id);
    if (Found == this->Waiting.end()) {
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
  // Named, since g++ 12 destroys an aggregate that is made in the arguments of
  // an awaited call twice.
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
  const TimePoint Until = steadyNow() + ValidationTime;
  C.Wire->write(pg::buildQuery(""));
  for (;;) {
    const Result<std::optional<pg::Frame>> Next = C.Wire->reader().next();
    if (!succeeded(Next))
      co_return false;
    if (!valueOf(Next)) {
      const ReadEvent Event = co_await C.Wire->readable(Until);
      if (Event != ReadEvent::Data)
        co_return false;
      continue;
    }
    if (valueOf(Next)->Type == 'S')
      readPosition(valueOf(Next)->Body, C.Position);
    if (valueOf(Next)->Type == 'Z')
      co_return true;
  }
}

QCoro::Task<std::variant<ServerOwner::Conn, Refusal>>
ServerOwner::takeConnection(const StatementOrder &Order) {
  if (Order.InTransaction) {
    const auto Found = this->Held.find(Order.Stream);
    if (Found != this->Held.end()) {
      Conn C = std::move(Found->second);
      this->Held.erase(Found);
      co_return C;
    }
    if (this->Setup.Variant != PolicyVariant::EarlyReturn)
      co_return notRun(RefusalReason::ConnectionLost);
  }
  for (;;) {
    if (!this->Idle.empty()) {
      Conn C = std::move(this->Idle.back());
      this->Idle.pop_back();
      const bool Stale = steadyNow() - C->IdleSince > ValidateAfter;
      bool Usable = C->Wire->isOpen();
      if (Usable && Stale)
        Usable = co_await this->validate(*C);
      if (Usable)
        co_return C;
      // What silenced this connection has silenced those that were idle as
      // long: replace them all.
      this->discard(std::move(C));
      if (Stale)
        this->discardIdle();
      continue;
    }
    if (this->OpenConnections < this->Setup.WorkConnections)
      co_return co_await this->openConnection(
          std::min(Order.Deadline, steadyNow() + ConnectTime));
    const bool Freed = co_await this->ConnectionFreed.wait(Order.Deadline);
    if (!Freed)
      co_return notRun(RefusalReason::DeadlineExpired,
                       "no connection became free");
  }
}

QCoro::Task<StatementResult> ServerOwner::runOn(Conn C, StatementOrder &Order,
                                                AnswerSink &Sink, WorkId Id) {
  Running Entry;
  Entry.On = C.get();
  Entry.Wants = Order.Wants;
  this->RunningStreams[Order.Stream] = &Entry;
  Answer A;
  A.FromPrimary = this->isPrimary();
  C->Wire->write(Order.Frames);
  const std::optional<Refusal> Lost =
      co_await this->readAnswer(*C, Entry, A, Order, Sink);
  this->RunningStreams.erase(Order.Stream);
  this->finishWork(Id);
  const LogPosition Position = C->Position;
  this->LastPosition = std::max(this->LastPosition, Position);
  if (Lost) {
    // The server may still run the statement; it stops sooner if told so.
    if (C->Wire->isOpen())
      this->cancelOn(*C);
    this->discard(std::move(C));
    co_return refusedWith(*Lost);
  }
  if (Entry.Abandoned)
    this->discard(std::move(C));
  else
    this->giveBack(std::move(C), Order, *A.Ready);
  co_return co_await this->finishAnswer(A, Position, Order, Sink);
}

QCoro::Task<std::optional<Refusal>>
ServerOwner::readAnswer(ServerConnection &C, Running &Entry, Answer &A,
                        const StatementOrder &Order, AnswerSink &Sink) {
  const TimePoint Until = Order.Deadline + AnswerGrace;
  while (!A.Ready) {
    const Result<std::optional<pg::Frame>> Next = C.Wire->reader().next();
    if (!succeeded(Next))
      co_return outcomeUnknown(RefusalReason::ConnectionLost, errorOf(Next));
    if (valueOf(Next)) {
      if (std::optional<Refusal> R = this->takeFrame(*valueOf(Next), C, A))
        co_return R;
      continue;
    }
    if (A.Frames.size() >= PieceBytes) {
      A.Delivered = true;
      const bool Taken = co_await Sink.deliver(std::exchange(A.Frames, {}));
      if (!Taken)
        co_return outcomeUnknown(RefusalReason::ConnectionLost,
                                 "the caller is gone");
    }
    const ReadEvent Event = co_await C.Wire->readable(Until);
    if (Entry.Superseded)
      co_return outcomeUnknown(RefusalReason::PrimarySuperseded);
    if (Entry.Abandoned)
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

std::optional<Refusal> ServerOwner::takeFrame(const pg::Frame &F,
                                              ServerConnection &C, Answer &A) {
  switch (F.Type) {
  case 'S':
    readPosition(F.Body, C.Position);
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
    A.Holding = true;
    break;
  default:
    break;
  }
  std::string &Out = A.Holding ? A.Tail : A.Frames;
  Out += F.Whole;
  if (A.Tail.size() > MaxHeldBytes)
    return outcomeUnknown(RefusalReason::MessageTooLarge,
                          "the answer is too large to be held until the write "
                          "is confirmed");
  return std::nullopt;
}

QCoro::Task<StatementResult>
ServerOwner::finishAnswer(Answer &A, LogPosition Position,
                          const StatementOrder &Order, AnswerSink &Sink) {
  StatementResult Result;
  Result.Position = Position;
  Result.State = *A.Ready;
  const std::optional<RefusalReason> Role = roleRefusal(A.FirstError);
  if (Role && !A.Delivered)
    co_return refusedWith(notRun(*Role));
  // What the primary has shown or done is passed on only when a failover cannot
  // take it back.
  // A COMMIT may reach a primary that the view no longer calls one.
  const bool NeedsConfirmation =
      Order.Wants == Access::Write || A.FromPrimary || this->isPrimary();
  if (*A.Ready == TransactionState::Idle && NeedsConfirmation) {
    const bool Confirmed = co_await this->Durable.waitConfirmed(
        Position, std::max(Order.Deadline, steadyNow() + AnswerGrace));
    if (!Confirmed)
      co_return refusedWith(outcomeUnknown(RefusalReason::NotConfirmed));
  }
  A.Frames += A.Tail;
  bool Taken = true;
  if (!A.Frames.empty())
    Taken = co_await Sink.deliver(std::move(A.Frames));
  if (!Taken)
    co_return refusedWith(
        outcomeUnknown(RefusalReason::ConnectionLost, "the caller is gone"));
  co_return Result;
}

void ServerOwner::giveBack(Conn C, const StatementOrder &Order,
                           TransactionState State) {
  const bool Clean = C->Wire->isOpen() && C->Wire->reader().buffered() == 0;
  const bool EarlyReturn = this->Setup.Variant == PolicyVariant::EarlyReturn;
  if (!Clean) {
    this->discard(std::move(C));
  } else if (State == TransactionState::Idle || EarlyReturn) {
    C->IdleSince = steadyNow();
    this->Idle.push_back(std::move(C));
  } else {
    this->Held[Order.Stream] = std::move(C);
  }
  this->ConnectionFreed.notifyAll();
}

void ServerOwner::discard(Conn C) {
  C->Wire->abort();
  C.reset();
  --this->OpenConnections;
  this->ConnectionFreed.notifyAll();
}

void ServerOwner::discardIdle() {
  while (!this->Idle.empty()) {
    Conn C = std::move(this->Idle.back());
    this->Idle.pop_back();
    this->discard(std::move(C));
  }
}

void ServerOwner::discardHeld() {
  while (!this->Held.empty()) {
    Conn C = std::move(this->Held.begin()->second);
    this->Held.erase(this->Held.begin());
    this->discard(std::move(C));
  }
}

void ServerOwner::onViewChanged() {
  const GroupView *View = this->Views.find(this->Setup.Service);
  if (!View || !View->Primary || *View->Primary == this->Setup.Server.Id)
    return;
  for (auto &[Stream, Entry] : this->RunningStreams) {
    if (Entry->Wants != Access::Write || Entry->Superseded)
      continue;
    Entry->Superseded = true;
    Entry->On->Wire->interrupt();
  }
}

void ServerOwner::closeStream(const StreamId &Stream) {
  if (const auto Found = this->RunningStreams.find(Stream);
      Found != this->RunningStreams.end()) {
    Found->second->Abandoned = true;
    Found->second->On->Wire->interrupt();
  }
  const auto Found = this->Held.find(Stream);
  if (Found == this->Held.end())
    return;
  Conn C = std::move(Found->second);
  this->Held.erase(Found);
  this->discard(std::move(C));
}

void ServerOwner::closeStreamsOf(const EntryVmId &Dead) {
  std::vector<StreamId> Streams;
  for (const auto &[Stream, C] : this->Held)
    if (Stream.EntryVm == Dead)
      Streams.push_back(Stream);
  for (const StreamId &Stream : Streams)
    this->closeStream(Stream);
}

void ServerOwner::cancel(const StreamId &Stream) {
  const auto Found = this->RunningStreams.find(Stream);
  if (Found == this->RunningStreams.end())
    return;
  this->cancelOn(*Found->second->On);
}

void ServerOwner::cancelOn(const ServerConnection &On) {
  sendCancel({this->Setup.Server.Host, this->Setup.Server.Port},
             this->Setup.BindHost, On.ProcessId, On.SecretKey,
             steadyNow() + ConnectTime);
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
