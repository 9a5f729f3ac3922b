#include "testing/fault-proxy/FaultProxy.h"

#include <QHostAddress>
#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

#include <cxxopts.hpp>

namespace amaranthspur::fault {
namespace {

constexpr int ListenBacklog = 512;
/// A control client that sends a longer line is disconnected.
constexpr qint64 MaxControlLineBytes = 64 << 10;
constexpr Duration StopPollInterval = milliseconds(5);

/// Parses `name=host:port>host:port`.
Result<LinkSettings> parseLink(const std::string &Text) {
  const std::size_t Equals = Text.find('=');
  const std::size_t Arrow = Text.find('>');
  if (Equals == std::string::npos || Arrow == std::string::npos ||
      Arrow < Equals)
    return Error{"--link \"" + Text + "\" is not name=host:port>host:port"};
  const auto Listen = parseAddress(Text.substr(Equals + 1, Arrow - Equals - 1));
  const auto Upstream = parseAddress(Text.substr(Arrow + 1));
  if (!succeeded(Listen))
    return Error{"--link: " + errorOf(Listen)};
  if (!succeeded(Upstream))
    return Error{"--link: " + errorOf(Upstream)};
  return LinkSettings{Text.substr(0, Equals), valueOf(Listen),
                      valueOf(Upstream)};
}

Result<ProxySettings> readSettings(const cxxopts::ParseResult &Flags) {
  ProxySettings Read;
  const auto Control = parseAddress(Flags["control"].as<std::string>());
  if (!succeeded(Control))
    return Error{"--control: " + errorOf(Control)};
  Read.Control = valueOf(Control);
  Read.AsSource = Flags["as-source"].as<bool>();
  if (Flags.count("link") == 0)
    return Read;
  for (const auto &Text : Flags["link"].as<std::vector<std::string>>()) {
    const auto Link = parseLink(Text);
    if (!succeeded(Link))
      return Error{errorOf(Link)};
    Read.Links.push_back(valueOf(Link));
  }
  return Read;
}

/// Returns the first three octets of an IPv4 address.
std::string networkOf(const std::string &Host) {
  return Host.substr(0, Host.rfind('.'));
}

} // namespace

Result<ProxySettings> parseProxySettings(int Argc, const char *const *Argv) {
  // cxxopts reports errors as exceptions, which are turned into an Error here.
  try {
    cxxopts::Options Options("fault-proxy", "Applies faults to TCP links");
    Options.add_options()("control", "address of the control port host:port",
                          cxxopts::value<std::string>()->default_value(""))(
        "link", "link name=host:port>host:port, repeated",
        cxxopts::value<std::vector<std::string>>())(
        "as-source", "connect upstream from the client's address");
    return readSettings(Options.parse(Argc, Argv));
  } catch (const std::exception &Failure) {
    return Error{Failure.what()};
  }
}

FaultProxy::FaultProxy(ProxySettings Config) : Config(std::move(Config)) {}

Result<Success> FaultProxy::start() {
  this->Listeners.push_back(std::make_unique<QTcpServer>());
  Result<Success> Started =
      this->listen(*this->Listeners.back(), this->Config.Control,
                   [this](QTcpSocket *Client) { this->serveControl(Client); });
  for (const LinkSettings &Link : this->Config.Links) {
    if (!succeeded(Started))
      break;
    this->Listeners.push_back(std::make_unique<QTcpServer>());
    Started = this->listen(
        *this->Listeners.back(), Link.Listen,
        [this, &Link](QTcpSocket *Client) { this->serveLink(Link, Client); });
  }
  return Started;
}

Result<Success>
FaultProxy::listen(QTcpServer &Listener, const Address &At,
                   std::function<void(QTcpSocket *)> OnConnection) {
  Listener.setListenBacklogSize(ListenBacklog);
  Listener.setMaxPendingConnections(ListenBacklog);
  QObject::connect(&Listener, &QTcpServer::newConnection, &Listener,
                   [&Listener, OnConnection = std::move(OnConnection)] {
                     while (auto *Client = Listener.nextPendingConnection())
                       OnConnection(Client);
                   });
  if (!Listener.listen(QHostAddress(QString::fromStdString(At.Host)), At.Port))
    return Error{"cannot listen on " + At.str()};
  return Success();
}

QCoro::Task<> FaultProxy::stop(TimePoint Deadline) {
  for (const auto &Listener : this->Listeners)
    Listener->close();
  const std::set<LinkConnection *> Open = this->Connections;
  for (LinkConnection *Link : Open)
    Link->reset();
  const std::set<QTcpSocket *> Clients = this->ControlClients;
  for (QTcpSocket *Client : Clients)
    Client->abort();
  while ((!this->Connections.empty() || !this->ControlClients.empty()) &&
         steadyNow() < Deadline)
    co_await sleepFor(StopPollInterval);
}

QCoro::Task<> FaultProxy::serveLink(const LinkSettings &Link,
                                    QTcpSocket *Client) {
  const std::string Host = Client->peerAddress().toString().toStdString();
  LinkStats &Counts = this->Stats[{networkOf(Host), Link.Name}];
  ++Counts.Connections;
  LinkConnection Forwarding(Client, Link.Name, Link.Upstream,
                            this->Config.AsSource, this->Rules, this->Timer,
                            this->Generator, Counts);
  this->Connections.insert(&Forwarding);
  co_await Forwarding.run();
  this->Connections.erase(&Forwarding);
}

QCoro::Task<> FaultProxy::serveControl(QTcpSocket *Client) {
  const std::unique_ptr<QTcpSocket> Owned(Client);
  Client->setParent(nullptr);
  Client->setSocketOption(QAbstractSocket::LowDelayOption, 1);
  this->ControlClients.insert(Client);
  WaitPoint Readable;
  QObject::connect(Client, &QTcpSocket::readyRead, Client,
                   [&Readable] { Readable.wake(); });
  QObject::connect(Client, &QTcpSocket::disconnected, Client,
                   [&Readable] { Readable.wake(); });
  while (Client->state() == QAbstractSocket::ConnectedState &&
         Client->bytesAvailable() <= MaxControlLineBytes) {
    while (Client->canReadLine())
      Client->write(this->answer(Client->readLine()));
    co_await Readable.wait();
  }
  Client->disconnect();
  this->ControlClients.erase(Client);
}

QByteArray FaultProxy::answer(const QByteArray &Line) {
  const auto Parsed = parseCommand(Line);
  if (!succeeded(Parsed)) {
    const QJsonObject Refusal{
        {"ok", false}, {"error", QString::fromStdString(errorOf(Parsed))}};
    return QJsonDocument(Refusal).toJson(QJsonDocument::Compact) + '\n';
  }
  const Command &Asked = valueOf(Parsed);
  if (Asked.Kind == CommandKind::Stats)
    return this->stats();
  if (Asked.Kind == CommandKind::Set)
    this->Rules.set(Asked.Rule);
  else
    this->Rules.clear();
  for (LinkConnection *Link : this->Connections)
    Link->rulesChanged();
  return "{\"ok\":true}\n";
}

QByteArray FaultProxy::stats() const {
  QJsonArray Links;
  for (const auto &[Key, Counts] : this->Stats) {
    QJsonObject Entry{{"from", QString::fromStdString(Key.first)},
                      {"link", QString::fromStdString(Key.second)},
                      {"connections", qint64(Counts.Connections)}};
    for (const auto &[Which, Name] : EnumNames<Direction>::Entries) {
      const auto Index = static_cast<std::size_t>(Which);
      const QString Text =
          QString::fromUtf8(Name.data(), static_cast<qsizetype>(Name.size()));
      Entry.insert(Text, qint64(Counts.Delivered[Index]));
      Entry.insert("swallowed_" + Text, qint64(Counts.Discarded[Index]));
    }
    Links.append(Entry);
  }
  const QJsonObject Answer{{"ok", true}, {"links", Links}};
  return QJsonDocument(Answer).toJson(QJsonDocument::Compact) + '\n';
}

} // namespace amaranthspur::fault
