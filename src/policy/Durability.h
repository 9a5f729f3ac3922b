// Whether a log position survives every failover.
//
// A position is confirmed when a majority of the group is known to hold it in
// its own term. The rule about the term matters: a position of an older term
// that a majority holds can still be truncated by the primary of a later term,
// so only the log of the current term counts.
#ifndef AMARANTHSPUR_POLICY_DURABILITY_H
#define AMARANTHSPUR_POLICY_DURABILITY_H

#include "policy/GroupView.h"

#include <map>
#include <memory>
#include <vector>

namespace amaranthspur {

/// A majority has to have answered within this time for writes to be accepted.
inline constexpr Duration MajorityAnswerLimit = milliseconds(500);

/// Returns the size of a majority of \p Servers servers.
constexpr std::size_t majorityOf(std::size_t Servers) {
  return Servers / 2 + 1;
}

/// Decides which positions of one group are durable.
class Durability {
public:
  virtual ~Durability() = default;

  /// Sets the servers of the group. Confirmed positions stay.
  virtual void configure(const std::vector<ServerId> &Servers) = 0;

  /// Takes in a status of \p Server.
  /// \param SentAt when the question was sent: what the status says held at
  /// some moment between SentAt and \p Now.
  virtual void observe(const ServerId &Server, const ServerStatus &Status,
                       TimePoint SentAt, TimePoint Now) = 0;

  /// Returns the highest confirmed position; it never goes back.
  virtual LogPosition confirmed() const = 0;

  /// Returns whether \p Position is confirmed. Positions of a term that has
  /// ended are not, unless they were confirmed before it ended.
  virtual bool isConfirmed(LogPosition Position) const = 0;

  /// Returns whether no further position of \p T can be confirmed.
  virtual bool termEnded(Term T) const = 0;

  /// Returns whether a write that is sent now can be expected to be confirmed.
  virtual bool acceptsWrites(TimePoint Now) const = 0;
};

/// Confirms what a majority holds. Linear in the servers per observation.
std::unique_ptr<Durability> makeMajorityDurability();

/// The naive durability: what the primary has committed counts as confirmed.
std::unique_ptr<Durability> makeImmediateDurability();

} // namespace amaranthspur

#endif // AMARANTHSPUR_POLICY_DURABILITY_H
