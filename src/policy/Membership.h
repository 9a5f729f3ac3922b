// Which entry VMs there are, and which of them are live.
//
// Source: Das, Gupta, Motivala, "SWIM: Scalable Weakly-consistent
// Infection-style Process Group Membership Protocol", DSN 2002.
//
// Invariants:
// - Only members of its own data centre declare a member dead, so a partition
//   between data centres makes no member dead.
// - Of two reports about a member the one with the higher incarnation counts;
//   of equal ones the later in the order live, suspect, leaving, dead. Only a
//   member itself raises its incarnation. So views converge in whatever order
//   reports arrive.
// - A VM that is only known from the platform's list or from settings is not in
//   members(): it is pinged, and becomes a member when it has answered or when
//   a member has reported it. It is never owner of a server before.
// - A member that the platform's list has dropped and that answers no ping goes
//   away, also if its whole data centre is gone.
//
// Each message carries the sender's own entry, at most MaxNews changes and one
// entry in rotation, which repairs what lost messages have left out. The cost
// of a member is therefore bounded whatever the number of members; only the
// answer to a member that does not know the recipient yet carries a page of up
// to MaxPage entries.
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

enum class MembershipMessageKind { Ping, Ack, PingRequest };

template <> struct EnumNames<MembershipMessageKind> {
  static constexpr auto Entries =
      std::to_array<std::pair<MembershipMessageKind, std::string_view>>(
          {{MembershipMessageKind::Ping, "ping"},
           {MembershipMessageKind::Ack, "ack"},
           {MembershipMessageKind::PingRequest, "ping-request"}});
};

/// A message between two Memberships.
struct MembershipMessage {
  MembershipMessageKind Kind = MembershipMessageKind::Ping;
  std::uint64_t Sequence = 0; ///< Of the ping; an Ack repeats it.
  EntryVmId About;            ///< Of an Ack: who is alive. Of a PingRequest:
                              ///< whom to ping; the recipient itself if the
                              ///< sender does not know it yet, and then the
                              ///< Ack has a page. Unused in a Ping.
  std::vector<Member> Members;
  std::uint64_t Revision = 0; ///< Configuration in force at the sender.
};

/// A message to be sent.
struct OutgoingMembershipMessage {
  EntryVmId To;
  std::string Address; ///< `host:port`; To need not be in members() yet.
  MembershipMessage Message;
};

/// What was done with a received message.
enum class MembershipVerdict {
  Accepted,
  UnknownSender,  ///< Not a member, and the message does not say where it is.
  StaleSender,    ///< Of an earlier incarnation than is known.
  ClaimsToBeSelf, ///< Carries this member's own identifier.
};

template <> struct EnumNames<MembershipVerdict> {
  static constexpr auto Entries =
      std::to_array<std::pair<MembershipVerdict, std::string_view>>(
          {{MembershipVerdict::Accepted, "accepted"},
           {MembershipVerdict::UnknownSender, "unknown-sender"},
           {MembershipVerdict::StaleSender, "stale-sender"},
           {MembershipVerdict::ClaimsToBeSelf, "claims-to-be-self"}});
};

/// What a message led to.
struct MembershipResponse {
  MembershipVerdict Verdict = MembershipVerdict::Accepted;
  std::vector<OutgoingMembershipMessage> Send;
};

/// An entry VM in the platform's list or in settings.
struct ListedMember {
  EntryVmId Id;
  std::string PeerAddress;
  DataCentre Location;
  bool Leaving = false;
};

/// Counts for metrics and `status`.
struct MembershipStats {
  std::size_t Live = 0; ///< Suspect ones included.
  std::size_t Leaving = 0;
  std::size_t Dead = 0;       ///< Still remembered.
  std::size_t Candidates = 0; ///< Listed, but never heard from.
  std::uint64_t Suspicions = 0;
  std::uint64_t Deaths = 0; ///< Declared by this member.
  std::uint64_t Refutations = 0;
  std::uint64_t Pauses = 0; ///< Gaps in the loop above MaxTickGap.
};

/// Membership as one entry VM sees it. Deterministic; reads no clock.
class Membership {
public:
  virtual ~Membership() = default;

  /// Does what is due at \p Now. To be called every TickInterval or earlier.
  virtual std::vector<OutgoingMembershipMessage> tick(TimePoint Now,
                                                      Random &Rng) = 0;

  /// Takes in \p Message from the process \p Incarnation of \p From.
  virtual MembershipResponse onMessage(const EntryVmId &From,
                                       std::uint64_t Incarnation,
                                       const MembershipMessage &Message,
                                       TimePoint Now, Random &Rng) = 0;

  /// Takes in members from settings; they are pinged until they answer.
  virtual void addSeeds(const std::vector<ListedMember> &Seeds,
                        TimePoint Now) = 0;

  /// Takes in the platform's list. An empty list is taken for a fault of the
  /// platform and ignored.
  virtual void setListed(const std::vector<ListedMember> &List,
                         TimePoint Now) = 0;

  /// Sets the configuration revision that messages carry.
  virtual void setRevision(std::uint64_t Revision) = 0;

  /// Marks this member as leaving, until it is restarted.
  virtual void leave() = 0;

  /// Returns all members by identifier, this one and dead ones that are still
  /// remembered included. Linear after a change, else constant.
  virtual const std::vector<Member> &members() const = 0;

  /// Returns what members() has of \p Id, or nothing. Logarithmic.
  virtual std::optional<Member> find(const EntryVmId &Id) const = 0;

  /// Returns a number that grows with every change of members().
  virtual std::uint64_t version() const = 0;

  /// Returns this member.
  virtual Member self() const = 0;

  virtual MembershipStats stats() const = 0;

  static constexpr Duration TickInterval = milliseconds(50);
  /// A longer gap between ticks means that this process was paused: what it
  /// has not heard meanwhile says nothing about others.
  static constexpr Duration MaxTickGap = milliseconds(250);
  static constexpr Duration ProbePeriod = milliseconds(250);
  static constexpr Duration DirectTimeout = milliseconds(150);
  static constexpr Duration SuspicionTime = milliseconds(600);
  /// Changes in one message.
  static constexpr std::size_t MaxNews = 8;
  /// Entries in the answer to a member that knows the recipient only from a
  /// list.
  static constexpr std::size_t MaxPage = 128;
  /// Refutations raise the incarnation by one each; a new process starts with
  /// the time in µs and so with more than this above an earlier one. What lies
  /// closer together comes from one process.
  static constexpr std::uint64_t MaxRefutations = 1000;
  /// Members and candidates that are held at a time.
  static constexpr std::size_t MaxMembers = 16384;
};

/// Makes the SWIM-style membership.
/// \param Self this entry VM; State is Live, Incarnation the start time in µs.
std::unique_ptr<Membership> makeSwimMembership(Member Self);

} // namespace amaranthspur

#endif // AMARANTHSPUR_POLICY_MEMBERSHIP_H
