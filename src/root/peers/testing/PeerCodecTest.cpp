#include "root/peers/PeerCodec.h"
#include "root/peers/CurveKeys.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace amaranthspur;

namespace {

/// Checks a property with a fixed seed, so that a failure is reproducible.
template <typename Property>
void requireProperty(const char *Name, const Property &P) {
  rc::detail::TestMetadata Metadata;
  Metadata.id = Name;
  rc::detail::TestParams Parameters;
  Parameters.seed = 20261204;
  Parameters.maxSuccess = 500;
  const auto Result = rc::detail::checkTestable(P, Metadata, Parameters);
  std::ostringstream Text;
  rc::detail::printResultMessage(Result, Text);
  INFO(Name << ": " << Text.str());
  CHECK(Result.template is<rc::detail::SuccessResult>());
}

std::string anyName() {
  const auto Letters = *rc::gen::container<std::string>(
      rc::gen::elementOf(std::string("abcxyz019-._:")));
  return "n" + Letters.substr(0, MaxNameBytes - 1);
}

Member anyMember() {
  Member M;
  M.Id = EntryVmId(anyName());
  M.PeerAddress = anyName();
  M.Location = DataCentre(anyName());
  M.Incarnation = *rc::gen::arbitrary<std::uint64_t>();
  M.State = *rc::gen::element(MemberState::Live, MemberState::Suspect,
                              MemberState::Dead, MemberState::Leaving);
  return M;
}

MembershipMessage anyMessage() {
  MembershipMessage Message;
  Message.Kind =
      *rc::gen::element(MembershipMessageKind::Ping, MembershipMessageKind::Ack,
                        MembershipMessageKind::PingRequest);
  Message.Sequence = *rc::gen::arbitrary<std::uint64_t>();
  Message.Revision = *rc::gen::arbitrary<std::uint64_t>();
  if (Message.Kind != MembershipMessageKind::Ping)
    Message.Subject = EntryVmId(anyName());
  const auto Count = *rc::gen::inRange<std::size_t>(0, 20);
  for (std::size_t I = 0; I < Count; ++I)
    Message.Members.push_back(anyMember());
  return Message;
}

bool equal(const MembershipMessage &A, const MembershipMessage &B) {
  return A.Kind == B.Kind && A.Sequence == B.Sequence &&
         A.Subject == B.Subject && A.Members == B.Members &&
         A.Revision == B.Revision;
}

peer::Envelope envelopeOf(const MembershipMessage &Message) {
  peer::Envelope Envelope = toEnvelope(Message);
  Envelope.set_sender("sender");
  Envelope.set_incarnation(1);
  return Envelope;
}

/// Decodes \p Bytes as each kind of message that the codec supports.
void decodeAnyKind(const std::string &Bytes) {
  const Result<peer::Envelope> Decoded = decodeEnvelope(Bytes);
  if (!succeeded(Decoded))
    return;
  (void)membershipMessageOf(valueOf(Decoded));
  if (valueOf(Decoded).has_group_view_update())
    (void)groupViewOf(valueOf(Decoded).group_view_update(), TimePoint{});
}

} // namespace

// Guards against a field that encoding or decoding loses or changes.
TEST_CASE("membership messages are unchanged by encoding and decoding") {
  requireProperty("round trip", [] {
    const MembershipMessage Message = anyMessage();
    const auto Decoded = decodeEnvelope(encodeEnvelope(envelopeOf(Message)));
    RC_ASSERT(succeeded(Decoded));
    RC_ASSERT(isMembershipMessage(valueOf(Decoded)));
    const auto Read = membershipMessageOf(valueOf(Decoded));
    RC_ASSERT(succeeded(Read));
    RC_ASSERT(equal(valueOf(Read), Message));
  });
}

