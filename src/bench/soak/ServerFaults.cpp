// The faults and the planned work of the servers of a soak.
#include "bench/soak/Faults.h"

namespace amaranthspur::bench::soak {
namespace {

/// Time after a fault of a server before its group gets another one.
constexpr Duration GroupRecovery = std::chrono::seconds(3);
/// An entry expires after three missing reports (heartbeat-ms 1200).
constexpr Duration Expiry = milliseconds(3600);
/// Servers that a quick series releases.
constexpr unsigned SeriesLength = 3;
/// Primaries of several groups crash this long after each other, and two of
/// three replicas are released this long after each other.
constexpr Duration Stagger = milliseconds(300);
/// Time for which such a primary is down. An entry VM takes some 0.7 s to find
/// that it is unreachable.
constexpr Duration DownTime = std::chrono::seconds(1);
constexpr Duration DrainPollInterval = milliseconds(100);

} // namespace

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
  if (this->Stopped)
    co_return;
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

QCoro::Task<> FaultPlan::crashPrimaries() {
  const TaskGroup::Guard Counted(this->Target.Tasks);
  auto &Groups = this->Target.groups();
  const std::uint64_t First = this->Generator.below(Groups.size());
  for (std::size_t I = 0; I < Groups.size() && !this->Stopped; ++I) {
    this->crashPrimary(*Groups[(First + I) % Groups.size()]);
    co_await sleepFor(Stagger);
  }
}

QCoro::Task<> FaultPlan::crashPrimary(ServerGroup &Group) {
  const TaskGroup::Guard Counted(this->Target.Tasks);
  DatabaseServer *Primary = Group.primary();
  if (this->Impaired[Group.number()] || Primary == nullptr ||
      Primary->draining())
    co_return;
  this->Impaired[Group.number()] = true;
  this->Target.Events.disrupt(FaultKind::PrimaryCrash, Primary->id(),
                              toMilliseconds(DownTime));
  Primary->crash();
  this->releaseReplicas(Group);
  co_await sleepFor(DownTime);
  if (this->Stopped)
    co_return;
  Group.replace(*Primary);
  co_await sleepFor(Expiry - DownTime);
  this->Target.platform().remove("servers", Primary->id());
  this->Impaired[Group.number()] = false;
}

QCoro::Task<> FaultPlan::releaseReplicas(ServerGroup &Group) {
  const TaskGroup::Guard Counted(this->Target.Tasks);
  // The new servers start before the takeover makes the known ones adopt a
  // term.
  co_await sleepFor(this->draw(50, 500));
  for (DatabaseServer *S : readyReplicas(Group)) {
    if (this->Stopped)
      co_return;
    if (this->Generator.below(3) == 0 || !S->running() || S->draining())
      continue;
    this->releaseServer(Group, *S, true);
    co_await sleepFor(Stagger);
  }
}

std::vector<DatabaseServer *> FaultPlan::readyReplicas(ServerGroup &Group) {
  std::vector<DatabaseServer *> Found;
  for (DatabaseServer *S : Group.running())
    if (!S->draining() && S->role() == ServerRole::Replica)
      Found.push_back(S);
  return Found;
}

void FaultPlan::isolatePrimary() {
  ServerGroup &Group = this->drawGroup();
  DatabaseServer *Primary = Group.primary();
  if (this->Impaired[Group.number()] || Primary == nullptr ||
      Primary->draining())
    return;
  this->Impaired[Group.number()] = true;
  const Duration Length = this->draw(2000, 6000);
  this->Target.Events.disrupt(FaultKind::Isolation, Primary->id(),
                              toMilliseconds(Length));
  const std::vector<DatabaseServer *> Replicas = readyReplicas(Group);
  if (this->Generator.below(2) == 0) {
    // Servers that join later reach the primary.
    Primary->cutOff(Replicas);
  } else {
    auto &Vms = this->Target.vms();
    for (std::size_t I = this->Generator.below(2); I < Vms.size(); I += 2)
      Vms[I]->cut({Primary->pathFrom(Vms[I]->name())}, true, true, Length);
  }
  if (!Replicas.empty())
    this->releaseServer(Group,
                        *Replicas[this->Generator.below(Replicas.size())]);
  this->endIsolation(Group, *Primary, Length);
}

QCoro::Task<> FaultPlan::endIsolation(ServerGroup &Group,
                                      DatabaseServer &Primary,
                                      Duration Length) {
  const TaskGroup::Guard Counted(this->Target.Tasks);
  co_await sleepFor(Length);
  Primary.rejoin();
  this->Target.Events.note(Primary.id() + ": is reached again");
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
  if (this->Generator.below(2) == 0)
    return this->releasePrimary(Group);
  for (DatabaseServer *S : Group.running())
    if (!S->draining() && S->role() == ServerRole::Replica) {
      this->releaseServer(Group, *S);
      return;
    }
}

void FaultPlan::releasePrimary(ServerGroup &Group) {
  DatabaseServer *Primary = Group.primary();
  if (Primary != nullptr && !Primary->draining())
    this->releaseServer(Group, *Primary);
}

QCoro::Task<> FaultPlan::releaseSeries(ServerGroup &Group) {
  const TaskGroup::Guard Counted(this->Target.Tasks);
  for (unsigned I = 0; I < SeriesLength; ++I) {
    this->releasePrimary(Group);
    co_await sleepFor(this->draw(1000, 3000));
  }
}

void FaultPlan::releaseServer(ServerGroup &Group, DatabaseServer &Server) {
  this->releaseServer(Group, Server, this->Generator.below(2) == 0);
}

QCoro::Task<> FaultPlan::releaseServer(ServerGroup &Group,
                                       DatabaseServer &Server, bool JoinFirst) {
  const TaskGroup::Guard Counted(this->Target.Tasks);
  this->Target.Events.disrupt(FaultKind::Release, Server.id());
  if (JoinFirst) {
    Group.add(Server.dataCentre(), ServerRole::Replica);
    co_await sleepFor(this->draw(200, 1000));
  }
  if (!Server.running())
    co_return;
  Server.drain();
  if (!JoinFirst) {
    co_await sleepFor(this->draw(50, 1000));
    if (this->Stopped)
      co_return;
    Group.add(Server.dataCentre(), ServerRole::Replica);
  }
  while (!Server.drainAccepted() && Server.running() && !this->Stopped)
    co_await sleepFor(DrainPollInterval);
  co_await sleepFor(this->draw(7000, 9000));
  if (!this->Stopped)
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
