#include "root/peers/ViewExchange.h"

namespace amaranthspur {
namespace {

constexpr Duration AskInterval = milliseconds(500);
/// A watcher that has not answered for this long is passed over.
constexpr Duration WatcherSilenceLimit = milliseconds(1000);
/// A service that no caller has used for this long is no longer asked for.
constexpr Duration InterestTime = std::chrono::seconds(30);

peer::Envelope encodeView(const GroupView &View, TimePoint Now) {
  peer::Envelope Message;
  peer::GroupViewUpdate &Out = *Message.mutable_group_view_update();
  Out.set_service(View.Service.str());
  Out.set_term(View.TermNumber);
  if (View.Primary)
    Out.set_primary(View.Primary->str());
  Out.mutable_confirmed()->set_term(View.Confirmed.TermNumber);
  Out.mutable_confirmed()->set_index(View.Confirmed.Index);
  Out.set_accepts_writes(View.AcceptsWrites);
  for (const ServerView &Server : View.Servers) {
    peer::ServerViewMessage &To = *Out.add_servers();
    To.set_id(Server.Id.str());
    To.set_reachable(Server.Reachable);
    To.set_leaving(Server.Leaving);
    To.mutable_held()->set_term(Server.Held.TermNumber);
    To.mutable_held()->set_index(Server.Held.Index);
    To.set_age_known(Server.Age.has_value());
    if (Server.Age)
      To.set_age_us((*Server.Age + (Now - View.Taken)).count());
  }
  return Message;
}

GroupView decodeView(const peer::GroupViewUpdate &In, TimePoint Now) {
  GroupView View;
  View.Service = ServiceName(In.service());
  View.TermNumber = In.term();
  if (!In.primary().empty())
    View.Primary = ServerId(In.primary());
  View.Confirmed = {In.confirmed().term(), In.confirmed().index()};
  View.AcceptsWrites = In.accepts_writes();
  View.Taken = Now;
  for (const peer::ServerViewMessage &From : In.servers()) {
    ServerView Server;
    Server.Id = ServerId(From.id());
    Server.Reachable = From.reachable();
    Server.Leaving = From.leaving();
    Server.Held = {From.held().term(), From.held().index()};
    if (From.age_known())
      Server.Age = Duration(From.age_us());
    View.Servers.push_back(std::move(Server));
  }
  return View;
}

} // namespace

ViewExchange::ViewExchange(EntryVmId Self, PeerNetwork &Network,
                           ViewTable &Views, ServerRegistry &Registry)
    : Self(std::move(Self)), Network(Network), Views(Views),
      Registry(Registry) {
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
      this->Network.send(M.Id, encodeView(View, steadyNow()));
}

void ViewExchange::onQuery(const EntryVmId &From,
                           const peer::GroupViewQuery &Query) {
  const GroupView *View = this->Views.find(ServiceName(Query.service()));
  if (View && this->Registry.watches(View->Service))
    this->Network.send(From, encodeView(*View, steadyNow()));
}

void ViewExchange::onUpdate(const peer::GroupViewUpdate &Update) {
  GroupView View = decodeView(Update, steadyNow());
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
