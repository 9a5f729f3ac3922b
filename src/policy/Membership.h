// Membership of a deployment: which entry VMs exist and which of them are live.
// The protocol is a variant of SWIM.
//
// Source: Das, Gupta, Motivala, "SWIM: Scalable Weakly-consistent
// Infection-style Process Group Membership Protocol", DSN 2002.
//
// Invariants:
// - A member is declared dead only by members of its own data centre, so a
//   partition between data centres does not cause any member to be declared
//   dead.
// - Of two reports about a member, the one with the higher incarnation takes
//   precedence. For equal incarnations, the state that is later in the order
//   live, suspect, leaving, dead takes precedence. Only the member itself
//   raises its incarnation. Views therefore converge regardless of the order in
//   which reports arrive.
// - A VM that is known only from the platform's list or from the settings is a
//   candidate and is not in members(). It is pinged, and it becomes a member
//   once it has answered or a member has reported it. It never owns a server
//   before that.
// - A member that is no longer in the platform's list and that does not answer
//   pings is removed, even if its data centre has no live member left.
//
// Each message carries the sender's own entry, at most MaxPiggybackedUpdates
// membership updates and one further entry that is chosen round-robin. The
// round-robin entry repairs what lost messages have left out. The cost per
// member therefore does not depend on the number of members. The only larger
// message is the answer to a member that does not know the recipient yet, which
// carries a sample of up to MaxSampleEntries entries.
#ifndef AMARANTHSPUR_POLICY_MEMBERSHIP_H
#define AMARANTHSPUR_POLICY_MEMBERSHIP_H

#include "core/Clock.h"
#include "core/Random.h"
#include "policy/Member.h"

#include <array>
#include <memory>
#include <optional>
#include <vector>

namespace amaranthspur {

/// Kinds of protocol messages. A PingRequest asks the recipient to ping another
/// member on behalf of the sender.
enum class MembershipMessageKind { Ping, Ack, PingRequest };

template <> struct EnumNames<MembershipMessageKind> {
  static constexpr auto Entries =
      std::to_array<std::pair<MembershipMessageKind, std::string_view>>(
          {{MembershipMessageKind::Ping, "ping"},
           {MembershipMessageKind::Ack, "ack"},
           {MembershipMessageKind::PingRequest, "ping-request"}});
};

/// A protocol message between two members.
struct MembershipMessage {
  MembershipMessageKind Kind = MembershipMessageKind::Ping;
  /// Sequence number of the ping. An Ack repeats the number of its ping.
  std::uint64_t Sequence = 0;
  /// In an Ack, the member that is alive. In a PingRequest, the member to ping;
  /// this is the recipient itself if the sender does not know it yet, and the
  /// Ack then carries a sample of the members. Unused in a Ping.
  EntryVmId Subject;
  std::vector<Member> Members;
  std::uint64_t Revision = 0; ///< Configuration revision that the sender uses.
};

/// A message to be sent.
struct OutgoingMembershipMessage {
  EntryVmId To;
  std::string Address; ///< `host:port`. To may be a candidate.
  MembershipMessage Message;
};

/// Whether a received message was accepted, or why it was not.
enum class MembershipResult {
  Accepted,
  UnknownSender,  ///< The sender is no member and the message lacks its entry.
  StaleSender,    ///< A later incarnation of the sender is known.
  ClaimsToBeSelf, ///< The sender uses this member's own identifier.
};

template <> struct EnumNames<MembershipResult> {
  static constexpr auto Entries =
      std::to_array<std::pair<MembershipResult, std::string_view>>(
          {{MembershipResult::Accepted, "accepted"},
           {MembershipResult::UnknownSender, "unknown-sender"},
           {MembershipResult::StaleSender, "stale-sender"},
           {MembershipResult::ClaimsToBeSelf, "claims-to-be-self"}});
};

/// The result of handling a message, and the messages to send in response.
struct MembershipResponse {
  MembershipResult Result = MembershipResult::Accepted;
  std::vector<OutgoingMembershipMessage> Messages;
};

/// An entry VM in the platform's list or in the settings.
struct ListedMember {
  EntryVmId Id;
  std::string PeerAddress;
  DataCentre Location;
  bool Leaving = false;
};

/// Counters for the metrics and for `status`.
struct MembershipStats {
  std::size_t Live = 0; ///< Live and suspect members.
  std::size_t Leaving = 0;
  std::size_t Dead = 0;       ///< Dead members whose records are still kept.
  std::size_t Candidates = 0; ///< Listed VMs that have never sent a message.
  std::uint64_t Suspicions = 0;
  std::uint64_t Deaths = 0; ///< Deaths that this member declared.
  std::uint64_t Refutations = 0;
  std::uint64_t Pauses = 0; ///< Gaps between ticks above PauseThreshold.
};

/// The membership as one entry VM sees it. Implementations are deterministic
/// and read no clock.
class Membership {
public:
  virtual ~Membership() = default;

