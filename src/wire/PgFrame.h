// Codec of the message format of the PostgreSQL protocol 3.0, as far as a proxy
// needs it.
//
// A message consists of a type byte, a length of four bytes in network byte
// order, which includes the length field itself, and a body. The first message
// of a caller has no type byte. FrameReader splits a byte stream into frames.
// The functions below build and parse the few messages that the proxy itself
// sends or interprets. All other messages are forwarded unchanged.
//
// This module does not depend on routing or admission, and they do not depend
// on it. The format is specified in the PostgreSQL documentation, chapter
// "Frontend/Backend Protocol", section "Message Formats".
#ifndef AMARANTHSPUR_WIRE_PGFRAME_H
#define AMARANTHSPUR_WIRE_PGFRAME_H

#include "core/Enums.h"
#include "core/Refusal.h"
#include "core/Result.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace amaranthspur::pg {

/// Length limit of a frame from a caller, in bytes.
inline constexpr std::size_t MaxCallerFrameBytes = 16U << 20U;
/// Length limit of a frame from a backend server, in bytes.
inline constexpr std::size_t MaxServerFrameBytes = 64U << 20U;
/// Length limit of a start-up message, in bytes. PostgreSQL has the same limit.
inline constexpr std::size_t MaxStartupBytes = 10000;

/// One message. Its members refer to the buffer of the FrameReader and are
/// valid until the reader is used again.
struct Frame {
  char Type = 0;          ///< 0 for a start-up message.
  std::string_view Body;  ///< Without type and length.
  std::string_view Whole; ///< Type, length and body, for forwarding.
};

/// Splits a byte stream into frames in time linear in its length. Besides
/// frames that next() has not returned yet, it buffers at most one incomplete
/// frame.
class FrameReader {
public:
  /// \param MaxBytes length limit of a frame, in bytes.
  /// \param ExpectStartup whether the first message has no type byte.
  FrameReader(std::size_t MaxBytes, bool ExpectStartup)
      : MaxBytes(MaxBytes), ExpectStartup(ExpectStartup) {}

  /// Appends bytes of the stream. Invalidates all frames returned by next().
  void feed(std::string_view Bytes);

  /// Returns the next frame, nothing if it is still incomplete, or an error if
  /// its length is out of range. After an error the stream cannot be read any
  /// further.
  Result<std::optional<Frame>> next();

  /// Makes the reader expect another start-up message, for example after
  /// SSLRequest.
  void expectStartup() { this->ExpectStartup = true; }

  /// Returns the number of bytes that were not yet returned as frames.
  std::size_t buffered() const { return this->Buffer.size() - this->Offset; }

private:
  std::size_t MaxBytes;
  bool ExpectStartup;
  std::string Buffer;
  std::size_t Offset = 0; ///< Start of the bytes not yet returned.
};

/// The kind of a caller's first message.
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
/// Builds a Query message.
std::string buildQuery(std::string_view Sql);
/// Builds an AuthenticationOk message.
std::string buildAuthenticationOk();
/// Builds a ParameterStatus message.
std::string buildParameterStatus(std::string_view Name, std::string_view Value);
/// Builds a BackendKeyData message.
std::string buildBackendKeyData(std::uint32_t ProcessId,
                                std::uint32_t SecretKey);
/// Builds a ReadyForQuery message.
std::string buildReadyForQuery(TransactionState State);
/// Builds a CommandComplete message.
std::string buildCommandComplete(std::string_view Tag);
/// Builds an ErrorResponse message with \p Severity (ERROR or FATAL).
std::string buildError(std::string_view Severity, std::string_view SqlState,
                       std::string_view Message);
/// Builds the ErrorResponse message of a refusal.
std::string buildRefusal(const Refusal &R);
/// Builds a RowDescription message in which all columns have the type text.
std::string buildRowDescription(const std::vector<std::string> &Columns);
/// Builds a DataRow message. A value that is nothing is sent as NULL.
std::string buildDataRow(const std::vector<std::optional<std::string>> &Values);

/// Contents of a ParameterStatus message.
struct ParameterStatus {
  std::string_view Name;
  std::string_view Value;
};

/// Parses the body of a ParameterStatus message.
Result<ParameterStatus> parseParameterStatus(std::string_view Body);
/// Parses the body of a ReadyForQuery message.
Result<TransactionState> parseReadyForQuery(std::string_view Body);
/// Parses the body of a Query message. Returns the text of the statement.
Result<std::string_view> parseQuery(std::string_view Body);
/// Returns the name of the prepared statement in a Parse, Bind, Describe or
/// Close message. The name is empty if a Describe or Close message is for a
/// portal.
Result<std::string_view> parseStatementName(const Frame &F);
/// Returns the text of the statement in the body of a Parse message.
Result<std::string_view> parseStatementText(std::string_view ParseBody);
/// Parses the body of a DataRow message. A value of NULL is returned as
/// nothing.
Result<std::vector<std::optional<std::string>>>
parseDataRow(std::string_view Body);

/// The fields of an ErrorResponse that the proxy reads.
struct ErrorFields {
  std::string SqlState;
  std::string Message;
};

/// Parses the body of an ErrorResponse message. Missing fields are empty.
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
