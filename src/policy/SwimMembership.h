// The implementation of Membership with a variant of the SWIM protocol.
#ifndef AMARANTHSPUR_POLICY_SWIMMEMBERSHIP_H
#define AMARANTHSPUR_POLICY_SWIMMEMBERSHIP_H

#include "policy/CandidateList.h"
#include "policy/MemberIndex.h"
#include "policy/Membership.h"
#include "policy/RelayTable.h"
#include "policy/UpdateQueue.h"

#include <map>
#include <optional>
#include <set>

namespace amaranthspur {

/// Implements Membership with a variant of the SWIM protocol.
class SwimMembership final : public Membership {
public:
  explicit SwimMembership(Member Self);

  std::vector<OutgoingMembershipMessage> tick(TimePoint Now,
                                              Random &Rng) override;
  MembershipResponse onMessage(const EntryVmId &From, std::uint64_t Incarnation,
                               const MembershipMessage &Message, TimePoint Now,
                               Random &Rng) override;
  void addSeeds(const std::vector<ListedMember> &Seeds, TimePoint Now) override;
  void setListed(const std::vector<ListedMember> &List, TimePoint Now) override;
  void setRevision(std::uint64_t NewRevision) override {
    if (std::exchange(this->Revision, NewRevision) != NewRevision)
      this->PushPending = true;
  }
  void leave() override;
  const std::vector<Member> &members() const override;
  std::optional<Member> find(const EntryVmId &Id) const override;
  std::uint64_t version() const override { return this->Version; }
  Member self() const override { return this->Self; }
  MembershipStats stats() const override;

private:
  using Outgoing = std::vector<OutgoingMembershipMessage>;

  using Record = MemberRecord;

  struct Probe {
    EntryVmId Target;
    TimePoint SentAt;
    bool Indirect = false;
  };

  bool sameCentre(const Member &M) const {
    return M.Location == this->Self.Location;
  }
  void changed() {
    ++this->Version;
    this->IndexStale = true;
    this->ViewStale = true;
  }

  // Handling of reports about members.
  void applyReport(const Member &Report, const Member *Reporter, bool Direct,
                   TimePoint Now);
  void applyReportAboutSelf(const Member &Report);
  void insert(const Member &Report, bool Direct, TimePoint Now);
  void replace(Record &R, const Member &Report, TimePoint Now);
  void announceSelf(bool IsLeaving);

  // Periodic work, called by tick().
  void resetAfterPause(TimePoint Now);
  void checkProbes(TimePoint Now, Random &Rng, Outgoing &Out);
  void checkSuspicions(TimePoint Now);
  void checkUnlisted(TimePoint Now, Outgoing &Out);
  void removeExpiredRecords(TimePoint Now);
  void probeNext(TimePoint Now, Random &Rng, Outgoing &Out);
  void ping(const Record &R, Outgoing &Out);
  void pingSuspects(Outgoing &Out);
  void pingOtherCentre(Random &Rng, Outgoing &Out);
  void pingCandidates(TimePoint Now, Random &Rng, Outgoing &Out);
  void pushUpdates(Random &Rng, Outgoing &Out);
  void pingDead(Random &Rng, Outgoing &Out);
  void startSuspicion(Record &R, TimePoint Now);

  // Construction of messages.
  MembershipMessage makeMessage(MembershipMessageKind Kind,
                                std::uint64_t Sequence, const EntryVmId &To);
  MembershipMessage makeAck(std::uint64_t Sequence, const EntryVmId &To);
  OutgoingMembershipMessage makeOutgoing(const Record &R,
                                         MembershipMessage Message) {
    return {R.M.Id, R.M.PeerAddress, std::move(Message)};
  }
  void addMemberSample(MembershipMessage &Message, Random &Rng);
  unsigned maxSends() const;

  const MemberIndex &index();

  Member Self;
  bool LeaveRequested = false;
  bool ListedAsLeaving = false;
  std::uint64_t Revision = 0;
  bool PushPending = false; ///< The next tick sends urgent updates at once.
  std::uint64_t Version = 1;

  MemberRecords Records;
  CandidateList Candidates;
  UpdateQueue Updates;
  /// The member whose entry was last added to a message round-robin.
  EntryVmId RoundRobinCursor;

  std::uint64_t NextSequence = 1;
  std::map<std::uint64_t, Probe> Probes;
  RelayTable Relays;
  /// Suspects of the own data centre, by the time when they are declared dead.
  std::set<std::pair<TimePoint, EntryVmId>> Suspicions;
  /// Members of the own data centre that are still to be probed in this round,
  /// the next one last.
  std::vector<EntryVmId> ProbeOrder;

  std::optional<TimePoint> FirstTick;
  std::optional<TimePoint> LastTick;
  TimePoint NextPeriod{};
  std::uint64_t Period = 0;
  MembershipStats Counters;

  // Computed from Records on demand.
  bool IndexStale = true;
  MemberIndex Index;
  mutable bool ViewStale = true;
  mutable std::vector<Member> View;
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_POLICY_SWIMMEMBERSHIP_H
