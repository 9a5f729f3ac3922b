// Decides whether the primary of a term T is proved not to have been superseded
// at a time t, from what was requested at t or later. Superseded means that a
// promotion to a later term has taken effect.
//
// A single replica proves nothing. It holds the next term from its adoption
// until a resume, a restart or the promotion itself; one that has received
// nothing since the promotion reports the old term again. Two things are
// proofs:
//
//  1. Every server of the group other than the primary has reported, as a
//     replica, a term and an adopted term of at most T. If a promotion had
//     taken effect before t, the promoted server would be one of them, and it
//     reports the later term from the effect on. If it has left or restarted
//     since, another server of the group has received each commit that it has
//     acknowledged with synchronous replication, and reports the later term. A
//     server that has adopted a later term takes part in a takeover and does
//     not count.
//  2. The claim row, read at t or later, is `finished F` with F at most T
//     (policy/ClaimRow.h). No promotion to a term later than F has taken effect
//     before the row was read.
//
// A third one, an acknowledged commit with synchronous replication and a holder
// that every takeover asks (policy/CommitHolders.h), is recorded by the group
// (Group::observeCommit): the holder received it after it was sent, and it
// receives nothing from a superseded primary (policy/TakeoverProcedure.h, with
// the same gap for a primary that the holder of the claim could not reach). A
// report of a later term shows that the primary has been superseded, and no
// proof is given.
//
// The first proof relies on a list of servers that has the promoted server. It
// can be wrong if all other servers receive nothing, and this entry VM has not
// heard of a server that has registered and been promoted since.
//
// TakeoverExplorerTest searches the orders of reports, claims, promotions and
// commits for a proof of a primary that lacks an acknowledged commit.
//
// The class sends no messages and reads no clock.
#ifndef AMARANTHSPUR_POLICY_LEADERSHIPPROOF_H
#define AMARANTHSPUR_POLICY_LEADERSHIPPROOF_H

#include "policy/ClaimRow.h"
#include "policy/GroupBeliefs.h"

#include <set>
#include <vector>

namespace amaranthspur {

/// What is known of the primary so far.
enum class ProofState {
  Open,       ///< Servers have not answered yet.
  NeedsClaim, ///< The servers alone give no proof.
  Proved,     ///< The primary had not been superseded.
  Superseded, ///< A server has reported a later term.
};

template <> struct EnumNames<ProofState> {
  static constexpr auto Entries =
      std::to_array<std::pair<ProofState, std::string_view>>(
          {{ProofState::Open, "open"},
           {ProofState::NeedsClaim, "needs-claim"},
           {ProofState::Proved, "proved"},
           {ProofState::Superseded, "superseded"}});
};

/// The evidence for one primary and one time.
class LeadershipProof {
public:
  /// \param T the term of the primary; not 0.
  /// \param Since the time to prove. Everything that is recorded must have been
  /// requested at this time or later.
  LeadershipProof(Term T, TimePoint Since) : TermNumber(T), Since(Since) {}

  Term term() const { return this->TermNumber; }
  TimePoint since() const { return this->Since; }

  /// Records the status report of \p Id, a server other than the primary.
  void recordReport(const ServerId &Id, const ServerReport &Report);
  /// Records that no report of \p Id is to be waited for.
  void recordSilence(const ServerId &Id);
  /// Records the claim row.
  void recordClaim(const ClaimRow &Row);

  /// \param Others the servers of the group that are registered now, without
  /// the primary. Takes time O(n log n) in their number.
  ProofState state(const std::vector<ServerId> &Others) const;

private:
  Term TermNumber;
  TimePoint Since;
  std::set<ServerId> Following; ///< Reported to be replicas of the term.
  std::set<ServerId> Unhelpful; ///< Silent, or gave another report.
  bool ClaimProves = false;
  bool LaterTerm = false;
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_POLICY_LEADERSHIPPROOF_H
