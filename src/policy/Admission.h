// Order, early refusal and slots of one backend server.
//
// The owner of a server has one Admission for it. Work is submitted, started in
// the order that next() gives, and finished. Nothing here blocks or reads a
// clock. Memory is bounded by AdmissionLimits; beyond a bound work is refused.
#ifndef AMARANTHSPUR_POLICY_ADMISSION_H
#define AMARANTHSPUR_POLICY_ADMISSION_H

#include "core/Clock.h"
#include "core/Outcome.h"
#include "core/Types.h"
#include "policy/Configuration.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>
#include <variant>
#include <vector>

namespace amaranthspur {

/// Names one submitted piece of work; never used twice by one Admission.
using WorkId = std::uint64_t;

/// One statement that wants a slot.
struct WorkItem {
  WorkId Id = 0;
  CallerName Caller;
  ClassName Class;
  std::uint64_t Shape = 0; ///< Of the statement; lengths are learned per shape.
  TimePoint Deadline;
  std::size_t Bytes = 0; ///< Of the statement's frames.
  /// The work goes on with an open transaction: it holds locks that others wait
  /// for, so it goes before work that does not.
  bool InTransaction = false;
};

/// Work that was taken out of the queue without being run.
struct ExpiredWork {
  WorkId Id = 0;
  RefusalReason Reason = RefusalReason::DeadlineExpired;
};

/// Bounds and sizes of one Admission.
struct AdmissionLimits {
  unsigned Slots = 5;
  std::size_t MaxQueued = 4096;          ///< Entries in all.
  std::size_t MaxQueuedPerCaller = 1024; ///< Entries of one caller.
  std::size_t MaxQueuedBytes = 16U << 20U;
};

/// Counts and gauges for metrics and `status`.
struct AdmissionStats {
  std::size_t Queued = 0;
  unsigned Running = 0;
  unsigned RunningLong = 0;
  unsigned Concurrency = 0; ///< Slots used at present, at most Limits.Slots.
};

/// Decides which work runs on one backend server, and when.
class Admission {
public:
  virtual ~Admission() = default;

  /// Takes \p Item into the queue, or returns why it is refused (as not run).
  virtual std::optional<Refusal> submit(const WorkItem &Item,
                                        TimePoint Now) = 0;

  /// Returns the work to start now; it holds a slot until finished() is called.
  /// Returns nothing if no slot is free for what is queued.
  virtual std::optional<WorkId> next(TimePoint Now) = 0;

  /// Gives back the slot of \p Id, which ran until \p Now.
  virtual void finished(WorkId Id, TimePoint Now) = 0;

  /// Takes \p Id out of the queue (its caller is gone). Unknown ids are
  /// ignored.
  virtual void withdraw(WorkId Id) = 0;

  /// Removes and returns queued work whose deadline has passed or can no longer
  /// be met.
  virtual std::vector<ExpiredWork> expire(TimePoint Now) = 0;

  /// Takes in the server's own queueing time, its signal of overload.
  virtual void observeQueueTime(Duration QueueTime, TimePoint Now) = 0;

  /// Takes in a change of configuration; queued work stays.
  virtual void configure(const ServiceConfig &Service,
                         const AdmissionLimits &Limits) = 0;

  virtual AdmissionStats stats() const = 0;
};

/// Makes the weighted fair admission (see FairAdmission.h).
std::unique_ptr<Admission> makeFairAdmission(const ServiceConfig &Service,
                                             const AdmissionLimits &Limits);

/// Makes the naive admission: one FIFO queue, no early refusal.
std::unique_ptr<Admission> makeFifoAdmission(const ServiceConfig &Service,
                                             const AdmissionLimits &Limits);

} // namespace amaranthspur

#endif // AMARANTHSPUR_POLICY_ADMISSION_H
