#include "root/groups/GroupMonitor.h"

#include "core/BootClock.h"
#include "root/telemetry/Log.h"

#include <algorithm>
#include <set>
#include <utility>

namespace amaranthspur {
namespace {

/// Returns the call that a step makes to its servers.
ServerRequest requestFor(TakeoverStep Step) {
  if (Step == TakeoverStep::StepDown)
    return ServerRequest::StepDown;
  return Step == TakeoverStep::Adopt ? ServerRequest::Adopt
                                     : ServerRequest::Status;
}

} // namespace

GroupMonitor::GroupMonitor(std::shared_ptr<Group> Monitored,
                           MonitorDependencies Dependencies)
    : Monitored(std::move(Monitored)), Dependencies(std::move(Dependencies)),
      Claim(this->Dependencies.Self),
      OperationNonce(this->Dependencies.Rng.below(1ULL << 62U)) {}

void GroupMonitor::start() { this->watch(); }

QCoro::Task<> GroupMonitor::stop() {
  this->Stopping = true;
  this->Monitored->monitorWake().wake();
  co_await this->Tasks.waitUntilEmpty();
}

QCoro::Task<> GroupMonitor::watch() {
  const TaskGroup::Guard Guard(this->Tasks);
  while (!this->Stopping) {
    const Duration Interval =
        this->Degraded ? DegradedInterval : NormalInterval;
    co_await this->Monitored->monitorWake().wait(steadyNow() + Interval);
    if (this->Stopping)
      break;
    this->updateSuspicion();
    if (this->defersToRelay()) {
      this->Degraded = true;
      this->Monitored->refreshEvidence();
      continue;
    }
    co_await this->learnPrimaryTerm();
    const TakeoverReason Reason = co_await this->checkPrimary();
    this->Degraded = Reason != TakeoverReason::None || this->Degraded;
    // Another entry VM's claim must end before this one may act.
    this->observeReturn();
    if (Reason != TakeoverReason::None && this->Claim.mayClaim(bootNow()))
      co_await this->takeOver(Reason);
    co_await this->undoStrandedAdoptions();
  }
}

bool GroupMonitor::hasSlowWrite() const {
  const std::multiset<TimePoint> &Pending = this->Monitored->pendingWrites();
  return !Pending.empty() &&
         steadyNow() - *Pending.begin() > SlowWriteThreshold;
}

bool GroupMonitor::looksSuspicious() const {
  const GroupBeliefs &Beliefs = this->Monitored->beliefs();
  const std::optional<BelievedPrimary> Leader = Beliefs.primary();
  if (!Leader)
    return !Beliefs.servers().empty();
  const ServerBelief *Server = Beliefs.find(Leader->Id);
  return Leader->TermNumber == 0 || Server->FailingSince ||
         Server->Registration.Draining || this->hasSlowWrite();
}

void GroupMonitor::updateSuspicion() {
  if (!this->looksSuspicious()) {
    this->SuspectSince.reset();
    return;
  }
  if (this->SuspectSince)
    return;
  this->SuspectSince = steadyNow();
  const auto Spread = static_cast<std::uint64_t>(FollowerSpread.count());
  this->DeferralTime =
      FollowerDelay + Duration(static_cast<Duration::rep>(
                          this->Dependencies.Rng.below(Spread)));
}

bool GroupMonitor::defersToRelay() const {
  // A relay would have to wait for the lease after this entry VM's order.
  return this->SuspectSince && this->Monitored->isFollower() &&
         !this->Claim.hasLastOrder() &&
         steadyNow() - *this->SuspectSince < this->DeferralTime;
}

void GroupMonitor::suspect() {
  this->ReportedUntil = steadyNow() + ReportedSuspicion;
  this->Monitored->monitorWake().wake();
}

QCoro::Task<> GroupMonitor::learnPrimaryTerm() {
  const std::optional<BelievedPrimary> Leader =
      this->Monitored->beliefs().primary();
  if (Leader && Leader->TermNumber == 0)
    co_await this->call(Leader->Id, ServerRequest::Status, 0);
}

QCoro::Task<TakeoverReason> GroupMonitor::checkPrimary() {
  this->Degraded = false;
  const GroupBeliefs &Beliefs = this->Monitored->beliefs();
  const std::optional<BelievedPrimary> Leader = Beliefs.primary();
  if (!Leader) {
    if (Beliefs.servers().empty())
      co_return TakeoverReason::None;
    this->Degraded = true;
    co_await this->pollAll();
    if (Beliefs.primary() || this->Stopping) {
      this->MissingSince.reset();
      co_return TakeoverReason::None;
    }
    if (!this->MissingSince)
      this->MissingSince = steadyNow();
    if (steadyNow() - *this->MissingSince < UnreachableTimeout)
      co_return TakeoverReason::None;
    co_return TakeoverReason::PrimaryMissing;
  }
  this->MissingSince.reset();
  const ServerBelief *Server = Beliefs.find(Leader->Id);
  if (Server->FailingSince) {
    this->Degraded = true;
    const bool Unreachable = co_await this->isUnreachable(*Leader);
    co_return Unreachable ? TakeoverReason::PrimaryUnreachable
                          : TakeoverReason::None;
  }
  if (Server->Registration.Draining && this->hasSuccessor(Leader->Id))
    co_return TakeoverReason::PrimaryLeaving;
  const bool Slow = this->hasSlowWrite() || steadyNow() < this->ReportedUntil;
  this->Degraded = Slow;
  if (Slow) {
    const bool Isolated = co_await this->isIsolated(*Leader);
    if (Isolated)
      co_return TakeoverReason::PrimaryIsolated;
  }
  co_return TakeoverReason::None;
}

bool GroupMonitor::hasSuccessor(const ServerId &Leaving) const {
  for (const auto &[Id, Server] : this->Monitored->beliefs().servers())
    if (Id != Leaving && !Server.Registration.Draining && !Server.FailingSince)
      return true;
  return false;
}

ServerReports::const_iterator
GroupMonitor::replicaWithLongestLog(const ServerReports &Seen) const {
  const std::optional<BelievedPrimary> Leader =
      this->Monitored->beliefs().primary();
  auto Longest = Seen.end();
  for (auto It = Seen.begin(); It != Seen.end(); ++It) {
    if (Leader && It->first == Leader->Id)
      continue;
    if (Longest == Seen.end() || Longest->second.Received < It->second.Received)
      Longest = It;
  }
  return Longest;
}

QCoro::Task<bool> GroupMonitor::isUnreachable(BelievedPrimary Leader) {
  // Two polls are made: if other entry VMs still reach the primary, its
  // replicas receive their writes between the polls.
  const ServerReports First = co_await this->pollAll();
  if (First.count(Leader.Id) > 0 || this->Stopping)
    co_return false;
  co_await sleepFor(AdvanceInterval);
  const ServerReports Second = co_await this->pollAll();
  if (Second.count(Leader.Id) > 0 || this->Stopping)
    co_return false;
  const auto Before = this->replicaWithLongestLog(First);
  const auto After = this->replicaWithLongestLog(Second);
  if (Before == First.end() || After == Second.end())
    co_return false;
  const std::optional<BelievedPrimary> Now =
      this->Monitored->beliefs().primary();
  const ServerBelief *Server = this->Monitored->beliefs().find(Leader.Id);
  if (Now != Leader || !Server || !Server->FailingSince ||
      steadyNow() - *Server->FailingSince < UnreachableTimeout)
    co_return false;
  co_return After->second.Received == Before->second.Received;
}

QCoro::Task<bool> GroupMonitor::isIsolated(BelievedPrimary Leader) {
  const ServerReports First = co_await this->pollAll();
  const auto Primary = First.find(Leader.Id);
  if (Primary == First.end() || Primary->second.Role != ServerRole::Primary)
    co_return false;
  co_await sleepFor(AdvanceInterval);
  const ServerReports Second = co_await this->pollAll();
  // Another takeover would not help replicas that are kept from the primary by
  // a term that they hold, and would make the primary step down for nothing.
  if (!strandedServers(Second, Leader.Id).empty())
    co_return false;
  const auto Replica = this->replicaWithLongestLog(Second);
  // The primary is isolated if no replica has received all that the primary's
  // log held at the first poll.
  co_return Replica != Second.end() && Second.count(Leader.Id) > 0 &&
      Replica->second.Received < Primary->second.Received;
}

const RegisteredServer *GroupMonitor::registration(const ServerId &Id) const {
  if (const ServerBelief *Server = this->Monitored->beliefs().find(Id))
    return &Server->Registration;
  const auto Listed = this->Found.find(Id);
  return Listed == this->Found.end() ? nullptr : &Listed->second;
}

RegisteredServer GroupMonitor::registrationOrEmpty(const ServerId &Id) const {
  const RegisteredServer *Known = this->registration(Id);
  return Known ? *Known : RegisteredServer{};
}

bool GroupMonitor::isReplaced(const RegisteredServer &Server) const {
  const auto Replaces = [&Server](const RegisteredServer &Other) {
    return Other.Id != Server.Id && Other.At == Server.At &&
           Other.StartedAtMs > Server.StartedAtMs;
  };
  for (const auto &[Id, Known] : this->Monitored->beliefs().servers())
    if (Replaces(Known.Registration))
      return true;
  for (const auto &[Id, Listed] : this->Found)
    if (Replaces(Listed))
      return true;
  return false;
}

QCoro::Task<Result<StatusAnswer>>
GroupMonitor::adopt(ServerLink &Link, std::optional<ServerRole> Role, Term T,
                    TimePoint Deadline) {
  Result<StatusAnswer> R = Error{};
  // A primary steps down first. The known role may be outdated; the second
  // attempt goes by the reported one.
  bool Leads = Role != ServerRole::Replica;
  for (int Attempt = 0; Attempt < 2; ++Attempt) {
    if (Leads)
      R = co_await Link.stepDown(T, Deadline);
    if (!Leads || succeeded(R))
      R = co_await Link.pause(T, Deadline);
    const auto *Report =
        succeeded(R) ? std::get_if<ServerReport>(&valueOf(R)) : nullptr;
    Leads = Report && Report->Role == ServerRole::Primary;
    if (!Leads)
      break;
  }
  co_return R;
}

QCoro::Task<std::optional<StatusAnswer>>
GroupMonitor::call(ServerId Id, ServerRequest Kind, Term T, TimePoint SendBy) {
  const RegisteredServer *Known = this->registration(Id);
  if (!Known)
    co_return std::nullopt;
  const RegisteredServer Registration = *Known;
  const ServerBelief *Belief = this->Monitored->beliefs().find(Id);
  // Nothing but its registration is known of a server that has just come back.
  const std::optional<ServerRole> Role =
      Belief ? Belief->Role : Registration.Role;
  const TimePoint Deadline = steadyNow() + CallTimeout;
  OpenedLink Opened = co_await this->Monitored->connector().open(
      Registration, WorkspaceName(), Deadline);
  if (const auto *Failure = std::get_if<OpenFailure>(&Opened)) {
    // A server that accepts connections is alive, however long its queue is.
    if (Failure->Reached)
      this->Monitored->markAlive(Id);
    else
      this->Monitored->observeFailure(Id, Failure->Detail);
    co_return std::nullopt;
  }
  const TimePoint SentAt = bootNow();
  if (SentAt >= SendBy)
    co_return std::nullopt;
  const auto &Link = std::get<std::unique_ptr<ServerLink>>(Opened);
  Result<StatusAnswer> R = Error{};
  switch (Kind) {
  case ServerRequest::Status:
    R = co_await Link->status(Deadline);
    break;
  case ServerRequest::StepDown:
    R = co_await Link->stepDown(T, Deadline);
    break;
  case ServerRequest::Adopt:
    R = co_await this->adopt(*Link, Role, T, Deadline);
    break;
  case ServerRequest::Resume:
    R = co_await Link->resume(Deadline);
    break;
  }
  if (!succeeded(R)) {
    this->Monitored->observeFailure(Id, errorOf(R));
    co_return std::nullopt;
  }
  if (const auto *Report = std::get_if<ServerReport>(&valueOf(R)))
    this->Monitored->observeReport(Id, *Report, SentAt);
  else
    this->Monitored->markAlive(Id);
  co_return valueOf(std::move(R));
}

QCoro::Task<> GroupMonitor::requestOne(ServerId Id, ServerRequest Kind, Term T,
                                       TimePoint SendBy, ServerReports &Into,
                                       TaskGroup &Round) {
  const TaskGroup::Guard Guard(Round);
  const std::optional<StatusAnswer> Reply =
      co_await this->call(Id, Kind, T, SendBy);
  if (!Reply)
    co_return;
  if (const auto *Report = std::get_if<ServerReport>(&*Reply))
    Into.insert_or_assign(Id, *Report);
}

QCoro::Task<ServerReports>
GroupMonitor::requestAll(std::vector<ServerId> Servers, ServerRequest Kind,
                         Term T, TimePoint SendBy) {
  ServerReports Seen;
  TaskGroup Round;
  for (const ServerId &Id : Servers)
    this->requestOne(Id, Kind, T, SendBy, Seen, Round);
  // This wait is bounded, because every call has its own deadline.
  co_await Round.waitUntilEmpty();
  co_return Seen;
}

QCoro::Task<ServerReports> GroupMonitor::pollAll() {
  std::vector<ServerId> Ids;
  for (const auto &[Id, Server] : this->Monitored->beliefs().servers())
    Ids.push_back(Id);
  co_return co_await this->requestAll(std::move(Ids), ServerRequest::Status, 0);
}

std::vector<TakeoverServer>
GroupMonitor::serversFrom(const ServerReports &Seen,
                          const std::optional<ServerId> &Old) const {
  std::vector<TakeoverServer> Servers;
  for (const auto &[Id, Server] : this->Monitored->beliefs().servers()) {
    TakeoverServer S;
    S.Id = Id;
    S.Draining = Server.Registration.Draining;
    S.OldPrimary = Old == Id;
    S.StartedAtMs = Server.Registration.StartedAtMs;
    S.DistanceFromHere =
        this->Monitored->where().distanceTo(Server.Registration.Location);
    const auto Report = Seen.find(Id);
    if (Report != Seen.end())
      S.Report = Report->second;
    S.CountedEnd = this->Monitored->countedEnd(Id);
    Servers.push_back(std::move(S));
  }
  return Servers;
}

QCoro::Task<> GroupMonitor::takeOver(TakeoverReason Reason) {
  const std::optional<BelievedPrimary> Leader =
      this->Monitored->beliefs().primary();
  std::optional<ServerId> Old;
  if (Leader)
    Old = Leader->Id;
  const ServerReports Seen = co_await this->pollAll();
  const std::vector<TakeoverServer> Servers = this->serversFrom(Seen, Old);
  std::optional<std::string> Refusal = reasonAgainstTakeover(Servers);
  if (!Refusal) {
    log(LogLevel::Info, LogEvent::PromotionStarted,
        {{"service", this->Monitored->name().str()},
         {"reason", nameOf(Reason)},
         {"old", Old ? Old->str() : "none"},
         {"term", nextTerm(Servers)},
         {"acknowledged", positionText(this->Monitored->acknowledged())},
         {"servers", this->describe(Seen)}});
    Refusal = co_await this->execute(Servers, Leader ? Leader->TermNumber : 0);
  }
  if (!Refusal) {
    this->Dependencies.Counters.add(Counter::Promotions,
                                    this->Monitored->name().str());
    co_return;
  }
  this->Degraded = true;
  this->Dependencies.Counters.add(Counter::PromotionsRefused,
                                  this->Monitored->name().str());
  log(LogLevel::Warning, LogEvent::PromotionRefused,
      {{"service", this->Monitored->name().str()},
       {"reason", nameOf(Reason)},
       {"why", *Refusal},
       {"servers", this->describe(Seen)}});
  co_await sleepFor(FailedTakeoverPause);
}

Term GroupMonitor::latestTerm() const {
  Term Latest = 0;
  for (const auto &[Id, Server] : this->Monitored->beliefs().servers())
    Latest = std::max(Latest, Server.TermNumber);
  return Latest;
}

void GroupMonitor::recordRequired(HeldClaim &Held,
                                  const TakeoverProcedure &Procedure) const {
  const Term Latest = this->latestTerm();
  // The holder before may have known of a later primary than this one.
  const Term Of =
      std::max(Procedure.oldTerm() != 0 ? Procedure.oldTerm() : Latest,
               Held.Required ? Held.Required->Of : 0);
  const LogPosition End = Procedure.requiredEnd();
  if (Of != 0 && Of >= Latest && End != LogPosition())
    Held.Required = RequiredLog{Of, End};
  else
    Held.Required = stillRequired(Held.Required, Latest);
}

void GroupMonitor::requireLostLog(TakeoverProcedure &Procedure,
                                  const ServerReports &Answers) const {
  Procedure.require({this->Monitored->endAfterLoss(Procedure.oldTerm()),
                     EndSource::AfterLoss,
                     {}});
  if (this->Monitored->isLossCovered(Procedure.oldTerm()))
    return;
  for (const auto &[Id, Report] : Answers)
    if (Report.Role == ServerRole::Replica)
      Procedure.require({Report.Received, EndSource::OldPrimary, Id});
}

std::string GroupMonitor::operationPrefix() const {
  return this->Dependencies.Self.str() + "/" +
         std::to_string(this->OperationNonce) + "/";
}

std::string GroupMonitor::nextOperation() {
  return this->operationPrefix() + std::to_string(++this->Operations);
}

QCoro::Task<std::optional<GroupMonitor::HeldClaim>>
GroupMonitor::claim(ClaimPurpose Purpose, Term T) {
  HeldClaim Held;
  const std::string Operation = this->nextOperation();
  this->observeReturn();
  // After a return of the store, the number of the known row may be that of
  // another entry VM's claim.
  const bool IsLost =
      this->Claim.version().exists() &&
      this->Claim.version().era() < this->Dependencies.History.era();
  // The answer to a write that was applied may lack the store's clock.
  if (IsLost || !this->Claim.knowsClock(bootNow())) {
    const TimePoint SentAt = bootNow();
    const Result<TableRow> Read = co_await this->Dependencies.Store.readRow(
        claimKey(this->Monitored->name()), steadyNow() + ConfirmTimeout);
    if (succeeded(Read))
      this->observeClaim(valueOf(Read), SentAt);
    else if (IsLost)
      co_return std::nullopt;
  }
  // The known version may be outdated: another entry VM may have finished that
  // claim since. The second attempt uses the version read by the first.
  for (int Attempt = 0; Attempt < 2 && this->Claim.mayClaim(bootNow(), Purpose);
       ++Attempt) {
    Held.Begun = bootNow();
    Held.OrderBy = Held.Begun + TakeoverClaim::OrderSpan;
    const ClaimTurn Turn = this->Claim.turnUntil(Held.OrderBy);
    Held.Required =
        stillRequired(this->Claim.row().Required, this->latestTerm());
    const std::string Value = Purpose == ClaimPurpose::Undo
                                  ? undoClaimValue(Turn, Held.Required)
                                  : takeoverClaimValue(Turn, T, Held.Required);
    const Result<CasOutcome> R =
        co_await this->Dependencies.Store.compareAndSet(
            claimKey(this->Monitored->name()), this->Claim.version(), Value,
            Operation, steadyNow() + ClaimTimeout);
    if (!succeeded(R))
      co_return std::nullopt;
    const TableRow &Row = valueOf(R).Current;
    Held.Before = this->Claim.row();
    const TableRow Replaced = this->LastRow;
    this->observeClaim(Row, Held.Begun);
    if (!valueOf(R).Applied)
      continue;
    Held.Version = Row.Version;
    // The answer may be the first one after a return of the store. The numbers
    // of versions are given out again, so the row that was replaced may be the
    // claim of another entry VM.
    if (this->Claim.mayMissClaim(bootNow())) {
      log(LogLevel::Warning, LogEvent::TakeoverClaimAbandoned,
          {{"service", this->Monitored->name().str()},
           {"row", Value},
           {"fence", fencingToken(Held.Version)}});
      co_return std::nullopt;
    }
    log(LogLevel::Info, LogEvent::TakeoverClaimed,
        {{"service", this->Monitored->name().str()},
         {"row", Value},
         {"fence", fencingToken(Held.Version)},
         {"before", !Replaced.Version.exists() ? "-" : Replaced.Value},
         {"before_by", !Replaced.Version.exists() ? "-" : Replaced.Operation},
         {"took_ms", (bootNow() - Held.Begun) / milliseconds(1)}});
    co_return Held;
  }
  co_return std::nullopt;
}

void GroupMonitor::observeReturn() {
  if (this->Dependencies.History.returnedAt())
    this->Claim.observeReturn(*this->Dependencies.History.returnedAt());
}

void GroupMonitor::observeClaim(const TableRow &Row, TimePoint SentAt) {
  this->observeReturn();
  if (Row.Version.era() < this->Dependencies.History.era())
    return;
  if (Row.StoreMs)
    this->Claim.observeClock(*Row.StoreMs, SentAt, bootNow());
  ClaimRow Parsed = parseClaimRow(Row.Version.number(), Row.Value);
  if (!this->Dependencies.History.isSinceReturn(Row.Version))
    Parsed = withoutStatement(std::move(Parsed));
  // A claim is confirmed with its target just before a promotion is ordered.
  if (Row.Version > this->LastRow.Version && Parsed.State == ClaimState::Held &&
      Parsed.Target)
    this->Monitored->outages().observeTakeover();
  this->LastRow = Row;
  this->Claim.observe(Row.Version, Parsed, bootNow(),
                      Row.Operation.rfind(this->operationPrefix(), 0) == 0);
}

QCoro::Task<ClaimCheck> GroupMonitor::confirm(HeldClaim &Held, ServerId Target,
                                              Term T) {
  const TimePoint OrderBy = bootNow() + TakeoverClaim::OrderSpan;
  const ClaimCheck Check =
      co_await this->advance(Held,
                             confirmedClaimValue(this->Claim.turnUntil(OrderBy),
                                                 T, Target, Held.Required),
                             ConfirmTimeout);
  if (Check == ClaimCheck::Held)
    Held.OrderBy = OrderBy;
  // The store may stay silent for the rest of the takeover. The windows of the
  // claim then limit the order.
  if (Check == ClaimCheck::Unknown)
    Held.OrderBy = Held.Begun + TakeoverClaim::ReturnWindow + OrderTimeout;
  co_return Check;
}

QCoro::Task<ClaimCheck>
GroupMonitor::renewConfirmation(HeldClaim &Held, ServerId Target, Term T) {
  if (this->isOutdated(Held))
    co_return ClaimCheck::Lost;
  if (Held.OrderBy - bootNow() >= TakeoverClaim::LeastOrderTime)
    co_return ClaimCheck::Held;
  co_return co_await this->confirm(Held, std::move(Target), T);
}

QCoro::Task<ClaimCheck>
GroupMonitor::advance(HeldClaim &Held, std::string Value, Duration Timeout) {
  const TimePoint Deadline = steadyNow() + Timeout;
  // An earlier write of this holder may have been applied without an answer.
  // The second attempt then uses the version that it has given the row.
  for (int Attempt = 0; Attempt < 2; ++Attempt) {
    if (this->isOutdated(Held))
      co_return ClaimCheck::Lost;
    const std::string Operation = this->nextOperation();
    const TimePoint SentAt = bootNow();
    const Result<CasOutcome> R =
        co_await this->Dependencies.Store.compareAndSet(
            claimKey(this->Monitored->name()), Held.Version, Value, Operation,
            Deadline);
    if (!succeeded(R)) {
      Held.Unanswered = Operation;
      co_return ClaimCheck::Unknown;
    }
    const TableRow &Row = valueOf(R).Current;
    this->observeClaim(Row, SentAt);
    const bool IsOwn = valueOf(R).Applied || (!Held.Unanswered.empty() &&
                                              Row.Operation == Held.Unanswered);
    // In another era the number may be that of another entry VM's claim.
    if (!IsOwn || Row.Version.era() != Held.Version.era())
      co_return ClaimCheck::Lost;
    Held.Version = Row.Version;
    if (valueOf(R).Applied)
      co_return ClaimCheck::Held;
  }
  co_return ClaimCheck::Lost;
}

QCoro::Task<> GroupMonitor::release(HeldClaim Held, std::string How) {
  // The target may be missing among the known servers: it may have registered
  // or restarted since.
  ClaimOutcome Outcome{Held.Before,
                       Held.Ordered,
                       Held.LedTerm != 0,
                       Held.LedTerm,
                       this->Claim.turnUntil(Held.OrderEnd),
                       stillRequired(Held.Required, this->latestTerm())};
  Outcome.Highest = std::max(Outcome.Highest, this->latestTerm());
  const std::string Value = finishedClaimValue(Outcome);
  const ClaimCheck Check = co_await this->advance(Held, Value, ClaimTimeout);
  log(Check == ClaimCheck::Held ? LogLevel::Info : LogLevel::Warning,
      LogEvent::PromotionFinished,
      {{"service", this->Monitored->name().str()},
       {"how", How},
       {"fence", fencingToken(Held.Version)},
       {"row", Value},
       {"claim", Check == ClaimCheck::Held ? "finished" : nameOf(Check)}});
}

QCoro::Task<std::optional<std::vector<TakeoverServer>>>
GroupMonitor::readServers() {
  Result<std::vector<RegisteredServer>> R =
      co_await this->Dependencies.Registrations.read(this->Monitored->name(),
                                                     steadyNow() + CallTimeout);
  if (!succeeded(R))
    co_return std::nullopt;
  std::vector<TakeoverServer> Servers;
  this->Found.clear();
  for (RegisteredServer &Server : valueOf(R)) {
    TakeoverServer S;
    S.Id = Server.Id;
    S.Draining = Server.Draining;
    S.StartedAtMs = Server.StartedAtMs;
    S.DistanceFromHere = this->Monitored->where().distanceTo(Server.Location);
    Servers.push_back(std::move(S));
    const ServerId Id = Server.Id;
    this->Found.insert_or_assign(Id, std::move(Server));
  }
  co_return Servers;
}

bool GroupMonitor::mustStop(TakeoverStep Next, const HeldClaim &Held) const {
  return this->isOutdated(Held) && !Held.Ordered && Next != TakeoverStep::End &&
         Next != TakeoverStep::Resume;
}

QCoro::Task<std::optional<std::string>>
GroupMonitor::execute(std::vector<TakeoverServer> Servers, Term KnownTerm) {
  std::optional<HeldClaim> Held =
      co_await this->claim(ClaimPurpose::Order, nextTerm(Servers));
  if (!Held)
    co_return "another entry VM holds the claim, or the store does not answer";
  RequiredEnd Required;
  if (Held->Required && Held->Required->Of >= Held->Before.LastTerm)
    Required = {Held->Required->End, EndSource::ClaimRow, {}};
  if (KnownTerm != 0) {
    Required = Required.raisedTo(
        {this->Monitored->endAfterLoss(KnownTerm), EndSource::AfterLoss, {}});
    if (this->LongestSeen.first == KnownTerm)
      Required = Required.raisedTo(
          {this->LongestSeen.second, EndSource::EarlierAttempt, {}});
  }
  TakeoverProcedure Procedure(std::move(Servers),
                              std::max(KnownTerm, Held->Before.LastTerm),
                              Required, Held->Before.Target, Held->Begun);
  TakeoverStep Previous = TakeoverStep::End;
  this->Secured.clear();
  while (true) {
    const TakeoverAction Action = Procedure.next(bootNow());
    if (Action.Step == std::exchange(Previous, Action.Step))
      co_await sleepFor(StepRetryDelay);
    if (this->mustStop(Action.Step, *Held)) {
      Procedure.recordClaim(ClaimCheck::Lost);
      continue;
    }
    std::string Outcome;
    switch (Action.Step) {
    case TakeoverStep::Poll:
    case TakeoverStep::StepDown:
    case TakeoverStep::Adopt: {
      const ServerReports Answers =
          co_await this->requestAll(Action.Servers, requestFor(Action.Step),
                                    Action.TermNumber, Action.SendBy);
      Outcome = this->describe(Answers);
      if (Action.Step == TakeoverStep::StepDown)
        this->requireLostLog(Procedure, Answers);
      // A server that has stepped down holds no term, but acknowledges nothing.
      this->recordSecured(Answers, Action.Step == TakeoverStep::StepDown
                                       ? 0
                                       : Action.TermNumber);
      Procedure.recordAnswers(Answers, this->Monitored->acknowledged(),
                              bootNow());
      break;
    }
    case TakeoverStep::ReadServers: {
      const auto Listed = co_await this->readServers();
      Outcome = Listed ? this->describeFound(*Listed, Procedure) : "no answer";
      Procedure.recordServers(Listed);
      break;
    }
    case TakeoverStep::Confirm: {
      this->recordRequired(*Held, Procedure);
      const ClaimCheck Check =
          co_await this->confirm(*Held, Action.Target, Procedure.term());
      Outcome = nameOf(Check);
      Procedure.recordClaim(Check);
      break;
    }
    case TakeoverStep::Order: {
      this->recordRequired(*Held, Procedure);
      const ClaimCheck Check = co_await this->renewConfirmation(
          *Held, Action.Target, Procedure.term());
      if (Check != ClaimCheck::Held) {
        Outcome = nameOf(Check);
        Procedure.recordClaim(Check);
        break;
      }
      const bool OrderedBefore = std::exchange(Held->Ordered, true);
      this->Claim.recordOrder(Held->OrderBy + EffectTimeout, false);
      const PromotionOutcome Answer =
          co_await this->promote(Action.Target, *Held, Action.SendBy);
      Held->OrderEnd = bootNow();
      // An order without effect is no turn that the others have to wait for.
      if (Answer == PromotionOutcome::NotDone)
        Held->Ordered = OrderedBefore;
      this->Claim.recordOrder(Held->OrderEnd + EffectTimeout,
                              Answer != PromotionOutcome::Unknown);
      Outcome = nameOf(Answer);
      if (Answer == PromotionOutcome::Accepted)
        this->Monitored->missingCommits().observeOrder(
            Action.Target, Procedure.oldTerm() + 1, Action.TargetEnd);
      Procedure.recordOrder(Answer);
      break;
    }
    case TakeoverStep::AwaitEffect: {
      const RegisteredServer Target = this->registrationOrEmpty(Action.Target);
      const std::optional<Term> Led =
          co_await this->awaitEffect(Action, Procedure.oldTerm() + 1);
      Held->LedTerm = Led.value_or(0);
      const bool Lost = !Led && this->isReplaced(Target);
      Outcome = Led ? "leads" : Lost ? "target replaced" : "not yet";
      if (Lost)
        Procedure.recordLostTarget();
      else
        Procedure.recordEffect(Led);
      break;
    }
    case TakeoverStep::Resume:
      co_await this->requestAll(this->withSecured(Action),
                                ServerRequest::Resume, 0, Action.SendBy);
      Procedure.recordResumed();
      break;
    case TakeoverStep::End:
      this->recordRequired(*Held, Procedure);
      if (Action.End != TakeoverEnd::Open)
        co_await this->release(*Held, std::string(nameOf(Action.End)));
      if (Action.End == TakeoverEnd::Promoted)
        co_return std::nullopt;
      this->LongestSeen = {KnownTerm, Procedure.requiredEnd()};
      if (Procedure.hasReturnedLead())
        co_await sleepFor(ReturnedLeadPause);
      co_return Action.Why;
    }
    this->logStep(Action, *Held, Procedure.term(), Outcome);
  }
}

QCoro::Task<PromotionOutcome>
GroupMonitor::promote(ServerId Target, HeldClaim Held, TimePoint SendBy) {
  PromotionRequest Order;
  Order.Service = this->Monitored->name();
  Order.Target = std::move(Target);
  Order.Holder = this->Dependencies.Self;
  Order.FencingToken = fencingToken(Held.Version);
  Order.SendBy = std::min(SendBy, Held.OrderBy);
  const Duration Timeout = std::min(OrderTimeout, Held.OrderBy - bootNow());
  const PromotionOutcome Outcome =
      co_await this->Dependencies.Orders.promote(Order, steadyNow() + Timeout);
  co_return Outcome;
}

QCoro::Task<> GroupMonitor::secureServer(ServerId Id, EffectWait &Wait) {
  const TaskGroup::Guard Guard(Wait.Running);
  Wait.Asked.insert(Id);
  const std::optional<StatusAnswer> Reply =
      co_await this->call(Id, ServerRequest::Adopt, Wait.Adopted, Wait.SendBy);
  const auto *Report = Reply ? std::get_if<ServerReport>(&*Reply) : nullptr;
  if (Report)
    this->recordSecured({{Id, *Report}}, Wait.Adopted);
  Wait.Asked.erase(Id);
}

QCoro::Task<> GroupMonitor::secureNewServers(EffectWait &Wait) {
  const TaskGroup::Guard Guard(Wait.Running);
  while (!Wait.Done) {
    // The relay passes rows on with a delay, so the store is read directly.
    co_await this->readServers();
    std::set<ServerId> Unsecured;
    for (const auto &[Id, Server] : this->Monitored->beliefs().servers())
      Unsecured.insert(Id);
    for (const auto &[Id, Server] : this->Found)
      Unsecured.insert(Id);
    for (const ServerId &Id : Unsecured)
      if (!Wait.Done && Id != Wait.Target && Wait.Asked.count(Id) == 0 &&
          !this->isSecured(Id))
        this->secureServer(Id, Wait);
    if (!Wait.Done)
      co_await sleepFor(EffectPollInterval);
  }
}

std::vector<ServerId>
GroupMonitor::withSecured(const TakeoverAction &Action) const {
  std::set<ServerId> Ids(Action.Servers.begin(), Action.Servers.end());
  for (const auto &[Id, StartedAtMs] : this->Secured)
    Ids.insert(Id);
  return {Ids.begin(), Ids.end()};
}

bool GroupMonitor::isSecured(const ServerId &Id) const {
  const auto Found = this->Secured.find(Id);
  const RegisteredServer *Known = this->registration(Id);
  return Found != this->Secured.end() && Known &&
         Known->StartedAtMs == Found->second;
}

void GroupMonitor::recordSecured(const ServerReports &Answers, Term T) {
  for (const auto &[Id, Report] : Answers) {
    const RegisteredServer *Known = this->registration(Id);
    if (Known && Report.Role == ServerRole::Replica && Report.AdoptedTerm >= T)
      this->Secured[Id] = Known->StartedAtMs;
  }
}

QCoro::Task<std::optional<Term>>
GroupMonitor::awaitEffect(const TakeoverAction &Order, Term Leading) {
  const TimePoint Deadline = steadyNow() + EffectTimeout;
  const RegisteredServer Target = this->registrationOrEmpty(Order.Target);
  std::optional<Term> Led;
  EffectWait Wait{Order.Target, Order.TermNumber, Order.SendBy, {}, {}, false};
  this->secureNewServers(Wait);
  while (!Led && steadyNow() < Deadline && !this->Stopping) {
    co_await sleepFor(EffectPollInterval);
    if (this->isReplaced(Target))
      break;
    const std::optional<StatusAnswer> Reply =
        co_await this->call(Order.Target, ServerRequest::Status, 0);
    const auto *Report = Reply ? std::get_if<ServerReport>(&*Reply) : nullptr;
    if (Report && Report->Role == ServerRole::Primary &&
        Report->TermNumber >= Leading)
      Led = Report->TermNumber;
  }
  Wait.Done = true;
  co_await Wait.Running.waitUntilEmpty();
  co_return Led;
}

bool GroupMonitor::hasStrandedServer() const {
  const std::optional<BelievedPrimary> Leader =
      this->Monitored->beliefs().primary();
  if (!Leader || Leader->TermNumber == 0)
    return false;
  for (const auto &[Id, Server] : this->Monitored->beliefs().servers()) {
    ServerReport Believed;
    Believed.Role = Server.Role.value_or(ServerRole::Replica);
    Believed.TermNumber = Server.TermNumber;
    Believed.AdoptedTerm = Server.AdoptedTerm;
    if (isStranded(Believed, Leader->TermNumber))
      return true;
  }
  return false;
}

QCoro::Task<std::vector<ServerId>> GroupMonitor::pollStranded() {
  const ServerReports Seen = co_await this->pollAll();
  const std::optional<BelievedPrimary> Leader =
      this->Monitored->beliefs().primary();
  co_return Leader ? strandedServers(Seen, Leader->Id)
                   : std::vector<ServerId>();
}

QCoro::Task<> GroupMonitor::undoStrandedAdoptions() {
  if (!this->hasStrandedServer()) {
    this->StrandedSince.reset();
    co_return;
  }
  this->Degraded = true;
  if (!this->StrandedSince)
    this->StrandedSince = steadyNow();
  if (steadyNow() - *this->StrandedSince < StrandedAdoptionTimeout ||
      !this->Claim.mayClaim(bootNow(), ClaimPurpose::Undo))
    co_return;
  // The known terms may be outdated, and a claim costs two calls to the store.
  const std::vector<ServerId> Suspected = co_await this->pollStranded();
  if (Suspected.empty())
    co_return;
  const std::optional<HeldClaim> Held =
      co_await this->claim(ClaimPurpose::Undo);
  if (!Held)
    co_return;
  // Only what is found under the claim is undone: a takeover may have ended
  // between the poll and the claim.
  const std::vector<ServerId> Stranded = co_await this->pollStranded();
  log(LogLevel::Warning, LogEvent::AdoptionUndone,
      {{"service", this->Monitored->name().str()},
       {"servers", Stranded.size()}});
  // After a suspension the adoptions may belong to another takeover.
  if (TakeoverClaim::mayUndo(Held->Begun, bootNow()))
    co_await this->requestAll(Stranded, ServerRequest::Resume, 0,
                              Held->Begun + TakeoverClaim::UndoWindow);
  co_await this->release(*Held, "undone");
}

} // namespace amaranthspur
