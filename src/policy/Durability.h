// Decides whether a log position survives every failover.
//
// A position is confirmed when a majority of the group is known to hold it
// while its term is the current one. The restriction to the current term is
// required: the primary of a later term can still truncate a position of an
// older term, even if a majority holds it.
#ifndef AMARANTHSPUR_POLICY_DURABILITY_H
#define AMARANTHSPUR_POLICY_DURABILITY_H

#include "policy/GroupView.h"

#include <map>
#include <memory>
#include <vector>

namespace amaranthspur {

/// Writes are accepted only if a majority has answered within this time.
inline constexpr Duration MajorityAnswerLimit = milliseconds(500);

/// Returns the size of a majority of \p Servers servers.
constexpr std::size_t majorityOf(std::size_t Servers) {
  return Servers / 2 + 1;
}

/// Decides which log positions of one group are durable.
class Durability {
public:
  virtual ~Durability() = default;

  /// Sets the servers of the group. Confirmed positions stay.
  virtual void configure(const std::vector<ServerId> &Servers) = 0;

  /// Records a status of \p Server.
  /// \param SentAt when the status request was sent. The status was valid at
  /// some time between SentAt and \p Now.
  virtual void observe(const ServerId &Server, const ServerStatus &Status,
                       TimePoint SentAt, TimePoint Now) = 0;

  /// Returns the highest confirmed position, which never decreases.
  virtual LogPosition confirmed() const = 0;

  /// Returns whether \p Position is confirmed. A position of an earlier term
  /// than that of confirmed() counts as not confirmed.
  virtual bool isConfirmed(LogPosition Position) const = 0;

  /// Returns whether no further position of \p T can be confirmed.
  virtual bool termEnded(Term T) const = 0;

  /// Returns whether a write that is sent now is expected to be confirmed.
  virtual bool acceptsWrites(TimePoint Now) const = 0;
};

/// Creates a durability that confirms the positions held by a majority. Each
/// observation takes O(n log n) time in the number of servers.
std::unique_ptr<Durability> makeMajorityDurability();

/// Creates the naive durability, the baseline of comparisons: every position
/// that the primary has committed counts as confirmed.
std::unique_ptr<Durability> makeImmediateDurability();

} // namespace amaranthspur

#endif // AMARANTHSPUR_POLICY_DURABILITY_H
