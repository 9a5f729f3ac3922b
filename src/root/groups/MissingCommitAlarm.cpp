#include "root/groups/MissingCommitAlarm.h"

#include "core/BootClock.h"
#include "root/telemetry/Log.h"

namespace amaranthspur {

void MissingCommitAlarm::recordCommit(LogPosition Commit,
                                      const ServerId &Holder) {
  this->warn(this->Commits.recordCommit({Commit, Holder, bootNow()}));
}

void MissingCommitAlarm::observeReport(const ServerId &Id,
                                       const ServerReport &Report) {
  if (Report.Role == ServerRole::Primary)
    this->warn(this->Commits.observePrimary(
        {Id, Report.TermNumber, Report.Received, PositionSource::Report}));
}

void MissingCommitAlarm::observeAnswer(const BelievedPrimary &Leader,
                                       LogPosition Position) {
  // A server may have sent the answer before its promotion. A position of the
  // led term shows that it has not.
  if (Leader.TermNumber != 0 && Position.TermNumber == Leader.TermNumber)
    this->warn(this->Commits.observePrimary(
        {Leader.Id, Leader.TermNumber, Position, PositionSource::Answer}));
}

void MissingCommitAlarm::observeEvidence(const GroupEvidence &Known) {
  if (Known.TermNumber != 0 && Known.Position.TermNumber == Known.TermNumber)
    this->warn(
        this->Commits.observePrimary({Known.Primary, Known.TermNumber,
                                      Known.Position, PositionSource::Relay}));
}

void MissingCommitAlarm::observeOrder(const ServerId &Target, Term Leading,
                                      LogPosition End) {
  this->warn(this->Commits.compareTarget(
      {Target, Leading, End, PositionSource::Order}));
}

void MissingCommitAlarm::warn(const std::optional<MissingCommit> &Missing) {
  if (!Missing)
    return;
  const auto &[Known, Commit] = *Missing;
  if (this->Counters)
    this->Counters->add(Counter::AcknowledgedCommitsMissing,
                        this->Service.str());
  log(LogLevel::Warning, LogEvent::AcknowledgedCommitMissing,
      {{"service", this->Service.str()},
       {"server", Known.Primary.str()},
       {"term", Known.TermNumber},
       {"position", positionText(Known.Position)},
       {"known_from", nameOf(Known.Source)},
       {"acknowledged", positionText(Commit.Position)},
       {"acknowledged_ms_ago", (bootNow() - Commit.At) / milliseconds(1)},
       {"holder", Commit.Holder.empty() ? "-" : Commit.Holder.str()}});
}

} // namespace amaranthspur
