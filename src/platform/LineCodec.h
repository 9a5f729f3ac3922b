// The platform's line protocol, towards callers and towards backend servers.
//
// A message is a line: words separated by blanks, the last field up to the end
// of the line. Two of its words mislead: WAITFOR does not wait, it makes a
// server refuse with LAGGING if its log lacks the position; PAUSE with a term
// makes a replica refuse what primaries of lower terms send, which is how it
// adopts the term.
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

/// Longest message; a longer one closes the connection.
inline constexpr std::size_t MaxLineBytes = 1U << 20U;

/// Splits bytes into lines. Linear in the bytes fed.
class LineReader {
public:
  /// Takes bytes that have arrived.
  void feed(std::string_view Bytes);

  /// Returns the next line without its end, or nothing if none is complete.
  std::optional<std::string> next();

  /// Returns whether a line is longer than MaxLineBytes.
  bool overflowed() const;

private:
  std::string Buffer;
  std::size_t Offset = 0;  ///< Start of what was not handed out.
  std::size_t Scanned = 0; ///< Up to here there is no line end.
};

/// A caller opens a session on a database.
struct ConnectLine {
  std::string Database;
};
/// A caller ends its session.
struct ByeLine {};

using CallerLine = std::variant<ConnectLine, Statement, ByeLine>;

/// Decodes a caller's line.
Result<CallerLine> decodeCallerLine(std::string_view Line);

/// Encodes an answer to a statement.
std::string encodeAnswer(const Answer &A);
/// Encodes the greeting of a session.
std::string encodeGreeting();
/// Encodes an error before the greeting.
std::string encodeRejection(AnswerCode Code, std::string_view Detail);

/// Encodes the start of a connection to a server.
/// \param Expected id of the server that is meant; another one refuses.
std::string encodeConnect(const ServiceName &Service, std::string_view Who,
                          const ServerId &Expected);

/// Encodes a statement of a caller for a server, its text unchanged but for a
/// prepared name.
/// \param Floor of a read or of a transaction that begins.
/// \param PreparedName replaces the name in an Execute.
std::string encodeForward(const Statement &S, std::optional<LogPosition> Floor,
                          std::string_view PreparedName);
/// Encodes a statement of the proxy itself.
std::string encodeOwn(std::string_view Text);

std::string setText(std::string_view Name, std::string_view Value);
std::string prepareText(std::string_view Name, Access Mode,
                        std::string_view Shape);
std::string adoptText(ServerRole Role, Term T);
inline constexpr std::string_view RollbackText = "ROLLBACK";
inline constexpr std::string_view ResetText = "RESET";
inline constexpr std::string_view StatusText = "STATUS";
inline constexpr std::string_view ResumeText = "RESUME";

/// Collects the lines of one answer of a server.
class AnswerReader {
public:
  /// Takes the next line; returns whether the answer is complete, or an error
  /// if the line does not belong there.
  Result<bool> take(std::string_view Line);

  /// Returns the complete answer and makes ready for the next one.
  Answer finish();

private:
  Answer Collected;
  bool Ended = false; ///< COMPLETE or ERROR was there.
};

/// Decodes the row of a status report.
Result<ServerReport> decodeReport(std::string_view Row);

} // namespace amaranthspur::lines

#endif // AMARANTHSPUR_PLATFORM_LINECODEC_H
