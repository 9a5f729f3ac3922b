// Codec of the platform's line protocol, as spoken with callers and with
// backend servers.
//
// A message is one line of fields separated by single spaces. The last field
// extends to the end of the line and may contain spaces. Two keywords are
// misleading. WAITFOR does not wait: the server refuses the statement with
// LAGGING if its log does not contain the position. PAUSE with a term makes a
// replica adopt the term, so that it rejects replication from primaries of
// lower terms.
#ifndef AMARANTHSPUR_PLATFORM_LINECODEC_H
#define AMARANTHSPUR_PLATFORM_LINECODEC_H

#include "core/Result.h"
#include "policy/GroupBeliefs.h"
#include "policy/Statement.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace amaranthspur::lines {

/// Longest line in bytes. A longer line closes the connection.
inline constexpr std::size_t MaxLineBytes = 1U << 20U;

/// Splits a byte stream into lines in time linear in its length.
class LineReader {
public:
  /// Appends bytes of the stream.
  void feed(std::string_view Bytes);

  /// Returns the next line without its line end, or nothing if no complete line
  /// has been received.
  std::optional<std::string> next();

  /// Returns whether the incomplete line after the last complete one exceeds
  /// MaxLineBytes. Meaningful after next() has returned nothing.
  bool overflowed() const;

private:
  std::string Buffer;
  std::size_t Offset = 0;  ///< Start of the first line not yet returned.
  std::size_t Scanned = 0; ///< No line end starts between Offset and here.
};

/// A caller's request to open a session on a database.
struct ConnectLine {
  std::string Database;
  std::string Key; ///< Identifies the caller; may be empty.
};
/// A caller's message that ends its session.
struct ByeLine {};

/// A message of a caller.
using CallerLine = std::variant<ConnectLine, Statement, ByeLine>;

/// Decodes a message of a caller.
Result<CallerLine> decodeCallerLine(std::string_view Line);

/// Encodes the answer to a caller's statement.
std::string encodeAnswer(const Answer &A);
/// Encodes the message that accepts a session.
std::string encodeGreeting();
/// Encodes the error that rejects a session in place of the greeting.
std::string encodeRejection(AnswerCode Code, std::string_view Detail);

/// Encodes the first message on a connection to a server.
/// \param ClientName name of the workspace that the connection is for, or of
/// this entry VM if it is for none.
/// \param Expected id of the intended server. A server with another id refuses
/// the connection.
std::string encodeConnect(const ServiceName &Service,
                          std::string_view ClientName,
                          const ServerId &Expected);

/// Encodes a caller's statement for a server. The text is forwarded unchanged,
/// except for the name of a prepared statement.
///
/// \param Floor position that the server's log must contain, for a read or for
/// a statement that begins a transaction.
/// \param PreparedName replaces the name of the prepared statement in an
/// Execute.
std::string encodeForwardedStatement(const Statement &S,
                                     std::optional<LogPosition> Floor,
                                     std::string_view PreparedName);
/// Encodes a statement that the proxy itself sends to a server.
std::string encodeProxyStatement(std::string_view Text);

/// Returns the text of a statement that sets the setting \p Name to \p Value.
std::string setStatement(std::string_view Name, std::string_view Value);
/// Returns the text of a statement that prepares \p Shape under \p Name.
std::string prepareStatement(std::string_view Name, Access Mode,
                             std::string_view Shape);
/// Returns the text of a statement that makes a server in the role \p Role
/// adopt the term \p T. A primary of a lower term becomes a replica.
std::string adoptTermStatement(ServerRole Role, Term T);
/// Texts of the statements without arguments.
inline constexpr std::string_view RollbackStatement = "ROLLBACK";
inline constexpr std::string_view ResetStatement = "RESET";
inline constexpr std::string_view StatusStatement = "STATUS";
inline constexpr std::string_view ResumeStatement = "RESUME";

/// Assembles a server's answers from their lines.
class AnswerReader {
public:
  /// Adds the next line.
  /// \returns whether the answer is now complete, or an error if the line is
  /// malformed or not allowed at this place.
  Result<bool> addLine(std::string_view Line);

  /// Returns the answer and resets the reader for the next one.
  Answer takeAnswer();

private:
  Answer Collected;
  bool ResultSeen = false; ///< COMPLETE or ERROR has been received.
};

/// Decodes the row in the answer to a status request.
Result<ServerReport> decodeReport(std::string_view Row);

} // namespace amaranthspur::lines

#endif // AMARANTHSPUR_PLATFORM_LINECODEC_H
