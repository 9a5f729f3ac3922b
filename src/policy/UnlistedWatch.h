// When a member that the platform's list does not have is checked, and when it
// is given up.
#ifndef AMARANTHSPUR_POLICY_UNLISTEDWATCH_H
#define AMARANTHSPUR_POLICY_UNLISTEDWATCH_H

#include "core/Clock.h"
#include "core/Names.h"

#include <array>

namespace amaranthspur {

enum class UnlistedStep { Wait, Ping, GiveUp };

template <> struct EnumNames<UnlistedStep> {
  static constexpr auto Entries =
      std::to_array<std::pair<UnlistedStep, std::string_view>>(
          {{UnlistedStep::Wait, "wait"},
           {UnlistedStep::Ping, "ping"},
           {UnlistedStep::GiveUp, "give-up"}});
};

/// Watches one member. After 10 s it is pinged; three pings, 3 s apart, without
/// an answer mean that it is gone. One that answers is new to the list, which
/// lags, and is asked ever less often, up to every 5 minutes: every member
/// asks.
class UnlistedWatch {
public:
  /// The list does not have the member. Does nothing if that was known.
  /// \param Spread additional delay, so that not all members ask at once.
  void onUnlisted(TimePoint Now, Duration Spread);

  /// The list has the member.
  void onListed() { *this = UnlistedWatch(); }

  /// A message of the member has come.
  void onHeard() { this->Unanswered = 0; }

  /// Returns what is due; Ping counts as sent.
  UnlistedStep step(TimePoint Now);

private:
  bool Unlisted = false;
  bool Asked = false; ///< Since it was last found to answer.
  unsigned Unanswered = 0;
  TimePoint NextCheck{};
  Duration Interval{};
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_POLICY_UNLISTEDWATCH_H
