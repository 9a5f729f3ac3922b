#include "root/relay/StatementForwarder.h"

#include "core/BootClock.h"
#include "root/relay/StatementCodec.h"

#include <algorithm>

namespace amaranthspur {
namespace {

/// Returns the time that a round trip to a forwarder takes longer than one
/// within a data centre: 16 ms between regions and 2 ms between data centres of
/// a region, and as much again for a link in use.
constexpr Duration extraRoundTrip(Distance Away) {
  switch (Away) {
  case Distance::SameDataCentre:
    return Duration::zero();
  case Distance::SameRegion:
    return milliseconds(4);
  case Distance::OtherRegion:
    return milliseconds(32);
  }
  return Duration::zero();
}

} // namespace

void StatementForwarder::setForwarders(zmq::context_t &Context,
                                       std::vector<ForwarderVm> Wanted,
                                       const std::string &NewToken) {
  this->Context = &Context;
  if (Wanted == this->Choice.own() && NewToken == this->Token)
    return;
  this->Token = NewToken;
  this->Choice.setOwn(std::move(Wanted));
  this->updateTargets();
}

void StatementForwarder::setRemoteForwarders(
    zmq::context_t &Context, std::vector<RemoteForwarders> Others) {
  this->Context = &Context;
  if (Others == this->Choice.remote())
    return;
  this->Choice.setRemote(std::move(Others));
  this->updateTargets();
}

void StatementForwarder::updateTargets() {
  std::map<EntryVmId, Target> Kept;
  for (const ForwarderVm &F : this->Choice.own())
    this->keepTarget(Kept, F, this->Token, Distance::SameDataCentre);
  for (const RemoteForwarders &R : this->Choice.remote())
    for (const ForwarderVm &F : R.Forwarders)
      this->keepTarget(Kept, F, R.Token, this->Where.distanceTo(R.Location));
  // Requests over a link that is left out keep it until they end.
  this->Targets = std::move(Kept);
}

void StatementForwarder::keepTarget(std::map<EntryVmId, Target> &Kept,
                                    const ForwarderVm &Who,
                                    const std::string &OfToken,
                                    Distance Away) const {
  if (Who.Vm == this->Self || Kept.count(Who.Vm) != 0)
    return;
  Target &T = Kept[Who.Vm];
  const auto Known = this->Targets.find(Who.Vm);
  if (Known != this->Targets.end() && Known->second.Who.Address == Who.Address)
    T = Known->second;
  // A forwarder that rejected the former token is tried again.
  if (Away != Distance::SameDataCentre && T.Token != OfToken)
    T.AvoidedUntil = TimePoint();
  T.Who = Who;
  T.Token = OfToken;
  T.Away = Away;
  if (!T.Link && Away == Distance::SameDataCentre)
    T.Link = this->openLink(Who);
}

std::shared_ptr<RelayLink>
StatementForwarder::openLink(const ForwarderVm &Who) const {
  return std::make_shared<RelayLink>(*this->Context, Who.Address,
                                     LinkQueueing::WhenConnected);
}

void StatementForwarder::close() {
  for (auto &[Vm, T] : this->Targets)
    if (T.Link)
      T.Link->close();
  this->Targets.clear();
  this->Choice.setOwn({});
  this->Choice.setRemote({});
}

std::size_t StatementForwarder::remoteLinks() const {
  return static_cast<std::size_t>(std::count_if(
      this->Targets.begin(), this->Targets.end(), [](const auto &Entry) {
        return Entry.second.Link &&
               Entry.second.Away != Distance::SameDataCentre;
      }));
}

bool StatementForwarder::isUsable(Target &T) const {
  if (steadyNow() < T.AvoidedUntil)
    return false;
  if (!T.Link)
    T.Link = this->openLink(T.Who);
  return T.Link->canSend();
}

std::optional<EntryVmId> StatementForwarder::chosen(const HomeQuery &Query) {
  for (EntryVmId &Vm : this->Choice.candidates(Query)) {
    if (Vm == this->Self)
      return std::move(Vm);
    const auto Found = this->Targets.find(Vm);
    if (Found != this->Targets.end() && this->isUsable(Found->second))
      return std::move(Vm);
  }
  return std::nullopt;
}

HomePlace StatementForwarder::homeOf(const HomeQuery &Query) {
  const std::optional<EntryVmId> Home = this->chosen(Query);
  if (!Home)
    return HomePlace::None;
  return Home == this->Self ? HomePlace::ThisVm : HomePlace::OtherVm;
}

QCoro::Task<ForwardResult>
StatementForwarder::forward(HomeQuery Query, ForwardedStatement Given) {
  ForwardResult Out;
  const std::optional<EntryVmId> Home = this->chosen(Query);
  if (!Home || Home == this->Self)
    co_return Out;
  const Target &Chosen = this->Targets.at(*Home);
  const std::shared_ptr<RelayLink> Link = Chosen.Link;
  const Duration Extra = extraRoundTrip(Chosen.Away);
  const TimePoint Deadline = steadyNow() + Given.Remaining;
  const Duration Wait = Given.isWrite() ? Given.Remaining : Patience + Extra;
  // The home counts its times from the arrival of the request, and its answer
  // is under way for half of the round trip.
  if (Given.Remaining <= Extra)
    co_return Out;
  Given.Remaining -= Extra;
  for (Duration *Limit : {&Given.DispatchIn, &Given.QueuedDispatchIn})
    *Limit -= std::clamp(*Limit, Duration::zero(), Duration(Extra / 2));
  Given.SentAt = bootNow().time_since_epoch();
  relay::Request Message;
  Message.set_token(Chosen.Token);
  Message.set_sender(this->Self.str());
  *Message.mutable_read() = toMessage(Given);
  const std::optional<relay::Reply> Reply =
      co_await Link->requestPatiently(std::move(Message), Deadline, Wait);
  Out.Fate = ForwardFate::Unknown;
  if (Reply && Reply->has_read() && Reply->read().not_run()) {
    // The home measures the delay of the next request; it is not at fault.
    Out.Fate = ForwardFate::NotRun;
    co_return Out;
  }
  if (Reply && Reply->has_read()) {
    Result<ForwardedAnswer> Decoded = forwardedAnswerOf(Reply->read());
    if (succeeded(Decoded)) {
      Out.Fate = ForwardFate::Answered;
      Out.Given = valueOf(std::move(Decoded));
      Out.Given.Forwarder = *Home;
      co_return Out;
    }
  }
  // A forwarder rejects what it has not begun to run.
  if (Reply && Reply->has_not_relay())
    Out.Fate = ForwardFate::NotRun;
  this->avoid(*Home, Link);
  co_return Out;
}

void StatementForwarder::avoid(const EntryVmId &Vm,
                               const std::shared_ptr<RelayLink> &Used) {
  const auto Found = this->Targets.find(Vm);
  if (Found == this->Targets.end() || Found->second.Link != Used)
    return;
  Target &T = Found->second;
  T.AvoidedUntil = steadyNow() + AvoidTime;
  // An established connection to a machine that is cut off accepts requests,
  // and after AvoidTime further statements would be lost. A new one accepts
  // them only once the forwarder has answered its handshake.
  if (T.Away != Distance::SameDataCentre)
    T.Link = this->openLink(T.Who);
}

} // namespace amaranthspur
