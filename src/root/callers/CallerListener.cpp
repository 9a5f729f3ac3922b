#include "root/callers/CallerListener.h"

#include "wire/Listener.h"

namespace amaranthspur {

CallerListener::CallerListener(SessionContext &Context, Address Listen,
                               std::size_t MaxCallers,
                               std::uint64_t FirstSessionNumber,
                               Duration DrainNotice)
    : Context(Context), Listen(std::move(Listen)), MaxCallers(MaxCallers),
      NextSessionNumber(FirstSessionNumber), DrainNotice(DrainNotice) {}

CallerListener::~CallerListener() = default;

QCoro::Task<Result<Success>> CallerListener::start() {
  Result<std::unique_ptr<QTcpServer>> Listening = listenAt(
      this->Listen, [this](QTcpSocket *Socket) { this->accept(Socket); });
  if (!succeeded(Listening))
    co_return Error{errorOf(Listening)};
  this->Server = valueOf(std::move(Listening));
  this->Accepting = true;
  co_return Success();
}

QCoro::Task<> CallerListener::stop(TimePoint Deadline) {
  if (std::exchange(this->Accepting, false))
    co_await sleepFor(std::min(this->DrainNotice, Deadline - steadyNow()));
  if (this->Server)
    this->Server->close();
  for (const auto &[Number, Session] : this->Sessions)
    Session->finish();
  const bool AllEnded = co_await this->Tasks.waitUntilEmpty(Deadline);
  if (!AllEnded)
    for (const auto &[Number, Session] : this->Sessions)
      Session->abort();
  co_await this->Tasks.waitUntilEmpty(steadyNow() + std::chrono::seconds(1));
}

void CallerListener::accept(QTcpSocket *Socket) {
  if (this->Sessions.size() >= this->MaxCallers)
    this->refuse(Socket);
  else
    this->serve(Socket);
}

void CallerListener::refuse(QTcpSocket *Socket) {
  this->Context.Counters.add(Counter::CallersRejected, "connection limit");
  const std::string Bytes =
      pg::buildError("FATAL", "53300", "not run: too many callers");
  Socket->write(Bytes.data(), static_cast<qint64>(Bytes.size()));
  QObject::connect(Socket, &QTcpSocket::disconnected, Socket,
                   &QObject::deleteLater);
  Socket->disconnectFromHost();
}

QCoro::Task<> CallerListener::serve(QTcpSocket *Socket) {
  const TaskGroup::Guard Guard(this->Tasks);
  const std::uint64_t Number = this->NextSessionNumber++;
  const CancelKey Key{static_cast<std::uint32_t>(Number & 0x7fffffffU),
                      this->SecretKeySource()};
  CallerSession Session(
      this->Context,
      std::make_unique<Connection>(Socket, pg::MaxCallerFrameBytes, true),
      Number, Key, [this](const CancelKey &Target) { this->cancel(Target); });
  this->Sessions.emplace(Number, &Session);
  this->CancelKeys.emplace(Key, Number);
  this->Context.Counters.add(Counter::CallerConnections);
  this->Context.Counters.set(Gauge::OpenCallerConnections,
                             static_cast<double>(this->Sessions.size()));
  co_await Session.run();
  this->Sessions.erase(Number);
  this->CancelKeys.erase(Key);
  this->Context.Counters.set(Gauge::OpenCallerConnections,
                             static_cast<double>(this->Sessions.size()));
}

void CallerListener::cancel(const CancelKey &Key) {
  const auto Found = this->CancelKeys.find(Key);
  if (Found == this->CancelKeys.end())
    return;
  const auto Session = this->Sessions.find(Found->second);
  if (Session != this->Sessions.end())
    Session->second->cancel();
}

} // namespace amaranthspur
