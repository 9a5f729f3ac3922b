#include "root/backends/GroupWatcher.h"

#include <QByteArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <QString>

#include <algorithm>
#include <cassert>

namespace amaranthspur {
namespace {

/// Interval of the failover's steps; a fifth of what counts as a pause.
constexpr Duration StepInterval = milliseconds(25);
/// After a majority has adopted a term, the others are given this long, since
/// one of them may hold a longer log and can follow without a truncation.
/// Covers a round trip between regions.
constexpr Duration AdoptGrace = milliseconds(20);
/// Views whose positions alone have changed are published at this interval.
constexpr Duration PublishInterval = milliseconds(20);

/// What the row `claim/<service>` says.
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

/// Returns the claim in \p Text; a claim of term 0 if there is none.
Claim parseClaim(const std::string &Text) {
  const QJsonObject Object =
      QJsonDocument::fromJson(QByteArray::fromStdString(Text)).object();
  Claim C;
  C.TermNumber =
      static_cast<Term>(std::max<qint64>(Object["term"].toInteger(), 0));
  C.Vm = EntryVmId(Object["vm"].toString().toStdString());
  return C;
}

bool sameTarget(const ServerConfig &A, const ServerConfig &B) {
  return A.Id == B.Id && A.Host == B.Host && A.Port == B.Port;
}

} // namespace

/// One server of the group with its control connection.
struct GroupWatcher::Entry {
  ServerConfig Config;
  std::unique_ptr<BackendServer> Server;
  std::optional<ServerStatus> Status;
  TimePoint AnsweredAt{};
  TimePoint StatusSentAt{}; ///< When the question for Status was sent.
  TimePoint PolledAt{};     ///< When the last poll was sent.
  bool Failed = false;      ///< The last poll had no answer.
  bool PollNow = true;
  bool Removed = false;
  bool TaskEnded = false;
  std::deque<Command> Commands; ///< Go before polls.
  WaitPoint Wake;
};

/// One writer that waits for its position.
struct GroupWatcher::Waiter {
  WaitPoint Point;
  bool Confirmed = false;
};

/// Collects the answers to one adoption. Shared with the server tasks, which
/// may answer after the round has ended.
struct GroupWatcher::AdoptRound {
  std::vector<Adoption> Adoptions;
  std::size_t Unanswered = 0;
  WaitPoint Progress;
};

GroupWatcher::GroupWatcher(WatcherParts Parts, WatcherPolicies Policies,
                           const ServiceConfig &Service, unsigned Rank)
    : Parts(std::move(Parts)), Policies(std::move(Policies)), Rank(Rank),
      Incarnation(static_cast<std::uint64_t>(
          this->Parts.Time.now().time_since_epoch().count())) {
  this->configure(Service, Rank);
}

GroupWatcher::~GroupWatcher() {
  assert(this->Tasks == 0 && "destroyed before stop() has returned");
}

void GroupWatcher::start() {
  this->Tasks = 2;
  this->confirm();
  this->promote();
  for (const std::shared_ptr<Entry> &E : this->Entries) {
    ++this->Tasks;
    this->serve(E);
  }
}

QCoro::Task<> GroupWatcher::stop() {
  this->Stopping = true;
  for (const auto &[Position, W] : this->Waiters)
    W->Point.wake();
  this->Waiters.clear();
  this->ConfirmWake.wake();
  this->FailoverWake.wake();
  this->Observed.notifyAll();
  for (const std::shared_ptr<Entry> &E : this->Entries) {
    E->Server->reset();
    E->Wake.wake();
  }
  while (this->Tasks > 0)
    co_await this->Ended.wait();
}

void GroupWatcher::taskEnded() {
  --this->Tasks;
  this->Ended.wake();
}

void GroupWatcher::configure(const ServiceConfig &Config, unsigned NewRank) {
  this->Service = Config;
  this->Rank = NewRank;
  std::vector<std::shared_ptr<Entry>> Kept;
  for (const std::shared_ptr<Entry> &E : this->Entries) {
    const auto Same = std::find_if(
        Config.Servers.begin(), Config.Servers.end(),
        [&E](const ServerConfig &S) { return sameTarget(S, E->Config); });
    if (Same == Config.Servers.end()) {
      this->removeServer(*E);
      continue;
    }
    E->Config = *Same;
    Kept.push_back(E);
  }
  this->Entries = std::move(Kept);
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
  auto E = std::make_shared<Entry>();
  E->Config = Config;
  E->Server = this->Parts.Connect(Config);
  this->Entries.push_back(E);
  if (this->Tasks == 0)
    return; // start() has not been called.
  ++this->Tasks;
  this->serve(E);
}

void GroupWatcher::removeServer(Entry &E) {
  E.Removed = true;
  E.Server->reset();
  E.Wake.wake();
}

std::shared_ptr<GroupWatcher::Entry>
GroupWatcher::find(const ServerId &Id) const {
  for (const std::shared_ptr<Entry> &E : this->Entries)
    if (E->Config.Id == Id)
      return E;
  return nullptr;
}

void GroupWatcher::submit(Entry &E, Command C) {
  if (E.TaskEnded) {
    // Only while stopping, when a command reports at once that it was not
    // carried out.
    C(*E.Server);
    return;
  }
  E.Commands.push_back(std::move(C));
  E.Wake.wake();
}

void GroupWatcher::wakeServers() {
  for (const std::shared_ptr<Entry> &E : this->Entries)
    E->Wake.wake();
}

void GroupWatcher::pollAllNow() {
  for (const std::shared_ptr<Entry> &E : this->Entries)
    E->PollNow = true;
  this->wakeServers();
}

// --- Servers -----------------------------------------------------------------

QCoro::Task<> GroupWatcher::serve(std::shared_ptr<Entry> E) {
  while (!this->Stopping && !E->Removed) {
    if (!E->Commands.empty()) {
      const Command Next = std::move(E->Commands.front());
      E->Commands.pop_front();
      co_await Next(*E->Server);
      continue;
    }
    const TimePoint PollAt = this->nextPoll(*E);
    if (PollAt <= this->Parts.Time.now())
      co_await this->poll(*E);
    else
      co_await E->Wake.wait(PollAt);
  }
  // Commands that are left report that they were not carried out.
  while (!E->Commands.empty()) {
    const Command Next = std::move(E->Commands.front());
    E->Commands.pop_front();
    co_await Next(*E->Server);
  }
  E->TaskEnded = true;
  this->taskEnded();
}

TimePoint GroupWatcher::nextPoll(const Entry &E) const {
  if (E.PollNow)
    return TimePoint::min();
  if (E.Failed || this->Waiters.empty())
    return E.PolledAt + IdlePollInterval;
  const bool Leads = E.Status && E.Status->Role == ServerRole::Primary;
  return E.PolledAt + (Leads ? BusyPollInterval : MinPollInterval);
}

QCoro::Task<> GroupWatcher::poll(Entry &E) {
  const TimePoint SentAt = this->Parts.Time.now();
  // An open connection has until the end of the probe over a fresh one.
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
    this->observed(E, valueOf(Answer), SentAt);
}

void GroupWatcher::observed(Entry &E, const ServerStatus &Status,
                            TimePoint SentAt) {
  const TimePoint Now = this->Parts.Time.now();
  // A probe's question overlaps with that on the open connection. The answer
  // that comes second may be the older one, so only its arrival counts.
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
  this->Observed.notifyAll();
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
  Waiter Own;
  const bool First = this->Waiters.empty();
  const auto Place = this->Waiters.emplace(Position, &Own);
  if (First)
    this->wakeServers();
  // Whoever wakes the point has removed the waiter.
  const bool Woken = co_await Own.Point.wait(Deadline);
  if (!Woken)
    this->Waiters.erase(Place);
  co_return Own.Confirmed;
}

std::optional<LogPosition> GroupWatcher::floorSince(TimePoint Start) const {
  // A promotion that was complete before Start would show: its majority shares
  // a server with the one that answers here, and that server has adopted its
  // term.
  const Entry *Primary = nullptr;
  for (const std::shared_ptr<Entry> &E : this->Entries)
    if (E->Status && E->StatusSentAt >= Start &&
        E->Status->Role == ServerRole::Primary &&
        E->Status->LogEnd.TermNumber == E->Status->AdoptedTerm)
      Primary = E.get();
  if (!Primary)
    return std::nullopt;
  std::size_t Agreeing = 0;
  for (const std::shared_ptr<Entry> &E : this->Entries)
    if (E->Status && E->StatusSentAt >= Start &&
        E->Status->AdoptedTerm == Primary->Status->AdoptedTerm)
      ++Agreeing;
  if (Agreeing < majorityOf(this->Entries.size()))
    return std::nullopt;
  return Primary->Status->LogEnd;
}

QCoro::Task<std::optional<LogPosition>>
GroupWatcher::currentFloor(TimePoint Deadline) {
  const TimePoint Start = this->Parts.Time.now();
  this->pollAllNow();
  for (;;) {
    const std::optional<LogPosition> Floor = this->floorSince(Start);
    if (Floor || this->Stopping)
      co_return Floor;
    const bool InTime = co_await this->Observed.wait(Deadline);
    if (!InTime)
      co_return std::nullopt;
  }
}

QCoro::Task<> GroupWatcher::confirm() {
  while (!this->Stopping) {
    co_await this->ConfirmWake.wait();
    this->wakeConfirmed();
  }
  this->taskEnded();
}

void GroupWatcher::wakeConfirmed() {
  const Durability &Durable = *this->Policies.Durable;
  // In order of position: what is settled is a prefix.
  while (!this->Waiters.empty()) {
    const auto First = this->Waiters.begin();
    const bool Confirmed = Durable.isConfirmed(First->first);
    if (!Confirmed && !Durable.termEnded(First->first.TermNumber))
      return;
    First->second->Confirmed = Confirmed;
    First->second->Point.wake();
    this->Waiters.erase(First);
  }
}

// --- Promotion ---------------------------------------------------------------

GroupObservation
GroupWatcher::observation(std::optional<FailoverOutcome> Outcome) const {
  GroupObservation Seen;
  Seen.Rank = this->Rank;
  Seen.Outcome = std::move(Outcome);
  Seen.Servers.reserve(this->Entries.size());
  for (const std::shared_ptr<Entry> &E : this->Entries)
    Seen.Servers.push_back(
        {E->Config.Id, E->Config.Leaving, E->Status, E->AnsweredAt});
  return Seen;
}

QCoro::Task<> GroupWatcher::promote() {
  std::optional<FailoverOutcome> Outcome;
  while (!this->Stopping) {
    const FailoverAction Action = this->Policies.Promotion->step(
        this->observation(std::exchange(Outcome, std::nullopt)),
        this->Parts.Time.now());
    if (Action.Step == FailoverStep::Wait) {
      this->publish(false);
      co_await this->FailoverWake.wait(this->Parts.Time.now() + StepInterval);
      continue;
    }
    this->logAction(Action);
    Outcome = co_await this->carryOut(Action);
    this->logOutcome(*Outcome);
  }
  this->taskEnded();
}

QCoro::Task<FailoverOutcome> GroupWatcher::carryOut(FailoverAction Action) {
  switch (Action.Step) {
  case FailoverStep::ProbeFresh:
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
  const std::shared_ptr<Entry> E = this->find(Action.Server);
  if (!E)
    co_return Outcome;
  ++this->Counts.Probes;
  // The probe goes beside the open connection, not instead of it: under a
  // latency spike the answer that is under way comes before one to a new
  // question. Whichever comes first shows that the server lives.
  const std::unique_ptr<BackendServer> Fresh = this->Parts.Connect(E->Config);
  const TimePoint SentAt = this->Parts.Time.now();
  const TimePoint Deadline = SentAt + ProbeLimit;
  const Result<ServerStatus> Answer = co_await Fresh->probeFresh(Deadline);
  if (succeeded(Answer))
    this->observed(*E, valueOf(Answer), SentAt);
  while (E->AnsweredAt < SentAt && !E->Failed && !this->Stopping &&
         this->Parts.Time.now() < Deadline)
    co_await this->FailoverWake.wait(
        std::min(Deadline, this->Parts.Time.now() + StepInterval));
  // A server that refuses the connection (53300) lives. With the open
  // connection closed there is room for a new one.
  const bool Lives =
      !succeeded(Answer) && errorOf(Answer).starts_with(ServerAnswered);
  if (E->AnsweredAt >= SentAt || Lives)
    Outcome.Result = ActionResult::Succeeded;
  // The open connection is silent or its server is gone.
  E->Server->reset();
  E->PollNow = true;
  E->Wake.wake();
  // Keeps a server that goes on refusing from being probed in a tight loop.
  if (Lives && E->AnsweredAt < SentAt && !this->Stopping)
    co_await sleepFor(2 * StepInterval);
  co_return Outcome;
}

QCoro::Task<FailoverOutcome> GroupWatcher::claim(FailoverAction Action) {
  FailoverOutcome Outcome{Action.Step, ActionResult::NoAnswer, 0, {}};
  ++this->Counts.Claims;
  const TimePoint Deadline = this->Parts.Time.now() + ClaimLimit;
  const std::string Key = "claim/" + this->Service.Name.str();
  const Claim Own{Action.TermNumber, this->Parts.Self};
  const std::string Operation = this->Parts.Self.str() + "-" +
                                std::to_string(this->Incarnation) + "-" +
                                std::to_string(++this->ClaimCount);
  // The version is that of the last claim seen, which saves a read. If it is
  // out of date, the answer has the row and the second attempt its version.
  for (int Attempt = 0; Attempt < 2; ++Attempt) {
    const Result<CasOutcome> Set = co_await this->Parts.Store.compareAndSet(
        Key, this->ClaimVersion, formatClaim(Own), Operation, Deadline);
    if (!succeeded(Set)) {
      ++this->Counts.ClaimsUnanswered;
      co_return Outcome;
    }
    const TableRow &Row = valueOf(Set).Current;
    const Claim Held = parseClaim(Row.Value);
    this->ClaimVersion = Row.Version;
    Outcome.TermNumber = Held.TermNumber;
    Outcome.Result = ActionResult::Refused;
    if (Held.TermNumber == Own.TermNumber && Held.Vm == Own.Vm)
      Outcome.Result = ActionResult::Succeeded;
    if (Held.TermNumber >= Own.TermNumber)
      co_return Outcome;
  }
  co_return Outcome;
}

QCoro::Task<FailoverOutcome> GroupWatcher::adopt(FailoverAction Action) {
  const TimePoint Deadline = this->Parts.Time.now() + CallLimit;
  const auto Round = std::make_shared<AdoptRound>();
  for (const ServerId &Id : Action.Adopters) {
    const std::shared_ptr<Entry> E = this->find(Id);
    if (!E)
      continue;
    ++Round->Unanswered;
    this->submit(*E,
                 [this, Round, Id, Deadline, T = Action.TermNumber](
                     BackendServer &Server) -> QCoro::Task<> {
                   if (this->Parts.Time.now() < Deadline && !this->Stopping) {
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
      Until = std::min(Until, this->Parts.Time.now() + AdoptGrace);
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
  const std::shared_ptr<Entry> E = this->find(Action.Server);
  if (!E)
    co_return Outcome;
  WaitPoint Done;
  const TimePoint Deadline = this->Parts.Time.now() + CallLimit;
  this->submit(*E, [&](BackendServer &Server) -> QCoro::Task<> {
    if (this->Parts.Time.now() < Deadline && !this->Stopping) {
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
  const std::shared_ptr<Entry> E = this->find(Action.Server);
  const std::shared_ptr<Entry> Primary = this->find(Action.Primary);
  if (!E || !Primary)
    return;
  ++this->Counts.Follows;
  const Address From{Primary->Config.Host, Primary->Config.Port};
  const TimePoint Deadline = this->Parts.Time.now() + CallLimit;
  // Not waited for: one server that hangs must not delay the others.
  this->submit(*E,
               [this, E, From, Deadline, Id = Action.Primary,
                T = Action.TermNumber](BackendServer &Server) -> QCoro::Task<> {
                 if (this->Parts.Time.now() >= Deadline || this->Stopping)
                   co_return;
                 co_await Server.follow(T, Id, From, Deadline);
                 E->PollNow = true;
               });
}

void GroupWatcher::logAction(const FailoverAction &Action) {
  std::string Line = "event=failover_step service=" + this->Service.Name.str() +
                     " step=" + std::string(nameOf(Action.Step)) + " reason=" +
                     std::string(nameOf(this->Policies.Promotion->trouble())) +
                     " term=" + std::to_string(Action.TermNumber);
  if (!Action.Server.empty())
    Line += " server=" + Action.Server.str();
  if (!Action.Primary.empty())
    Line += " primary=" + Action.Primary.str();
  this->Parts.Log(Line);
}

void GroupWatcher::logOutcome(const FailoverOutcome &Outcome) {
  this->Parts.Log("event=failover_outcome service=" + this->Service.Name.str() +
                  " step=" + std::string(nameOf(Outcome.Step)) +
                  " result=" + std::string(nameOf(Outcome.Result)) +
                  " term=" + std::to_string(Outcome.TermNumber));
}

// --- Views -------------------------------------------------------------------

void GroupWatcher::publish(bool Changed) {
  const TimePoint Now = this->Parts.Time.now();
  const GroupView *Held = this->Parts.Views.find(this->Service.Name);
  const bool Flipped = Held && Held->AcceptsWrites != this->acceptsWrites(Now);
  if (!Changed && !Flipped && Now - this->Published < PublishInterval)
    return;
  this->Published = Now;
  this->Parts.Views.update(this->makeView(Now));
}

GroupView GroupWatcher::makeView(TimePoint Now) const {
  GroupView View;
  View.Service = this->Service.Name;
  View.Confirmed = this->Policies.Durable->confirmed();
  View.AcceptsWrites = this->acceptsWrites(Now);
  View.Taken = Now;
  for (const std::shared_ptr<Entry> &E : this->Entries) {
    ServerView Server;
    Server.Id = E->Config.Id;
    Server.Leaving = E->Config.Leaving;
    Server.Reachable = E->Status && Now - E->AnsweredAt < SilenceLimit;
    Server.Age = this->Ages.age(Server.Id, Now);
    if (E->Status) {
      Server.Held = E->Status->LogEnd;
      const bool Leads = E->Status->Role == ServerRole::Primary &&
                         E->Status->LogEnd.TermNumber == E->Status->AdoptedTerm;
      if (Leads && E->Status->AdoptedTerm > View.TermNumber) {
        View.TermNumber = E->Status->AdoptedTerm;
        View.Primary = Server.Id;
      }
    }
    View.Servers.push_back(std::move(Server));
  }
  return View;
}

} // namespace amaranthspur
