#include "root/groups/GroupWatch.h"

#include "core/BootClock.h"
#include "root/telemetry/Log.h"

#include <algorithm>

namespace amaranthspur {
namespace {

/// Value of a claim row whose takeover is over.
constexpr std::string_view FinishedMark = "finished";

std::string claimKey(const ServiceName &Service) {
  return "takeover/" + Service.str();
}

} // namespace

GroupWatch::GroupWatch(std::shared_ptr<Group> Watched, WatchParts Parts)
    : Watched(std::move(Watched)), Parts(std::move(Parts)),
      Salt(this->Parts.Rng.below(1ULL << 62U)) {}

void GroupWatch::start() { this->watch(); }

QCoro::Task<> GroupWatch::stop() {
  this->Stopping = true;
  this->Watched->watchWake().wake();
  co_await this->Tasks.empty();
}

QCoro::Task<> GroupWatch::watch() {
  const TaskGroup::Guard Guard(this->Tasks);
  while (!this->Stopping) {
    const Duration Interval = this->Trouble ? TroubleInterval : CalmInterval;
    co_await this->Watched->watchWake().wait(steadyNow() + Interval);
    if (this->Stopping)
      break;
    co_await this->learnTerms();
    const TakeoverReason Reason = co_await this->assess();
    this->Trouble = Reason != TakeoverReason::None || this->Trouble;
    // While another entry VM may be at work there is nothing to do but wait.
    if (Reason != TakeoverReason::None && this->Claim.mayClaim(bootNow()))
      co_await this->takeOver(Reason);
    co_await this->undoStranded();
  }
}

QCoro::Task<> GroupWatch::learnTerms() {
  const std::optional<BelievedPrimary> Leader =
      this->Watched->beliefs().primary();
  if (Leader && Leader->TermNumber == 0)
    co_await this->call(Leader->Id, 0, false);
}

QCoro::Task<TakeoverReason> GroupWatch::assess() {
  this->Trouble = false;
  const GroupBeliefs &Beliefs = this->Watched->beliefs();
  const std::optional<BelievedPrimary> Leader = Beliefs.primary();
  if (!Leader) {
    if (Beliefs.servers().empty())
      co_return TakeoverReason::None;
    this->Trouble = true;
    co_await this->pollAll();
    if (Beliefs.primary() || this->Stopping) {
      this->MissingSince.reset();
      co_return TakeoverReason::None;
    }
    if (!this->MissingSince)
      this->MissingSince = steadyNow();
    if (steadyNow() - *this->MissingSince < UnreachableLimit)
      co_return TakeoverReason::None;
    co_return TakeoverReason::PrimaryMissing;
  }
  this->MissingSince.reset();
  const ServerBelief *Server = Beliefs.find(Leader->Id);
  if (Server->FailingSince) {
    this->Trouble = true;
    const bool Gone = co_await this->isUnreachable(*Leader);
    co_return Gone ? TakeoverReason::PrimaryUnreachable : TakeoverReason::None;
  }
  if (Server->Registration.Draining && this->hasSuccessor(Leader->Id))
    co_return TakeoverReason::PrimaryLeaving;
  const std::multiset<TimePoint> &Pending = this->Watched->pendingWrites();
  if (!Pending.empty()) {
    const bool Slow = steadyNow() - *Pending.begin() > SlowWrite;
    this->Trouble = Slow;
    if (Slow) {
      const bool Isolated = co_await this->isIsolated(*Leader);
      if (Isolated)
        co_return TakeoverReason::PrimaryIsolated;
    }
  }
  co_return TakeoverReason::None;
}

bool GroupWatch::hasSuccessor(const ServerId &Leaving) const {
  for (const auto &[Id, Server] : this->Watched->beliefs().servers())
    if (Id != Leaving && !Server.Registration.Draining && !Server.FailingSince)
      return true;
  return false;
}

GroupWatch::Reports::const_iterator
GroupWatch::longestReplica(const Reports &Seen) const {
  const std::optional<BelievedPrimary> Leader =
      this->Watched->beliefs().primary();
  auto Longest = Seen.end();
  for (auto It = Seen.begin(); It != Seen.end(); ++It) {
    if (Leader && It->first == Leader->Id)
      continue;
    if (Longest == Seen.end() || Longest->second.Received < It->second.Received)
      Longest = It;
  }
  return Longest;
}

QCoro::Task<bool> GroupWatch::isUnreachable(BelievedPrimary Leader) {
  // Two looks, so that a primary that other entry VMs reach shows by what its
  // replicas receive meanwhile.
  const Reports First = co_await this->pollAll();
  if (First.count(Leader.Id) > 0 || this->Stopping)
    co_return false;
  co_await sleepFor(AdvanceInterval);
  const Reports Second = co_await this->pollAll();
  if (Second.count(Leader.Id) > 0 || this->Stopping)
    co_return false;
  const auto Before = this->longestReplica(First);
  const auto After = this->longestReplica(Second);
  if (Before == First.end() || After == Second.end())
    co_return false;
  const std::optional<BelievedPrimary> Now = this->Watched->beliefs().primary();
  const ServerBelief *Server = this->Watched->beliefs().find(Leader.Id);
  if (Now != Leader || !Server || !Server->FailingSince ||
      steadyNow() - *Server->FailingSince < UnreachableLimit)
    co_return false;
  co_return After->second.Received == Before->second.Received;
}

QCoro::Task<bool> GroupWatch::isIsolated(BelievedPrimary Leader) {
  const Reports First = co_await this->pollAll();
  const auto Primary = First.find(Leader.Id);
  if (Primary == First.end() || Primary->second.Role != ServerRole::Primary)
    co_return false;
  co_await sleepFor(AdvanceInterval);
  const Reports Second = co_await this->pollAll();
  const auto Replica = this->longestReplica(Second);
  // Nothing that the primary held at the first look has reached a replica.
  co_return Replica != Second.end() && Second.count(Leader.Id) > 0 &&
      Replica->second.Received < Primary->second.Received;
}

QCoro::Task<std::optional<StatusAnswer>>
GroupWatch::call(ServerId Id, Term Adopt, bool Resume) {
  const ServerBelief *Server = this->Watched->beliefs().find(Id);
  if (!Server)
    co_return std::nullopt;
  const RegisteredServer Registration = Server->Registration;
  const bool Leads = Server->Role == ServerRole::Primary;
  const TimePoint Deadline = steadyNow() + CallLimit;
  OpenedLink Opened =
      co_await this->Watched->connector().open(Registration, Deadline);
  if (const auto *Failure = std::get_if<OpenFailure>(&Opened)) {
    // A server that accepts connections lives, however long its queue is.
    if (Failure->Reached)
      this->Watched->markAlive(Id);
    else
      this->Watched->failed(Id, Failure->Detail);
    co_return std::nullopt;
  }
  const auto &Link = std::get<std::unique_ptr<ServerLink>>(Opened);
  Result<StatusAnswer> R = Error{};
  if (Resume)
    R = co_await Link->resume(Deadline);
  else if (Adopt == 0)
    R = co_await Link->status(Deadline);
  else if (Leads)
    R = co_await Link->stepDown(Adopt, Deadline);
  else
    R = co_await Link->pause(Adopt, Deadline);
  if (!succeeded(R)) {
    this->Watched->failed(Id, errorOf(R));
    co_return std::nullopt;
  }
  if (const auto *Report = std::get_if<ServerReport>(&valueOf(R)))
    this->Watched->reported(Id, *Report);
  else
    this->Watched->markAlive(Id);
  co_return valueOf(std::move(R));
}

QCoro::Task<> GroupWatch::pollOne(ServerId Id, Reports &Into,
                                  TaskGroup &Round) {
  const TaskGroup::Guard Guard(Round);
  const std::optional<StatusAnswer> Said = co_await this->call(Id, 0, false);
  if (!Said)
    co_return;
  if (const auto *Report = std::get_if<ServerReport>(&*Said))
    Into.insert_or_assign(Id, *Report);
}

QCoro::Task<GroupWatch::Reports> GroupWatch::pollAll() {
  Reports Seen;
  TaskGroup Round;
  std::vector<ServerId> Ids;
  for (const auto &[Id, Server] : this->Watched->beliefs().servers())
    Ids.push_back(Id);
  for (const ServerId &Id : Ids)
    this->pollOne(Id, Seen, Round);
  // Every call has a deadline of its own.
  co_await Round.empty();
  co_return Seen;
}

std::vector<TakeoverServer>
GroupWatch::serversFrom(const Reports &Seen,
                        const std::optional<ServerId> &Old) const {
  std::vector<TakeoverServer> Servers;
  for (const auto &[Id, Server] : this->Watched->beliefs().servers()) {
    TakeoverServer S;
    S.Id = Id;
    S.Draining = Server.Registration.Draining;
    S.OldPrimary = Old == Id;
    S.Away = this->Watched->where().distanceTo(Server.Registration.Location);
    const auto Report = Seen.find(Id);
    if (Report != Seen.end())
      S.Report = Report->second;
    Servers.push_back(std::move(S));
  }
  return Servers;
}

QCoro::Task<> GroupWatch::takeOver(TakeoverReason Reason) {
  const std::optional<BelievedPrimary> Leader =
      this->Watched->beliefs().primary();
  std::optional<ServerId> Old;
  if (Leader)
    Old = Leader->Id;
  const Reports Seen = co_await this->pollAll();
  const auto Planned = planTakeover(this->serversFrom(Seen, Old));
  std::optional<std::string> Held;
  if (const auto *Hold = std::get_if<TakeoverHold>(&Planned)) {
    Held = Hold->Why;
  } else {
    const TakeoverPlan &Plan = std::get<TakeoverPlan>(Planned);
    log(LogLevel::Info, LogEvent::PromotionStarted,
        {{"service", this->Watched->name().str()},
         {"reason", nameOf(Reason)},
         {"old", Old ? Old->str() : "none"},
         {"target", Plan.Target.str()},
         {"term", Plan.Next}});
    Held = co_await this->execute(Plan, Old);
  }
  if (!Held) {
    this->Parts.Counters.add(Counter::Promotions, this->Watched->name().str());
    co_return;
  }
  this->Trouble = true;
  this->Parts.Counters.add(Counter::PromotionsRefused,
                           this->Watched->name().str());
  log(LogLevel::Warning, LogEvent::PromotionRefused,
      {{"service", this->Watched->name().str()},
       {"reason", nameOf(Reason)},
       {"why", *Held}});
  co_await sleepFor(GiveUpPause);
}

std::string GroupWatch::nextOperation() {
  return this->Parts.Self.str() + "/" + std::to_string(this->Salt) + "/" +
         std::to_string(++this->Operations);
}

QCoro::Task<std::optional<GroupWatch::HeldClaim>>
GroupWatch::claim(std::string Purpose) {
  HeldClaim Held;
  const std::string Operation = this->nextOperation();
  // The version that is known may be one that others have finished since.
  for (int Attempt = 0; Attempt < 2 && this->Claim.mayClaim(bootNow());
       ++Attempt) {
    Held.Begun = bootNow();
    const Result<CasOutcome> R = co_await this->Parts.Store.compareAndSet(
        claimKey(this->Watched->name()), this->Claim.version(),
        this->Parts.Self.str() + " " + Purpose, Operation,
        steadyNow() + ClaimLimit);
    if (!succeeded(R))
      co_return std::nullopt;
    const TableRow &Row = valueOf(R).Current;
    this->Claim.observe(Row.Version, Row.Value == FinishedMark, bootNow());
    if (!valueOf(R).Applied)
      continue;
    Held.Fence = Row.Version;
    co_return Held;
  }
  co_return std::nullopt;
}

QCoro::Task<> GroupWatch::release(HeldClaim Held, std::string How) {
  const std::string Operation = this->nextOperation();
  const Result<CasOutcome> R = co_await this->Parts.Store.compareAndSet(
      claimKey(this->Watched->name()), Held.Fence, std::string(FinishedMark),
      Operation, steadyNow() + ClaimLimit);
  if (!succeeded(R)) {
    log(LogLevel::Warning, LogEvent::PromotionFinished,
        {{"service", this->Watched->name().str()},
         {"how", How},
         {"claim", "expires"},
         {"why", errorOf(R)}});
    co_return;
  }
  const TableRow &Row = valueOf(R).Current;
  this->Claim.observe(Row.Version, Row.Value == FinishedMark, bootNow());
  log(LogLevel::Info, LogEvent::PromotionFinished,
      {{"service", this->Watched->name().str()},
       {"how", How},
       {"fence", Held.Fence}});
}

QCoro::Task<bool> GroupWatch::adopt(ServerId Id, Term T,
                                    std::vector<LogPosition> &Positions) {
  const std::optional<StatusAnswer> Said = co_await this->call(Id, T, false);
  if (!Said)
    co_return false;
  const auto *Report = std::get_if<ServerReport>(&*Said);
  if (!Report || Report->AdoptedTerm < T)
    co_return false;
  Positions.push_back(Report->Received);
  co_return true;
}

QCoro::Task<std::optional<std::string>>
GroupWatch::refuse(TakeoverPlan Plan, std::vector<LogPosition> Positions) {
  const Reports Seen = co_await this->pollAll();
  const auto Target = Seen.find(Plan.Target);
  if (Target == Seen.end())
    co_return "the target does not answer";
  if (Target->second.Role != ServerRole::Replica)
    co_return "the target is not a replica";
  // A server that restarts has forgotten what it adopted.
  for (const ServerId &Id : Plan.Adopters) {
    const auto Adopter = Seen.find(Id);
    if (Adopter == Seen.end() || Adopter->second.AdoptedTerm < Plan.Next)
      co_return "server " + Id.str() + " no longer holds the term";
  }
  co_return refuseTarget(Target->second, Positions,
                         this->Watched->acknowledged());
}

QCoro::Task<std::optional<std::string>>
GroupWatch::execute(TakeoverPlan Plan, std::optional<ServerId> Old) {
  const std::optional<HeldClaim> Held =
      co_await this->claim(std::to_string(Plan.Next));
  if (!Held)
    co_return "another entry VM holds the claim, or the store does not answer";
  std::optional<std::string> Failure;
  std::vector<LogPosition> Positions;
  // Without synchronous replicas the old primary acknowledges by itself.
  if (Old && !this->Watched->commitsAreProofs())
    co_await this->call(*Old, Plan.Next, false);
  for (const ServerId &Id : Plan.Adopters) {
    const bool Adopted = co_await this->adopt(Id, Plan.Next, Positions);
    if (!Adopted) {
      Failure = "server " + Id.str() + " did not adopt the term";
      break;
    }
  }
  if (!Failure)
    Failure = co_await this->refuse(Plan, std::move(Positions));
  if (!Failure) {
    const PromotionOutcome Outcome = co_await this->promote(Plan, *Held);
    if (Outcome == PromotionOutcome::Accepted ||
        Outcome == PromotionOutcome::Unknown) {
      const bool Leads = co_await this->awaitEffect(Plan.Target);
      // The order may still take effect: what was adopted stays adopted, and
      // the claim ends with its lease.
      if (!Leads)
        co_return "the promotion has not shown";
    } else {
      Failure = "the promotion is " + std::string(nameOf(Outcome));
    }
  }
  if (Failure) {
    co_await this->resumeAll(Plan.Adopters);
    co_await this->release(*Held, "given up");
    co_return Failure;
  }
  // The old primary ends by itself a second after it reaches the new one;
  // until then it would accept writes that it cannot have acknowledged.
  if (Old)
    co_await this->call(*Old, Plan.Next, false);
  co_await this->release(*Held, "promoted");
  co_return std::nullopt;
}

QCoro::Task<PromotionOutcome> GroupWatch::promote(TakeoverPlan Plan,
                                                  HeldClaim Held) {
  PromotionOrder Order;
  Order.Service = this->Watched->name();
  Order.Target = Plan.Target;
  Order.Holder = this->Parts.Self;
  Order.Fence = Held.Fence;
  PromotionOutcome Outcome = PromotionOutcome::NotDone;
  while (Outcome == PromotionOutcome::NotDone &&
         TakeoverClaim::mayPromote(Held.Begun, bootNow())) {
    Outcome =
        co_await this->Parts.Orders.promote(Order, steadyNow() + OrderLimit);
    log(LogLevel::Info, LogEvent::PromotionOrdered,
        {{"service", this->Watched->name().str()},
         {"target", Plan.Target.str()},
         {"term", Plan.Next},
         {"fence", Held.Fence},
         {"outcome", nameOf(Outcome)}});
    if (Outcome == PromotionOutcome::NotDone)
      co_await sleepFor(OrderRetry);
  }
  co_return Outcome;
}

QCoro::Task<bool> GroupWatch::awaitEffect(ServerId Target) {
  const TimePoint Deadline = steadyNow() + EffectLimit;
  while (steadyNow() < Deadline && !this->Stopping) {
    co_await sleepFor(milliseconds(50));
    co_await this->call(Target, 0, false);
    const std::optional<BelievedPrimary> Leader =
        this->Watched->beliefs().primary();
    if (Leader && Leader->Id == Target && Leader->TermNumber != 0)
      co_return true;
  }
  co_return false;
}

QCoro::Task<> GroupWatch::resumeAll(std::vector<ServerId> Servers) {
  for (const ServerId &Id : Servers)
    co_await this->call(Id, 0, true);
}

QCoro::Task<> GroupWatch::undoStranded() {
  const std::optional<BelievedPrimary> Leader =
      this->Watched->beliefs().primary();
  std::vector<ServerId> Stranded;
  if (Leader && Leader->TermNumber != 0)
    for (const auto &[Id, Server] : this->Watched->beliefs().servers())
      if (Id != Leader->Id && Server.AdoptedTerm > Leader->TermNumber)
        Stranded.push_back(Id);
  if (Stranded.empty()) {
    this->StrandedSince.reset();
    co_return;
  }
  this->Trouble = true;
  if (!this->StrandedSince)
    this->StrandedSince = steadyNow();
  if (steadyNow() - *this->StrandedSince < StrandedLimit)
    co_return;
  // Reports may be old: ask again before anything is undone.
  const Reports Seen = co_await this->pollAll();
  const std::optional<BelievedPrimary> Now = this->Watched->beliefs().primary();
  if (Now != Leader || Seen.count(Leader->Id) == 0)
    co_return;
  std::erase_if(Stranded, [&Seen, &Leader](const ServerId &Id) {
    const auto Report = Seen.find(Id);
    return Report == Seen.end() ||
           Report->second.AdoptedTerm <= Leader->TermNumber;
  });
  if (Stranded.empty())
    co_return;
  const std::optional<HeldClaim> Held = co_await this->claim("undo");
  if (!Held)
    co_return;
  log(LogLevel::Warning, LogEvent::AdoptionUndone,
      {{"service", this->Watched->name().str()},
       {"servers", Stranded.size()},
       {"term", Leader->TermNumber}});
  co_await this->resumeAll(Stranded);
  co_await this->release(*Held, "undone");
}

} // namespace amaranthspur
