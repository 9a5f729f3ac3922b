// Bounds how much of the log of a leaving server a takeover has to preserve.
//
// A commit is reported to a caller because of a server that the entry VM does
// not know to be leaving (policy/CommitHolders.h). Once every entry VM knows
// that a server is leaving, no further commit is reported because of it. So the
// end that its log, or the primary's, had at that time covers all commits for
// which it may be the only holder. What it has received later need not be in
// the log of the next primary.
//
// Gap: an entry VM that learns of the leaving later than NoticeTime after this
// one, for example because it has no connection to the store.
//
// The class sends no messages and reads no clock. Times are of the boot clock.
#ifndef AMARANTHSPUR_POLICY_LEAVINGLOGS_H
#define AMARANTHSPUR_POLICY_LEAVINGLOGS_H

#include "policy/AccessPlan.h"

#include <map>
#include <optional>
#include <vector>

namespace amaranthspur {

/// The leaving servers of one group.
class LeavingLogs {
public:
  /// Time after which every entry VM knows of a change of a registration that
  /// this one knows of: one whose long poll has gone silent notices after 5 s
  /// and then reads the table (PlatformDirectory::PollTimeout,
  /// TableReadTimeout).
  static constexpr Duration NoticeTime = milliseconds(6500);

  /// Sets the registered servers of the group. A server that has restarted is
  /// a new one.
  void setServers(const std::vector<RegisteredServer> &Listed, TimePoint Now);

  /// Records the end of the log of \p Id in the answer to a call that was sent
  /// at \p SentAt.
  void observeEnd(const ServerId &Id, LogPosition End, TimePoint SentAt);
  /// Records the same of the primary, which has all that its replicas have.
  void observePrimary(LogPosition End, TimePoint SentAt);

  /// Returns the end of the log of \p Id, as far as callers may have been told
  /// of commits because of that server; nothing if all of its log counts.
  std::optional<LogPosition> countedEnd(const ServerId &Id) const;

private:
  struct Server {
    std::int64_t StartedAtMs = 0;
    /// When the last entry VM learns that it does not count; nothing while it
    /// counts.
    std::optional<TimePoint> CountsUntil;
    std::optional<LogPosition> End; ///< First one that is known after that.
  };

  /// Records \p End if \p S does not count any more.
  static void bound(Server &S, LogPosition End, TimePoint SentAt);

  std::map<ServerId, Server> Servers;
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_POLICY_LEAVINGLOGS_H
