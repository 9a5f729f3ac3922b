#include "root/relay/ReadForwarder.h"

#include "root/relay/ReadCodec.h"

#include <algorithm>

namespace amaranthspur {

void ReadForwarder::setForwarders(zmq::context_t &Context,
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
      Kept[F.Vm].Link = std::make_shared<RelayLink>(Context, F.Address);
    Kept[F.Vm].Who = F;
  }
  // Requests over a link that is left out keep it until they end.
  this->Targets = std::move(Kept);
}

void ReadForwarder::close() {
  for (auto &[Vm, T] : this->Targets)
    T.Link->close();
  this->Targets.clear();
  this->Forwarders.clear();
}

const ForwarderVm *ReadForwarder::chosen(const ServiceName &Service,
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
        steadyNow() >= Found->second.AvoidedUntil)
      return &*Listed;
  }
  return nullptr;
}

const ReadForwarder::Target *
ReadForwarder::targetOf(const ServiceName &Service,
                        const WorkspaceName &Of) const {
  const ForwarderVm *Chosen = this->chosen(Service, Of);
  if (!Chosen || Chosen->Vm == this->Self)
    return nullptr;
  return &this->Targets.find(Chosen->Vm)->second;
}

bool ReadForwarder::isHome(const ServiceName &Service,
                           const WorkspaceName &Of) const {
  const ForwarderVm *Chosen = this->chosen(Service, Of);
  return Chosen && Chosen->Vm == this->Self;
}

bool ReadForwarder::isForwarded(const ServiceName &Service,
                                const WorkspaceName &Of) const {
  return this->targetOf(Service, Of) != nullptr;
}

QCoro::Task<std::optional<ForwardedAnswer>>
ReadForwarder::forward(ForwardedRead Read) {
  const Target *Chosen = this->targetOf(Read.Service, Read.Workspace);
  if (!Chosen)
    co_return std::nullopt;
  const EntryVmId Vm = Chosen->Who.Vm;
  const std::shared_ptr<RelayLink> Link = Chosen->Link;
  relay::Request Message;
  Message.set_token(this->Token);
  Message.set_sender(this->Self.str());
  *Message.mutable_read() = toMessage(Read);
  const std::optional<relay::Reply> Reply = co_await Link->requestPatiently(
      std::move(Message), steadyNow() + Read.Remaining, Patience);
  if (Reply && Reply->has_read()) {
    Result<ForwardedAnswer> Given = forwardedAnswerOf(Reply->read());
    if (succeeded(Given)) {
      valueOf(Given).Forwarder = Vm;
      co_return std::optional<ForwardedAnswer>(valueOf(std::move(Given)));
    }
  }
  const auto Found = this->Targets.find(Vm);
  if (Found != this->Targets.end())
    Found->second.AvoidedUntil = steadyNow() + AvoidTime;
  co_return std::nullopt;
}

} // namespace amaranthspur
