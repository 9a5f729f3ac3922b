// The settings of a caller's session and of a single statement.
#ifndef AMARANTHSPUR_POLICY_SESSIONSETTINGS_H
#define AMARANTHSPUR_POLICY_SESSIONSETTINGS_H

#include "core/Clock.h"
#include "core/Enums.h"
#include "core/Result.h"
#include "policy/Configuration.h"
#include "policy/StatementTraits.h"

#include <optional>
#include <string>
#include <string_view>

namespace amaranthspur {

/// The settings that a caller can give, by start-up parameter, SET, or leading
/// comment; the name on the wire has the prefix `amaranthspur.`.
enum class SessionSetting {
  Session,
  Class,
  MaxStalenessMs,
  Repeatable,
  DeadlineMs,
  Access,
};

template <> struct EnumNames<SessionSetting> {
  static constexpr auto Entries =
      std::to_array<std::pair<SessionSetting, std::string_view>>(
          {{SessionSetting::Session, "session"},
           {SessionSetting::Class, "class"},
           {SessionSetting::MaxStalenessMs, "max_staleness_ms"},
           {SessionSetting::Repeatable, "repeatable"},
           {SessionSetting::DeadlineMs, "deadline_ms"},
           {SessionSetting::Access, "access"}});
};

/// Longest deadline and tolerance that a caller can ask for.
inline constexpr Duration MaxSettableTime = std::chrono::hours(24);

/// What a caller has set; an empty field falls back to the class of work.
struct SessionSettings {
  std::optional<std::string> Token; ///< Unparsed; checked by the session.
  std::optional<ClassName> Class;
  std::optional<Duration> MaxStaleness;
  std::optional<Repeatable> Mark;
  std::optional<Duration> Deadline;
  std::optional<Access> Wants;

  /// Sets one setting. \p Value is untrusted.
  /// \returns an error that names the setting, the value and what is allowed.
  Result<Success> apply(std::string_view Name, std::string_view Value);

  /// Returns the text of a setting, for SHOW; empty if it is not set.
  Result<std::string> show(std::string_view Name) const;
};

/// Reads the settings out of the start-up parameter `options`, in which client
/// libraries pass them: `-c amaranthspur.class=check`, also `--name=value`,
/// with a backslash before a space that belongs to a value. \returns an error
/// for anything else: a setting that is not understood must not be lost in
/// silence.
Result<std::vector<SettingAssignment>>
settingsFromOptions(std::string_view Options);

/// What holds for one statement, with all fall-backs taken.
struct EffectiveSettings {
  ClassName Class;
  Duration MaxStaleness{};
  Repeatable Mark = Repeatable::Off;
  Duration Deadline{};
  Access Wants = Access::Write;
};

/// Works out what holds for a statement.
/// \param Session what the session has set, with the statement's own settings
/// applied on top.
/// \param Traits of the statement.
/// \param InTransaction then access cannot be changed and is a write.
/// \returns an error if the class does not exist in \p Service.
Result<EffectiveSettings> resolveSettings(const SessionSettings &Session,
                                          const StatementTraits &Traits,
                                          const ServiceConfig &Service,
                                          const CallerConfig &Caller,
                                          bool InTransaction);

} // namespace amaranthspur

#endif // AMARANTHSPUR_POLICY_SESSIONSETTINGS_H
