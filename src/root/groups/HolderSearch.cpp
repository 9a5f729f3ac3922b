#include "root/groups/HolderSearch.h"

#include "core/BootClock.h"

#include <algorithm>

namespace amaranthspur {

QCoro::Task<> HolderSearch::stop() {
  this->Stopping = true;
  this->CommitWake.wake();
  this->Answered.wake();
  this->HolderFound.notifyAll();
  co_await this->Tasks.waitUntilEmpty();
}

void HolderSearch::setServers(const std::vector<RegisteredServer> &Servers,
                              TimePoint Now) {
  this->Holders.setServers(Servers, Now);
  this->HolderFound.notifyAll();
}

void HolderSearch::observeReport(const ServerId &Id,
                                 const ServerReport &Report) {
  this->Holders.observeReport(Id, Report);
  this->HolderFound.notifyAll();
}

void HolderSearch::observeReplica(const ServerId &Id, LogPosition End) {
  this->Holders.observeReplica(Id, End);
  this->HolderFound.notifyAll();
}

void HolderSearch::observeProof(Term T, TimePoint At) {
  this->Holders.observeProof(T, At);
  this->HolderFound.notifyAll();
}

const HolderSearch::AwaitedCommit *HolderSearch::firstAwaited() const {
  for (const AwaitedCommit &C : this->Awaited)
    if (!this->Holders.holderOf(C.Position, C.Primary))
      return &C;
  return nullptr;
}

QCoro::Task<std::optional<ServerId>>
HolderSearch::await(LogPosition Commit, ServerId Primary, TimePoint Deadline) {
  std::optional<ServerId> Holder = this->Holders.holderOf(Commit, Primary);
  if (Holder)
    co_return Holder;
  const auto Entry = this->Awaited.insert({Commit, Primary});
  this->CommitWake.wake();
  while (!Holder && !this->Stopping) {
    const bool Notified = co_await this->HolderFound.wait(Deadline);
    Holder = this->Holders.holderOf(Commit, Primary);
    if (!Notified)
      break;
  }
  this->Awaited.erase(Entry);
  co_return Holder;
}

void HolderSearch::refresh(const ServerId &Primary, Term T) {
  if (this->Stopping || steadyNow() < this->RefreshFrom)
    return;
  this->RefreshFrom = steadyNow() + RefreshInterval;
  this->Access.requestProof(bootNow());
  for (const ServerId &Id : this->Holders.candidates(Primary, T))
    this->ask(Id);
}

QCoro::Task<> HolderSearch::ask(ServerId Id) {
  const TaskGroup::Guard Guard(this->Tasks);
  if (!this->Asked.insert(Id).second)
    co_return;
  co_await this->Access.requestReport(Id);
  this->Asked.erase(Id);
  this->Answered.wake();
}

std::vector<ServerId> HolderSearch::serversFor(const AwaitedCommit &For) const {
  const std::vector<ServerId> Candidates =
      this->Holders.candidates(For.Primary, For.Position.TermNumber);
  std::vector<ServerId> Ids = this->Access.preferredServers();
  const auto Has = [](const std::vector<ServerId> &In, const ServerId &Id) {
    return std::find(In.begin(), In.end(), Id) != In.end();
  };
  std::erase_if(Ids, [&Candidates, &Has](const ServerId &Id) {
    return !Has(Candidates, Id);
  });
  // Leaving servers are not preferred, and count where all others leave.
  for (const ServerId &Id : Candidates)
    if (!Has(Ids, Id))
      Ids.push_back(Id);
  return Ids;
}

bool HolderSearch::isAsking(const std::vector<ServerId> &Servers) const {
  return std::any_of(
      Servers.begin(), Servers.end(),
      [this](const ServerId &Id) { return this->Asked.count(Id) > 0; });
}

QCoro::Task<> HolderSearch::search() {
  const TaskGroup::Guard Guard(this->Tasks);
  LogPosition Last; // The last commit that is looked for.
  Duration Delay = RetryDelay;
  bool AskAll = false;
  const auto IsWanted = [this, &Last] {
    const AwaitedCommit *First = this->firstAwaited();
    return !this->Stopping && First && First->Position <= Last;
  };
  while (!this->Stopping) {
    const AwaitedCommit *First = this->firstAwaited();
    if (!First) {
      co_await this->CommitWake.wait();
      continue;
    }
    // Commits that came while replicas were asked begin with one replica again.
    if (First->Position > Last) {
      Last = this->Awaited.rbegin()->Position;
      Delay = RetryDelay;
      AskAll = false;
    }
    const std::optional<TimePoint> Since =
        this->Holders.proofNeeded(First->Position, First->Primary);
    if (Since)
      this->Access.requestProof(*Since);
    std::vector<ServerId> Servers = this->serversFor(*First);
    if (!AskAll && Servers.size() > 1)
      Servers.resize(1);
    for (const ServerId &Id : Servers)
      this->ask(Id);
    AskAll = true;
    const TimePoint Until = steadyNow() + AnswerTime;
    while (IsWanted() && this->isAsking(Servers) && steadyNow() < Until)
      co_await this->Answered.wait(Until);
    if (!IsWanted())
      continue;
    co_await sleepFor(Delay);
    Delay = std::min(Delay * RetryGrowth, LongestRetryDelay);
  }
}

} // namespace amaranthspur
