// Detects open connections to a server that no longer carry data.
//
// A connection can stop carrying data without being closed, while new
// connections still work. If the answer to a request makes no progress in time,
// the server is therefore probed over a new connection. If the probe is
// answered, all connections of the path are replaced. Otherwise the server
// itself is unreachable.
//
// Only requests that the server answers immediately, such as a status query or
// a lease renewal, may be reported by requestSent(). A statement may take long
// on a healthy connection and therefore proves nothing.
#ifndef AMARANTHSPUR_POLICY_PATHHEALTH_H
#define AMARANTHSPUR_POLICY_PATHHEALTH_H

#include "core/Clock.h"
#include "core/Names.h"

#include <array>
#include <optional>

namespace amaranthspur {

/// What the owner of a path has to do next.
enum class PathAction {
  None,
  ProbeOverNewConnection, ///< Probe over a new connection, then call
                          ///< probeFinished().
  ReplaceAll,       ///< Close all connections of the path and open new ones.
  ReportUnreachable ///< Report the server as unreachable: it does not
                    ///< answer over a new connection either.
};

template <> struct EnumNames<PathAction> {
  static constexpr auto Entries =
      std::to_array<std::pair<PathAction, std::string_view>>(
          {{PathAction::None, "none"},
           {PathAction::ProbeOverNewConnection, "probe-fresh"},
           {PathAction::ReplaceAll, "replace-all"},
           {PathAction::ReportUnreachable, "report-unreachable"}});
};

/// The state of a path.
enum class PathState {
  Healthy,     ///< No request has waited too long for progress.
  Probing,     ///< A probe is under way.
  Replace,     ///< The probe was answered; step() returns ReplaceAll next.
  Unreachable, ///< The probe failed; step() returns ReportUnreachable next.
  BackingOff,  ///< Reported as unreachable; waits for the next probe.
};

template <> struct EnumNames<PathState> {
  static constexpr auto Entries =
      std::to_array<std::pair<PathState, std::string_view>>(
          {{PathState::Healthy, "healthy"},
           {PathState::Probing, "probing"},
           {PathState::Replace, "replace"},
           {PathState::Unreachable, "unreachable"},
           {PathState::BackingOff, "resting"}});
};

/// Monitors one path, that is, all open connections to one server. Every
/// operation takes constant time and memory.
class PathHealth {
public:
  /// Records that a request was sent over an open connection of the path.
  void requestSent(TimePoint Now);

  /// Records that bytes of an answer arrived over an open connection of the
  /// path.
  void progressed();

  /// Records that the owner of the path closed or replaced its connections.
  void replaced();

  /// Records the result of a probe.
  void probeFinished(bool Answered, TimePoint Now);

  /// Returns what to do now. Each due action is returned once.
  PathAction step(TimePoint Now);

  /// Returns when step() has to be called next if nothing else is recorded
  /// before that time, or nothing if no call is needed.
  std::optional<TimePoint> wakeAt() const;

  PathState state() const { return this->Current; }

  /// Time without progress after which the server is probed. It is twice the
  /// interval of the lease renewals, so that one lost answer is detected before
  /// the lease of 900 ms ends.
  static constexpr Duration ProgressLimit = milliseconds(600);
  /// Time between two probes of an unreachable server.
  static constexpr Duration ProbeInterval = milliseconds(500);

private:
  PathState Current = PathState::Healthy;
  std::optional<TimePoint> WaitingSince; ///< Send time of the oldest request
                                         ///< without progress.
  TimePoint ProbeAt{}; ///< Time of the next probe, while BackingOff.
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_POLICY_PATHHEALTH_H
