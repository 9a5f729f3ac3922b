#include "testing/fake-backend/Server.h"

#include "testing/fake-backend/Session.h"

#include <QHostAddress>
#include <QRandomGenerator>

#include <algorithm>

namespace amaranthspur::fake {
namespace {

constexpr int ListenBacklog = 512;
/// Time limit for receiving the start-up message, and for sending the remaining
/// data of a closed connection.
constexpr Duration StartupTimeout = std::chrono::seconds(10);
/// Interval at which stop() checks whether all connections have ended.
constexpr Duration StopPollInterval = milliseconds(5);

/// Returns the purpose of the connection. libpq cannot send custom start-up
/// parameters, but it passes `-c name=value` in the parameter `options`.
SessionKind sessionKindOf(const pg::Startup &Start) {
  std::string Name;
  if (const auto Role = Start.Parameters.find("amaranthspur.role");
      Role != Start.Parameters.end())
    Name = Role->second;
  if (const auto Options = Start.Parameters.find("options");
      Options != Start.Parameters.end()) {
    constexpr std::string_view Assignment = "-c amaranthspur.role=";
    const std::size_t At = Options->second.find(Assignment);
    if (At != std::string::npos) {
      Name = Options->second.substr(At + Assignment.size());
      Name.resize(std::min(Name.size(), Name.find(' ')));
    }
  }
  return parseName<SessionKind>(Name).value_or(SessionKind::Work);
}

} // namespace

Server::Server(Settings Config)
    : State(std::move(Config)), Receiver(this->State) {
  this->State.Member.OnAppend = [this] { this->wakeLogWaiters(); };
  this->State.Member.OnChange = [this] { this->groupChanged(); };
}

Result<Success> Server::start() {
  const Settings &Config = this->State.Config;
  if (Config.Role == ServerRole::Primary)
    this->State.Member.startPrimary(Config.FirstTerm);
  else
    this->State.Member.startReplica(Config.FirstTerm, Config.Primary);
  this->Listener.setListenBacklogSize(ListenBacklog);
  this->Listener.setMaxPendingConnections(ListenBacklog);
  QObject::connect(&this->Listener, &QTcpServer::newConnection, &this->Listener,
                   [this] { this->accept(); });
  const QHostAddress Host(QString::fromStdString(Config.Listen.Host));
  if (!this->Listener.listen(Host, Config.Listen.Port))
    return Error{"cannot listen on " + Config.Listen.str()};
  this->Receiver.run();
  return Success();
}

QCoro::Task<> Server::stop(TimePoint Deadline) {
  this->State.Stopping = true;
  this->Listener.close();
  this->Receiver.stop();
  this->wakeLogWaiters();
  for (const auto &[ProcessId, Client] : this->State.Sessions)
    Client->terminate();
  for (Connection *Link : this->Connections)
    Link->interrupt();
  while ((!this->Connections.empty() || this->Receiver.running()) &&
         steadyNow() < Deadline)
    co_await sleepFor(StopPollInterval);
}

void Server::accept() {
  while (QTcpSocket *Socket = this->Listener.nextPendingConnection())
    this->serve(Socket);
}

void Server::wakeLogWaiters() {
  for (WaitPoint *Point : this->State.LogWaiters)
    Point->wake();
}

void Server::groupChanged() {
  if (!this->State.Member.isPrimary())
    this->State.WriterLock.revoke();
  this->wakeLogWaiters();
  this->Receiver.upstreamChanged();
}

/// Serves one connection of any kind.
QCoro::Task<> Server::serve(QTcpSocket *Socket) {
  Connection Link(Socket, pg::MaxCallerFrameBytes, true);
  this->Connections.insert(&Link);
  const std::optional<pg::Startup> Start = co_await this->readStartup(Link);
  if (Start && Start->Kind == pg::StartupKind::Cancel) {
    this->cancel(*Start);
  } else if (Start) {
    const SessionKind Kind = sessionKindOf(*Start);
    if (Kind == SessionKind::Replication)
      co_await sendLog(this->State, Link, Start->Parameters);
    else
      co_await this->serveSession(Link, Kind);
  }
  Link.close();
  // Wait until the output is sent, because the destructor of the connection
  // discards unsent data.
  const TimePoint Deadline = steadyNow() + StartupTimeout;
  while (Link.isOpen() && steadyNow() < Deadline)
    co_await Link.waitReadable(Deadline);
  this->Connections.erase(&Link);
}

/// Reads the start-up message and declines requests for encryption.
QCoro::Task<std::optional<pg::Startup>> Server::readStartup(Connection &Link) {
  const TimePoint Deadline = steadyNow() + StartupTimeout;
  for (;;) {
    const auto Next = Link.reader().next();
    if (!succeeded(Next))
      break;
    if (!valueOf(Next)) {
      const ReadEvent Event = co_await Link.waitReadable(Deadline);
      if (Event != ReadEvent::Data)
        break;
      continue;
    }
    const auto Parsed = pg::parseStartup(valueOf(Next)->Body);
    if (!succeeded(Parsed)) {
      Link.write(pg::buildError("FATAL", "08P01", errorOf(Parsed)));
      break;
    }
    std::optional<pg::Startup> Start = valueOf(Parsed);
    if (Start->Kind == pg::StartupKind::Start ||
        Start->Kind == pg::StartupKind::Cancel)
      co_return Start;
    Link.write("N");
    Link.reader().expectStartup();
  }
  co_return std::optional<pg::Startup>();
}

QCoro::Task<> Server::serveSession(Connection &Link, SessionKind Kind) {
  if (!this->admit(Link, Kind))
    co_return;
  unsigned &Count = Kind == SessionKind::Control
                        ? this->State.ControlConnections
                        : this->State.WorkConnections;
  ++Count;
  std::uint64_t &MaxConnections =
      this->State.count(BackendCounter::MostConnections);
  MaxConnections =
      std::max<std::uint64_t>(MaxConnections, this->State.WorkConnections);
  if (this->State.Config.ConnectDelay > Duration::zero())
    co_await sleepFor(this->State.Config.ConnectDelay);
  {
    const SessionKey Key{++this->LastProcessId,
                         QRandomGenerator::global()->generate()};
    Session Client(this->State, Link, Kind, Key);
    co_await Client.run();
  }
  --Count;
}

bool Server::admit(Connection &Link, SessionKind Kind) {
  const bool Control = Kind == SessionKind::Control;
  const unsigned Limit =
      Control ? ReservedConnections : this->State.Config.ConnectionLimit;
  const unsigned Open =
      Control ? this->State.ControlConnections : this->State.WorkConnections;
  if (Open < Limit)
    return true;
  ++this->State.count(Control ? BackendCounter::RefusedControlConnections
                              : BackendCounter::RefusedConnections);
  Link.write(pg::buildError("FATAL", "53300",
                            "connection limit of " + std::to_string(Limit) +
                                " is reached"));
  return false;
}

void Server::cancel(const pg::Startup &Request) {
  const auto Found = this->State.Sessions.find(Request.ProcessId);
  if (Found != this->State.Sessions.end() &&
      Found->second->key().Secret == Request.SecretKey)
    Found->second->cancel();
}

} // namespace amaranthspur::fake
