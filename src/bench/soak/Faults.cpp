#include "bench/soak/Faults.h"

#include <QTimer>

#include <string_view>

namespace amaranthspur::bench::soak {

/// The bytes that a call of an entry VM has, the path that carries it, and how
/// often it is drawn.
struct FaultPlan::TriggerRow {
  CallTrigger Trigger;
  std::string_view Bytes;
  Path EntryVm::*Carrier;
  unsigned Weight;
};

namespace {

/// How often a fault is drawn in the phases of each profile, as a share of the
/// sum of all weights of the profile. The order is that of FaultProfile.
struct FaultWeight {
  FaultKind Kind;
  std::array<unsigned, EnumNames<FaultProfile>::Entries.size()> Weights;
};

/// The calls that are late during the phases of a profile.
struct LatePhase {
  FaultProfile Profile;
  LateCalls Calls;
};

constexpr LatePhase LatePhases[] = {
    {FaultProfile::LateWrites, LateCalls::Writes},
    {FaultProfile::LateOrders, LateCalls::Orders},
};

constexpr FaultWeight FaultWeights[] = {
    {FaultKind::Kill, {0, 1, 2, 0, 0, 1, 0, 1}},
    {FaultKind::Terminate, {4, 1, 3, 0, 0, 2, 1, 2}},
    {FaultKind::Freeze, {0, 1, 2, 0, 0, 1, 0, 1}},
    {FaultKind::HangUp, {2, 0, 1, 0, 0, 0, 0, 0}},
    {FaultKind::Cut, {0, 8, 4, 1, 1, 0, 0, 1}},
    {FaultKind::Configuration, {1, 0, 2, 0, 0, 0, 0, 3}},
    {FaultKind::Store, {0, 1, 2, 0, 0, 1, 0, 0}},
    {FaultKind::ServerCrash, {0, 0, 2, 0, 0, 0, 0, 2}},
    {FaultKind::ServerRestart, {0, 0, 1, 0, 0, 0, 0, 0}},
    {FaultKind::DeafReplica, {1, 1, 2, 0, 0, 0, 0, 0}},
    {FaultKind::Release, {8, 2, 4, 3, 3, 0, 0, 3}},
    {FaultKind::PrimaryCrash, {0, 0, 0, 6, 6, 0, 0, 0}},
    {FaultKind::Isolation, {0, 0, 0, 3, 3, 0, 0, 0}},
    {FaultKind::Keys, {0, 0, 0, 0, 0, 6, 0, 0}},
    {FaultKind::Quota, {0, 0, 0, 0, 0, 0, 2, 0}},
    {FaultKind::Surge, {0, 0, 0, 0, 0, 0, 3, 0}},
    {FaultKind::StoreCut, {0, 0, 0, 0, 0, 3, 1, 0}},
    {FaultKind::StoreReturn, {0, 0, 0, 0, 0, 0, 0, 4}},
};

// An order that is held up can arrive after a later one, so that it is drawn
// most.
constexpr FaultPlan::TriggerRow Triggers[] = {
    {CallTrigger::Claim, "POST /rows-tx", &EntryVm::ToStore, 1},
    {CallTrigger::StepDown, " STEPDOWN ", &EntryVm::ToServers, 1},
    {CallTrigger::Pause, " PAUSE ", &EntryVm::ToServers, 1},
    {CallTrigger::Order, "POST /promotions", &EntryVm::ToPromotions, 4},
    {CallTrigger::Commit, " COMMIT\r\n", &EntryVm::ToServers, 1},
};

/// A fault that waits for a call is given up after this time.
constexpr Duration TriggerTimeout = std::chrono::seconds(10);
/// Lengths of cuts. The lease of a claim passes in those that begin at an
/// order, so that another entry VM orders before the first order arrives.
constexpr unsigned ShortestCutMs = 2000;
constexpr unsigned OrderCutMs = 4500;
constexpr unsigned LongestCutMs = 8000;
/// One in this many kills is a kill of all entry VMs.
constexpr unsigned KillAllShare = 4;

} // namespace

FaultPlan::FaultPlan(Site &Target, Random &Generator)
    : Target(Target), Generator(Generator), Impaired(Target.groups().size()) {}

QCoro::Task<> FaultPlan::run(double EndMs, std::vector<FaultProfile> Phases) {
  const TaskGroup::Guard Counted(this->Target.Tasks);
  this->EndMs = EndMs;
  double PhaseEndMs = 0;
  auto Profile = FaultProfile::Planned;
  while (this->Target.Events.now() < EndMs) {
    if (this->Target.Events.now() >= PhaseEndMs) {
      Profile = Phases[this->Generator.below(Phases.size())];
      PhaseEndMs =
          this->Target.Events.now() + toMilliseconds(this->draw(6000, 10000));
      this->beginPhase(Profile, std::min(PhaseEndMs, EndMs));
    }
    this->inject(this->drawKind(Profile));
    co_await sleepFor(this->draw(300, 1700));
  }
  this->Target.platform().setLateCalls(LateCalls::None, 0);
}

void FaultPlan::beginPhase(FaultProfile Profile, double PhaseEndMs) {
  this->Target.Events.note("phase " + std::string(nameOf(Profile)));
  this->Target.platform().setLateCalls(LateCalls::None, 0);
  for (const LatePhase &Row : LatePhases)
    if (Row.Profile == Profile) {
      this->Target.Events.disrupt(FaultKind::Store, "store",
                                  PhaseEndMs - this->Target.Events.now());
      this->Target.platform().setLateCalls(Row.Calls,
                                           this->Generator.below(~0ULL));
    }
}

FaultKind FaultPlan::drawKind(FaultProfile Profile) {
  const auto Column = static_cast<std::size_t>(Profile);
  std::vector<FaultKind> Kinds;
  for (const FaultWeight &W : FaultWeights)
    Kinds.insert(Kinds.end(), W.Weights[Column], W.Kind);
  return Kinds[this->Generator.below(Kinds.size())];
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
  case FaultKind::PrimaryCrash:
    this->crashPrimaries();
    return;
  case FaultKind::Isolation:
    return this->isolatePrimary();
  case FaultKind::Keys:
    return this->changeKeys();
  case FaultKind::Quota:
    return this->changeQuota();
  case FaultKind::Surge:
    this->surge();
    return;
  case FaultKind::StoreCut:
    this->cutStore();
    return;
  case FaultKind::StoreReturn:
    this->returnStore();
    return;
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
  this->TimeoutMs = static_cast<unsigned>(800 + 200 * this->Generator.below(3));
  this->Target.configure(this->TimeoutMs, this->ProbedRoute);
}

void FaultPlan::changeKeys() {
  this->Target.Events.disrupt(FaultKind::Keys, "configuration");
  this->Target.WorkspaceList.changeKey(this->Generator);
  this->Target.configure(this->TimeoutMs, this->ProbedRoute);
}

void FaultPlan::changeQuota() {
  this->Target.Events.disrupt(FaultKind::Quota, "configuration");
  this->Target.WorkspaceList.changeQuota(this->Generator);
  this->Target.configure(this->TimeoutMs, this->ProbedRoute);
}

QCoro::Task<> FaultPlan::surge() {
  const TaskGroup::Guard Counted(this->Target.Tasks);
  if (!this->Target.Surging.empty())
    co_return;
  const auto &Entries = this->Target.WorkspaceList.entries();
  const Duration Length = this->draw(2000, 6000);
  this->Target.Surging = Entries[this->Generator.below(Entries.size())].Name;
  this->Target.Events.disrupt(FaultKind::Surge, this->Target.Surging,
                              toMilliseconds(Length));
  co_await sleepFor(Length);
  this->Target.Surging.clear();
}

QCoro::Task<> FaultPlan::cutStore() {
  EntryVm *Vm = this->drawVm();
  const Duration Length = this->draw(ShortestCutMs, LongestCutMs);
  if (Vm == nullptr)
    co_return;
  this->Target.Events.note("cut of " + Vm->name() + " from the store");
  std::vector<Path *> Paths = {&Vm->ToStore};
  co_await Vm->cut(std::move(Paths), true, true, Length);
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

std::vector<Path *> FaultPlan::drawPaths(EntryVm &Vm, Path *Carrier) {
  std::vector<Path *> All = {&Vm.ToStore, &Vm.ToPromotions, &Vm.ToServers};
  if (this->Generator.below(3) == 0)
    return All;
  if (Carrier != nullptr)
    return {Carrier};
  return {All[this->Generator.below(All.size())]};
}

void FaultPlan::cut() {
  // A quarter of the cuts begin at no particular call.
  if (this->Generator.below(4) == 0) {
    if (EntryVm *Vm = this->drawVm(); Vm != nullptr)
      this->beginCut(*Vm, nullptr, ShortestCutMs);
    return;
  }
  unsigned Sum = 0;
  for (const TriggerRow &Row : Triggers)
    Sum += Row.Weight;
  auto Drawn = static_cast<unsigned>(this->Generator.below(Sum));
  for (const TriggerRow &Row : Triggers) {
    if (Drawn < Row.Weight) {
      this->arm(Row);
      // A takeover follows, unless one is under way.
      if (Row.Trigger != CallTrigger::Commit)
        this->releasePrimary(this->drawGroup());
      return;
    }
    Drawn -= Row.Weight;
  }
}

QCoro::Task<> FaultPlan::beginCut(EntryVm &Vm, Path *Carrier,
                                  unsigned LeastMs) {
  const TaskGroup::Guard Counted(this->Target.Tasks);
  const std::vector<Path *> Paths = this->drawPaths(Vm, Carrier);
  // Half of the cuts are in both directions, the others in one.
  const std::uint64_t Direction = this->Generator.below(4);
  const Duration Length = this->draw(LeastMs, LongestCutMs);
  this->Target.Events.note("cut of " + Vm.name() + ", " +
                           std::to_string(Paths.size()) + " paths, direction " +
                           std::to_string(Direction));
  co_await Vm.cut(Paths, Direction != 3, Direction != 2, Length);
}

void FaultPlan::meet(EntryVm &Caller, CallTrigger Trigger, Path &Carrier) {
  this->Target.Events.note("trigger " + std::string(nameOf(Trigger)) + " of " +
                           Caller.name());
  // Most faults at a call are cuts; a few are kills and freezes, which begin
  // after its bytes have left the process.
  switch (this->Generator.below(8)) {
  case 0:
    QTimer::singleShot(0, &this->Context, [this, &Caller] {
      if (!Caller.changing())
        Caller.restartByKill(this->draw(300, 3000));
    });
    return;
  case 1:
    if (!Caller.changing() && !Caller.frozen())
      Caller.freeze(this->draw(1000, 7000));
    return;
  default:
    this->beginCut(Caller, &Carrier,
                   Trigger == CallTrigger::Order ? OrderCutMs : ShortestCutMs);
  }
}

void FaultPlan::arm(const TriggerRow &Row) {
  // Which entry VM makes the call is not known before.
  const TimePoint Until = steadyNow() + TriggerTimeout;
  for (const auto &Vm : this->Target.vms())
    ((*Vm).*Row.Carrier).OnForward = [this, Caller = Vm.get(), &Row,
                                      Until](std::string_view Bytes) {
      if (Bytes.find(Row.Bytes) == std::string_view::npos)
        return;
      // Clearing the functions destroys the one that runs, with its captures.
      FaultPlan &Plan = *this;
      EntryVm &Met = *Caller;
      const TriggerRow &Table = Row;
      const bool InTime =
          steadyNow() < Until && Plan.Target.Events.now() < Plan.EndMs;
      for (const auto &Each : Plan.Target.vms())
        ((*Each).*Table.Carrier).OnForward = nullptr;
      if (InTime)
        Plan.meet(Met, Table.Trigger, Met.*Table.Carrier);
    };
}

} // namespace amaranthspur::bench::soak
