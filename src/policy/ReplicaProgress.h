// Predicts when a replica will hold a log position, from the positions in its
// answers and from the known ends of the primary's log.
//
// A read needs a replica that has applied the log up to the floor of the read.
// A replica that has fallen behind refuses the read, which costs a round trip
// and a connection, and it refuses all other reads too until it has caught up.
// After a disturbance, two replicas that were 14 s behind refused 300 to 900
// reads per 4 s each and served none.
//
// The position of an answer is translated to a time: the latest time at which
// the primary's log was known to end no later than there. The difference to the
// time of the answer is the lag of the replica, and the change of that
// translated time between two answers is the speed at which the replica applies
// the log (1: it keeps its lag; 0: it stands still). A prediction can be wrong;
// the server checks the floor itself. The classes send no messages and read no
// clock; all times are of the steady clock.
#ifndef AMARANTHSPUR_POLICY_REPLICAPROGRESS_H
#define AMARANTHSPUR_POLICY_REPLICAPROGRESS_H

#include "core/Clock.h"
#include "core/Enums.h"
#include "core/Random.h"
#include "core/Types.h"

#include <array>
#include <deque>
#include <optional>

namespace amaranthspur {

/// The known ends of the primary's log and the times at which they were known.
/// Memory is bounded: there is about one entry per MinSpacing, for MaxAge.
class LogTimeline {
public:
  /// Longer than the staleness bounds and the longest lag that was seen (14 s).
  static constexpr Duration MaxAge = std::chrono::seconds(30);
  static constexpr Duration MinSpacing = milliseconds(50);

  /// Records that the log of the primary ended at \p End at \p At. Ignored if a
  /// later end or a later time is known.
  void observe(LogPosition End, TimePoint At);

  /// Returns the latest time at which the primary's log was, by estimate, not
  /// longer than \p Position. \returns nothing if the log is not known to be
  /// longer.
  std::optional<TimePoint> coveredUntil(LogPosition Position) const;

  /// Returns the estimated time at which the primary's log reached \p Position,
  /// or nothing if it is not known to have reached it.
  std::optional<TimePoint> reachedAt(LogPosition Position) const;

  Term newestTerm() const {
    return this->Ends.empty() ? 0 : this->Ends.back().End.TermNumber;
  }

private:
  struct Entry {
    LogPosition End;
    TimePoint At;
  };

  /// Returns the time at which the log reached \p Position between two entries.
  static TimePoint between(const Entry &Before, const Entry &After,
                           LogPosition Position, TimePoint Otherwise);

  std::deque<Entry> Ends; ///< In the order of both times and positions.
};

/// What a read may expect of a replica.
enum class ReplicaReadiness {
  Ready,  ///< It holds the floor, as far as can be predicted.
  Probe,  ///< It probably lacks the floor, and one read should find out.
  Behind, ///< It probably lacks the floor and is not to be tried now.
};

template <> struct EnumNames<ReplicaReadiness> {
  static constexpr auto Entries =
      std::to_array<std::pair<ReplicaReadiness, std::string_view>>(
          {{ReplicaReadiness::Ready, "ready"},
           {ReplicaReadiness::Probe, "probe"},
           {ReplicaReadiness::Behind, "behind"}});
};

/// What is known about how far a replica has got in the log.
struct ReplicaPosition {
  LogPosition Position;
  TimePoint At{};      ///< When the replica was there.
  Duration ApplyLag{}; ///< Age of the oldest entry up to Position that it has
                       ///< received and not applied.
  /// Whether a read can see everything up to Position.
  bool isApplied() const { return this->ApplyLag == Duration::zero(); }
};

/// The progress of one server as a replica.
class ReplicaProgress {
public:
  /// Shortest and longest mean time between two reads that probe a replica
  /// which lacks the floor. The interval doubles with each probe that is
  /// refused. 31 entry VMs then probe a replica 15 times per second at most.
  static constexpr Duration ShortestProbeInterval = milliseconds(100);
  static constexpr Duration LongestProbeInterval = std::chrono::seconds(2);
  /// The speed is measured over at least this time. Replicas apply entries in
  /// groups, so that shorter differences are noise.
  static constexpr Duration SpeedInterval = milliseconds(250);
  /// A replica that is catching up is assumed not to be faster than this.
  static constexpr double MaxSpeed = 4;
  /// The floor must be older by this than what the replica is predicted to
  /// hold. The margin rises when a prediction was wrong, and the excess halves
  /// in MarginHalfLife. Lags of up to 900 ms at a mean of 150 ms are usual.
  static constexpr Duration BaseMargin = milliseconds(30);
  static constexpr Duration MarginHalfLife = std::chrono::seconds(2);
  /// A replica that refuses reads and is further behind than this is reported
  /// as set aside. It is above the longest usual lag of the deployments, 900
  /// ms.
  static constexpr Duration SetAsideLag = std::chrono::seconds(1);
  /// Age up to which a usual lag is taken as known, so that a read with a newer
  /// floor does not probe.
  static constexpr Duration UsualLagAge = milliseconds(500);

