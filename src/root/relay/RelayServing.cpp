// The part of Relay that answers other entry VMs.
#include "root/relay/Relay.h"

#include "core/BootClock.h"
#include "root/relay/QuotaCodec.h"
#include "root/relay/RelayCodec.h"
#include "root/relay/StatementCodec.h"
#include "root/telemetry/Log.h"
#include "wire/ByteStream.h"

#include <algorithm>

namespace amaranthspur {
namespace {

/// Returns the position that \p Asked holds of \p Table, or null if it does not
/// name the table.
const relay::TablePosition *positionOf(const relay::SyncRequest &Asked,
                                       WatchedTable Table) {
  for (const relay::TablePosition &Held : Asked.tables())
    if (Held.table() == static_cast<std::uint32_t>(Table))
      return &Held;
  return nullptr;
}

/// Returns the version that \p Held tells. One without an era comes from a
/// build that knows none, and counts as one of the era of \p Own.
StoreVersion heldVersion(const relay::TablePosition &Held, StoreVersion Own) {
  return StoreVersion(Held.version(), Held.has_era() ? Held.era() : Own.era());
}

} // namespace

void Relay::updateFollowers() {
  std::erase_if(this->Followers, [](const auto &Entry) {
    return steadyNow() - Entry.second.LastRequest > FollowerTimeout;
  });
  this->updateForwarders();
  this->Counters.set(Gauge::RelayFollowers,
                     static_cast<double>(this->Followers.size()));
  if (this->Quotas)
    this->Quotas->shareAmong((this->Followers.size() + 1) *
                             this->Options.DataCentres);
  if (this->Board)
    this->Board->setEntryVms((this->Followers.size() + 1) *
                             this->Options.DataCentres);
}

void Relay::updateForwarders() {
  std::vector<ForwarderVm> Candidates;
  for (const auto &[Name, F] : this->Followers)
    if (!F.Self.Address.empty() &&
        steadyNow() - F.LastRequest <= ForwarderTimeout)
      Candidates.push_back(F.Self);
  this->Forwarders = chooseForwarders(std::move(Candidates));
  this->Peers.setOwnForwarders(this->Forwarders);
  this->applyForwarders(this->Forwarders, this->Peers.remoteForwarders());
}

void Relay::onRequest(const RelayListener::Peer &From,
                      const relay::Request &Asked) {
  relay::Reply Answer;
  Answer.set_correlation(Asked.correlation());
  if (this->Stopping && !Asked.has_read())
    return;
  const bool KnowsToken = Asked.token() == this->row().Token;
  if (KnowsToken && Asked.has_read() && this->acceptStatement(From, Asked))
    return;
  if (!this->isRelay() || !KnowsToken || Asked.has_read()) {
    *Answer.mutable_not_relay() = this->makeRejection(Asked.token());
    this->Listener.reply(From, Answer);
    return;
  }
  if (Asked.has_replacement()) {
    const bool Accepted = this->observeReplacement(Asked.replacement());
    if (Accepted) {
      this->updateAllocation();
      *Answer.mutable_not_relay() = this->makeRejection(Asked.token());
      this->Listener.reply(From, Answer);
    }
    return;
  }
  if (Asked.has_exchange()) {
    this->answerExchange(From, Asked);
    return;
  }
  if (this->Followers.size() < MaxFollowers) {
    FollowerState &F = this->Followers[Asked.sender()];
    F.LastRequest = steadyNow();
    if (Asked.has_sync()) {
      const bool IsValid = succeeded(parseAddress(Asked.sync().address()));
      F.Self = {EntryVmId(Asked.sender()),
                IsValid ? Asked.sync().address() : std::string(),
                Asked.sync().cpu_percent()};
    }
  }
  if (Asked.has_proof()) {
    this->serveProof(From, Asked.correlation(), Asked.proof());
    return;
  }
  *Answer.mutable_sync() = this->makeSyncReply(Asked.sync());
  const std::optional<QuotaRequest> Quota =
      quotaRequestOf(Asked.sync(), Asked.sender());
  if (Quota && this->Quotas)
    addQuotas(*Answer.mutable_sync(), this->Quotas->lease(*Quota));
  this->Listener.reply(From, Answer);
}

void Relay::answerExchange(const RelayListener::Peer &From,
                           const relay::Request &Asked) {
  relay::Reply Answer;
  Answer.set_correlation(Asked.correlation());
  const std::optional<relay::ExchangeReply> Given =
      this->Peers.answer(Asked.exchange(), Asked.sender());
  if (Given)
    *Answer.mutable_exchange() = *Given;
  else
    Answer.mutable_not_relay();
  this->Listener.reply(From, Answer);
}

bool Relay::acceptStatement(const RelayListener::Peer &From,
                            const relay::Request &Asked) {
  Result<ForwardedStatement> Decoded = forwardedStatementOf(Asked.read());
  if (!succeeded(Decoded) || !this->Statements || this->Leaving ||
      this->Stopping || this->Tasks.size() >= MaxServed)
    return false;
  ForwardedStatement Given = valueOf(std::move(Decoded));
  const std::optional<Duration> Delay =
      this->Delays.observe(From, Given.SentAt, bootNow());
  if (Given.isWrite() && (!Delay || *Delay > MaxWriteDelay)) {
    this->Counters.add(Counter::HomeStatements, "refused");
    log(LogLevel::Info, LogEvent::ForwardRefused,
        {{"id", Given.Query.Id},
         {"service", Given.Service.str()},
         {"sender", Asked.sender()},
         {"why", Delay ? "delayed" : "first request of the connection"},
         {"delay_ms", Delay ? *Delay / milliseconds(1) : 0}});
    relay::Reply Answer;
    Answer.set_correlation(Asked.correlation());
    Answer.mutable_read()->set_not_run(true);
    this->Listener.reply(From, Answer);
    return true;
  }
  Given.Remaining -= std::min(Given.Remaining, Delay.value_or(Duration(0)));
  this->serveStatement(From, Asked.correlation(), std::move(Given));
  return true;
}

relay::Replacement Relay::makeReplacement() const {
  relay::Replacement Message;
  Message.set_row_version(this->row().Version.number());
  Message.set_row_era(this->row().Version.era());
  Message.set_relay(this->row().Vm.str());
  Message.set_address(this->row().Address);
  Message.set_token(this->row().Token);
  return Message;
}

relay::NotRelay Relay::makeRejection(const std::string &Token) const {
  relay::NotRelay Message;
  const bool Followed =
      !this->ServedRow.Token.empty() && Token == this->ServedRow.Token;
  if (Followed && this->row().Version > this->ServedRow.Version &&
      !this->row().Vm.empty())
    *Message.mutable_replacement() = this->makeReplacement();
  return Message;
}

bool Relay::observeReplacement(const relay::Replacement &Message) {
  const Result<RelayRow> Valid = relayRowOf(Message);
  if (!succeeded(Valid) || valueOf(Valid).Version <= this->row().Version)
    return false;
  this->observeRow(valueOf(Valid));
  this->Wake.wake();
  return true;
}

relay::SyncReply Relay::makeSyncReply(const relay::SyncRequest &Asked) {
  const TimePoint ReceivedAt = bootNow();
  relay::SyncReply Reply;
  Reply.set_entry_vms(static_cast<std::uint32_t>(this->Followers.size() + 1));
  Reply.set_leaving(this->Leaving);
  *Reply.mutable_forwarders() = toMessages(this->Forwarders);
  for (const RemoteForwarders &R : this->Peers.remoteForwarders())
    *Reply.add_remote_forwarders() = toMessage(R);
  for (const WatchedTable Table : Tables)
    this->addChanges(Reply, Table, positionOf(Asked, Table), ReceivedAt);
  if (!this->Board)
    return Reply;
  const int Services = std::min(Asked.services_size(), MaxServices);
  for (int I = 0; I < Services; ++I)
    this->addEvidence(Reply, ServiceName(Asked.services(I)), ReceivedAt);
  const int Suspects = std::min(Asked.suspects_size(), MaxServices);
  for (int I = 0; I < Suspects; ++I) {
    const ServiceName Service(Asked.suspects(I));
    this->Board->suspect(Service);
    this->addEvidence(Reply, Service, ReceivedAt);
  }
  return Reply;
}

void Relay::addEvidence(relay::SyncReply &Reply, const ServiceName &Service,
                        TimePoint ReceivedAt) {
  const std::optional<GroupEvidence> Known =
      this->Board->shareEvidence(Service);
  if (Known)
    *Reply.add_evidence() = toMessage(*Known, ReceivedAt);
}

void Relay::addChanges(relay::SyncReply &Reply, WatchedTable Table,
                       const relay::TablePosition *Held, TimePoint ReceivedAt) {
  const RowCache &Cache = this->Feed.cache(Table);
  if (!Held || !Cache.isKnown())
    return;
  WatchedRows Rows;
  Rows.HistoryLost = true;
  if (Held->known())
    Rows = Cache.changesAfter(heldVersion(*Held, Cache.version()));
  const bool Complete = Rows.HistoryLost;
  if (Complete)
    Rows = Cache.all();
  relay::TableChanges *Changes = Reply.add_tables();
  Changes->set_table(static_cast<std::uint32_t>(Table));
  Changes->set_complete(Complete);
  Changes->set_version(Rows.Version.number());
  Changes->set_era(Rows.Version.era());
  Changes->set_contact_age_us(
      (ReceivedAt - this->Feed.contactAt(Table)).count());
  for (const WatchedRow &Row : Rows.Rows) {
    if (Row.Value.size() <= CompressionThreshold) {
      *Changes->add_rows() = toMessage(Row);
      continue;
    }
    EncodedRow &Encoded = this->EncodedRows[{Table, Row.Key}];
    if (Encoded.Version != Row.Version)
      Encoded = {Row.Version, toMessage(Row)};
    *Changes->add_rows() = Encoded.Message;
  }
}

QCoro::Task<> Relay::serveProof(RelayListener::Peer From,
                                std::uint64_t Correlation,
                                relay::ProofRequest Asked) {
  if (this->Tasks.size() > MaxServed || !this->Board)
    co_return;
  const TaskGroup::Guard Guard(this->Tasks);
  const Duration Limit = std::clamp(Duration(Asked.timeout_us()),
                                    Duration::zero(), Duration(SyncTimeout));
  const bool Proved = co_await this->Board->prove(
      ServiceName(Asked.service()), Asked.term(), steadyNow() + Limit);
  relay::Reply Answer;
  Answer.set_correlation(Correlation);
  Answer.mutable_proof()->set_proved(Proved);
  this->Listener.reply(From, Answer);
}

QCoro::Task<> Relay::serveStatement(RelayListener::Peer From,
                                    std::uint64_t Correlation,
                                    ForwardedStatement Asked) {
  const TaskGroup::Guard Guard(this->Tasks);
  const std::optional<ForwardedAnswer> Given =
      co_await this->Statements->run(std::move(Asked));
  this->Counters.add(Counter::HomeStatements, Given ? "answered" : "rejected");
  relay::Reply Answer;
  Answer.set_correlation(Correlation);
  if (Given)
    *Answer.mutable_read() = toMessage(*Given);
  else
    Answer.mutable_not_relay();
  this->Listener.reply(From, Answer);
}

} // namespace amaranthspur
