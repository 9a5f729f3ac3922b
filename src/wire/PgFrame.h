// Codec of the PostgreSQL v3 message format, as far as a proxy needs it.
//
// A message is one type byte, a length of four bytes in network order that
// counts itself, and a body. The first message of a caller has no type byte.
// FrameReader cuts a byte stream into frames; the functions below build and
// take apart the few messages that the proxy itself reads or writes. Everything
// else is passed through as it came.
//
// The module knows nothing of routing or admission, and they know nothing of
// it. Source: PostgreSQL documentation, chapter "Frontend/Backend Protocol",
// "Message Formats".
#ifndef AMARANTHSPUR_WIRE_PGFRAME_H
#define AMARANTHSPUR_WIRE_PGFRAME_H

#include "core/Enums.h"
#include "core/Outcome.h"
#include "core/Result.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace amaranthspur::pg {

/// Longest frame that is accepted from a caller, in bytes.
inline constexpr std::size_t MaxCallerFrameBytes = 16U << 20U;
/// Longest frame that is accepted from a backend server, in bytes.
inline constexpr std::size_t MaxServerFrameBytes = 64U << 20U;
/// Longest start-up message, in bytes; PostgreSQL itself has the same limit.
inline constexpr std::size_t MaxStartupBytes = 10000;

/// One message. Views into the reader's buffer, valid until its next call.
struct Frame {
  char Type = 0;          ///< 0 for a start-up message.
  std::string_view Body;  ///< Without type and length.
  std::string_view Whole; ///< Type, length and body, to be passed on.
};

/// Cuts a byte stream into frames. Linear in the bytes that are fed; holds at
/// most one incomplete frame besides the bytes not yet taken.
class FrameReader {
public:
  /// \param MaxBytes longest frame that is accepted, in bytes.
  /// \param ExpectStartup whether the first message has no type byte.
  FrameReader(std::size_t MaxBytes, bool ExpectStartup)
      : MaxBytes(MaxBytes), ExpectStartup(ExpectStartup) {}

  /// Appends bytes of the stream. Invalidates frames handed out before.
  void feed(std::string_view Bytes);

  /// Returns the next whole frame, nothing if bytes are missing, or an error if
  /// the length is out of range. After an error the stream cannot be resumed.
  Result<std::optional<Frame>> next();

  /// Makes the reader expect another start-up message, as after SSLRequest.
  void expectStartup() { this->ExpectStartup = true; }

  /// Returns how many bytes are held.
  std::size_t buffered() const { return this->Buffer.size() - this->Offset; }

private:
  std::size_t MaxBytes;
  bool ExpectStartup;
  std::string Buffer;
  std::size_t Offset = 0; ///< Start of the bytes not yet handed out.
};

/// What the first message of a caller asks for.
enum class StartupKind { Start, Cancel, Ssl, GssEncryption };

/// A parsed start-up message.
struct Startup {
  StartupKind Kind = StartupKind::Start;
  std::map<std::string, std::string> Parameters; ///< For Start.
  std::uint32_t ProcessId = 0;                   ///< For Cancel.
  std::uint32_t SecretKey = 0;                   ///< For Cancel.
};

/// Parses the body of a start-up message.
Result<Startup> parseStartup(std::string_view Body);

/// Builds a start-up message of protocol 3.0.
std::string buildStartup(const std::map<std::string, std::string> &Parameters);
/// Builds a cancel request.
std::string buildCancel(std::uint32_t ProcessId, std::uint32_t SecretKey);
/// Builds a message from its type and body.
std::string buildFrame(char Type, std::string_view Body);
/// Builds Query.
std::string buildQuery(std::string_view Sql);
/// Builds AuthenticationOk.
std::string buildAuthenticationOk();
/// Builds ParameterStatus.
std::string buildParameterStatus(std::string_view Name, std::string_view Value);
/// Builds BackendKeyData.
std::string buildBackendKeyData(std::uint32_t ProcessId,
                                std::uint32_t SecretKey);
/// Builds ReadyForQuery.
std::string buildReadyForQuery(TransactionState State);
/// Builds CommandComplete.
std::string buildCommandComplete(std::string_view Tag);
/// Builds ErrorResponse with \p Severity (ERROR or FATAL).
std::string buildError(std::string_view Severity, std::string_view SqlState,
                       std::string_view Message);
/// Builds ErrorResponse of a refusal.
std::string buildRefusal(const Refusal &R);
/// Builds RowDescription of text columns.
std::string buildRowDescription(const std::vector<std::string> &Columns);
/// Builds DataRow; a missing value is NULL.
std::string buildDataRow(const std::vector<std::optional<std::string>> &Values);

/// A name and its value.
struct ParameterStatus {
  std::string_view Name;
  std::string_view Value;
};

/// Parses the body of ParameterStatus.
Result<ParameterStatus> parseParameterStatus(std::string_view Body);
/// Parses the body of ReadyForQuery.
Result<TransactionState> parseReadyForQuery(std::string_view Body);
/// Parses the body of Query and returns the statement's text.
Result<std::string_view> parseQuery(std::string_view Body);
/// Returns the statement name of a Parse, Bind, Describe or Close message.
Result<std::string_view> statementName(const Frame &F);
/// Returns the statement text of a Parse message.
Result<std::string_view> parseText(std::string_view ParseBody);
/// Parses the columns of a DataRow.
Result<std::vector<std::optional<std::string>>>
parseDataRow(std::string_view Body);

/// The fields of an ErrorResponse that the proxy reads.
struct ErrorFields {
  std::string SqlState;
  std::string Message;
};

/// Parses the body of ErrorResponse. Absent fields are empty.
ErrorFields parseError(std::string_view Body);

} // namespace amaranthspur::pg

namespace amaranthspur {

template <> struct EnumNames<pg::StartupKind> {
  static constexpr auto Entries =
      std::to_array<std::pair<pg::StartupKind, std::string_view>>(
          {{pg::StartupKind::Start, "start"},
           {pg::StartupKind::Cancel, "cancel"},
           {pg::StartupKind::Ssl, "ssl"},
           {pg::StartupKind::GssEncryption, "gss-encryption"}});
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_WIRE_PGFRAME_H
