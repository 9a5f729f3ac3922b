#include "root/sessions/SessionListener.h"

#include "wire/Listener.h"

#include <utility>

namespace amaranthspur {

SessionListener::SessionListener(const SessionDependencies &Dependencies,
                                 CallerStreamFactory &Streams, Address Listen,
                                 std::size_t MaxSessions,
                                 const StopLimits &Limits)
    : Dependencies(Dependencies), Streams(Streams), Listen(std::move(Listen)),
      MaxSessions(MaxSessions), Limits(Limits) {}

SessionListener::~SessionListener() = default;

QCoro::Task<Result<Success>> SessionListener::start() {
  this->Finishing = false;
  this->Schedule.reset();
  Result<std::unique_ptr<QTcpServer>> Opened = listenAt(
      this->Listen, [this](QTcpSocket *Socket) { this->accept(Socket); });
  if (!succeeded(Opened))
    co_return Error{errorOf(Opened)};
  this->Server = valueOf(std::move(Opened));
  this->Accepting = true;
  const Result<Success> Started = Success();
  co_return Started;
}

QCoro::Task<> SessionListener::stop(TimePoint Deadline) {
  const TimePoint Start = steadyNow();
  this->Schedule.emplace(this->Limits, Start, Deadline);
  for (Session *S : this->Sessions)
    S->followStop(*this->Schedule);
  if (std::exchange(this->Accepting, false))
    co_await sleepFor(this->Schedule->noticeEnd() - Start);
  this->Finishing = true;
  if (this->Server)
    this->Server->close();
  for (Session *S : this->Sessions)
    S->finish();
  const bool Ended = co_await this->Tasks.waitUntilEmpty(Deadline);
  if (Ended)
    co_return;
  for (Session *S : this->Sessions)
    S->abort();
  co_await this->Tasks.waitUntilEmpty(steadyNow() + milliseconds(200));
}

void SessionListener::accept(QTcpSocket *Socket) {
  if (this->Sessions.size() < this->MaxSessions) {
    this->serve(Socket);
    return;
  }
  this->Dependencies.Counters.add(Counter::CallersRejected, "connection limit");
  Socket->abort();
  Socket->deleteLater();
}

QCoro::Task<> SessionListener::serve(QTcpSocket *Socket) {
  const TaskGroup::Guard Guard(this->Tasks);
  Session Served(this->Dependencies, this->Streams.make(Socket),
                 this->NextSession++);
  this->Sessions.insert(&Served);
  if (this->Schedule)
    Served.followStop(*this->Schedule);
  if (this->Finishing)
    Served.finish();
  this->Dependencies.Counters.set(Gauge::OpenCallerConnections,
                                  static_cast<double>(this->Sessions.size()));
  co_await Served.run();
  this->Sessions.erase(&Served);
  this->Dependencies.Counters.set(Gauge::OpenCallerConnections,
                                  static_cast<double>(this->Sessions.size()));
}

} // namespace amaranthspur
