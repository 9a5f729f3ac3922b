#include "root/groups/ServerPool.h"

#include <algorithm>

namespace amaranthspur {
namespace {

/// Returns what went wrong with a statement of the proxy itself, or nothing.
std::optional<Error> mistakeIn(const Result<Answer> &R) {
  if (!succeeded(R))
    return Error{errorOf(R)};
  const Answer &A = valueOf(R);
  if (A.Code)
    return Error{std::string(nameOf(*A.Code)) + " " + A.Detail};
  return std::nullopt;
}

} // namespace

std::string sharedName(const PreparedStatement &Statement) {
  // A name is one word, and so is a shape in practice; blanks in a shape
  // become part of the name in a form that no other shape has.
  std::string Name = Statement.Mode == Access::Read ? "r:" : "w:";
  for (const char C : Statement.Shape)
    Name += C == ' ' ? std::string("::") : std::string(1, C);
  return Name;
}

QCoro::Task<std::optional<Error>>
prepareFor(PooledLink &Link, SessionValues Values,
           std::optional<PreparedStatement> Needed, TimePoint Deadline) {
  const bool Surplus = std::any_of(
      Link.Values.begin(), Link.Values.end(),
      [&Values](const auto &Set) { return Values.count(Set.first) == 0; });
  if (Surplus) {
    const Result<Answer> Cleared = co_await Link.Link->reset(Deadline);
    if (std::optional<Error> Mistake = mistakeIn(Cleared))
      co_return Mistake;
    Link.Values.clear();
    Link.Prepared.clear();
  }
  for (const auto &[Name, Value] : Values) {
    const auto Present = Link.Values.find(Name);
    if (Present != Link.Values.end() && Present->second == Value)
      continue;
    const Result<Answer> Set = co_await Link.Link->set(Name, Value, Deadline);
    if (std::optional<Error> Mistake = mistakeIn(Set))
      co_return Mistake;
    Link.Values[Name] = Value;
  }
  if (Needed && Link.Prepared.count(sharedName(*Needed)) == 0) {
    const Result<Answer> Prepared = co_await Link.Link->prepare(
        sharedName(*Needed), Needed->Mode, Needed->Shape, Deadline);
    if (std::optional<Error> Mistake = mistakeIn(Prepared))
      co_return Mistake;
    Link.Prepared.insert(sharedName(*Needed));
  }
  co_return std::nullopt;
}

std::unique_ptr<PooledLink> ServerPool::takeIdle(const SessionValues &Values) {
  std::erase_if(this->Idle, [](const std::unique_ptr<PooledLink> &Link) {
    return !Link->Link->isUsable();
  });
  if (this->Idle.empty())
    return nullptr;
  auto Chosen = std::find_if(
      this->Idle.rbegin(), this->Idle.rend(),
      [&Values](const auto &Link) { return Link->Values == Values; });
  // The most recently used one otherwise, so that surplus ones grow old.
  if (Chosen == this->Idle.rend())
    Chosen = this->Idle.rbegin();
  std::unique_ptr<PooledLink> Link = std::move(*Chosen);
  this->Idle.erase(std::next(Chosen).base());
  return Link;
}

QCoro::Task<std::optional<std::unique_ptr<PooledLink>>>
ServerPool::waitForTurn(SessionValues Values, Waiter Self, TimePoint Deadline) {
  std::optional<std::unique_ptr<PooledLink>> Turn;
  while (true) {
    if (*this->Waiting.begin() == Self) {
      Turn = this->takeIdle(Values);
      if (*Turn || this->Share.mayOpen(this->open(), steadyNow()))
        co_return Turn;
      Turn.reset();
    }
    const TimePoint Again =
        std::min(Deadline, steadyNow() + ConnectionShare::GrowthInterval);
    const bool Woken = co_await this->GivenBack.wait(Again);
    if (!Woken && steadyNow() >= Deadline)
      co_return Turn;
  }
}

QCoro::Task<TakenLink> ServerPool::take(SessionValues Values, unsigned Urgency,
                                        TimePoint Deadline) {
  const Waiter Self{Urgency, ++this->LastWaiter};
  this->Waiting.insert(Self);
  std::optional<std::unique_ptr<PooledLink>> Turn =
      co_await this->waitForTurn(std::move(Values), Self, Deadline);
  this->Waiting.erase(Self);
  // The next one is first now; a connection may be idle or may be opened.
  this->GivenBack.notifyAll();
  if (!Turn)
    co_return TakenLink(OpenFailure{true, AnswerCode::TooManyConnections,
                                    "all connections are in use"});
  ++this->InUse;
  this->LastTake = steadyNow();
  if (*Turn)
    co_return TakenLink(std::move(*Turn));
  OpenedLink Opened = co_await this->Connector.open(
      this->Server, std::min(Deadline, steadyNow() + OpenLimit));
  if (auto *Failure = std::get_if<OpenFailure>(&Opened)) {
    --this->InUse;
    if (Failure->Code == AnswerCode::TooManyConnections)
      this->Share.refused(this->open(), steadyNow());
    this->GivenBack.notifyAll();
    co_return TakenLink(std::move(*Failure));
  }
  auto Link = std::make_unique<PooledLink>();
  Link->Link = std::move(std::get<std::unique_ptr<ServerLink>>(Opened));
  co_return TakenLink(std::move(Link));
}

void ServerPool::giveBack(std::unique_ptr<PooledLink> Link) {
  --this->InUse;
  // What is beyond the share goes to other entry VMs.
  if (Link->Link->isUsable() && this->open() < this->Share.limit()) {
    Link->IdleSince = steadyNow();
    this->Idle.push_back(std::move(Link));
  }
  this->GivenBack.notifyAll();
}

Duration ServerPool::idleLimit(const PooledLink &Link, TimePoint Now) const {
  // The most recently used one is the last.
  return this->Share.idleLimit(&Link == this->Idle.back().get(), Now);
}

void ServerPool::closeIdle(TimePoint Now) {
  std::vector<std::unique_ptr<PooledLink>> Kept;
  for (std::unique_ptr<PooledLink> &Link : this->Idle)
    if (Link->Link->isUsable() &&
        Now - Link->IdleSince <= this->idleLimit(*Link, Now))
      Kept.push_back(std::move(Link));
  this->Idle = std::move(Kept);
}

TimePoint ServerPool::nextClose(TimePoint Now) const {
  TimePoint Next = NoDeadline;
  for (const std::unique_ptr<PooledLink> &Link : this->Idle)
    Next = std::min(Next, Link->IdleSince + this->idleLimit(*Link, Now));
  return Next;
}

} // namespace amaranthspur