  /// Runs the periodic work that is due at \p Now and returns the messages to
  /// send. It must be called at least every TickInterval.
  virtual std::vector<OutgoingMembershipMessage> tick(TimePoint Now,
                                                      Random &Rng) = 0;

  /// Handles \p Message from the process \p Incarnation of \p From.
  virtual MembershipResponse onMessage(const EntryVmId &From,
                                       std::uint64_t Incarnation,
                                       const MembershipMessage &Message,
                                       TimePoint Now, Random &Rng) = 0;

  /// Adds candidates from the settings. They are pinged until they answer.
  virtual void addSeeds(const std::vector<ListedMember> &Seeds,
                        TimePoint Now) = 0;

  /// Applies the platform's list of VMs. An empty list is treated as a fault of
  /// the platform and ignored.
  virtual void setListed(const std::vector<ListedMember> &List,
                         TimePoint Now) = 0;

  /// Sets the configuration revision that outgoing messages carry.
  virtual void setRevision(std::uint64_t Revision) = 0;

  /// Marks this member as leaving until it is restarted.
  virtual void leave() = 0;

  /// Returns all members, sorted by identifier. They include this member and
  /// the dead members whose records are still kept. Takes linear time after a
  /// change and constant time otherwise.
  virtual const std::vector<Member> &members() const = 0;

  /// Returns the entry of \p Id in members(), or nothing, in logarithmic time.
  virtual std::optional<Member> find(const EntryVmId &Id) const = 0;

  /// Returns a number that increases with every change of members().
  virtual std::uint64_t version() const = 0;

  /// Returns the entry of this member.
  virtual Member self() const = 0;

  virtual MembershipStats stats() const = 0;

  static constexpr Duration TickInterval = milliseconds(50);
  /// A longer gap between ticks means that this process was paused. Answers
  /// that are missing after such a gap are no evidence against other members.
  static constexpr Duration PauseThreshold = milliseconds(250);
  /// Interval between two probes by the same member.
  static constexpr Duration ProbePeriod = milliseconds(250);
  /// Time after which an unanswered ping is followed by PingRequests.
  static constexpr Duration DirectTimeout = milliseconds(150);
  /// Time in which a suspect member can refute before it is declared dead.
  static constexpr Duration SuspicionTime = milliseconds(600);
  /// Maximum number of membership updates in one message.
  static constexpr std::size_t MaxPiggybackedUpdates = 8;
  /// Maximum number of entries in the answer to a member that knows the
  /// recipient only from a list.
  static constexpr std::size_t MaxSampleEntries = 128;
  /// Each refutation raises the incarnation by one. A new process starts with
  /// the time in µs as its incarnation, which exceeds that of an earlier
  /// process by more than this number. Incarnations that differ by less belong
  /// to the same process.
  static constexpr std::uint64_t MaxRefutations = 1000;
  /// Maximum number of members, and of candidates, that are kept at a time.
  static constexpr std::size_t MaxMembers = 16384;
};

/// Creates the SWIM-style membership.
/// \param Self the entry of this VM. Its State is Live, and its Incarnation is
/// the start time in µs.
std::unique_ptr<Membership> makeSwimMembership(Member Self);

} // namespace amaranthspur

#endif // AMARANTHSPUR_POLICY_MEMBERSHIP_H
