#include "wire/ByteStream.h"

#include <QHostAddress>

#include <algorithm>
#include <charconv>
#include <utility>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace amaranthspur {
namespace {

/// Sets the option TCP_USER_TIMEOUT. Returns whether that succeeded.
bool setUserTimeout(int Descriptor, Duration Limit) {
  const auto Value = static_cast<int>(Limit / milliseconds(1));
  return setsockopt(Descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, &Value,
                    sizeof(Value)) == 0;
}

/// Makes the kernel reset the connection when the descriptor is closed. Returns
/// whether that succeeded.
bool resetOnClose(int Descriptor) {
  const linger Value{1, 0};
  return setsockopt(Descriptor, SOL_SOCKET, SO_LINGER, &Value, sizeof(Value)) ==
         0;
}

} // namespace

Result<Address> parseAddress(std::string_view Text) {
  const std::size_t Colon = Text.rfind(':');
  if (Colon == std::string_view::npos)
    return Error{"address \"" + std::string(Text) + "\" has no port"};
  Address Parsed;
  Parsed.Host = Text.substr(0, Colon);
  const std::string_view Port = Text.substr(Colon + 1);
  const auto [End, Status] =
      std::from_chars(Port.data(), Port.data() + Port.size(), Parsed.Port);
  if (Status != std::errc() || End != Port.data() + Port.size() ||
      Parsed.Port == 0)
    return Error{"address \"" + std::string(Text) + "\" has an invalid port"};
  if (QHostAddress(QString::fromStdString(Parsed.Host)).isNull())
    return Error{"address \"" + std::string(Text) +
                 "\" does not have a numeric host"};
  return Parsed;
}

ByteStream::ByteStream(QTcpSocket *Socket) : Socket(Socket) {
  this->Socket->setParent(nullptr);
  this->Socket->setReadBufferSize(ReadBufferBytes);
  this->Socket->setSocketOption(QAbstractSocket::LowDelayOption, 1);
  QObject::connect(this->Socket, &QTcpSocket::readyRead, this->Socket,
                   [this] { this->Readable.wake(); });
  QObject::connect(this->Socket, &QTcpSocket::disconnected, this->Socket,
                   [this] {
                     this->Ended = true;
                     this->Readable.wake();
                     this->Writable.wake();
                   });
  QObject::connect(this->Socket, &QTcpSocket::bytesWritten, this->Socket,
                   [this] { this->Writable.wake(); });
  this->Ended = this->Socket->state() != QAbstractSocket::ConnectedState;
}

ByteStream::~ByteStream() {
  this->Socket->disconnect();
  this->Socket->abort();
  this->Socket->deleteLater();
}

QCoro::Task<QTcpSocket *> openSocket(Address To, TimePoint Deadline,
                                     std::string BindHost) {
  auto *Socket = new QTcpSocket;
  if (!BindHost.empty())
    Socket->bind(QHostAddress(QString::fromStdString(BindHost)));
  WaitPoint Done;
  QObject::connect(Socket, &QTcpSocket::connected, Socket,
                   [&Done] { Done.wake(); });
  QObject::connect(Socket, &QTcpSocket::errorOccurred, Socket,
                   [&Done] { Done.wake(); });
  Socket->connectToHost(QHostAddress(QString::fromStdString(To.Host)), To.Port);
  bool InTime = true;
  while (InTime && Socket->state() == QAbstractSocket::ConnectingState)
    InTime = co_await Done.wait(Deadline);
  Socket->disconnect();
  const auto Descriptor = static_cast<int>(Socket->socketDescriptor());
  const bool IsUsable =
      Socket->state() == QAbstractSocket::ConnectedState &&
      resetOnClose(Descriptor) &&
      setUserTimeout(Descriptor, ByteStream::MaxUnacknowledged);
  if (!IsUsable) {
    Socket->abort();
    Socket->deleteLater();
    Socket = nullptr;
  }
  co_return Socket;
}

