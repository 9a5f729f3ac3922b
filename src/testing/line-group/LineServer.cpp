#include "testing/line-group/LineServer.h"

#include "platform/LineCodec.h"
#include "testing/TaskRunner.h"

#include <QHostAddress>

namespace amaranthspur::linegroup {
namespace {

/// Removes the first space-separated word from \p Rest and returns it.
std::string_view takeWord(std::string_view &Rest) {
  const std::size_t Blank = std::min(Rest.find(' '), Rest.size());
  const std::string_view Word = Rest.substr(0, Blank);
  Rest.remove_prefix(std::min(Blank + 1, Rest.size()));
  return Word;
}

/// Encodes the answer to a statement that returns the server's status.
std::string reportLines(const Result<StatusAnswer> &R) {
  const auto *Report = std::get_if<ServerReport>(&valueOf(R));
  if (!Report)
    return lines::encodeAnswer(std::get<Answer>(valueOf(R)));
  Answer A = success(TransactionState::Idle);
  A.Position = Report->Received;
  A.Rows.push_back(std::string(nameOf(Report->Role)) + " " +
                   std::to_string(Report->TermNumber) + " " +
                   positionText(Report->Received) + " " +
                   std::to_string(Report->AdoptedTerm) + " 0 0 1");
  return lines::encodeAnswer(A);
}

/// Removes a leading `WAITFOR position` from the text of a statement and
/// returns the position; nothing if the text has no such prefix.
std::optional<LogPosition> takeWaitPosition(std::string &Text) {
  constexpr std::string_view Prefix = "WAITFOR ";
  if (!Text.starts_with(Prefix))
    return std::nullopt;
  std::string_view Rest = std::string_view(Text).substr(Prefix.size());
  const std::string Position(takeWord(Rest));
  const std::size_t Dot = Position.find('.');
  const LogPosition Floor{std::stoull(Position.substr(0, Dot)),
                          std::stoull(Position.substr(Dot + 1))};
  Text = std::string(Rest);
  return Floor;
}

/// Runs a statement that the proxy itself issues and returns the encoded
/// answer; nothing if \p Text is a statement of a caller.
QCoro::Task<std::optional<std::string>> runProxyStatement(ServerLink &Link,
                                                          std::string Text) {
  std::string_view Rest = Text;
  const std::string Word(takeWord(Rest));
  if (Word == "STATUS")
    co_return reportLines(co_await Link.status(NoDeadline));
  if (Word == "RESUME")
    co_return reportLines(co_await Link.resume(NoDeadline));
  if (Word == "PAUSE")
    co_return reportLines(
        co_await Link.pause(std::stoull(std::string(Rest)), NoDeadline));
  if (Word == "STEPDOWN")
    co_return reportLines(
        co_await Link.stepDown(std::stoull(std::string(Rest)), NoDeadline));
  Result<Answer> R = Error{};
  const std::string Name(takeWord(Rest));
  if (Word == "RESET") {
    R = co_await Link.reset(NoDeadline);
  } else if (Word == "SET") {
    R = co_await Link.set(Name, std::string(Rest), NoDeadline);
  } else if (Word == "PREPARE") {
    const std::string Mode(takeWord(Rest));
    R = co_await Link.prepare(Name,
                              Mode == "READ" ? Access::Read : Access::Write,
                              std::string(Rest), NoDeadline);
  } else {
    co_return std::nullopt;
  }
  co_return lines::encodeAnswer(valueOf(R));
}

} // namespace

LineServer::LineServer(LineGroup &Group, std::string Id)
    : Group(Group), Id(std::move(Id)) {
  QObject::connect(
      &this->Listener, &QTcpServer::newConnection, &this->Listener, [this] {
        while (QTcpSocket *S = this->Listener.nextPendingConnection())
          this->serve(S);
      });
  this->Listener.listen(QHostAddress::LocalHost);
}

LineServer::~LineServer() {
  this->Listener.close();
  for (LineStream *Stream : this->Streams)
    Stream->abort();
  runTask(this->Tasks.waitUntilEmpty());
}

QCoro::Task<> LineServer::serve(QTcpSocket *Socket) {
  const TaskGroup::Guard Guard(this->Tasks);
  LineStream Stream(Socket);
  this->Streams.insert(&Stream);
  co_await this->serveStream(Stream);
  this->Streams.erase(&Stream);
}

QCoro::Task<> LineServer::serveStream(LineStream &Stream) {
  const std::optional<std::string> Start = co_await Stream.nextLine();
  if (!Start)
    co_return;
  std::string_view Rest = *Start;
  takeWord(Rest);
  takeWord(Rest);
  takeWord(Rest);
  if (Rest != this->Id) {
    Stream.write(lines::encodeRejection(AnswerCode::WrongServer, this->Id));
    Stream.close();
    co_await Stream.waitClosed(steadyNow() + std::chrono::seconds(1));
    co_return;
  }
  RegisteredServer Self;
  Self.Id = ServerId(this->Id);
  OpenedLink Opened =
      co_await this->Group.open(Self, WorkspaceName(), NoDeadline);
  auto *Link = std::get_if<std::unique_ptr<ServerLink>>(&Opened);
  if (!Link)
    co_return;
  Stream.write(lines::encodeGreeting());
  while (true) {
    const std::optional<std::string> Line = co_await Stream.nextLine();
    if (!Line)
      co_return;
    std::string_view Message = *Line;
    takeWord(Message);
    const std::string StatementId(takeWord(Message));
    std::string Text(Message);
    const std::optional<std::string> ProxyAnswer =
        co_await runProxyStatement(**Link, Text);
    if (ProxyAnswer) {
      Stream.write(*ProxyAnswer);
      continue;
    }
    const std::optional<LogPosition> Floor = takeWaitPosition(Text);
    const Result<lines::CallerLine> Decoded = lines::decodeCallerLine(
        std::string("QUERY ").append(StatementId).append(" ").append(Text));
    if (!succeeded(Decoded))
      co_return;
    const Statement S = std::get<Statement>(valueOf(Decoded));
    Result<Answer> R = co_await (*Link)->run(S, Floor, S.Name, NoDeadline);
    if (!succeeded(R))
      co_return;
    Stream.write(lines::encodeAnswer(valueOf(R)));
  }
}

} // namespace amaranthspur::linegroup
