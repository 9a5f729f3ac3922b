#include "platform/LineCodec.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace amaranthspur::lines {
namespace {

constexpr std::string_view LineEnd = "\r\n";

constexpr auto AnswerCodeWords =
    std::to_array<std::pair<AnswerCode, std::string_view>>(
        {{AnswerCode::Busy, "BUSY"},
         {AnswerCode::Lagging, "LAGGING"},
         {AnswerCode::ReadOnly, "READONLY"},
         {AnswerCode::WrongServer, "WRONGNODE"},
         {AnswerCode::TooManyConnections, "TOOMANY"},
         {AnswerCode::Failed, "FAILED"},
         {AnswerCode::UnknownStatement, "NOSTMT"},
         {AnswerCode::Timeout, "TIMEOUT"},
         {AnswerCode::NotAuthorised, "NOAUTH"},
         {AnswerCode::UnknownDatabase, "NODB"},
         {AnswerCode::TooBig, "TOOBIG"},
         {AnswerCode::Malformed, "MALFORMED"},
         {AnswerCode::Aborted, "ABORTED"},
         {AnswerCode::OutcomeUnknown, "INDOUBT"}});

constexpr auto StateWords =
    std::to_array<std::pair<TransactionState, std::string_view>>(
        {{TransactionState::Idle, "I"},
         {TransactionState::InTransaction, "T"},
         {TransactionState::Failed, "E"}});

constexpr auto VerbWords =
    std::to_array<std::pair<StatementVerb, std::string_view>>(
        {{StatementVerb::Begin, "BEGIN"},
         {StatementVerb::Commit, "COMMIT"},
         {StatementVerb::Rollback, "ROLLBACK"},
         {StatementVerb::Read, "READ"},
         {StatementVerb::Write, "WRITE"},
         {StatementVerb::Set, "SET"},
         {StatementVerb::Prepare, "PREPARE"},
         {StatementVerb::Execute, "EXECUTE"},
         {StatementVerb::Deallocate, "DEALLOC"}});

template <typename Table, typename E>
std::string_view wordOf(const Table &Words, E Value) {
  for (const auto &[Known, Word] : Words)
    if (Known == Value)
      return Word;
  return "FAILED";
}

template <typename E, std::size_t N>
std::optional<E>
parseWord(const std::array<std::pair<E, std::string_view>, N> &Words,
          std::string_view Word) {
  for (const auto &[Value, Known] : Words)
    if (Known == Word)
      return Value;
  return std::nullopt;
}

/// Removes the first word and the space after it from \p Rest. Returns the
/// word.
std::string_view takeWord(std::string_view &Rest) {
  const std::size_t Space = std::min(Rest.find(' '), Rest.size());
  const std::string_view Word = Rest.substr(0, Space);
  Rest.remove_prefix(std::min(Space + 1, Rest.size()));
  return Word;
}

std::optional<std::uint64_t> parseNumber(std::string_view Text) {
  std::uint64_t Value = 0;
  const char *End = Text.data() + Text.size();
  const auto [Rest, Status] = std::from_chars(Text.data(), End, Value);
  if (Status != std::errc() || Rest != End)
    return std::nullopt;
  return Value;
}

std::optional<LogPosition> parsePosition(std::string_view Text) {
  const std::size_t Dot = Text.find('.');
  if (Dot == std::string_view::npos)
    return std::nullopt;
  const auto TermNumber = parseNumber(Text.substr(0, Dot));
  const auto Index = parseNumber(Text.substr(Dot + 1));
  if (!TermNumber || !Index)
    return std::nullopt;
  return LogPosition{*TermNumber, *Index};
}

std::optional<Access> parseAccess(std::string_view Word) {
  if (Word == "READ")
    return Access::Read;
  if (Word == "WRITE")
    return Access::Write;
  return std::nullopt;
}

std::string_view accessWord(Access Mode) {
  return Mode == Access::Read ? "READ" : "WRITE";
}

Error malformed(std::string_view Problem) {
  return Error{"malformed message: " + std::string(Problem)};
}

Result<CallerLine> decodeQuery(std::string_view Rest) {
  Statement S;
  S.Id = takeWord(Rest);
  S.Text = Rest;
  const std::optional<StatementVerb> Kind =
      parseWord(VerbWords, takeWord(Rest));
  if (S.Id.empty() || !Kind)
    return malformed("no id or no known statement");
  S.Kind = *Kind;
  switch (S.Kind) {
  case StatementVerb::Commit:
  case StatementVerb::Rollback:
    return S;
  case StatementVerb::Begin:
    if (!Rest.empty() && Rest != "READ")
      return malformed("BEGIN with an unknown option");
    S.Mode = Rest.empty() ? Access::Write : Access::Read;
    return S;
  case StatementVerb::Read:
  case StatementVerb::Write:
    S.Mode = S.Kind == StatementVerb::Read ? Access::Read : Access::Write;
    S.Body = Rest;
    break;
  case StatementVerb::Set:
  case StatementVerb::Execute:
  case StatementVerb::Deallocate:
    S.Name = takeWord(Rest);
    S.Body = Rest;
    break;
  case StatementVerb::Prepare: {
    S.Name = takeWord(Rest);
    const std::optional<Access> Mode = parseAccess(takeWord(Rest));
    if (!Mode || Rest.empty())
      return malformed("PREPARE without access or shape");
    S.Mode = *Mode;
    S.Body = Rest;
    break;
  }
  }
  if (S.Name.empty() && S.Body.empty())
    return malformed("a statement without its fields");
  return S;
}

} // namespace

