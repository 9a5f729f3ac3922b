// Converts forwarded statements between protobuf and the types of the sessions.
// Received messages are untrusted: a text that could hold a second statement is
// an error.
#ifndef AMARANTHSPUR_ROOT_RELAY_STATEMENTCODEC_H
#define AMARANTHSPUR_ROOT_RELAY_STATEMENTCODEC_H

#include "core/Result.h"
#include "relay.pb.h"
#include "root/sessions/ForwardedStatement.h"

namespace amaranthspur {

/// Longest time limit of a forwarded statement. Routes have limits of some
/// seconds.
inline constexpr Duration MaxForwardedTime = std::chrono::seconds(60);

/// Encodes \p Given.
relay::ReadRequest toMessage(const ForwardedStatement &Given);
/// Decodes a forwarded statement; returns an error if it is none or is
/// malformed.
Result<ForwardedStatement>
forwardedStatementOf(const relay::ReadRequest &Message);

/// Encodes \p Given.
relay::ReadReply toMessage(const ForwardedAnswer &Given);
/// Decodes the answer to a forwarded statement.
Result<ForwardedAnswer> forwardedAnswerOf(const relay::ReadReply &Message);

} // namespace amaranthspur

#endif // AMARANTHSPUR_ROOT_RELAY_STATEMENTCODEC_H
