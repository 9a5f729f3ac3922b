#include "root/relay/Relay.h"

#include "core/BootClock.h"
#include "root/relay/QuotaCodec.h"
#include "root/relay/RelayCodec.h"
#include "root/telemetry/Log.h"

#include <algorithm>

namespace amaranthspur {
namespace {

/// One thread moves the bytes of all peers.
constexpr int IoThreads = 1;

std::string randomToken(Random &Rng) {
  constexpr unsigned Words = 4;
  std::string Token;
  for (unsigned I = 0; I < Words; ++I)
    Token += QString::number(Rng.below(1ULL << 32U), 16)
                 .rightJustified(8, '0')
                 .toStdString();
  return Token;
}

std::vector<DataCentre> otherDataCentres(const RelayOptions &Options) {
  std::vector<DataCentre> Others;
  for (const auto &[Location, In] : Options.Regions)
    if (Location != Options.Location)
      Others.push_back(Location);
  return Others;
}

} // namespace

Relay::Relay(RelayOptions Given, Platform &Store, RelayedFeed &Feed,
             Random &Rng, Metrics &Counters, StoreReturns &Returns)
    : Options(std::move(Given)), Store(Store), Feed(Feed), Rng(Rng),
      Counters(Counters), Returns(Returns),
      Election(this->Options.Self, this->Options.CpuShare,
               this->Options.MaxContactAge),
      Peers(this->Options.Self, this->Options.Location,
            otherDataCentres(this->Options), Store, Counters),
      OwnStatements(this->Options.Self,
                    {this->Options.Location, this->Options.Regions}) {}

Relay::~Relay() = default;

// --- Child -------------------------------------------------------------------

QCoro::Task<Result<Success>> Relay::start() {
  this->Stopping = false;
  if (this->Options.ListenAddress.empty()) {
    this->Feed.setSource(FeedSource::Store, false);
  } else {
    this->Context = std::make_unique<zmq::context_t>(IoThreads);
    this->listen();
    this->run();
  }
  const Result<Success> Started = Success();
  co_return Started;
}

QCoro::Task<> Relay::stop(TimePoint Deadline) {
  this->Stopping = true;
  this->Feed.setSource(FeedSource::Store, false);
  this->OwnStatements.close();
  if (std::exchange(this->Allocates, false))
    this->Quotas->endAllocation();
  if (this->Link)
    this->Link->close();
  this->Wake.wake();
  co_await this->Peers.stop(Deadline);
  // Statements that run here for others get their answers.
  co_await this->Tasks.waitUntilEmpty(Deadline);
  this->Listener.close();
  this->Listening = false;
}

void Relay::leave() {
  this->Leaving = true;
  if (this->Quotas)
    this->Quotas->prepareEnd();
}

void Relay::observeReturn() {
  if (this->Allocates)
    this->Quotas->withdrawAuthority();
  this->Wake.wake();
}

bool Relay::mayMissRelay() const {
  const std::optional<TimePoint> At = this->Returns.history().returnedAt();
  return At && bootNow() - *At < LostRelayPeriod;
}

QCoro::Task<> Relay::run() {
  const TaskGroup::Guard Guard(this->Tasks);
  this->Election.start(steadyNow(), this->Rng);
  while (!this->Stopping) {
    this->applyRole();
    const std::optional<TimePoint> ClaimAt = this->Election.claimAt();
    if (ClaimAt && steadyNow() >= *ClaimAt) {
      if (this->Election.claimStep() == ClaimStep::Read)
        co_await this->readRow();
      else
        co_await this->claim();
      continue;
    }
    TimePoint Next = ClaimAt.value_or(NoDeadline);
    if (this->role() == RelayRole::Follower) {
      co_await this->synchronise();
      const Duration Interval =
          this->Election.awaitsFirstAnswer() ? MinSyncSpacing : SyncInterval;
      Next = std::min(this->Election.claimAt().value_or(NoDeadline),
                      this->LastSync + Interval);
    } else if (this->role() == RelayRole::Relay) {
      this->updateFollowers();
      co_await this->confirmAuthority();
      const bool Verify = this->Election.takeVerification(steadyNow());
      if (Verify || this->isRowOutdated())
        co_await this->readRow();
      Next = steadyNow() + RelayInterval;
    }
    if (!this->Stopping && steadyNow() < Next)
      co_await this->Wake.wait(Next);
  }
}

// --- Election ----------------------------------------------------------------

QCoro::Task<> Relay::claim() {
  RelayRow Own;
  Own.Vm = this->Options.Self;
  Own.Address = this->Options.ListenAddress;
  Own.Token = randomToken(this->Rng);
  this->ClaimedTokens.insert(Own.Token);
  const std::string Operation = this->Options.Self.str() + "/" + Own.Token +
                                "/" + std::to_string(++this->Operations);
  const RelayRow Former = this->row();
  this->RowAskedAt = bootNow();
  const Result<CasOutcome> R = co_await this->Store.compareAndSet(
      relayRowKey(this->Options.Location), Former.Version, encodeRelayRow(Own),
      Operation, steadyNow() + ClaimTimeout);
  if (this->Stopping)
    co_return;
  this->RowWasNew = succeeded(R) && valueOf(R).Applied &&
                    !Former.Version.exists() && !this->mayMissRelay();
  if (succeeded(R))
    this->observeRow(valueOf(R).Current);
  else
    this->Election.observeStoreFailure(steadyNow(), this->Rng);
  this->applyRole();
  const bool Replaced =
      succeeded(R) && valueOf(R).Applied && !Former.Vm.empty();
  if (Replaced && Former.Vm != this->Options.Self)
    this->announceReplacement(Former);
  else if (Replaced && this->Quotas && !this->mayMissRelay())
    this->Quotas->formerAllocatorEnded();
}

QCoro::Task<> Relay::announceReplacement(RelayRow Former) {
  const TaskGroup::Guard Guard(this->Tasks);
  relay::Request Message = this->makeRequest(Former);
  *Message.mutable_replacement() = this->makeReplacement();
  const StoreVersion Replacement = this->row().Version;
  const auto To = std::make_shared<RelayLink>(*this->Context, Former.Address);
  // A suspended relay reads the message when it wakes, if the connection was
  // made before.
  const std::optional<relay::Reply> Reply =
      co_await To->request(std::move(Message), steadyNow() + ClaimTimeout);
  // The former relay has accepted the replacement, or another process runs at
  // its address.
  if (Reply && this->Quotas && this->row().Version == Replacement &&
      !this->mayMissRelay())
    this->Quotas->formerAllocatorEnded();
}

QCoro::Task<> Relay::readRow() {
  this->RowAskedAt = bootNow();
  const Result<TableRow> R = co_await this->Store.readRow(
      relayRowKey(this->Options.Location), steadyNow() + ClaimTimeout);
  if (this->Stopping)
    co_return;
  this->RowWasNew = false;
  if (succeeded(R))
    this->observeRow(valueOf(R));
  else
    this->Election.observeStoreFailure(steadyNow(), this->Rng);
}

void Relay::observeRow(const TableRow &Seen) {
  const Result<RelayRow> Decoded = decodeRelayRow(Seen.Value, Seen.Version);
  RelayRow Malformed;
  Malformed.Version = Seen.Version;
  this->observeRow(succeeded(Decoded) ? valueOf(Decoded) : Malformed);
}

void Relay::observeRow(RelayRow Row) {
  // An entry VM that has come back at another address claims the row again.
  const bool Outdated = Row.Vm == this->Options.Self &&
                        Row.Address != this->Options.ListenAddress;
  if (Outdated)
    Row.Vm = EntryVmId();
  const bool Changed = Row != this->row();
  this->Election.observeRow(Row, steadyNow());
  if (Row.Vm.empty())
    this->Election.observeRejection(steadyNow(), this->Rng);
  if (Changed)
    log(LogLevel::Info, LogEvent::RelayChanged,
        {{"role", nameOf(this->role())},
         {"relay", Row.Vm.empty() ? "none" : Row.Vm.str()},
         {"address", Row.Address.empty() ? "none" : Row.Address},
         {"row_version", Row.Version.str()}});
}

void Relay::listen() {
  const Result<Success> Opened = this->Listener.listen(
      *this->Context, this->Options.ListenAddress,
      [this](const RelayListener::Peer &From, const relay::Request &Asked) {
        this->onRequest(From, Asked);
      });
  this->Listening = succeeded(Opened);
  if (!this->Listening)
    log(LogLevel::Error, LogEvent::RelayRejected, {{"why", errorOf(Opened)}});
}

void Relay::applyRole() {
  if (this->isRelay() && !this->Listening)
    this->listen();
  if (this->isRelay())
    this->ServedRow = this->row();
  const bool Follows =
      this->role() == RelayRole::Follower && !this->row().Vm.empty();
  if (this->Link && (!Follows || this->LinkedRow != this->row())) {
    this->Link->close();
    this->Link.reset();
  }
  if (Follows && !this->Link) {
    this->LinkedRow = this->row();
    this->Link =
        std::make_shared<RelayLink>(*this->Context, this->row().Address);
  }
  this->updateSource();
  this->updateAllocation();
  this->updateExchange();
}

void Relay::updateExchange() {
  this->Peers.setActive(*this->Context, this->isRelay() && !this->Stopping &&
                                            this->HasWorkspaces());
}

void Relay::updateAllocation() {
  if (!this->Quotas || this->Allocates == this->isRelay())
    return;
  this->Allocates = this->isRelay();
  if (!this->Allocates) {
    this->Quotas->endAllocation();
    return;
  }
  this->SilentUntil = TimePoint{};
  this->Quotas->startAllocation(!this->RowWasNew);
  this->Quotas->confirmAuthority(this->RowAskedAt);
  // A row that this process has not claimed is that of a former run.
  if (this->ClaimedTokens.count(this->row().Token) == 0 &&
      !this->mayMissRelay())
    this->Quotas->formerAllocatorEnded();
}

QCoro::Task<> Relay::confirmAuthority() {
  if (!this->Quotas || !this->Quotas->needsAuthority())
    co_return;
  const TimePoint AsOf = bootNow();
  const TimePoint Now = steadyNow();
  // An entry VM without an address is stopping, or cannot be a relay.
  const bool AnySilent = std::any_of(
      this->Followers.begin(), this->Followers.end(), [Now](const auto &Entry) {
        return !Entry.second.Self.Address.empty() &&
               Now - Entry.second.LastRequest > ForwarderTimeout;
      });
  if (AnySilent)
    this->SilentUntil = Now + SilencePeriod;
  if (Now < this->SilentUntil || this->isRowOutdated()) {
    const Result<TableRow> R = co_await this->Store.readRow(
        relayRowKey(this->Options.Location), Now + ClaimTimeout);
    if (this->Stopping || !succeeded(R))
      co_return;
    this->observeRow(valueOf(R));
    this->applyRole();
  }
  if (this->isRelay() && !this->isRowOutdated())
    this->Quotas->confirmAuthority(AsOf);
}

void Relay::updateSource() {
  const bool Answers = this->Election.isConnected();
  if (this->isRelay())
    this->Feed.setSource(FeedSource::Store, false);
  else if (this->Election.mayFollow())
    this->Feed.setSource(FeedSource::Relay, true);
  else if (this->role() == RelayRole::Follower &&
           this->Election.awaitsFirstAnswer())
    // The first answer, or its absence, decides within SyncTimeout.
    this->Feed.setSource(this->Feed.source(), Answers);
  else if (this->role() == RelayRole::Follower)
    this->Feed.setSource(FeedSource::Store, Answers);
}

// --- Follower ----------------------------------------------------------------

relay::Request Relay::makeRequest(const RelayRow &To) const {
  relay::Request Message;
  Message.set_token(To.Token);
  Message.set_sender(this->Options.Self.str());
  return Message;
}

relay::Request Relay::makeSyncRequest() {
  relay::Request Message = this->makeRequest(this->row());
  relay::SyncRequest *Sync = Message.mutable_sync();
  for (const WatchedTable Table : Tables) {
    relay::TablePosition *Held = Sync->add_tables();
    Held->set_table(static_cast<std::uint32_t>(Table));
    Held->set_known(this->Feed.cache(Table).isKnown());
    Held->set_version(this->Feed.cache(Table).version().number());
    Held->set_era(this->Feed.cache(Table).version().era());
  }
  if (this->Listening && !this->Leaving)
    Sync->set_address(this->Options.ListenAddress);
  Sync->set_cpu_percent(
      static_cast<std::uint32_t>(this->Options.CpuShare * 100));
  if (this->Quotas) {
    const std::optional<QuotaRequest> Asked = this->Quotas->makeRequest();
    if (Asked)
      addQuotas(*Sync, *Asked);
  }
  if (!this->Board)
    return Message;
  for (const ServiceName &Service : this->Board->wantedServices())
    Sync->add_services(Service.str());
  for (const ServiceName &Service : this->Board->suspectServices())
    Sync->add_suspects(Service.str());
  return Message;
}

QCoro::Task<> Relay::synchronise() {
  this->LastSync = steadyNow();
  const std::shared_ptr<RelayLink> Used = this->Link;
  if (!Used)
    co_return;
  const TimePoint SentAt = bootNow();
  const std::optional<relay::Reply> Reply = co_await Used->request(
      this->makeSyncRequest(), steadyNow() + SyncTimeout);
  if (this->Quotas) {
    if (Reply && Reply->has_sync())
      this->Quotas->applyLeases(quotaLeasesOf(Reply->sync()), SentAt);
    else
      this->Quotas->abandonRequest();
  }
  if (this->Stopping)
    co_return;
  const bool WasFollowing = this->Election.mayFollow();
  if (!Reply) {
    this->Election.observeUnanswered(steadyNow(), this->Rng);
    this->Counters.add(Counter::RelayRequests, "unanswered");
  } else if (!Reply->has_sync()) {
    this->Counters.add(Counter::RelayRequests, "rejected");
    const bool Replaced =
        this->observeReplacement(Reply->not_relay().replacement());
    if (!Replaced)
      this->Election.observeRejection(steadyNow(), this->Rng);
  } else {
    this->Counters.add(Counter::RelayRequests, "answered");
    this->applyReply(Reply->sync(), SentAt);
  }
  this->updateSource();
  if (WasFollowing != this->Election.mayFollow())
    log(LogLevel::Info,
        WasFollowing ? LogEvent::RelayLost : LogEvent::RelayFollowed,
        {{"relay", this->row().Vm.str()},
         {"answers", this->Election.isConnected() ? "yes" : "no"}});
}

void Relay::applyReply(const relay::SyncReply &Reply, TimePoint SentAt) {
  // A table that the reply does not name is not known to the relay.
  unsigned Named = 0;
  Duration OldestContact = Duration::zero();
  for (const relay::TableChanges &Changes : Reply.tables()) {
    const Result<WatchedTable> Table = watchedTableOf(Changes.table());
    const Result<WatchedRows> Rows = watchedRowsOf(Changes);
    if (!succeeded(Table) || !succeeded(Rows)) {
      log(LogLevel::Warning, LogEvent::RelayRejected,
          {{"why", succeeded(Table) ? errorOf(Rows) : errorOf(Table)}});
      continue;
    }
    const Duration Age(std::max<std::int64_t>(0, Changes.contact_age_us()));
    // Builds that know of no era send 0.
    if (valueOf(Rows).Version.era() != 0)
      this->Returns.observeVersion(valueOf(Rows).Version);
    // A relay that is still in an earlier era has not read the tables yet.
    const bool Current = this->Feed.applyRelayed(
        valueOf(Table), valueOf(Rows), Changes.complete(), SentAt - Age);
    Named += Current ? 1 : 0;
    OldestContact = std::max(OldestContact, Age);
  }
  if (Named < Tables.size())
    this->Election.observeNotReady(steadyNow(), this->Rng);
  else
    this->Election.observeAnswer(OldestContact, Reply.leaving(), steadyNow(),
                                 this->Rng);
  this->applyForwarders(forwardersOf(Reply.forwarders()),
                        remoteForwardersOf(Reply));
  if (this->Quotas)
    this->Quotas->shareAmong(Reply.entry_vms() * this->Options.DataCentres);
  if (!this->Board)
    return;
  for (const relay::Evidence &Message : Reply.evidence()) {
    const Result<GroupEvidence> Known = evidenceOf(Message, SentAt);
    if (succeeded(Known))
      this->Board->applyEvidence(valueOf(Known));
  }
  this->Board->setEntryVms(Reply.entry_vms() * this->Options.DataCentres);
}

void Relay::applyForwarders(std::vector<ForwarderVm> Own,
                            std::vector<RemoteForwarders> Others) {
  if (this->Board)
    this->Board->setForwarders(
        countForwarders(Own.size(), Others, this->Options.DataCentres));
  this->OwnStatements.setForwarders(*this->Context, std::move(Own),
                                    this->row().Token);
  this->OwnStatements.setRemoteForwarders(*this->Context, std::move(Others));
}

bool Relay::isAvailable() const {
  return this->Election.isConnected() && !this->Election.hasUnanswered();
}

QCoro::Task<bool> Relay::prove(ServiceName Service, Term T,
                               TimePoint Deadline) {
  const std::shared_ptr<RelayLink> Used = this->Link;
  if (!Used || !this->isAvailable())
    co_return false;
  relay::Request Message = this->makeRequest(this->row());
  Message.mutable_proof()->set_service(Service.str());
  Message.mutable_proof()->set_term(T);
  Message.mutable_proof()->set_timeout_us((Deadline - steadyNow()).count());
  const std::optional<relay::Reply> Reply =
      co_await Used->request(std::move(Message), Deadline);
  co_return Reply && Reply->has_proof() && Reply->proof().proved();
}

void Relay::refreshSoon() {
  if (this->role() == RelayRole::Follower &&
      steadyNow() - this->LastSync >= MinSyncSpacing)
    this->Wake.wake();
}

void Relay::requestLeases() {
  if (this->role() != RelayRole::Follower || this->LeasesRequested)
    return;
  if (steadyNow() - this->LastSync >= LeaseSpacing)
    this->Wake.wake();
  else
    this->wakeForLeases();
}

QCoro::Task<> Relay::wakeForLeases() {
  const TaskGroup::Guard Guard(this->Tasks);
  this->LeasesRequested = true;
  co_await sleepFor(this->LastSync + LeaseSpacing - steadyNow());
  this->LeasesRequested = false;
  this->Wake.wake();
}

} // namespace amaranthspur
