#include "root/relay/StatementForwarder.h"

#include "core/BootClock.h"
#include "root/relay/StatementCodec.h"

#include <algorithm>

namespace amaranthspur {

void StatementForwarder::setForwarders(zmq::context_t &Context,
                                       std::vector<ForwarderVm> Wanted,
                                       const std::string &NewToken) {
  this->Token = NewToken;
  if (Wanted == this->Forwarders)
    return;
  this->Forwarders = std::move(Wanted);
  std::map<EntryVmId, Target> Kept;
  for (const ForwarderVm &F : this->Forwarders) {
    if (F.Vm == this->Self)
      continue;
    const auto Known = this->Targets.find(F.Vm);
    if (Known != this->Targets.end() && Known->second.Who.Address == F.Address)
      Kept[F.Vm] = Known->second;
    else
      Kept[F.Vm].Link = std::make_shared<RelayLink>(
          Context, F.Address, LinkQueueing::WhenConnected);
    Kept[F.Vm].Who = F;
  }
  // Requests over a link that is left out keep it until they end.
  this->Targets = std::move(Kept);
}

void StatementForwarder::setRemoteForwarders(
    zmq::context_t & /*Context*/, std::vector<RemoteForwarders> Others) {
  this->Remote = std::move(Others);
}

void StatementForwarder::close() {
  this->Remote.clear();
  for (auto &[Vm, T] : this->Targets)
    T.Link->close();
  this->Targets.clear();
  this->Forwarders.clear();
}

const ForwarderVm *StatementForwarder::chosen(const ServiceName &Service,
                                              const WorkspaceName &Of) const {
  std::size_t Considered = 0;
  for (const ForwarderVm &F : forwarderOrder(this->Forwarders, Service, Of)) {
    const auto Listed =
        std::find(this->Forwarders.begin(), this->Forwarders.end(), F);
    if (F.Vm == this->Self)
      return &*Listed;
    if (Considered++ >= MaxCandidates)
      return nullptr;
    const auto Found = this->Targets.find(F.Vm);
    if (Found != this->Targets.end() &&
        steadyNow() >= Found->second.AvoidedUntil &&
        Found->second.Link->canSend())
      return &*Listed;
  }
  return nullptr;
}

const StatementForwarder::Target *
StatementForwarder::targetOf(const ServiceName &Service,
                             const WorkspaceName &Of) const {
  const ForwarderVm *Chosen = this->chosen(Service, Of);
  if (!Chosen || Chosen->Vm == this->Self)
    return nullptr;
  return &this->Targets.find(Chosen->Vm)->second;
}

bool StatementForwarder::isHome(const ServiceName &Service,
                                const WorkspaceName &Of) const {
  const ForwarderVm *Chosen = this->chosen(Service, Of);
  return Chosen && Chosen->Vm == this->Self;
}

bool StatementForwarder::isForwarded(const ServiceName &Service,
                                     const WorkspaceName &Of) const {
  return this->targetOf(Service, Of) != nullptr;
}

QCoro::Task<ForwardResult>
StatementForwarder::forward(ForwardedStatement Given) {
  ForwardResult Out;
  const Target *Chosen = this->targetOf(Given.Service, Given.Workspace);
  if (!Chosen)
    co_return Out;
  const EntryVmId Vm = Chosen->Who.Vm;
  const std::shared_ptr<RelayLink> Link = Chosen->Link;
  Given.SentAt = bootNow().time_since_epoch();
  relay::Request Message;
  Message.set_token(this->Token);
  Message.set_sender(this->Self.str());
  *Message.mutable_read() = toMessage(Given);
  const Duration Wait = Given.isWrite() ? Given.Remaining : Patience;
  const std::optional<relay::Reply> Reply = co_await Link->requestPatiently(
      std::move(Message), steadyNow() + Given.Remaining, Wait);
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
      Out.Given.Forwarder = Vm;
      co_return Out;
    }
  }
  // A forwarder rejects what it has not begun to run.
  if (Reply && Reply->has_not_relay())
    Out.Fate = ForwardFate::NotRun;
  this->avoid(Vm);
  co_return Out;
}

void StatementForwarder::avoid(const EntryVmId &Vm) {
  const auto Found = this->Targets.find(Vm);
  if (Found != this->Targets.end())
    Found->second.AvoidedUntil = steadyNow() + AvoidTime;
}

} // namespace amaranthspur
