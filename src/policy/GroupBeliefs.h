// What an entry VM believes about one group of backend servers, and the choice
// of a server for a statement.
//
// Beliefs come from registrations, from status reports and from the answers to
// ordinary statements. They may be wrong at any time; what keeps a wrong belief
// harmless is the server itself (a replica refuses writes) and the proofs of
// policy/Freshness.h. The class sends nothing and reads no clock; times are of
// the steady clock.
#ifndef AMARANTHSPUR_POLICY_GROUPBELIEFS_H
#define AMARANTHSPUR_POLICY_GROUPBELIEFS_H

#include "policy/AccessPlan.h"

#include <map>
#include <optional>
#include <vector>

namespace amaranthspur {

/// One status report of a server.
struct ServerReport {
  ServerRole Role = ServerRole::Replica;
  Term TermNumber = 0;  ///< Of the primary that it is or follows.
  LogPosition Received; ///< End of its log, applied or not.
  Term AdoptedTerm = 0; ///< It takes nothing from primaries of lower terms.
  Duration ApplyLag{};
  unsigned Busy = 0; ///< Slots in use.
  unsigned Connections = 0;
};

/// How far a server is from this entry VM.
enum class Distance { SameDataCentre, SameRegion, OtherRegion };

template <> struct EnumNames<Distance> {
  static constexpr auto Entries =
      std::to_array<std::pair<Distance, std::string_view>>(
          {{Distance::SameDataCentre, "same-data-centre"},
           {Distance::SameRegion, "same-region"},
           {Distance::OtherRegion, "other-region"}});
};

/// Where an entry VM is.
struct Locality {
  DataCentre Here;
  std::map<DataCentre, Region> Regions; ///< Of all data centres.

  Distance distanceTo(const DataCentre &There) const;
};

/// Beliefs about one server.
struct ServerBelief {
  RegisteredServer Registration;
  std::optional<ServerRole> Role;
  Term TermNumber = 0;    ///< Last known; 0: not known since it took its role.
  Term AdoptedTerm = 0;   ///< Last known.
  LogPosition Position;   ///< Highest position seen in one of its answers.
  TimePoint PositionAt{}; ///< Time of the last answer with a position.
  std::optional<TimePoint> FailingSince; ///< First failure since a success.
  TimePoint LastFailure{};
  TimePoint LastAnswer{};
  Duration Latency{};    ///< Smoothed time of a statement.
  TimePoint LatencyAt{}; ///< Last observation of it.
  unsigned InFlight = 0; ///< Statements of this entry VM that run there.

  const ServerId &id() const { return this->Registration.Id; }
};

/// A server that is believed to be the primary.
struct BelievedPrimary {
  ServerId Id;
  Term TermNumber = 0; ///< 0: not known yet.

  bool operator==(const BelievedPrimary &) const = default;
};

/// Beliefs about one group.
class GroupBeliefs {
public:
  /// After a failure a server is avoided for this time; then one statement may
  /// try it. Long enough to cost a down server little, short against the
  /// shortest outage of the deployments (2 s).
  static constexpr Duration AvoidAfterFailure = milliseconds(400);
  /// Weight of a new latency observation: the last ten count most.
  static constexpr double LatencyWeight = 0.2;
  /// A latency that was not observed again loses half of its excess over the
  /// prior in this time, so that a server that was slow is tried again.
  static constexpr Duration LatencyHalfLife = std::chrono::seconds(3);
  /// Latency of a server before any observation: mean work of the deployments'
  /// classes, 28 ms.
  static constexpr Duration PriorLatency = milliseconds(28);
  /// Costs added in the choice of a server for a read.
  static constexpr Duration SameRegionCost = milliseconds(3);
  /// Traffic between regions is billed four times as high as within one and
  /// shares a link of 30 Mbit/s.
  static constexpr Duration OtherRegionCost = milliseconds(40);
  /// Keeps the primary's slots for what only it can do: a read goes there
  /// when the replicas are one statement busier.
  static constexpr Duration PrimaryReadCost = milliseconds(40);
  /// A replica whose last known position is below the floor will often refuse;
  /// a refusal costs a round trip. Replicas apply within 60 ms on average.
  static constexpr Duration BelowFloorCost = milliseconds(20);
  /// The same if that position is fresh: the replica would refuse, and comes
  /// after a primary that has three statements of this entry VM in hand.
  static constexpr Duration SurelyBelowFloorCost = milliseconds(150);
  /// A position is fresh for this time; a replica that does not lag applies
  /// what it lacks within 60 ms on average.
  static constexpr Duration PositionFresh = milliseconds(100);

  explicit GroupBeliefs(const Locality &Where) : Where(Where) {}

  /// Takes in the registered servers of the group. A server that was born
  /// again starts with no beliefs.
  /// \returns whether the set, an address, a role or a state changed.
  bool setServers(const std::vector<RegisteredServer> &Servers);

  void observeStatus(const ServerId &Id, const ServerReport &Report,
                     TimePoint Now);
  /// An answer came, whatever it says. \p Position is the end of its log.
  void observeAnswer(const ServerId &Id, std::optional<LogPosition> Position,
                     TimePoint Now);
  /// A statement that was not refused took \p Took.
  void observeLatency(const ServerId &Id, Duration Took, TimePoint Now);
  /// A server could not be reached, or a connection to it failed.
  void observeFailure(const ServerId &Id, TimePoint Now);
  /// A server refused a write because it does not lead.
  void observeNotPrimary(const ServerId &Id);
  void addInFlight(const ServerId &Id, int By);

  /// Returns the primary by the highest known term; a server that registered
  /// as primary after the others became known goes first.
  std::optional<BelievedPrimary> primary() const;

  /// Returns the servers that may run a read with the floor \p Floor, best
  /// first, avoiding servers that fail or drain while others are there.
  /// \param Floor lowest position that the read may see.
  std::vector<ServerId> readOrder(std::optional<LogPosition> Floor,
                                  TimePoint Now) const;

  /// Returns whether \p Id failed recently and is not to be tried now.
  bool avoided(const ServerBelief &Server, TimePoint Now) const;

  const ServerBelief *find(const ServerId &Id) const;
  const std::map<ServerId, ServerBelief> &servers() const {
    return this->Servers;
  }

private:
  ServerBelief *findMutable(const ServerId &Id);
  double readCost(const ServerBelief &Server,
                  const std::optional<BelievedPrimary> &Leader,
                  std::optional<LogPosition> Floor, TimePoint Now) const;

  const Locality &Where;
  std::map<ServerId, ServerBelief> Servers;
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_POLICY_GROUPBELIEFS_H
