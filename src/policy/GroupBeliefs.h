// The beliefs of an entry VM about one group of backend servers, and the order
// in which the servers are tried for a read.
//
// A belief is the last known, possibly outdated state of a server. Beliefs come
// from registrations, from status reports and from the answers to statements. A
// wrong belief does no harm: the servers check themselves (a replica refuses
// writes), and reads depend on the proofs of policy/Freshness.h. The class
// sends no messages and reads no clock; times are of the steady clock.
#ifndef AMARANTHSPUR_POLICY_GROUPBELIEFS_H
#define AMARANTHSPUR_POLICY_GROUPBELIEFS_H

#include "core/Random.h"
#include "policy/AccessPlan.h"
#include "policy/ReplicaProgress.h"
#include "policy/ServerSelection.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace amaranthspur {

/// A status report of a server.
struct ServerReport {
  ServerRole Role = ServerRole::Replica;
  Term TermNumber = 0;  ///< Term of the primary that it is or follows.
  LogPosition Received; ///< End of its log, including entries not yet applied.
  Term AdoptedTerm = 0; ///< It refuses primaries of lower terms.
  Duration ApplyLag{};
  unsigned Busy = 0; ///< Slots in use.
  unsigned Connections = 0;
};

/// The distance from this entry VM to a server.
enum class Distance { SameDataCentre, SameRegion, OtherRegion };

template <> struct EnumNames<Distance> {
  static constexpr auto Entries =
      std::to_array<std::pair<Distance, std::string_view>>(
          {{Distance::SameDataCentre, "same-data-centre"},
           {Distance::SameRegion, "same-region"},
           {Distance::OtherRegion, "other-region"}});
};

/// The location of an entry VM.
struct Locality {
  DataCentre Here;                      ///< Of the entry VM.
  std::map<DataCentre, Region> Regions; ///< The region of each data centre.

  Distance distanceTo(const DataCentre &There) const;
  /// Returns whether \p A and \p B are the same data centre or known to be in
  /// the same region.
  bool isSameRegion(const DataCentre &A, const DataCentre &B) const;
};

/// Beliefs about one server.
struct ServerBelief {
  RegisteredServer Registration;
  std::optional<ServerRole> Role;
  Term TermNumber = 0;      ///< 0 if not known since the last role change.
  Term AdoptedTerm = 0;     ///< Last known.
  Term RefusedTerm = 0;     ///< In which it last refused a write as a replica,
                            ///< or stepped down.
  ReplicaProgress Progress; ///< Of its log, as a replica.
  std::optional<TimePoint> FailingSince; ///< First failure after a success.
  TimePoint LastFailure{};
  TimePoint LastAnswer{};
  Duration Latency{};    ///< Moving average of the time of a statement.
  TimePoint LatencyAt{}; ///< Time of the last latency observation.
  unsigned InFlight = 0; ///< Statements of this entry VM running on it.
  std::optional<TimePoint> RefusedAt; ///< Last refusal for lack of a slot.
  std::optional<unsigned> Busy;       ///< Slots in use by its last report.
  TimePoint BusyAt{};                 ///< Time of that report.

  const ServerId &id() const { return this->Registration.Id; }
};

/// The server that is believed to be the primary.
struct BelievedPrimary {
  ServerId Id;
  Term TermNumber = 0; ///< 0 if not known yet.

  bool operator==(const BelievedPrimary &) const = default;
};

/// A read for which a server is chosen.
struct ReadChoice {
  std::optional<LogPosition> Floor; ///< Lowest log position that it may see.
  std::set<ServerId> Tried;         ///< Not to be chosen again.
  /// Servers to which a connection is idle that could run the read; nothing if
  /// that is not known.
  std::optional<std::set<ServerId>> Connected;
  std::size_t Choosers = 0; ///< Entry VMs that use the group; 0: not known.
  /// Workspace of a read at its home; empty otherwise. Without an idle
  /// connection, its reads prefer the same server.
  WorkspaceName AtHomeOf;
};

/// How a server is considered for a read, in the order in which they are tried.
enum class ReadTier {
  Probe,   ///< It probably lacks the floor, and the read is to find out.
  Usable,  ///< It can run the read, as far as is known.
  Behind,  ///< It probably lacks the floor; there is no primary to use instead.
  Last,    ///< It is avoided after a failure, or draining.
  LeftOut, ///< It is not tried.
};

template <> struct EnumNames<ReadTier> {
  static constexpr auto Entries =
      std::to_array<std::pair<ReadTier, std::string_view>>(
          {{ReadTier::Probe, "probe"},
           {ReadTier::Usable, "usable"},
           {ReadTier::Behind, "behind"},
           {ReadTier::Last, "last"},
           {ReadTier::LeftOut, "left-out"}});
};

/// A server that is considered for a read.
struct ReadCandidate {
  SelectionCandidate Evidence;
  ReadTier Tier = ReadTier::LeftOut;
};

