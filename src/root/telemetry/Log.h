// Structured logging in lines of the form `event=<name> key=value ...`.
//
// A line is written for each decision about a statement and for each change in
// what the process knows of servers, members and the configuration. The number
// of lines per second is limited (LogRateLimiter.h), writing never blocks, and
// a separate line reports how many lines were dropped. Only Log.cpp depends on
// the logging library, log4cplus.
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

/// The severity of a line. A process that writes one level also writes those
/// before it.
enum class LogLevel { Error, Warning, Info, Debug };

template <> struct EnumNames<LogLevel> {
  static constexpr auto Entries =
      std::to_array<std::pair<LogLevel, std::string_view>>(
          {{LogLevel::Error, "error"},
           {LogLevel::Warning, "warning"},
           {LogLevel::Info, "info"},
           {LogLevel::Debug, "debug"}});
};

/// The event that a line reports.
enum class LogEvent {
  AcknowledgedCommitMissing,
  AdoptionUndone,
  CallAbandoned,
  CallerRejected,
  ChildFailed,
  ChildRestarted,
  ConcurrencyChanged,
  ConfigurationAccepted,
  ConfigurationRejected,
  DetectionRestarted,
  DrainFinished,
  DrainStarted,
  EraRejected,
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
  ForwardRefused,
  PlatformReachable,
  PlatformUnreachable,
  PrimaryChanged,
  PrimaryWaitsRefused,
  PrimaryWaitsResumed,
  PromotionFinished,
  PromotionOrdered,
  PromotionRefused,
  PromotionStarted,
  QuotaAllocatorChanged,
  QuotaLeaseExpired,
  QuotaReached,
  ReadinessChanged,
  Ready,
  RegistrationOutdated,
  RegistrationRejected,
  RelayChanged,
  RelayFollowed,
  RelayLost,
  RelayPeerLost,
  RelayPeerReached,
  RelayPeerReplaced,
  RelayRejected,
  Reload,
  ReplicaSetAside,
  ReplicaUsedAgain,
  ServerReachable,
  ServerStateChanged,
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
  StoreReturned,
  TakeoverClaimAbandoned,
  TakeoverClaimed,
  TakeoverStepDone,
};

template <> struct EnumNames<LogEvent> {
  static constexpr auto Entries =
      std::to_array<std::pair<LogEvent, std::string_view>>(
          {{LogEvent::AcknowledgedCommitMissing, "acknowledged-commit-missing"},
           {LogEvent::AdoptionUndone, "adoption-undone"},
           {LogEvent::CallAbandoned, "call-abandoned"},
           {LogEvent::CallerRejected, "caller-rejected"},
           {LogEvent::ChildFailed, "child-failed"},
           {LogEvent::ChildRestarted, "child-restarted"},
           {LogEvent::ConcurrencyChanged, "concurrency-changed"},
           {LogEvent::ConfigurationAccepted, "configuration-accepted"},
           {LogEvent::ConfigurationRejected, "configuration-rejected"},
           {LogEvent::DetectionRestarted, "detection-restarted"},
           {LogEvent::DrainFinished, "drain-finished"},
           {LogEvent::DrainStarted, "drain-started"},
           {LogEvent::EraRejected, "era-rejected"},
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
           {LogEvent::ForwardRefused, "forward-refused"},
           {LogEvent::PlatformReachable, "platform-reachable"},
           {LogEvent::PlatformUnreachable, "platform-unreachable"},
           {LogEvent::PrimaryChanged, "primary-changed"},
           {LogEvent::PrimaryWaitsRefused, "primary-waits-refused"},
           {LogEvent::PrimaryWaitsResumed, "primary-waits-resumed"},
           {LogEvent::PromotionFinished, "promotion-finished"},
           {LogEvent::PromotionOrdered, "promotion-ordered"},
           {LogEvent::PromotionRefused, "promotion-refused"},
           {LogEvent::PromotionStarted, "promotion-started"},
           {LogEvent::QuotaAllocatorChanged, "quota-allocator-changed"},
           {LogEvent::QuotaLeaseExpired, "quota-lease-expired"},
           {LogEvent::QuotaReached, "quota-reached"},
           {LogEvent::ReadinessChanged, "readiness-changed"},
           {LogEvent::Ready, "ready"},
           {LogEvent::RegistrationOutdated, "registration-outdated"},
           {LogEvent::RegistrationRejected, "registration-rejected"},
           {LogEvent::RelayChanged, "relay-changed"},
           {LogEvent::RelayFollowed, "relay-followed"},
           {LogEvent::RelayLost, "relay-lost"},
           {LogEvent::RelayPeerLost, "relay-peer-lost"},
           {LogEvent::RelayPeerReached, "relay-peer-reached"},
           {LogEvent::RelayPeerReplaced, "relay-peer-replaced"},
           {LogEvent::RelayRejected, "relay-rejected"},
           {LogEvent::Reload, "reload"},
           {LogEvent::ReplicaSetAside, "replica-set-aside"},
           {LogEvent::ReplicaUsedAgain, "replica-used-again"},
           {LogEvent::ServerReachable, "server-reachable"},
           {LogEvent::ServerStateChanged, "server-state-changed"},
           {LogEvent::ServerUnreachable, "server-unreachable"},
           {LogEvent::ServersChanged, "servers-changed"},
           {LogEvent::SessionEnded, "session-ended"},
           {LogEvent::SessionRejected, "session-rejected"},
           {LogEvent::SettingsRejected, "settings-rejected"},
           {LogEvent::Starting, "starting"},
           {LogEvent::StatementAnswered, "statement-answered"},
           {LogEvent::StatementRefused, "statement-refused"},
           {LogEvent::Stopped, "stopped"},
           {LogEvent::Stopping, "stopping"},
           {LogEvent::StoreReturned, "store-returned"},
           {LogEvent::TakeoverClaimAbandoned, "takeover-claim-abandoned"},
           {LogEvent::TakeoverClaimed, "takeover-claimed"},
           {LogEvent::TakeoverStepDone, "takeover-step"}});
};

/// One `key=value` pair of a line.
struct LogField {
  std::string_view Key;
  std::string Value;

  LogField(std::string_view Key, std::string_view Value)
      : Key(Key), Value(Value) {}
  LogField(std::string_view Key, std::integral auto Value)
      : Key(Key), Value(std::to_string(Value)) {}
};

/// Returns the text of a line. A value is put in quotes if it is empty or has
/// any characters besides letters, digits and `._:/+-`. Quotes, backslashes and
/// control characters are escaped, so that a name from an untrusted client
/// cannot forge a line or a field.
std::string formatLogLine(LogEvent Event,
                          std::initializer_list<LogField> Fields);

/// Starts logging to standard output. Before the first call, nothing is
/// written.
/// \param MaxLevel most verbose level that is written.
/// \param Process identifier of this process, which is part of every line.
void startLog(LogLevel MaxLevel, std::string_view Process);

/// Writes a line that was formatted by a module that does not depend on this
/// one.
void logLine(LogLevel Level, const std::string &Line);

/// Formats and writes one line. If \p Level is not written, the cost is one
/// comparison and the construction of the fields.
void log(LogLevel Level, LogEvent Event,
         std::initializer_list<LogField> Fields = {});

} // namespace amaranthspur

#endif // AMARANTHSPUR_ROOT_TELEMETRY_LOG_H
