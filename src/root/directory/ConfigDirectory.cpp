#include "root/directory/ConfigDirectory.h"

#include "config/Generation.h"
#include "config/Limits.h"
#include "root/telemetry/Log.h"

namespace amaranthspur {
namespace {

/// Time limit of one read of the head row or the VM list.
constexpr Duration ReadTimeout = std::chrono::seconds(2);
/// Time limit of one fetch of content from the store.
constexpr Duration StoreFetchTimeout = std::chrono::seconds(3);
/// Time limit of one fetch from a peer, after which another peer is asked.
constexpr Duration PeerFetchTimeout = milliseconds(500);
/// Interval at which a reader reads the VM list. A leaving server must be known
/// within 3 s.
constexpr Duration ListInterval = std::chrono::seconds(1);
/// Interval at which the other entry VMs read the VM list. They receive changes
/// from the readers.
constexpr Duration SlowListInterval = std::chrono::seconds(60);

} // namespace

ConfigDirectory::ConfigDirectory(const EntryVmId &Self,
                                 const DataCentre &OwnDataCentre,
                                 Platform &Service, PeerNetwork &Peers)
    : Service(Service), Peers(Peers), Adoption(Self, OwnDataCentre),
      InForce(std::make_shared<Configuration>()) {
  Peers.setHandler(peer::Envelope::kConfigFetch,
                   [this](const EntryVmId &From, peer::Envelope &Message) {
                     this->handleFetch(From, Message.config_fetch());
                   });
  Peers.setHandler(peer::Envelope::kConfigContent,
                   [this](const EntryVmId &From, peer::Envelope &Message) {
                     this->handleContent(From, Message.config_content());
                   });
}

QCoro::Task<Result<Success>> ConfigDirectory::start() {
  this->Stopping = false;
  this->RunningTasks = 3;
  this->pollHead();
  this->pollVmList();
  this->fetchContent();
  // QCoro would interpret a plain std::monostate as its own empty result.
  co_return Result<Success>(Success());
}

QCoro::Task<> ConfigDirectory::stop(TimePoint Deadline) {
  this->Stopping = true;
  this->HeadTimer.wake();
  this->ListTimer.wake();
  this->FetchSignal.wake();
  this->PeerAnswered.wake();
  // The tasks use this object, so it waits for them even after the deadline.
  // The calls to the platform have their own deadlines, which bounds the wait.
  while (this->RunningTasks > 0)
    co_await this->TasksEnded.wait(
        std::max(Deadline, steadyNow() + StoreFetchTimeout));
}

std::shared_ptr<const Configuration> ConfigDirectory::current() const {
  return this->InForce;
}

void ConfigDirectory::listen(std::function<void()> Listener) {
  this->Listeners.push_back(std::move(Listener));
}

void ConfigDirectory::listenToVmList(VmListListener Listener) {
  this->VmListListeners.push_back(std::move(Listener));
}

QJsonObject ConfigDirectory::status() const {
  return {{"revision", static_cast<qint64>(this->InForce->Revision)},
          {"hash", QString::fromStdString(this->HashInForce)},
          {"platform_reachable", this->PlatformReachable}};
}

void ConfigDirectory::onPeerRevision(const EntryVmId &Peer,
                                     std::uint64_t Revision) {
  this->Adoption.onPeerRevision(Peer, Revision);
  if (Revision > this->Adoption.inForce())
    this->FetchSignal.wake();
}

QCoro::Task<> ConfigDirectory::pollHead() {
  while (!this->Stopping) {
    const TimePoint Started = steadyNow();
    co_await this->readHead();
    if (this->Stopping)
      break;
    // A change of the members may make this entry VM a reader, so a long
    // interval is divided into shorter waits.
    TimePoint Next = Started;
    do {
      Next = Started + this->Adoption.headInterval(this->Peers.members());
      co_await this->HeadTimer.wait(
          std::min(Next, steadyNow() + ConfigAdoption::StartHeadInterval));
    } while (!this->Stopping && steadyNow() < Next);
  }
  this->taskEnded();
}

QCoro::Task<> ConfigDirectory::readHead() {
  ++this->Counters.HeadReads;
  const Result<TableRow> Row = co_await this->Service.readRow(
      config::HeadKey, steadyNow() + ReadTimeout);
  this->setPlatformReachable(succeeded(Row));
  if (!succeeded(Row)) {
    ++this->Counters.HeadFailures;
    co_return;
  }
  const Result<config::Head> Head = config::parseHead(valueOf(Row).Value);
  if (!succeeded(Head)) {
    ++this->Counters.HeadFailures;
    log(LogLevel::Error, LogEvent::ConfigurationRejected,
        {{"source", "store"}, {"reason", errorOf(Head)}});
    co_return;
  }
  const config::Head &Newest = valueOf(Head);
  this->Adoption.onHead(Newest.Revision, Newest.Hash);
  if (Newest.Revision > this->Adoption.inForce())
    this->FetchSignal.wake();
}

QCoro::Task<> ConfigDirectory::pollVmList() {
  while (!this->Stopping) {
    const TimePoint Started = steadyNow();
    ++this->Counters.ListReads;
    const Result<std::vector<PlatformVm>> List =
        co_await this->Service.listVms(Started + ReadTimeout);
    if (this->Stopping)
      break;
    if (succeeded(List)) {
      this->ListRead = true;
      for (const VmListListener &Listener : this->VmListListeners)
        Listener(valueOf(List));
    } else {
      ++this->Counters.ListFailures;
    }
    TimePoint Next = Started;
    do {
      const bool Frequent =
          !this->ListRead || this->Adoption.isReader(this->Peers.members());
      Next = Started + (Frequent ? ListInterval : SlowListInterval);
      co_await this->ListTimer.wait(std::min(Next, steadyNow() + ListInterval));
    } while (!this->Stopping && steadyNow() < Next);
  }
  this->taskEnded();
}

QCoro::Task<> ConfigDirectory::fetchContent() {
  while (!this->Stopping) {
    const TimePoint Now = steadyNow();
    const std::optional<ConfigFetchChoice> Choice =
        this->Adoption.chooseFetch(this->Peers.members(), Now);
    if (!Choice) {
      // While no configuration is in force, new members are checked for once
      // per second.
      const TimePoint NextMemberCheck = this->Adoption.inForce() == 0
                                            ? Now + ConfigAdoption::SourceRetry
                                            : NoDeadline;
      co_await this->FetchSignal.wait(
          std::min(NextMemberCheck, this->Adoption.nextChange(Now)));
      continue;
    }
    if (Choice->From == ConfigSource::Store)
      co_await this->fetchFromStore(*Choice);
    else
      co_await this->fetchFromPeer(*Choice);
    const bool Succeeded = this->Adoption.inForce() >= Choice->Revision &&
                           this->Adoption.inForce() > 0;
    if (!Succeeded)
      this->Adoption.onFetchFailed(*Choice, steadyNow());
  }
  this->taskEnded();
}

QCoro::Task<> ConfigDirectory::fetchFromStore(ConfigFetchChoice Choice) {
  const Result<std::optional<std::string>> Content =
      co_await this->Service.getObject(config::contentObject(Choice.Hash),
                                       steadyNow() + StoreFetchTimeout);
  if (!succeeded(Content))
    co_return;
  if (!valueOf(Content)) {
    this->reject(Choice.Revision, "store", "the object store has no content");
    co_return;
  }
  this->verifyAndAdopt(Choice.Revision, Choice.Hash, *valueOf(Content),
                       "store");
}

QCoro::Task<> ConfigDirectory::fetchFromPeer(ConfigFetchChoice Choice) {
  peer::Envelope Message;
  Message.mutable_config_fetch()->set_revision(this->Adoption.inForce());
  this->AskedPeer = Choice.Peer;
  if (this->Peers.send(Choice.Peer, std::move(Message)))
    co_await this->PeerAnswered.wait(steadyNow() + PeerFetchTimeout);
  this->AskedPeer.reset();
}

void ConfigDirectory::handleFetch(const EntryVmId &From,
                                  const peer::ConfigFetch &Request) {
  peer::Envelope Message;
  peer::ConfigContent &Answer = *Message.mutable_config_content();
  Answer.set_revision(this->InForce->Revision);
  // An answer without content means that this entry VM has no newer revision.
  if (this->InForce->Revision > Request.revision()) {
    config::AcceptedRevision Accepted;
    Accepted.set_revision(this->InForce->Revision);
    Accepted.set_hash(this->HashInForce);
    Accepted.set_content(this->ContentInForce);
    Answer.set_content(Accepted.SerializeAsString());
    ++this->Counters.ContentSent;
  }
  this->Peers.send(From, std::move(Message));
}

void ConfigDirectory::handleContent(const EntryVmId &From,
                                    const peer::ConfigContent &Message) {
  this->onPeerRevision(From, Message.revision());
  if (!Message.content().empty()) {
    constexpr std::size_t MaxMessageBytes = config::MaxContentBytes + 1024;
    config::AcceptedRevision Accepted;
    const bool Valid = Message.content().size() <= MaxMessageBytes &&
                       Accepted.ParseFromString(Message.content()) &&
                       Accepted.revision() == Message.revision();
    if (Valid)
      this->verifyAndAdopt(Accepted.revision(), Accepted.hash(),
                           Accepted.content(), From.str());
    else
      this->reject(Message.revision(), From.str(), "malformed message");
  }
  if (this->AskedPeer == From)
    this->PeerAnswered.wake();
}

void ConfigDirectory::verifyAndAdopt(std::uint64_t Revision,
                                     const std::string &Hash,
                                     const std::string &Content,
                                     std::string_view From) {
  const AdoptionVerdict Verdict = this->Adoption.checkRevision(Revision, Hash);
  if (Verdict == AdoptionVerdict::NotNewer)
    return;
  if (Verdict == AdoptionVerdict::HashConflict)
    return this->reject(Revision, From, nameOf(Verdict));
  Result<Configuration> Config =
      config::configurationFrom(Content, Hash, Revision);
  if (!succeeded(Config))
    return this->reject(Revision, From, errorOf(Config));
  this->InForce = std::make_shared<Configuration>(valueOf(std::move(Config)));
  this->HashInForce = Hash;
  this->ContentInForce = Content;
  this->Adoption.onAdopted(Revision);
  ++this->Counters.Adopted;
  log(LogLevel::Info, LogEvent::ConfigurationAccepted,
      {{"revision", Revision}, {"hash", Hash}, {"source", From}});
  for (const std::function<void()> &Listener : this->Listeners)
    Listener();
}

void ConfigDirectory::reject(std::uint64_t Revision, std::string_view From,
                             std::string_view Reason) {
  ++this->Counters.Rejected;
  const std::string Rejection = std::to_string(Revision) + std::string(Reason);
  if (std::exchange(this->LastRejection, Rejection) == Rejection)
    return;
  log(LogLevel::Error, LogEvent::ConfigurationRejected,
      {{"revision", Revision}, {"source", From}, {"reason", Reason}});
}

void ConfigDirectory::setPlatformReachable(bool Reachable) {
  if (this->PlatformReachable == Reachable)
    return;
  this->PlatformReachable = Reachable;
  if (Reachable)
    log(LogLevel::Info, LogEvent::PlatformReachable);
  else
    log(LogLevel::Warning, LogEvent::PlatformUnreachable);
}

void ConfigDirectory::taskEnded() {
  if (--this->RunningTasks == 0)
    this->TasksEnded.wake();
}

} // namespace amaranthspur
