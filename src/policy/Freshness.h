// What is known of a group's log, and since when, without trusting any server.
//
// Two kinds of observations come in. The primary of a term reports the end of
// its log in the answer to a request that was sent at some time. A proof shows
// that the primary of a term had not been superseded at some time. A report is
// usable once a proof for its term and a time not before the report is there:
// every commit acknowledged before the request was sent is then at or below the
// reported position.
//
// Times are of one clock that counts suspension (core/BootClock.h). Bounded:
// reports are kept for MaxAge and thinned to one per MinSpacing.
#ifndef AMARANTHSPUR_POLICY_FRESHNESS_H
#define AMARANTHSPUR_POLICY_FRESHNESS_H

#include "core/Clock.h"
#include "core/Types.h"

#include <deque>
#include <optional>

namespace amaranthspur {

/// Reports and proofs of one group.
class Freshness {
public:
  /// Reports older than this are dropped; longer than any staleness in use.
  static constexpr Duration MaxAge = std::chrono::seconds(30);
  /// Reports closer together than this are merged into the later one.
  static constexpr Duration MinSpacing = milliseconds(50);

  /// The primary of \p T reported \p Position to a request sent at \p SentAt.
  void observeReport(Term T, LogPosition Position, TimePoint SentAt);

  /// The primary of \p T had not been superseded at \p At.
  void observeProof(Term T, TimePoint At);

  /// Returns whether the primary of \p T is proved not to have been superseded
  /// at \p Since.
  bool provedSince(Term T, TimePoint Since) const;

  /// Returns a position that covers every commit acknowledged before \p Since,
  /// as low as is known; nothing if no usable report is that recent. Linear in
  /// the reports kept.
  std::optional<LogPosition> floorAsOf(TimePoint Since) const;

  /// Returns the time of the newest usable report.
  std::optional<TimePoint> newestUsable() const;

  /// Returns the time of the newest report, usable or not.
  std::optional<TimePoint> newestReport() const;

private:
  struct Report {
    Term TermNumber = 0;
    LogPosition Position;
    TimePoint SentAt;
    bool Usable = false; ///< A proof for its term and time was seen.
  };

  std::deque<Report> Reports; ///< By time.
  Term ProvedTerm = 0;        ///< Highest term with a proof.
  TimePoint ProvedAt{};       ///< Latest proof of that term.
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_POLICY_FRESHNESS_H