void LineReader::feed(std::string_view Bytes) {
  if (this->Offset > 0) {
    this->Buffer.erase(0, this->Offset);
    this->Scanned -= this->Offset;
    this->Offset = 0;
  }
  this->Buffer += Bytes;
}

std::optional<std::string> LineReader::next() {
  const std::size_t From = std::max(this->Scanned, this->Offset);
  const std::size_t End = this->Buffer.find(LineEnd, From);
  if (End == std::string::npos) {
    // A carriage return at the end of the buffer may be the first byte of a
    // line end, so the next search includes it.
    this->Scanned = std::max(
        this->Offset, this->Buffer.empty() ? 0 : this->Buffer.size() - 1);
    return std::nullopt;
  }
  std::string Line = this->Buffer.substr(this->Offset, End - this->Offset);
  this->Offset = End + LineEnd.size();
  this->Scanned = this->Offset;
  return Line;
}

bool LineReader::overflowed() const {
  return this->Buffer.size() - this->Offset > MaxLineBytes;
}

Result<CallerLine> decodeCallerLine(std::string_view Line) {
  std::string_view Rest = Line;
  const std::string_view Word = takeWord(Rest);
  if (Word == "QUERY")
    return decodeQuery(Rest);
  if (Word == "CONNECT") {
    ConnectLine Connect;
    Connect.Database = takeWord(Rest);
    if (Connect.Database.empty())
      return malformed("CONNECT without a database");
    Connect.Key = takeWord(Rest);
    return CallerLine(Connect);
  }
  if (Word == "BYE")
    return CallerLine(ByeLine());
  return malformed("unknown word");
}

std::string encodeAnswer(const Answer &A) {
  std::string Out;
  for (const std::string &Row : A.Rows)
    Out += "ROW " + Row + "\r\n";
  if (A.Code)
    Out += "ERROR " + std::string(wordOf(AnswerCodeWords, *A.Code)) + " " +
           A.Detail;
  else
    Out += "COMPLETE " + A.Detail;
  Out += LineEnd;
  Out += "READY " + std::string(wordOf(StateWords, A.State)) + " " +
         positionText(A.Position);
  Out += LineEnd;
  return Out;
}

std::string encodeGreeting() { return "READY I -\r\n"; }

std::string encodeRejection(AnswerCode Code, std::string_view Detail) {
  return "ERROR " + std::string(wordOf(AnswerCodeWords, Code)) + " " +
         std::string(Detail) + "\r\n";
}

