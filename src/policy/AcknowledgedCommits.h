// Detects that the log of a primary lacks a commit that this entry VM has
// reported to a caller.
//
// The numbers of a log are dense, and its terms never decrease. So one known
// position of a log tells which entries of earlier terms it can hold: an entry
// of a later term takes the number of each entry after it that the log lacks.
//
// The class sends no messages and reads no clock. Times are of the boot clock.
#ifndef AMARANTHSPUR_POLICY_ACKNOWLEDGEDCOMMITS_H
#define AMARANTHSPUR_POLICY_ACKNOWLEDGEDCOMMITS_H

#include "core/Clock.h"
#include "core/Names.h"
#include "core/Types.h"

#include <array>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <utility>

namespace amaranthspur {

/// From what this entry VM knows a position of a primary's log.
enum class PositionSource {
  Report, ///< A status report of the primary.
  Answer, ///< An answer to a statement.
  Relay,  ///< Evidence of the relay.
  Order,  ///< The report of a target whose promotion was ordered.
};

template <> struct EnumNames<PositionSource> {
  static constexpr auto Entries =
      std::to_array<std::pair<PositionSource, std::string_view>>(
          {{PositionSource::Report, "report"},
           {PositionSource::Answer, "answer"},
           {PositionSource::Relay, "relay"},
           {PositionSource::Order, "order"}});
};

/// A commit that was reported to a caller.
struct AcknowledgedCommit {
  LogPosition Position;
  ServerId Holder; ///< Its holder (policy/CommitHolders.h); may be empty.
  TimePoint At;    ///< When it was reported.
};

/// A position of the log of the primary of \p TermNumber.
struct PrimaryPosition {
  ServerId Primary;
  Term TermNumber = 0;
  LogPosition Position;
  PositionSource Source = PositionSource::Report;
};

/// A commit that the log of a primary lacks.
struct MissingCommit {
  PrimaryPosition Known;
  AcknowledgedCommit Commit;
};

/// Returns whether a log that ends at \p Position, or has an entry of a term
/// later than the one of \p Commit there, lacks \p Commit.
constexpr bool lacksCommit(LogPosition Position, LogPosition Commit) {
  return Position.TermNumber > Commit.TermNumber
             ? Position.Index <= Commit.Index
             : Position < Commit;
}

/// The newest commits that one entry VM has reported for a group, and the
/// primary of the latest term that it knows. Memory is bounded.
class AcknowledgedCommits {
public:
  /// The newest commits of this many terms are kept.
  static constexpr std::size_t MaxTerms = 4;

  /// Records a commit that is reported to a caller.
  /// \returns the commit if the log of the latest primary is known to lack it.
  std::optional<MissingCommit> recordCommit(const AcknowledgedCommit &Commit);

  /// Records a position of the log of a primary. A position of an earlier term
  /// than the one that the primary leads must be the end of its log.
  /// \returns a commit of an earlier term that the log lacks, at most once for
  /// each primary and term.
  std::optional<MissingCommit> observePrimary(const PrimaryPosition &Known);

  /// Compares the end of the log of a server whose promotion was ordered. The
  /// promotion may still have no effect, so commits that are recorded later are
  /// not compared.
  /// \returns a commit that the log lacks; the primary and its term are not
  /// returned by observePrimary() again.
  std::optional<MissingCommit> compareTarget(const PrimaryPosition &Known);

private:
  /// Returns \p Known with \p Commit unless its primary and term were returned
  /// before.
  std::optional<MissingCommit> report(const PrimaryPosition &Known,
                                      const AcknowledgedCommit &Commit);

  std::map<Term, AcknowledgedCommit> Newest; ///< By the commits' terms.
  std::optional<PrimaryPosition> Latest; ///< With the lowest known position.
  /// Primaries for which a commit was returned, of the newest MaxTerms terms.
  std::map<Term, std::set<ServerId>> Reported;
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_POLICY_ACKNOWLEDGEDCOMMITS_H
