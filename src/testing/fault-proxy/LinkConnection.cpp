#include "testing/fault-proxy/LinkConnection.h"

#include <QHostAddress>

#include <sys/socket.h>

#include <algorithm>

namespace amaranthspur::fault {
namespace {

/// Bytes on the way in one direction; 8 MB carry 1 Gbit/s over 64 ms.
constexpr std::size_t UnlimitedCapacity = 8U << 20U;
/// Time for which a link of limited bandwidth buffers, besides the delay. Much
/// more would add a delay that no router has.
constexpr Duration BufferTime = milliseconds(200);
constexpr std::size_t LeastCapacity = 64U << 10U;
constexpr qint64 SocketBufferBytes = 256 << 10;

bool connected(const QTcpSocket *Socket) {
  return Socket->state() == QAbstractSocket::ConnectedState;
}

/// Closes with a reset instead of an orderly end.
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
                               LinkRules &Rules, Alarm &Times, Random &Chance,
                               LinkStats &Stats)
    : ClientHost(Client->peerAddress().toString().toStdString()),
      Link(std::move(Link)), Target(std::move(Upstream)), AsSource(AsSource),
      Rules(Rules), Times(Times), Chance(Chance), Stats(Stats), Client(Client),
      Upstream(new QTcpSocket), Serial(Rules.nextSerial()),
      Rule(Rules.find(this->ClientHost, this->Link)),
      Forward{Direction::Forward, Client, this->Upstream, {}, {}},
      Backward{Direction::Backward, this->Upstream, Client, {}, {}} {
  this->Client->setParent(nullptr);
  this->watch(this->Client);
  this->watch(this->Upstream);
}

LinkConnection::~LinkConnection() {
  this->Times.forget(&this->Forward.Wake);
  this->Times.forget(&this->Backward.Wake);
  this->Times.forget(&this->Changed);
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

/// Opens the connection to the upstream after the time of a handshake.
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
      this->Times.wakeAt(Due, &this->Changed);
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

/// Carries one direction, until its source has ended and all has arrived.
QCoro::Task<> LinkConnection::pump(Pump &P) {
  for (;;) {
    this->takeIn(P);
    this->deliver(P);
    if (this->finished(P))
      break;
    if (!P.OnTheWay.empty() && P.OnTheWay.front().Due > steadyNow())
      this->Times.wakeAt(P.OnTheWay.front().Due, &P.Wake);
    co_await P.Wake.wait();
  }
  P.Done = true;
  this->Changed.wake();
}

bool LinkConnection::finished(const Pump &P) const {
  if (this->Reset)
    return true;
  if (P.OnTheWay.empty() && P.EndTaken && !P.Lossy)
    return true;
  return !connected(P.From) && !connected(P.To);
}

std::size_t LinkConnection::capacity() const {
  if (this->Rule == nullptr || this->Rule->BandwidthKbit == 0)
    return UnlimitedCapacity;
  const Duration Time = BufferTime + this->Rule->Delay;
  // kbit/s times µs is 1/8000 bytes.
  const std::uint64_t Bytes = this->Rule->BandwidthKbit *
                              static_cast<std::uint64_t>(Time.count()) / 8000;
  return std::clamp<std::size_t>(Bytes, LeastCapacity, UnlimitedCapacity);
}

TimePoint LinkConnection::arrival(Pump &P, std::size_t Bytes) {
  TimePoint Due = steadyNow();
  if (this->Rule != nullptr) {
    Due = this->Rule->arrival(P.Which, Bytes, Due);
    if (this->Rule->Jitter > Duration::zero())
      Due += Duration(this->Chance.below(
          static_cast<std::uint64_t>(this->Rule->Jitter.count()) + 1));
  }
  P.LastDue = std::max(P.LastDue, Due);
  return P.LastDue;
}

/// Reads what the source has sent and puts it on the way or swallows it.
void LinkConnection::takeIn(Pump &P) {
  const std::size_t Index = static_cast<std::size_t>(P.Which);
  while (P.From->bytesAvailable() > 0 && P.OnTheWayBytes < this->capacity()) {
    QByteArray Bytes = P.From->readAll();
    const auto Count = static_cast<std::size_t>(Bytes.size());
    if (P.Lossy || (this->Rule != nullptr &&
                    this->Rule->swallows(P.Which, this->Serial))) {
      P.Lossy = true;
      this->Stats.Swallowed[Index] += Count;
      continue;
    }
    P.OnTheWayBytes += Count;
    P.OnTheWay.push_back({this->arrival(P, Count), std::move(Bytes)});
  }
  if (P.EndTaken || connected(P.From) || P.From->bytesAvailable() > 0)
    return;
  P.EndTaken = true;
  // The end of a stream is lost as its bytes are.
  if (this->Rule != nullptr && this->Rule->swallows(P.Which, this->Serial))
    P.Lossy = true;
  if (!P.Lossy)
    P.OnTheWay.push_back({this->arrival(P, 0), {}});
}

/// Writes what has arrived, as far as the destination takes it.
void LinkConnection::deliver(Pump &P) {
  const TimePoint Now = steadyNow();
  while (!P.OnTheWay.empty() && P.OnTheWay.front().Due <= Now) {
    if (connected(P.To) && P.To->bytesToWrite() > SocketBufferBytes)
      return;
    const Piece First = std::move(P.OnTheWay.front());
    P.OnTheWay.pop_front();
    if (First.Bytes.isEmpty()) {
      P.To->disconnectFromHost();
      continue;
    }
    const auto Count = static_cast<std::size_t>(First.Bytes.size());
    P.OnTheWayBytes -= Count;
    if (!connected(P.To))
      continue;
    P.To->write(First.Bytes);
    this->Stats.Delivered[static_cast<std::size_t>(P.Which)] += Count;
  }
}

} // namespace amaranthspur::fault
