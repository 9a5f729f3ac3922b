#include "platform/LineServerLink.h"

#include "platform/LineStream.h"

namespace amaranthspur {
namespace {

/// Open connections may go silent for good. A lost peer is noticed within 3 s,
/// the time after which servers themselves drop an unreachable caller.
constexpr SilenceLimits ServerSilence{std::chrono::seconds(1),
                                      std::chrono::seconds(1), 2,
                                      std::chrono::seconds(2)};

class LineServerLink final : public ServerLink {
public:
  explicit LineServerLink(std::unique_ptr<LineStream> Opened)
      : Stream(std::move(Opened)) {}

  QCoro::Task<Result<Answer>> run(Statement S, std::optional<LogPosition> Floor,
                                  std::string PreparedName,
                                  TimePoint Deadline) override {
    return this->exchange(lines::encodeForward(S, Floor, PreparedName),
                          Deadline);
  }
  QCoro::Task<Result<Answer>> rollback(TimePoint Deadline) override {
    return this->exchange(lines::encodeOwn(lines::RollbackText), Deadline);
  }
  QCoro::Task<Result<Answer>> set(std::string Name, std::string Value,
                                  TimePoint Deadline) override {
    return this->exchange(lines::encodeOwn(lines::setText(Name, Value)),
                          Deadline);
  }
  QCoro::Task<Result<Answer>> prepare(std::string Name, Access Mode,
                                      std::string Shape,
                                      TimePoint Deadline) override {
    return this->exchange(
        lines::encodeOwn(lines::prepareText(Name, Mode, Shape)), Deadline);
  }
  QCoro::Task<Result<Answer>> reset(TimePoint Deadline) override {
    return this->exchange(lines::encodeOwn(lines::ResetText), Deadline);
  }
  QCoro::Task<Result<StatusAnswer>> status(TimePoint Deadline) override {
    return this->report(std::string(lines::StatusText), Deadline);
  }
  QCoro::Task<Result<StatusAnswer>> pause(Term T, TimePoint Deadline) override {
    return this->report(lines::adoptText(ServerRole::Replica, T), Deadline);
  }
  QCoro::Task<Result<StatusAnswer>> resume(TimePoint Deadline) override {
    return this->report(std::string(lines::ResumeText), Deadline);
  }
  QCoro::Task<Result<StatusAnswer>> stepDown(Term T,
                                             TimePoint Deadline) override {
    return this->report(lines::adoptText(ServerRole::Primary, T), Deadline);
  }

  bool isUsable() const override {
    return this->Stream->isOpen() && !this->Outstanding;
  }
  void abort() override { this->Stream->abort(); }

private:
  /// Sends one message and reads its answer.
  QCoro::Task<Result<Answer>> exchange(std::string Message,
                                       TimePoint Deadline) {
    if (!this->isUsable())
      co_return Error{"connection to server is closed"};
    // Stays set if the answer does not come: a later answer on this
    // connection would be taken for that of another message.
    this->Outstanding = true;
    this->Stream->write(Message);
    lines::AnswerReader Reader;
    while (true) {
      const std::optional<std::string> Line =
          co_await this->Stream->nextLine(Deadline);
      if (!Line)
        co_return Error{this->Stream->isOpen() ? "no answer in time"
                                               : "connection to server lost"};
      const Result<bool> Complete = Reader.take(*Line);
      if (!succeeded(Complete))
        co_return Error{errorOf(Complete)};
      if (valueOf(Complete))
        break;
    }
    this->Outstanding = false;
    co_return Reader.finish();
  }

  QCoro::Task<Result<StatusAnswer>> report(std::string Text,
                                           TimePoint Deadline) {
    Result<Answer> R =
        co_await this->exchange(lines::encodeOwn(Text), Deadline);
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

  std::unique_ptr<LineStream> Stream;
  bool Outstanding = false;
};

/// Reads the greeting; returns what went wrong, or nothing.
QCoro::Task<std::optional<OpenFailure>> greet(LineStream &Stream,
                                              TimePoint Deadline) {
  lines::AnswerReader Reader;
  while (true) {
    const std::optional<std::string> Line = co_await Stream.nextLine(Deadline);
    if (!Line) {
      // A rejection is an ERROR line without a READY, followed by the end.
      const Answer Said = Reader.finish();
      co_return OpenFailure{true, Said.Code, "no greeting " + Said.Detail};
    }
    const Result<bool> Complete = Reader.take(*Line);
    if (!succeeded(Complete))
      co_return OpenFailure{true, std::nullopt, errorOf(Complete)};
    if (valueOf(Complete))
      break;
  }
  const Answer Said = Reader.finish();
  if (Said.Code)
    co_return OpenFailure{true, Said.Code, Said.Detail};
  co_return std::nullopt;
}

} // namespace

QCoro::Task<OpenedLink> LineServerConnector::open(RegisteredServer Server,
                                                  TimePoint Deadline) {
  QTcpSocket *Socket = co_await openSocket(Server.At, Deadline);
  if (!Socket)
    co_return OpenedLink(OpenFailure{false, std::nullopt,
                                     "cannot connect to " + Server.At.str()});
  auto Stream = std::make_unique<LineStream>(Socket);
  Stream->setSilenceLimits(ServerSilence);
  Stream->write(
      lines::encodeConnect(Server.Service, this->Self.str(), Server.Id));
  std::optional<OpenFailure> Failure = co_await greet(*Stream, Deadline);
  if (Failure)
    co_return OpenedLink(std::move(*Failure));
  std::unique_ptr<ServerLink> Link =
      std::make_unique<LineServerLink>(std::move(Stream));
  co_return OpenedLink(std::move(Link));
}

} // namespace amaranthspur
