// The records that a member keeps of the others, and an index of the members
// that it can send messages to.
#ifndef AMARANTHSPUR_POLICY_MEMBERINDEX_H
#define AMARANTHSPUR_POLICY_MEMBERINDEX_H

#include "core/Clock.h"
#include "policy/Member.h"
#include "policy/UnlistedWatch.h"

#include <map>
#include <optional>
#include <vector>

namespace amaranthspur {

/// Returns whether the report \p New takes precedence over \p Old. It does if
/// its incarnation is higher, or if the incarnations are equal and its state is
/// later in the order live, suspect, leaving, dead.
bool overrides(const Member &New, const Member &Old);

/// The record that SwimMembership keeps of another member.
struct MemberRecord {
  Member M;
  /// When the member was declared dead or removed.
  TimePoint DeadSince{};
  /// When the suspect member will be declared dead. Only set for members of the
  /// own data centre.
  std::optional<TimePoint> SuspicionEnd;
  bool ProbeFailed = false; ///< A probe by this entry VM failed.
  UnlistedWatch Unlisted;
  /// The platform's list marks the member as leaving.
  bool ListedLeaving = false;
  /// The member was removed because it is neither listed nor answers pings. It
  /// is not in members() and not sent to others. The record is kept so that
  /// stale reports do not add the member again.
  bool Removed = false;

  /// Returns the member with the platform's leaving mark applied.
  Member effective() const {
    Member Effective = this->M;
    if (this->ListedLeaving && acceptsWork(Effective))
      Effective.State = MemberState::Leaving;
    return Effective;
  }
};

using MemberRecords = std::map<EntryVmId, MemberRecord>;

/// Members grouped by data centre and state. The pointers are valid until the
/// records change.
struct MemberIndex {
  /// Members of the own data centre that are not dead.
  std::vector<const MemberRecord *> OwnCentre;
  /// Members that are not dead, one vector for each other data centre.
  std::vector<std::vector<const MemberRecord *>> OtherCentres;
  /// Dead members of the own data centre.
  std::vector<const MemberRecord *> DeadInOwnCentre;

  /// Rebuilds the index. Takes time linear in the number of records.
  void rebuild(const MemberRecords &Records, const DataCentre &Own);
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_POLICY_MEMBERINDEX_H
