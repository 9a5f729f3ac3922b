// Upper bounds for the age of a server's state.
//
// A replica that holds every entry which the primary held at moment M is at
// most Now - M old. M is known when the replica's position is at or past one
// that the primary reported to a question sent at M.
//
// The primary's report is trusted up to the moment at which a majority was last
// seen in its term: after that, a later primary may have accepted writes. The
// ages of servers that are cut off together with an old primary therefore grow.
#ifndef AMARANTHSPUR_POLICY_STALENESS_H
#define AMARANTHSPUR_POLICY_STALENESS_H

#include "policy/GroupView.h"

#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace amaranthspur {

/// Bounds the ages of one group's servers. Memory: at most MaxSamples entries
/// per group; age() is logarithmic in them.
class Staleness {
public:
  /// Sets the servers of the group.
  void configure(const std::vector<ServerId> &Servers);

  /// Takes in a status of \p Server whose question was sent at \p SentAt.
  void observe(const ServerId &Server, const ServerStatus &Status,
               TimePoint SentAt);

  /// Returns an upper bound of the age of \p Server's state, or nothing if none
  /// is known.
  std::optional<Duration> age(const ServerId &Server, TimePoint Now) const;

  /// Samples closer together than this are dropped, which makes ages at most
  /// this much higher.
  static constexpr Duration SampleDistance = milliseconds(10);
  /// With SampleDistance, enough for replicas that are 10 s behind.
  static constexpr std::size_t MaxSamples = 1024;

private:
  struct Sample {
    LogPosition Held;
    TimePoint SentAt;
  };
  struct Observation {
    ServerStatus Status;
    TimePoint SentAt;
  };

  void addSample(LogPosition Held, TimePoint SentAt);
  void updateMajority();

  std::vector<ServerId> Servers;
  std::map<ServerId, Observation> Latest;
  std::deque<Sample> Samples; ///< Of the primary, ascending in both fields.
  Term Current = 0;           ///< Term of Samples.
  /// When a majority was last seen in Current.
  std::optional<TimePoint> MajorityAt;
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_POLICY_STALENESS_H
