// Converts forwarded reads between protobuf and the types of the sessions.
// Received messages are untrusted: a text that could hold a second statement is
// an error.
#ifndef AMARANTHSPUR_ROOT_RELAY_READCODEC_H
#define AMARANTHSPUR_ROOT_RELAY_READCODEC_H

#include "core/Result.h"
#include "relay.pb.h"
#include "root/sessions/ForwardedRead.h"

namespace amaranthspur {

/// Longest time limit of a forwarded read. Routes have limits of some seconds.
inline constexpr Duration MaxForwardedTime = std::chrono::seconds(60);

/// Encodes \p Read.
relay::ReadRequest toMessage(const ForwardedRead &Read);
/// Decodes a forwarded read; returns an error if it is none or is malformed.
Result<ForwardedRead> forwardedReadOf(const relay::ReadRequest &Message);

/// Encodes \p Given.
relay::ReadReply toMessage(const ForwardedAnswer &Given);
/// Decodes the answer to a forwarded read.
Result<ForwardedAnswer> forwardedAnswerOf(const relay::ReadReply &Message);

} // namespace amaranthspur

#endif // AMARANTHSPUR_ROOT_RELAY_READCODEC_H
