#include "root/sessions/Session.h"

#include "core/BootClock.h"
#include "root/telemetry/Log.h"

#include <algorithm>

namespace amaranthspur {
namespace {

std::uint64_t wholeMilliseconds(Duration D) {
  return static_cast<std::uint64_t>(std::max<Duration::rep>(0, D.count()) /
                                    1000);
}

} // namespace

Session::Session(const SessionDependencies &Dependencies,
                 std::unique_ptr<CallerStream> Caller, std::uint64_t Number)
    : Dependencies(Dependencies), Caller(std::move(Caller)), Number(Number) {}

void Session::followStop(const StopSchedule &Schedule) {
  if (!this->Stop)
    this->Stop = Schedule;
}

void Session::finish() {
  this->Finishing = true;
  // An interruption while a statement is handled would end the last read before
  // it has looked for bytes.
  if (this->Receiving)
    this->Caller->interrupt();
}

void Session::abort() {
  this->Finishing = true;
  this->Caller->abort();
}

QCoro::Task<> Session::run() {
  const bool Opened = co_await this->open();
  if (Opened)
    co_await this->serve();
  co_await this->abandonTransaction(std::nullopt);
  co_await this->Caller->finish(steadyNow() + FinishTimeout);
}

QCoro::Task<bool> Session::open() {
  CallerMessage First = co_await this->receive();
  const bool Interrupted =
      std::holds_alternative<NoMessage>(First) && this->Finishing;
  if (Interrupted)
    First = co_await this->receive();
  const auto *Request = std::get_if<SessionRequest>(&First);
  if (!Request) {
    if (std::holds_alternative<MalformedMessage>(First) ||
        std::holds_alternative<Statement>(First))
      this->Caller->reject(AnswerCode::Malformed,
                           "expected a session request first");
    co_return false;
  }
  this->Database = Request->Database;
  this->Key = Request->Key;
  const TimePoint Limit = steadyNow() + PlanTimeout;
  while (this->Dependencies.Directory.plan()->Revision == 0 &&
         steadyNow() < Limit && !this->Finishing)
    co_await sleepFor(milliseconds(50));
  if (this->Finishing) {
    this->Dependencies.Counters.add(Counter::CallersRejected, "stopping");
    this->Caller->reject(AnswerCode::Busy, "this entry VM is stopping");
    co_return false;
  }
  const std::shared_ptr<const AccessPlan> Plan =
      this->Dependencies.Directory.plan();
  const auto Route = Plan->Databases.find(this->Database);
  const bool HasRoute = Route != Plan->Databases.end();
  if (HasRoute && Plan->workspaceOf(Route->second, this->Key)) {
    this->Caller->greet();
    this->Dependencies.Counters.add(Counter::CallerConnections);
    this->countReader(Route->second);
    const WorkspaceName Of = *Plan->workspaceOf(Route->second, this->Key);
    if (this->Dependencies.Quota && !Of.empty())
      this->Counted =
          std::make_unique<QuotaSession>(*this->Dependencies.Quota, Of);
    co_return true;
  }
  std::string_view Why = "no configuration";
  if (HasRoute)
    Why = "invalid key";
  else if (Plan->Revision != 0)
    Why = "unknown database";
  this->Dependencies.Counters.add(Counter::CallersRejected, Why);
  log(LogLevel::Info, LogEvent::SessionRejected,
      {{"database", this->Database}, {"plan", Plan->Revision}, {"why", Why}});
  if (HasRoute)
    this->Caller->reject(AnswerCode::NotAuthorised, "the key is not valid");
  else if (Plan->Revision != 0)
    this->Caller->reject(AnswerCode::UnknownDatabase, this->Database);
  else
    this->Caller->reject(AnswerCode::Busy, "no configuration yet");
  co_return false;
}

void Session::countReader(const DatabaseRoute &Route) {
  const std::shared_ptr<Group> Of =
      this->Dependencies.Groups.find(Route.Service);
  if (Of && Route.Consistency != ReadConsistency::Primary)
    this->Reader = std::make_unique<ReaderCount>(Of);
}

TimePoint Session::nextDeadline() const {
  const TimePoint Now = steadyNow();
  if (this->Database.empty())
    return Now + (this->Finishing ? LastGreetingTimeout : GreetingTimeout);
  if (this->Finishing && this->State == TransactionState::Idle)
    return Now + LastReadTimeout;
  if (!this->Transaction)
    return NoDeadline;
  const TimePoint IdleLimit =
      Now + this->Dependencies.Directory.plan()->TransactionIdle;
  return this->Stop ? std::min(IdleLimit, this->Stop->transactionsEnd())
                    : IdleLimit;
}

QCoro::Task<CallerMessage> Session::receive() {
  this->Receiving = true;
  CallerMessage Message = co_await this->Caller->receive(this->nextDeadline());
  this->Receiving = false;
  co_return Message;
}

QCoro::Task<> Session::endLateTransaction() {
  if (!this->Transaction)
    co_return;
  if (this->Stop && steadyNow() >= this->Stop->transactionsEnd()) {
    // The next statement is answered by abortForStop().
    co_await this->abandonTransaction(std::nullopt);
  } else if (!this->Finishing) {
    // An idle transaction is rolled back, because it holds a connection that
    // other sessions need.
    co_await this->abandonTransaction(std::nullopt);
    this->State = TransactionState::Failed;
  }
}

StopAction Session::stopAction(const Statement &S) const {
  return this->Stop ? this->Stop->decide(S.Kind, this->State, steadyNow())
                    : StopAction::Serve;
}

TimePoint Session::stopLimited(TimePoint Limit) const {
  return this->Stop ? std::min(Limit, this->Stop->statementsEnd()) : Limit;
}

QCoro::Task<> Session::serve() {
  while (this->Caller->isOpen()) {
    const bool LastRead =
        this->Finishing && this->State == TransactionState::Idle;
    CallerMessage Message = co_await this->receive();
    if (std::holds_alternative<NoMessage>(Message)) {
      if (LastRead)
        co_return;
      co_await this->endLateTransaction();
      continue;
    }
    if (const auto *Bad = std::get_if<MalformedMessage>(&Message)) {
      this->Caller->send(failure(Bad->Code, Bad->Why, this->State));
      co_return;
    }
    auto *S = std::get_if<Statement>(&Message);
    if (!S)
      co_return;
    const Answer A = co_await this->handle(std::move(*S));
    this->Caller->send(A);
    const bool Taken =
        co_await this->Caller->flushed(steadyNow() + SendTimeout);
    if (!Taken || A.Code == AnswerCode::NotAuthorised)
      co_return;
  }
}

QCoro::Task<Answer> Session::handle(Statement S) {
  const StopAction Action = this->stopAction(S);
  if (Action == StopAction::Refuse)
    co_return this->refuseForStop(S);
  if (Action == StopAction::AbortTransaction)
    co_return co_await this->abortForStop(std::move(S));
  if (this->State == TransactionState::Failed) {
    if (S.Kind == StatementVerb::Commit || S.Kind == StatementVerb::Rollback)
      co_await this->abandonTransaction(std::nullopt);
    co_return this->handleInFailedTransaction(S);
  }
  if (!this->mayContinueTransaction())
    co_return co_await this->abortForKey(std::move(S));
  switch (S.Kind) {
  case StatementVerb::Begin:
    co_return co_await this->handleBegin(std::move(S));
  case StatementVerb::Set:
    co_return co_await this->handleSet(std::move(S));
  case StatementVerb::Prepare:
    co_return this->handlePrepare(S);
  case StatementVerb::Deallocate:
    co_return this->handleDeallocate(S);
  case StatementVerb::Commit:
    co_return co_await this->handleCommit(std::move(S));
  case StatementVerb::Rollback:
    co_return co_await this->handleRollback(std::move(S));
  case StatementVerb::Read:
  case StatementVerb::Write:
  case StatementVerb::Execute:
    break;
  }
  if (this->State == TransactionState::InTransaction)
    co_return co_await this->handleInTransaction(std::move(S));
  co_return co_await this->handleAutocommit(std::move(S));
}

Answer Session::refuseForStop(const Statement &S) {
  StatementContext E;
  std::optional<Answer> NoRoute = this->findRoute(E);
  return this->refuse(
      S, E, NoRoute ? *NoRoute : refuseNotRun("this entry VM is stopping"));
}

QCoro::Task<Answer> Session::abortForStop(Statement S) {
  return this->abortTransaction(std::move(S), "this entry VM is stopping");
}

bool Session::mayContinueTransaction() const {
  if (this->State != TransactionState::InTransaction)
    return true;
  const std::optional<WorkspaceName> Of =
      this->Dependencies.Directory.plan()->workspaceOf(this->TransactionRoute,
                                                       this->Key);
  return Of && *Of == this->TransactionWorkspace;
}

QCoro::Task<Answer> Session::abortForKey(Statement S) {
  return this->abortTransaction(std::move(S), "the key is no longer valid");
}

QCoro::Task<Answer> Session::abortTransaction(Statement S, std::string Why) {
  StatementContext E;
  E.Route = this->TransactionRoute;
  E.Workspace = this->TransactionWorkspace;
  E.ServerGroup = this->TransactionGroup;
  E.Transaction = this->TransactionNumber;
  co_await this->abandonTransaction(std::nullopt);
  // No COMMIT was sent, so nothing of the transaction is kept.
  Answer A = failure(AnswerCode::Aborted, Why + "; rolled back");
  if (S.Kind == StatementVerb::Commit)
    this->endTransaction();
  else
    A = this->failTransaction(A);
  co_return this->refuse(S, E, A);
}

Answer Session::handleInFailedTransaction(const Statement &S) {
  if (S.Kind == StatementVerb::Rollback) {
    this->endTransaction();
    return success(TransactionState::Idle);
  }
  if (S.Kind == StatementVerb::Commit) {
    this->endTransaction();
    return failure(AnswerCode::Aborted, "the transaction failed; rolled back");
  }
  return failure(AnswerCode::Malformed, "the transaction failed",
                 TransactionState::Failed);
}

QCoro::Task<std::optional<Answer>>
Session::admitOperation(const StatementContext &E) {
  if (!this->Dependencies.Quota || E.Workspace.empty())
    co_return std::nullopt;
  const QuotaAnswer Decision = co_await this->Dependencies.Quota->admit(
      E.Workspace, E.Route.LatencyObjective);
  if (Decision.Admitted)
    co_return std::nullopt;
  std::optional<Answer> Refused =
      refuseNotRun("the workspace has reached its limit",
                   TransactionState::Idle, Decision.RetryAfter);
  co_return Refused;
}

QCoro::Task<Answer> Session::handleBegin(Statement S) {
  if (this->State != TransactionState::Idle)
    co_return failure(AnswerCode::Malformed, "a transaction is open",
                      this->State);
  const TimePoint Arrived = steadyNow();
  const TimePoint ArrivedBoot = bootNow();
  StatementContext E;
  if (std::optional<Answer> Refused = this->findRoute(E))
    co_return this->refuse(S, E, *Refused);
  const std::optional<Answer> OverLimit = co_await this->admitOperation(E);
  if (OverLimit)
    co_return this->refuse(S, E, *OverLimit);
  this->TransactionGroup = E.ServerGroup;
  this->TransactionRoute = E.Route;
  this->TransactionWorkspace = E.Workspace;
  this->TransactionBegin = S;
  ++this->TransactionNumber;
  this->TransactionArrived = Arrived;
  this->TransactionArrivedBoot = ArrivedBoot;
  this->TransactionWrote = false;
  this->State = TransactionState::InTransaction;
  co_return success(this->State);
}

QCoro::Task<Answer> Session::handleSet(Statement S) {
  SessionSettingValues Next = this->Values;
  Next[S.Name] = S.Body;
  if (this->Transaction) {
    const std::optional<Error> SetupError = co_await applySessionState(
        *this->Transaction->Link, Next, std::nullopt,
        this->stopLimited(steadyNow() +
                          this->TransactionRoute.StatementTimeout));
    if (SetupError) {
      this->Transaction->Link.drop();
      co_return this->failTransaction(
          failure(AnswerCode::Aborted, SetupError->Message));
    }
  }
  this->Values = std::move(Next);
  co_return success(this->State);
}

Answer Session::handlePrepare(const Statement &S) {
  this->Prepared[S.Name] = {S.Mode, S.Body};
  return success(this->State);
}

Answer Session::handleDeallocate(const Statement &S) {
  if (this->Prepared.erase(S.Name) == 0)
    return failure(AnswerCode::UnknownStatement, S.Name, this->State);
  return success(this->State);
}

bool Session::writes(const Statement &S) const {
  if (S.Kind != StatementVerb::Execute)
    return S.Kind == StatementVerb::Write;
  const auto Found = this->Prepared.find(S.Name);
  return Found != this->Prepared.end() && Found->second.Mode == Access::Write;
}

std::optional<Answer> Session::findRoute(StatementContext &E) const {
  const std::shared_ptr<const AccessPlan> Plan =
      this->Dependencies.Directory.plan();
  const auto Route = Plan->Databases.find(this->Database);
  if (Route == Plan->Databases.end())
    return failure(AnswerCode::UnknownDatabase, this->Database);
  const std::optional<WorkspaceName> Of =
      Plan->workspaceOf(Route->second, this->Key);
  if (!Of)
    return failure(AnswerCode::NotAuthorised, "the key is not valid");
  E.Route = Route->second;
  E.Workspace = *Of;
  E.ServerGroup = this->Dependencies.Groups.find(E.Route.Service);
  if (!E.ServerGroup)
    return refuseNotRun("the service is not configured");
  return std::nullopt;
}

std::optional<Answer> Session::prepareContext(const Statement &S,
                                              StatementContext &E) {
  E.Arrived = steadyNow();
  E.ArrivedBoot = bootNow();
  E.Deadline =
      this->stopLimited(E.Arrived + E.Route.StatementTimeout - AnswerMargin);
  E.DispatchBy =
      E.Arrived + E.Route.LatencyObjective / DispatchDivisor - AnswerMargin;
  E.QueuedDispatchBy = E.Arrived +
                       E.Route.LatencyObjective / QueuedDispatchDivisor -
                       AnswerMargin;
  E.Values = this->Values;
  E.CallerPresent = [this] { return this->Caller->isOpen(); };
  E.Forwarding = this->Dependencies.Forwarding;
  if (this->Floor && E.Route.Service == this->FloorService)
    E.SessionFloor = this->Floor;
  if (S.Kind != StatementVerb::Execute)
    return std::nullopt;
  const auto Found = this->Prepared.find(S.Name);
  if (Found == this->Prepared.end())
    return failure(AnswerCode::UnknownStatement, S.Name, this->State);
  E.Prepared = Found->second;
  return std::nullopt;
}

QCoro::Task<Answer> Session::handleAutocommit(Statement S) {
  StatementContext E;
  if (std::optional<Answer> Refused = this->findRoute(E))
    co_return this->refuse(S, E, *Refused);
  if (std::optional<Answer> Refused = this->prepareContext(S, E))
    co_return this->refuse(S, E, *Refused);
  const std::optional<Answer> OverLimit = co_await this->admitOperation(E);
  if (OverLimit)
    co_return this->refuse(S, E, *OverLimit);
  const bool Writes = this->writes(S);
  Answer A;
  if (Writes)
    A = co_await runWrite(S, E);
  else
    A = co_await runRead(S, E);
  if (Writes && A.succeeded()) {
    this->Floor = A.Position;
    this->FloorService = E.Route.Service;
  }
  this->recordStatement(S, E, A, steadyNow() - E.Arrived);
  co_return A;
}

QCoro::Task<std::optional<Answer>>
Session::openTransaction(StatementContext &E) {
  if (this->Transaction)
    co_return std::nullopt;
  E.ArrivedBoot = this->TransactionArrivedBoot;
  ReadConstraint Constraint = readConstraintFor(E);
  if (this->TransactionBegin.Mode == Access::Read)
    Constraint = co_await awaitReadConstraint(E);
  auto Begun = co_await beginTransaction(this->TransactionBegin, Constraint, E);
  if (auto *Refused = std::get_if<Answer>(&Begun))
    co_return *Refused;
  this->Transaction = std::move(std::get<OpenTransaction>(Begun));
  co_return std::nullopt;
}

QCoro::Task<Answer> Session::handleInTransaction(Statement S) {
  StatementContext E;
  E.Route = this->TransactionRoute;
  E.Workspace = this->TransactionWorkspace;
  E.ServerGroup = this->TransactionGroup;
  E.Transaction = this->TransactionNumber;
  if (std::optional<Answer> Refused = this->prepareContext(S, E))
    co_return this->refuse(S, E, this->failTransaction(*Refused));
  if (std::optional<Answer> Refused = co_await this->openTransaction(E)) {
    const Answer Failed = this->failTransaction(*Refused);
    this->recordStatement(S, E, Failed, steadyNow() - E.Arrived);
    co_return Failed;
  }
  LinkLease &Link = this->Transaction->Link;
  E.LastServer = Link.server();
  ++E.Attempts;
  Answer A;
  const std::optional<Error> SetupError =
      co_await applySessionState(*Link, E.Values, E.Prepared, E.Deadline);
  if (SetupError) {
    A = failure(AnswerCode::Aborted, SetupError->Message);
    Link.drop();
  } else {
    const bool Writes = this->writes(S);
    this->TransactionWrote = this->TransactionWrote || Writes;
    const std::string Name =
        E.Prepared ? preparedStatementName(*E.Prepared) : "";
    const Result<Answer> R =
        co_await Link.link().run(S, std::nullopt, Name, E.Deadline);
    if (succeeded(R)) {
      A = valueOf(R);
    } else {
      E.ServerGroup->observeFailure(Link.server(), errorOf(R));
      // No COMMIT was sent, so the server rolls back when the connection
      // closes.
      A = failure(AnswerCode::Aborted, errorOf(R) + "; rolled back");
      Link.drop();
    }
    if (A.succeeded() && !Writes && this->Transaction->NeedsProof) {
      const bool Proved = co_await E.ServerGroup->awaitProof(
          this->Transaction->LeaderTerm, this->TransactionArrivedBoot,
          E.Deadline);
      this->Transaction->NeedsProof = !Proved;
      if (!Proved) {
        A = failure(AnswerCode::Aborted,
                    "could not prove that the server was still the primary");
        Link.drop();
      }
    }
  }
  // In a read-only transaction every server refuses a write, so the refusal
  // does not show that the server is a replica.
  if (A.Code == AnswerCode::ReadOnly &&
      this->TransactionBegin.Mode == Access::Write)
    E.ServerGroup->markNotPrimary(E.LastServer);
  if (!A.succeeded())
    A = this->failTransaction(A);
  this->recordStatement(S, E, A, steadyNow() - E.Arrived);
  co_return A;
}

QCoro::Task<Answer> Session::handleCommit(Statement S) {
  if (this->State != TransactionState::InTransaction)
    co_return failure(AnswerCode::Malformed, "no transaction is open");
  StatementContext E;
  E.Route = this->TransactionRoute;
  E.Workspace = this->TransactionWorkspace;
  E.ServerGroup = this->TransactionGroup;
  E.Transaction = this->TransactionNumber;
  this->prepareContext(S, E);
  if (std::optional<Answer> Refused = co_await this->openTransaction(E)) {
    this->endTransaction();
    this->recordStatement(S, E, *Refused, steadyNow() - E.Arrived);
    co_return *Refused;
  }
  LinkLease Link = std::move(this->Transaction->Link);
  E.LastServer = Link.server();
  ++E.Attempts;
  const bool Wrote = this->TransactionWrote;
  const Term LeaderTerm = this->Transaction->LeaderTerm;
  const TimePoint SentAt = bootNow();
  const PendingWrite Pending(*E.ServerGroup);
  const Result<Answer> R =
      co_await Link.link().run(S, std::nullopt, "", E.Deadline);
  this->endTransaction();
  Answer A;
  if (succeeded(R)) {
    A = valueOf(R);
    E.ServerGroup->observeAnswer(Link.server(), A, SentAt);
    if (A.Code == AnswerCode::ReadOnly)
      E.ServerGroup->markNotPrimary(Link.server());
    if (A.State != TransactionState::Idle)
      Link.drop();
    Link.release();
    if (A.succeeded() && Wrote) {
      const BelievedPrimary Primary{E.LastServer, LeaderTerm};
      A = co_await confirmCommit(std::move(A), Primary, SentAt, E);
      if (A.succeeded()) {
        this->Floor = A.Position;
        this->FloorService = E.Route.Service;
      }
    }
  } else {
    E.ServerGroup->observeFailure(Link.server(), errorOf(R));
    Link.drop();
    // A transaction without writes has no unknown outcome.
    A = Wrote ? failure(AnswerCode::OutcomeUnknown, errorOf(R))
              : failure(AnswerCode::Aborted, errorOf(R) + "; nothing written");
  }
  A.State = TransactionState::Idle;
  this->recordStatement(S, E, A, steadyNow() - E.Arrived);
  co_return A;
}

QCoro::Task<Answer> Session::handleRollback(Statement S) {
  co_await this->abandonTransaction(std::move(S));
  this->endTransaction();
  co_return success(TransactionState::Idle);
}

QCoro::Task<> Session::abandonTransaction(std::optional<Statement> Rollback) {
  if (!this->Transaction)
    co_return;
  LinkLease Link = std::move(this->Transaction->Link);
  this->Transaction.reset();
  if (!Link)
    co_return;
  const TimePoint Deadline = this->stopLimited(steadyNow() + RollbackTimeout);
  Result<Answer> R = Error{};
  if (Rollback)
    R = co_await Link.link().run(*Rollback, std::nullopt, "", Deadline);
  else
    R = co_await Link.link().rollback(Deadline);
  const bool Clean = succeeded(R) && valueOf(R).succeeded() &&
                     valueOf(R).State == TransactionState::Idle;
  if (!Clean)
    Link.drop();
}

Answer Session::failTransaction(Answer A) {
  this->State = TransactionState::Failed;
  A.State = TransactionState::Failed;
  if (this->Transaction && !this->Transaction->Link)
    this->Transaction.reset();
  return A;
}

void Session::endTransaction() {
  this->State = TransactionState::Idle;
  this->Transaction.reset();
  this->TransactionGroup.reset();
}

Answer Session::refuse(const Statement &S, const StatementContext &E,
                       Answer A) {
  this->recordStatement(S, E, A, Duration::zero());
  return A;
}

void Session::recordLatency(const StatementContext &E, Duration Elapsed) {
  this->Dependencies.Counters.observe(
      Timing::StatementLatency,
      {E.Route.Service, CallerName(this->Database),
       ClassName(std::string(nameOf(E.Route.Consistency)))},
      Elapsed);
}

void Session::recordStatement(const Statement &S, const StatementContext &E,
                              const Answer &A, Duration Elapsed) {
  this->recordLatency(E, Elapsed);
  this->Dependencies.Counters.add(
      Counter::Statements, E.LastServer.empty() ? "none" : E.LastServer.str());
  if (A.Code)
    this->Dependencies.Counters.add(Counter::Refusals, nameOf(*A.Code));
  std::optional<BelievedPrimary> Leader;
  std::optional<TimePoint> Known;
  if (E.ServerGroup) {
    Leader = E.ServerGroup->beliefs().primary();
    Known = E.ServerGroup->freshness().newestUsable();
  }
  const bool Good = A.succeeded();
  log(LogLevel::Info,
      Good ? LogEvent::StatementAnswered : LogEvent::StatementRefused,
      {{"id", S.Id},
       {"database", this->Database},
       {"service", E.Route.Service.str()},
       {"workspace", E.Workspace.empty() ? "-" : E.Workspace.str()},
       {"session", this->Number},
       {"transaction", E.Transaction},
       {"kind", nameOf(S.Kind)},
       {"consistency", nameOf(E.Route.Consistency)},
       {"plan", this->Dependencies.Directory.plan()->Revision},
       {"primary", Leader ? Leader->Id.str() : "none"},
       {"term", Leader ? Leader->TermNumber : 0},
       {"known_age_ms", Known ? wholeMilliseconds(bootNow() - *Known) : 0},
       {"floor", positionText(E.Floor)},
       {"server", E.LastServer.str()},
       {"forwarder", E.Forwarder.empty() ? "-" : E.Forwarder.str()},
       {"holder", E.Holder.empty() ? "-" : E.Holder.str()},
       {"attempts", E.Attempts},
       {"trail", E.Trail},
       {"position", positionText(A.Position)},
       {"outcome", Good ? "ok" : nameOf(*A.Code)},
       {"why", Good ? "" : A.Detail},
       {"ms", wholeMilliseconds(Elapsed)}});
}

} // namespace amaranthspur
