#include "bench/soak/Faults.h"

#include <string_view>

namespace amaranthspur::bench::soak {
namespace {

/// How often a fault is drawn, as a share of the sum of all weights.
struct FaultWeight {
  FaultKind Kind;
  unsigned Weight;
};

constexpr FaultWeight Weights[] = {
    {FaultKind::Kill, 3},          {FaultKind::Terminate, 4},
    {FaultKind::Freeze, 2},        {FaultKind::HangUp, 2},
    {FaultKind::Cut, 6},           {FaultKind::Configuration, 2},
    {FaultKind::Store, 2},         {FaultKind::ServerCrash, 2},
    {FaultKind::ServerRestart, 1}, {FaultKind::DeafReplica, 2},
    {FaultKind::Release, 8},
};

/// The bytes that a call of an entry VM has, and the path that carries it.
struct TriggerRow {
  CutTrigger Trigger;
  std::string_view Bytes;
  Path EntryVm::*Carrier;
};

constexpr TriggerRow Triggers[] = {
    {CutTrigger::Claim, "POST /rows-tx", &EntryVm::ToStore},
    {CutTrigger::StepDown, " STEPDOWN ", &EntryVm::ToServers},
    {CutTrigger::Pause, " PAUSE ", &EntryVm::ToServers},
    {CutTrigger::Order, "POST /promotions", &EntryVm::ToPromotions},
    {CutTrigger::Commit, " COMMIT\r\n", &EntryVm::ToServers},
};

/// A cut that waits for a call is given up after this time.
constexpr Duration TriggerTimeout = std::chrono::seconds(10);
/// Time after a fault of a server before its group gets another one.
constexpr Duration GroupRecovery = std::chrono::seconds(3);
/// One in this many kills is a kill of all entry VMs.
constexpr unsigned KillAllShare = 4;
/// Servers that a quick series releases.
constexpr unsigned SeriesLength = 3;

} // namespace

FaultPlan::FaultPlan(Site &Target, Random &Generator)
    : Target(Target), Generator(Generator), Impaired(Target.groups().size()) {}

QCoro::Task<> FaultPlan::run(double EndMs) {
  const TaskGroup::Guard Counted(this->Target.Tasks);
  this->EndMs = EndMs;
  unsigned Sum = 0;
  for (const FaultWeight &W : Weights)
    Sum += W.Weight;
  while (this->Target.Events.now() < EndMs) {
    auto Drawn = static_cast<unsigned>(this->Generator.below(Sum));
    for (const FaultWeight &W : Weights) {
      if (Drawn < W.Weight) {
        this->inject(W.Kind);
        break;
      }
      Drawn -= W.Weight;
    }
    co_await sleepFor(this->draw(300, 2200));
  }
}

void FaultPlan::inject(FaultKind Kind) {
  switch (Kind) {
  case FaultKind::Kill:
    return this->kill();
  case FaultKind::Terminate:
    return this->terminate();
  case FaultKind::Freeze:
    return this->freeze();
  case FaultKind::HangUp:
    return this->hangUp();
  case FaultKind::Cut:
    return this->cut();
  case FaultKind::Configuration:
    return this->configure();
  case FaultKind::Store:
    return this->storeFault();
  case FaultKind::ServerCrash:
    return this->crashServer(true);
  case FaultKind::ServerRestart:
    return this->crashServer(false);
  case FaultKind::DeafReplica:
    return this->deafenReplica();
  case FaultKind::Release:
    return this->release();
  case FaultKind::Start:
  case FaultKind::PowerLoss:
    return;
  }
}

Duration FaultPlan::draw(unsigned FromMs, unsigned ToMs) {
  return milliseconds(FromMs + this->Generator.below(ToMs - FromMs));
}

EntryVm *FaultPlan::drawVm() {
  EntryVm *Vm =
      this->Target.vms()[this->Generator.below(this->Target.vms().size())]
          .get();
  return Vm->running() && !Vm->changing() && !Vm->frozen() ? Vm : nullptr;
}

ServerGroup &FaultPlan::drawGroup() {
  auto &Groups = this->Target.groups();
  return *Groups[this->Generator.below(Groups.size())];
}

void FaultPlan::kill() {
  if (this->Generator.below(KillAllShare) == 0) {
    for (const auto &Vm : this->Target.vms())
      Vm->restartByKill(this->draw(300, 1500));
    return;
  }
  if (EntryVm *Vm = this->drawVm(); Vm != nullptr)
    Vm->restartByKill(this->draw(300, 3000));
}

void FaultPlan::terminate() {
  if (EntryVm *Vm = this->drawVm(); Vm != nullptr)
    Vm->restartByStop(this->draw(200, 1000));
}

void FaultPlan::freeze() {
  if (EntryVm *Vm = this->drawVm(); Vm != nullptr)
    Vm->freeze(this->draw(500, 6000));
}

void FaultPlan::hangUp() {
  if (EntryVm *Vm = this->drawVm(); Vm != nullptr)
    Vm->hangUp();
}

void FaultPlan::configure() {
  this->Target.Events.disrupt(FaultKind::Configuration, "configuration");
  this->ProbedRoute = !this->ProbedRoute;
  const auto TimeoutMs =
      static_cast<unsigned>(800 + 200 * this->Generator.below(3));
  this->Target.configure(TimeoutMs, this->ProbedRoute);
}

void FaultPlan::storeFault() {
  if (this->Target.platform().fault() != StoreFault::None)
    return;
  constexpr auto Count = EnumNames<StoreFault>::Entries.size();
  const auto Drawn = static_cast<StoreFault>(
      1 + this->Generator.below(Count - 1)); // Not the first, which is none.
  const Duration Length = this->draw(1000, 5000);
  this->Target.Events.note("store: " + std::string(nameOf(Drawn)));
  this->Target.Events.disrupt(FaultKind::Store, "store",
                              toMilliseconds(Length));
  this->Target.platform().setFault(Drawn);
  this->endStoreFault(Length);
}

QCoro::Task<> FaultPlan::endStoreFault(Duration Length) {
  const TaskGroup::Guard Counted(this->Target.Tasks);
  co_await sleepFor(Length);
  this->Target.platform().setFault(StoreFault::None);
}

std::vector<Path *> FaultPlan::drawPaths(EntryVm &Vm, CutTrigger Trigger) {
  const std::vector<Path *> All = {&Vm.ToStore, &Vm.ToPromotions,
                                   &Vm.ToServers};
  if (this->Generator.below(3) == 0)
    return All;
  for (const TriggerRow &Row : Triggers)
    if (Row.Trigger == Trigger)
      return {&(Vm.*Row.Carrier)};
  return {All[this->Generator.below(All.size())]};
}

void FaultPlan::cut() {
  constexpr auto Count = EnumNames<CutTrigger>::Entries.size();
  const auto Trigger = static_cast<CutTrigger>(this->Generator.below(Count));
  if (Trigger == CutTrigger::Now) {
    if (EntryVm *Vm = this->drawVm(); Vm != nullptr)
      this->beginCut(*Vm, Trigger);
    return;
  }
  // Which entry VM makes the call is not known before.
  const Duration Length = this->draw(2000, 8000);
  for (const auto &Vm : this->Target.vms())
    this->armCut(*Vm, Trigger, Length);
}

QCoro::Task<> FaultPlan::beginCut(EntryVm &Vm, CutTrigger Trigger) {
  const TaskGroup::Guard Counted(this->Target.Tasks);
  const std::vector<Path *> Paths = this->drawPaths(Vm, Trigger);
  // A third each: both directions, from the VM, to the VM.
  const std::uint64_t Direction = this->Generator.below(3);
  const Duration Length = this->draw(2000, 8000);
  this->Target.Events.note("cut at " + std::string(nameOf(Trigger)) + " of " +
                           Vm.name() + ", " + std::to_string(Paths.size()) +
                           " paths, direction " + std::to_string(Direction));
  co_await Vm.cut(Paths, Direction != 2, Direction != 1, Length);
}

void FaultPlan::armCut(EntryVm &Vm, CutTrigger Trigger, Duration Length) {
  const TimePoint Until = steadyNow() + TriggerTimeout;
  for (const TriggerRow &Row : Triggers) {
    if (Row.Trigger != Trigger)
      continue;
    (Vm.*Row.Carrier).OnForward = [this, &Vm, Row, Length,
                                   Until](std::string_view Bytes) {
      if (Bytes.find(Row.Bytes) == std::string_view::npos)
        return;
      // The function that runs is destroyed with the assignments below.
      FaultPlan *const Plan = this;
      EntryVm &Caller = Vm;
      const CutTrigger Met = Row.Trigger;
      const bool InTime = steadyNow() < Until;
      Path EntryVm::*const Carrier = Row.Carrier;
      for (const auto &Each : Plan->Target.vms())
        ((*Each).*Carrier).OnForward = nullptr;
      if (InTime && Plan->Target.Events.now() < Plan->EndMs)
        Plan->beginCut(Caller, Met);
    };
  }
}

void FaultPlan::crashServer(bool KeepLog) {
  ServerGroup &Group = this->drawGroup();
  if (this->Impaired[Group.number()])
    return;
  std::vector<DatabaseServer *> Candidates;
  for (DatabaseServer *S : Group.running())
    if (!S->draining() && (KeepLog || S->role() == ServerRole::Replica))
      Candidates.push_back(S);
  if (Candidates.empty())
    return;
  DatabaseServer *Chosen = Candidates[this->Generator.below(Candidates.size())];
  this->Impaired[Group.number()] = true;
  this->Target.Events.disrupt(KeepLog ? FaultKind::ServerCrash
                                      : FaultKind::ServerRestart,
                              Chosen->id());
  Chosen->crash();
  this->returnServer(Group, *Chosen, KeepLog);
}

QCoro::Task<> FaultPlan::returnServer(ServerGroup &Group,
                                      DatabaseServer &Server, bool KeepLog) {
  const TaskGroup::Guard Counted(this->Target.Tasks);
  // An entry expires after three missing reports (heartbeat-ms 1200).
  constexpr Duration Expiry = milliseconds(3600);
  if (KeepLog) {
    const Duration Down = this->draw(1000, 6000);
    co_await sleepFor(std::min(Down, Expiry));
    if (Down > Expiry) {
      this->Target.platform().remove("servers", Server.id());
      co_await sleepFor(Down - Expiry);
    }
  } else {
    co_await sleepFor(this->draw(200, 1000));
  }
  Server.restart(KeepLog);
  co_await sleepFor(GroupRecovery);
  this->Impaired[Group.number()] = false;
}

void FaultPlan::deafenReplica() {
  ServerGroup &Group = this->drawGroup();
  if (this->Impaired[Group.number()])
    return;
  for (DatabaseServer *S : Group.running())
    if (!S->draining() && S->role() == ServerRole::Replica) {
      this->Impaired[Group.number()] = true;
      this->Target.Events.disrupt(FaultKind::DeafReplica, S->id());
      S->setDeaf(true);
      this->endDeafness(Group, *S);
      return;
    }
}

QCoro::Task<> FaultPlan::endDeafness(ServerGroup &Group,
                                     DatabaseServer &Server) {
  const TaskGroup::Guard Counted(this->Target.Tasks);
  co_await sleepFor(this->draw(1000, 6000));
  Server.setDeaf(false);
  this->Target.Events.note(Server.id() + ": receives again");
  co_await sleepFor(GroupRecovery);
  this->Impaired[Group.number()] = false;
}

void FaultPlan::release() {
  ServerGroup &Group = this->drawGroup();
  if (this->Generator.below(3) == 0) {
    this->releaseSeries(Group);
    return;
  }
  // Primaries and replicas in equal parts.
  DatabaseServer *Chosen = Group.primary();
  if (this->Generator.below(2) == 0)
    for (DatabaseServer *S : Group.running())
      if (!S->draining() && S->role() == ServerRole::Replica)
        Chosen = S;
  if (Chosen != nullptr && !Chosen->draining())
    this->releaseServer(Group, *Chosen);
}

QCoro::Task<> FaultPlan::releaseSeries(ServerGroup &Group) {
  const TaskGroup::Guard Counted(this->Target.Tasks);
  for (unsigned I = 0; I < SeriesLength; ++I) {
    DatabaseServer *Primary = Group.primary();
    if (Primary != nullptr && !Primary->draining())
      this->releaseServer(Group, *Primary);
    co_await sleepFor(this->draw(1000, 3000));
  }
}

QCoro::Task<> FaultPlan::releaseServer(ServerGroup &Group,
                                       DatabaseServer &Server) {
  const TaskGroup::Guard Counted(this->Target.Tasks);
  this->Target.Events.disrupt(FaultKind::Release, Server.id());
  const bool Before = this->Generator.below(2) == 0;
  if (Before) {
    Group.add(Server.dataCentre(), ServerRole::Replica);
    co_await sleepFor(this->draw(200, 1000));
  }
  if (!Server.running())
    co_return;
  Server.drain();
  if (!Before) {
    co_await sleepFor(this->draw(50, 1000));
    Group.add(Server.dataCentre(), ServerRole::Replica);
  }
  co_await sleepFor(this->draw(7000, 9000));
  if (Server.running())
    Server.leave();
}

QCoro::Task<> FaultPlan::losePower() {
  const TaskGroup::Guard Counted(this->Target.Tasks);
  this->Target.Events.disrupt(FaultKind::PowerLoss, "all");
  const Duration Pause = this->draw(500, 1500);
  for (const auto &Vm : this->Target.vms())
    Vm->restartByKill(Pause);
  std::vector<DatabaseServer *> Down;
  for (const auto &Group : this->Target.groups())
    for (DatabaseServer *S : Group->running()) {
      S->crash();
      Down.push_back(S);
    }
  co_await sleepFor(Pause);
  for (DatabaseServer *S : Down)
    S->restart(true);
}

} // namespace amaranthspur::bench::soak
