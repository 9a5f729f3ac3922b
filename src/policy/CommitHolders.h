// Decides which commits are held by a server that every takeover asks.
//
// With synchronous replication, the primary acknowledges a commit when any
// server has received it. That server may be unknown to a takeover: it has
// joined and its registration is late, or came after the holder of the claim
// read the registrations. A takeover of a primary that does not answer then
// promotes a log that lacks the commit (issue 37). An entry VM therefore passes
// an acknowledgement on only when a server is known to hold the commit that
// each takeover has to ask:
//
//  - It is registered, and it is not the primary that acknowledged the commit
//    or a server that has led the same term. A primary that crashed may have
//    come back under another id. The takeover does not count the log of the
//    primary that it replaces if that has stepped down.
//  - It is not leaving. The log of a leaving server may end with it before it
//    has adopted a term. Where all other servers are leaving, one counts.
//  - It is established: the primary of the commit's term or an earlier one was
//    proved not to have been superseded (policy/LeadershipProof.h) at a time at
//    which the server was registered. No takeover that had read the
//    registrations before was under way then, since the servers that it had
//    found would have held its term, or the claim row would have shown it.
//    Takeovers that begin later read the registration. A proof for a later term
//    says nothing: the promotion to that term may have missed the server.
//  - It reported, as a replica, an end of its log at or after the commit, in
//    the term of the commit. The entries of one term come from one log.
//
// The server received the commit before it adopted a later term, and reports it
// to every takeover that makes it adopt one. So the target's log reaches it.
//
// Gaps:
//  - The server leaves or restarts, and the primary falls silent before it has
//    reported the end of its log again; its registration expires while it runs;
//    it restarts under its id, and this entry VM has not heard of it.
//  - A takeover whose old primary has stepped down need not wait for all
//    adoptions. The old primary restarts and leads again with a server that has
//    not adopted the term.
//  - A promotion ends the adoptions. A replica that has not heard of it may
//    receive from an old primary that the holder of the claim did not reach.
//  - An order takes effect after another takeover has begun.
//
// The class sends no messages and reads no clock. Times are of the boot clock.
#ifndef AMARANTHSPUR_POLICY_COMMITHOLDERS_H
#define AMARANTHSPUR_POLICY_COMMITHOLDERS_H

#include "policy/AccessPlan.h"
#include "policy/GroupBeliefs.h"

#include <map>
#include <optional>
#include <vector>

namespace amaranthspur {

/// The servers of one group and what their logs are known to hold.
class CommitHolders {
public:
  /// Sets the registered servers of the group. A server that has restarted is
  /// a new one.
  void setServers(const std::vector<RegisteredServer> &Servers, TimePoint Now);

  /// Records a status report of \p Id.
  void observeReport(const ServerId &Id, const ServerReport &Report);
  /// Records that \p Id, a replica, answered with the position \p End.
  void observeReplica(const ServerId &Id, LogPosition End);
  /// Records that the primary of \p T had not been superseded at \p At.
  void observeProof(Term T, TimePoint At);

  /// Returns the server that holds \p Commit for every takeover, or nothing if
  /// none is known to. Takes time linear in the number of servers.
  /// \param Primary the server that acknowledged the commit.
  std::optional<ServerId> holderOf(LogPosition Commit,
                                   const ServerId &Primary) const;

  /// Returns whether a server that counts may receive a commit of \p Primary,
  /// as far as is known. If not, all of them hold a later term than \p T, or
  /// none is established: a takeover is under way or has just ended, and a
  /// write could not be reported as a success. \param T the term of \p Primary;
  /// 0 if it is not known.
  bool mayBeHeld(const ServerId &Primary, Term T) const;
  /// Returns the servers that may count if they become established or receive
  /// again, for a commit of \p T or, if that is 0, of a term not known.
  std::vector<ServerId> candidates(const ServerId &Primary, Term T) const;

  /// Returns the time for which a proof of leadership is needed before a server
  /// that has reported \p Commit counts, or nothing if there is no such server.
  std::optional<TimePoint> proofNeeded(LogPosition Commit,
                                       const ServerId &Primary) const;

private:
  struct Holder {
    std::int64_t StartedAtMs = 0;
    TimePoint RegisteredSince; ///< When this entry VM first knew of it.
    bool Draining = false;
    /// Lowest term for which it is established; 0 if it is for none.
    Term EstablishedTerm = 0;
    std::optional<ServerRole> RegisteredRole;
    /// It has registered as a primary and not reported the term since.
    bool LedUnknownTerm = false;
    Term FollowedTerm = 0; ///< As it reported last.
    Term AdoptedTerm = 0;  ///< As it reported last.
    Term LedTerm = 0;      ///< Highest term that it is known to have led.
    LogPosition End; ///< Highest position that it has reported as a replica.
  };

  /// A server that may count as a holder.
  struct Counted {
    const ServerId *Id;
    const Holder *Server;
  };

  /// Returns the servers that count with commits of \p T if they hold them.
  std::vector<Counted> countedServers(const ServerId &Primary, Term T) const;
  /// Returns whether every server but \p Primary is leaving.
  bool allOthersLeave(const ServerId &Primary) const;
  /// Returns whether \p H is established for commits of \p T.
  static bool isEstablished(const Holder &H, Term T) {
    return H.EstablishedTerm != 0 && H.EstablishedTerm <= T;
  }
  /// Returns whether \p H has reported \p Commit.
  static bool holds(const Holder &H, LogPosition Commit) {
    return H.End.TermNumber == Commit.TermNumber && H.End >= Commit;
  }

  std::map<ServerId, Holder> Servers;
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_POLICY_COMMITHOLDERS_H