  /// Records how far the replica was at \p Seen.At. Ignored if something later
  /// is known. Call it after observeRefusal() for the same answer.
  void observePosition(const ReplicaPosition &Seen, const LogTimeline &Primary);
  /// Records that the replica refused a read with \p Floor that was sent at
  /// \p SentAt because it lacked the floor.
  void observeRefusal(LogPosition Floor, TimePoint SentAt, TimePoint Now,
                      const LogTimeline &Primary, Random &Rng);
  /// Records that the replica ran a read that was sent at \p SentAt.
  void observeSuccess(TimePoint SentAt);

  /// Returns whether a read with \p Floor should be sent to the replica.
  ReplicaReadiness readiness(LogPosition Floor, TimePoint Now,
                             const LogTimeline &Primary) const;
  /// Records that a read is sent to find out how far the replica is.
  void beginProbe(TimePoint Now, Random &Rng);
  /// Allows a probe at once, because the group has changed.
  void allowProbe();

  /// Returns the lag of the replica when it was last observed, or nothing if it
  /// is not known.
  std::optional<Duration> lag(const LogTimeline &Primary) const;
  /// Returns whether reads have been refused because the replica is far behind.
  bool isSetAside() const { return this->SetAside; }
  const std::optional<ReplicaPosition> &latest() const { return this->Latest; }

private:
  /// Returns the time up to which the replica held the primary's log when it
  /// was seen.
  static TimePoint heldUntil(const ReplicaPosition &Seen,
                             const LogTimeline &Primary);
  double speed(const LogTimeline &Primary) const;
  /// Returns the time up to which the replica holds the primary's log at
  /// \p Now, by prediction.
  TimePoint predicted(TimePoint Now, const LogTimeline &Primary) const;
  Duration margin(TimePoint Now) const;
  /// Returns the age up to which the last observation makes a probe needless.
  Duration knownFor(const LogTimeline &Primary) const;
  void scheduleProbe(TimePoint Now, Random &Rng);

  std::optional<ReplicaPosition> Latest;
  std::optional<ReplicaPosition> Recent;  ///< SpeedInterval before Latest, or
                                          ///< less.
  std::optional<ReplicaPosition> Earlier; ///< SpeedInterval before Recent.
  Duration ProbeInterval{}; ///< Zero if the last read was not refused.
  TimePoint NextProbe{};
  std::optional<TimePoint> ProbedAt; ///< Of the probe that has no result yet.
  TimePoint RefusedAt{};
  Duration ExtraMargin{}; ///< At MarginSetAt.
  TimePoint MarginSetAt{};
  bool ProbeWanted = false; ///< What was observed may be outdated.
  bool SetAside = false;
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_POLICY_REPLICAPROGRESS_H
