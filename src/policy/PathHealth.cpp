#include "policy/PathHealth.h"

namespace amaranthspur {

void PathHealth::requestSent(TimePoint Now) {
  if (!this->WaitingSince)
    this->WaitingSince = Now;
}

void PathHealth::progressed() {
  this->WaitingSince.reset();
  this->Current = State::Healthy;
}

void PathHealth::replaced() { this->progressed(); }

void PathHealth::probeFinished(bool Answered, TimePoint Now) {
  // Progress in the meantime has settled the question.
  if (this->Current != State::Probing)
    return;
  this->Current = Answered ? State::Replace : State::Unreachable;
  this->ProbeAt = Now + ProbeInterval;
}

PathAction PathHealth::step(TimePoint Now) {
  switch (this->Current) {
  case State::Healthy:
    if (!this->WaitingSince || Now - *this->WaitingSince < ProgressLimit)
      return PathAction::None;
    this->Current = State::Probing;
    return PathAction::ProbeFresh;
  case State::Probing:
    return PathAction::None;
  case State::Replace:
    this->replaced();
    return PathAction::ReplaceAll;
  case State::Unreachable:
    this->Current = State::Resting;
    return PathAction::ReportUnreachable;
  case State::Resting:
    if (Now < this->ProbeAt)
      return PathAction::None;
    this->Current = State::Probing;
    return PathAction::ProbeFresh;
  }
  return PathAction::None;
}

std::optional<TimePoint> PathHealth::wakeAt() const {
  switch (this->Current) {
  case State::Healthy:
    if (!this->WaitingSince)
      return std::nullopt;
    return *this->WaitingSince + ProgressLimit;
  case State::Probing:
    return std::nullopt;
  case State::Resting:
    return this->ProbeAt;
  case State::Replace:
  case State::Unreachable:
    break;
  }
  return TimePoint::min();
}

} // namespace amaranthspur
