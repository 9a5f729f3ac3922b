// Computes upper bounds for the age of a server's state.
//
// The state of a replica that holds every entry that the primary held at time M
// is at most Now - M old. The replica holds these entries if its log position
// is at or past the position that the primary reported in the answer to a
// request sent at M.
//
// The primary's report is valid only up to the time at which a majority was
// last seen not to have adopted a later term. After that time, the primary of a
// later term may have accepted writes. The ages of servers that are partitioned
// together with an old primary therefore grow.
#ifndef AMARANTHSPUR_POLICY_STALENESS_H
#define AMARANTHSPUR_POLICY_STALENESS_H

#include "policy/GroupView.h"

#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace amaranthspur {

/// Bounds the ages of the servers of one group. Stores at most MaxSamples
/// samples; age() takes logarithmic time in their number.
class Staleness {
public:
  /// Sets the servers of the group.
  void configure(const std::vector<ServerId> &Servers);

  /// Records a status of \p Server whose request was sent at \p SentAt.
  void observe(const ServerId &Server, const ServerStatus &Status,
               TimePoint SentAt);

  /// Returns an upper bound for the age of \p Server's state, or nothing if no
  /// bound is known.
  std::optional<Duration> age(const ServerId &Server, TimePoint Now) const;

  /// A sample closer than this to the previous one is dropped, which increases
  /// the computed ages by at most this time.
  static constexpr Duration SampleDistance = milliseconds(10);
  /// Together with SampleDistance, enough for replicas that are 10 s behind.
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
  std::deque<Sample> Samples; ///< Of the primary; ascending in both fields.
  Term CurrentTerm = 0;       ///< Term of Samples.
  /// Time at which a majority was last known not to have adopted a term above
  /// CurrentTerm.
  std::optional<TimePoint> MajorityAt;
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_POLICY_STALENESS_H
