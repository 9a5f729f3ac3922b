#include "platform/LineServerLink.h"

#include "platform/LineStream.h"

#include <algorithm>

namespace amaranthspur {
namespace {

/// A server can become unreachable without closing its connections. These
/// timeouts detect it within 3 s, which is also the time after which a server
/// drops an unreachable client.
constexpr TcpTimeouts ServerTimeouts{std::chrono::seconds(1),
                                     std::chrono::seconds(1), 2,
                                     std::chrono::seconds(2)};

class LineServerLink final : public ServerLink {
public:
  LineServerLink(std::unique_ptr<LineStream> Opened,
                 const RegisteredServer &Server,
                 AbandonedCallObserver *Observer)
      : Stream(std::move(Opened)), Service(Server.Service.str()),
        Target(Server.Id.str()), Observer(Observer) {}

  QCoro::Task<Result<Answer>> run(Statement S, std::optional<LogPosition> Floor,
                                  std::string PreparedName,
                                  TimePoint Deadline) override {
    return this->exchange(
        CallKind::Statement, 0,
        lines::encodeForwardedStatement(S, Floor, PreparedName), Deadline);
  }
  QCoro::Task<Result<Answer>> rollback(TimePoint Deadline) override {
    return this->exchange(CallKind::Session, 0,
                          lines::encodeProxyStatement(lines::RollbackStatement),
                          Deadline);
  }
  QCoro::Task<Result<Answer>> set(std::string Name, std::string Value,
                                  TimePoint Deadline) override {
    return this->exchange(
        CallKind::Session, 0,
        lines::encodeProxyStatement(lines::setStatement(Name, Value)),
        Deadline);
  }
  QCoro::Task<Result<Answer>> prepare(std::string Name, Access Mode,
                                      std::string Shape,
                                      TimePoint Deadline) override {
    return this->exchange(
        CallKind::Session, 0,
        lines::encodeProxyStatement(lines::prepareStatement(Name, Mode, Shape)),
        Deadline);
  }
  QCoro::Task<Result<Answer>> reset(TimePoint Deadline) override {
    return this->exchange(CallKind::Session, 0,
                          lines::encodeProxyStatement(lines::ResetStatement),
                          Deadline);
  }
  QCoro::Task<Result<StatusAnswer>> status(TimePoint Deadline) override {
    return this->exchangeStatus(CallKind::Read, 0,
                                std::string(lines::StatusStatement), Deadline);
  }
  QCoro::Task<Result<StatusAnswer>> pause(Term T, TimePoint Deadline) override {
    return this->exchangeStatus(
        CallKind::Pause, T, lines::adoptTermStatement(ServerRole::Replica, T),
        Deadline);
  }
  QCoro::Task<Result<StatusAnswer>> resume(TimePoint Deadline) override {
    return this->exchangeStatus(CallKind::Resume, 0,
                                std::string(lines::ResumeStatement), Deadline);
  }
  QCoro::Task<Result<StatusAnswer>> stepDown(Term T,
                                             TimePoint Deadline) override {
    return this->exchangeStatus(
        CallKind::StepDown, T,
        lines::adoptTermStatement(ServerRole::Primary, T), Deadline);
  }

  bool isUsable() const override {
    return this->Stream->isOpen() && !this->Outstanding;
  }
  void abort() override {
    this->AbortedAs = this->Stream->endIfGivenUp();
    this->Stream->abort();
  }

private:
  /// Sends one message and reads the answer to it.
  QCoro::Task<Result<Answer>>
  exchange(CallKind Kind, Term T, std::string Message, TimePoint Deadline) {
    if (!this->isUsable())
      co_return Error{"connection to server is closed"};
    // The flag stays set if no answer arrives in time, so that the connection
    // is not used again: a late answer would be taken for the answer to a later
    // message.
    this->Outstanding = true;
    this->Stream->limitUnacknowledged(Deadline - steadyNow());
    const TimePoint WrittenAt = steadyNow();
    this->Stream->write(Message);
    // Without this, the event loop would pass the bytes to the kernel later,
    // perhaps after a suspension.
    this->Stream->flush();
    lines::AnswerReader Reader;
    while (true) {
      const std::optional<std::string> Line =
          co_await this->Stream->nextLine(Deadline);
      if (!Line) {
        const bool IsLost = !this->Stream->isOpen();
        this->reportAbandoned(Kind, T, Message.size(), WrittenAt);
        // Resets the connection, so that the server does not execute the
        // message after the failure has been reported.
        this->Stream->abort();
        co_return Error{IsLost ? "connection to server lost"
                               : "no answer in time"};
      }
      const Result<bool> Complete = Reader.addLine(*Line);
      if (!succeeded(Complete))
        co_return Error{errorOf(Complete)};
      if (valueOf(Complete))
        break;
    }
    this->Outstanding = false;
    co_return Reader.takeAnswer();
  }

