#include "root/backends/ServerConnection.h"

#include <charconv>

namespace amaranthspur {
namespace {

/// Parses all of \p Text as a decimal number.
bool parseDecimal(std::string_view Text, std::uint64_t &Number) {
  const char *End = Text.data() + Text.size();
  const auto [Rest, Status] = std::from_chars(Text.data(), End, Number);
  return Status == std::errc() && Rest == End;
}

/// Returns the number in the first four bytes, in network byte order.
std::uint32_t readBigEndian(std::string_view Bytes) {
  std::uint32_t Value = 0;
  for (const char C : Bytes.substr(0, 4))
    Value = (Value << 8U) | static_cast<unsigned char>(C);
  return Value;
}

/// Processes one frame of the start-up phase.
/// \returns std::monostate if more frames must follow, true if the start-up is
/// complete, or a failure if the server refused it.
std::variant<std::monostate, bool, ConnectFailure>
processStartupFrame(const pg::Frame &F, ServerConnection &Opened) {
  switch (F.Type) {
  case 'Z':
    return true;
  case 'E': {
    pg::ErrorFields Fields = pg::parseError(F.Body);
    return ConnectFailure{std::move(Fields.SqlState),
                          std::move(Fields.Message)};
  }
  case 'R':
    if (F.Body.size() < 4 || readBigEndian(F.Body) != 0)
      return ConnectFailure{"28000", "server asks for authentication"};
    return std::monostate();
  case 'K':
    if (F.Body.size() == 8) {
      Opened.ProcessId = readBigEndian(F.Body);
      Opened.SecretKey = readBigEndian(F.Body.substr(4));
    }
    return std::monostate();
  case 'S':
    parsePositionParameter(F.Body, Opened.Position);
    return std::monostate();
  default:
    return std::monostate();
  }
}

} // namespace

bool parsePositionParameter(std::string_view Body, LogPosition &Position) {
  const auto Status = pg::parseParameterStatus(Body);
  if (!succeeded(Status) || valueOf(Status).Name != "group.position")
    return false;
  const std::string_view Value = valueOf(Status).Value;
  const std::size_t Slash = Value.find('/');
  LogPosition Parsed;
  if (Slash == std::string_view::npos ||
      !parseDecimal(Value.substr(0, Slash), Parsed.TermNumber) ||
      !parseDecimal(Value.substr(Slash + 1), Parsed.Index))
    return false;
  Position = Parsed;
  return true;
}

QCoro::Task<std::variant<std::unique_ptr<ServerConnection>, ConnectFailure>>
openServerConnection(Address To, std::string BindHost, std::string User,
                     TimePoint Deadline) {
  auto Opened = std::make_unique<ServerConnection>();
  Opened->Wire = co_await Connection::open(To, pg::MaxServerFrameBytes,
                                           Deadline, BindHost);
  if (!Opened->Wire)
    co_return ConnectFailure{"", "no connection to " + To.str()};
  Opened->Wire->write(
      pg::buildStartup({{"user", User}, {"database", "amaranthspur"}}));
  for (;;) {
    const Result<std::optional<pg::Frame>> Next = Opened->Wire->reader().next();
    if (!succeeded(Next))
      co_return ConnectFailure{"", errorOf(Next)};
    if (!valueOf(Next)) {
      const ReadEvent Event = co_await Opened->Wire->waitReadable(Deadline);
      if (Event != ReadEvent::Data)
        co_return ConnectFailure{"", "no answer to start-up from " + To.str()};
      continue;
    }
    const auto Step = processStartupFrame(*valueOf(Next), *Opened);
    if (const auto *Failure = std::get_if<ConnectFailure>(&Step))
      co_return *Failure;
    if (std::holds_alternative<bool>(Step))
      co_return std::move(Opened);
  }
}

QCoro::Task<> sendCancel(Address To, std::string BindHost,
                         std::uint32_t ProcessId, std::uint32_t SecretKey,
                         TimePoint Deadline) {
  const std::unique_ptr<Connection> Wire = co_await Connection::open(
      To, pg::MaxServerFrameBytes, Deadline, BindHost);
  if (!Wire)
    co_return;
  Wire->write(pg::buildCancel(ProcessId, SecretKey));
  // The server closes the connection when it has received the request.
  ReadEvent Event = ReadEvent::Data;
  while (Event == ReadEvent::Data)
    Event = co_await Wire->waitReadable(Deadline);
}

} // namespace amaranthspur
