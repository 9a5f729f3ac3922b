#include "policy/testing/GroupModel.h"

#include <algorithm>

namespace amaranthspur::testing {
namespace {

constexpr Duration StepInterval = milliseconds(25);
/// Equal to GroupWatcher::IdlePollInterval. With the shorter BusyPollInterval,
/// a pause of the primary would appear shorter to the watchers.
constexpr Duration PollInterval = milliseconds(200);
constexpr Duration ReplicateInterval = milliseconds(5);
constexpr Duration WriteInterval = milliseconds(20);
constexpr Duration FaultInterval = milliseconds(50);
/// Number of entries in one replication round, limited so that watchers also
/// observe a replica while it catches up.
constexpr std::size_t EntriesPerRound = 20;
constexpr std::uint64_t MaxDelayUs = 12000;

} // namespace

bool ModelServer::adopt(Term T) {
  if (T <= this->AdoptedTerm)
    return false;
  this->AdoptedTerm = T;
  this->Role = ServerRole::Replica;
  return true;
}

bool ModelServer::promote(Term T, std::uint64_t EntryId) {
  if (this->AdoptedTerm != T || this->PromotedIn >= T)
    return false;
  this->PromotedIn = T;
  this->Role = ServerRole::Primary;
  this->Primary = this->Id;
  this->Log.push_back({T, EntryId});
  return true;
}

bool ModelServer::follow(Term T, const ServerId &From) {
  if (T < this->AdoptedTerm)
    return false;
  this->AdoptedTerm = T;
  this->Role = ServerRole::Replica;
  this->Primary = From;
  return true;
}

ServerStatus ModelServer::status() const {
  ServerStatus Status;
  Status.Role = this->Role;
  Status.AdoptedTerm = this->AdoptedTerm;
  Status.LogEnd = this->logEnd();
  Status.Primary = this->Primary;
  return Status;
}

/// A watcher process. Epoch counts its restarts, so that events scheduled
/// before a restart are ignored.
struct GroupModel::Watcher {
  explicit Watcher(std::uint64_t Seed) : Rng(Seed) {}

