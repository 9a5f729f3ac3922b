// Converts between the structs of the policy code and the protobuf messages
// that entry VMs exchange. Received messages are untrusted, so the decoding
// functions check the bounds of their fields.
#ifndef AMARANTHSPUR_ROOT_PEERS_PEERCODEC_H
#define AMARANTHSPUR_ROOT_PEERS_PEERCODEC_H

#include "core/Result.h"
#include "peer.pb.h"
#include "policy/GroupView.h"
#include "policy/Membership.h"

#include <string>
#include <string_view>

namespace amaranthspur {

/// Maximum length of an identifier, name or address in a message, in bytes.
inline constexpr std::size_t MaxNameBytes = 128;
/// Maximum number of members in one message: one page, the recent changes and
/// the sender, with some entries to spare.
inline constexpr std::size_t MaxMembersInMessage =
    Membership::MaxSampleEntries + Membership::MaxPiggybackedUpdates + 8;
/// Maximum number of servers in one group view.
inline constexpr std::size_t MaxServersInView = 64;

/// Parses one message.
/// \returns an error if \p Bytes is not a valid Envelope, or if the Envelope
/// has no valid sender or no body.
Result<peer::Envelope> decodeEnvelope(std::string_view Bytes);

/// Serialises \p Message to its wire format. \pre Message is initialised.
std::string encodeEnvelope(const peer::Envelope &Message);

/// Returns whether \p Message is a ping, an ack or a ping request of the
/// membership protocol.
bool isMembershipMessage(const peer::Envelope &Message);

/// Creates an envelope that holds \p Message. The caller sets the sender
/// fields.
peer::Envelope toEnvelope(const MembershipMessage &Message);

/// Decodes the membership message in \p Envelope.
/// \returns an error if the envelope holds another kind of message or a field
/// is out of bounds.
Result<MembershipMessage> membershipMessageOf(const peer::Envelope &Envelope);

/// Encodes \p View. Each age is increased by the time between View.Taken and
/// \p Now.
peer::GroupViewUpdate toMessage(const GroupView &View, TimePoint Now);

/// Decodes a group view that was received at \p Now.
/// \returns an error if a field is out of bounds.
Result<GroupView> groupViewOf(const peer::GroupViewUpdate &Update,
                              TimePoint Now);

} // namespace amaranthspur

#endif // AMARANTHSPUR_ROOT_PEERS_PEERCODEC_H
