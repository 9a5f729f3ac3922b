#include "root/groups/ServerPool.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace amaranthspur {
namespace {

/// Returns the error of a statement that the proxy itself sent, or nothing.
std::optional<Error> errorIn(const Result<Answer> &R) {
  if (!succeeded(R))
    return Error{errorOf(R)};
  const Answer &A = valueOf(R);
  if (A.Code)
    return Error{std::string(nameOf(*A.Code)) + " " + A.Detail};
  return std::nullopt;
}

} // namespace

std::string preparedStatementName(const PreparedStatement &Statement) {
  // A name must be a single word. Statement shapes are single words in practice
  // too; a space in one is written as "::", which no other shape contains.
  std::string Name = Statement.Mode == Access::Read ? "r:" : "w:";
  for (const char C : Statement.Shape)
    Name += C == ' ' ? std::string("::") : std::string(1, C);
  return Name;
}

QCoro::Task<std::optional<Error>>
applySessionState(PooledLink &Link, SessionSettingValues Values,
                  std::optional<PreparedStatement> Needed, TimePoint Deadline) {
  const bool HasUnwanted = std::any_of(
      Link.Values.begin(), Link.Values.end(), [&Values](const auto &Setting) {
        return Values.count(Setting.first) == 0;
      });
  if (HasUnwanted) {
    const Result<Answer> Cleared = co_await Link.Link->reset(Deadline);
    if (std::optional<Error> SetupError = errorIn(Cleared))
      co_return SetupError;
    Link.Values.clear();
    Link.Prepared.clear();
  }
  for (const auto &[Name, Value] : Values) {
    const auto Current = Link.Values.find(Name);
    if (Current != Link.Values.end() && Current->second == Value)
      continue;
    const Result<Answer> SetResult =
        co_await Link.Link->set(Name, Value, Deadline);
    if (std::optional<Error> SetupError = errorIn(SetResult))
      co_return SetupError;
    Link.Values[Name] = Value;
  }
  if (Needed && Link.Prepared.count(preparedStatementName(*Needed)) == 0) {
    const Result<Answer> Prepared = co_await Link.Link->prepare(
        preparedStatementName(*Needed), Needed->Mode, Needed->Shape, Deadline);
    if (std::optional<Error> SetupError = errorIn(Prepared))
      co_return SetupError;
    Link.Prepared.insert(preparedStatementName(*Needed));
  }
  co_return std::nullopt;
}

std::unique_ptr<PooledLink> ServerPool::takeIdle(const LinkRequest &Wanted) {
  std::erase_if(this->Idle, [](const std::unique_ptr<PooledLink> &Link) {
    return !Link->Link->isUsable();
  });
  if (!Wanted.For)
    return this->borrowIdle();
  const auto IsAllowed = [&Wanted](const auto &Link) {
    return Link->For == *Wanted.For;
  };
  auto Chosen = std::find_if(
      this->Idle.rbegin(), this->Idle.rend(), [&](const auto &Link) {
        return IsAllowed(Link) && Link->Values == Wanted.Values;
      });
  // If no idle connection has these settings, the most recently used one is
  // chosen, so that surplus connections stay idle and reach their idle timeout.
  if (Chosen == this->Idle.rend())
    Chosen = std::find_if(this->Idle.rbegin(), this->Idle.rend(), IsAllowed);
  if (Chosen == this->Idle.rend())
    return nullptr;
  std::unique_ptr<PooledLink> Link = std::move(*Chosen);
  this->Idle.erase(std::next(Chosen).base());
  return Link;
}

std::unique_ptr<PooledLink> ServerPool::borrowIdle() {
  const auto IsForNone = [](const auto &Link) { return Link->For.empty(); };
  const auto None =
      std::find_if(this->Idle.rbegin(), this->Idle.rend(), IsForNone);
  // Idle connections are ordered by time of release, the most recent last.
  const auto Oldest =
      std::find_if_not(this->Idle.begin(), this->Idle.end(), IsForNone);
  // A home needs its share for connections of workspaces. One without a
  // workspace is not used while there are others, so that it is closed.
  const bool UseOldest =
      Oldest != this->Idle.end() &&
      (None == this->Idle.rend() || this->Share.isHome(steadyNow()));
  if (!UseOldest && None == this->Idle.rend())
    return nullptr;
  const auto Chosen = UseOldest ? Oldest : std::next(None).base();
  std::unique_ptr<PooledLink> Link = std::move(*Chosen);
  this->Idle.erase(Chosen);
  Link->IsBorrowed = !Link->For.empty();
  return Link;
}

bool ServerPool::hasIdle(const WorkspaceName &For) const {
  return std::any_of(this->Idle.begin(), this->Idle.end(),
                     [&For](const std::unique_ptr<PooledLink> &Link) {
                       return Link->For == For && Link->Link->isUsable();
                     });
}

bool ServerPool::makeRoom() {
  if (this->Share.mayOpen(this->open(), steadyNow()))
    return true;
  // Idle connections are ordered by time of release, the most recent last.
  if (this->Idle.empty())
    return false;
  this->Idle.erase(this->Idle.begin());
  return true;
}

