// Warns of a primary whose log lacks a commit that this entry VM has reported
// to a caller.
#ifndef AMARANTHSPUR_ROOT_GROUPS_MISSINGCOMMITALARM_H
#define AMARANTHSPUR_ROOT_GROUPS_MISSINGCOMMITALARM_H

#include "policy/AcknowledgedCommits.h"
#include "policy/GroupBeliefs.h"
#include "policy/GroupEvidence.h"
#include "root/telemetry/Metrics.h"

namespace amaranthspur {

/// The alarm of one group. Each function logs and counts what it detects.
class MissingCommitAlarm {
public:
  /// \param Counters must outlive the object; null if nothing is counted.
  MissingCommitAlarm(ServiceName Service, Metrics *Counters)
      : Service(std::move(Service)), Counters(Counters) {}

  /// Records that \p Commit is reported to a caller.
  /// \param Holder the server that holds it for every takeover; may be empty.
  void recordCommit(LogPosition Commit, const ServerId &Holder);
  /// Records a status report of \p Id.
  void observeReport(const ServerId &Id, const ServerReport &Report);
  /// Records that \p Leader has answered with \p Position. The answer may be
  /// older than its term.
  void observeAnswer(const BelievedPrimary &Leader, LogPosition Position);
  /// Records evidence of the relay.
  void observeEvidence(const GroupEvidence &Known);
  /// Records that the promotion of \p Target, whose log ends at \p End, to
  /// \p Leading has been ordered.
  void observeOrder(const ServerId &Target, Term Leading, LogPosition End);

private:
  void warn(const std::optional<MissingCommit> &Missing);

  ServiceName Service;
  Metrics *Counters;
  AcknowledgedCommits Commits;
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_ROOT_GROUPS_MISSINGCOMMITALARM_H