// Guards against wrong ages or positions in a decoded view. An age must grow by
// the time between the creation of the view and its encoding.
TEST_CASE("group views are unchanged by encoding and decoding") {
  requireProperty("round trip", [] {
    const TimePoint Taken{std::chrono::seconds(100)};
    const TimePoint Received{std::chrono::seconds(7000)};
    const Duration Since(*rc::gen::inRange(0, 1000000));
    GroupView View;
    View.Service = ServiceName(anyName());
    View.TermNumber = *rc::gen::arbitrary<std::uint64_t>();
    if (*rc::gen::arbitrary<bool>())
      View.Primary = ServerId(anyName());
    View.Confirmed = {*rc::gen::arbitrary<std::uint64_t>(),
                      *rc::gen::arbitrary<std::uint64_t>()};
    View.AcceptsWrites = *rc::gen::arbitrary<bool>();
    View.Taken = Taken;
    const auto Count = *rc::gen::inRange(0, 5);
    for (int I = 0; I < Count; ++I) {
      ServerView Server;
      Server.Id = ServerId(anyName());
      Server.Reachable = *rc::gen::arbitrary<bool>();
      Server.Leaving = *rc::gen::arbitrary<bool>();
      Server.Held = {*rc::gen::arbitrary<std::uint64_t>(),
                     *rc::gen::arbitrary<std::uint64_t>()};
      if (*rc::gen::arbitrary<bool>())
        Server.Age = Duration(*rc::gen::inRange(0, 1000000000));
      View.Servers.push_back(Server);
    }
    const auto Read = groupViewOf(toMessage(View, Taken + Since), Received);
    RC_ASSERT(succeeded(Read));
    const GroupView &Got = valueOf(Read);
    RC_ASSERT(Got.Service == View.Service);
    RC_ASSERT(Got.TermNumber == View.TermNumber);
    RC_ASSERT(Got.Primary == View.Primary);
    RC_ASSERT(Got.Confirmed == View.Confirmed);
    RC_ASSERT(Got.AcceptsWrites == View.AcceptsWrites);
    RC_ASSERT(Got.Taken == Received);
    RC_ASSERT(Got.Servers.size() == View.Servers.size());
    for (std::size_t I = 0; I < Got.Servers.size(); ++I) {
      RC_ASSERT(Got.Servers[I].Id == View.Servers[I].Id);
      RC_ASSERT(Got.Servers[I].Reachable == View.Servers[I].Reachable);
      RC_ASSERT(Got.Servers[I].Leaving == View.Servers[I].Leaving);
      RC_ASSERT(Got.Servers[I].Held == View.Servers[I].Held);
      RC_ASSERT(Got.Servers[I].Age.has_value() ==
                View.Servers[I].Age.has_value());
      if (Got.Servers[I].Age)
        RC_ASSERT(*Got.Servers[I].Age == *View.Servers[I].Age + Since);
    }
  });
}

// Guards against received bytes that crash the process. A build with sanitizers
// also checks every memory access.
TEST_CASE("arbitrary bytes do not crash the codec") {
  requireProperty("random bytes", [] {
    decodeAnyKind(*rc::gen::container<std::string>(rc::gen::arbitrary<char>()));
  });
  requireProperty("a message with changed bytes", [] {
    std::string Bytes = encodeEnvelope(envelopeOf(anyMessage()));
    const auto Changes = *rc::gen::inRange(1, 8);
    for (int I = 0; I < Changes; ++I)
      Bytes[*rc::gen::inRange<std::size_t>(0, Bytes.size())] =
          *rc::gen::arbitrary<char>();
    decodeAnyKind(Bytes);
  });
  requireProperty("a message cut short", [] {
    std::string Bytes = encodeEnvelope(envelopeOf(anyMessage()));
    Bytes.resize(*rc::gen::inRange<std::size_t>(0, Bytes.size()));
    decodeAnyKind(Bytes);
  });
}

