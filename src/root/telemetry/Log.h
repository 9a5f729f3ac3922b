// Structured log lines, `event=<name> key=value ...`.
//
// Counters come first; a line is written only when a state changes, never for
// each statement. The library behind it (log4cplus) stays in the source file.
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
  MemberStateChanged,
  OwnershipAcquired,
  OwnershipLost,
  OwnershipRefused,
  PathReplaced,
  PathSilent,
  PeerRejected,
  PlatformReachable,
  PlatformUnreachable,
  PrimaryChanged,
  PromotionFinished,
  PromotionRefused,
  PromotionStarted,
  Ready,
  ServerReachable,
  ServerUnreachable,
  SettingsRejected,
  Starting,
  Stopped,
  Stopping,
};

template <> struct EnumNames<LogEvent> {
  static constexpr auto Entries =
      std::to_array<std::pair<LogEvent, std::string_view>>(
          {{LogEvent::CallerRejected, "caller-rejected"},
           {LogEvent::ChildFailed, "child-failed"},
           {LogEvent::ChildRestarted, "child-restarted"},
           {LogEvent::ConcurrencyChanged, "concurrency-changed"},
           {LogEvent::ConfigurationAccepted, "configuration-accepted"},
           {LogEvent::ConfigurationRejected, "configuration-rejected"},
           {LogEvent::DetectionRestarted, "detection-restarted"},
           {LogEvent::DrainFinished, "drain-finished"},
           {LogEvent::DrainStarted, "drain-started"},
           {LogEvent::EventLoopPaused, "event-loop-paused"},
           {LogEvent::MemberStateChanged, "member-state-changed"},
           {LogEvent::OwnershipAcquired, "ownership-acquired"},
           {LogEvent::OwnershipLost, "ownership-lost"},
           {LogEvent::OwnershipRefused, "ownership-refused"},
           {LogEvent::PathReplaced, "path-replaced"},
           {LogEvent::PathSilent, "path-silent"},
           {LogEvent::PeerRejected, "peer-rejected"},
           {LogEvent::PlatformReachable, "platform-reachable"},
           {LogEvent::PlatformUnreachable, "platform-unreachable"},
           {LogEvent::PrimaryChanged, "primary-changed"},
           {LogEvent::PromotionFinished, "promotion-finished"},
           {LogEvent::PromotionRefused, "promotion-refused"},
           {LogEvent::PromotionStarted, "promotion-started"},
           {LogEvent::Ready, "ready"},
           {LogEvent::ServerReachable, "server-reachable"},
           {LogEvent::ServerUnreachable, "server-unreachable"},
           {LogEvent::SettingsRejected, "settings-rejected"},
           {LogEvent::Starting, "starting"},
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

/// Directs log lines to standard error. Without a call nothing is written.
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