void ByteStream::setTcpTimeouts(const TcpTimeouts &Limits) {
  const auto Seconds = [](Duration D) {
    return static_cast<int>(
        std::chrono::duration_cast<std::chrono::seconds>(D).count());
  };
  const auto Descriptor = static_cast<int>(this->Socket->socketDescriptor());
  const auto Set = [Descriptor](int Level, int Name, int Value) {
    // If an option cannot be set, the kernel's default remains, with which an
    // unreachable peer is only detected later.
    [[maybe_unused]] const int Status =
        setsockopt(Descriptor, Level, Name, &Value, sizeof(Value));
  };
  Set(SOL_SOCKET, SO_KEEPALIVE, 1);
  Set(IPPROTO_TCP, TCP_KEEPIDLE, Seconds(Limits.KeepAliveIdle));
  Set(IPPROTO_TCP, TCP_KEEPINTVL, Seconds(Limits.KeepAliveInterval));
  Set(IPPROTO_TCP, TCP_KEEPCNT, Limits.KeepAliveProbes);
  [[maybe_unused]] const bool IsLimited =
      setUserTimeout(Descriptor, Limits.UserTimeout);
}

void ByteStream::limitUnacknowledged(Duration Limit) {
  [[maybe_unused]] const bool IsLimited = setUserTimeout(
      static_cast<int>(this->Socket->socketDescriptor()),
      std::clamp<Duration>(Limit, milliseconds(1), MaxUnacknowledged));
}

bool ByteStream::readAvailable() {
  if (this->Socket->bytesAvailable() == 0)
    return false;
  const QByteArray Bytes = this->Socket->readAll();
  this->feed({Bytes.constData(), static_cast<std::size_t>(Bytes.size())});
  return true;
}

QCoro::Task<ReadEvent> ByteStream::waitReadable(TimePoint Deadline) {
  if (this->readAvailable())
    co_return ReadEvent::Data;
  while (!this->Ended) {
    const bool Woken = co_await this->Readable.wait(Deadline);
    if (this->readAvailable())
      co_return ReadEvent::Data;
    // The wake-up may belong to bytes that were already read. Only a call of
    // interrupt() or the deadline ends the wait without data.
    if (!this->Ended && (std::exchange(this->Interrupted, false) || !Woken))
      co_return ReadEvent::TimedOut;
  }
  co_return this->readAvailable() ? ReadEvent::Data : ReadEvent::Closed;
}

void ByteStream::write(std::string_view Bytes) {
  if (!this->Ended)
    this->Socket->write(Bytes.data(), static_cast<qint64>(Bytes.size()));
}

void ByteStream::flush() {
  if (!this->Ended)
    this->Socket->flush();
}

QCoro::Task<bool> ByteStream::waitWritable(TimePoint Deadline) {
  while (!this->Ended && this->queuedBytes() > WriteBufferBytes) {
    const bool InTime = co_await this->Writable.wait(Deadline);
    if (!InTime)
      co_return false;
  }
  co_return !this->Ended;
}

std::size_t ByteStream::queuedBytes() const {
  return static_cast<std::size_t>(this->Socket->bytesToWrite());
}

ConnectionEnd ByteStream::endIfGivenUp() const {
  if (this->Ended)
    return ConnectionEnd::Lost;
  linger Value{};
  socklen_t Size = sizeof(Value);
  const int Status =
      getsockopt(static_cast<int>(this->Socket->socketDescriptor()), SOL_SOCKET,
                 SO_LINGER, &Value, &Size);
  const bool IsReset = Status == 0 && Value.l_onoff != 0 && Value.l_linger == 0;
  return IsReset ? ConnectionEnd::Reset : ConnectionEnd::Closed;
}

void ByteStream::close() { this->Socket->disconnectFromHost(); }

QCoro::Task<bool> ByteStream::waitClosed(TimePoint Deadline) {
  while (!this->Ended) {
    const bool Woken = co_await this->Writable.wait(Deadline);
    if (!Woken)
      break;
  }
  co_return this->Ended;
}

void ByteStream::abort() {
  this->Socket->abort();
  this->Ended = true;
  this->Readable.wake();
}

} // namespace amaranthspur
