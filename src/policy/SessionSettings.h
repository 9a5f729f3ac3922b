// The settings that a caller gives for its session or for a single statement.
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

/// The settings that a caller can give as a start-up parameter, with SET, or in
/// a comment before a statement. On the wire, the names have the prefix
/// `amaranthspur.`.
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

/// Upper bound of the deadline and of the staleness that a caller can set.
inline constexpr Duration MaxSettableTime = std::chrono::hours(24);

/// The settings of one caller. An empty field falls back to the value of the
/// class of work.
struct SessionSettings {
  std::optional<std::string> Token; ///< Session token; parsed and checked by
                                    ///< the session.
  std::optional<ClassName> Class;
  std::optional<Duration> MaxStaleness;
  std::optional<Repeatable> Repeatability;
  std::optional<Duration> Deadline;
  std::optional<Access> RequestedAccess;

  /// Assigns \p Value, which is untrusted, to the setting \p Name (without the
  /// prefix).
  /// \returns an error that names the setting, the value and the allowed values
  /// if the assignment is invalid.
  Result<Success> apply(std::string_view Name, std::string_view Value);

  /// Returns the value of a setting as text, for SHOW. The text is empty if the
  /// setting has not been assigned.
  /// \returns an error if no setting has the name \p Name.
  Result<std::string> show(std::string_view Name) const;
};

/// Parses the settings in the start-up parameter `options`, in which client
/// libraries pass them. The forms are `-c amaranthspur.class=check` and
/// `--amaranthspur.class=check`; a backslash escapes a space within a value.
///
/// \returns an error for anything else, because an unknown option must not be
/// ignored silently.
Result<std::vector<SettingAssignment>>
settingsFromOptions(std::string_view Options);

/// The settings that apply to one statement, after all defaults have been
/// filled in.
struct EffectiveSettings {
  ClassName Class;
  Duration MaxStaleness{};
  Repeatable Repeatability = Repeatable::Off;
  Duration Deadline{};
  Access RequestedAccess = Access::Write;
};

/// Determines the settings that apply to a statement.
/// \param Session the settings of the session, overridden by those of the
/// statement.
/// \param Traits the traits of the statement, which provide the default access.
/// \param InTransaction whether the statement belongs to an open transaction.
/// The access of such a statement is always a write.
/// \returns an error if the class does not exist in \p Service.
Result<EffectiveSettings> resolveSettings(const SessionSettings &Session,
                                          const StatementTraits &Traits,
                                          const ServiceConfig &Service,
                                          const CallerConfig &Caller,
                                          bool InTransaction);

} // namespace amaranthspur

#endif // AMARANTHSPUR_POLICY_SESSIONSETTINGS_H
