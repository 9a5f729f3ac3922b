#include "root/relay/RelayPeers.h"

#include "core/BootClock.h"
#include "root/relay/QuotaCodec.h"
#include "root/relay/RelayCodec.h"
#include "root/telemetry/Log.h"

#include <algorithm>

namespace amaranthspur {

RelayPeers::RelayPeers(EntryVmId Self, DataCentre Location,
                       std::vector<DataCentre> Others, Platform &Store,
                       Metrics &Counters)
    : Self(std::move(Self)), Location(std::move(Location)),
      Others(std::move(Others)), Store(Store), Counters(Counters) {}

void RelayPeers::setActive(zmq::context_t &Context, bool Wanted) {
  if (this->Active == Wanted)
    return;
  if (Wanted)
    this->start(Context);
  else
    this->end();
}

void RelayPeers::end() {
  this->Active = false;
  for (const auto &[Where, P] : this->Peers) {
    P->Ended = true;
    if (P->Link)
      P->Link->close();
    P->Wake.wake();
  }
  this->Peers.clear();
}

void RelayPeers::start(zmq::context_t &Context) {
  this->Active = true;
  for (const DataCentre &Where : this->Others) {
    const auto P = std::make_shared<Peer>();
    P->Location = Where;
    this->Peers[Where] = P;
    this->run(P, Context);
  }
}

QCoro::Task<> RelayPeers::stop(TimePoint Deadline) {
  this->end();
  co_await this->Tasks.waitUntilEmpty(Deadline);
}

std::vector<RemoteForwarders> RelayPeers::remoteForwarders() const {
  std::vector<RemoteForwarders> Out;
  for (const auto &[Where, P] : this->Peers) {
    const std::vector<ForwarderVm> *Known = P->Contact.forwarders(steadyNow());
    if (Known)
      Out.push_back({Where, P->Contact.row().Token, *Known});
  }
  return Out;
}

std::optional<relay::ExchangeReply>
RelayPeers::answer(const relay::ExchangeRequest &Asked,
                   const std::string &Sender) {
  const DataCentre From(Asked.data_centre());
  if (std::find(this->Others.begin(), this->Others.end(), From) ==
      this->Others.end())
    return std::nullopt;
  const auto Known = this->Peers.find(From);
  if (Known != this->Peers.end())
    Known->second->Contact.observeForwarders(
        EntryVmId(Sender), forwardersOf(Asked.forwarders()), steadyNow());
  relay::ExchangeReply Reply;
  Reply.set_data_centre(this->Location.str());
  *Reply.mutable_forwarders() = toMessages(this->Own);
  const std::optional<QuotaLoanRequest> Wanted = loanRequestOf(Asked, Sender);
  if (Wanted && this->Quotas)
    addLoans(Reply, this->Quotas->lend(*Wanted));
  return Reply;
}

// --- Task of one data centre -------------------------------------------------

QCoro::Task<> RelayPeers::run(std::shared_ptr<Peer> P,
                              zmq::context_t &Context) {
  const TaskGroup::Guard Guard(this->Tasks);
  while (!P->Ended) {
    this->updateReached(*P);
    const ContactStep Step = P->Contact.step(steadyNow(), this->mayBorrow());
    if (Step == ContactStep::ReadRow) {
      co_await this->readRow(P);
      continue;
    }
    if (Step == ContactStep::Wait) {
      co_await P->Wake.wait(P->Contact.nextStepAt(this->mayBorrow()));
      continue;
    }
    std::optional<QuotaLoanRequest> Wanted;
    if (this->mayBorrow() && P->Contact.isResponsive())
      Wanted = this->Quotas->makeLoanRequest(P->Location);
    if (Step == ContactStep::Exchange || Wanted)
      co_await this->exchange(P, Context, std::move(Wanted));
    else
      P->Contact.observeNothingWanted(steadyNow());
  }
}

QCoro::Task<> RelayPeers::readRow(std::shared_ptr<Peer> P) {
  P->Contact.observeRowRead(steadyNow());
  const Result<TableRow> R = co_await this->Store.readRow(
      relayRowKey(P->Location), steadyNow() + RowTimeout);
  if (P->Ended || !succeeded(R))
    co_return;
  const TableRow &Seen = valueOf(R);
  const Result<RelayRow> Decoded = decodeRelayRow(Seen.Value, Seen.Version);
  // A malformed row names no relay.
  RelayRow Row;
  Row.Version = Seen.Version;
  this->observeRow(*P, succeeded(Decoded) ? valueOf(Decoded) : Row);
}

QCoro::Task<> RelayPeers::exchange(std::shared_ptr<Peer> P,
                                   zmq::context_t &Context,
                                   std::optional<QuotaLoanRequest> Wanted) {
  const RelayRow To = P->Contact.row();
  if (!P->Link)
    P->Link = std::make_shared<RelayLink>(Context, To.Address);
  const std::shared_ptr<RelayLink> Link = P->Link;
  relay::Request Message;
  Message.set_token(To.Token);
  Message.set_sender(this->Self.str());
  relay::ExchangeRequest *Asked = Message.mutable_exchange();
  Asked->set_data_centre(this->Location.str());
  *Asked->mutable_forwarders() = toMessages(this->Own);
  if (Wanted)
    addLoanRequest(*Asked, *Wanted);
  P->Contact.observeRequest(steadyNow());
  const TimePoint SentAt = bootNow();
  const std::optional<relay::Reply> Reply =
      co_await Link->request(std::move(Message), steadyNow() + ExchangeTimeout);
  const ExchangeResult Outcome = this->applyReply(*P, Reply);
  // Loans that arrive after the end of the role are not used.
  if (Wanted && Outcome == ExchangeResult::Answered && !P->Ended)
    this->Quotas->applyLoans(P->Location, loansOf(Reply->exchange()), SentAt);
  else if (Wanted)
    this->Quotas->abandonLoanRequest(P->Location);
}

ExchangeResult
RelayPeers::applyReply(Peer &P, const std::optional<relay::Reply> &Reply) {
  ExchangeResult Outcome = ExchangeResult::Unanswered;
  if (Reply)
    Outcome = Reply->has_exchange() &&
                      Reply->exchange().data_centre() == P.Location.str()
                  ? ExchangeResult::Answered
                  : ExchangeResult::Rejected;
  if (P.Ended)
    return Outcome;
  this->Counters.add(Counter::RelayExchanges, nameOf(Outcome));
  if (Outcome == ExchangeResult::Answered) {
    P.Contact.observeAnswer(forwardersOf(Reply->exchange().forwarders()),
                            steadyNow());
    return Outcome;
  }
  P.Contact.observeFailure();
  // A new link does not send what the old one still has queued; the wishes in
  // it are outdated.
  P.Link.reset();
  if (Reply && Reply->not_relay().has_replacement()) {
    const Result<RelayRow> Next = relayRowOf(Reply->not_relay().replacement());
    if (succeeded(Next))
      this->observeRow(P, valueOf(Next));
  }
  return Outcome;
}

void RelayPeers::observeRow(Peer &P, const RelayRow &Seen) {
  const RelayRow Former = P.Contact.row();
  const bool IsNew = P.Contact.observeRow(Seen, steadyNow());
  if (!IsNew)
    return;
  P.Link.reset();
  P.Reached = false;
  if (!Former.Vm.empty())
    log(LogLevel::Info, LogEvent::RelayPeerReplaced,
        {{"data_centre", P.Location.str()},
         {"former", Former.Vm.str()},
         {"relay", Seen.Vm.empty() ? "none" : Seen.Vm.str()},
         {"address", Seen.Address.empty() ? "none" : Seen.Address},
         {"row_version", Seen.Version.str()}});
}

void RelayPeers::updateReached(Peer &P) {
  const bool Reached = P.Contact.isReached(steadyNow());
  if (Reached == P.Reached)
    return;
  P.Reached = Reached;
  log(Reached ? LogLevel::Info : LogLevel::Warning,
      Reached ? LogEvent::RelayPeerReached : LogEvent::RelayPeerLost,
      {{"data_centre", P.Location.str()},
       {"relay", P.Contact.row().Vm.str()},
       {"address", P.Contact.row().Address}});
}

} // namespace amaranthspur
