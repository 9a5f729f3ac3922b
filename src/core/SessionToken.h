// The session token: what a caller carries from one entry VM to another so that
// it reads its own writes there.
#ifndef AMARANTHSPUR_CORE_SESSIONTOKEN_H
#define AMARANTHSPUR_CORE_SESSIONTOKEN_H

#include "core/Result.h"
#include "core/Types.h"

#include <string>
#include <string_view>

namespace amaranthspur {

/// A floor for the reads of a session: every read sees at least Position.
struct SessionToken {
  ServiceName Service;
  LogPosition Position;

  bool operator==(const SessionToken &) const = default;
};

/// Longest text form that is parsed, in bytes.
inline constexpr std::size_t MaxSessionTokenBytes = 256;

/// Returns the text form `v1.<service>.<term>.<index>.<mac>`, where mac is the
/// first 16 hexadecimal digits of HMAC-SHA-256 under \p Key over what stands
/// before it. It keeps a caller from making up positions; it is no secret.
std::string formatToken(const SessionToken &Token, std::string_view Key);

/// Parses \p Text.
/// \param Text what a caller sent, untrusted.
/// \param Key the deployment's key.
/// \param Service the service that the session is connected to.
/// \returns the token, or an error if the text is too long, malformed, of
/// another service, or its authentication code does not match.
Result<SessionToken> parseToken(std::string_view Text, std::string_view Key,
                                const ServiceName &Service);

} // namespace amaranthspur

#endif // AMARANTHSPUR_CORE_SESSIONTOKEN_H
