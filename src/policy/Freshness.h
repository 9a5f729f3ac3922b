// Determines which log position a read has to see so that it includes every
// commit that was acknowledged before a given time. The report of a server that
// may have been superseded as primary is not used.
//
// There are two kinds of observations. In a report, the primary of a term
// states the end of its log, in the answer to a request that was sent at a
// known time. A proof shows that the primary of a term had not been superseded
// at a known time. A report is usable once there is a proof for the same term
// and for a time not before the request: every commit acknowledged before the
// request was sent is then at or below the reported position.
//
// All times are of one clock that also runs during suspension
// (core/BootClock.h). Memory is bounded: reports are kept for MaxAge, and there
// is about one report per MinSpacing.
#ifndef AMARANTHSPUR_POLICY_FRESHNESS_H
#define AMARANTHSPUR_POLICY_FRESHNESS_H

#include "core/Clock.h"
#include "core/Types.h"
#include "policy/GroupEvidence.h"

#include <deque>
#include <optional>

namespace amaranthspur {

/// The reports and proofs of one group.
class Freshness {
public:
  /// Older reports are dropped. Longer than any staleness bound in use.
  static constexpr Duration MaxAge = std::chrono::seconds(30);
  /// Of reports closer together than this, only the latest one is kept.
  static constexpr Duration MinSpacing = milliseconds(50);

  /// Records that the primary of \p T reported \p Position in the answer to a
  /// request sent at \p SentAt. A report of an earlier request than the newest
  /// one is kept only if it is usable at once: it then narrows the floor.
  void observeReport(Term T, LogPosition Position, TimePoint SentAt);

  /// Records that the primary of \p T had not been superseded at \p At.
  void observeProof(Term T, TimePoint At);

  /// Returns whether it is proved that the primary of \p T had not been
  /// superseded at \p Since.
  bool provedSince(Term T, TimePoint Since) const;

  /// Returns the lowest known position that covers every commit acknowledged
  /// before \p Since, or nothing if no usable report is that recent. Takes time
  /// linear in the number of reports.
  std::optional<LogPosition> floorAsOf(TimePoint Since) const;

  /// Returns the time of the newest usable report.
  std::optional<TimePoint> newestUsable() const;

  /// Copies the newest usable report and the latest proof to \p Into.
  void share(GroupEvidence &Into) const;

  /// Returns the time of the newest report, usable or not.
  std::optional<TimePoint> newestReport() const;

private:
  /// Inserts a usable report that is older than the newest one.
  void insertOlder(Term T, LogPosition Position, TimePoint SentAt);

  struct Report {
    Term TermNumber = 0;
    LogPosition Position;
    TimePoint SentAt;
    bool Usable = false; ///< There is a proof for its term and time.
  };

  std::deque<Report> Reports; ///< In the order of SentAt.
  Term ProvedTerm = 0;        ///< Highest term with a proof.
  TimePoint ProvedAt{};       ///< Time of the latest proof of ProvedTerm.
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_POLICY_FRESHNESS_H
