// Logs and counts calls that ended without an answer.
#ifndef AMARANTHSPUR_ROOT_TELEMETRY_ABANDONEDCALLLOG_H
#define AMARANTHSPUR_ROOT_TELEMETRY_ABANDONEDCALLLOG_H

#include "core/AbandonedCall.h"
#include "root/telemetry/Metrics.h"

namespace amaranthspur {

/// Writes a line (LogEvent::CallAbandoned) for each call that ended without an
/// answer and counts it by kind.
class AbandonedCallLog final : public AbandonedCallObserver {
public:
  /// \param Counters must outlive this object.
  explicit AbandonedCallLog(Metrics &Counters) : Counters(Counters) {}

  void recordAbandoned(const AbandonedCall &Call) override;

private:
  Metrics &Counters;
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_ROOT_TELEMETRY_ABANDONEDCALLLOG_H
