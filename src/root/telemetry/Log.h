// Structured log lines, `event=<name> key=value ...`.
//
// A line is written for each decision that touches a statement and for each
// change of what the process believes. The volume is bounded (LineBudget.h),
// writing never blocks, and dropped lines are counted in a line of their own.
// The library behind it (log4cplus) stays in the source file.
#ifndef AMARANTHSPUR_ROOT_TELEMETRY_LOG_H
#define AMARANTHSPUR_ROOT_TELEMETRY_LOG_H

#include "core/Names.h"
#include "core/Result.h"

#include <array>
#include <concepts>
#include <initializer_list>
#include <string>
#include <string_view>

namespace amaranthspur {

/// How much attention a line asks for; a level includes those before it.
enum class LogLevel { Error, Warning, Info, Debug };

template <> struct EnumNames<LogLevel> {
  static constexpr auto Entries =
      std::to_array<std::pair<LogLevel, std::string_view>>(
          {{LogLevel::Error, "error"},
           {LogLevel::Warning, "warning"},
           {LogLevel::Info, "info"},
           {LogLevel::Debug, "debug"}});
};

/// What a line reports.
enum class LogEvent {
  AdoptionUndone,
  CallerRejected,
  ChildFailed,
  ChildRestarted,
  ConcurrencyChanged,
  ConfigurationAccepted,
  ConfigurationRejected,
  DetectionRestarted,
  DrainFinished,
  DrainStarted,
  EventLoopPaused,
  LinesDropped,
  MemberStateChanged,
  OwnershipAcquired,
  OwnershipLost,
  OwnershipRefused,
  PathReplaced,
  PathSilent,
  PeerRejected,
  PlanAccepted,
  PlanRejected,
  PlatformReachable,
  PlatformUnreachable,
  PrimaryChanged,
  PromotionFinished,
  PromotionOrdered,
  PromotionRefused,
  PromotionStarted,
  ReadinessChanged,
  Ready,
  RegistrationRejected,
  Reload,
  ServerReachable,
  ServerUnreachable,
  ServersChanged,
  SessionEnded,
  SessionRejected,
  SettingsRejected,
  Starting,
  StatementAnswered,
  StatementRefused,
  Stopped,
  Stopping,
};

template <> struct EnumNames<LogEvent> {
  static constexpr auto Entries =
      std::to_array<std::pair<LogEvent, std::string_view>>(
          {{LogEvent::AdoptionUndone, "adoption-undone"},
           {LogEvent::CallerRejected, "caller-rejected"},
           {LogEvent::ChildFailed, "child-failed"},
           {LogEvent::ChildRestarted, "child-restarted"},
           {LogEvent::ConcurrencyChanged, "concurrency-changed"},
           {LogEvent::ConfigurationAccepted, "configuration-accepted"},
           {LogEvent::ConfigurationRejected, "configuration-rejected"},
           {LogEvent::DetectionRestarted, "detection-restarted"},
           {LogEvent::DrainFinished, "drain-finished"},
           {LogEvent::DrainStarted, "drain-started"},
           {LogEvent::EventLoopPaused, "event-loop-paused"},
           {LogEvent::LinesDropped, "lines-dropped"},
           {LogEvent::MemberStateChanged, "member-state-changed"},
           {LogEvent::OwnershipAcquired, "ownership-acquired"},
           {LogEvent::OwnershipLost, "ownership-lost"},
           {LogEvent::OwnershipRefused, "ownership-refused"},
           {LogEvent::PathReplaced, "path-replaced"},
           {LogEvent::PathSilent, "path-silent"},
           {LogEvent::PeerRejected, "peer-rejected"},
           {LogEvent::PlanAccepted, "plan-accepted"},
           {LogEvent::PlanRejected, "plan-rejected"},
           {LogEvent::PlatformReachable, "platform-reachable"},
           {LogEvent::PlatformUnreachable, "platform-unreachable"},
           {LogEvent::PrimaryChanged, "primary-changed"},
           {LogEvent::PromotionFinished, "promotion-finished"},
           {LogEvent::PromotionOrdered, "promotion-ordered"},
           {LogEvent::PromotionRefused, "promotion-refused"},
           {LogEvent::PromotionStarted, "promotion-started"},
           {LogEvent::ReadinessChanged, "readiness-changed"},
           {LogEvent::Ready, "ready"},
           {LogEvent::RegistrationRejected, "registration-rejected"},
           {LogEvent::Reload, "reload"},
           {LogEvent::ServerReachable, "server-reachable"},
           {LogEvent::ServerUnreachable, "server-unreachable"},
           {LogEvent::ServersChanged, "servers-changed"},
           {LogEvent::SessionEnded, "session-ended"},
           {LogEvent::SessionRejected, "session-rejected"},
           {LogEvent::SettingsRejected, "settings-rejected"},
           {LogEvent::Starting, "starting"},
           {LogEvent::StatementAnswered, "statement-answered"},
           {LogEvent::StatementRefused, "statement-refused"},
           {LogEvent::Stopped, "stopped"},
           {LogEvent::Stopping, "stopping"}});
};

/// One `key=value` of a line.
struct LogField {
  std::string_view Key;
  std::string Value;

  LogField(std::string_view Key, std::string_view Value)
      : Key(Key), Value(Value) {}
  LogField(std::string_view Key, std::integral auto Value)
      : Key(Key), Value(std::to_string(Value)) {}
};

/// Returns the text of a line. A value with anything but letters, digits and
/// `._:/+-` is put in quotes; quotes, backslashes and control characters in it
/// are escaped, so that a stranger's name cannot forge a line.
std::string formatLogLine(LogEvent Event,
                          std::initializer_list<LogField> Fields);

/// Directs log lines to standard output. Without a call nothing is written.
/// \param Least level from which on lines are written.
/// \param Process identifier of this process; stands in every line.
void startLog(LogLevel Least, std::string_view Process);

/// Writes a line that a module without access to this one has formatted.
void logLine(LogLevel Level, const std::string &Line);

/// Writes one line. Costs a comparison if \p Level is not written, besides the
/// making of the fields.
void log(LogLevel Level, LogEvent Event,
         std::initializer_list<LogField> Fields = {});

} // namespace amaranthspur

#endif // AMARANTHSPUR_ROOT_TELEMETRY_LOG_H
