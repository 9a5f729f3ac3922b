#include "root/peers/ViewExchange.h"

#include "root/peers/PeerCodec.h"

namespace amaranthspur {
namespace {

constexpr Duration AskInterval = milliseconds(500);
/// A watcher that has not answered for this long is passed over.
constexpr Duration WatcherSilenceLimit = milliseconds(1000);
/// A service that no caller has used for this long is no longer asked for.
constexpr Duration InterestTime = std::chrono::seconds(30);

peer::Envelope envelopeOf(const GroupView &View) {
  peer::Envelope Message;
  *Message.mutable_group_view_update() = toMessage(View, steadyNow());
  return Message;
}

} // namespace

ViewExchange::ViewExchange(EntryVmId Self, PeerNetwork &Network,
                           ViewTable &Views, ServerRegistry &Registry,
                           Metrics &Counters)
    : Self(std::move(Self)), Network(Network), Views(Views), Registry(Registry),
      Counters(Counters) {
  Network.handle(peer::Envelope::kGroupViewQuery,
                 [this](const EntryVmId &From, peer::Envelope &Message) {
                   this->onQuery(From, Message.group_view_query());
                 });
  Network.handle(peer::Envelope::kGroupViewUpdate,
                 [this](const EntryVmId &, peer::Envelope &Message) {
                   this->onUpdate(Message.group_view_update());
                 });
  Views.listen([this](const GroupView &View) { this->spread(View); });
}

QCoro::Task<Result<Success>> ViewExchange::start() {
  this->Stopping = false;
  this->askAround();
  co_return Success();
}

QCoro::Task<> ViewExchange::stop(TimePoint Deadline) {
  this->Stopping = true;
  this->Stopped.notifyAll();
  co_await this->Tasks.empty(Deadline);
}

void ViewExchange::use(const ServiceName &Service) {
  const TimePoint Now = steadyNow();
  const auto [It, New] = this->Interests.try_emplace(Service);
  It->second.LastUse = Now;
  if (New)
    this->ask(Service, It->second);
}

QCoro::Task<> ViewExchange::askAround() {
  const TaskGroup::Guard Guard(this->Tasks);
  while (!this->Stopping) {
    const TimePoint Now = steadyNow();
    std::erase_if(this->Interests, [Now](const auto &Entry) {
      return Now - Entry.second.LastUse > InterestTime;
    });
    for (auto &[Service, Entry] : this->Interests)
      this->ask(Service, Entry);
    co_await this->Stopped.wait(Now + AskInterval);
  }
}

void ViewExchange::ask(const ServiceName &Service, Interest &Entry) {
  if (this->Registry.watches(Service))
    return;
  const std::vector<EntryVmId> Watchers = this->Registry.watchersOf(Service);
  if (Watchers.empty())
    return;
  if (steadyNow() - Entry.Answered > WatcherSilenceLimit)
    ++Entry.NextWatcher;
  else
    Entry.NextWatcher = 0;
  const EntryVmId &Asked = Watchers[Entry.NextWatcher % Watchers.size()];
  peer::Envelope Message;
  Message.mutable_group_view_query()->set_service(Service.str());
  this->Network.send(Asked, std::move(Message));
}

void ViewExchange::spread(const GroupView &View) {
  if (!this->Registry.watches(View.Service))
    return;
  auto &Last = this->LastSpread[View.Service];
  if (Last == std::pair(View.TermNumber, View.Primary))
    return;
  Last = {View.TermNumber, View.Primary};
  for (const Member &M : this->Network.members())
    if (M.Id != this->Self && M.State != MemberState::Dead)
      this->Network.send(M.Id, envelopeOf(View));
}

void ViewExchange::onQuery(const EntryVmId &From,
                           const peer::GroupViewQuery &Query) {
  const GroupView *View = this->Views.find(ServiceName(Query.service()));
  if (View && this->Registry.watches(View->Service))
    this->Network.send(From, envelopeOf(*View));
}

void ViewExchange::onUpdate(const peer::GroupViewUpdate &Update) {
  Result<GroupView> Received = groupViewOf(Update, steadyNow());
  if (!succeeded(Received)) {
    this->Counters.add(Counter::PeerMessagesDropped, "invalid view");
    return;
  }
  GroupView &View = valueOf(Received);
  const auto Found = this->Interests.find(View.Service);
  if (Found != this->Interests.end())
    Found->second.Answered = View.Taken;
  const GroupView *Held = this->Views.find(View.Service);
  // A view made here is exact; another one only tells of a later term.
  if (this->Registry.watches(View.Service) && Held &&
      View.TermNumber <= Held->TermNumber)
    return;
  this->Views.update(std::move(View));
}

} // namespace amaranthspur