// Guards against fields out of bounds that reach the policy code.
TEST_CASE("a membership message with a field out of bounds is rejected") {
  struct Row {
    const char *Name;
    void (*Change)(peer::Envelope &);
  };
  const Row Rows[] = {
      {"no sender", [](peer::Envelope &E) { E.clear_sender(); }},
      {"long sender",
       [](peer::Envelope &E) { E.set_sender(std::string(200, 'x')); }},
      {"no body", [](peer::Envelope &E) { E.clear_body(); }},
      {"not a membership message",
       [](peer::Envelope &E) { E.mutable_status_query(); }},
      {"ack without subject member",
       [](peer::Envelope &E) { E.mutable_ack()->clear_about(); }},
      {"ping request without target",
       [](peer::Envelope &E) { E.mutable_ping_request(); }},
      {"member without name",
       [](peer::Envelope &E) {
         E.mutable_ack()->mutable_gossip()->mutable_members(0)->clear_id();
       }},
      {"member with a long address",
       [](peer::Envelope &E) {
         E.mutable_ack()
             ->mutable_gossip()
             ->mutable_members(0)
             ->set_peer_address(std::string(200, 'x'));
       }},
      {"member without data centre",
       [](peer::Envelope &E) {
         E.mutable_ack()
             ->mutable_gossip()
             ->mutable_members(0)
             ->clear_data_centre();
       }},
      {"unknown state",
       [](peer::Envelope &E) {
         E.mutable_ack()->mutable_gossip()->mutable_members(0)->set_state(9);
       }},
      {"too many members",
       [](peer::Envelope &E) {
         peer::Gossip &Gossip = *E.mutable_ack()->mutable_gossip();
         while (static_cast<std::size_t>(Gossip.members_size()) <=
                MaxMembersInMessage)
           *Gossip.add_members() = Gossip.members(0);
       }},
  };
  MembershipMessage Good;
  Good.Kind = MembershipMessageKind::Ack;
  Good.Subject = EntryVmId("a");
  Good.Members.push_back(
      {EntryVmId("a"), "a:1", DataCentre("dc"), 1, MemberState::Live});
  REQUIRE(succeeded(membershipMessageOf(envelopeOf(Good))));
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    peer::Envelope Envelope = envelopeOf(Good);
    R.Change(Envelope);
    const auto Decoded = decodeEnvelope(encodeEnvelope(Envelope));
    CHECK((!succeeded(Decoded) ||
           !succeeded(membershipMessageOf(valueOf(Decoded)))));
  }
}

// Guards against a group view that uses too much memory or has a negative age.
TEST_CASE("a group view with a field out of bounds is rejected") {
  struct Row {
    const char *Name;
    void (*Change)(peer::GroupViewUpdate &);
  };
  const Row Rows[] = {
      {"no service", [](peer::GroupViewUpdate &U) { U.clear_service(); }},
      {"long primary",
       [](peer::GroupViewUpdate &U) { U.set_primary(std::string(200, 'x')); }},
      {"server without name",
       [](peer::GroupViewUpdate &U) { U.mutable_servers(0)->clear_id(); }},
      {"negative age",
       [](peer::GroupViewUpdate &U) { U.mutable_servers(0)->set_age_us(-1); }},
      {"too many servers",
       [](peer::GroupViewUpdate &U) {
         while (static_cast<std::size_t>(U.servers_size()) <= MaxServersInView)
           *U.add_servers() = U.servers(0);
       }},
  };
  peer::GroupViewUpdate Good;
  Good.set_service("orders");
  Good.add_servers()->set_id("s1");
  REQUIRE(succeeded(groupViewOf(Good, TimePoint{})));
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    peer::GroupViewUpdate Update = Good;
    R.Change(Update);
    CHECK_FALSE(succeeded(groupViewOf(Update, TimePoint{})));
  }
}

// Guards against equal CURVE keys for two deployments, and against keys that
// change when the process restarts.
TEST_CASE("CURVE keys depend only on the deployment key") {
  const CurveKeys A = deriveCurveKeys("one");
  CHECK(A.PublicKey.size() == 40);
  CHECK(A.SecretKey.size() == 40);
  CHECK(A.PublicKey != A.SecretKey);
  CHECK(deriveCurveKeys("one").SecretKey == A.SecretKey);
  CHECK(deriveCurveKeys("one").PublicKey == A.PublicKey);
  CHECK(deriveCurveKeys("two").SecretKey != A.SecretKey);
  CHECK(deriveCurveKeys("two").PublicKey != A.PublicKey);
}
