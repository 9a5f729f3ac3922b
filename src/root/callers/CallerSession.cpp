#include "root/callers/CallerSession.h"

#include "core/SessionToken.h"

#include <algorithm>

namespace amaranthspur {
namespace {

/// Time within which a new connection must send its start-up message.
constexpr Duration StartupTimeout = std::chrono::seconds(10);
/// A caller that reads no byte of its answer for this long is disconnected, so
/// that it does not hold a slot on the server indefinitely.
constexpr Duration WriteStallTimeout = std::chrono::seconds(10);
/// Time within which a caller must close its connection after a fatal error has
/// been sent to it, before this side closes it.
constexpr Duration CloseTimeout = milliseconds(500);
/// Time to wait for a group view of the term that a token names.
constexpr Duration TokenTermTimeout = milliseconds(1000);

constexpr std::string_view TokenParameter = "amaranthspur.session";
constexpr std::string_view SettingPrefix = "amaranthspur.";
constexpr std::string_view ServerVersion = "15.0 (amaranthspur)";

/// Writes answers to the caller's connection and waits while its write buffer
/// is full.
class ConnectionSink final : public AnswerSink {
public:
  explicit ConnectionSink(Connection &Wire) : Wire(Wire) {}

  QCoro::Task<bool> deliver(std::string Frames) override {
    this->Wire.write(Frames);
    std::size_t Before = this->Wire.queuedBytes();
    while (Before > Connection::WriteBufferBytes) {
      const bool Written =
          co_await this->Wire.waitWritable(steadyNow() + WriteStallTimeout);
      if (Written)
        break;
      const std::size_t Remaining = this->Wire.queuedBytes();
      if (!this->Wire.isOpen() || Remaining >= Before)
        co_return false;
      Before = Remaining;
    }
    co_return this->Wire.isOpen();
  }

private:
  Connection &Wire;
};

} // namespace

CallerSession::CallerSession(SessionContext &Context,
                             std::unique_ptr<Connection> Wire,
                             std::uint64_t Number, CancelKey Key,
                             std::function<void(CancelKey)> OnCancel)
    : Context(Context), Wire(std::move(Wire)), Stream{Context.Self, Number},
      Key(Key), OnCancel(std::move(OnCancel)) {}

QCoro::Task<> CallerSession::run() {
  const bool Started = co_await this->startUp();
  if (!Started)
    co_return;
  while (this->Wire->isOpen()) {
    std::optional<Batch> Next = co_await this->readBatch();
    if (!Next)
      break;
    this->Busy = true;
    co_await this->serve(std::move(*Next));
    this->Busy = false;
  }
  if (this->InServerTransaction)
    this->Binding.Executor->closeStream(this->Stream);
  if (this->Finishing && this->Wire->isOpen())
    co_await this->closeWithError("57P01", "entry VM is shutting down");
}

void CallerSession::finish() {
  this->Finishing = true;
  this->Wire->interrupt();
}

void CallerSession::abort() { this->Wire->abort(); }

void CallerSession::cancel() {
  if (this->Binding.Executor)
    this->Binding.Executor->cancel(this->Stream);
}

QCoro::Task<> CallerSession::closeWithError(std::string_view SqlState,
                                            std::string_view Message) {
  this->Wire->write(pg::buildError("FATAL", SqlState, Message));
  // Closing a socket with unread input resets the connection, and the caller
  // could lose the error message. Input is therefore read until the caller
  // closes the connection.
  const TimePoint Until = steadyNow() + CloseTimeout;
  while (this->Wire->isOpen() && steadyNow() < Until)
    co_await this->Wire->waitReadable(Until);
  this->Wire->close();
}

QCoro::Task<bool> CallerSession::startUp() {
  const TimePoint Until = steadyNow() + StartupTimeout;
  for (;;) {
    const Result<std::optional<pg::Frame>> Next = this->Wire->reader().next();
    if (!succeeded(Next)) {
      co_await this->closeWithError("08P01", errorOf(Next));
      co_return false;
    }
    if (!valueOf(Next)) {
      const ReadEvent Event = co_await this->Wire->waitReadable(Until);
      if (Event != ReadEvent::Data)
        co_return false;
      continue;
    }
    Result<pg::Startup> Parsed = pg::parseStartup(valueOf(Next)->Body);
    if (!succeeded(Parsed)) {
      co_await this->closeWithError("08P01", errorOf(Parsed));
      co_return false;
    }
    switch (valueOf(Parsed).Kind) {
    case pg::StartupKind::Ssl:
    case pg::StartupKind::GssEncryption:
      this->Wire->write("N");
      this->Wire->reader().expectStartup();
      continue;
    case pg::StartupKind::Cancel:
      this->OnCancel({valueOf(Parsed).ProcessId, valueOf(Parsed).SecretKey});
      co_return false;
    case pg::StartupKind::Start:
      co_return co_await this->beginSession(std::move(valueOf(Parsed)));
    }
  }
}

QCoro::Task<bool> CallerSession::beginSession(pg::Startup Start) {
  if (const std::optional<Refusal> R = this->applyStartup(Start)) {
    this->Context.Counters.add(Counter::CallersRejected, nameOf(R->Reason));
    co_await this->closeWithError(sqlState(R->Kind, R->Reason), message(*R));
    co_return false;
  }
  std::string Out = pg::buildAuthenticationOk();
  const std::pair<std::string_view, std::string_view> Parameters[] = {
      {"server_version", ServerVersion},
      {"server_encoding", "UTF8"},
      {"client_encoding", "UTF8"},
      {"DateStyle", "ISO, MDY"},
      {"integer_datetimes", "on"},
      {"standard_conforming_strings", "on"},
      {"amaranthspur.entry_vm", this->Context.Self.str()}};
  for (const auto &[Name, Value] : Parameters)
    Out += pg::buildParameterStatus(Name, Value);
  if (this->Settings.Token)
    Out += pg::buildParameterStatus(TokenParameter, *this->Settings.Token);
  Out += pg::buildBackendKeyData(this->Key.ProcessId, this->Key.SecretKey);
  Out += pg::buildReadyForQuery(TransactionState::Idle);
  this->Wire->write(Out);
  co_return true;
}

std::optional<Refusal> CallerSession::applyStartup(const pg::Startup &Start) {
  const auto Find = [&Start](const char *Name) {
    const auto Found = Start.Parameters.find(Name);
    return Found == Start.Parameters.end() ? std::string() : Found->second;
  };
  this->Caller = CallerName(Find("user"));
  this->Service = ServiceName(Find("database"));
  const std::shared_ptr<const Configuration> Config =
      this->Context.Config.current();
  const ServiceConfig *Service = Config->findService(this->Service);
  if (!Service)
    return notRun(RefusalReason::UnknownService, this->Service.str());
  if (!this->findCaller(*Service))
    return notRun(RefusalReason::UnknownCaller, this->Caller.str());
  StatementTraits StartupTraits;
  for (const auto &[Name, Value] : Start.Parameters)
    if (Name.starts_with(SettingPrefix))
      StartupTraits.Settings.push_back(
          {Name.substr(SettingPrefix.size()), Value});
  Result<std::vector<SettingAssignment>> Options =
      settingsFromOptions(Find("options"));
  if (!succeeded(Options))
    return notRun(RefusalReason::InvalidSetting, errorOf(Options));
  for (SettingAssignment &Option : valueOf(Options))
    StartupTraits.Settings.push_back(std::move(Option));
  if (std::optional<Refusal> R =
          this->applySettings(StartupTraits, this->Settings))
    return R;
  this->TokenChecked = !this->Settings.Token;
  this->Context.OnServiceUse(this->Service);
  return std::nullopt;
}

const CallerConfig *
CallerSession::findCaller(const ServiceConfig &Service) const {
  for (const CallerConfig &Known : Service.Callers)
    if (Known.Name == this->Caller)
      return &Known;
  return nullptr;
}

std::optional<Refusal>
CallerSession::applySettings(const StatementTraits &Traits,
                             SessionSettings &To) const {
  for (const SettingAssignment &Given : Traits.Settings) {
    const Result<Success> Applied = To.apply(Given.Name, Given.Value);
    if (!succeeded(Applied))
      return notRun(RefusalReason::InvalidSetting, errorOf(Applied));
    if (parseName<SessionSetting>(Given.Name) != SessionSetting::Session)
      continue;
    const Result<SessionToken> Token =
        parseToken(Given.Value, this->Context.DeploymentKey, this->Service);
    if (!succeeded(Token))
      return notRun(RefusalReason::InvalidToken, errorOf(Token));
  }
  return std::nullopt;
}

QCoro::Task<std::optional<CallerSession::Batch>> CallerSession::readBatch() {
  Batch B;
  for (;;) {
    const Result<std::optional<pg::Frame>> Next = this->Wire->reader().next();
    if (!succeeded(Next)) {
      co_await this->closeWithError("08P01", errorOf(Next));
      co_return std::nullopt;
    }
    if (!valueOf(Next)) {
      const bool AtRequestBoundary = B.Types.empty() &&
                                     this->Wire->reader().buffered() == 0 &&
                                     this->State == TransactionState::Idle;
      if (this->Finishing && AtRequestBoundary)
        co_return std::nullopt;
      const ReadEvent Event = co_await this->Wire->waitReadable();
      if (Event == ReadEvent::Closed)
        co_return std::nullopt;
      continue;
    }
    const pg::Frame &F = *valueOf(Next);
    if (F.Type == 'X')
      co_return std::nullopt;
    this->addToBatch(F, B);
    if (F.Type == 'Q' || F.Type == 'S' || F.Type == 'F')
      co_return B;
  }
}

void CallerSession::addStatement(std::string_view Sql, Batch &B) const {
  StatementTraits Traits = classify(Sql);
  if (!B.HasStatement) {
    B.Traits = std::move(Traits);
  } else {
    // All statements before one Sync are routed together, as a write.
    B.Traits.Multiple = true;
    B.Traits.InferredAccess = Access::Write;
    if (Traits.Kind != StatementKind::Plain)
      B.Traits.Kind = Traits.Kind;
  }
  B.HasStatement = true;
}

void CallerSession::addToBatch(const pg::Frame &F, Batch &B) const {
  B.Types += F.Type;
  B.Simple = F.Type == 'Q';
  if (B.Frames.size() + F.Whole.size() > pg::MaxCallerFrameBytes)
    B.Refused = notRun(RefusalReason::MessageTooLarge);
  if (B.Refused) {
    B.Frames.clear();
    return;
  }
  B.Frames += F.Whole;
  Result<std::string_view> Text = std::string_view();
  switch (F.Type) {
  case 'Q':
    Text = pg::parseQuery(F.Body);
    if (succeeded(Text))
      this->addStatement(valueOf(Text), B);
    break;
  case 'P':
    Text = pg::parseStatementText(F.Body);
    if (succeeded(Text))
      this->addStatement(valueOf(Text), B);
    [[fallthrough]];
  case 'B':
  case 'D':
  case 'C': {
    const Result<std::string_view> Name = pg::parseStatementName(F);
    if (!succeeded(Name))
      B.Refused = notRun(RefusalReason::Unsupported, errorOf(Name));
    else if (!valueOf(Name).empty())
      B.Refused = notRun(RefusalReason::Unsupported,
                         "named prepared statements; use unnamed ones");
    else if (F.Type == 'B' && !B.HasStatement && !this->InServerTransaction)
      B.Refused = notRun(RefusalReason::Unsupported,
                         "Bind without Parse before it in the same message "
                         "sequence");
    break;
  }
  case 'E':
  case 'S':
    break;
  case 'H':
    B.Refused = notRun(RefusalReason::Unsupported, "Flush; use Sync");
    break;
  default:
    B.Refused = notRun(RefusalReason::Unsupported,
                       std::string("message type ") + F.Type);
    break;
  }
  if (!succeeded(Text))
    B.Refused = notRun(RefusalReason::Unsupported, errorOf(Text));
}

QCoro::Task<> CallerSession::serve(Batch B) {
  if (B.Refused) {
    if (this->State == TransactionState::InTransaction) {
      this->Binding.Executor->closeStream(this->Stream);
      this->InServerTransaction = false;
      this->TransactionAborted = true;
      this->State = TransactionState::Failed;
    }
    this->answerRefusal(*B.Refused);
    co_return;
  }
  if (this->serveLocally(B))
    co_return;
  co_await this->serveStatement(std::move(B));
}

bool CallerSession::serveLocally(const Batch &B) {
  if (this->TransactionAborted) {
    if (B.Traits.Kind == StatementKind::End) {
      this->TransactionAborted = false;
      this->State = TransactionState::Idle;
      this->answerLocally(B, "ROLLBACK");
    } else {
      this->Wire->write(pg::buildError(
          "ERROR", "25P02",
          "not run: current transaction is aborted, commands ignored until "
          "end of transaction block"));
      this->writeReady();
    }
    return true;
  }
  switch (B.HasStatement ? B.Traits.Kind : StatementKind::Empty) {
  case StatementKind::Empty:
    if (!B.HasStatement && this->InServerTransaction)
      return false;
    this->answerLocally(B, "");
    return true;
  case StatementKind::SetProxySetting:
    if (const auto R = this->applySettings(B.Traits, this->Settings)) {
      this->answerRefusal(*R);
      return true;
    }
    if (B.Traits.Settings.back().Name == nameOf(SessionSetting::Session))
      this->TokenChecked = false;
    this->answerLocally(B, "SET");
    return true;
  case StatementKind::ShowProxySetting: {
    const std::string &Name = B.Traits.Settings.back().Name;
    const Result<std::string> Value = this->Settings.show(Name);
    if (!succeeded(Value))
      this->answerRefusal(
          notRun(RefusalReason::InvalidSetting, errorOf(Value)));
    else
      this->answerLocally(B, "SHOW", {std::string(SettingPrefix) + Name},
                          {valueOf(Value)});
    return true;
  }
  case StatementKind::SessionState:
    this->answerRefusal(notRun(
        RefusalReason::Unsupported,
        "the statement would leave state on a connection that is shared; use "
        "SET LOCAL in a transaction, or unnamed prepared statements"));
    return true;
  case StatementKind::Plain:
  case StatementKind::Begin:
  case StatementKind::End:
    return false;
  }
  return false;
}

void CallerSession::answerLocally(
    const Batch &B, std::string_view Tag,
    const std::vector<std::string> &Columns,
    const std::vector<std::optional<std::string>> &Row) {
  const std::string Description =
      Columns.empty() ? std::string() : pg::buildRowDescription(Columns);
  const std::string Data =
      Columns.empty() ? std::string() : pg::buildDataRow(Row);
  const std::string Complete =
      Tag.empty() ? pg::buildFrame('I', "") : pg::buildCommandComplete(Tag);
  std::string Out;
  for (const char Type : B.Types) {
    if (Type == 'Q')
      Out.append(Description).append(Data).append(Complete);
    if (Type == 'P')
      Out += pg::buildFrame('1', "");
    if (Type == 'B')
      Out += pg::buildFrame('2', "");
    if (Type == 'C')
      Out += pg::buildFrame('3', "");
    if (Type == 'D')
      Out += Columns.empty() ? pg::buildFrame('n', "") : Description;
    if (Type == 'E')
      Out.append(Data).append(Complete);
  }
  this->Wire->write(Out);
  this->writeReady();
}

void CallerSession::answerRefusal(const Refusal &R) {
  this->Context.Counters.add(Counter::Refusals, nameOf(R.Reason));
  this->Wire->write(pg::buildRefusal(R));
  this->writeReady();
}

void CallerSession::writeReady() {
  this->Wire->write(pg::buildReadyForQuery(this->State));
}

QCoro::Task<std::optional<Refusal>>
CallerSession::checkToken(TimePoint Deadline) {
  const Result<SessionToken> Token = parseToken(
      *this->Settings.Token, this->Context.DeploymentKey, this->Service);
  if (!succeeded(Token))
    co_return notRun(RefusalReason::InvalidToken, errorOf(Token));
  const LogPosition Given = valueOf(Token).Position;
  // This entry VM's view can lag behind a promotion that the token's issuer has
  // already seen.
  const TimePoint Until = std::min(Deadline, steadyNow() + TokenTermTimeout);
  WaitPoint Updated;
  for (;;) {
    const GroupView *View = this->Context.Views.find(this->Service);
    if (View && View->TermNumber >= Given.TermNumber)
      break;
    this->Context.Views.wakeOnUpdate(this->Service, &Updated);
    const bool Woken = co_await Updated.wait(Until);
    this->Context.Views.cancelWake(&Updated);
    if (!Woken)
      co_return notRun(RefusalReason::InvalidToken,
                       std::string("its term ")
                           .append(std::to_string(Given.TermNumber))
                           .append(" is later than any known of the service"));
  }
  this->Floor = std::max(this->Floor, Given);
  this->FloorKnown = true;
  this->TokenChecked = true;
  co_return std::nullopt;
}

QCoro::Task<std::optional<Refusal>>
CallerSession::prepareFloor(TimePoint Deadline) {
  if (this->FloorKnown)
    co_return std::nullopt;
  const std::optional<LogPosition> Current =
      co_await this->Context.Executors.currentFloor(this->Service, Deadline);
  if (!Current)
    co_return notRun(RefusalReason::NoMajority,
                     "the session has no token and no majority answers");
  this->raiseFloor(*Current);
  co_return std::nullopt;
}

void CallerSession::raiseFloor(LogPosition Position) {
  if (this->FloorKnown && Position <= this->Floor)
    return;
  this->Floor = std::max(this->Floor, Position);
  this->FloorKnown = true;
  this->Settings.Token =
      formatToken({this->Service, this->Floor}, this->Context.DeploymentKey);
  this->Wire->write(
      pg::buildParameterStatus(TokenParameter, *this->Settings.Token));
}

QCoro::Task<> CallerSession::serveStatement(Batch B) {
  const TimePoint Start = steadyNow();
  const std::shared_ptr<const Configuration> Config =
      this->Context.Config.current();
  const ServiceConfig *Service = Config->findService(this->Service);
  const CallerConfig *Caller = Service ? this->findCaller(*Service) : nullptr;
  if (!Caller) {
    this->answerRefusal(notRun(RefusalReason::UnknownService,
                               "it is no longer configured for this caller"));
    co_return;
  }
  SessionSettings StatementSettings = this->Settings;
  std::optional<Refusal> EarlyRefusal =
      this->applySettings(B.Traits, StatementSettings);
  const Result<EffectiveSettings> Effective =
      resolveSettings(StatementSettings, B.Traits, *Service, *Caller,
                      this->InServerTransaction);
  if (!EarlyRefusal && !succeeded(Effective))
    EarlyRefusal = notRun(RefusalReason::InvalidSetting, errorOf(Effective));
  if (EarlyRefusal) {
    this->handleResult({EarlyRefusal, {}, this->State}, B);
    co_return;
  }
  const EffectiveSettings &E = valueOf(Effective);
  this->Context.OnServiceUse(this->Service);
  ExecuteRequest Request;
  Request.Service = this->Service;
  Request.Stream = this->Stream;
  Request.Caller = this->Caller;
  Request.Class = E.Class;
  Request.Shape = B.Traits.Shape;
  Request.RequestedAccess = E.RequestedAccess;
  Request.InTransaction = this->InServerTransaction;
  Request.BeginsTransaction = B.Traits.Kind == StatementKind::Begin;
  Request.MaxStaleness = E.MaxStaleness;
  Request.Deadline = Start + E.Deadline;
  Request.Frames = B.Frames;
  if (!this->TokenChecked)
    EarlyRefusal = co_await this->checkToken(Request.Deadline);
  if (!EarlyRefusal && E.RequestedAccess == Access::Read &&
      !this->InServerTransaction)
    EarlyRefusal = co_await this->prepareFloor(Request.Deadline);
  if (EarlyRefusal) {
    this->handleResult({EarlyRefusal, {}, this->State}, B);
    co_return;
  }
  Request.Floor = this->Floor;
  ConnectionSink Sink(*this->Wire);
  const ClassName Class = E.Class;
  const bool MayWrite =
      E.RequestedAccess == Access::Write &&
      (B.Traits.InferredAccess == Access::Write || B.Traits.Multiple);
  if (this->InServerTransaction) {
    this->Wrote =
        this->Wrote || (B.Traits.Kind == StatementKind::Plain && MayWrite);
    this->handleResult(
        co_await this->runInTransaction(std::move(Request), Sink), B);
  } else {
    this->Wrote = B.Traits.Kind == StatementKind::Plain && MayWrite;
    RoutedStatement Statement;
    Statement.Order = std::move(Request);
    Statement.Repeatability = E.Repeatability;
    Statement.DeclaredRead = StatementSettings.RequestedAccess == Access::Read;
    const RoutedResult Out =
        co_await this->runOutsideTransaction(std::move(Statement), Sink);
    this->handleResult(Out.Result, B);
  }
  this->Context.Counters.observe(Timing::StatementLatency,
                                 {this->Service, this->Caller, Class},
                                 steadyNow() - Start);
}

QCoro::Task<StatementResult>
CallerSession::runInTransaction(ExecuteRequest Request, AnswerSink &Sink) {
  Request.Server = this->Binding.Server;
  // This copy keeps the executor alive during the call even if the binding
  // changes.
  const std::shared_ptr<StatementExecutor> Executor = this->Binding.Executor;
  co_return co_await Executor->execute(std::move(Request), Sink);
}

QCoro::Task<RoutedResult>
CallerSession::runOutsideTransaction(RoutedStatement Statement,
                                     AnswerSink &Sink) {
  Statement.Budget = &this->Context.RetryBudgets[{this->Service, this->Caller}];
  RoutedResult Out =
      co_await this->Context.Router.run(std::move(Statement), Sink);
  if (Out.Attempts > 1)
    this->Context.Counters.add(Counter::Retries, {}, Out.Attempts - 1);
  if (!Out.Result.Refused) {
    this->Context.Counters.add(
        Counter::Statements,
        nameOf(Out.FromReplica ? ServerRole::Replica : ServerRole::Primary));
    this->Binding = Out.Binding;
  }
  co_return Out;
}

void CallerSession::handleResult(const StatementResult &Result,
                                 const Batch &B) {
  if (!Result.Refused) {
    this->State = Result.State;
    this->InServerTransaction = Result.State != TransactionState::Idle;
    if (!this->InServerTransaction && this->Wrote)
      this->raiseFloor(Result.Position);
    this->writeReady();
    return;
  }
  if (this->InServerTransaction) {
    // The server rolls the transaction back when its connection is closed.
    // After a COMMIT the transaction has ended either way, and the refusal says
    // whether its outcome is known.
    this->Binding.Executor->closeStream(this->Stream);
    this->InServerTransaction = false;
    this->TransactionAborted = B.Traits.Kind != StatementKind::End;
    this->State = this->TransactionAborted ? TransactionState::Failed
                                           : TransactionState::Idle;
  }
  this->answerRefusal(*Result.Refused);
}

} // namespace amaranthspur
