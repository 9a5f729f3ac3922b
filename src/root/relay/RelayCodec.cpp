#include "root/relay/RelayCodec.h"

#include "wire/ByteStream.h"

#include <google/protobuf/stubs/logging.h>

#include <QByteArray>
#include <QJsonDocument>
#include <QJsonObject>

#include <algorithm>

namespace amaranthspur {
namespace {

/// Level of zlib that is fastest; the configuration shrinks to a tenth with it.
constexpr int CompressionLevel = 1;
/// Length of the header that qCompress() puts before the data: the length of
/// the uncompressed data, big-endian.
constexpr std::size_t CompressionHeaderBytes = 4;
/// Ages beyond this are errors. Entry VMs keep evidence for 30 s, and a reply
/// may report an event some milliseconds after the request.
constexpr std::int64_t MaxAgeUs = 24LL * 3600 * 1000 * 1000;

bool isName(const std::string &Text) {
  return !Text.empty() && Text.size() <= MaxRelayNameBytes;
}

std::int64_t ageAt(TimePoint Received, TimePoint Event) {
  return (Received - Event).count();
}

bool isAge(std::int64_t Age) { return Age >= -MaxAgeUs && Age <= MaxAgeUs; }

/// Returns the length that a value compressed by qCompress() has uncompressed.
std::size_t uncompressedLength(const std::string &Value) {
  std::size_t Length = 0;
  for (std::size_t I = 0; I < CompressionHeaderBytes; ++I)
    Length = Length << 8 | static_cast<unsigned char>(Value[I]);
  return Length;
}

Result<std::string> valueOfRow(const relay::Row &Message) {
  const std::string &Value = Message.value();
  if (!Message.compressed())
    return Value;
  if (Value.size() < CompressionHeaderBytes ||
      uncompressedLength(Value) > MaxRelayedRowBytes)
    return Error{"a row is too long"};
  const QByteArray Plain = qUncompress(
      QByteArray::fromRawData(Value.data(), static_cast<int>(Value.size())));
  if (Plain.isEmpty())
    return Error{"a compressed row is malformed"};
  return Plain.toStdString();
}

} // namespace

void silenceProtobufLog() { google::protobuf::SetLogHandler(nullptr); }

Result<relay::Request> decodeRelayRequest(std::string_view Bytes) {
  relay::Request Message;
  const bool Parsed =
      Bytes.size() <= static_cast<std::size_t>(MaxRelayRequestBytes) &&
      Message.ParseFromArray(Bytes.data(), static_cast<int>(Bytes.size()));
  if (!Parsed || Message.body_case() == relay::Request::BODY_NOT_SET ||
      !isName(Message.sender()) || !isName(Message.token()))
    return Error{"the request is malformed"};
  if (Message.has_proof() && !isName(Message.proof().service()))
    return Error{"the request names no service"};
  if (Message.has_exchange() && !isName(Message.exchange().data_centre()))
    return Error{"the request names no data centre"};
  return Message;
}

Result<relay::Reply> decodeRelayReply(std::string_view Bytes) {
  relay::Reply Message;
  const bool Parsed =
      Bytes.size() <= static_cast<std::size_t>(MaxRelayReplyBytes) &&
      Message.ParseFromArray(Bytes.data(), static_cast<int>(Bytes.size()));
  if (!Parsed || Message.body_case() == relay::Reply::BODY_NOT_SET)
    return Error{"the reply is malformed"};
  return Message;
}

relay::Row toMessage(const WatchedRow &Row) {
  relay::Row Message;
  Message.set_key(Row.Key);
  Message.set_version(Row.Version.number());
  Message.set_removed(Row.Removed);
  Message.set_compressed(Row.Value.size() > CompressionThreshold);
  if (Message.compressed())
    Message.set_value(
        qCompress(QByteArray::fromStdString(Row.Value), CompressionLevel)
            .toStdString());
  else
    Message.set_value(Row.Value);
  return Message;
}

Result<WatchedRows> watchedRowsOf(const relay::TableChanges &Changes) {
  WatchedRows Rows;
  Rows.Version = StoreVersion(Changes.version(), Changes.era());
  Rows.Rows.reserve(static_cast<std::size_t>(Changes.rows_size()));
  for (const relay::Row &Message : Changes.rows()) {
    if (!isName(Message.key()) || Message.version() > Changes.version())
      return Error{"a row has no valid key or version"};
    Result<std::string> Value = valueOfRow(Message);
    if (!succeeded(Value))
      return Error{errorOf(Value)};
    Rows.Rows.push_back({Message.key(), valueOf(std::move(Value)),
                         StoreVersion(Message.version(), Changes.era()),
                         Message.removed()});
  }
  return Rows;
}

Result<WatchedTable> watchedTableOf(std::uint32_t Number) {
  for (const auto &[Table, Name] : EnumNames<WatchedTable>::Entries)
    if (static_cast<std::uint32_t>(Table) == Number)
      return Table;
  return Error{"the table is unknown"};
}

relay::Evidence toMessage(const GroupEvidence &Known, TimePoint ReceivedAt) {
  relay::Evidence Message;
  Message.set_service(Known.Service.str());
  Message.set_primary(Known.Primary.str());
  Message.set_term(Known.TermNumber);
  if (Known.ReportedAt != TimePoint()) {
    Message.mutable_position()->set_term(Known.Position.TermNumber);
    Message.mutable_position()->set_index(Known.Position.Index);
    Message.set_position_age_us(ageAt(ReceivedAt, Known.ReportedAt));
  }
  Message.set_proved_term(Known.ProvedTerm);
  if (Known.ProvedTerm != 0)
    Message.set_proof_age_us(ageAt(ReceivedAt, Known.ProvedAt));
  for (const ServerConnectionCount &Count : Known.Servers) {
    relay::ServerConnections *Server = Message.add_servers();
    Server->set_server(Count.Server.str());
    Server->set_connections(Count.Connections);
  }
  for (const ReplicaEvidence &Seen : Known.Replicas) {
    relay::ReplicaProgress *Replica = Message.add_replicas();
    Replica->set_server(Seen.Server.str());
    Replica->mutable_position()->set_term(Seen.Position.TermNumber);
    Replica->mutable_position()->set_index(Seen.Position.Index);
    Replica->set_age_us(ageAt(ReceivedAt, Seen.At));
    Replica->set_apply_lag_us(Seen.ApplyLag.count());
  }
  return Message;
}

Result<GroupEvidence> evidenceOf(const relay::Evidence &Message,
                                 TimePoint SentAt) {
  if (!isName(Message.service()) ||
      Message.primary().size() > MaxRelayNameBytes ||
      !isAge(Message.position_age_us()) || !isAge(Message.proof_age_us()))
    return Error{"evidence is out of bounds"};
  GroupEvidence Known;
  Known.Service = ServiceName(Message.service());
  Known.Primary = ServerId(Message.primary());
  Known.TermNumber = Message.term();
  // The request arrived after SentAt, so an event of this age before its
  // arrival happened no earlier than this.
  if (Message.has_position()) {
    Known.Position = {Message.position().term(), Message.position().index()};
    Known.ReportedAt = SentAt - Duration(Message.position_age_us());
  }
  Known.ProvedTerm = Message.proved_term();
  if (Known.ProvedTerm != 0)
    Known.ProvedAt = SentAt - Duration(Message.proof_age_us());
  for (const relay::ServerConnections &Server : Message.servers()) {
    if (!isName(Server.server()))
      return Error{"evidence names no server"};
    Known.Servers.push_back({ServerId(Server.server()), Server.connections()});
  }
  for (const relay::ReplicaProgress &Replica : Message.replicas()) {
    if (!isName(Replica.server()) || !isAge(Replica.age_us()) ||
        !isAge(Replica.apply_lag_us()) || Replica.apply_lag_us() < 0)
      return Error{"the progress of a replica is out of bounds"};
    Known.Replicas.push_back(
        {ServerId(Replica.server()),
         {Replica.position().term(), Replica.position().index()},
         SentAt - Duration(Replica.age_us()),
         Duration(Replica.apply_lag_us())});
  }
  return Known;
}

ForwarderMessages toMessages(const std::vector<ForwarderVm> &Forwarders) {
  ForwarderMessages Out;
  for (const ForwarderVm &F : Forwarders) {
    if (Out.size() >= MaxForwardersInMessage)
      break;
    relay::Forwarder *Named = Out.Add();
    Named->set_vm(F.Vm.str());
    Named->set_address(F.Address);
    Named->set_cpu_percent(F.CpuPercent);
  }
  return Out;
}

std::vector<ForwarderVm> forwardersOf(const ForwarderMessages &Messages) {
  std::vector<ForwarderVm> Out;
  const int Count = std::min(Messages.size(), MaxForwardersInMessage);
  for (int I = 0; I < Count; ++I) {
    const relay::Forwarder &F = Messages.Get(I);
    if (isName(F.vm()) && succeeded(parseAddress(F.address())))
      Out.push_back({EntryVmId(F.vm()), F.address(), F.cpu_percent()});
  }
  return Out;
}

relay::RemoteForwarders toMessage(const RemoteForwarders &Known) {
  relay::RemoteForwarders Out;
  Out.set_data_centre(Known.Location.str());
  Out.set_token(Known.Token);
  *Out.mutable_forwarders() = toMessages(Known.Forwarders);
  return Out;
}

std::vector<RemoteForwarders>
remoteForwardersOf(const relay::SyncReply &Message) {
  std::vector<RemoteForwarders> Out;
  for (const relay::RemoteForwarders &R : Message.remote_forwarders())
    if (isName(R.data_centre()) && isName(R.token()))
      Out.push_back({DataCentre(R.data_centre()), R.token(),
                     forwardersOf(R.forwarders())});
  return Out;
}

std::string relayRowKey(const DataCentre &Location) {
  return "relay/" + Location.str();
}

Result<RelayRow> relayRowOf(const relay::Replacement &Message) {
  RelayRow Row;
  Row.Vm = EntryVmId(Message.relay());
  Row.Address = Message.address();
  Row.Token = Message.token();
  return decodeRelayRow(encodeRelayRow(Row),
                        StoreVersion(Message.row_version(), Message.row_era()));
}

std::string encodeRelayRow(const RelayRow &Row) {
  const QJsonObject O{{"vm", QString::fromStdString(Row.Vm.str())},
                      {"address", QString::fromStdString(Row.Address)},
                      {"token", QString::fromStdString(Row.Token)}};
  return QJsonDocument(O).toJson(QJsonDocument::Compact).toStdString();
}

Result<RelayRow> decodeRelayRow(const std::string &Value,
                                StoreVersion Version) {
  const QJsonDocument Parsed =
      QJsonDocument::fromJson(QByteArray::fromStdString(Value));
  const QJsonObject O = Parsed.object();
  RelayRow Row;
  Row.Version = Version;
  Row.Vm = EntryVmId(O["vm"].toString().toStdString());
  Row.Address = O["address"].toString().toStdString();
  Row.Token = O["token"].toString().toStdString();
  if (!isName(Row.Vm.str()) || !isName(Row.Token) ||
      !succeeded(parseAddress(Row.Address)))
    return Error{"the relay's row is malformed"};
  return Row;
}

} // namespace amaranthspur
