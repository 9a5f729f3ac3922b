// Conversion between the structs of the decisions and the messages between
// entry VMs. What is received is untrusted: every field is checked.
#ifndef AMARANTHSPUR_ROOT_PEERS_PEERCODEC_H
#define AMARANTHSPUR_ROOT_PEERS_PEERCODEC_H

#include "core/Result.h"
#include "peer.pb.h"
#include "policy/GroupView.h"
#include "policy/Membership.h"

#include <string>
#include <string_view>

namespace amaranthspur {

/// Longest identifier, name or address in a message, in bytes.
inline constexpr std::size_t MaxNameBytes = 128;
/// Most members in one message: a page, the news and the sender.
inline constexpr std::size_t MaxMembersInMessage =
    Membership::MaxPage + Membership::MaxNews + 8;
/// Most servers in one group view.
inline constexpr std::size_t MaxServersInView = 64;

/// Parses one message.
/// \returns an error if it is no Envelope, names no sender or has no body.
Result<peer::Envelope> decodeEnvelope(std::string_view Bytes);

/// Returns the wire form. \pre Message is initialised.
std::string encodeEnvelope(const peer::Envelope &Message);

/// Returns whether \p Message belongs to Membership.
bool isMembershipMessage(const peer::Envelope &Message);

/// Makes the envelope of \p Message, without sender.
peer::Envelope toEnvelope(const MembershipMessage &Message);

/// Reads a membership message out of \p Envelope.
/// \returns an error if it is of another kind or a field is out of bounds.
Result<MembershipMessage> membershipMessageOf(const peer::Envelope &Envelope);

/// Makes the message of \p View; ages grow by the time since it was taken.
peer::GroupViewUpdate toMessage(const GroupView &View, TimePoint Now);

/// Reads a group view that was received at \p Now.
Result<GroupView> groupViewOf(const peer::GroupViewUpdate &Update,
                              TimePoint Now);

} // namespace amaranthspur

#endif // AMARANTHSPUR_ROOT_PEERS_PEERCODEC_H
