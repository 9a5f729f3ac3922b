#include "wire/Connection.h"

#include <QHostAddress>

#include <charconv>
#include <utility>

namespace amaranthspur {

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

Connection::Connection(QTcpSocket *Socket, std::size_t MaxFrameBytes,
                       bool ExpectStartup)
    : Socket(Socket), Reader(MaxFrameBytes, ExpectStartup) {
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

Connection::~Connection() {
  this->Socket->disconnect();
  this->Socket->abort();
  this->Socket->deleteLater();
}

QCoro::Task<std::unique_ptr<Connection>>
Connection::open(Address To, std::size_t MaxFrameBytes, TimePoint Deadline,
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
  if (Socket->state() != QAbstractSocket::ConnectedState) {
    Socket->abort();
    Socket->deleteLater();
    co_return std::unique_ptr<Connection>();
  }
  co_return std::make_unique<Connection>(Socket, MaxFrameBytes, false);
}

bool Connection::readAvailable() {
  if (this->Socket->bytesAvailable() == 0)
    return false;
  const QByteArray Bytes = this->Socket->readAll();
  this->Reader.feed(
      {Bytes.constData(), static_cast<std::size_t>(Bytes.size())});
  return true;
}

QCoro::Task<ReadEvent> Connection::readable(TimePoint Deadline) {
  if (this->readAvailable())
    co_return ReadEvent::Data;
  while (!this->Ended) {
    const bool Woken = co_await this->Readable.wait(Deadline);
    if (this->readAvailable())
      co_return ReadEvent::Data;
    // A wake-up for bytes that were taken before is not an interruption.
    if (!this->Ended && (std::exchange(this->Interrupted, false) || !Woken))
      co_return ReadEvent::TimedOut;
  }
  co_return this->readAvailable() ? ReadEvent::Data : ReadEvent::Closed;
}

void Connection::write(std::string_view Bytes) {
  if (!this->Ended)
    this->Socket->write(Bytes.data(), static_cast<qint64>(Bytes.size()));
}

QCoro::Task<bool> Connection::writable(TimePoint Deadline) {
  while (!this->Ended && this->queuedBytes() > WriteBufferBytes) {
    const bool InTime = co_await this->Writable.wait(Deadline);
    if (!InTime)
      co_return false;
  }
  co_return !this->Ended;
}

std::size_t Connection::queuedBytes() const {
  return static_cast<std::size_t>(this->Socket->bytesToWrite());
}

void Connection::close() { this->Socket->disconnectFromHost(); }

void Connection::abort() {
  this->Socket->abort();
  this->Ended = true;
  this->Readable.wake();
}

} // namespace amaranthspur
