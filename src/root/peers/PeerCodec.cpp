#include "root/peers/PeerCodec.h"

#include <algorithm>

#include <google/protobuf/stubs/logging.h>

namespace amaranthspur {
namespace {

/// Upper limit of a received or sent age. An age above it means the same as an
/// unlimited age; the limit prevents an overflow when durations are added.
constexpr Duration MaxAge = std::chrono::hours(24 * 365);

bool isValidName(const std::string &Text) {
  return !Text.empty() && Text.size() <= MaxNameBytes;
}

std::optional<MemberState> memberStateOf(std::uint32_t Number) {
  for (const auto &[State, Name] : EnumNames<MemberState>::Entries)
    if (static_cast<std::uint32_t>(State) == Number)
      return State;
  return std::nullopt;
}

void fillGossip(const MembershipMessage &Message, peer::Gossip &Gossip) {
  Gossip.set_revision(Message.Revision);
  for (const Member &M : Message.Members) {
    peer::MemberUpdate &Update = *Gossip.add_members();
    Update.set_id(M.Id.str());
    Update.set_peer_address(M.PeerAddress);
    Update.set_data_centre(M.Location.str());
    Update.set_incarnation(M.Incarnation);
    Update.set_state(static_cast<std::uint32_t>(M.State));
  }
}

Result<Success> readGossip(const peer::Gossip &Gossip,
                           MembershipMessage &Message) {
  if (static_cast<std::size_t>(Gossip.members_size()) > MaxMembersInMessage)
    return Error{"membership message has too many members"};
  Message.Revision = Gossip.revision();
  for (const peer::MemberUpdate &Update : Gossip.members()) {
    const std::optional<MemberState> State = memberStateOf(Update.state());
    if (!State || !isValidName(Update.id()) ||
        !isValidName(Update.peer_address()) ||
        !isValidName(Update.data_centre()))
      return Error{"membership message has an invalid member"};
    Message.Members.push_back({EntryVmId(Update.id()), Update.peer_address(),
                               DataCentre(Update.data_centre()),
                               Update.incarnation(), *State});
  }
  return Success();
}

void fillPosition(LogPosition From, peer::Position &To) {
  To.set_term(From.TermNumber);
  To.set_index(From.Index);
}

LogPosition positionOf(const peer::Position &From) {
  return {From.term(), From.index()};
}

} // namespace

Result<peer::Envelope> decodeEnvelope(std::string_view Bytes) {
  // By default, protobuf logs each malformed message to standard error. The
  // handler is removed because PeerDropReason::Malformed counts these messages.
  [[maybe_unused]] static auto *const PreviousHandler =
      google::protobuf::SetLogHandler(nullptr);
  peer::Envelope Message;
  if (!Message.ParseFromArray(Bytes.data(), static_cast<int>(Bytes.size())))
    return Error{"message cannot be parsed"};
  if (!isValidName(Message.sender()))
    return Error{"message has no valid sender"};
  if (Message.body_case() == peer::Envelope::BODY_NOT_SET)
    return Error{"message has no body"};
  return Message;
}

std::string encodeEnvelope(const peer::Envelope &Message) {
  return Message.SerializeAsString();
}

bool isMembershipMessage(const peer::Envelope &Message) {
  return Message.has_ping() || Message.has_ack() || Message.has_ping_request();
}

peer::Envelope toEnvelope(const MembershipMessage &Message) {
  peer::Envelope Envelope;
  switch (Message.Kind) {
  case MembershipMessageKind::Ping:
    Envelope.mutable_ping()->set_sequence(Message.Sequence);
    fillGossip(Message, *Envelope.mutable_ping()->mutable_gossip());
    break;
  case MembershipMessageKind::Ack:
    Envelope.mutable_ack()->set_sequence(Message.Sequence);
    Envelope.mutable_ack()->set_about(Message.Subject.str());
    fillGossip(Message, *Envelope.mutable_ack()->mutable_gossip());
    break;
  case MembershipMessageKind::PingRequest:
    Envelope.mutable_ping_request()->set_sequence(Message.Sequence);
    Envelope.mutable_ping_request()->set_target(Message.Subject.str());
    fillGossip(Message, *Envelope.mutable_ping_request()->mutable_gossip());
    break;
  }
  return Envelope;
}

Result<MembershipMessage> membershipMessageOf(const peer::Envelope &Envelope) {
  MembershipMessage Message;
  const peer::Gossip *Gossip = nullptr;
  if (Envelope.has_ping()) {
    Message.Kind = MembershipMessageKind::Ping;
    Message.Sequence = Envelope.ping().sequence();
    Gossip = &Envelope.ping().gossip();
  } else if (Envelope.has_ack()) {
    Message.Kind = MembershipMessageKind::Ack;
    Message.Sequence = Envelope.ack().sequence();
    Message.Subject = EntryVmId(Envelope.ack().about());
    Gossip = &Envelope.ack().gossip();
  } else if (Envelope.has_ping_request()) {
    Message.Kind = MembershipMessageKind::PingRequest;
    Message.Sequence = Envelope.ping_request().sequence();
    Message.Subject = EntryVmId(Envelope.ping_request().target());
    Gossip = &Envelope.ping_request().gossip();
  } else {
    return Error{"message is not a membership message"};
  }
  if (Message.Kind != MembershipMessageKind::Ping &&
      !isValidName(Message.Subject.str()))
    return Error{"membership message has an invalid subject member"};
  const Result<Success> Read = readGossip(*Gossip, Message);
  if (!succeeded(Read))
    return Error{errorOf(Read)};
  return Message;
}

peer::GroupViewUpdate toMessage(const GroupView &View, TimePoint Now) {
  peer::GroupViewUpdate Update;
  Update.set_service(View.Service.str());
  Update.set_term(View.TermNumber);
  if (View.Primary)
    Update.set_primary(View.Primary->str());
  fillPosition(View.Confirmed, *Update.mutable_confirmed());
  Update.set_accepts_writes(View.AcceptsWrites);
  const Duration Elapsed = std::max(Now - View.Taken, Duration::zero());
  for (const ServerView &Server : View.Servers) {
    peer::ServerViewMessage &Message = *Update.add_servers();
    Message.set_id(Server.Id.str());
    Message.set_reachable(Server.Reachable);
    Message.set_leaving(Server.Leaving);
    fillPosition(Server.Held, *Message.mutable_held());
    Message.set_age_known(Server.Age.has_value());
    if (Server.Age)
      Message.set_age_us((std::min(*Server.Age, MaxAge) + Elapsed).count());
  }
  return Update;
}

Result<GroupView> groupViewOf(const peer::GroupViewUpdate &Update,
                              TimePoint Now) {
  if (!isValidName(Update.service()) || Update.primary().size() > MaxNameBytes)
    return Error{"group view has an invalid name"};
  if (static_cast<std::size_t>(Update.servers_size()) > MaxServersInView)
    return Error{"group view has too many servers"};
  GroupView View;
  View.Service = ServiceName(Update.service());
  View.TermNumber = Update.term();
  if (!Update.primary().empty())
    View.Primary = ServerId(Update.primary());
  View.Confirmed = positionOf(Update.confirmed());
  View.AcceptsWrites = Update.accepts_writes();
  View.Taken = Now;
  for (const peer::ServerViewMessage &Message : Update.servers()) {
    if (!isValidName(Message.id()) || Message.age_us() < 0)
      return Error{"group view has an invalid server"};
    ServerView Server;
    Server.Id = ServerId(Message.id());
    Server.Reachable = Message.reachable();
    Server.Leaving = Message.leaving();
    Server.Held = positionOf(Message.held());
    if (Message.age_known())
      Server.Age = std::min(Duration(Message.age_us()), MaxAge);
    View.Servers.push_back(std::move(Server));
  }
  return View;
}

} // namespace amaranthspur
