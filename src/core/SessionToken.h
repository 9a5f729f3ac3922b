// Session tokens. A caller passes its token from one entry VM to another, so
// that it reads its own writes there as well.
#ifndef AMARANTHSPUR_CORE_SESSIONTOKEN_H
#define AMARANTHSPUR_CORE_SESSIONTOKEN_H

#include "core/Result.h"
#include "core/Types.h"

#include <string>
#include <string_view>

namespace amaranthspur {

/// The minimum position for the reads of a session: each read sees at least the
/// log up to Position.
struct SessionToken {
  ServiceName Service;
  LogPosition Position;

  bool operator==(const SessionToken &) const = default;
};

/// Length limit of the text form of a token, in bytes.
inline constexpr std::size_t MaxSessionTokenBytes = 256;

/// Returns the text form `v1.<service>.<term>.<index>.<mac>`. The MAC is the
/// first 16 hexadecimal digits of the HMAC-SHA-256, with \p Key, of the text
/// before the dot that precedes the MAC. It prevents a caller from forging a
/// position. The contents of a token are not secret.
std::string formatToken(const SessionToken &Token, std::string_view Key);

/// Parses and verifies a token.
/// \param Text untrusted text from a caller.
/// \param Key the deployment's key.
/// \param Service the service that the session is connected to.
/// \returns the token, or an error if the text is too long or malformed, if its
/// MAC is wrong, or if it is for another service.
Result<SessionToken> parseToken(std::string_view Text, std::string_view Key,
                                const ServiceName &Service);

} // namespace amaranthspur

#endif // AMARANTHSPUR_CORE_SESSIONTOKEN_H