/// Beliefs about one group.
class GroupBeliefs {
public:
  /// Time for which a server is avoided after a failure; after it, one
  /// statement may try the server. Long enough that few statements try a server
  /// that is down, and short compared with the shortest outage of the
  /// deployments (2 s).
  static constexpr Duration AvoidAfterFailure = milliseconds(400);
  /// Weight of a new latency observation in the moving average; the last ten
  /// observations dominate.
  static constexpr double LatencyWeight = 0.2;
  /// Time after which the difference between a latency and PriorLatency is
  /// halved if there is no new observation, so that a server that was slow is
  /// tried again.
  static constexpr Duration LatencyHalfLife = std::chrono::seconds(3);
  /// Cost of a read on a server in another data centre of the same region.
  static constexpr Duration SameRegionCost = milliseconds(3);
  /// Cost of a read on a server of another region. Traffic between regions
  /// costs four times as much as traffic within a region and shares a link of
  /// 30 Mbit/s.
  static constexpr Duration OtherRegionCost = milliseconds(40);
  /// Cost of a read on the primary. Keeps the slots of the primary for writes:
  /// a read goes to the primary only if the replicas lag, fail or let it wait.
  static constexpr Duration PrimaryReadCost = milliseconds(40);
  /// Cost of opening a connection: 12 ms of a slot and two round trips.
  static constexpr Duration OpenCost = milliseconds(15);

  explicit GroupBeliefs(const Locality &Where) : Where(Where) {}

  /// Sets the registered servers of the group. The beliefs about a server that
  /// was restarted are discarded.
  /// \returns whether a server was added or removed, or an address, a start, a
  /// role or a draining state changed.
  bool setServers(const std::vector<RegisteredServer> &Servers);

  /// Records a status report of \p Id.
  void observeStatus(const ServerId &Id, const ServerReport &Report,
                     TimePoint Now);
  /// Records that another entry VM knows \p Id as the primary of \p T. Ignored
  /// if a later term or another primary of this term is known here, or if the
  /// server has refused a write in this term.
  void observeLeader(const ServerId &Id, Term T);
  /// Records an answer of any kind. \p Position is the end of the server's log.
  void observeAnswer(const ServerId &Id, std::optional<LogPosition> Position,
                     TimePoint Now);
  /// Records that the log of the primary ended at \p End at \p At.
  void observePrimaryEnd(LogPosition End, TimePoint At);
  /// Records what another entry VM knows of the log of \p Id.
  void observeReplica(const ServerId &Id, const ReplicaPosition &Seen);
  /// Records that \p Id refused a read with \p Floor because it lacked the
  /// floor. Call it before observeAnswer() for the same answer.
  void observeLagging(const ServerId &Id, LogPosition Floor, TimePoint SentAt,
                      TimePoint Now, Random &Rng);
  /// Records that \p Id ran a read that was sent at \p SentAt.
  void observeServed(const ServerId &Id, TimePoint SentAt);
  /// Records that a statement that was not refused took \p Took.
  void observeLatency(const ServerId &Id, Duration Took, TimePoint Now);
  /// Records that the server refused a statement for lack of a slot.
  void observeBusy(const ServerId &Id, TimePoint Now);
  /// Records that the server could not be reached or a connection to it failed.
  void observeFailure(const ServerId &Id, TimePoint Now);
  /// Records that the server refused a write because it is not the primary.
  void observeNotPrimary(const ServerId &Id);
  /// Adds \p By, which may be negative, to the statements in flight.
  void addInFlight(const ServerId &Id, int By);

  /// Returns the believed primary with the highest term. A server that
  /// registered as primary and whose term is not known yet goes first.
  std::optional<BelievedPrimary> primary() const;

  /// Returns all servers as candidates for a read, by identifier.
  std::vector<ReadCandidate> readCandidates(const ReadChoice &Read,
                                            TimePoint Now) const;

  /// Returns the servers that may execute a read, in the order in which they
  /// are to be tried. It is partly random (policy/ServerSelection.h). Servers
  /// that are avoided after a failure or are draining come last. Replicas that
  /// lack the floor, as far as can be predicted, are left out, unless the
  /// primary is not known or is avoided.
  std::vector<ServerId> readOrder(const ReadChoice &Read, TimePoint Now,
                                  Random &Rng) const;

  /// Returns the server on which to execute a read, or nothing if all that may
  /// were tried. A read that is to find out how far a replica is counts as
  /// sent.
  std::optional<ServerId> chooseReader(const ReadChoice &Read, TimePoint Now,
                                       Random &Rng);

  /// Returns whether \p Server can run a read with \p Floor now.
  ReplicaReadiness readiness(const ServerBelief &Server,
                             std::optional<LogPosition> Floor,
                             TimePoint Now) const;
  const LogTimeline &primaryEnds() const { return this->PrimaryEnds; }

  /// Returns whether \p Server failed recently and should not be tried now.
  bool isAvoided(const ServerBelief &Server, TimePoint Now) const;

  const ServerBelief *find(const ServerId &Id) const;
  const std::map<ServerId, ServerBelief> &servers() const {
    return this->Servers;
  }

private:
  ServerBelief *findMutable(const ServerId &Id);
  /// Returns how \p Server is considered for a read.
  /// \param LeaderUsable whether there is a primary that is not avoided.
  ReadTier tierOf(const ServerBelief &Server,
                  const std::optional<BelievedPrimary> &Leader,
                  bool LeaderUsable, const ReadChoice &Read,
                  TimePoint Now) const;
  /// Returns what is known of \p Server for a read.
  SelectionCandidate candidate(const ServerBelief &Server,
                               const std::optional<BelievedPrimary> &Leader,
                               const ReadChoice &Read, TimePoint Now) const;

  const Locality &Where;
  std::map<ServerId, ServerBelief> Servers;
  LogTimeline PrimaryEnds;
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_POLICY_GROUPBELIEFS_H
