#include "bench/soak/Links.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <optional>
#include <utility>

namespace amaranthspur::bench::soak {
namespace {

constexpr std::size_t ReadBytes = 64U << 10U;
constexpr int Backlog = 256;
/// Connections that fill an accept queue of length 0, which takes one.
constexpr int FillerCount = 2;
/// Interval at which bytes that the destination does not take are offered
/// again.
constexpr Duration RetryInterval = milliseconds(5);

sockaddr_in socketAddress(const Address &At) {
  sockaddr_in Raw = {};
  Raw.sin_family = AF_INET;
  Raw.sin_port = htons(At.Port);
  inet_pton(AF_INET, At.Host.c_str(), &Raw.sin_addr);
  return Raw;
}

int openSocket(int Flags) {
  return ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | Flags, 0);
}

/// Closes \p Descriptor with a reset.
void resetSocket(int &Descriptor) {
  if (Descriptor < 0)
    return;
  const linger Now = {1, 0};
  ::setsockopt(Descriptor, SOL_SOCKET, SO_LINGER, &Now, sizeof(Now));
  ::close(std::exchange(Descriptor, -1));
}

} // namespace

bool Path::holds(bool Forward) const {
  return (Forward ? this->HoldForward : this->HoldBackward) ||
         (this->Whole != nullptr && this->Whole->holds(Forward));
}

TimePoint Path::cutSince() const {
  const bool Own = this->HoldForward || this->HoldBackward;
  return Own || this->Whole == nullptr ? this->CutAt : this->Whole->cutSince();
}

void Path::cut(bool Forward, bool Backward) {
  if (!this->HoldForward && !this->HoldBackward)
    this->CutAt = steadyNow();
  this->HoldForward = this->HoldForward || Forward;
  this->HoldBackward = this->HoldBackward || Backward;
  if (this->Listener != nullptr)
    this->Listener->setHanging(true);
  this->wakeAll();
}

void Path::heal() {
  this->HoldForward = false;
  this->HoldBackward = false;
  if (this->Listener != nullptr)
    this->Listener->setHanging(false);
  this->wakeAll();
}

void Path::wakeAll() {
  for (LinkConnection *C : this->Connections)
    C->Changed.wake();
}

LinkConnection::LinkConnection(int Client, Address Upstream)
    : Upstream(std::move(Upstream)), Client(Client) {
  this->Forward.From = &this->Client;
  this->Forward.To = &this->Server;
  this->Backward.From = &this->Server;
  this->Backward.To = &this->Client;
}

LinkConnection::~LinkConnection() {
  for (Path *P = this->Owner; P != nullptr; P = P->Whole)
    P->Connections.erase(this);
  this->ClientReadable.reset();
  this->ServerReadable.reset();
  if (this->Client >= 0)
    ::close(this->Client);
  if (this->Server >= 0)
    ::close(this->Server);
}

