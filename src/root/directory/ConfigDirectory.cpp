#include "root/directory/ConfigDirectory.h"

#include "config/Generation.h"
#include "config/Limits.h"
#include "root/telemetry/Log.h"

namespace amaranthspur {
namespace {

/// Deadline of one read of the head or the VM list.
constexpr Duration ReadTime = std::chrono::seconds(2);
/// Deadline of one fetch of content from the store.
constexpr Duration StoreFetchTime = std::chrono::seconds(3);
/// Wait for a peer's content before another peer is asked.
constexpr Duration PeerFetchTime = milliseconds(500);
/// Interval of a reader; a leaving server has to be known within 3 s.
constexpr Duration ListInterval = std::chrono::seconds(1);
/// Interval of the others, which hear of changes from the readers.
constexpr Duration SlowListInterval = std::chrono::seconds(60);

} // namespace

ConfigDirectory::ConfigDirectory(const EntryVmId &Self, const DataCentre &Here,
                                 Platform &Service, PeerNetwork &Peers)
    : Service(Service), Peers(Peers), Adoption(Self, Here),
      InForce(std::make_shared<Configuration>()) {
  Peers.handle(peer::Envelope::kConfigFetch,
               [this](const EntryVmId &From, peer::Envelope &Message) {
                 this->answerFetch(From, Message.config_fetch());
               });
  Peers.handle(peer::Envelope::kConfigContent,
               [this](const EntryVmId &From, peer::Envelope &Message) {
                 this->takeContent(From, Message.config_content());
               });
}

QCoro::Task<Result<Success>> ConfigDirectory::start() {
  this->Stopping = false;
  this->RunningTasks = 3;
  this->pollHead();
  this->pollVmList();
  this->fetchContent();
  // A plain std::monostate would be taken for QCoro's empty result.
  co_return Result<Success>(Success());
}

QCoro::Task<> ConfigDirectory::stop(TimePoint Deadline) {
  this->Stopping = true;
  this->HeadTimer.wake();
  this->ListTimer.wake();
  this->FetchWanted.wake();
  this->PeerAnswered.wake();
  // The calls to the platform have deadlines of their own. The tasks use this
  // object, so that it waits for them also past the deadline.
  while (this->RunningTasks > 0)
    co_await this->TasksEnded.wait(
        std::max(Deadline, steadyNow() + StoreFetchTime));
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
    this->FetchWanted.wake();
}

QCoro::Task<> ConfigDirectory::pollHead() {
  while (!this->Stopping) {
    const TimePoint Started = steadyNow();
    co_await this->readHead();
    if (this->Stopping)
      break;
    // A change of the members may make this entry VM a reader, so that a long
    // interval is divided.
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
  const Result<TableRow> Row =
      co_await this->Service.readRow(config::HeadKey, steadyNow() + ReadTime);
  this->noteReachable(succeeded(Row));
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
    this->FetchWanted.wake();
}

QCoro::Task<> ConfigDirectory::pollVmList() {
  while (!this->Stopping) {
    const TimePoint Started = steadyNow();
    ++this->Counters.ListReads;
    const Result<std::vector<PlatformVm>> List =
        co_await this->Service.listVms(Started + ReadTime);
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
      const bool Often =
          !this->ListRead || this->Adoption.isReader(this->Peers.members());
      Next = Started + (Often ? ListInterval : SlowListInterval);
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
      // New members are looked at once a second while nothing is in force.
      const TimePoint Look = this->Adoption.inForce() == 0
                                 ? Now + ConfigAdoption::SourceRetry
                                 : NoDeadline;
      co_await this->FetchWanted.wait(
          std::min(Look, this->Adoption.nextChange(Now)));
      continue;
    }
    if (Choice->From == ConfigSource::Store)
      co_await this->fetchFromStore(*Choice);
    else
      co_await this->fetchFromPeer(*Choice);
    const bool Enough = this->Adoption.inForce() >= Choice->Revision &&
                        this->Adoption.inForce() > 0;
    if (!Enough)
      this->Adoption.onFetchFailed(*Choice, steadyNow());
  }
  this->taskEnded();
}

QCoro::Task<> ConfigDirectory::fetchFromStore(ConfigFetchChoice Choice) {
  const Result<std::optional<std::string>> Content =
      co_await this->Service.getObject(config::contentObject(Choice.Hash),
                                       steadyNow() + StoreFetchTime);
  if (!succeeded(Content))
    co_return;
  if (!valueOf(Content)) {
    this->reject(Choice.Revision, "store", "the object store has no content");
    co_return;
  }
  this->offer(Choice.Revision, Choice.Hash, *valueOf(Content), "store");
}

QCoro::Task<> ConfigDirectory::fetchFromPeer(ConfigFetchChoice Choice) {
  peer::Envelope Message;
  Message.mutable_config_fetch()->set_revision(this->Adoption.inForce());
  this->AskedPeer = Choice.Peer;
  if (this->Peers.send(Choice.Peer, std::move(Message)))
    co_await this->PeerAnswered.wait(steadyNow() + PeerFetchTime);
  this->AskedPeer.reset();
}

void ConfigDirectory::answerFetch(const EntryVmId &From,
                                  const peer::ConfigFetch &Request) {
  peer::Envelope Message;
  peer::ConfigContent &Answer = *Message.mutable_config_content();
  Answer.set_revision(this->InForce->Revision);
  // Without content the answer says that there is nothing newer here.
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

void ConfigDirectory::takeContent(const EntryVmId &From,
                                  const peer::ConfigContent &Message) {
  this->onPeerRevision(From, Message.revision());
  if (!Message.content().empty()) {
    constexpr std::size_t MaxMessageBytes = config::MaxContentBytes + 1024;
    config::AcceptedRevision Accepted;
    const bool Valid = Message.content().size() <= MaxMessageBytes &&
                       Accepted.ParseFromString(Message.content()) &&
                       Accepted.revision() == Message.revision();
    if (Valid)
      this->offer(Accepted.revision(), Accepted.hash(), Accepted.content(),
                  From.str());
    else
      this->reject(Message.revision(), From.str(), "malformed message");
  }
  if (this->AskedPeer == From)
    this->PeerAnswered.wake();
}

void ConfigDirectory::offer(std::uint64_t Revision, const std::string &Hash,
                            const std::string &Content, std::string_view From) {
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

void ConfigDirectory::noteReachable(bool Reachable) {
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
