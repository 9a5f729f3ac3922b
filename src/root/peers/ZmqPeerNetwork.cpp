#include "root/peers/ZmqPeerNetwork.h"

#include "root/peers/PeerCodec.h"
#include "root/peers/ZmqCall.h"

#include <QMetaObject>

#include <algorithm>
#include <chrono>

namespace amaranthspur {
namespace {

constexpr std::size_t MaxLinks = 2048;
constexpr int ReceiveHighWaterMark = 1000;
constexpr int ListenBacklog = 1024;
constexpr int HandshakeTimeoutMs = 2000;
constexpr std::size_t MaxMembershipQueueMessages = 4096;
/// Number of messages that are received before control returns to the event
/// loop.
constexpr unsigned ReceiveBatch = 128;
/// Number of membership messages that are handled before the task checks
/// whether a tick is due.
constexpr unsigned MembershipBatch = 128;
/// Interval between two maintenance passes over the links.
constexpr Duration LinkCheckInterval = milliseconds(250);
/// Maximum time that stop() gives the sockets to send their queued messages.
constexpr Duration StopLinger = milliseconds(300);
/// Assumed upper bound of the clock difference between two entry VMs. It limits
/// how far in the future an incarnation, which is a start time, may be.
constexpr Duration MaxClockSkew = std::chrono::hours(1);

std::uint64_t wallClockMicroseconds() {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<Duration>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
}

Member memberOf(const PeerNetworkOptions &Options) {
  Member Self;
  Self.Id = Options.Self;
  Self.PeerAddress = Options.PeerAddress;
  Self.Location = Options.Location;
  Self.Incarnation = Options.Incarnation;
  return Self;
}

} // namespace

ZmqPeerNetwork::ZmqPeerNetwork(PeerNetworkOptions Options)
    : Options(std::move(Options)),
      Transport{&this->Context, deriveCurveKeys(this->Options.DeploymentKey),
                this->Options.BindHost, &this->Stats},
      Swim(makeSwimMembership(memberOf(this->Options))),
      Rng(this->Options.Incarnation ^
          std::hash<EntryVmId>{}(this->Options.Self)) {
  this->Context.set(zmq::ctxopt::max_sockets, static_cast<int>(2 * MaxLinks));
}

ZmqPeerNetwork::~ZmqPeerNetwork() = default;

// --- Child -------------------------------------------------------------------

bool ZmqPeerNetwork::bind(std::string &ErrorText) {
  try {
    zmq::socket_t S(this->Context, zmq::socket_type::router);
    S.set(zmq::sockopt::linger, 0);
    S.set(zmq::sockopt::rcvhwm, ReceiveHighWaterMark);
    S.set(zmq::sockopt::backlog, ListenBacklog);
    S.set(zmq::sockopt::handshake_ivl, HandshakeTimeoutMs);
    S.set(zmq::sockopt::maxmsgsize,
          static_cast<std::int64_t>(MaxPeerMessageBytes));
    S.set(zmq::sockopt::curve_server, true);
    S.set(zmq::sockopt::curve_secretkey, this->Transport.Keys.SecretKey);
    uninterrupted(
        [this, &S] { S.bind("tcp://" + this->Options.ListenAddress); });
    this->Notifier.reset(
        new QSocketNotifier(S.get(zmq::sockopt::fd), QSocketNotifier::Read));
    this->Router = std::move(S);
  } catch (const zmq::error_t &E) {
    this->Notifier.reset();
    ErrorText = E.what();
    return false;
  }
  QObject::connect(this->Notifier.get(), &QSocketNotifier::activated,
                   this->Notifier.get(), [this] { this->drain(); });
  return true;
}

// The result must not be a std::monostate, which QCoro::Task interprets as "no
// value yet": the awaiting task would hang.
QCoro::Task<Result<Success>> ZmqPeerNetwork::start() {
  if (this->Running)
    co_return Result<Success>(Success());
  std::string ErrorText;
  if (!this->bind(ErrorText))
    co_return Error{"cannot listen for peers at " +
                    this->Options.ListenAddress + ": " + ErrorText};
  this->Running = true;
  this->MembershipQueue =
      std::make_unique<AsyncQueue<peer::Envelope>>(MaxMembershipQueueMessages);
  this->MembershipTaskEnded = false;
  this->membershipTask();
  co_return Result<Success>(Success());
}

QCoro::Task<> ZmqPeerNetwork::stop(TimePoint Deadline) {
  if (!std::exchange(this->Running, false))
    co_return;
  this->Notifier.reset();
  this->Router.reset();
  this->MembershipQueue->close();
  const Duration Remaining = std::max(Deadline - steadyNow(), Duration::zero());
  for (auto &[Id, Link] : this->Links) {
    Link->setLinger(std::min(Remaining, StopLinger));
    Link->close();
    this->Closing.push_back(std::move(Link));
  }
  this->Links.clear();
  // The tasks end promptly, because they wait only for their queues and timers.
  while (!this->MembershipTaskEnded)
    co_await this->TaskEnded.wait();
  for (const auto &Link : this->Closing)
    while (!Link->ended())
      co_await sleepFor(milliseconds(1));
  this->Closing.clear();
}

// --- PeerNetwork -------------------------------------------------------------

bool ZmqPeerNetwork::send(const EntryVmId &To, peer::Envelope Message) {
  const Member *M = this->findMember(To);
  if (!this->Running || !M || To == this->Options.Self ||
      M->State == MemberState::Dead)
    return false;
  PeerLink *Link = this->linkTo(To, M->PeerAddress);
  return Link && this->transmit(*Link, Message, PeerTraffic::Data);
}

bool ZmqPeerNetwork::transmit(PeerLink &Link, peer::Envelope &Message,
                              PeerTraffic Kind) {
  Message.set_sender(this->Options.Self.str());
  Message.set_incarnation(this->Swim->self().Incarnation);
  std::string Bytes = encodeEnvelope(Message);
  if (Bytes.size() > MaxPeerMessageBytes) {
    this->Stats.countDrop(PeerDropReason::TooLarge);
    return false;
  }
  return Link.send(std::move(Bytes), Kind);
}

void ZmqPeerNetwork::setHandler(peer::Envelope::BodyCase Kind, Handler H) {
  this->Handlers[Kind] = std::move(H);
}

const std::vector<Member> &ZmqPeerNetwork::members() const {
  return this->Swim->members();
}

void ZmqPeerNetwork::addListener(std::function<void()> Listener) {
  this->Listeners.push_back(std::move(Listener));
}

void ZmqPeerNetwork::leave() { this->Swim->leave(); }

void ZmqPeerNetwork::addSeeds(const std::vector<ListedMember> &Seeds) {
  this->Swim->addSeeds(Seeds, steadyNow());
}

void ZmqPeerNetwork::setListed(const std::vector<ListedMember> &List) {
  this->Swim->setListed(List, steadyNow());
}

void ZmqPeerNetwork::onPeerRevision(
    std::function<void(const EntryVmId &, std::uint64_t)> Listener) {
  this->RevisionListeners.push_back(std::move(Listener));
}

PeerNetworkStats ZmqPeerNetwork::stats() const {
  PeerNetworkStats Now = this->Stats;
  Now.Links = this->Links.size();
  return Now;
}

const Member *ZmqPeerNetwork::findMember(const EntryVmId &Id) const {
  const std::vector<Member> &All = this->Swim->members();
  const auto Found = std::lower_bound(
      All.begin(), All.end(), Id,
      [](const Member &M, const EntryVmId &Wanted) { return M.Id < Wanted; });
  return Found != All.end() && Found->Id == Id ? &*Found : nullptr;
}

PeerLink *ZmqPeerNetwork::linkTo(const EntryVmId &Id,
                                 const std::string &Address) {
  const auto Found = this->Links.find(Id);
  if (Found != this->Links.end()) {
    Found->second->setAddress(Address);
    return Found->second.get();
  }
  if (this->Links.size() >= MaxLinks)
    return nullptr;
  auto &Link = this->Links[Id];
  Link = std::make_unique<PeerLink>(
      this->Transport, Address,
      [this, Id](peer::Envelope &Message) { this->deliver(Id, Message); });
  Link->run();
  return Link.get();
}

// --- Receiving ---------------------------------------------------------------

void ZmqPeerNetwork::drain() {
  for (unsigned I = 0; I < ReceiveBatch; ++I) {
    if (this->receiveOne())
      continue;
    if (!this->Router || (readyEvents(*this->Router) & ZMQ_POLLIN) == 0)
      return;
  }
  // More messages may be available, but the edge-triggered file descriptor may
  // not become readable for them. Therefore another call is queued.
  if (std::exchange(this->DrainScheduled, true))
    return;
  QMetaObject::invokeMethod(
      &this->QueuedCallContext,
      [this] {
        this->DrainScheduled = false;
        this->drain();
      },
      Qt::QueuedConnection);
}

bool ZmqPeerNetwork::receiveOne() {
  if (!this->Router)
    return false;
  zmq::message_t Part;
  unsigned Parts = 0;
  try {
    do {
      const auto Received = uninterrupted([this, &Part] {
        return this->Router->recv(Part, zmq::recv_flags::dontwait);
      });
      if (!Received)
        return false;
      ++Parts;
    } while (Part.more());
  } catch (const zmq::error_t &E) {
    this->OnFailure(
        Error{std::string("cannot receive from peers: ") + E.what()});
    return false;
  }
  // A valid message has two parts: the routing ID that the ROUTER socket
  // prepends and the payload.
  if (Parts != 2) {
    this->Stats.countDrop(PeerDropReason::Malformed);
    return true;
  }
  this->onPayload({static_cast<const char *>(Part.data()), Part.size()});
  return true;
}

void ZmqPeerNetwork::onPayload(std::string_view Bytes) {
  ++this->Stats.MessagesReceived;
  this->Stats.BytesReceived += Bytes.size();
  Result<peer::Envelope> Decoded = decodeEnvelope(Bytes);
  if (!succeeded(Decoded)) {
    this->Stats.countDrop(PeerDropReason::Malformed);
    return;
  }
  peer::Envelope &Message = valueOf(Decoded);
  const EntryVmId From(Message.sender());
  if (From == this->Options.Self ||
      Message.incarnation() >
          wallClockMicroseconds() +
              static_cast<std::uint64_t>(MaxClockSkew.count())) {
    this->Stats.countDrop(PeerDropReason::Implausible);
    return;
  }
  if (isMembershipMessage(Message)) {
    if (!this->MembershipQueue->push(std::move(Message)))
      this->Stats.countDrop(PeerDropReason::ReceiveQueueFull);
    return;
  }
  const Member *M = this->findMember(From);
  if (!M ||
      Message.incarnation() + Membership::MaxRefutations < M->Incarnation) {
    this->Stats.countDrop(PeerDropReason::Implausible);
    return;
  }
  if (PeerLink *Link = this->linkTo(From, M->PeerAddress))
    Link->receive(std::move(Message), Bytes.size());
  else
    this->Stats.countDrop(PeerDropReason::ReceiveQueueFull);
}

void ZmqPeerNetwork::deliver(const EntryVmId &From, peer::Envelope &Message) {
  const auto Found = this->Handlers.find(Message.body_case());
  if (Found == this->Handlers.end()) {
    this->Stats.countDrop(PeerDropReason::Unhandled);
    return;
  }
  Found->second(From, Message);
}

// --- Membership --------------------------------------------------------------

QCoro::Task<> ZmqPeerNetwork::membershipTask() {
  TimePoint NextTick = steadyNow();
  while (this->Running) {
    unsigned Handled = 0;
    while (Handled < MembershipBatch) {
      const std::optional<peer::Envelope> Message =
          this->MembershipQueue->tryPop();
      if (!Message)
        break;
      this->onMembershipMessage(*Message);
      ++Handled;
    }
    const TimePoint Now = steadyNow();
    if (Now >= NextTick) {
      this->tickMembership(Now);
      NextTick = Now + Membership::TickInterval;
    }
    this->notifyListeners();
    if (this->MembershipQueue->size() > 0)
      co_await sleepFor(Duration::zero());
    else
      co_await this->MembershipQueue->waitReady(NextTick);
  }
  this->MembershipTaskEnded = true;
  this->TaskEnded.wake();
}

void ZmqPeerNetwork::onMembershipMessage(const peer::Envelope &Envelope) {
  const Result<MembershipMessage> Decoded = membershipMessageOf(Envelope);
  if (!succeeded(Decoded)) {
    this->Stats.countDrop(PeerDropReason::Malformed);
    return;
  }
  const MembershipMessage &Message = valueOf(Decoded);
  const EntryVmId From(Envelope.sender());
  this->Swim->setRevision(this->Options.OwnRevision());
  const MembershipResponse Response = this->Swim->onMessage(
      From, Envelope.incarnation(), Message, steadyNow(), this->Rng);
  this->sendMembership(Response.Messages);
  if (Response.Result != MembershipResult::Accepted) {
    this->Stats.countDrop(PeerDropReason::Implausible);
    return;
  }
  const auto Link = this->Links.find(From);
  if (Link != this->Links.end() && Message.Kind == MembershipMessageKind::Ack)
    Link->second->ackReceived();
  for (const auto &Listener : this->RevisionListeners)
    Listener(From, Message.Revision);
}

void ZmqPeerNetwork::tickMembership(TimePoint Now) {
  this->Swim->setRevision(this->Options.OwnRevision());
  this->sendMembership(this->Swim->tick(Now, this->Rng));
  if (Now - this->LastLinkCheck < LinkCheckInterval)
    return;
  const bool WasPaused = Now - this->LastLinkCheck >
                         LinkCheckInterval + Membership::PauseThreshold;
  this->LastLinkCheck = Now;
  this->maintainLinks(Now, WasPaused);
}

void ZmqPeerNetwork::sendMembership(
    const std::vector<OutgoingMembershipMessage> &Messages) {
  for (const OutgoingMembershipMessage &Outgoing : Messages) {
    PeerLink *Link = this->linkTo(Outgoing.To, Outgoing.Address);
    if (!Link)
      continue;
    peer::Envelope Envelope = toEnvelope(Outgoing.Message);
    this->transmit(*Link, Envelope, PeerTraffic::Control);
    if (Outgoing.Message.Kind == MembershipMessageKind::Ping)
      Link->pingSent(steadyNow());
  }
}

void ZmqPeerNetwork::notifyListeners() {
  if (std::exchange(this->NotifiedVersion, this->Swim->version()) ==
      this->Swim->version())
    return;
  for (const auto &Listener : this->Listeners)
    Listener();
}

void ZmqPeerNetwork::maintainLinks(TimePoint Now, bool WasPaused) {
  std::erase_if(this->Closing, [](const auto &Link) { return Link->ended(); });
  for (auto It = this->Links.begin(); It != this->Links.end();) {
    PeerLink &Link = *It->second;
    Link.expire(Now);
    // After a pause of this process, answers to earlier pings may still be
    // unread in the socket.
    if (WasPaused)
      Link.forgetPing();
    if (Link.isSilent(Now)) {
      Link.reset();
      ++this->Stats.LinksReset;
    }
    if (Link.isIdle(Now)) {
      Link.close();
      this->Closing.push_back(std::move(It->second));
      It = this->Links.erase(It);
      continue;
    }
    if (Link.needsKeepAlive(Now)) {
      MembershipMessage Ping;
      Ping.Members.push_back(this->Swim->self());
      Ping.Revision = this->Options.OwnRevision();
      peer::Envelope Envelope = toEnvelope(Ping);
      this->transmit(Link, Envelope, PeerTraffic::Control);
      Link.pingSent(Now);
    }
    ++It;
  }
}

} // namespace amaranthspur
