#include "root/groups/Group.h"

#include "core/BootClock.h"
#include "root/telemetry/Log.h"

#include <algorithm>

namespace amaranthspur {

Group::Group(ServiceName Name, ServerConnector &Connector,
             const Locality &Where, EvidenceSource *Source, ClaimReader *Claims,
             Metrics *Counters)
    : Name(std::move(Name)), Connector(Connector), Where(Where), Source(Source),
      Claims(Claims), Counters(Counters), Beliefs(Where), Search(*this),
      Outages(this->Name, *this, Counters),
      MissingCommits(this->Name, Counters) {}

Group::~Group() = default;

void Group::start() {
  this->proveLeadership();
  this->samplePrimary();
  this->Search.start();
  this->closeIdle();
}

QCoro::Task<> Group::stop() {
  this->Stopping = true;
  this->ProveWake.wake();
  this->ProofChange.wake();
  this->SampleWake.wake();
  this->CloseWake.wake();
  this->MonitorWake.wake();
  this->ProofReceived.notifyAll();
  this->PrimaryChange.notifyAll();
  co_await this->Outages.stop();
  co_await this->Search.stop();
  co_await this->Tasks.waitUntilEmpty();
  for (const auto &[Id, Pool] : this->Pools)
    co_await Pool->finishOpening();
}

void Group::configure(const ServiceLimits &NewLimits,
                      const std::vector<RegisteredServer> &Servers) {
  this->Limits = NewLimits;
  const bool Changed = this->Beliefs.setServers(Servers);
  this->Search.setServers(Servers, bootNow());
  this->Leaving.setServers(Servers, bootNow());
  std::map<ServerId, std::shared_ptr<ServerPool>> Kept;
  std::size_t Remaining = 0;
  for (const RegisteredServer &Server : Servers) {
    std::shared_ptr<ServerPool> &Pool = Kept[Server.Id];
    Pool = this->pool(Server.Id);
    if (!Pool || !Pool->server().isSameStart(Server))
      Pool = std::make_shared<ServerPool>(this->Connector, Server);
    else
      ++Remaining;
    Pool->share().setMaximum(this->Limits.MaxConnections);
    Pool->share().setSharers(this->EntryVms);
    Pool->share().setHomes(
        homeDivision(this->Where, Server.Location, this->Homes));
  }
  // The log of a server that has left or restarted is gone.
  if (Remaining < this->Pools.size()) {
    this->EndWanted = true;
    this->LostAt = bootNow();
  }
  this->Pools = std::move(Kept);
  if (Changed) {
    this->MonitorWake.wake();
    this->updatePrimary();
  }
}

std::shared_ptr<ServerPool> Group::pool(const ServerId &Id) {
  const auto Found = this->Pools.find(Id);
  return Found == this->Pools.end() ? nullptr : Found->second;
}

void Group::updatePrimary() {
  const std::optional<BelievedPrimary> Leader = this->Beliefs.primary();
  if (Leader == this->LastPrimary)
    return;
  this->LastPrimary = Leader;
  log(LogLevel::Info, LogEvent::PrimaryChanged,
      {{"service", this->Name.str()},
       {"server", Leader ? Leader->Id.str() : "none"},
       {"term", Leader ? Leader->TermNumber : 0}});
  this->PrimaryChange.notifyAll();
  this->ProofReceived.notifyAll();
  this->ProofChange.wake();
  this->MonitorWake.wake();
}

QCoro::Task<bool> Group::awaitProof(Term T, TimePoint Since,
                                    TimePoint Deadline) {
  while (!this->Fresh.provedSince(T, Since)) {
    const std::optional<BelievedPrimary> Leader = this->Beliefs.primary();
    if (this->Stopping || !Leader || Leader->TermNumber != T)
      co_return false;
    this->requestProof(Since);
    const bool Woken = co_await this->ProofReceived.wait(Deadline);
    if (!Woken)
      co_return this->Fresh.provedSince(T, Since);
  }
  co_return true;
}

bool Group::mayWriteAt(const BelievedPrimary &Primary) {
  if (!this->commitsAreProofs() ||
      this->Search.mayBeHeld(Primary.Id, Primary.TermNumber))
    return true;
  this->Search.refresh(Primary.Id, Primary.TermNumber);
  return false;
}

PrimaryContact Group::contactOf(const BelievedPrimary &Primary) const {
  const ServerBelief *Server = this->Beliefs.find(Primary.Id);
  if (!Server || this->Beliefs.isAvoided(*Server, steadyNow()))
    return PrimaryContact::Avoided;
  return Server->FailingSince ? PrimaryContact::Unanswered
                              : PrimaryContact::Answers;
}

std::optional<LogPosition> Group::floorAsOf(TimePoint Since) {
  this->requestFloors();
  return this->Fresh.floorAsOf(Since);
}

QCoro::Task<> Group::awaitFloor(TimePoint Since, TimePoint Deadline) {
  const TimePoint Until = std::min(Deadline, steadyNow() + FloorWait);
  while (!this->Stopping && this->isFollower() && !this->floorAsOf(Since) &&
         steadyNow() < Until) {
    this->refreshEvidence();
    co_await this->ProofReceived.wait(Until);
  }
}

void Group::addReaders(int By) {
  const bool WereNone = this->Readers == 0;
  this->Readers += By;
  if (WereNone)
    this->refreshEvidence();
}

void Group::keepConnections() {
  for (const auto &[Id, Pool] : this->Pools)
    Pool->share().keepIdle(steadyNow());
}

void Group::observeHomeUse() {
  for (const auto &[Id, Pool] : this->Pools)
    Pool->share().observeHomeUse(steadyNow());
}

void Group::requestFloors() {
  const bool WasUnused = !this->wantsFloors();
  this->LastFloorRequest = steadyNow();
  if (!WasUnused)
    return;
  this->SampleWake.wake();
  this->refreshEvidence();
}

void Group::refreshEvidence() {
  if (this->Source)
    this->Source->refreshSoon();
}

void Group::primaryWanted() {
  this->MonitorWake.wake();
  this->refreshEvidence();
}

GroupEvidence Group::evidence() const {
  GroupEvidence Known;
  Known.Service = this->Name;
  if (const std::optional<BelievedPrimary> Leader = this->Beliefs.primary()) {
    Known.Primary = Leader->Id;
    Known.TermNumber = Leader->TermNumber;
  }
  this->Fresh.share(Known);
  for (const auto &[Id, Count] : this->ConnectionCounts)
    if (steadyNow() - Count.second < ConnectionShare::CountMaxAge)
      Known.Servers.push_back({Id, Count.first});
  const Duration BootAhead = bootNow() - steadyNow();
  for (const auto &[Id, Server] : this->Beliefs.servers()) {
    const std::optional<ReplicaPosition> &Seen = Server.Progress.latest();
    if (Seen && Id != Known.Primary && steadyNow() - Seen->At < ReplicaMaxAge)
      Known.Replicas.push_back(
          {Id, Seen->Position, Seen->At + BootAhead, Seen->ApplyLag});
  }
  return Known;
}

void Group::applyEvidence(const GroupEvidence &Known) {
  if (!Known.Primary.empty() && Known.TermNumber != 0)
    this->Beliefs.observeLeader(Known.Primary, Known.TermNumber);
  this->MissingCommits.observeEvidence(Known);
  const Duration BootAhead = bootNow() - steadyNow();
  if (Known.ReportedAt != TimePoint())
    this->Beliefs.observePrimaryEnd(Known.Position,
                                    Known.ReportedAt - BootAhead);
  for (const ReplicaEvidence &Seen : Known.Replicas) {
    const bool WasSetAside = this->isSetAside(Seen.Server);
    this->Beliefs.observeReplica(
        Seen.Server, {Seen.Position, Seen.At - BootAhead, Seen.ApplyLag});
    this->reportSetAside(Seen.Server, WasSetAside);
  }
  if (Known.ProvedTerm != 0) {
    this->recordProof(Known.ProvedTerm, Known.ProvedAt);
    if (Known.ReportedAt != TimePoint())
      this->Fresh.observeReport(Known.Position.TermNumber, Known.Position,
                                Known.ReportedAt);
    this->ProofReceived.notifyAll();
  }
  for (const ServerConnectionCount &Count : Known.Servers)
    if (const std::shared_ptr<ServerPool> Pool = this->pool(Count.Server))
      Pool->share().observeCount(Count.Connections, steadyNow());
  this->updatePrimary();
}

void Group::setEntryVms(std::size_t Count) {
  if (this->EntryVms == Count)
    return;
  this->EntryVms = Count;
  for (const auto &[Id, Pool] : this->Pools)
    Pool->share().setSharers(Count);
}

void Group::setHomes(std::size_t Count) {
  if (this->Homes == Count)
    return;
  this->Homes = Count;
  for (const auto &[Id, Pool] : this->Pools)
    Pool->share().setHomes(
        homeDivision(this->Where, Pool->server().Location, Count));
}

bool Group::isSetAside(const ServerId &Id) const {
  const ServerBelief *Server = this->Beliefs.find(Id);
  return Server && Server->Progress.isSetAside();
}

void Group::reportSetAside(const ServerId &Id, bool Before) {
  const bool Now = this->isSetAside(Id);
  if (Now == Before)
    return;
  const ReplicaProgress &Progress = this->Beliefs.find(Id)->Progress;
  const Duration Lag =
      Progress.lag(this->Beliefs.primaryEnds()).value_or(Duration::zero());
  if (Now && this->Counters)
    this->Counters->add(Counter::ReplicasSetAside, this->Name.str());
  log(Now ? LogLevel::Warning : LogLevel::Info,
      Now ? LogEvent::ReplicaSetAside : LogEvent::ReplicaUsedAgain,
      {{"service", this->Name.str()},
       {"server", Id.str()},
       {"lag_ms", Lag / milliseconds(1)}});
}

ReadChoice Group::readChoice(const WorkspaceName &For,
                             std::optional<LogPosition> Floor) const {
  ReadChoice Read;
  Read.Floor = Floor;
  Read.Connected.emplace();
  for (const auto &[Id, Pool] : this->Pools)
    if (Pool->hasIdle(For))
      Read.Connected->insert(Id);
  const bool AtHome = std::any_of(
      this->Pools.begin(), this->Pools.end(), [](const auto &Entry) {
        return Entry.second->share().isHome(steadyNow());
      });
  if (AtHome)
    Read.AtHomeOf = For;
  Read.Choosers = this->EntryVms;
  return Read;
}

std::optional<ServerId> Group::chooseReader(const WorkspaceName &For,
                                            std::optional<LogPosition> Floor,
                                            const std::set<ServerId> &Tried) {
  ReadChoice Read = this->readChoice(For, Floor);
  Read.Tried = Tried;
  return this->Beliefs.chooseReader(Read, steadyNow(), this->Rng);
}

void Group::observeAnswer(const ServerId &Id, const Answer &A, TimePoint SentAt,
                          std::optional<LogPosition> Floor) {
  const bool WasSetAside = this->isSetAside(Id);
  const TimePoint Now = steadyNow();
  const TimePoint Sent = Now - (bootNow() - SentAt);
  if (Floor && A.Code == AnswerCode::Lagging)
    this->Beliefs.observeLagging(Id, *Floor, Sent, Now, this->Rng);
  if (A.Code == AnswerCode::Busy)
    this->Beliefs.observeBusy(Id, Now);
  this->Beliefs.observeAnswer(Id, A.Position, Now);
  if (Floor && A.succeeded())
    this->Beliefs.observeServed(Id, Sent);
  this->reportSetAside(Id, WasSetAside);
  const std::optional<BelievedPrimary> Leader = this->Beliefs.primary();
  if (A.Position && Leader && Leader->Id == Id && Leader->TermNumber != 0) {
    this->Fresh.observeReport(Leader->TermNumber, *A.Position, SentAt);
    this->MissingCommits.observeAnswer(*Leader, *A.Position);
    this->recordEnd(Leader->TermNumber, *A.Position, SentAt);
  }
  const ServerBelief *Server = this->Beliefs.find(Id);
  if (A.Position && Server && Server->Role == ServerRole::Replica)
    this->Search.observeReplica(Id, *A.Position);
}

void Group::recordEnd(Term T, LogPosition End, TimePoint SentAt) {
  this->Leaving.observePrimary(End, SentAt);
  // A superseded primary says nothing of the log of a later one.
  const bool IsNewer = this->EndWanted || T > this->EndTerm;
  if (!IsNewer || T < this->EndTerm || SentAt < this->LostAt)
    return;
  this->EndAfterLoss = End;
  this->EndTerm = T;
  this->EndWanted = false;
}

void Group::recordProof(Term T, TimePoint At) {
  this->Fresh.observeProof(T, At);
  this->Search.observeProof(T, At);
  this->PrimaryChange.notifyAll();
}

void Group::observeCommit(const ServerId &Id, const Answer &A, TimePoint SentAt,
                          const ServerId &Holder) {
  if (!A.Position)
    return;
  this->MissingCommits.recordCommit(*A.Position, Holder);
  this->Acknowledged = std::max(this->Acknowledged, *A.Position);
  const std::optional<BelievedPrimary> Leader = this->Beliefs.primary();
  // A replica had to hold the commit before the acknowledgement, so the primary
  // had not been superseded when the commit was sent.
  if (this->commitsAreProofs() && Leader && Leader->Id == Id &&
      Leader->TermNumber != 0 && Leader->TermNumber == A.Position->TermNumber) {
    this->recordProof(Leader->TermNumber, SentAt);
    this->ProofReceived.notifyAll();
  }
}

void Group::observeFailure(const ServerId &Id, const std::string &Why) {
  const ServerBelief *Server = this->Beliefs.find(Id);
  const bool First = Server && !Server->FailingSince;
  this->Beliefs.observeFailure(Id, steadyNow());
  if (First)
    log(LogLevel::Warning, LogEvent::ServerUnreachable,
        {{"service", this->Name.str()}, {"server", Id.str()}, {"why", Why}});
  const std::optional<BelievedPrimary> Leader = this->Beliefs.primary();
  if (Leader && Leader->Id == Id)
    this->MonitorWake.wake();
}

void Group::observeOpenFailure(const ServerId &Id, const OpenFailure &Failure) {
  if (Failure.Code == AnswerCode::TooManyConnections || Failure.GivenUp)
    return;
  const ServerBelief *Server = this->Beliefs.find(Id);
  const std::shared_ptr<ServerPool> Pool = this->pool(Id);
  if (Server && Pool && steadyNow() - Server->LastAnswer < AliveAfterAnswer) {
    Pool->share().observeRefusal(Pool->open(), steadyNow());
    return;
  }
  this->observeFailure(Id, Failure.Detail);
}

void Group::markAlive(const ServerId &Id) {
  this->Beliefs.observeAnswer(Id, std::nullopt, steadyNow());
}

void Group::markNotPrimary(const ServerId &Id) {
  this->Beliefs.observeNotPrimary(Id);
  this->updatePrimary();
}

void Group::observeReport(const ServerId &Id, const ServerReport &Report,
                          TimePoint SentAt) {
  const ServerBelief *Known = this->Beliefs.find(Id);
  if (Known &&
      (Known->Role != Report.Role || Known->TermNumber != Report.TermNumber ||
       Known->AdoptedTerm != Report.AdoptedTerm))
    log(LogLevel::Info, LogEvent::ServerStateChanged,
        {{"service", this->Name.str()},
         {"server", Id.str()},
         {"role", nameOf(Report.Role)},
         {"term", Report.TermNumber},
         {"adopted", Report.AdoptedTerm},
         {"position", positionText(Report.Received)}});
  if (Report.Role == ServerRole::Primary)
    this->recordEnd(Report.TermNumber, Report.Received, SentAt);
  else
    this->Leaving.observeEnd(Id, Report.Received, SentAt);
  const bool WasSetAside = this->isSetAside(Id);
  this->Beliefs.observeStatus(Id, Report, steadyNow());
  this->reportSetAside(Id, WasSetAside);
  this->Search.observeReport(Id, Report);
  this->MissingCommits.observeReport(Id, Report);
  if (const std::shared_ptr<ServerPool> Pool = this->pool(Id)) {
    Pool->share().observeCount(Report.Connections, steadyNow());
    this->ConnectionCounts[Id] = {Report.Connections, steadyNow()};
  }
  this->updatePrimary();
}

bool Group::anyServerReachable() const {
  for (const auto &[Id, Server] : this->Beliefs.servers())
    if (!Server.FailingSince)
      return true;
  return false;
}

QCoro::Task<> Group::closeIdle() {
  const TaskGroup::Guard Guard(this->Tasks);
  while (!this->Stopping) {
    TimePoint Next = steadyNow() + LongestCloseInterval;
    for (const auto &[Id, Pool] : this->Pools) {
      Pool->closeIdle(steadyNow());
      Next = std::min(Next, Pool->nextClose(steadyNow()));
    }
    co_await this->CloseWake.wait(
        std::max(Next, steadyNow() + ShortestCloseInterval));
  }
}

QCoro::Task<std::optional<ServerReport>> Group::controlStatus(ServerId Id) {
  const std::shared_ptr<ServerPool> Pool = this->pool(Id);
  if (!Pool)
    co_return std::nullopt;
  const TimePoint Deadline = steadyNow() + StatusTimeout;
  LinkRequest Wanted;
  Wanted.Urgency = ControlUrgency;
  AcquiredLink Acquired = co_await Pool->acquire(std::move(Wanted), Deadline);
  if (const auto *Failure = std::get_if<OpenFailure>(&Acquired)) {
    this->observeOpenFailure(Id, *Failure);
    co_return std::nullopt;
  }
  auto Link = std::move(std::get<std::unique_ptr<PooledLink>>(Acquired));
  const TimePoint SentAt = bootNow();
  const Result<StatusAnswer> R = co_await Link->Link->status(Deadline);
  Pool->release(std::move(Link));
  if (!succeeded(R)) {
    this->observeFailure(Id, errorOf(R));
    co_return std::nullopt;
  }
  const auto *Report = std::get_if<ServerReport>(&valueOf(R));
  if (!Report) {
    this->markAlive(Id);
    co_return std::nullopt;
  }
  this->observeReport(Id, *Report, SentAt);
  co_return *Report;
}

QCoro::Task<> Group::requestReport(ServerId Id) {
  co_await this->controlStatus(std::move(Id));
}

std::vector<ServerId> Group::preferredServers() const {
  return this->Beliefs.readOrder(ReadChoice(), steadyNow(), this->Rng);
}

void Group::requestProof(TimePoint Since) {
  this->ProofWantedFor = std::max(this->ProofWantedFor, Since);
  this->ProveWake.wake();
}

std::vector<ServerId> Group::othersThan(const ServerId &Leader) const {
  std::vector<ServerId> Ids;
  for (const auto &[Id, Server] : this->Beliefs.servers())
    if (Id != Leader)
      Ids.push_back(Id);
  return Ids;
}

QCoro::Task<> Group::askForProof(ServerId Id,
                                 std::shared_ptr<LeadershipProof> Proof) {
  const TaskGroup::Guard Guard(this->Tasks);
  // One request at a time: a server that is slow would get more and more.
  if (!this->AskedForProof.insert(Id).second) {
    Proof->recordSilence(Id);
    co_return;
  }
  const std::optional<ServerReport> Report = co_await this->controlStatus(Id);
  this->AskedForProof.erase(Id);
  if (Report)
    Proof->recordReport(Id, *Report);
  else
    Proof->recordSilence(Id);
  if (Report &&
      std::max(Report->TermNumber, Report->AdoptedTerm) > Proof->term())
    this->MonitorWake.wake();
  this->ProofChange.wake();
}

QCoro::Task<> Group::readClaim(std::shared_ptr<LeadershipProof> Proof) {
  const TaskGroup::Guard Guard(this->Tasks);
  this->ReadingClaim = true;
  if (steadyNow() < this->ClaimReadFrom)
    co_await sleepFor(this->ClaimReadFrom - steadyNow());
  const Result<ClaimRow> Row =
      co_await this->Claims->read(this->Name, steadyNow() + ClaimReadTimeout);
  if (succeeded(Row))
    Proof->recordClaim(valueOf(Row));
  const bool Proved = Proof->state({}) == ProofState::Proved;
  this->ClaimReadFrom =
      steadyNow() + (Proved ? ClaimReadInterval : ClaimRetryInterval);
  this->ReadingClaim = false;
  this->ProofChange.wake();
}

QCoro::Task<bool> Group::proveDirectly(BelievedPrimary Leader) {
  const TimePoint Begun = steadyNow();
  const auto Proof =
      std::make_shared<LeadershipProof>(Leader.TermNumber, bootNow());
  for (const ServerId &Id : this->othersThan(Leader.Id)) {
    const ServerBelief &Server = *this->Beliefs.find(Id);
    // A server that fails is asked from time to time, but not waited for.
    if (Server.FailingSince)
      Proof->recordSilence(Id);
    if (!this->Beliefs.isAvoided(Server, steadyNow()))
      this->askForProof(Id, Proof);
  }
  // A read of the claim row that is still under way was begun too early.
  bool MayReadClaim = this->Claims && !this->ReadingClaim;
  const TimePoint ReadClaimAt = Begun + ClaimReadDelay;
  const TimePoint Until = ReadClaimAt + ClaimRetryInterval + ClaimReadTimeout;
  while (!this->Stopping && this->Beliefs.primary() == Leader &&
         steadyNow() < Until) {
    switch (Proof->state(this->othersThan(Leader.Id))) {
    case ProofState::Proved:
      this->recordProof(Leader.TermNumber, Proof->since());
      this->ProofReceived.notifyAll();
      co_return true;
    case ProofState::Superseded:
      co_return false;
    case ProofState::NeedsClaim:
      if (!MayReadClaim && !this->ReadingClaim)
        co_return false;
      if (MayReadClaim) {
        MayReadClaim = false;
        this->readClaim(Proof);
      }
      break;
    case ProofState::Open:
      if (MayReadClaim && steadyNow() >= ReadClaimAt) {
        MayReadClaim = false;
        this->readClaim(Proof);
      }
      break;
    }
    // The limit is for a server that has registered since the others were
    // asked; every call that was made ends earlier.
    co_await this->ProofChange.wait(MayReadClaim ? ReadClaimAt : Until);
  }
  co_return false;
}

QCoro::Task<bool> Group::proveByRelay(Term T) {
  if (!this->isFollower() || steadyNow() < this->RelayProofsFrom)
    co_return false;
  const TimePoint SentAt = bootNow();
  const bool Proved = co_await this->Source->prove(
      this->Name, T, steadyNow() + RelayProofTimeout);
  if (!Proved) {
    this->RelayProofsFrom = steadyNow() + RelayProofPause;
    co_return false;
  }
  // The relay requested the proof after this request, hence after SentAt.
  this->recordProof(T, SentAt);
  this->ProofReceived.notifyAll();
  co_return true;
}

QCoro::Task<bool> Group::proveOnce() {
  const std::optional<BelievedPrimary> Leader = this->Beliefs.primary();
  if (!Leader)
    co_return false;
  if (Leader->TermNumber != 0) {
    const bool ByRelay = co_await this->proveByRelay(Leader->TermNumber);
    if (ByRelay)
      co_return true;
  }
  if (Leader->TermNumber == 0) {
    co_await this->controlStatus(Leader->Id);
    co_return false;
  }
  const bool Proved = co_await this->proveDirectly(*Leader);
  co_return Proved;
}

QCoro::Task<> Group::proveLeadership() {
  const TaskGroup::Guard Guard(this->Tasks);
  while (!this->Stopping) {
    const std::optional<BelievedPrimary> Leader = this->Beliefs.primary();
    const bool Wanted =
        this->ProofWantedFor != TimePoint() && Leader &&
        !this->Fresh.provedSince(Leader->TermNumber, this->ProofWantedFor);
    if (!Wanted) {
      co_await this->ProveWake.wait();
      continue;
    }
    const bool Done = co_await this->proveOnce();
    if (!Done && !this->Stopping)
      co_await sleepFor(ProofRetryDelay);
  }
}

QCoro::Task<> Group::requestConnectionCounts() {
  std::vector<ServerId> Wanted;
  for (const auto &[Id, Pool] : this->Pools)
    if (Pool->share().wantsCount(Pool->open(), steadyNow()))
      Wanted.push_back(Id);
  for (const ServerId &Id : Wanted)
    co_await this->controlStatus(Id);
}

Duration Group::sampleInterval() const {
  if (this->isFollower())
    return MaxEvidenceAge;
  return this->Source && this->Source->isRelay() ? RelaySampleInterval
                                                 : SampleInterval;
}

QCoro::Task<> Group::samplePrimary() {
  const TaskGroup::Guard Guard(this->Tasks);
  while (!this->Stopping) {
    if (!this->wantsFloors()) {
      co_await this->SampleWake.wait();
      continue;
    }
    const std::optional<BelievedPrimary> Leader = this->Beliefs.primary();
    const std::optional<TimePoint> Newest = this->isFollower()
                                                ? this->Fresh.newestUsable()
                                                : this->Fresh.newestReport();
    const Duration Interval = this->sampleInterval();
    if (Leader && (!Newest || bootNow() - *Newest >= Interval)) {
      const TimePoint SentAt = bootNow();
      const std::optional<ServerReport> Report =
          co_await this->controlStatus(Leader->Id);
      if (Report && Report->Role == ServerRole::Primary)
        this->Fresh.observeReport(Report->TermNumber, Report->Received, SentAt);
    }
    const std::optional<TimePoint> Usable = this->Fresh.newestUsable();
    const std::optional<TimePoint> Reported = this->Fresh.newestReport();
    if (Reported && (!Usable || bootNow() - *Usable >= Interval)) {
      this->requestProof(*Reported);
    }
    co_await this->requestConnectionCounts();
    co_await this->SampleWake.wait(steadyNow() + Interval / 2);
  }
}

} // namespace amaranthspur
