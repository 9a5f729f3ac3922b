#include "policy/PathHealth.h"

namespace amaranthspur {

void PathHealth::requestSent(TimePoint Now) {
  if (!this->WaitingSince)
    this->WaitingSince = Now;
}

void PathHealth::progressed() {
  this->WaitingSince.reset();
  this->Current = PathState::Healthy;
}

void PathHealth::replaced() { this->progressed(); }

void PathHealth::probeFinished(bool Answered, TimePoint Now) {
  // Data arrived during the probe, so the path is already known to work.
  if (this->Current != PathState::Probing)
    return;
  this->Current = Answered ? PathState::Replace : PathState::Unreachable;
  this->ProbeAt = Now + ProbeInterval;
}

PathAction PathHealth::step(TimePoint Now) {
  switch (this->Current) {
  case PathState::Healthy:
    if (!this->WaitingSince || Now - *this->WaitingSince < ProgressLimit)
      return PathAction::None;
    this->Current = PathState::Probing;
    return PathAction::ProbeOverNewConnection;
  case PathState::Probing:
    return PathAction::None;
  case PathState::Replace:
    this->replaced();
    return PathAction::ReplaceAll;
  case PathState::Unreachable:
    this->Current = PathState::BackingOff;
    return PathAction::ReportUnreachable;
  case PathState::BackingOff:
    if (Now < this->ProbeAt)
      return PathAction::None;
    this->Current = PathState::Probing;
    return PathAction::ProbeOverNewConnection;
  }
  return PathAction::None;
}

std::optional<TimePoint> PathHealth::wakeAt() const {
  switch (this->Current) {
  case PathState::Healthy:
    if (!this->WaitingSince)
      return std::nullopt;
    return *this->WaitingSince + ProgressLimit;
  case PathState::Probing:
    return std::nullopt;
  case PathState::BackingOff:
    return this->ProbeAt;
  case PathState::Replace:
  case PathState::Unreachable:
    break;
  }
  return TimePoint::min();
}

} // namespace amaranthspur
