#include "root/telemetry/AbandonedCallLog.h"

#include "policy/ClaimRow.h"
#include "root/telemetry/Log.h"

namespace amaranthspur {
namespace {

std::string_view orDash(const std::string &Text) {
  return Text.empty() ? std::string_view("-") : std::string_view(Text);
}

} // namespace

void AbandonedCallLog::recordAbandoned(const AbandonedCall &Call) {
  const CallSubject &Subject = Call.Subject;
  const std::string Service = Subject.Kind == CallKind::RowWrite
                                  ? serviceOfClaimKey(Subject.Target)
                                  : Subject.Service;
  this->Counters.add(Counter::CallsAbandoned, nameOf(Subject.Kind));
  log(LogLevel::Warning, LogEvent::CallAbandoned,
      {{"service", orDash(Service)},
       {"call", nameOf(Subject.Kind)},
       {"target", orDash(Subject.Target)},
       {"term", Subject.Term},
       {"fence", Subject.Fence},
       {"written", Call.Written},
       {"written_ms_ago", Call.SinceWritten / milliseconds(1)},
       {"connection", nameOf(Call.End)}});
}

} // namespace amaranthspur
