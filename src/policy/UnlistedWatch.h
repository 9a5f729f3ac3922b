// Decides when a member that is missing from the platform's list is pinged, and
// when it is removed.
#ifndef AMARANTHSPUR_POLICY_UNLISTEDWATCH_H
#define AMARANTHSPUR_POLICY_UNLISTEDWATCH_H

#include "core/Clock.h"
#include "core/Names.h"

#include <array>

namespace amaranthspur {

/// What to do about an unlisted member.
enum class UnlistedAction { Wait, Ping, Remove };

template <> struct EnumNames<UnlistedAction> {
  static constexpr auto Entries =
      std::to_array<std::pair<UnlistedAction, std::string_view>>(
          {{UnlistedAction::Wait, "wait"},
           {UnlistedAction::Ping, "ping"},
           {UnlistedAction::Remove, "give-up"}});
};

/// Checks one member. It is first pinged 10 s after it was missed in the list,
/// and is removed after three unanswered pings at intervals of 3 s. A member
/// that answers is assumed to be missing only because the list lags behind. It
/// is pinged again at intervals that double up to 5 minutes, because every
/// other member pings it as well.
class UnlistedWatch {
public:
  /// Reports that the member is not in the platform's list. Repeated calls have
  /// no effect.
  /// \param Spread additional delay, so that not all members ping at once.
  void onUnlisted(TimePoint Now, Duration Spread);

  /// Reports that the member is in the platform's list.
  void onListed() { *this = UnlistedWatch(); }

  /// Reports that a message from the member was received.
  void onHeard() { this->Unanswered = 0; }

  /// Returns the action that is due. A returned Ping is counted as sent.
  UnlistedAction nextAction(TimePoint Now);

private:
  bool Unlisted = false;
  bool PingSent = false; ///< A ping was sent since the last answered check.
  unsigned Unanswered = 0;
  TimePoint NextCheck{};
  Duration Interval{};
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_POLICY_UNLISTEDWATCH_H