  Random Rng;
  std::uint64_t Epoch = 0;
  std::unique_ptr<Durability> Durable;
  std::unique_ptr<Failover> Promotion;
  std::vector<ServerObservation> Seen;
  std::vector<std::uint64_t> LatestPollId; ///< For each server.
  std::optional<FailoverOutcome> Outcome;
  bool Acting = false;
  bool RestartAfterAdoption = false;
  TimePoint PausedUntil{};
};

GroupModel::GroupModel(ModelOptions Options)
    : Options(std::move(Options)), Rng(this->Options.Seed) {
  for (std::size_t S = 0; S < this->Options.Servers; ++S) {
    ModelServer Server;
    Server.Id = ServerId("s" + std::to_string(S));
    Server.AdoptedTerm = 1;
    Server.Primary = ServerId("s0");
    this->Servers.push_back(std::move(Server));
  }
  this->Servers[0].promote(1, this->NextEntry++);
  this->Promotions[1] = this->Servers[0].Id;
  this->LastProgress = this->Now;
  this->Watchers.resize(this->Options.Watchers);
  for (std::size_t W = 0; W < this->Options.Watchers; ++W)
    this->startWatcher(W);
  this->schedule(this->Now, [this] { this->replicate(); });
  this->schedule(this->Now, [this] { this->write(); });
  this->schedule(this->Now, [this] { this->randomFault(); });
}

GroupModel::~GroupModel() = default;

void GroupModel::startWatcher(std::size_t W) {
  const std::uint64_t Epoch =
      this->Watchers[W] ? this->Watchers[W]->Epoch + 1 : 0;
  auto New =
      std::make_unique<Watcher>(this->Options.Seed * 1000 + W * 100 + Epoch);
  New->Epoch = Epoch;
  New->Durable = this->Options.MakeDurability();
  New->Promotion = this->Options.MakeFailover(New->Rng);
  std::vector<ServerId> Ids;
  for (const ModelServer &Server : this->Servers) {
    Ids.push_back(Server.Id);
    New->Seen.push_back({Server.Id, false, std::nullopt, {}});
  }
  New->LatestPollId.resize(this->Servers.size());
  New->Durable->configure(Ids);
  this->Watchers[W] = std::move(New);
  this->schedule(this->Now + this->randomDelay(),
                 [this, W, Epoch] { this->stepWatcher(W, Epoch); });
  for (std::size_t S = 0; S < this->Servers.size(); ++S)
    this->poll(W, S);
}

void GroupModel::run(Duration Time) {
  const TimePoint End = this->Now + Time;
  while (!this->Queue.empty() && this->Queue.begin()->first <= End &&
         this->Violation.empty()) {
    const auto First = this->Queue.begin();
    this->Now = std::max(this->Now, First->first);
    const std::function<void()> Event = std::move(First->second);
    this->Queue.erase(First);
    ++this->Events;
    Event();
    this->check();
  }
  this->Now = End;
}

void GroupModel::schedule(TimePoint When, std::function<void()> Event) {
  this->Queue.emplace(When, std::move(Event));
}

Duration GroupModel::randomDelay() {
  return this->ExtraDelay + Duration(static_cast<Duration::rep>(
                                100 + this->Rng.below(MaxDelayUs)));
}

bool GroupModel::isMessageLost() {
  return this->Faults && this->Rng.below(1000) < this->Options.LossPerMille;
}

bool GroupModel::isLinkCut(std::size_t A, std::size_t B) const {
  return this->Cuts.contains({std::min(A, B), std::max(A, B)});
}

std::size_t GroupModel::indexOf(const ServerId &Id) const {
  for (std::size_t S = 0; S < this->Servers.size(); ++S)
    if (this->Servers[S].Id == Id)
      return S;
  return this->Servers.size();
}

// --- Messages ----------------------------------------------------------------

void GroupModel::runOnWatcher(std::size_t W, std::uint64_t Epoch,
                              std::function<void()> Event) {
  Watcher &Target = *this->Watchers[W];
  if (Target.Epoch != Epoch)
    return;
  if (Target.PausedUntil > this->Now) {
    this->schedule(Target.PausedUntil + this->randomDelay(),
                   [this, W, Epoch, Event = std::move(Event)] {
                     this->runOnWatcher(W, Epoch, Event);
                   });
    return;
  }
  Event();
}

/// The request takes effect even if the watcher has stopped waiting for it.
void GroupModel::deliverRequest(std::size_t W, std::size_t S, const Request &R,
                                const ReplyCallback &Answer) {
  ModelServer &Server = this->Servers[S];
  if (!Server.Alive || this->isLinkCut(S, this->watcherNode(W)))
    return;
  if (Server.PausedUntil > this->Now) {
    this->schedule(
        Server.PausedUntil + this->randomDelay(),
        [this, W, S, R, Answer] { this->deliverRequest(W, S, R, Answer); });
    return;
  }
  const Reply Result = R(Server);
  if (this->isMessageLost() || this->isLinkCut(S, this->watcherNode(W)))
    return;
  const std::uint64_t Epoch = this->Watchers[W]->Epoch;
  this->schedule(
      this->Now + this->randomDelay(), [this, W, Epoch, Result, Answer] {
        this->runOnWatcher(W, Epoch, [Result, Answer] { Answer(Result); });
      });
}

void GroupModel::call(std::size_t W, std::size_t S, Request R, ReplyCallback D,
                      Duration Limit) {
  const auto Finished = std::make_shared<bool>(false);
  const ReplyCallback Once = [Finished, D = std::move(D)](const auto &Answer) {
    if (!std::exchange(*Finished, true))
      D(Answer);
  };
  const std::uint64_t Epoch = this->Watchers[W]->Epoch;
  this->schedule(this->Now + Limit, [this, W, Epoch, Once] {
    this->runOnWatcher(W, Epoch, [Once] { Once(std::nullopt); });
  });
  if (this->isMessageLost())
    return;
  this->schedule(this->Now + this->randomDelay(),
                 [this, W, S, R = std::move(R), Once] {
                   this->deliverRequest(W, S, R, Once);
                 });
}

// --- Watchers ----------------------------------------------------------------

void GroupModel::stepWatcher(std::size_t W, std::uint64_t Epoch) {
  this->runOnWatcher(W, Epoch, [this, W, Epoch] {
    Watcher &Self = *this->Watchers[W];
    this->schedule(this->Now + StepInterval,
                   [this, W, Epoch] { this->stepWatcher(W, Epoch); });
    while (!Self.Acting) {
      GroupObservation Seen;
      Seen.Servers = Self.Seen;
      for (std::size_t S = 0; S < this->Servers.size(); ++S)
        Seen.Servers[S].Leaving = this->Servers[S].Leaving;
      Seen.Rank = static_cast<unsigned>(W);
      Seen.Outcome = std::exchange(Self.Outcome, std::nullopt);
      const FailoverAction Action = Self.Promotion->step(Seen, this->Now);
      if (Action.Step == FailoverStep::Wait)
        return;
      Self.Acting = true;
      this->execute(W, Action);
    }
  });
}

void GroupModel::finishAction(std::size_t W, FailoverOutcome Outcome) {
  Watcher &Self = *this->Watchers[W];
  if (Self.RestartAfterAdoption && Outcome.Step == FailoverStep::Adopt &&
      Outcome.Result == ActionResult::Succeeded) {
    this->startWatcher(W); // The restart loses the state and the promotion.
    return;
  }
  Self.Outcome = std::move(Outcome);
  Self.Acting = false;
  // The next step follows at once, as in GroupWatcher.
  this->schedule(this->Now, [this, W, Epoch = Self.Epoch] {
    this->runOnWatcher(W, Epoch, [this, W] {
      Watcher &Self = *this->Watchers[W];
      if (Self.Acting || !Self.Outcome)
        return;
      GroupObservation Seen;
      Seen.Servers = Self.Seen;
      for (std::size_t S = 0; S < this->Servers.size(); ++S)
        Seen.Servers[S].Leaving = this->Servers[S].Leaving;
      Seen.Rank = static_cast<unsigned>(W);
      Seen.Outcome = std::exchange(Self.Outcome, std::nullopt);
      const FailoverAction Action = Self.Promotion->step(Seen, this->Now);
      if (Action.Step == FailoverStep::Wait)
        return;
      Self.Acting = true;
      this->execute(W, Action);
    });
  });
}

void GroupModel::poll(std::size_t W, std::size_t S) {
  Watcher &Self = *this->Watchers[W];
  const std::uint64_t Id = ++Self.LatestPollId[S];
  const TimePoint SentAt = this->Now;
  const TimePoint End = Self.Seen[S].AnsweredAt + SilenceLimit + ProbeLimit;
  const Duration Limit =
      End - SentAt < milliseconds(200) ? ProbeLimit : End - SentAt;
  this->call(
      W, S,
      [](ModelServer &Server) {
        return Reply{true, Server.status()};
      },
      [this, W, S, Id, SentAt](const std::optional<Reply> &Answer) {
        Watcher &Self = *this->Watchers[W];
        if (Self.LatestPollId[S] != Id)
          return; // A probe has replaced the connection since.
        if (Answer)
          this->observe(W, S, Answer->Status, SentAt);
        this->schedule(std::max(this->Now, SentAt + PollInterval),
                       [this, W, S, Id, Epoch = Self.Epoch] {
                         this->runOnWatcher(W, Epoch, [this, W, S, Id] {
                           if (this->Watchers[W]->LatestPollId[S] == Id)
                             this->poll(W, S);
                         });
                       });
      },
      Limit);
}

void GroupModel::observe(std::size_t W, std::size_t S,
                         const ServerStatus &Status, TimePoint SentAt) {
  Watcher &Self = *this->Watchers[W];
  const bool Overlaps = SentAt < Self.Seen[S].AnsweredAt;
  Self.Seen[S].AnsweredAt = this->Now;
  if (Overlaps)
    return; // As in GroupWatcher: the status may be older than the known one.
  Self.Seen[S].Status = Status;
  const LogPosition Before = Self.Durable->confirmed();
  Self.Durable->observe(this->Servers[S].Id, Status, SentAt, this->Now);
  const LogPosition After = Self.Durable->confirmed();
  if (After == Before)
    return;
  std::uint64_t &Held = this->Acknowledged[After.TermNumber];
  if (After.Index <= Held)
    return;
  Held = After.Index;
  this->LongestGap = std::max(this->LongestGap, this->Now - this->LastProgress);
  this->LastProgress = this->Now;
}

void GroupModel::execute(std::size_t W, const FailoverAction &Action) {
  const std::size_t S = this->indexOf(Action.Server);
  const TimePoint SentAt = this->Now;
  switch (Action.Step) {
  case FailoverStep::ProbeOverNewConnection:
    this->call(
        W, S,
        [](ModelServer &Server) {
          return Reply{true, Server.status()};
        },
        [this, W, S, SentAt](const std::optional<Reply> &Answer) {
          if (Answer)
            this->observe(W, S, Answer->Status, SentAt);
          this->poll(W, S);
          this->finishAction(
              W, {FailoverStep::ProbeOverNewConnection,
                  Answer ? ActionResult::Succeeded : ActionResult::NoAnswer,
                  0,
                  {}});
        });
    return;
  case FailoverStep::Claim:
    this->claim(W, Action.TermNumber);
    return;
  case FailoverStep::Adopt:
    this->adopt(W, Action);
    return;
  case FailoverStep::Promote:
    this->call(
        W, S,
        [this, S, T = Action.TermNumber](ModelServer &Server) {
          const bool Granted = Server.promote(T, this->NextEntry);
          if (Granted) {
            ++this->NextEntry;
            if (!this->Promotions.emplace(T, Server.Id).second)
              this->recordViolation("two primaries in term " +
                                    std::to_string(T));
            if (this->KillPromotedAfter)
              this->schedule(this->Now + *std::exchange(this->KillPromotedAfter,
                                                        std::nullopt),
                             [this, S] { this->kill(S); });
          }
          return Reply{Granted, Server.status()};
        },
        [this, W](const std::optional<Reply> &Answer) {
          ActionResult Result = ActionResult::NoAnswer;
          if (Answer)
            Result = Answer->Granted ? ActionResult::Succeeded
                                     : ActionResult::Refused;
          this->finishAction(W, {FailoverStep::Promote, Result, 0, {}});
        });
    return;
  case FailoverStep::Follow:
    this->call(
        W, S,
        [T = Action.TermNumber, P = Action.Primary](ModelServer &Server) {
          return Reply{Server.follow(T, P), Server.status()};
        },
        [](const std::optional<Reply> &) {});
    this->finishAction(W,
                       {FailoverStep::Follow, ActionResult::Succeeded, 0, {}});
    return;
  case FailoverStep::Wait:
    return;
  }
}

void GroupModel::claim(std::size_t W, Term T) {
  const std::uint64_t Epoch = this->Watchers[W]->Epoch;
  const auto Finished = std::make_shared<bool>(false);
  const auto Answer = [this, W, Finished](ActionResult Result, Term Held) {
    if (!std::exchange(*Finished, true))
      this->finishAction(W, {FailoverStep::Claim, Result, Held, {}});
  };
  this->schedule(this->Now + ClaimLimit, [this, W, Epoch, Answer] {
    this->runOnWatcher(W, Epoch,
                       [Answer] { Answer(ActionResult::NoAnswer, 0); });
  });
  if (this->StoreDown || this->isMessageLost())
    return;
  this->schedule(this->Now + this->randomDelay(), [this, W, T, Epoch, Answer] {
    const bool Repeated = this->ClaimedTerm == T && this->ClaimedBy == W;
    const bool Granted = T > this->ClaimedTerm || Repeated;
    if (Granted) {
      this->ClaimedTerm = T;
      this->ClaimedBy = W;
    }
    if (this->isMessageLost())
      return; // The claim took effect, but its answer is lost.
    const Term Held = this->ClaimedTerm;
    this->schedule(this->Now + this->randomDelay(), [this, W, Epoch, Answer,
                                                     Granted, Held] {
      this->runOnWatcher(W, Epoch, [Answer, Granted, Held] {
        Answer(Granted ? ActionResult::Succeeded : ActionResult::Refused, Held);
      });
    });
  });
}

void GroupModel::adopt(std::size_t W, const FailoverAction &Action) {
  struct Round {
    std::vector<Adoption> Adoptions;
    std::size_t Unanswered = 0;
    bool Finished = false;
  };
  const auto State = std::make_shared<Round>();
  State->Unanswered = Action.Adopters.size();
  const std::size_t Needed = Action.Needed;
  const auto End = [this, W, State, Needed, T = Action.TermNumber] {
    if (std::exchange(State->Finished, true))
      return;
    const bool Enough = State->Adoptions.size() >= Needed;
    this->finishAction(
        W, {FailoverStep::Adopt,
            Enough ? ActionResult::Succeeded : ActionResult::Refused, T,
            State->Adoptions});
  };
  for (const ServerId &Id : Action.Adopters) {
    this->call(
        W, this->indexOf(Id),
        [T = Action.TermNumber](ModelServer &Server) {
          return Reply{Server.adopt(T), Server.status()};
        },
        [this, W, Id, State, Needed, End](const std::optional<Reply> &Answer) {
          --State->Unanswered;
          if (Answer && Answer->Granted)
            State->Adoptions.push_back({Id, Answer->Status.LogEnd});
          if (State->Unanswered == 0)
            return End();
          // The watcher waits briefly for the other answers, as GroupWatcher
          // does.
          if (State->Adoptions.size() == Needed)
            this->schedule(this->Now + milliseconds(20),
                           [this, W, Epoch = this->Watchers[W]->Epoch, End] {
                             this->runOnWatcher(W, Epoch, End);
                           });
        });
  }
}

// --- Servers -----------------------------------------------------------------

void GroupModel::replicate() {
  this->schedule(this->Now + ReplicateInterval, [this] { this->replicate(); });
  for (std::size_t S = 0; S < this->Servers.size(); ++S) {
    ModelServer &Server = this->Servers[S];
    const std::size_t P = this->indexOf(Server.Primary);
    if (P == this->Servers.size() || P == S || !Server.Alive ||
        Server.Role == ServerRole::Primary || Server.PausedUntil > this->Now)
      continue;
    const ModelServer &From = this->Servers[P];
    if (!From.Alive || From.PausedUntil > this->Now || this->isLinkCut(S, P) ||
        From.Role != ServerRole::Primary ||
        From.AdoptedTerm != Server.AdoptedTerm)
      continue;
    std::size_t Common = std::min(Server.Log.size(), From.Log.size());
    while (Common > 0 && Server.Log[Common - 1].Id != From.Log[Common - 1].Id)
      --Common;
    Server.Log.resize(Common);
    const std::size_t End = std::min(From.Log.size(), Common + EntriesPerRound);
    Server.Log.insert(Server.Log.end(),
                      From.Log.begin() + static_cast<std::ptrdiff_t>(Common),
                      From.Log.begin() + static_cast<std::ptrdiff_t>(End));
  }
}

/// Every running server in the role of the primary accepts a write.
void GroupModel::write() {
  this->schedule(this->Now + WriteInterval, [this] { this->write(); });
  for (ModelServer &Server : this->Servers)
    if (Server.Alive && Server.PausedUntil <= this->Now &&
        Server.Role == ServerRole::Primary)
      Server.Log.push_back({Server.AdoptedTerm, this->NextEntry++});
}

// --- Faults ------------------------------------------------------------------

void GroupModel::kill(std::size_t Server) {
  this->Servers[Server].Alive = false;
}

void GroupModel::restart(std::size_t Server, bool Empty) {
  ModelServer &S = this->Servers[Server];
  if (Empty) {
    const ServerId Id = S.Id;
    S = ModelServer();
    S.Id = Id;
  }
  S.Alive = true;
}

void GroupModel::pauseServer(std::size_t Server, Duration Time) {
  this->Servers[Server].PausedUntil = this->Now + Time;
}

void GroupModel::pauseWatcher(std::size_t W, Duration Time) {
  this->Watchers[W]->PausedUntil = this->Now + Time;
}

void GroupModel::isolateServer(std::size_t Server, bool Cut) {
  const std::size_t Nodes = this->Servers.size() + this->Watchers.size();
  for (std::size_t N = 0; N < Nodes; ++N) {
    const auto Link = std::make_pair(std::min(N, Server), std::max(N, Server));
    if (Cut && N != Server)
      this->Cuts.insert(Link);
    else
      this->Cuts.erase(Link);
  }
}

void GroupModel::cutLink(std::size_t A, std::size_t B) {
  this->Cuts.insert({std::min(A, B), std::max(A, B)});
}

void GroupModel::restartAfterAdoption(std::size_t W) {
  this->Watchers[W]->RestartAfterAdoption = true;
}

void GroupModel::setFaults(bool On) {
  this->Faults = On;
  if (On)
    return;
  this->Cuts.clear();
  this->StoreDown = false;
  for (ModelServer &Server : this->Servers) {
    Server.Alive = true;
    Server.PausedUntil = this->Now;
  }
  for (const auto &W : this->Watchers)
    W->PausedUntil = this->Now;
}

void GroupModel::randomFault() {
  this->schedule(this->Now + FaultInterval, [this] { this->randomFault(); });
  if (!this->Faults || this->Rng.below(1000) >= this->Options.FaultsPerMille)
    return;
  const ModelOptions &O = this->Options;
  const auto Time = Duration(static_cast<Duration::rep>(
      this->Rng.below(static_cast<std::uint64_t>(O.LongestFault.count()))));
  const std::size_t S = this->Rng.below(this->Servers.size());
  const std::size_t W = this->Rng.below(this->Watchers.size());
  const std::size_t Nodes = this->Servers.size() + this->Watchers.size();
  switch (this->Rng.below(8)) {
  case 0:
  case 1:
    if (!O.Kills)
      break;
    this->kill(S);
    this->schedule(this->Now + Time, [this, S] { this->restart(S, false); });
    break;
  case 2:
    if (O.Pauses)
      this->pauseServer(S, Time);
    break;
  case 3:
    if (O.Pauses)
      this->pauseWatcher(W, Time);
    break;
  case 4:
    if (!O.Cuts)
      break;
    this->isolateServer(S, true);
    this->schedule(this->Now + Time,
                   [this, S] { this->isolateServer(S, false); });
    break;
  case 5: {
    const std::size_t Other = this->Rng.below(Nodes);
    if (!O.Cuts || Other == S)
      break;
    const auto Link = std::make_pair(std::min(S, Other), std::max(S, Other));
    this->Cuts.insert(Link);
    this->schedule(this->Now + Time, [this, Link] { this->Cuts.erase(Link); });
    break;
  }
  case 6:
    if (!O.StoreOutages)
      break;
    this->StoreDown = true;
    this->schedule(this->Now + Time, [this] { this->StoreDown = false; });
    break;
  case 7:
    if (O.WatcherRestarts)
      this->startWatcher(W);
    break;
  default:
    break;
  }
  if (O.EmptyRestarts && this->allFollow() && this->primary() &&
      this->Rng.below(4) == 0) {
    const LogPosition End = this->Servers[*this->primary()].logEnd();
    const bool AllHold =
        std::all_of(this->Servers.begin(), this->Servers.end(),
                    [&End](const ModelServer &Server) {
                      return Server.logEnd().TermNumber == End.TermNumber &&
                             Server.logEnd().Index + 1 >= End.Index;
                    });
    if (AllHold)
      this->restart(S, true);
  }
}

// --- Invariants --------------------------------------------------------------

std::optional<std::size_t> GroupModel::primary() const {
  std::optional<std::size_t> Best;
  for (std::size_t S = 0; S < this->Servers.size(); ++S)
    if (this->Servers[S].Role == ServerRole::Primary &&
        (!Best ||
         this->Servers[S].AdoptedTerm > this->Servers[*Best].AdoptedTerm))
      Best = S;
  if (Best && !this->Servers[*Best].Alive)
    return std::nullopt;
  return Best;
}

LogPosition GroupModel::confirmed() const {
  if (this->Acknowledged.empty())
    return {};
  const auto Last = std::prev(this->Acknowledged.end());
  return {Last->first, Last->second};
}

bool GroupModel::allFollow() const {
  const std::optional<std::size_t> P = this->primary();
  if (!P)
    return false;
  const ModelServer &Leader = this->Servers[*P];
  return std::all_of(this->Servers.begin(), this->Servers.end(),
                     [&Leader](const ModelServer &Server) {
                       return Server.Alive &&
                              Server.AdoptedTerm == Leader.AdoptedTerm &&
                              Server.Primary == Leader.Id;
                     });
}

void GroupModel::check() {
  if (!this->Violation.empty())
    return;
  const Term Highest = this->Promotions.rbegin()->first;
  for (const ModelServer &Server : this->Servers) {
    if (Server.Role != ServerRole::Primary || Server.AdoptedTerm != Highest)
      continue;
    for (const auto &[T, Index] : this->Acknowledged) {
      if (Index > 0 &&
          (Server.Log.size() < Index || Server.Log[Index - 1].TermNumber != T))
        this->recordViolation("confirmed position " + std::to_string(T) + "/" +
                              std::to_string(Index) + " is missing from " +
                              Server.Id.str() + ", primary of term " +
                              std::to_string(Highest));
    }
  }
}

void GroupModel::recordViolation(const std::string &Description) {
  if (this->Violation.empty())
    this->Violation = Description;
}

} // namespace amaranthspur::testing
