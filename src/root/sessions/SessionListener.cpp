#include "root/sessions/SessionListener.h"

#include <QHostAddress>

#include <utility>

namespace amaranthspur {
namespace {

/// Connections that the system may queue; a crest brings hundreds at once.
constexpr int ListenBacklog = 1024;

} // namespace

SessionListener::SessionListener(const SessionDependencies &Dependencies,
                                 CallerStreamFactory &Streams, Address Listen,
                                 std::size_t MaxSessions, Duration Notice)
    : Dependencies(Dependencies), Streams(Streams), Listen(std::move(Listen)),
      MaxSessions(MaxSessions), Notice(Notice) {}

SessionListener::~SessionListener() = default;

QCoro::Task<Result<Success>> SessionListener::start() {
  this->Finishing = false;
  this->Server = std::make_unique<QTcpServer>();
  this->Server->setListenBacklogSize(ListenBacklog);
  this->Server->setMaxPendingConnections(ListenBacklog);
  QObject::connect(this->Server.get(), &QTcpServer::newConnection,
                   this->Server.get(), [this] { this->acceptPending(); });
  if (!this->Server->listen(
          QHostAddress(QString::fromStdString(this->Listen.Host)),
          this->Listen.Port))
    co_return Error{"cannot listen on " + this->Listen.str() + ": " +
                    this->Server->errorString().toStdString()};
  this->Accepting = true;
  const Result<Success> Started = Success();
  co_return Started;
}

QCoro::Task<> SessionListener::stop(TimePoint Deadline) {
  if (std::exchange(this->Accepting, false))
    co_await sleepFor(std::min(this->Notice, Deadline - steadyNow()));
  this->Finishing = true;
  if (this->Server)
    this->Server->close();
  for (Session *S : this->Sessions)
    S->finish();
  const bool Ended = co_await this->Tasks.empty(Deadline);
  if (Ended)
    co_return;
  for (Session *S : this->Sessions)
    S->abort();
  co_await this->Tasks.empty(steadyNow() + milliseconds(200));
}

void SessionListener::acceptPending() {
  while (QTcpSocket *Socket = this->Server->nextPendingConnection()) {
    if (this->Sessions.size() < this->MaxSessions) {
      this->serve(Socket);
      continue;
    }
    this->Dependencies.Counters.add(Counter::CallersRejected,
                                    "connection limit");
    Socket->abort();
    Socket->deleteLater();
  }
}

QCoro::Task<> SessionListener::serve(QTcpSocket *Socket) {
  const TaskGroup::Guard Guard(this->Tasks);
  Session Served(this->Dependencies, this->Streams.make(Socket),
                 this->NextSession++);
  this->Sessions.insert(&Served);
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
