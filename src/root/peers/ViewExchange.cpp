#include "root/peers/ViewExchange.h"

#include "root/peers/PeerCodec.h"

namespace amaranthspur {
namespace {

constexpr Duration QueryInterval = milliseconds(500);
/// If no answer has arrived for this long, the next watcher is queried.
constexpr Duration WatcherSilenceLimit = milliseconds(1000);
/// The view of a service is no longer queried after no caller has used the
/// service for this long.
constexpr Duration InterestTimeout = std::chrono::seconds(30);

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
  Network.setHandler(peer::Envelope::kGroupViewQuery,
                     [this](const EntryVmId &From, peer::Envelope &Message) {
                       this->onQuery(From, Message.group_view_query());
                     });
  Network.setHandler(peer::Envelope::kGroupViewUpdate,
                     [this](const EntryVmId &, peer::Envelope &Message) {
                       this->onUpdate(Message.group_view_update());
                     });
  Views.addListener([this](const GroupView &View) { this->broadcast(View); });
}

QCoro::Task<Result<Success>> ViewExchange::start() {
  this->Stopping = false;
  this->runQueries();
  co_return Success();
}

QCoro::Task<> ViewExchange::stop(TimePoint Deadline) {
  this->Stopping = true;
  this->Stopped.notifyAll();
  co_await this->Tasks.waitUntilEmpty(Deadline);
}

void ViewExchange::recordUse(const ServiceName &Service) {
  const TimePoint Now = steadyNow();
  const auto [It, New] = this->Interests.try_emplace(Service);
  It->second.LastUse = Now;
  if (New)
    this->queryWatcher(Service, It->second);
}

QCoro::Task<> ViewExchange::runQueries() {
  const TaskGroup::Guard Guard(this->Tasks);
  while (!this->Stopping) {
    const TimePoint Now = steadyNow();
    std::erase_if(this->Interests, [Now](const auto &Entry) {
      return Now - Entry.second.LastUse > InterestTimeout;
    });
    for (auto &[Service, Entry] : this->Interests)
      this->queryWatcher(Service, Entry);
    co_await this->Stopped.wait(Now + QueryInterval);
  }
}

void ViewExchange::queryWatcher(const ServiceName &Service, Interest &Entry) {
  if (this->Registry.watches(Service))
    return;
  const std::vector<EntryVmId> Watchers =
      this->Registry.ownersNearestFirst(Service);
  if (Watchers.empty())
    return;
  if (steadyNow() - Entry.LastAnswer > WatcherSilenceLimit)
    ++Entry.NextWatcher;
  else
    Entry.NextWatcher = 0;
  const EntryVmId &Watcher = Watchers[Entry.NextWatcher % Watchers.size()];
  peer::Envelope Message;
  Message.mutable_group_view_query()->set_service(Service.str());
  this->Network.send(Watcher, std::move(Message));
}

void ViewExchange::broadcast(const GroupView &View) {
  if (!this->Registry.watches(View.Service))
    return;
  auto &Last = this->LastBroadcast[View.Service];
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
    Found->second.LastAnswer = View.Taken;
  const GroupView *Known = this->Views.find(View.Service);
  // The view that this entry VM computes as a watcher is exact. A received view
  // replaces it only if the received view has a later term.
  if (this->Registry.watches(View.Service) && Known &&
      View.TermNumber <= Known->TermNumber)
    return;
  this->Views.update(std::move(View));
}

} // namespace amaranthspur
