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

QCoro::Task<TakenLink> ServerPool::take(SessionValues Values,
                                        TimePoint Deadline) {
  while (true) {
    if (std::unique_ptr<PooledLink> Link = this->takeIdle(Values)) {
      ++this->InUse;
      co_return TakenLink(std::move(Link));
    }
    if (this->Share.mayOpen(this->open(), steadyNow()))
      break;
    const TimePoint Again =
        std::min(Deadline, steadyNow() + ConnectionShare::GrowthInterval);
    const bool Woken = co_await this->GivenBack.wait(Again);
    if (!Woken && steadyNow() >= Deadline)
      co_return TakenLink(OpenFailure{true, AnswerCode::TooManyConnections,
                                      "all connections are in use"});
  }
  ++this->InUse;
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
  const bool Wanted = this->GivenBack.waiting() > 0;
  if (Link->Link->isUsable() && (Wanted || !this->Share.scarce(steadyNow()))) {
    Link->IdleSince = steadyNow();
    this->Idle.push_back(std::move(Link));
  }
  this->GivenBack.notifyAll();
}

void ServerPool::closeIdle(TimePoint Now) {
  // The most recently used one is the last.
  const PooledLink *Newest =
      this->Idle.empty() ? nullptr : this->Idle.back().get();
  std::erase_if(this->Idle, [Now,
                             Newest](const std::unique_ptr<PooledLink> &Link) {
    const Duration Limit = Link.get() == Newest ? IdleLimit : SurplusIdleLimit;
    return !Link->Link->isUsable() || Now - Link->IdleSince > Limit;
  });
}

} // namespace amaranthspur