bool LinkConnection::openUpstream() {
  // The upstream listens in this process, so that connecting does not block.
  this->Server = openSocket(0);
  const sockaddr_in To = socketAddress(this->Upstream);
  if (::connect(this->Server, reinterpret_cast<const sockaddr *>(&To),
                sizeof(To)) != 0)
    return false;
  const int On = 1;
  ::setsockopt(this->Server, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
  this->ServerReadable =
      std::make_unique<QSocketNotifier>(this->Server, QSocketNotifier::Read);
  QObject::connect(this->ServerReadable.get(), &QSocketNotifier::activated,
                   this->ServerReadable.get(), [this] {
                     this->ServerReadable->setEnabled(false);
                     this->Changed.wake();
                   });
  return true;
}

void LinkConnection::reset() {
  this->Ended = true;
  this->ClientReadable.reset();
  this->ServerReadable.reset();
  resetSocket(this->Client);
  resetSocket(this->Server);
  this->Changed.wake();
}

void LinkConnection::read(Half &H, bool Forward) {
  char Buffer[ReadBytes];
  while (*H.From >= 0 && !H.Ended && !H.Reset) {
    const ssize_t Count = ::recv(*H.From, Buffer, sizeof(Buffer), MSG_DONTWAIT);
    if (Count > 0) {
      const std::string_view Bytes(Buffer, static_cast<std::size_t>(Count));
      H.Held += Bytes;
      for (Path *P = Forward ? this->Owner : nullptr; P != nullptr;
           P = P->Whole)
        if (P->OnForward)
          P->OnForward(Bytes);
    } else if (Count == 0) {
      H.Ended = true;
    } else if (errno == EAGAIN) {
      return;
    } else if (errno != EINTR) {
      // A reset, in contrast to an orderly close, discards what the sender's
      // kernel has not delivered yet.
      H.Reset = true;
      H.Held.clear();
    }
  }
}

void LinkConnection::deliver(Half &H, bool Hold) {
  if (Hold || this->Ended || H.Closed)
    return;
  if (H.Reset)
    return this->reset();
  while (!H.Held.empty()) {
    const ssize_t Count = ::send(*H.To, H.Held.data(), H.Held.size(),
                                 MSG_DONTWAIT | MSG_NOSIGNAL);
    if (Count < 0 && errno == EAGAIN)
      return;
    if (Count < 0 && errno != EINTR)
      return this->reset();
    if (Count > 0)
      H.Held.erase(0, static_cast<std::size_t>(Count));
  }
  if (H.Ended) {
    ::shutdown(*H.To, SHUT_WR);
    H.Closed = true;
  }
}

void LinkConnection::dropUpstream() {
  this->Dropped = true;
  this->ServerReadable.reset();
  resetSocket(this->Server);
  this->Forward.Held.clear();
  this->Backward.Held.clear();
}

void LinkConnection::watch() {
  if (this->ClientReadable && !this->Forward.Ended && !this->Forward.Reset)
    this->ClientReadable->setEnabled(true);
  if (this->ServerReadable && !this->Backward.Ended && !this->Backward.Reset)
    this->ServerReadable->setEnabled(true);
}

QCoro::Task<> LinkConnection::run(PathLookup FindPath, std::uint16_t From,
                                  Duration DropAfter) {
  this->ClientReadable =
      std::make_unique<QSocketNotifier>(this->Client, QSocketNotifier::Read);
  QObject::connect(this->ClientReadable.get(), &QSocketNotifier::activated,
                   this->ClientReadable.get(), [this] {
                     this->ClientReadable->setEnabled(false);
                     this->Changed.wake();
                   });
  while (!this->Ended && this->Owner == nullptr) {
    this->read(this->Forward, true);
    this->Owner = FindPath(this->Forward.Held, From);
    if (this->Owner != nullptr)
      break;
    if (this->Forward.Ended || this->Forward.Reset)
      co_return;
    this->watch();
    co_await this->Changed.wait();
  }
  if (this->Ended)
    co_return;
  for (Path *P = this->Owner; P != nullptr; P = P->Whole)
    P->Connections.insert(this);
  if (!this->openUpstream())
    this->reset();
  while (!this->Ended && !(this->Forward.Closed && this->Backward.Closed)) {
    this->read(this->Forward, true);
    this->read(this->Backward, false);
    const bool Cut = this->Owner->isCut();
    const TimePoint DropAt = DropAfter == NeverDropped
                                 ? NoDeadline
                                 : this->Owner->cutSince() + DropAfter;
    if (Cut && !this->Dropped && steadyNow() >= DropAt)
      this->dropUpstream();
    if (this->Dropped && !Cut)
      this->reset();
    if (!this->Dropped) {
      this->deliver(this->Forward, this->Owner->holds(true));
      this->deliver(this->Backward, this->Owner->holds(false));
    }
    if (this->Ended || (this->Forward.Closed && this->Backward.Closed))
      break;
    TimePoint Wake = NoDeadline;
    if (!Cut && (!this->Forward.Held.empty() || !this->Backward.Held.empty()))
      Wake = steadyNow() + RetryInterval;
    if (Cut && !this->Dropped)
      Wake = DropAt;
    this->watch();
    co_await this->Changed.wait(Wake);
  }
}

LinkListener::LinkListener(TaskGroup &Tasks, const std::string &Host,
                           Address Upstream, Path *Sole, PathLookup FindPath,
                           Duration DropAfter)
    : Tasks(Tasks), Upstream(std::move(Upstream)), Sole(Sole),
      FindPath(std::move(FindPath)), DropAfter(DropAfter) {
  this->Own = {Host, 0};
  if (this->listenAtOwn() && this->Sole != nullptr)
    this->Sole->Listener = this;
}

bool LinkListener::listenAtOwn() {
  this->Descriptor = openSocket(SOCK_NONBLOCK);
  const int On = 1;
  ::setsockopt(this->Descriptor, SOL_SOCKET, SO_REUSEADDR, &On, sizeof(On));
  sockaddr_in At = socketAddress(this->Own);
  socklen_t Size = sizeof(At);
  if (::bind(this->Descriptor, reinterpret_cast<sockaddr *>(&At), Size) != 0 ||
      ::listen(this->Descriptor, Backlog) != 0 ||
      ::getsockname(this->Descriptor, reinterpret_cast<sockaddr *>(&At),
                    &Size) != 0) {
    ::close(std::exchange(this->Descriptor, -1));
    return false;
  }
  this->Own.Port = ntohs(At.sin_port);
  this->Acceptable = std::make_unique<QSocketNotifier>(this->Descriptor,
                                                       QSocketNotifier::Read);
  QObject::connect(this->Acceptable.get(), &QSocketNotifier::activated,
                   this->Acceptable.get(), [this] { this->accept(); });
  return true;
}

void LinkListener::setRefusing(bool Refusing) {
  if (Refusing)
    this->stopListening();
  else if (this->Descriptor < 0)
    this->listenAtOwn();
}

void LinkListener::stopListening() {
  this->Acceptable.reset();
  if (this->Descriptor >= 0)
    ::close(std::exchange(this->Descriptor, -1));
  for (const int Filler : std::exchange(this->Fillers, {}))
    ::close(Filler);
}

LinkListener::~LinkListener() {
  this->stop();
  if (this->Sole != nullptr)
    this->Sole->Listener = nullptr;
}

void LinkListener::stop() {
  this->stopListening();
  for (LinkConnection *C : this->Connections)
    C->reset();
}

void LinkListener::setHanging(bool Hanging) {
  if (this->Descriptor < 0 || Hanging == !this->Fillers.empty())
    return;
  if (!Hanging) {
    for (const int Filler : std::exchange(this->Fillers, {}))
      ::close(Filler);
    ::listen(this->Descriptor, Backlog);
    this->Acceptable->setEnabled(true);
    return;
  }
  // While the accept queue is full, the kernel drops the packets that open a
  // connection, and the sender's kernel sends them again.
  this->accept();
  this->FillerPorts.clear();
  this->Acceptable->setEnabled(false);
  ::listen(this->Descriptor, 0);
  const sockaddr_in To = socketAddress(this->Own);
  for (int I = 0; I < FillerCount; ++I) {
    const int Filler = openSocket(SOCK_NONBLOCK);
    // Later packets that open a connection get no answer; nothing to handle.
    [[maybe_unused]] const int Status =
        ::connect(Filler, reinterpret_cast<const sockaddr *>(&To), sizeof(To));
    sockaddr_in Local = {};
    socklen_t Size = sizeof(Local);
    ::getsockname(Filler, reinterpret_cast<sockaddr *>(&Local), &Size);
    this->FillerPorts.insert(ntohs(Local.sin_port));
    this->Fillers.push_back(Filler);
  }
}

void LinkListener::accept() {
  for (;;) {
    sockaddr_in From = {};
    socklen_t Size = sizeof(From);
    const int Client =
        ::accept4(this->Descriptor, reinterpret_cast<sockaddr *>(&From), &Size,
                  SOCK_CLOEXEC | SOCK_NONBLOCK);
    if (Client < 0)
      return;
    if (this->FillerPorts.erase(ntohs(From.sin_port)) > 0)
      ::close(Client);
    else
      this->serve(Client, ntohs(From.sin_port));
  }
}

QCoro::Task<> LinkListener::serve(int Client, std::uint16_t From) {
  const TaskGroup::Guard Running(this->Tasks);
  const int On = 1;
  ::setsockopt(Client, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
  LinkConnection Link(Client, this->Upstream);
  this->Connections.insert(&Link);
  PathLookup Find = this->FindPath;
  if (this->Sole != nullptr)
    Find = [this](std::string_view, std::uint16_t) { return this->Sole; };
  co_await Link.run(Find, From, this->DropAfter);
  this->Connections.erase(&Link);
}

} // namespace amaranthspur::bench::soak
