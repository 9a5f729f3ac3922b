#include "root/backends/GroupWatcher.h"

#include <QByteArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <QString>

#include <algorithm>
#include <cassert>

namespace amaranthspur {
namespace {

/// Interval between calls of Failover::step(). It is a tenth of PauseLimit;
/// Failover treats a longer gap between two calls as a pause of the process.
constexpr Duration StepInterval = milliseconds(25);
/// How long an adoption waits for the other servers after a majority has
/// adopted the term. One of them may hold a longer log, which would have to be
/// truncated if the server were not considered for the promotion. The value
/// covers a round trip between regions.
constexpr Duration AdoptGrace = milliseconds(20);
/// Minimum interval between published views in which only positions, and
/// neither roles nor terms, have changed.
constexpr Duration PublishInterval = milliseconds(20);

/// Contents of the table row `claim/<service>`: which entry VM may promote in
/// which term.
struct Claim {
  Term TermNumber = 0;
  EntryVmId Vm;
};

std::string formatClaim(const Claim &C) {
  const QJsonObject Object{
      {"term", static_cast<qint64>(C.TermNumber)},
      {"vm", QString::fromStdString(C.Vm.str())},
  };
  return QJsonDocument(Object).toJson(QJsonDocument::Compact).toStdString();
}

/// Parses the claim in \p Text. Returns a claim of term 0 if there is none.
Claim parseClaim(const std::string &Text) {
  const QJsonObject Object =
      QJsonDocument::fromJson(QByteArray::fromStdString(Text)).object();
  Claim C;
  C.TermNumber =
      static_cast<Term>(std::max<qint64>(Object["term"].toInteger(), 0));
  C.Vm = EntryVmId(Object["vm"].toString().toStdString());
  return C;
}

bool sameEndpoint(const ServerConfig &A, const ServerConfig &B) {
  return A.Id == B.Id && A.Host == B.Host && A.Port == B.Port;
}

} // namespace

/// One server of the group with its control connection and last status.
struct GroupWatcher::ServerEntry {
  ServerConfig Config;
  std::unique_ptr<BackendServer> Server;
  std::optional<ServerStatus> Status;
  TimePoint AnsweredAt{};       ///< When the last answer arrived.
  TimePoint StatusSentAt{};     ///< When the request for Status was sent.
  TimePoint PolledAt{};         ///< When the last poll was sent.
  bool Failed = false;          ///< The last poll returned an error.
  bool PollNow = true;          ///< The next poll is due at once.
  bool Removed = false;         ///< No longer in the configuration.
  bool TaskEnded = false;       ///< runServer() has ended.
  std::deque<Command> Commands; ///< Run before the next poll.
  WaitPoint Wake;
};

/// A writer that waits for the confirmation of its position.
struct GroupWatcher::Waiter {
  WaitPoint Wake;
  bool Confirmed = false;
};

/// Collects the answers to the requests to adopt one term. The object is shared
/// with the servers' tasks, which may report an answer after the round has
/// ended.
struct GroupWatcher::AdoptRound {
  std::vector<Adoption> Adoptions;
  std::size_t Unanswered = 0;
  WaitPoint Progress;
};

GroupWatcher::GroupWatcher(WatcherDependencies Deps, WatcherPolicies Policies,
                           const ServiceConfig &Service, unsigned Rank)
    : Deps(std::move(Deps)), Policies(std::move(Policies)), Rank(Rank),
      Incarnation(static_cast<std::uint64_t>(
          this->Deps.Time.now().time_since_epoch().count())) {
  this->configure(Service, Rank);
}

GroupWatcher::~GroupWatcher() {
  assert(this->RunningTasks == 0 && "destroyed before stop() has returned");
}

void GroupWatcher::start() {
  this->RunningTasks = 2;
  this->runConfirmation();
  this->runFailover();
  for (const std::shared_ptr<ServerEntry> &E : this->ServerEntries) {
    ++this->RunningTasks;
    this->runServer(E);
  }
}

QCoro::Task<> GroupWatcher::stop() {
  this->Stopping = true;
  for (const auto &[Position, W] : this->Waiters)
    W->Wake.wake();
  this->Waiters.clear();
  this->ConfirmWake.wake();
  this->FailoverWake.wake();
  this->StatusReceived.notifyAll();
  for (const std::shared_ptr<ServerEntry> &E : this->ServerEntries) {
    E->Server->reset();
    E->Wake.wake();
  }
  while (this->RunningTasks > 0)
    co_await this->StopWake.wait();
}

void GroupWatcher::onTaskEnded() {
  --this->RunningTasks;
  this->StopWake.wake();
}

void GroupWatcher::configure(const ServiceConfig &Config, unsigned NewRank) {
  this->Service = Config;
  this->Rank = NewRank;
  std::vector<std::shared_ptr<ServerEntry>> Kept;
  for (const std::shared_ptr<ServerEntry> &E : this->ServerEntries) {
    const auto Same = std::find_if(
        Config.Servers.begin(), Config.Servers.end(),
        [&E](const ServerConfig &S) { return sameEndpoint(S, E->Config); });
    if (Same == Config.Servers.end()) {
      this->removeServer(*E);
      continue;
    }
    E->Config = *Same;
    Kept.push_back(E);
  }
  this->ServerEntries = std::move(Kept);
  std::vector<ServerId> Ids;
  Ids.reserve(Config.Servers.size());
  for (const ServerConfig &Server : Config.Servers) {
    Ids.push_back(Server.Id);
    if (!this->find(Server.Id))
      this->addServer(Server);
  }
  this->Policies.Durable->configure(Ids);
  this->Ages.configure(Ids);
}

void GroupWatcher::addServer(const ServerConfig &Config) {
  auto E = std::make_shared<ServerEntry>();
  E->Config = Config;
  E->Server = this->Deps.Connect(Config);
  this->ServerEntries.push_back(E);
  if (this->RunningTasks == 0)
    return; // start() has not been called.
  ++this->RunningTasks;
  this->runServer(E);
}

void GroupWatcher::removeServer(ServerEntry &E) {
  E.Removed = true;
  E.Server->reset();
  E.Wake.wake();
}

std::shared_ptr<GroupWatcher::ServerEntry>
GroupWatcher::find(const ServerId &Id) const {
  for (const std::shared_ptr<ServerEntry> &E : this->ServerEntries)
    if (E->Config.Id == Id)
      return E;
  return nullptr;
}

void GroupWatcher::enqueueCommand(ServerEntry &E, Command C) {
  if (E.TaskEnded) {
    // This happens only while stopping. The command then reports at once that
    // it was not carried out.
    C(*E.Server);
    return;
  }
  E.Commands.push_back(std::move(C));
  E.Wake.wake();
}

void GroupWatcher::wakeServers() {
  for (const std::shared_ptr<ServerEntry> &E : this->ServerEntries)
    E->Wake.wake();
}

void GroupWatcher::pollAllNow() {
  for (const std::shared_ptr<ServerEntry> &E : this->ServerEntries)
    E->PollNow = true;
  this->wakeServers();
}

// --- Servers -----------------------------------------------------------------

QCoro::Task<> GroupWatcher::runServer(std::shared_ptr<ServerEntry> E) {
  while (!this->Stopping && !E->Removed) {
    if (!E->Commands.empty()) {
      const Command Next = std::move(E->Commands.front());
      E->Commands.pop_front();
      co_await Next(*E->Server);
      continue;
    }
    const TimePoint PollAt = this->nextPollTime(*E);
    if (PollAt <= this->Deps.Time.now())
      co_await this->poll(*E);
    else
      co_await E->Wake.wait(PollAt);
  }
  // The remaining commands report that they were not carried out.
  while (!E->Commands.empty()) {
    const Command Next = std::move(E->Commands.front());
    E->Commands.pop_front();
    co_await Next(*E->Server);
  }
  E->TaskEnded = true;
  this->onTaskEnded();
}

TimePoint GroupWatcher::nextPollTime(const ServerEntry &E) const {
  if (E.PollNow)
    return TimePoint::min();
  if (E.Failed || this->Waiters.empty())
    return E.PolledAt + IdlePollInterval;
  const bool IsPrimary = E.Status && E.Status->Role == ServerRole::Primary;
  return E.PolledAt + (IsPrimary ? BusyPollInterval : MinPollInterval);
}

QCoro::Task<> GroupWatcher::poll(ServerEntry &E) {
  const TimePoint SentAt = this->Deps.Time.now();
  // A call on the open connection may take until a probe over a new connection
  // would have ended, so that an answer which is only slow still counts.
  TimePoint Deadline = E.AnsweredAt + SilenceLimit + ProbeLimit;
  if (E.Failed || Deadline - SentAt < IdlePollInterval)
    Deadline = SentAt + ProbeLimit;
  E.PollNow = false;
  E.PolledAt = SentAt;
  ++this->Counts.Polls;
  const Result<ServerStatus> Answer = co_await E.Server->status(Deadline);
  E.Failed = !succeeded(Answer);
  if (E.Failed)
    ++this->Counts.PollFailures;
  else
    this->recordStatus(E, valueOf(Answer), SentAt);
}

void GroupWatcher::recordStatus(ServerEntry &E, const ServerStatus &Status,
                                TimePoint SentAt) {
  const TimePoint Now = this->Deps.Time.now();
  // A probe's request can overlap with one on the open connection. The answer
  // that arrives second may carry the older status, so only its time of arrival
  // is recorded.
  const bool Overlaps = SentAt < E.AnsweredAt;
  if (Overlaps) {
    E.AnsweredAt = Now;
    return;
  }
  const bool Changed = !E.Status || E.Status->Role != Status.Role ||
                       E.Status->AdoptedTerm != Status.AdoptedTerm ||
                       E.Status->LogEnd.TermNumber != Status.LogEnd.TermNumber;
  E.Status = Status;
  E.AnsweredAt = Now;
  E.StatusSentAt = SentAt;
  E.Failed = false;
  if (E.Removed)
    return;
  this->Policies.Durable->observe(E.Config.Id, Status, SentAt, Now);
  this->Ages.observe(E.Config.Id, Status, SentAt);
  this->ConfirmWake.wake();
  this->StatusReceived.notifyAll();
  if (Changed)
    this->FailoverWake.wake();
  this->publish(Changed);
}

// --- Confirmation ------------------------------------------------------------

bool GroupWatcher::acceptsWrites(TimePoint Now) const {
  return !this->Stopping && this->Policies.Durable->acceptsWrites(Now);
}

QCoro::Task<bool> GroupWatcher::waitConfirmed(LogPosition Position,
                                              TimePoint Deadline) {
  const Durability &Durable = *this->Policies.Durable;
  if (Durable.isConfirmed(Position))
    co_return true;
  if (this->Stopping || Durable.termEnded(Position.TermNumber))
    co_return false;
  Waiter Pending;
  const bool First = this->Waiters.empty();
  const auto Iterator = this->Waiters.emplace(Position, &Pending);
  if (First)
    this->wakeServers();
  // The code that wakes the waiter has already removed it from the map.
  const bool Woken = co_await Pending.Wake.wait(Deadline);
  if (!Woken)
    this->Waiters.erase(Iterator);
  co_return Pending.Confirmed;
}

std::optional<LogPosition> GroupWatcher::floorSince(TimePoint Start) const {
  // A later promotion that was complete before Start cannot be missed here: its
  // majority shares a server with the majority that answered after Start, and
  // that server has adopted the later term.
  const ServerEntry *Primary = nullptr;
  for (const std::shared_ptr<ServerEntry> &E : this->ServerEntries)
    if (E->Status && E->StatusSentAt >= Start &&
        E->Status->Role == ServerRole::Primary &&
        E->Status->LogEnd.TermNumber == E->Status->AdoptedTerm)
      Primary = E.get();
  if (!Primary)
    return std::nullopt;
  std::size_t Agreeing = 0;
  for (const std::shared_ptr<ServerEntry> &E : this->ServerEntries)
    if (E->Status && E->StatusSentAt >= Start &&
        E->Status->AdoptedTerm == Primary->Status->AdoptedTerm)
      ++Agreeing;
  if (Agreeing < majorityOf(this->ServerEntries.size()))
    return std::nullopt;
  return Primary->Status->LogEnd;
}

QCoro::Task<std::optional<LogPosition>>
GroupWatcher::currentFloor(TimePoint Deadline) {
  const TimePoint Start = this->Deps.Time.now();
  this->pollAllNow();
  for (;;) {
    const std::optional<LogPosition> Floor = this->floorSince(Start);
    if (Floor || this->Stopping)
      co_return Floor;
    const bool InTime = co_await this->StatusReceived.wait(Deadline);
    if (!InTime)
      co_return std::nullopt;
  }
}

QCoro::Task<> GroupWatcher::runConfirmation() {
  while (!this->Stopping) {
    co_await this->ConfirmWake.wait();
    this->wakeConfirmed();
  }
  this->onTaskEnded();
}

void GroupWatcher::wakeConfirmed() {
  const Durability &Durable = *this->Policies.Durable;
  // The map is ordered by position, so the waiters that can be woken come
  // first.
  while (!this->Waiters.empty()) {
    const auto First = this->Waiters.begin();
    const bool Confirmed = Durable.isConfirmed(First->first);
    if (!Confirmed && !Durable.termEnded(First->first.TermNumber))
      return;
    First->second->Confirmed = Confirmed;
    First->second->Wake.wake();
    this->Waiters.erase(First);
  }
}

// --- Promotion ---------------------------------------------------------------

GroupObservation
GroupWatcher::observation(std::optional<FailoverOutcome> Outcome) const {
  GroupObservation Observation;
  Observation.Rank = this->Rank;
  Observation.Outcome = std::move(Outcome);
  Observation.Servers.reserve(this->ServerEntries.size());
  for (const std::shared_ptr<ServerEntry> &E : this->ServerEntries)
    Observation.Servers.push_back(
        {E->Config.Id, E->Config.Leaving, E->Status, E->AnsweredAt});
  return Observation;
}

QCoro::Task<> GroupWatcher::runFailover() {
  std::optional<FailoverOutcome> Outcome;
  while (!this->Stopping) {
    const FailoverAction Action = this->Policies.Promotion->step(
        this->observation(std::exchange(Outcome, std::nullopt)),
        this->Deps.Time.now());
    if (Action.Step == FailoverStep::Wait) {
      this->publish(false);
      co_await this->FailoverWake.wait(this->Deps.Time.now() + StepInterval);
      continue;
    }
    this->logAction(Action);
    Outcome = co_await this->performAction(Action);
    this->logOutcome(*Outcome);
  }
  this->onTaskEnded();
}

QCoro::Task<FailoverOutcome>
GroupWatcher::performAction(FailoverAction Action) {
  switch (Action.Step) {
  case FailoverStep::ProbeOverNewConnection:
    co_return co_await this->probe(std::move(Action));
  case FailoverStep::Claim:
    co_return co_await this->claim(std::move(Action));
  case FailoverStep::Adopt:
    co_return co_await this->adopt(std::move(Action));
  case FailoverStep::Promote:
    co_return co_await this->promoteServer(std::move(Action));
  case FailoverStep::Follow:
    this->follow(Action);
    co_return FailoverOutcome{Action.Step, ActionResult::Succeeded, 0, {}};
  case FailoverStep::Wait:
    break;
  }
  co_return FailoverOutcome();
}

QCoro::Task<FailoverOutcome> GroupWatcher::probe(FailoverAction Action) {
  FailoverOutcome Outcome{Action.Step, ActionResult::NoAnswer, 0, {}};
  const std::shared_ptr<ServerEntry> E = this->find(Action.Server);
  if (!E)
    co_return Outcome;
  ++this->Counts.Probes;
  // The probe uses a second connection and leaves the open one as it is: under
  // a latency spike the answer already in flight arrives before the answer to a
  // new request. Whichever arrives first shows that the server is alive.
  const std::unique_ptr<BackendServer> Fresh = this->Deps.Connect(E->Config);
  const TimePoint SentAt = this->Deps.Time.now();
  const TimePoint Deadline = SentAt + ProbeLimit;
  const Result<ServerStatus> Answer = co_await Fresh->probeFresh(Deadline);
  if (succeeded(Answer))
    this->recordStatus(*E, valueOf(Answer), SentAt);
  while (E->AnsweredAt < SentAt && !E->Failed && !this->Stopping &&
         this->Deps.Time.now() < Deadline)
    co_await this->FailoverWake.wait(
        std::min(Deadline, this->Deps.Time.now() + StepInterval));
  // A server that refuses the connection because of its limit (SQLSTATE 53300)
  // is alive. Closing the open connection below makes room for a new one.
  const bool Lives =
      !succeeded(Answer) && errorOf(Answer).starts_with(ServerAnswered);
  if (E->AnsweredAt >= SentAt || Lives)
    Outcome.Result = ActionResult::Succeeded;
  // Either the open connection or the server itself does not respond.
  E->Server->reset();
  E->PollNow = true;
  E->Wake.wake();
  // This pause prevents a tight loop of probes while the server keeps refusing
  // connections.
  if (Lives && E->AnsweredAt < SentAt && !this->Stopping)
    co_await sleepFor(2 * StepInterval);
  co_return Outcome;
}

QCoro::Task<FailoverOutcome> GroupWatcher::claim(FailoverAction Action) {
  FailoverOutcome Outcome{Action.Step, ActionResult::NoAnswer, 0, {}};
  ++this->Counts.Claims;
  const TimePoint Deadline = this->Deps.Time.now() + ClaimLimit;
  const std::string Key = "claim/" + this->Service.Name.str();
  const Claim Proposed{Action.TermNumber, this->Deps.Self};
  const std::string Operation = this->Deps.Self.str() + "-" +
                                std::to_string(this->Incarnation) + "-" +
                                std::to_string(++this->ClaimSequence);
  // The first attempt uses the version of the claim seen last, which saves a
  // read. If that version is out of date, the answer contains the current row,
  // and the second attempt uses its version.
  for (int Attempt = 0; Attempt < 2; ++Attempt) {
    const Result<CasOutcome> Answer = co_await this->Deps.Store.compareAndSet(
        Key, this->ClaimVersion, formatClaim(Proposed), Operation, Deadline);
    if (!succeeded(Answer)) {
      ++this->Counts.ClaimsUnanswered;
      co_return Outcome;
    }
    const TableRow &Row = valueOf(Answer).Current;
    const Claim Stored = parseClaim(Row.Value);
    this->ClaimVersion = Row.Version;
    Outcome.TermNumber = Stored.TermNumber;
    Outcome.Result = ActionResult::Refused;
    if (Stored.TermNumber == Proposed.TermNumber && Stored.Vm == Proposed.Vm)
      Outcome.Result = ActionResult::Succeeded;
    if (Stored.TermNumber >= Proposed.TermNumber)
      co_return Outcome;
  }
  co_return Outcome;
}

QCoro::Task<FailoverOutcome> GroupWatcher::adopt(FailoverAction Action) {
  const TimePoint Deadline = this->Deps.Time.now() + CallLimit;
  const auto Round = std::make_shared<AdoptRound>();
  for (const ServerId &Id : Action.Adopters) {
    const std::shared_ptr<ServerEntry> E = this->find(Id);
    if (!E)
      continue;
    ++Round->Unanswered;
    this->enqueueCommand(
        *E,
        [this, Round, Id, Deadline,
         T = Action.TermNumber](BackendServer &Server) -> QCoro::Task<> {
          if (this->Deps.Time.now() < Deadline && !this->Stopping) {
            const auto Answer = co_await Server.adoptTerm(T, Deadline);
            if (succeeded(Answer)) {
              ++this->Counts.Adoptions;
              Round->Adoptions.push_back({Id, valueOf(Answer)});
            }
          }
          --Round->Unanswered;
          Round->Progress.wake();
        });
  }
  TimePoint Until = Deadline;
  while (Round->Unanswered > 0) {
    if (Round->Adoptions.size() >= Action.Needed)
      Until = std::min(Until, this->Deps.Time.now() + AdoptGrace);
    const bool Progressed = co_await Round->Progress.wait(Until);
    if (!Progressed)
      break;
  }
  const bool Enough = Round->Adoptions.size() >= Action.Needed;
  co_return FailoverOutcome{
      Action.Step, Enough ? ActionResult::Succeeded : ActionResult::Refused,
      Action.TermNumber, Round->Adoptions};
}

QCoro::Task<FailoverOutcome>
GroupWatcher::promoteServer(FailoverAction Action) {
  FailoverOutcome Outcome{
      Action.Step, ActionResult::NoAnswer, Action.TermNumber, {}};
  const std::shared_ptr<ServerEntry> E = this->find(Action.Server);
  if (!E)
    co_return Outcome;
  WaitPoint Done;
  const TimePoint Deadline = this->Deps.Time.now() + CallLimit;
  this->enqueueCommand(*E, [&](BackendServer &Server) -> QCoro::Task<> {
    if (this->Deps.Time.now() < Deadline && !this->Stopping) {
      const auto Answer = co_await Server.promote(Action.TermNumber, Deadline);
      if (succeeded(Answer))
        Outcome.Result = ActionResult::Succeeded;
    }
    Done.wake();
  });
  co_await Done.wait();
  if (Outcome.Result == ActionResult::Succeeded)
    ++this->Counts.Promotions;
  this->pollAllNow();
  co_return Outcome;
}

void GroupWatcher::follow(const FailoverAction &Action) {
  const std::shared_ptr<ServerEntry> E = this->find(Action.Server);
  const std::shared_ptr<ServerEntry> Primary = this->find(Action.Primary);
  if (!E || !Primary)
    return;
  ++this->Counts.Follows;
  const Address From{Primary->Config.Host, Primary->Config.Port};
  const TimePoint Deadline = this->Deps.Time.now() + CallLimit;
  // The result is not awaited, so that a server that hangs does not delay the
  // others.
  this->enqueueCommand(
      *E,
      [this, E, From, Deadline, Id = Action.Primary,
       T = Action.TermNumber](BackendServer &Server) -> QCoro::Task<> {
        if (this->Deps.Time.now() >= Deadline || this->Stopping)
          co_return;
        co_await Server.follow(T, Id, From, Deadline);
        E->PollNow = true;
      });
}

void GroupWatcher::logAction(const FailoverAction &Action) {
  std::string Line = "event=failover_step service=" + this->Service.Name.str() +
                     " step=" + std::string(nameOf(Action.Step)) + " reason=" +
                     std::string(nameOf(this->Policies.Promotion->reason())) +
                     " term=" + std::to_string(Action.TermNumber);
  if (!Action.Server.empty())
    Line += " server=" + Action.Server.str();
  if (!Action.Primary.empty())
    Line += " primary=" + Action.Primary.str();
  this->Deps.Log(Line);
}

void GroupWatcher::logOutcome(const FailoverOutcome &Outcome) {
  this->Deps.Log("event=failover_outcome service=" + this->Service.Name.str() +
                 " step=" + std::string(nameOf(Outcome.Step)) +
                 " result=" + std::string(nameOf(Outcome.Result)) +
                 " term=" + std::to_string(Outcome.TermNumber));
}

// --- Views -------------------------------------------------------------------

void GroupWatcher::publish(bool Changed) {
  const TimePoint Now = this->Deps.Time.now();
  const GroupView *Previous = this->Deps.Views.find(this->Service.Name);
  const bool AcceptanceChanged =
      Previous && Previous->AcceptsWrites != this->acceptsWrites(Now);
  if (!Changed && !AcceptanceChanged &&
      Now - this->PublishedAt < PublishInterval)
    return;
  this->PublishedAt = Now;
  this->Deps.Views.update(this->makeView(Now));
}

GroupView GroupWatcher::makeView(TimePoint Now) const {
  GroupView View;
  View.Service = this->Service.Name;
  View.Confirmed = this->Policies.Durable->confirmed();
  View.AcceptsWrites = this->acceptsWrites(Now);
  View.Taken = Now;
  for (const std::shared_ptr<ServerEntry> &E : this->ServerEntries) {
    ServerView Server;
    Server.Id = E->Config.Id;
    Server.Leaving = E->Config.Leaving;
    Server.Reachable = E->Status && Now - E->AnsweredAt < SilenceLimit;
    Server.Age = this->Ages.age(Server.Id, Now);
    if (E->Status) {
      Server.Held = E->Status->LogEnd;
      const bool IsPrimary =
          E->Status->Role == ServerRole::Primary &&
          E->Status->LogEnd.TermNumber == E->Status->AdoptedTerm;
      if (IsPrimary && E->Status->AdoptedTerm > View.TermNumber) {
        View.TermNumber = E->Status->AdoptedTerm;
        View.Primary = Server.Id;
      }
    }
    View.Servers.push_back(std::move(Server));
  }
  return View;
}

} // namespace amaranthspur
