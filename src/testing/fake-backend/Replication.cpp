#include "testing/fake-backend/Replication.h"

#include <algorithm>
#include <charconv>

namespace amaranthspur::fake {
namespace {

constexpr Duration HeartbeatInterval = milliseconds(100);
/// A replica that receives nothing for this long opens a new connection. A
/// network fault can stall an open connection while new ones work.
constexpr Duration ReceiveTimeout = milliseconds(1000);
constexpr Duration ConnectTimeout = milliseconds(1000);
constexpr Duration RetryDelay = milliseconds(50);
/// The replica stops reading while its delayed entries exceed this size.
constexpr std::size_t MaxDelayedBytes = 32U << 20U;

std::optional<std::uint64_t> consumeNumber(std::string_view &Rest) {
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

/// Registers a wait point for log changes while in scope.
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
  const GroupMember &Member = Server.Member;
  const std::string TermText = valueAt(StartParameters, "amaranthspur.term");
  std::string_view TermRest = TermText;
  const Term T = consumeNumber(TermRest).value_or(0);
  const auto ReplicaTermEnds =
      parseTermEnds(valueAt(StartParameters, "amaranthspur.log"));
  if (!Member.leads(T) || !succeeded(ReplicaTermEnds)) {
    Link.write(pg::buildError("FATAL", "55000",
                              "server is not the primary of term " + TermText));
    Link.close();
    co_return;
  }
  std::uint64_t Sent = Member.log().commonIndex(valueOf(ReplicaTermEnds));
  Link.write(pg::buildFrame('l', std::to_string(Sent)));
  WaitPoint Appended;
  const LogSubscription Subscription(Server, Appended);
  while (Link.isOpen() && Member.leads(T) && !Server.Stopping) {
    while (Sent < Member.end().Index &&
           Link.queuedBytes() <= Connection::WriteBufferBytes) {
      ++Sent;
      Link.write(buildEntry(Sent, Member.log().at(Sent)));
    }
    if (Sent < Member.end().Index) {
      co_await Link.waitWritable(steadyNow() + HeartbeatInterval);
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
    const std::optional<Upstream> Source = this->Server.Member.upstream();
    if (!Source) {
      co_await this->Changed.wait();
      continue;
    }
    const Term T = this->Server.Member.adoptedTerm();
    co_await this->follow(T, *Source);
    if (!this->Stopping)
      co_await this->Changed.wait(steadyNow() + RetryDelay);
  }
  this->Running = false;
}

/// Replicates from \p Source over one connection until the connection fails or
/// the term or upstream changes.
QCoro::Task<> LogReceiver::follow(Term T, Upstream Source) {
  const TimePoint Deadline = steadyNow() + ConnectTimeout;
  const std::unique_ptr<Connection> Opened =
      co_await Connection::open(Source.From, pg::MaxServerFrameBytes, Deadline,
                                this->Server.Config.BindHost);
  if (!Opened)
    co_return;
  const std::map<std::string, std::string> Parameters = {
      {"user", this->Server.Member.self().str()},
      {"amaranthspur.role", "replication"},
      {"amaranthspur.term", std::to_string(T)},
      {"amaranthspur.log",
       formatTermEnds(this->Server.Member.log().termEnds())}};
  Opened->write(pg::buildStartup(Parameters));
  this->Link = Opened.get();
  this->DelayedEntries.clear();
  this->DelayedBytes = 0;
  this->LastReceived = steadyNow();
  while (!this->Stopping && this->applyDue(T, Source)) {
    if (this->DelayedBytes > MaxDelayedBytes) {
      co_await this->Changed.wait(this->DelayedEntries.front().Due);
      this->LastReceived = steadyNow();
      continue;
    }
    const ReadEvent Event =
        co_await this->Link->waitReadable(this->nextDeadline());
    if (Event == ReadEvent::Closed)
      break;
    if (Event == ReadEvent::Data)
      this->LastReceived = steadyNow();
    if (!this->handleFrames(T, Source) ||
        steadyNow() - this->LastReceived > ReceiveTimeout)
      break;
  }
  this->Link = nullptr;
}

TimePoint LogReceiver::nextDeadline() const {
  const TimePoint ReceiveDeadline = this->LastReceived + ReceiveTimeout;
  if (this->DelayedEntries.empty())
    return ReceiveDeadline;
  return std::min(ReceiveDeadline, this->DelayedEntries.front().Due);
}

/// Handles the received messages.
/// \returns false if the stream must end.
bool LogReceiver::handleFrames(Term T, const Upstream &Source) {
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
      const auto Common = consumeNumber(Rest);
      if (!Common || !this->Server.Member.beginStream(T, Source, *Common))
        return false;
      break;
    }
    case 'e':
      if (!this->enqueueEntry(Rest))
        return false;
      break;
    case 'h':
      break;
    default:
      return false;
    }
  }
}

bool LogReceiver::enqueueEntry(std::string_view Body) {
  const auto EntryTerm = consumeNumber(Body);
  if (!EntryTerm || Body.empty())
    return false;
  Body.remove_prefix(1);
  const auto Index = consumeNumber(Body);
  if (!Index || Body.empty())
    return false;
  Body.remove_prefix(1);
  const TimePoint Due = steadyNow() + this->Server.Config.ReplicationLag;
  this->DelayedBytes += Body.size();
  this->DelayedEntries.push_back(
      {Due, *Index, {*EntryTerm, std::string(Body)}});
  return true;
}

/// Applies the entries whose delay has passed.
/// \returns false if the stream must end.
bool LogReceiver::applyDue(Term T, const Upstream &Source) {
  const GroupMember &Member = this->Server.Member;
  const TimePoint Now = steadyNow();
  while (!this->DelayedEntries.empty() &&
         this->DelayedEntries.front().Due <= Now) {
    DelayedEntry First = std::move(this->DelayedEntries.front());
    this->DelayedEntries.pop_front();
    this->DelayedBytes -= First.Entry.Sql.size();
    if (!this->Server.Member.receive(T, Source, First.Index,
                                     std::move(First.Entry)))
      return false;
  }
  return Member.adoptedTerm() == T && Member.upstream() == Source;
}

} // namespace amaranthspur::fake
