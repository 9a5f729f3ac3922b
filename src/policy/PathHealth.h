// Whether the open connections to a server have gone silent.
//
// An open connection can stop carrying bytes without being closed, while new
// connections work. A request whose answer makes no progress in time is
// therefore followed by a probe over a fresh connection: if the probe is
// answered, the path is replaced, all its connections with it; if not, the
// server itself is unreachable.
//
// The request that is watched has to be one that the server answers at once
// (status, lease renewal). A statement that runs long says nothing.
#ifndef AMARANTHSPUR_POLICY_PATHHEALTH_H
#define AMARANTHSPUR_POLICY_PATHHEALTH_H

#include "core/Clock.h"
#include "core/Names.h"

#include <array>
#include <optional>

namespace amaranthspur {

/// What the user of a path has to do.
enum class PathAction {
  None,
  ProbeFresh,       ///< Probe over a fresh connection and report the result.
  ReplaceAll,       ///< Close all connections of the path and open new ones.
  ReportUnreachable ///< The server does not answer fresh connections either.
};

template <> struct EnumNames<PathAction> {
  static constexpr auto Entries =
      std::to_array<std::pair<PathAction, std::string_view>>(
          {{PathAction::None, "none"},
           {PathAction::ProbeFresh, "probe-fresh"},
           {PathAction::ReplaceAll, "replace-all"},
           {PathAction::ReportUnreachable, "report-unreachable"}});
};

/// What is known of a path.
enum class PathState {
  Healthy,
  Probing,
  Replace,     ///< The probe was answered, ReplaceAll is due.
  Unreachable, ///< The probe failed, ReportUnreachable is due.
  Resting,     ///< Reported; the next probe is due later.
};

template <> struct EnumNames<PathState> {
  static constexpr auto Entries =
      std::to_array<std::pair<PathState, std::string_view>>(
          {{PathState::Healthy, "healthy"},
           {PathState::Probing, "probing"},
           {PathState::Replace, "replace"},
           {PathState::Unreachable, "unreachable"},
           {PathState::Resting, "resting"}});
};

/// Watches one path. Constant time and memory.
class PathHealth {
public:
  /// A request was sent over an open connection of the path.
  void requestSent(TimePoint Now);

  /// Bytes of an answer have arrived over an open connection of the path.
  void progressed();

  /// The connections of the path were closed or replaced by their user.
  void replaced();

  /// The probe was answered, or not.
  void probeFinished(bool Answered, TimePoint Now);

  /// Returns what to do now. Each action is returned once.
  PathAction step(TimePoint Now);

  /// Returns when step() has to be called next, if nothing happens before.
  std::optional<TimePoint> wakeAt() const;

  PathState state() const { return this->Current; }

  /// Time without progress after which a probe is made. Twice the interval of
  /// the lease renewals, so that one lost answer is noticed before the lease of
  /// 900 ms ends.
  static constexpr Duration ProgressLimit = milliseconds(600);
  /// Time between probes of a server that answers none.
  static constexpr Duration ProbeInterval = milliseconds(500);

private:
  PathState Current = PathState::Healthy;
  std::optional<TimePoint> WaitingSince; ///< Oldest request without progress.
  TimePoint ProbeAt{};                   ///< Next probe, while Resting.
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_POLICY_PATHHEALTH_H
