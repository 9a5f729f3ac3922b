// Converts between the relay's protobuf messages and the types of the rest of
// the daemon. Received messages are untrusted: fields out of bounds are errors.
#ifndef AMARANTHSPUR_ROOT_RELAY_RELAYCODEC_H
#define AMARANTHSPUR_ROOT_RELAY_RELAYCODEC_H

#include "core/Result.h"
#include "platform/Platform.h"
#include "policy/ForwarderChoice.h"
#include "policy/GroupEvidence.h"
#include "policy/RelayElection.h"
#include "relay.pb.h"

#include <string>
#include <string_view>
#include <vector>

namespace amaranthspur {

/// Longest request, in bytes. It names at most a few hundred services.
inline constexpr int MaxRelayRequestBytes = 256 * 1024;
/// Longest reply, in bytes: two whole tables.
inline constexpr int MaxRelayReplyBytes = 64 * 1024 * 1024;
/// Longest row value after decompression, in bytes.
inline constexpr std::size_t MaxRelayedRowBytes = 8UL * 1024 * 1024;
/// Longest key, name or identifier in a message, in bytes.
inline constexpr std::size_t MaxRelayNameBytes = 256;
/// Values longer than this are compressed. The configuration has some 300 KB,
/// and small entry VMs have links of 10 Mbit/s.
inline constexpr std::size_t CompressionThreshold = 2048;

/// Most forwarders of a data centre in a message, those of 4,096 entry VMs.
inline constexpr int MaxForwardersInMessage = 512;

/// Stops the protobuf library from writing a line to standard error for each
/// malformed message. Whoever can connect could otherwise fill the log. Called
/// once at the start.
void silenceProtobufLog();

/// Decodes a request; returns an error if it is malformed or incomplete.
Result<relay::Request> decodeRelayRequest(std::string_view Bytes);
/// Decodes a reply; returns an error if it is malformed or has no body.
Result<relay::Reply> decodeRelayReply(std::string_view Bytes);

/// Encodes \p Row, compressed if it is long.
relay::Row toMessage(const WatchedRow &Row);

/// Decodes the rows of \p Changes.
Result<WatchedRows> watchedRowsOf(const relay::TableChanges &Changes);
/// Decodes the table that \p Number identifies.
Result<WatchedTable> watchedTableOf(std::uint32_t Number);

/// Encodes \p Known.
/// \param ReceivedAt boot clock; when the request that is answered arrived.
relay::Evidence toMessage(const GroupEvidence &Known, TimePoint ReceivedAt);

/// Decodes evidence. Its times are never later than the true ones.
/// \param SentAt boot clock; when the answered request was sent.
Result<GroupEvidence> evidenceOf(const relay::Evidence &Message,
                                 TimePoint SentAt);

/// The field of a message that lists forwarders.
using ForwarderMessages = google::protobuf::RepeatedPtrField<relay::Forwarder>;

/// Encodes \p Forwarders.
ForwarderMessages toMessages(const std::vector<ForwarderVm> &Forwarders);
/// Decodes forwarders. Those without a valid name or address are left out.
std::vector<ForwarderVm> forwardersOf(const ForwarderMessages &Messages);

/// Encodes the forwarders of another data centre.
relay::RemoteForwarders toMessage(const RemoteForwarders &Known);
/// Decodes the forwarders of the other data centres in \p Message. Entries
/// without a valid name or token are left out.
std::vector<RemoteForwarders>
remoteForwardersOf(const relay::SyncReply &Message);

/// Returns the key of the row that names the relay of \p Location.
std::string relayRowKey(const DataCentre &Location);
/// Returns the value of the row that names a relay.
std::string encodeRelayRow(const RelayRow &Row);
/// Decodes the row that \p Message tells of, which must be as valid as one that
/// was read from the store.
Result<RelayRow> relayRowOf(const relay::Replacement &Message);
/// Decodes the value of the row that names a relay.
Result<RelayRow> decodeRelayRow(const std::string &Value, StoreVersion Version);

} // namespace amaranthspur

#endif // AMARANTHSPUR_ROOT_RELAY_RELAYCODEC_H
