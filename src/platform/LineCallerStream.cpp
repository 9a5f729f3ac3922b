#include "platform/LineCallerStream.h"

#include "platform/LineStream.h"

namespace amaranthspur {
namespace {

/// Sessions are long and mostly idle. These timeouts detect an unreachable
/// caller within 30 s, so that its session is released.
constexpr TcpTimeouts CallerTimeouts{std::chrono::seconds(15),
                                     std::chrono::seconds(5), 3,
                                     std::chrono::seconds(15)};

class LineCallerStream final : public CallerStream {
public:
  explicit LineCallerStream(QTcpSocket *Accepted) : Stream(Accepted) {
    this->Stream.setTcpTimeouts(CallerTimeouts);
  }

  QCoro::Task<CallerMessage> receive(TimePoint Deadline) override {
    const std::optional<std::string> Line =
        co_await this->Stream.nextLine(Deadline);
    if (!Line) {
      CallerMessage Ended = NoMessage{};
      if (this->Stream.reader().overflowed())
        Ended = MalformedMessage{AnswerCode::TooBig, "message is too long"};
      else if (!this->Stream.isOpen())
        Ended = CallerDisconnected{};
      co_return Ended;
    }
    Result<lines::CallerLine> Decoded = lines::decodeCallerLine(*Line);
    if (!succeeded(Decoded))
      co_return CallerMessage(
          MalformedMessage{AnswerCode::Malformed, errorOf(Decoded)});
    lines::CallerLine Message = valueOf(std::move(Decoded));
    if (auto *Connect = std::get_if<lines::ConnectLine>(&Message))
      co_return CallerMessage(SessionRequest{std::move(Connect->Database),
                                             std::move(Connect->Key)});
    if (auto *S = std::get_if<Statement>(&Message))
      co_return CallerMessage(std::move(*S));
    co_return CallerMessage(CallerDisconnected{});
  }

  void greet() override { this->Stream.write(lines::encodeGreeting()); }
  void reject(AnswerCode Code, std::string Why) override {
    this->Stream.write(lines::encodeRejection(Code, Why));
  }
  void send(const Answer &A) override {
    this->Stream.write(lines::encodeAnswer(A));
  }
  QCoro::Task<bool> flushed(TimePoint Deadline) override {
    return this->Stream.waitWritable(Deadline);
  }
  void interrupt() override { this->Stream.interrupt(); }
  QCoro::Task<> finish(TimePoint Deadline) override {
    this->Stream.close();
    co_await this->Stream.waitClosed(Deadline);
  }
  void abort() override { this->Stream.abort(); }
  bool isOpen() const override { return this->Stream.isOpen(); }

private:
  LineStream Stream;
};

} // namespace

std::unique_ptr<CallerStream>
LineCallerStreamFactory::make(QTcpSocket *Accepted) {
  return std::make_unique<LineCallerStream>(Accepted);
}

} // namespace amaranthspur
