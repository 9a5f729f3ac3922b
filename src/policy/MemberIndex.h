// What a member knows of the others, and whom it can choose to talk to.
#ifndef AMARANTHSPUR_POLICY_MEMBERINDEX_H
#define AMARANTHSPUR_POLICY_MEMBERINDEX_H

#include "core/Clock.h"
#include "policy/Member.h"
#include "policy/UnlistedWatch.h"

#include <map>
#include <optional>
#include <vector>

namespace amaranthspur {

/// Returns whether the report \p New counts and \p Old does not: the higher
/// incarnation, or of equal ones the later in the order live, suspect, leaving,
/// dead.
bool overrides(const Member &New, const Member &Old);

/// What SwimMembership knows of another member.
struct MemberRecord {
  Member M;
  TimePoint DeadSince{};
  std::optional<TimePoint> SuspicionEnd;
  bool OwnSuspicion = false; ///< A probe of this member failed.
  UnlistedWatch Unlisted;
  bool ListedLeaving = false;
  /// Dropped because it is neither listed nor heard from. Not shown and not
  /// passed on, but remembered so that stale reports do not bring it back.
  bool Gone = false;

  /// Returns the member with what the platform's list says of it.
  Member shown() const {
    Member Shown = this->M;
    if (this->ListedLeaving && takesWork(Shown))
      Shown.State = MemberState::Leaving;
    return Shown;
  }
};

using MemberRecords = std::map<EntryVmId, MemberRecord>;

/// Members by what they can be asked for; valid until the records change.
struct MemberIndex {
  std::vector<const MemberRecord *> OwnCentre;                 ///< Not dead.
  std::vector<std::vector<const MemberRecord *>> OtherCentres; ///< Not dead.
  std::vector<const MemberRecord *> DeadOnes; ///< Of the own data centre.

  /// Makes the index anew. Linear in the records.
  void rebuild(const MemberRecords &Records, const DataCentre &Own);
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_POLICY_MEMBERINDEX_H