std::string encodeConnect(const ServiceName &Service,
                          std::string_view ClientName,
                          const ServerId &Expected) {
  return "CONNECT " + Service.str() + " " + std::string(ClientName) + " " +
         Expected.str() + "\r\n";
}

std::string encodeForwardedStatement(const Statement &S,
                                     std::optional<LogPosition> Floor,
                                     std::string_view PreparedName) {
  std::string Out = "QUERY " + S.Id + " ";
  if (Floor)
    Out += "WAITFOR " + positionText(Floor) + " ";
  if (S.Kind == StatementVerb::Execute)
    Out += "EXECUTE " + std::string(PreparedName) +
           (S.Body.empty() ? "" : " " + S.Body);
  else
    Out += S.Text;
  Out += LineEnd;
  return Out;
}

std::string encodeProxyStatement(std::string_view Text) {
  return "QUERY - " + std::string(Text) + "\r\n";
}

std::string setStatement(std::string_view Name, std::string_view Value) {
  return "SET " + std::string(Name) + " " + std::string(Value);
}

std::string prepareStatement(std::string_view Name, Access Mode,
                             std::string_view Shape) {
  return "PREPARE " + std::string(Name) + " " + std::string(accessWord(Mode)) +
         " " + std::string(Shape);
}

std::string adoptTermStatement(ServerRole Role, Term T) {
  return (Role == ServerRole::Primary ? "STEPDOWN " : "PAUSE ") +
         std::to_string(T);
}

Result<bool> AnswerReader::addLine(std::string_view Line) {
  std::string_view Rest = Line;
  const std::string_view Word = takeWord(Rest);
  if (Word == "ROW" && !this->ResultSeen) {
    this->Collected.Rows.emplace_back(Rest);
    return false;
  }
  if (Word == "COMPLETE" && !this->ResultSeen) {
    this->ResultSeen = true;
    this->Collected.Detail = Rest;
    return false;
  }
  if (Word == "ERROR" && !this->ResultSeen) {
    this->ResultSeen = true;
    const std::optional<AnswerCode> Code =
        parseWord(AnswerCodeWords, takeWord(Rest));
    // An unknown code is treated as a failure of the statement.
    this->Collected.Code = Code.value_or(AnswerCode::Failed);
    this->Collected.Detail = Rest;
    return false;
  }
  if (Word == "READY") {
    const std::optional<TransactionState> State =
        parseWord(StateWords, takeWord(Rest));
    if (!State)
      return malformed("READY without a known state");
    this->Collected.State = *State;
    this->Collected.Position = parsePosition(Rest);
    return true;
  }
  return malformed("unexpected line from a server");
}

Answer AnswerReader::takeAnswer() {
  this->ResultSeen = false;
  return std::exchange(this->Collected, Answer());
}

Result<ServerReport> decodeReport(std::string_view Row) {
  std::string_view Rest = Row;
  const std::optional<ServerRole> Role = parseName<ServerRole>(takeWord(Rest));
  const auto TermNumber = parseNumber(takeWord(Rest));
  const auto Received = parsePosition(takeWord(Rest));
  const auto Adopted = parseNumber(takeWord(Rest));
  const auto LagMs = parseNumber(takeWord(Rest));
  const auto Busy = parseNumber(takeWord(Rest));
  const auto Connections = parseNumber(takeWord(Rest));
  if (!Role || !TermNumber || !Received || !Adopted || !LagMs || !Busy ||
      !Connections)
    return malformed("status row \"" + std::string(Row) + "\"");
  ServerReport Report;
  Report.Role = *Role;
  Report.TermNumber = *TermNumber;
  Report.Received = *Received;
  Report.AdoptedTerm = *Adopted;
  Report.ApplyLag = milliseconds(*LagMs);
  Report.Busy = static_cast<unsigned>(*Busy);
  Report.Connections = static_cast<unsigned>(*Connections);
  return Report;
}

} // namespace amaranthspur::lines