  /// Sends a statement whose answer has a status row, and decodes the row.
  QCoro::Task<Result<StatusAnswer>>
  exchangeStatus(CallKind Kind, Term T, std::string Text, TimePoint Deadline) {
    Result<Answer> R = co_await this->exchange(
        Kind, T, lines::encodeProxyStatement(Text), Deadline);
    if (!succeeded(R))
      co_return Error{errorOf(R)};
    Answer A = valueOf(std::move(R));
    if (A.Code || A.Rows.empty())
      co_return Result<StatusAnswer>(StatusAnswer(std::move(A)));
    const Result<ServerReport> Report = lines::decodeReport(A.Rows.front());
    if (!succeeded(Report))
      co_return Error{errorOf(Report)};
    co_return Result<StatusAnswer>(StatusAnswer(valueOf(Report)));
  }

  /// Reports that a call whose message has \p Size bytes ended without an
  /// answer.
  void reportAbandoned(CallKind Kind, Term T, std::size_t Size,
                       TimePoint WrittenAt) const {
    if (!this->Observer || Kind == CallKind::Read)
      return;
    const std::size_t Queued = std::min(Size, this->Stream->queuedBytes());
    this->Observer->recordAbandoned(
        {{Kind, this->Service, this->Target, T, 0},
         Size - Queued,
         steadyNow() - WrittenAt,
         this->AbortedAs.value_or(this->Stream->endIfGivenUp())});
  }

  std::unique_ptr<LineStream> Stream;
  std::string Service;
  std::string Target;
  AbandonedCallObserver *Observer;
  bool Outstanding = false;
  std::optional<ConnectionEnd> AbortedAs; ///< Set by abort().
};

/// Waits for the server's greeting.
/// \returns why the connection cannot be used, or nothing if the server
/// accepted it.
QCoro::Task<std::optional<OpenFailure>> readGreeting(LineStream &Stream,
                                                     TimePoint Deadline) {
  lines::AnswerReader Reader;
  while (true) {
    const std::optional<std::string> Line = co_await Stream.nextLine(Deadline);
    if (!Line) {
      // A server rejects a connection with an ERROR line that is not followed
      // by READY, and then closes it.
      const Answer Rejection = Reader.takeAnswer();
      co_return OpenFailure{true, Rejection.Code,
                            "no greeting " + Rejection.Detail};
    }
    const Result<bool> Complete = Reader.addLine(*Line);
    if (!succeeded(Complete))
      co_return OpenFailure{true, std::nullopt, errorOf(Complete)};
    if (valueOf(Complete))
      break;
  }
  const Answer Greeting = Reader.takeAnswer();
  if (Greeting.Code)
    co_return OpenFailure{true, Greeting.Code, Greeting.Detail};
  co_return std::nullopt;
}

} // namespace

QCoro::Task<OpenedLink> LineServerConnector::open(RegisteredServer Server,
                                                  WorkspaceName For,
                                                  TimePoint Deadline) {
  QTcpSocket *Socket = co_await openSocket(Server.At, Deadline);
  if (!Socket)
    co_return OpenedLink(OpenFailure{false, std::nullopt,
                                     "cannot connect to " + Server.At.str()});
  auto Stream = std::make_unique<LineStream>(Socket);
  Stream->setTcpTimeouts(ServerTimeouts);
  Stream->write(lines::encodeConnect(
      Server.Service, For.empty() ? this->Self.str() : For.str(), Server.Id));
  std::optional<OpenFailure> Failure = co_await readGreeting(*Stream, Deadline);
  if (Failure)
    co_return OpenedLink(std::move(*Failure));
  std::unique_ptr<ServerLink> Link = std::make_unique<LineServerLink>(
      std::move(Stream), Server, this->Observer);
  co_return OpenedLink(std::move(Link));
}

} // namespace amaranthspur
