#include "testing/fake-backend/Replication.h"

#include <algorithm>
#include <charconv>

namespace amaranthspur::fake {
namespace {

constexpr Duration HeartbeatInterval = milliseconds(100);
/// A replica opens a new connection when it has heard nothing for so long: an
/// open connection can go silent while new ones work.
constexpr Duration SilenceLimit = milliseconds(1000);
constexpr Duration ConnectTimeout = milliseconds(1000);
constexpr Duration RetryDelay = milliseconds(50);
/// The replica stops reading while it holds this many delayed bytes.
constexpr std::size_t MaxWaitingBytes = 32U << 20U;

std::optional<std::uint64_t> takeNumber(std::string_view &Rest) {
  std::uint64_t Number = 0;
  const auto [End, Status] =
      std::from_chars(Rest.data(), Rest.data() + Rest.size(), Number);
  if (Status != std::errc())
    return std::nullopt;
  Rest.remove_prefix(static_cast<std::size_t>(End - Rest.data()));
  return Number;
}

std::string valueAt(const std::map<std::string, std::string> &Parameters,
                    const char *Name) {
  const auto Found = Parameters.find(Name);
  return Found == Parameters.end() ? std::string() : Found->second;
}

std::string buildEntry(std::uint64_t Index, const LogEntry &Entry) {
  std::string Body = std::to_string(Entry.TermNumber) + " " +
                     std::to_string(Index) + "\n" + Entry.Sql;
  return pg::buildFrame('e', Body);
}

/// Keeps a wait point registered for appends.
class LogSubscription {
public:
  LogSubscription(ServerState &Server, WaitPoint &Point)
      : Server(Server), Point(Point) {
    this->Server.LogWaiters.insert(&Point);
  }
  LogSubscription(const LogSubscription &) = delete;
  LogSubscription &operator=(const LogSubscription &) = delete;
  ~LogSubscription() { this->Server.LogWaiters.erase(&this->Point); }

private:
  ServerState &Server;
  WaitPoint &Point;
};

} // namespace

QCoro::Task<>
sendLog(ServerState &Server, Connection &Link,
        const std::map<std::string, std::string> &StartParameters) {
  const Group &Members = Server.Members;
  const std::string TermText = valueAt(StartParameters, "amaranthspur.term");
  std::string_view TermRest = TermText;
  const Term T = takeNumber(TermRest).value_or(0);
  const auto Theirs =
      parseTermEnds(valueAt(StartParameters, "amaranthspur.log"));
  if (!Members.leads(T) || !succeeded(Theirs)) {
    Link.write(pg::buildError("FATAL", "55000",
                              "server is not the primary of term " + TermText));
    Link.close();
    co_return;
  }
  std::uint64_t Sent = Members.log().commonIndex(valueOf(Theirs));
  Link.write(pg::buildFrame('l', std::to_string(Sent)));
  WaitPoint Appended;
  const LogSubscription Subscription(Server, Appended);
  while (Link.isOpen() && Members.leads(T) && !Server.Stopping) {
    while (Sent < Members.end().Index &&
           Link.queuedBytes() <= Connection::WriteBufferBytes) {
      ++Sent;
      Link.write(buildEntry(Sent, Members.log().at(Sent)));
    }
    if (Sent < Members.end().Index) {
      co_await Link.writable(steadyNow() + HeartbeatInterval);
      continue;
    }
    const bool Woken = co_await Appended.wait(steadyNow() + HeartbeatInterval);
    if (!Woken)
      Link.write(pg::buildFrame('h', ""));
  }
  Link.close();
}

void LogReceiver::upstreamChanged() {
  this->Changed.wake();
  if (this->Link != nullptr)
    this->Link->interrupt();
}

void LogReceiver::stop() {
  this->Stopping = true;
  this->upstreamChanged();
}

QCoro::Task<> LogReceiver::run() {
  this->Running = true;
  while (!this->Stopping) {
    const std::optional<Upstream> Source = this->Server.Members.upstream();
    if (!Source) {
      co_await this->Changed.wait();
      continue;
    }
    const Term T = this->Server.Members.adoptedTerm();
    co_await this->follow(T, *Source);
    if (!this->Stopping)
      co_await this->Changed.wait(steadyNow() + RetryDelay);
  }
  this->Running = false;
}

/// Follows \p Source over one connection, until it fails or the group changes.
QCoro::Task<> LogReceiver::follow(Term T, Upstream Source) {
  const TimePoint Deadline = steadyNow() + ConnectTimeout;
  const std::unique_ptr<Connection> Opened =
      co_await Connection::open(Source.From, pg::MaxServerFrameBytes, Deadline,
                                this->Server.Config.BindHost);
  if (!Opened)
    co_return;
  const std::map<std::string, std::string> Parameters = {
      {"user", this->Server.Members.self().str()},
      {"amaranthspur.role", "replication"},
      {"amaranthspur.term", std::to_string(T)},
      {"amaranthspur.log",
       formatTermEnds(this->Server.Members.log().termEnds())}};
  Opened->write(pg::buildStartup(Parameters));
  this->Link = Opened.get();
  this->Waiting.clear();
  this->WaitingBytes = 0;
  this->LastHeard = steadyNow();
  while (!this->Stopping && this->applyDue(T, Source)) {
    if (this->WaitingBytes > MaxWaitingBytes) {
      co_await this->Changed.wait(this->Waiting.front().Due);
      this->LastHeard = steadyNow();
      continue;
    }
    const ReadEvent Event = co_await this->Link->readable(this->nextDeadline());
    if (Event == ReadEvent::Closed)
      break;
    if (Event == ReadEvent::Data)
      this->LastHeard = steadyNow();
    if (!this->takeFrames(T, Source) ||
        steadyNow() - this->LastHeard > SilenceLimit)
      break;
  }
  this->Link = nullptr;
}

TimePoint LogReceiver::nextDeadline() const {
  const TimePoint Silent = this->LastHeard + SilenceLimit;
  if (this->Waiting.empty())
    return Silent;
  return std::min(Silent, this->Waiting.front().Due);
}

/// Takes the frames that have arrived; returns false if the stream must end.
bool LogReceiver::takeFrames(Term T, const Upstream &Source) {
  for (;;) {
    const auto Next = this->Link->reader().next();
    if (!succeeded(Next))
      return false;
    if (!valueOf(Next))
      return true;
    const pg::Frame F = *valueOf(Next);
    std::string_view Rest = F.Body;
    switch (F.Type) {
    case 'l': {
      const auto Common = takeNumber(Rest);
      if (!Common || !this->Server.Members.beginStream(T, Source, *Common))
        return false;
      break;
    }
    case 'e':
      if (!this->takeEntry(Rest))
        return false;
      break;
    case 'h':
      break;
    default:
      return false;
    }
  }
}

bool LogReceiver::takeEntry(std::string_view Body) {
  const auto EntryTerm = takeNumber(Body);
  if (!EntryTerm || Body.empty())
    return false;
  Body.remove_prefix(1);
  const auto Index = takeNumber(Body);
  if (!Index || Body.empty())
    return false;
  Body.remove_prefix(1);
  const TimePoint Due = steadyNow() + this->Server.Config.ReplicationLag;
  this->WaitingBytes += Body.size();
  this->Waiting.push_back({Due, *Index, {*EntryTerm, std::string(Body)}});
  return true;
}

/// Applies the entries whose lag is over; returns false if the stream must end.
bool LogReceiver::applyDue(Term T, const Upstream &Source) {
  const Group &Members = this->Server.Members;
  const TimePoint Now = steadyNow();
  while (!this->Waiting.empty() && this->Waiting.front().Due <= Now) {
    Delayed First = std::move(this->Waiting.front());
    this->Waiting.pop_front();
    this->WaitingBytes -= First.Entry.Sql.size();
    if (!this->Server.Members.receive(T, Source, First.Index,
                                      std::move(First.Entry)))
      return false;
  }
  return Members.adoptedTerm() == T && Members.upstream() == Source;
}

} // namespace amaranthspur::fake
