#include "wire/PgFrame.h"

#include <cstring>

namespace amaranthspur::pg {
namespace {

constexpr std::size_t LengthBytes = 4;
constexpr std::uint32_t ProtocolVersion = 3U << 16U;
constexpr std::uint32_t CancelCode = 80877102;
constexpr std::uint32_t SslCode = 80877103;
constexpr std::uint32_t GssCode = 80877104;
/// Number of bytes already returned as frames above which they are removed from
/// the buffer.
constexpr std::size_t CompactThresholdBytes = 64U << 10U;

std::uint32_t readUint32(std::string_view Bytes) {
  std::uint32_t Value = 0;
  for (std::size_t I = 0; I < LengthBytes; ++I)
    Value = (Value << 8U) | static_cast<unsigned char>(Bytes[I]);
  return Value;
}

std::uint16_t readUint16(std::string_view Bytes) {
  return static_cast<std::uint16_t>(
      (static_cast<unsigned char>(Bytes[0]) << 8U) |
      static_cast<unsigned char>(Bytes[1]));
}

void appendUint32(std::string &Out, std::uint32_t Value) {
  for (int Shift = 24; Shift >= 0; Shift -= 8)
    Out += static_cast<char>((Value >> static_cast<unsigned>(Shift)) & 0xffU);
}

void appendUint16(std::string &Out, std::uint16_t Value) {
  Out += static_cast<char>(Value >> 8U);
  Out += static_cast<char>(Value & 0xffU);
}

void appendCString(std::string &Out, std::string_view Text) {
  Out += Text;
  Out += '\0';
}

/// Removes a zero-terminated string from the front of \p Rest. Returns the
/// string, or nothing if there is no terminator.
std::optional<std::string_view> takeCString(std::string_view &Rest) {
  const std::size_t End = Rest.find('\0');
  if (End == std::string_view::npos)
    return std::nullopt;
  const std::string_view Text = Rest.substr(0, End);
  Rest.remove_prefix(End + 1);
  return Text;
}

Result<Startup> parseStartParameters(std::string_view Rest) {
  Startup Parsed;
  while (!Rest.empty() && Rest.front() != '\0') {
    const auto Name = takeCString(Rest);
    const auto Value = takeCString(Rest);
    if (!Name || !Value)
      return Error{"start-up message ends inside a parameter"};
    Parsed.Parameters.emplace(*Name, *Value);
  }
  if (Rest != std::string_view("\0", 1))
    return Error{"start-up message has no terminator"};
  return Parsed;
}

} // namespace

void FrameReader::feed(std::string_view Bytes) {
  if (this->Offset == this->Buffer.size()) {
    this->Buffer.clear();
    this->Offset = 0;
  } else if (this->Offset > CompactThresholdBytes) {
    this->Buffer.erase(0, this->Offset);
    this->Offset = 0;
  }
  this->Buffer.append(Bytes);
}

Result<std::optional<Frame>> FrameReader::next() {
  const std::string_view Rest =
      std::string_view(this->Buffer).substr(this->Offset);
  const std::size_t TypeBytes = this->ExpectStartup ? 0 : 1;
  if (Rest.size() < TypeBytes + LengthBytes)
    return std::optional<Frame>();
  const std::size_t Length = readUint32(Rest.substr(TypeBytes));
  const std::size_t Limit =
      this->ExpectStartup ? MaxStartupBytes : this->MaxBytes;
  if (Length < LengthBytes || Length > Limit)
    return Error{"frame length " + std::to_string(Length) +
                 " is outside 4 to " + std::to_string(Limit) + " bytes"};
  if (Rest.size() < TypeBytes + Length)
    return std::optional<Frame>();
  Frame F;
  F.Type = TypeBytes == 0 ? '\0' : Rest.front();
  F.Whole = Rest.substr(0, TypeBytes + Length);
  F.Body = F.Whole.substr(TypeBytes + LengthBytes);
  this->Offset += F.Whole.size();
  this->ExpectStartup = false;
  return std::optional<Frame>(F);
}

Result<Startup> parseStartup(std::string_view Body) {
  if (Body.size() < LengthBytes)
    return Error{"start-up message is too short"};
  const std::uint32_t Code = readUint32(Body);
  const std::string_view Rest = Body.substr(LengthBytes);
  Startup Parsed;
  if (Code == SslCode) {
    Parsed.Kind = StartupKind::Ssl;
    return Parsed;
  }
  if (Code == GssCode) {
    Parsed.Kind = StartupKind::GssEncryption;
    return Parsed;
  }
  if (Code == CancelCode) {
    if (Rest.size() != 2 * LengthBytes)
      return Error{"cancel request has a wrong length"};
    Parsed.Kind = StartupKind::Cancel;
    Parsed.ProcessId = readUint32(Rest);
    Parsed.SecretKey = readUint32(Rest.substr(LengthBytes));
    return Parsed;
  }
  if (Code >> 16U != ProtocolVersion >> 16U)
    return Error{"protocol version " + std::to_string(Code >> 16U) + "." +
                 std::to_string(Code & 0xffffU) + " is not supported; 3.0 is"};
  return parseStartParameters(Rest);
}

std::string buildStartup(const std::map<std::string, std::string> &Parameters) {
  std::string Body;
  appendUint32(Body, ProtocolVersion);
  for (const auto &[Name, Value] : Parameters) {
    appendCString(Body, Name);
    appendCString(Body, Value);
  }
  Body += '\0';
  std::string Out;
  appendUint32(Out, static_cast<std::uint32_t>(Body.size() + LengthBytes));
  return Out + Body;
}

std::string buildCancel(std::uint32_t ProcessId, std::uint32_t SecretKey) {
  std::string Out;
  appendUint32(Out, 4 * LengthBytes);
  appendUint32(Out, CancelCode);
  appendUint32(Out, ProcessId);
  appendUint32(Out, SecretKey);
  return Out;
}

std::string buildFrame(char Type, std::string_view Body) {
  std::string Out;
  Out.reserve(1 + LengthBytes + Body.size());
  Out += Type;
  appendUint32(Out, static_cast<std::uint32_t>(Body.size() + LengthBytes));
  Out += Body;
  return Out;
}

std::string buildQuery(std::string_view Sql) {
  std::string Body;
  appendCString(Body, Sql);
  return buildFrame('Q', Body);
}

std::string buildAuthenticationOk() {
  std::string Body;
  appendUint32(Body, 0);
  return buildFrame('R', Body);
}

std::string buildParameterStatus(std::string_view Name,
                                 std::string_view Value) {
  std::string Body;
  appendCString(Body, Name);
  appendCString(Body, Value);
  return buildFrame('S', Body);
}

std::string buildBackendKeyData(std::uint32_t ProcessId,
                                std::uint32_t SecretKey) {
  std::string Body;
  appendUint32(Body, ProcessId);
  appendUint32(Body, SecretKey);
  return buildFrame('K', Body);
}

std::string buildReadyForQuery(TransactionState State) {
  switch (State) {
  case TransactionState::Idle:
    return buildFrame('Z', "I");
  case TransactionState::InTransaction:
    return buildFrame('Z', "T");
  case TransactionState::Failed:
    break;
  }
  return buildFrame('Z', "E");
}

std::string buildCommandComplete(std::string_view Tag) {
  std::string Body;
  appendCString(Body, Tag);
  return buildFrame('C', Body);
}

std::string buildError(std::string_view Severity, std::string_view SqlState,
                       std::string_view Message) {
  std::string Body;
  const std::pair<char, std::string_view> Fields[] = {
      {'S', Severity}, {'V', Severity}, {'C', SqlState}, {'M', Message}};
  for (const auto &[Code, Text] : Fields) {
    Body += Code;
    appendCString(Body, Text);
  }
  Body += '\0';
  return buildFrame('E', Body);
}

std::string buildRefusal(const Refusal &R) {
  return buildError("ERROR", sqlState(R.Kind, R.Reason), message(R));
}

std::string buildRowDescription(const std::vector<std::string> &Columns) {
  constexpr std::uint32_t TextTypeOid = 25;
  std::string Body;
  appendUint16(Body, static_cast<std::uint16_t>(Columns.size()));
  for (const std::string &Column : Columns) {
    appendCString(Body, Column);
    appendUint32(Body, 0); // Table: none.
    appendUint16(Body, 0); // Column number: none.
    appendUint32(Body, TextTypeOid);
    appendUint16(Body, 0xffff);     // Size: variable.
    appendUint32(Body, 0xffffffff); // Type modifier: none.
    appendUint16(Body, 0);          // Text format.
  }
  return buildFrame('T', Body);
}

std::string
buildDataRow(const std::vector<std::optional<std::string>> &Values) {
  std::string Body;
  appendUint16(Body, static_cast<std::uint16_t>(Values.size()));
  for (const auto &Value : Values) {
    appendUint32(Body, Value ? static_cast<std::uint32_t>(Value->size())
                             : 0xffffffff);
    if (Value)
      Body += *Value;
  }
  return buildFrame('D', Body);
}

Result<ParameterStatus> parseParameterStatus(std::string_view Body) {
  const auto Name = takeCString(Body);
  const auto Value = takeCString(Body);
  if (!Name || !Value || !Body.empty())
    return Error{"ParameterStatus is malformed"};
  return ParameterStatus{*Name, *Value};
}

Result<TransactionState> parseReadyForQuery(std::string_view Body) {
  if (Body == "I")
    return TransactionState::Idle;
  if (Body == "T")
    return TransactionState::InTransaction;
  if (Body == "E")
    return TransactionState::Failed;
  return Error{"ReadyForQuery is malformed"};
}

Result<std::string_view> parseQuery(std::string_view Body) {
  const auto Sql = takeCString(Body);
  if (!Sql || !Body.empty())
    return Error{"Query is malformed"};
  return *Sql;
}

Result<std::string_view> parseStatementName(const Frame &F) {
  std::string_view Rest = F.Body;
  if (F.Type == 'D' || F.Type == 'C') {
    if (Rest.empty())
      return Error{"Describe or Close is malformed"};
    if (Rest.front() == 'P')
      return std::string_view();
    Rest.remove_prefix(1);
  } else if (F.Type == 'B' && !takeCString(Rest)) {
    return Error{"Bind is malformed"};
  }
  const auto Name = takeCString(Rest);
  if (!Name)
    return Error{"statement name has no terminator"};
  return *Name;
}

Result<std::string_view> parseStatementText(std::string_view ParseBody) {
  const auto Name = takeCString(ParseBody);
  const auto Text = takeCString(ParseBody);
  if (!Name || !Text)
    return Error{"Parse is malformed"};
  return *Text;
}

Result<std::vector<std::optional<std::string>>>
parseDataRow(std::string_view Body) {
  constexpr std::uint32_t NullLength = 0xffffffff;
  const Error Malformed{"DataRow is malformed"};
  if (Body.size() < 2)
    return Malformed;
  const std::size_t Count = readUint16(Body);
  Body.remove_prefix(2);
  std::vector<std::optional<std::string>> Values;
  for (std::size_t I = 0; I < Count; ++I) {
    if (Body.size() < LengthBytes)
      return Malformed;
    const std::uint32_t Length = readUint32(Body);
    Body.remove_prefix(LengthBytes);
    if (Length == NullLength) {
      Values.emplace_back();
      continue;
    }
    if (Body.size() < Length)
      return Malformed;
    Values.emplace_back(std::string(Body.substr(0, Length)));
    Body.remove_prefix(Length);
  }
  return Values;
}

ErrorFields parseError(std::string_view Body) {
  ErrorFields Fields;
  while (!Body.empty() && Body.front() != '\0') {
    const char Code = Body.front();
    Body.remove_prefix(1);
    const auto Text = takeCString(Body);
    if (!Text)
      break;
    if (Code == 'C')
      Fields.SqlState = *Text;
    if (Code == 'M')
      Fields.Message = *Text;
  }
  return Fields;
}

} // namespace amaranthspur::pg
