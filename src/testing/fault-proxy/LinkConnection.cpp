#include "testing/fault-proxy/LinkConnection.h"

#include <QHostAddress>

#include <sys/socket.h>

#include <algorithm>

namespace amaranthspur::fault {
namespace {

/// Limit of the bytes in flight in one direction of a link without a bandwidth
/// limit; 8 MiB carry 1 Gbit/s over a delay of 64 ms.
constexpr std::size_t UnlimitedCapacity = 8U << 20U;
/// Queueing time, besides the delay, for which a link of limited bandwidth
/// buffers bytes. A much larger buffer would add a delay that no router has.
constexpr Duration QueueTime = milliseconds(200);
constexpr std::size_t MinCapacity = 64U << 10U;
constexpr qint64 SocketBufferBytes = 256 << 10;

bool connected(const QTcpSocket *Socket) {
  return Socket->state() == QAbstractSocket::ConnectedState;
}

/// Closes \p Socket with a TCP reset instead of an orderly shutdown.
void resetSocket(QTcpSocket *Socket) {
  const linger Discard = {1, 0};
  if (Socket->socketDescriptor() >= 0)
    setsockopt(static_cast<int>(Socket->socketDescriptor()), SOL_SOCKET,
               SO_LINGER, &Discard, sizeof(Discard));
  Socket->abort();
}

void discard(QTcpSocket *Socket) {
  Socket->disconnect();
  Socket->abort();
  Socket->deleteLater();
}

} // namespace

LinkConnection::LinkConnection(QTcpSocket *Client, std::string Link,
                               Address Upstream, bool AsSource,
                               LinkRules &Rules, WakeupTimer &Timer,
                               Random &Generator, LinkStats &Stats)
    : ClientHost(Client->peerAddress().toString().toStdString()),
      Link(std::move(Link)), Target(std::move(Upstream)), AsSource(AsSource),
      Rules(Rules), Timer(Timer), Generator(Generator), Stats(Stats),
      Client(Client), Upstream(new QTcpSocket), Serial(Rules.nextSerial()),
      Rule(Rules.find(this->ClientHost, this->Link)),
      Forward{Direction::Forward, Client, this->Upstream, {}, {}},
      Backward{Direction::Backward, this->Upstream, Client, {}, {}} {
  this->Client->setParent(nullptr);
  this->watch(this->Client);
  this->watch(this->Upstream);
}

LinkConnection::~LinkConnection() {
  this->Timer.cancel(&this->Forward.Wake);
  this->Timer.cancel(&this->Backward.Wake);
  this->Timer.cancel(&this->Changed);
  discard(this->Client);
  discard(this->Upstream);
}

void LinkConnection::watch(QTcpSocket *Socket) {
  Socket->setReadBufferSize(SocketBufferBytes);
  Socket->setSocketOption(QAbstractSocket::LowDelayOption, 1);
  const auto Wake = [this] { this->wakeAll(); };
  QObject::connect(Socket, &QTcpSocket::readyRead, Socket, Wake);
  QObject::connect(Socket, &QTcpSocket::bytesWritten, Socket, Wake);
  QObject::connect(Socket, &QTcpSocket::connected, Socket, Wake);
  QObject::connect(Socket, &QTcpSocket::disconnected, Socket, Wake);
  QObject::connect(Socket, &QTcpSocket::errorOccurred, Socket, Wake);
}

void LinkConnection::wakeAll() {
  this->Forward.Wake.wake();
  this->Backward.Wake.wake();
  this->Changed.wake();
}

void LinkConnection::rulesChanged() {
  this->Rule = this->Rules.find(this->ClientHost, this->Link);
  if (this->Rule != nullptr && this->Rule->Cut)
    this->reset();
  this->wakeAll();
}

void LinkConnection::reset() {
  this->Reset = true;
  resetSocket(this->Client);
  resetSocket(this->Upstream);
  this->wakeAll();
}

QCoro::Task<> LinkConnection::run() {
  if (this->Rule != nullptr && this->Rule->Cut)
    this->reset();
  const bool Opened = co_await this->openUpstream();
  if (!Opened) {
    this->reset();
    co_return;
  }
  this->Upstream->setSocketOption(QAbstractSocket::LowDelayOption, 1);
  this->pump(this->Forward);
  this->pump(this->Backward);
  while (!this->Forward.Done || !this->Backward.Done)
    co_await this->Changed.wait();
}

/// Connects to the upstream once the time of a TCP handshake over the link has
/// passed; returns whether the connection was established.
QCoro::Task<bool> LinkConnection::openUpstream() {
  const TimePoint Start = steadyNow();
  for (;;) {
    if (this->Reset || !connected(this->Client))
      co_return false;
    const Duration Delay =
        this->Rule == nullptr ? Duration::zero() : this->Rule->Delay;
    const bool Dropped = this->Rule != nullptr &&
                         (this->Rule->DropForward || this->Rule->DropBackward);
    const TimePoint Due = Start + 2 * Delay;
    if (!Dropped && steadyNow() >= Due)
      break;
    if (!Dropped)
      this->Timer.wakeAt(Due, &this->Changed);
    co_await this->Changed.wait();
  }
  if (this->AsSource)
    this->Upstream->bind(this->Client->peerAddress());
  this->Upstream->connectToHost(
      QHostAddress(QString::fromStdString(this->Target.Host)),
      this->Target.Port);
  while (!this->Reset &&
         this->Upstream->state() == QAbstractSocket::ConnectingState)
    co_await this->Changed.wait();
  co_return connected(this->Upstream);
}

/// Forwards one direction until its source has ended and all bytes have been
/// delivered.
QCoro::Task<> LinkConnection::pump(Pump &P) {
  for (;;) {
    this->readSource(P);
    this->deliver(P);
    if (this->finished(P))
      break;
    if (!P.InFlight.empty() && P.InFlight.front().Due > steadyNow())
      this->Timer.wakeAt(P.InFlight.front().Due, &P.Wake);
    co_await P.Wake.wait();
  }
  P.Done = true;
  this->Changed.wake();
}

bool LinkConnection::finished(const Pump &P) const {
  if (this->Reset)
    return true;
  if (P.InFlight.empty() && P.EndOfStreamRead && !P.HasDiscarded)
    return true;
  return !connected(P.From) && !connected(P.To);
}

std::size_t LinkConnection::capacity() const {
  if (this->Rule == nullptr || this->Rule->BandwidthKbit == 0)
    return UnlimitedCapacity;
  const Duration Time = QueueTime + this->Rule->Delay;
  // 1 kbit/s times 1 µs is 1/8000 of a byte.
  const std::uint64_t Bytes = this->Rule->BandwidthKbit *
                              static_cast<std::uint64_t>(Time.count()) / 8000;
  return std::clamp<std::size_t>(Bytes, MinCapacity, UnlimitedCapacity);
}

TimePoint LinkConnection::arrival(Pump &P, std::size_t Bytes) {
  TimePoint Due = steadyNow();
  if (this->Rule != nullptr) {
    Due = this->Rule->arrival(P.Which, Bytes, Due);
    if (this->Rule->Jitter > Duration::zero())
      Due += Duration(this->Generator.below(
          static_cast<std::uint64_t>(this->Rule->Jitter.count()) + 1));
  }
  P.LastDue = std::max(P.LastDue, Due);
  return P.LastDue;
}

void LinkConnection::readSource(Pump &P) {
  const std::size_t Index = static_cast<std::size_t>(P.Which);
  while (P.From->bytesAvailable() > 0 && P.InFlightBytes < this->capacity()) {
    QByteArray Bytes = P.From->readAll();
    const auto Count = static_cast<std::size_t>(Bytes.size());
    if (P.HasDiscarded || (this->Rule != nullptr &&
                           this->Rule->discards(P.Which, this->Serial))) {
      P.HasDiscarded = true;
      this->Stats.Discarded[Index] += Count;
      continue;
    }
    P.InFlightBytes += Count;
    P.InFlight.push_back({this->arrival(P, Count), std::move(Bytes)});
  }
  if (P.EndOfStreamRead || connected(P.From) || P.From->bytesAvailable() > 0)
    return;
  P.EndOfStreamRead = true;
  // The end of the stream is discarded under the same rules as its bytes.
  if (this->Rule != nullptr && this->Rule->discards(P.Which, this->Serial))
    P.HasDiscarded = true;
  if (!P.HasDiscarded)
    P.InFlight.push_back({this->arrival(P, 0), {}});
}

void LinkConnection::deliver(Pump &P) {
  const TimePoint Now = steadyNow();
  while (!P.InFlight.empty() && P.InFlight.front().Due <= Now) {
    if (connected(P.To) && P.To->bytesToWrite() > SocketBufferBytes)
      return;
    const Chunk First = std::move(P.InFlight.front());
    P.InFlight.pop_front();
    if (First.Bytes.isEmpty()) {
      P.To->disconnectFromHost();
      continue;
    }
    const auto Count = static_cast<std::size_t>(First.Bytes.size());
    P.InFlightBytes -= Count;
    if (!connected(P.To))
      continue;
    P.To->write(First.Bytes);
    this->Stats.Delivered[static_cast<std::size_t>(P.Which)] += Count;
  }
}

} // namespace amaranthspur::fault