QCoro::Task<std::optional<std::unique_ptr<PooledLink>>>
ServerPool::waitForTurn(LinkRequest Wanted, WaitingTurn Self,
                        TimePoint Deadline) {
  std::optional<std::unique_ptr<PooledLink>> Turn;
  while (true) {
    if (this->Waiting.isNext(Self)) {
      Turn = this->takeIdle(Wanted);
      if (*Turn || this->makeRoom())
        co_return Turn;
      Turn.reset();
    }
    const TimePoint RetryAt =
        std::min(Deadline, steadyNow() + ConnectionShare::GrowthInterval);
    const bool Woken = co_await this->Released.wait(RetryAt);
    if (!Woken && steadyNow() >= Deadline)
      co_return Turn;
  }
}

QCoro::Task<AcquiredLink> ServerPool::acquire(LinkRequest Wanted,
                                              TimePoint Deadline) {
  const WorkspaceName For = Wanted.For.value_or(WorkspaceName());
  const TimePoint LatestEnd = Wanted.LatestEnd;
  const WaitingTurn Self = this->Waiting.add(Wanted.Urgency, For);
  std::optional<std::unique_ptr<PooledLink>> Turn =
      co_await this->waitForTurn(std::move(Wanted), Self, Deadline);
  this->Waiting.remove(Self, Turn.has_value());
  // The next task in the queue may find a connection available.
  this->Released.notifyAll();
  if (!Turn)
    co_return AcquiredLink(OpenFailure{true, AnswerCode::TooManyConnections,
                                       "all connections are in use"});
  ++this->InUse;
  this->LastAcquired = steadyNow();
  if (*Turn)
    co_return AcquiredLink(std::move(*Turn));
  const auto Asked = std::make_shared<Opening>();
  this->openLink(For, Asked);
  const TimePoint Patient = std::max(Deadline, steadyNow() + MinOpenWait);
  const TimePoint Until = std::min(Patient, LatestEnd);
  while (!Asked->Result && steadyNow() < Until)
    co_await Asked->Finished.wait(Until);
  if (!Asked->Result) {
    Asked->Abandoned = true;
    co_return AcquiredLink(OpenFailure{false, std::nullopt,
                                       "no connection was opened in time",
                                       Until < Patient});
  }
  co_return std::move(*Asked->Result);
}

QCoro::Task<> ServerPool::openLink(WorkspaceName For,
                                   std::shared_ptr<Opening> Asked) {
  const std::shared_ptr<ServerPool> Self = this->shared_from_this();
  const TaskGroup::Guard Guard(this->OpeningTasks);
  OpenedLink Opened = co_await this->Connector.open(this->Server, For,
                                                    steadyNow() + OpenTimeout);
  if (auto *Failure = std::get_if<OpenFailure>(&Opened)) {
    --this->InUse;
    if (Failure->Code == AnswerCode::TooManyConnections)
      this->Share.observeRefusal(this->open(), steadyNow());
    this->Released.notifyAll();
    Asked->Result = std::move(*Failure);
  } else {
    auto Link = std::make_unique<PooledLink>();
    Link->Link = std::move(std::get<std::unique_ptr<ServerLink>>(Opened));
    Link->For = For;
    if (Asked->Abandoned)
      this->release(std::move(Link));
    else
      Asked->Result = std::move(Link);
  }
  Asked->Finished.wake();
}

void ServerPool::release(std::unique_ptr<PooledLink> Link) {
  --this->InUse;
  // Connections beyond the share are closed to leave room for other entry VMs.
  if (Link->Link->isUsable() && this->open() < this->Share.limit(steadyNow())) {
    if (!std::exchange(Link->IsBorrowed, false))
      Link->IdleSince = steadyNow();
    const auto Next =
        std::upper_bound(this->Idle.begin(), this->Idle.end(), Link->IdleSince,
                         [](TimePoint Since, const auto &Other) {
                           return Since < Other->IdleSince;
                         });
    this->Idle.insert(Next, std::move(Link));
  }
  this->Released.notifyAll();
}

Duration ServerPool::idleTimeout(const PooledLink &Link, TimePoint Now) const {
  // Idle connections are ordered by time of release, the most recent last.
  const auto Newest = std::find_if(
      this->Idle.rbegin(), this->Idle.rend(), [&Link](const auto &Other) {
        return Other->For.empty() == Link.For.empty();
      });
  return this->Share.idleTimeout(Newest->get() == &Link, !Link.For.empty(),
                                 Now);
}

void ServerPool::closeIdle(TimePoint Now) {
  // All timeouts are compared before a connection is removed, because they
  // depend on which is the newest.
  std::vector<bool> IsKept;
  IsKept.reserve(this->Idle.size());
  for (const std::unique_ptr<PooledLink> &Link : this->Idle)
    IsKept.push_back(Link->Link->isUsable() &&
                     Now - Link->IdleSince <= this->idleTimeout(*Link, Now));
  std::vector<std::unique_ptr<PooledLink>> Kept;
  Kept.reserve(this->Idle.size());
  for (std::size_t I = 0; I < this->Idle.size(); ++I)
    if (IsKept[I])
      Kept.push_back(std::move(this->Idle[I]));
  this->Idle = std::move(Kept);
  // A refusal or another home has reduced the share.
  while (this->Share.isHome(Now) && !this->Idle.empty() &&
         this->open() > this->Share.limit(Now))
    this->Idle.erase(this->Idle.begin());
}

TimePoint ServerPool::nextClose(TimePoint Now) const {
  TimePoint Next = NoDeadline;
  for (const std::unique_ptr<PooledLink> &Link : this->Idle)
    Next = std::min(Next, Link->IdleSince + this->idleTimeout(*Link, Now));
  return Next;
}

} // namespace amaranthspur
